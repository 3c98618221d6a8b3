//! Watches the store for the configuration, rollout orders, rollouts and the records of all nodes.
//! One node of a zone watches the store itself; the others get its changes from that node.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    change_feed::{Position, SourceSelector, WATCH_PAUSE},
    members::NodeRecord,
    rollout::RolloutPlan,
    upstream::{Announcement, Incarnation},
};
use oleandertiller_model::{Clock, ServiceName, ZoneName, codec};
use oleandertiller_platform::{
    config,
    rollout::{self, CONFIG_KEY, EVACUATION_PREFIX, ROLLOUT_PREFIX, STATUS_PREFIX},
    store::{Answer, Call, Event, Item},
};

use super::{
    change_feed::{
        CHANGES_PATH, ChangeReply, ChangeRequest, FeedSource, RelayedChange, RelayedChanges,
    },
    daemon::Shared,
    deployment_state::ReceivedOrder,
    leadership::{LEADER_PREFIX, read_leadership},
    registration::{DEPARTURE_PREFIX, RECORD_PREFIX},
    store::StoreError,
    usage_view::{USAGE_KEY, read_usage_state},
};

/// Prefix of all keys, so that a single watch covers everything.
const ALL_KEYS: &str = "";

/// Prefix of the keys of rollout plans; the service follows.
pub const PLAN_PREFIX: &str = "mesh/rollout/";

/// Maximum wait of one watch. Dead connections are usually detected by TCP keep-alive; this bounds
/// the time for those that are not.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(6);

/// Maximum wait of a watch after the source failed, so that another source is tried soon.
const NO_SOURCE_WAIT: Duration = Duration::from_millis(1_000);

/// Pause between two watches during a rollout, where a bad version receives requests until the
/// change that stops it arrives.
const ROLLOUT_WATCH_PAUSE: Duration = Duration::from_millis(400);

/// Pause between two watches right after the start, when other nodes may be starting, too.
const STARTUP_WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Time after the start of the process for which [`STARTUP_WATCH_PAUSE`] applies.
const STARTUP_TIME: Duration = Duration::from_millis(1_500);

/// Maximum wait of a watch while the store is unreachable.
const UNREACHABLE_WAIT: Duration = Duration::from_millis(300);

/// Pause after a failed call: a configuration must be active two seconds after its
/// acknowledgement.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Maximum number of pages of one listing; at 500 keys each, far more than a deployment has.
const MAX_PAGES: usize = 200;

/// Watches the store and applies its changes to the node's state.
pub struct StoreWatcher<C: Clock> {
    shared: Arc<Shared<C>>,
    started: Instant,
    /// Era of the store in which its keys were last listed.
    era: u64,
    sources: SourceSelector,
    /// The local upstream as recorded by an earlier process of this node, until it is adopted.
    earlier_upstream: Option<Announcement>,
}

