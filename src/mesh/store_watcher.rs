//! Follows the store: configuration, orders, rollouts and the records of all nodes. One node of a
//! zone waits for changes at the store and the others at that node.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    change_feed::SourceSelector, members::NodeRecord, rollout::RolloutPlan, upstream::Announcement,
};
use oleandertiller_model::{Clock, NodeName, ServiceName, ZoneName, codec};
use oleandertiller_platform::{
    config,
    rollout::{self, CONFIG_KEY, EVACUATION_PREFIX, ROLLOUT_PREFIX, STATUS_PREFIX},
    store::{Answer, Call, Event, Item},
};

use super::{
    change_feed::{
        ANSWER_TIME, CHANGES_PATH, ChangeReply, ChangeRequest, FeedSource, RelayedChange,
    },
    daemon::Shared,
    deployment_state::ReceivedOrder,
    registration::RECORD_PREFIX,
    store::StoreError,
};

/// Start of all keys; one watch then hears of everything.
const ALL: &str = "";

/// Start of the keys of rollouts; the service follows.
pub const PLAN_PREFIX: &str = "mesh/rollout/";

/// Start of the keys that name the leader of a rollout; the service follows.
pub const LEADER_PREFIX: &str = "mesh/lead/";

/// Longest wait of one watch. A connection that has gone silent is noticed by the system's own
/// probes; this bounds what they miss.
const WATCH_WAIT: Duration = Duration::from_secs(6);

/// Wait of a watch of a node that has a source but got nothing from it: the next one is tried soon.
const SOURCELESS_WAIT: Duration = Duration::from_millis(1_000);

/// Time between the answer to a watch and the next watch, in which further changes gather, since
/// each watch is a call that costs. A configuration is to be in force two seconds after its
/// acknowledgement.
const GATHER: Duration = Duration::from_millis(1_000);

/// The same during a rollout, where a bad version gets requests until the news is there.
const GATHER_IN_ROLLOUT: Duration = Duration::from_millis(400);

/// The same right after the start, when other nodes start, too.
const GATHER_AT_START: Duration = Duration::from_millis(250);

/// Time after the start of the process for which other nodes may be starting, too.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Wait of a watch while the store is in doubt.
const RETRY_WAIT: Duration = Duration::from_millis(300);

/// Pause after a call that failed: a configuration is to be in force two seconds after its
/// acknowledgement.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Pages of one listing; at 500 keys each, far beyond the records of a deployment.
const PAGES_MAX: usize = 200;

/// Follows the store.
pub struct StoreWatcher<C: Clock> {
    shared: Arc<Shared<C>>,
    started: Instant,
    sources: SourceSelector,
    /// What an earlier process of this node knew of its upstream, until it is taken over.
    earlier: Option<Announcement>,
}