impl<C: Clock> StoreWatcher<C> {
    /// Creates a watcher that has read nothing.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        let started = shared.clock.now();
        let sources = SourceSelector::default();
        Self { shared, started, era: 0, sources, earlier_upstream: None }
    }

    /// Watches the store for the life of the process.
    pub async fn run(mut self) {
        loop {
            if let Some(position) = self.list().await {
                self.watch(position).await;
            } else {
                self.pause().await;
            }
        }
    }

    async fn pause(&self) {
        self.shared.timers.at(self.shared.clock.now() + FAILURE_PAUSE).await;
    }

    fn set_answering(&mut self, answering: bool) {
        if answering == self.is_unreachable() {
            self.shared.store_unreachable.set(!answering);
            let event = if answering { "store answers" } else { "store does not answer" };
            log::warn!(dependency = "store", heard = answering; "{event}");
        }
    }

    /// Reads all keys; returns the position from which to watch, or `None` if the store fails.
    async fn list(&mut self) -> Option<Position> {
        // Until the keys are listed, this node does not know what has changed.
        self.shared.change_feed.set_feed_source(FeedSource::Retrying);
        let listed_from = self.shared.clock.now();
        let mut all_items = Vec::new();
        let mut after = None;
        let mut first_position = None;
        for _ in 0..MAX_PAGES {
            let call = Call::List { prefix: ALL_KEYS.to_owned(), after: after.take() };
            let answer = self.shared.store.call_in_era(&call).await;
            let Ok((Answer::Listed { items, more, revision }, era)) = answer else {
                log::info!(answer:? = answer; "listing the store's keys failed");
                self.set_answering(false);
                return None;
            };
            // Pages are not a snapshot: the watch starts at the first one's position, and so gets
            // the changes made between them.
            let first = *first_position.get_or_insert(Position { era, revision });
            if first.era != era {
                log::info!(era = era, previous = first.era;
                    "store was restored while its keys were listed; listing them again");
                return None;
            }
            after = items.last().map(|item| item.key.clone());
            all_items.extend(items);
            if !more || after.is_none() {
                break;
            }
        }
        self.set_answering(true);
        let position = first_position?;
        let restored = self.era > 0 && position.era > self.era;
        self.era = position.era;
        let known_rollouts = restored.then(|| self.shared.deployment().forget_era());
        self.remove_missing(&all_items);
        for item in all_items {
            self.apply_put(item);
        }
        if let Some(known) = known_rollouts {
            self.shared.deployment().resume_rollouts(known);
        }
        self.adopt().await;
        self.shared.store_read.set(true);
        self.shared.update_admission();
        let change_feed = &self.shared.change_feed;
        change_feed.update_freshness(|freshness| freshness.on_watch_answered(listed_from));
        change_feed.restart(position);
        Some(position)
    }

    /// Has the owner adopt the upstream that an earlier process of this node recorded.
    async fn adopt(&mut self) {
        if let Some(upstream) = self.earlier_upstream.take() {
            self.shared.owner.adopt(upstream).await;
        }
    }

    /// Returns whether changes in the store cannot be received.
    fn is_unreachable(&self) -> bool {
        self.shared.store_unreachable.is_set()
    }

    /// Applies changes from `position` on, until the store no longer has all of them.
    async fn watch(&mut self, position: Position) {
        let mut reached = Some(position);
        while let Some(position) = reached {
            if self.shared.store.era() > position.era {
                return;
            }
            let source = self.select_source();
            reached = match &source {
                None => self.watch_store(position, MAX_WATCH_WAIT).await,
                Some(source) => match self.request_changes(source, position).await {
                    Some(position) => Some(position),
                    None => self.watch_store(position, NO_SOURCE_WAIT).await,
                },
            };
        }
    }

    fn select_source(&self) -> Option<Arc<NodeRecord>> {
        let node = &self.shared.settings.node;
        let deployment = self.shared.deployment();
        self.sources.select(&deployment.members, &node.name, &node.zone, self.shared.clock.now())
    }

    /// Applies changes from another node; returns their position, or `None` if it has none to give.
    async fn request_changes(&mut self, source: &NodeRecord, after: Position) -> Option<Position> {
        let shared = self.shared.clone();
        shared.change_feed.set_feed_source(FeedSource::Peer);
        let peer = source.node.as_str();
        let requested = shared.clock.now();
        let wait = shared.change_feed.reply_wait(!self.is_unreachable(), requested)?;
        let until = requested + wait.in_all;
        let request = codec::encode(&ChangeRequest { after, max_wait: wait.at_source });
        let answer = shared.client.request(source.inner, CHANGES_PATH, request, until).await;
        match answer.map(|bytes| codec::decode::<ChangeReply>(&bytes)) {
            Ok(Ok(ChangeReply::Changes(reply))) => {
                let RelayedChanges { changes, position, waited, age } = reply;
                let events = self.read_omitted_values(changes, position.era).await?;
                self.set_answering(true);
                self.apply(events, position).await;
                shared
                    .change_feed
                    .update_freshness(|freshness| freshness.on_reply(requested, waited, age));
                Some(position)
            }
            Ok(Ok(other)) => {
                log::info!(peer = peer, after = after.revision, era = after.era, answer:? = other;
                    "peer cannot provide changes; watching the store");
                None
            }
            Ok(Err(error)) => {
                log::warn!(peer = peer, error:? = error;
                    "reply with changes could not be decoded; watching the store");
                self.sources.on_no_answer(shared.clock.now());
                None
            }
            Err(outcome) => {
                log::info!(peer = peer, after = after.revision, outcome:? = outcome;
                    "peer did not answer a request for changes; watching the store");
                self.sources.on_no_answer(shared.clock.now());
                None
            }
        }
    }

    /// Reads the values that were too large to relay; returns the complete changes, which are of
    /// `era`.
    async fn read_omitted_values(
        &mut self,
        changes: Vec<RelayedChange>,
        era: u64,
    ) -> Option<Vec<Event>> {
        let mut events = Vec::with_capacity(changes.len());
        for change in changes {
            match change {
                RelayedChange::Whole(event) => events.push(event),
                RelayedChange::Key(key) => {
                    let call = Call::List { prefix: key.clone(), after: None };
                    let answer = self.shared.store.call_in_era(&call).await;
                    let items = match answer {
                        Ok((Answer::Listed { items, .. }, read_era)) if read_era == era => items,
                        answer => {
                            log::info!(key = key, answer:? = answer;
                                "reading a value that was too large to relay failed");
                            self.set_answering(answer.is_ok());
                            return None;
                        }
                    };
                    events.extend(items.into_iter().filter(|item| item.key == key).map(Event::Put));
                }
            }
        }
        Some(events)
    }

    /// Applies changes from the store; returns their position, or `None` if the store no longer has
    /// the changes after `position` or has been restored since.
    async fn watch_store(&mut self, position: Position, wait: Duration) -> Option<Position> {
        let Position { era, revision } = position;
        self.set_feed_source();
        // While the store is unreachable, watches are short, so that silence is noticed soon.
        let wait = if self.is_unreachable() { UNREACHABLE_WAIT } else { wait };
        let call = Call::Watch { prefix: ALL_KEYS.to_owned(), after: revision, wait };
        let shared = self.shared.clone();
        let sent = shared.clock.now();
        shared.change_feed.update_freshness(|freshness| freshness.on_watch_sent(sent));
        let pending = shared.store.call_in_era(&call);
        let answer = match select(pin!(pending), pin!(shared.store_failure())).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => {
                log::info!(revision = revision;
                    "watch abandoned because another call to the store went unanswered");
                Err(StoreError::Lost)
            }
        };
        self.set_answering(answer.is_ok() && !matches!(answer, Ok((Answer::Busy, _))));
        let now = shared.clock.now();
        shared.change_feed.update_freshness(|freshness| match &answer {
            Ok((Answer::Changes { .. }, _)) => freshness.on_watch_answered(now),
            _ => freshness.on_watch_failed(),
        });
        self.set_feed_source();
        match answer {
            // Whatever it says refers to other changes than those that this node has.
            Ok((answer, answer_era)) if answer_era != era && answer != Answer::Busy => {
                log::warn!(revision = revision, era = answer_era, previous = era;
                    "store was restored since the last watch; listing all keys");
                None
            }
            Ok((Answer::Changes { events, revision: next }, _)) => {
                let has_changes = !events.is_empty();
                let reached = Position { era, revision: revision.max(next) };
                self.apply(events, reached).await;
                if has_changes {
                    self.shared.timers.at(self.shared.clock.now() + self.watch_pause()).await;
                }
                Some(reached)
            }
            Ok((Answer::Forgotten, _)) => {
                log::warn!(revision = revision;
                    "store has compacted the changes after this revision; listing all keys");
                None
            }
            _ => {
                self.pause().await;
                Some(position)
            }
        }
    }

    fn set_feed_source(&self) {
        let feed_source =
            if self.is_unreachable() { FeedSource::Retrying } else { FeedSource::Store };
        self.shared.change_feed.set_feed_source(feed_source);
    }

    async fn apply(&mut self, events: Vec<Event>, position: Position) {
        self.shared.change_feed.add(&events, position);
        if events.is_empty() {
            return;
        }
        for event in events {
            match event {
                Event::Put(item) => self.apply_put(item),
                Event::Removed { key, revision } => self.apply_removal(&key, revision),
            }
        }
        self.adopt().await;
        self.shared.update_admission();
    }

    /// Returns the pause before the next watch.
    fn watch_pause(&self) -> Duration {
        let age = self.shared.clock.now().saturating_duration_since(self.started);
        if age < STARTUP_TIME {
            return STARTUP_WATCH_PAUSE;
        }
        if self.shared.deployment().has_open_rollout() { ROLLOUT_WATCH_PAUSE } else { WATCH_PAUSE }
    }

    fn remove_missing(&self, items: &[Item]) {
        let keys: Vec<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let is_listed =
            |prefix: &str, name: &str| keys.contains(&format!("{prefix}{name}").as_str());
        let now = self.shared.clock.now();
        let mut deployment = self.shared.deployment();
        deployment.members.reconcile(&keys, now);
        deployment.evacuated.retain(|zone, _| is_listed(EVACUATION_PREFIX, zone.as_str()));
        deployment.orders.retain(|service, _| is_listed(ROLLOUT_PREFIX, service.as_str()));
        deployment.plans.retain(|service, _| is_listed(PLAN_PREFIX, service.as_str()));
        deployment.leaderships.retain(|service, _| is_listed(LEADER_PREFIX, service.as_str()));
        if !keys.contains(&USAGE_KEY) {
            deployment.usage.on_removed(u64::MAX);
        }
        drop(deployment);
        if !is_listed(DEPARTURE_PREFIX, self.shared.settings.node.name.as_str()) {
            self.shared.set_stored_departure(None);
        }
    }

    fn apply_put(&mut self, item: Item) {
        let key = item.key.as_str();
        if key == CONFIG_KEY {
            self.apply_config(&item);
        } else if let Some(node) = key.strip_prefix(RECORD_PREFIX) {
            self.apply_record(node, &item);
        } else if let Some(node) = key.strip_prefix(DEPARTURE_PREFIX) {
            self.apply_departure(node, &item);
        } else if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            let previous =
                self.shared.deployment().evacuated.insert(ZoneName::new(zone), item.revision);
            if previous.is_none() {
                log::info!(zone = zone, revision = item.revision; "zone is out of service");
            }
        } else if key.starts_with(ROLLOUT_PREFIX) {
            self.apply_order(&item);
        } else if let Some(service) = key.strip_prefix(PLAN_PREFIX) {
            self.apply_plan(service, &item);
        } else if let Some(service) = key.strip_prefix(LEADER_PREFIX) {
            self.apply_leadership(service, &item);
        } else if key == USAGE_KEY {
            if let Some(state) = read_usage_state(&item) {
                self.shared.deployment().usage.on_state(item.revision, state);
            }
        } else if !key.starts_with(STATUS_PREFIX) {
            log::debug!(key = key; "unknown key ignored");
        }
    }

    fn apply_leadership(&self, service: &str, item: &Item) {
        let leadership = read_leadership(item);
        let (leader, own) = (&leadership.leader, leadership.leader == self.shared.process);
        log::info!(service = service, leader = leader.node.as_str(),
            incarnation = leader.incarnation, own = own, revision = item.revision;
            "leader known");
        self.shared.deployment().on_leadership(&ServiceName::new(service), leadership);
    }

    fn apply_removal(&self, key: &str, revision: u64) {
        let now = self.shared.clock.now();
        if let Some(node) = key.strip_prefix(RECORD_PREFIX) {
            log::info!(peer = node; "record of a node removed");
            if self.is_own(node) {
                self.shared.rewrite();
            }
            self.shared.deployment().members.remove(key, now);
        } else if let Some(node) = key.strip_prefix(DEPARTURE_PREFIX) {
            if self.is_own(node) {
                self.shared.set_stored_departure(None);
                self.shared.record_changed();
            }
        } else if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            log::info!(zone = zone; "zone is back in service");
            self.shared.deployment().evacuated.remove(zone);
        } else if let Some(service) = key.strip_prefix(ROLLOUT_PREFIX) {
            self.shared.deployment().orders.remove(service);
        } else if let Some(service) = key.strip_prefix(PLAN_PREFIX) {
            self.shared.deployment().plans.remove(service);
        } else if key == USAGE_KEY {
            self.shared.deployment().usage.on_removed(revision);
        } else if let Some(service) = key.strip_prefix(LEADER_PREFIX) {
            let service = ServiceName::new(service);
            if self.shared.deployment().on_leadership_removed(&service, revision) {
                log::info!(service = service.as_str(), revision = revision;
                    "leader gone");
            }
        }
    }

    fn apply_config(&self, item: &Item) {
        let cfg = match config::read(&item.value) {
            Ok(cfg) => cfg,
            Err(error) => {
                log::error!(revision = item.revision, error:% = error;
                    "malformed configuration; the previous one stays in force");
                return;
            }
        };
        let mut deployment = self.shared.deployment();
        // Operators only raise the version. Revisions tell less: after a restore of the store they
        // are given out again.
        if let Some(in_force) = &deployment.config
            && in_force.version >= cfg.version
        {
            if in_force.version > cfg.version {
                log::warn!(version = cfg.version, revision = item.revision,
                    in_force = in_force.version;
                    "configuration ignored: it is older than the one in force");
            }
            return;
        }
        log::info!(version = cfg.version, revision = item.revision, hosts = cfg.hosts.len(),
            services = cfg.services.len(); "configuration in force");
        deployment.config = Some(Arc::new(cfg));
    }

    fn apply_record(&mut self, node: &str, item: &Item) {
        let record: NodeRecord = match serde_json::from_slice(&item.value) {
            Ok(record) => record,
            Err(error) => {
                log::info!(peer = node, error:% = error; "malformed record of a node");
                return;
            }
        };
        if record.node == self.shared.settings.node.name
            && record.incarnation != self.shared.process.incarnation
        {
            let local_address = self.shared.settings.node.upstream;
            self.earlier_upstream =
                record.upstream.filter(|upstream| upstream.address == local_address);
            self.shared.rewrite();
            return;
        }
        if record.node == self.shared.settings.node.name
            && self.shared.is_record_replaced(item.revision, &record)
        {
            log::info!(revision = item.revision; "late write has replaced the node's record");
            self.shared.rewrite();
        }
        let upstream = record.upstream.as_ref();
        log::info!(peer = node, revision = item.revision, stopping = record.stopping,
            service = upstream.map_or("", |u| u.service.as_str()),
            version = upstream.map_or("", |u| u.version.as_str()),
            upstream = upstream.map_or("", |u| &u.incarnation.id),
            stage:? = upstream.map(|u| u.stage); "record of a node received");
        self.shared.deployment().members.put(&item.key, record);
    }

    /// Applies the departure of this node's upstream, which this process or an earlier one wrote.
    fn apply_departure(&self, node: &str, item: &Item) {
        if !self.is_own(node) {
            return;
        }
        match serde_json::from_slice::<Incarnation>(&item.value) {
            Ok(departure) => {
                if self.shared.owner.departure().as_ref() != Some(&departure) {
                    self.shared.owner.recall_departure(&departure);
                }
                self.shared.set_stored_departure(Some(departure));
                // A late write may have replaced a later departure.
                self.shared.record_changed();
            }
            Err(error) => log::warn!(error:% = error;
                "stored departure of the upstream could not be decoded"),
        }
    }

    fn is_own(&self, node: &str) -> bool {
        node == self.shared.settings.node.name.as_str()
    }

    fn apply_order(&self, item: &Item) {
        match rollout::read_order(&item.value) {
            Ok(order) => {
                let mut deployment = self.shared.deployment();
                let known_revision =
                    deployment.orders.get(&order.service).map(|received| received.revision);
                if known_revision == Some(item.revision) {
                    return;
                }
                log::info!(service = order.service.as_str(), version = order.version.as_str(),
                    within_s = order.within.as_secs_f64(), revision = item.revision;
                    "rollout order received");
                let at = self.shared.clock.now();
                let received = ReceivedOrder { revision: item.revision, at, order: order.clone() };
                deployment.orders.insert(order.service, received);
            }
            Err(error) => log::error!(key = &*item.key, error:% = error; "malformed rollout order"),
        }
    }

    fn apply_plan(&self, service: &str, item: &Item) {
        match serde_json::from_slice::<RolloutPlan>(&item.value) {
            Ok(plan) => {
                let mut deployment = self.shared.deployment();
                let service = ServiceName::new(service);
                if deployment
                    .plans
                    .get(&service)
                    .is_some_and(|(revision, _)| *revision >= item.revision)
                {
                    return;
                }
                log::info!(service = service.as_str(), version = plan.version.as_str(),
                    phase:? = plan.phase, share = plan.share, revision = item.revision,
                    why = plan.reason.as_deref().unwrap_or(""); "rollout plan received");
                deployment.lost_plans.remove(&service);
                deployment.plans.insert(service, (item.revision, plan));
            }
            Err(error) => log::error!(service = service, error:% = error; "malformed rollout plan"),
        }
    }
}