impl<C: Clock> StoreWatcher<C> {
    /// Creates a follower that has heard nothing.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        let started = shared.clock.now();
        Self { shared, started, sources: SourceSelector::default(), earlier: None }
    }

    /// Follows the store for the life of the process.
    pub async fn run(mut self) {
        loop {
            if let Some(revision) = self.list().await {
                self.watch(revision).await;
            } else {
                self.pause().await;
            }
        }
    }

    async fn pause(&self) {
        self.shared.timers.at(self.shared.clock.now() + FAILURE_PAUSE).await;
    }

    fn note(&mut self, heard: bool) {
        if heard == self.is_away() {
            self.shared.store_unreachable.set(!heard);
            let event = if heard { "store answers" } else { "store does not answer" };
            log::warn!(dependency = "store", heard = heard; "{event}");
        }
    }

    /// Reads all keys; returns the revision from which to watch.
    async fn list(&mut self) -> Option<u64> {
        let mut all = Vec::new();
        let mut after = None;
        let mut from = None;
        for _ in 0..PAGES_MAX {
            let call = Call::List { prefix: ALL.to_owned(), after: after.take() };
            let answer = self.shared.store.call(&call).await;
            let Ok(Answer::Listed { items, more, revision }) = answer else {
                log::info!(answer:? = answer; "listing failed");
                self.note(false);
                return None;
            };
            // Pages are no snapshot: what changes between them is heard by the watch.
            from = from.or(Some(revision));
            after = items.last().map(|item| item.key.clone());
            all.extend(items);
            if !more || after.is_none() {
                break;
            }
        }
        self.note(true);
        self.forget_missing(&all);
        for item in all {
            self.put(item);
        }
        self.adopt().await;
        self.shared.store_read.set(true);
        self.shared.update_admission();
        if let Some(revision) = from {
            self.shared.change_feed.begin(revision);
        }
        from
    }

    /// Takes over what an earlier process of this node knew of its upstream.
    async fn adopt(&mut self) {
        if let Some(upstream) = self.earlier.take() {
            self.shared.owner.adopt(upstream).await;
        }
    }

    /// Returns whether changes fail to arrive.
    fn is_away(&self) -> bool {
        self.shared.store_unreachable.is_set()
    }

    /// Follows changes from `revision` until some of them cannot be had any more.
    async fn watch(&mut self, revision: u64) {
        let mut known = Some(revision);
        while let Some(revision) = known {
            let source = self.source();
            known = match &source {
                None => self.watch_store(revision, WATCH_WAIT).await,
                Some(source) => match self.ask(source, revision).await {
                    Some(revision) => Some(revision),
                    None => self.watch_store(revision, SOURCELESS_WAIT).await,
                },
            };
        }
    }

    fn source(&self) -> Option<Arc<NodeRecord>> {
        let node = &self.shared.settings.node;
        let deployment = self.shared.deployment();
        self.sources.select(&deployment.members, &node.name, &node.zone, self.shared.clock.now())
    }

    /// Waits for changes at another node; returns the revision that they lead to.
    async fn ask(&mut self, source: &NodeRecord, after: u64) -> Option<u64> {
        let shared = self.shared.clone();
        shared.change_feed.set_feed_source(FeedSource::Peer);
        let peer = source.node.as_str();
        let until = shared.clock.now() + ANSWER_TIME;
        let ask = codec::encode(&ChangeRequest { after });
        let answer = shared.client.request(source.inner, CHANGES_PATH, ask, until).await;
        match answer.map(|bytes| codec::decode::<ChangeReply>(&bytes)) {
            Ok(Ok(ChangeReply::Changes(changes, revision))) => {
                let events = self.whole(changes).await?;
                self.note(true);
                self.apply(events, revision).await;
                Some(revision)
            }
            Ok(Ok(other)) => {
                log::info!(peer = peer, after = after, answer:? = other;
                    "source has no news; asking the store");
                None
            }
            Ok(Err(error)) => {
                log::warn!(peer = peer, error:? = error; "news not readable; asking the store");
                self.sources.on_no_answer(shared.clock.now());
                None
            }
            Err(outcome) => {
                log::info!(peer = peer, after = after, outcome:? = outcome;
                    "source does not answer; asking the store");
                self.sources.on_no_answer(shared.clock.now());
                None
            }
        }
    }

    /// Returns the changes with the values that were too large to be passed on.
    async fn whole(&mut self, changes: Vec<RelayedChange>) -> Option<Vec<Event>> {
        let mut events = Vec::with_capacity(changes.len());
        for change in changes {
            match change {
                RelayedChange::Whole(event) => events.push(event),
                RelayedChange::Key(key) => {
                    let call = Call::List { prefix: key.clone(), after: None };
                    let answer = self.shared.store.call(&call).await;
                    let Ok(Answer::Listed { items, .. }) = answer else {
                        log::info!(key = key, answer:? = answer; "value not read");
                        self.note(false);
                        return None;
                    };
                    events.extend(items.into_iter().filter(|item| item.key == key).map(Event::Put));
                }
            }
        }
        Some(events)
    }

    /// Waits for changes at the store; returns the revision that they lead to, or `None` if the
    /// store no longer has the changes.
    async fn watch_store(&mut self, revision: u64, wait: Duration) -> Option<u64> {
        self.set_feed_source();
        // While the store is in doubt, a watch returns soon, so that silence is noticed soon.
        let wait = if self.is_away() { RETRY_WAIT } else { wait };
        let call = Call::Watch { prefix: ALL.to_owned(), after: revision, wait };
        let shared = self.shared.clone();
        let work = shared.store.call(&call);
        let answer = match select(pin!(work), pin!(shared.store_failure())).await {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => {
                log::info!(revision = revision; "watch given up, since a call went unanswered");
                Err(StoreError::Lost)
            }
        };
        self.note(answer.is_ok() && !matches!(answer, Ok(Answer::Busy)));
        self.set_feed_source();
        match answer {
            Ok(Answer::Changes { events, revision: next }) => {
                let any = !events.is_empty();
                let revision = revision.max(next);
                self.apply(events, revision).await;
                if any {
                    self.shared.timers.at(self.shared.clock.now() + self.gather()).await;
                }
                Some(revision)
            }
            Ok(Answer::Forgotten) => {
                log::warn!(revision = revision; "store has dropped its history; reading anew");
                None
            }
            _ => {
                self.pause().await;
                Some(revision)
            }
        }
    }

    fn set_feed_source(&self) {
        let feed_source = if self.is_away() { FeedSource::Retrying } else { FeedSource::Store };
        self.shared.change_feed.set_feed_source(feed_source);
    }

    async fn apply(&mut self, events: Vec<Event>, revision: u64) {
        self.shared.change_feed.add(&events, revision);
        if events.is_empty() {
            return;
        }
        for event in events {
            match event {
                Event::Put(item) => self.put(item),
                Event::Removed { key, .. } => self.removed(&key),
            }
        }
        self.adopt().await;
        self.shared.update_admission();
    }

    /// Returns how long changes gather before the next watch.
    fn gather(&self) -> Duration {
        let age = self.shared.clock.now().saturating_duration_since(self.started);
        if age < START_TIME {
            return GATHER_AT_START;
        }
        if self.shared.deployment().has_open_rollout() { GATHER_IN_ROLLOUT } else { GATHER }
    }

    fn forget_missing(&self, items: &[Item]) {
        let keys: Vec<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let holds = |prefix: &str, name: &str| keys.contains(&format!("{prefix}{name}").as_str());
        let now = self.shared.clock.now();
        let mut deployment = self.shared.deployment();
        deployment.members.reconcile(&keys, now);
        deployment.evacuated.retain(|zone, _| holds(EVACUATION_PREFIX, zone.as_str()));
        deployment.orders.retain(|service, _| holds(ROLLOUT_PREFIX, service.as_str()));
        deployment.plans.retain(|service, _| holds(PLAN_PREFIX, service.as_str()));
        deployment.leaders.retain(|service, _| holds(LEADER_PREFIX, service.as_str()));
    }

    fn put(&mut self, item: Item) {
        let key = item.key.as_str();
        if key == CONFIG_KEY {
            self.config(&item);
        } else if let Some(node) = key.strip_prefix(RECORD_PREFIX) {
            self.record(node, &item);
        } else if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            let known =
                self.shared.deployment().evacuated.insert(ZoneName::new(zone), item.revision);
            if known.is_none() {
                log::info!(zone = zone, revision = item.revision; "zone is out of service");
            }
        } else if key.starts_with(ROLLOUT_PREFIX) {
            self.order(&item);
        } else if let Some(service) = key.strip_prefix(PLAN_PREFIX) {
            self.plan(service, &item);
        } else if let Some(service) = key.strip_prefix(LEADER_PREFIX) {
            let leader = NodeName::new(String::from_utf8_lossy(&item.value).as_ref());
            log::info!(service = service, leader = leader.as_str(), revision = item.revision;
                "rollout has a leader");
            let leaders = &mut self.shared.deployment().leaders;
            leaders.insert(ServiceName::new(service), (item.revision, leader));
        } else if !key.starts_with(STATUS_PREFIX) {
            log::debug!(key = key; "key of another writer passed over");
        }
    }

    fn removed(&self, key: &str) {
        let now = self.shared.clock.now();
        if let Some(node) = key.strip_prefix(RECORD_PREFIX) {
            log::info!(peer = node; "record of a node has vanished");
            if node == self.shared.settings.node.name.as_str() {
                self.shared.rewrite();
            }
            self.shared.deployment().members.remove(key, now);
        } else if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            log::info!(zone = zone; "zone is back in service");
            self.shared.deployment().evacuated.remove(zone);
        } else if let Some(service) = key.strip_prefix(ROLLOUT_PREFIX) {
            self.shared.deployment().orders.remove(service);
        } else if let Some(service) = key.strip_prefix(PLAN_PREFIX) {
            self.shared.deployment().plans.remove(service);
        } else if let Some(service) = key.strip_prefix(LEADER_PREFIX) {
            log::info!(service = service; "rollout has lost its leader");
            self.shared.deployment().leaders.remove(service);
        }
    }

    fn config(&self, item: &Item) {
        let cfg = match config::read(&item.value) {
            Ok(cfg) => cfg,
            Err(error) => {
                log::error!(revision = item.revision, error:% = error;
                    "configuration not readable; the one before stays in force");
                return;
            }
        };
        let mut deployment = self.shared.deployment();
        // One process never goes back, whatever an answer that was under way says.
        if deployment.config.as_ref().is_some_and(|(known, _)| *known >= item.revision) {
            return;
        }
        log::info!(version = cfg.version, revision = item.revision, hosts = cfg.hosts.len(),
            services = cfg.services.len(); "configuration in force");
        deployment.config = Some((item.revision, Arc::new(cfg)));
    }

    fn record(&mut self, node: &str, item: &Item) {
        let record: NodeRecord = match serde_json::from_slice(&item.value) {
            Ok(record) => record,
            Err(error) => {
                log::info!(peer = node, error:% = error; "record of a node not readable");
                return;
            }
        };
        if record.node == self.shared.settings.node.name
            && record.incarnation != self.shared.incarnation
        {
            let beside = self.shared.settings.node.upstream;
            self.earlier = record.upstream.filter(|upstream| upstream.address == beside);
            self.shared.rewrite();
            return;
        }
        let upstream = record.upstream.as_ref();
        log::info!(peer = node, revision = item.revision, stopping = record.stopping,
            service = upstream.map_or("", |u| u.service.as_str()),
            version = upstream.map_or("", |u| u.version.as_str()),
            upstream = upstream.map_or("", |u| &u.incarnation.id),
            stage:? = upstream.map(|u| u.stage); "record of a node");
        self.shared.deployment().members.put(&item.key, record);
    }

    fn order(&self, item: &Item) {
        match rollout::read_order(&item.value) {
            Ok(order) => {
                let mut deployment = self.shared.deployment();
                let known = deployment.orders.get(&order.service).map(|heard| heard.revision);
                if known == Some(item.revision) {
                    return;
                }
                log::info!(service = order.service.as_str(), version = order.version.as_str(),
                    within_s = order.within.as_secs_f64(), revision = item.revision;
                    "rollout ordered");
                let at = self.shared.clock.now();
                let heard = ReceivedOrder { revision: item.revision, at, order: order.clone() };
                deployment.orders.insert(order.service, heard);
            }
            Err(error) => log::error!(key = &*item.key, error:% = error; "order not readable"),
        }
    }

    fn plan(&self, service: &str, item: &Item) {
        match serde_json::from_slice::<RolloutPlan>(&item.value) {
            Ok(plan) => {
                let mut deployment = self.shared.deployment();
                let service = ServiceName::new(service);
                if deployment.plans.get(&service).is_some_and(|(known, _)| *known >= item.revision)
                {
                    return;
                }
                log::info!(service = service.as_str(), version = plan.version.as_str(),
                    phase:? = plan.phase, share = plan.share, revision = item.revision,
                    why = plan.reason.as_deref().unwrap_or(""); "rollout state");
                deployment.plans.insert(service, (item.revision, plan));
            }
            Err(error) => log::error!(service = service, error:% = error; "plan not readable"),
        }
    }
}
