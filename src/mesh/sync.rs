//! Follows the store: configuration, orders, rollouts and the records of all nodes.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use oleandertiller_mesh::{members::Record, rollout::Plan};
use oleandertiller_model::{Clock, NodeName, ServiceName, ZoneName};
use oleandertiller_platform::{
    config,
    rollout::{self, CONFIG_KEY, EVACUATION_PREFIX, ROLLOUT_PREFIX, STATUS_PREFIX},
    store::{Answer, Call, Event, Item},
};

use super::{daemon::Shared, register::RECORD_PREFIX, state::HeardOrder, store::StoreError};

/// Start of all keys; one watch then hears of everything.
const ALL: &str = "";

/// Start of the keys of rollouts; the service follows.
pub const PLAN_PREFIX: &str = "mesh/rollout/";

/// Start of the keys that name the leader of a rollout; the service follows.
pub const LEADER_PREFIX: &str = "mesh/lead/";

/// Longest wait of one watch. A connection that has gone silent is noticed by the system's own
/// probes; this bounds what they miss.
const WATCH_WAIT: Duration = Duration::from_secs(6);

/// Time between the answer to a watch and the next watch, in which further changes gather, since
/// each watch is a call that costs. A configuration is to be in force two seconds after its
/// acknowledgement.
const GATHER: Duration = Duration::from_millis(1_400);

/// The same during a rollout, where a bad version gets requests until the news is there.
const GATHER_IN_ROLLOUT: Duration = Duration::from_millis(400);

/// The same right after the start, when other nodes start, too.
const GATHER_AT_START: Duration = Duration::from_millis(250);

/// Time after the start of the process for which other nodes may be starting, too.
const START_TIME: Duration = Duration::from_millis(1_500);

/// Wait of a watch while the store is in doubt.
const DOUBT_WAIT: Duration = Duration::from_millis(300);

/// Pause after a call that failed: a configuration is to be in force two seconds after its
/// acknowledgement.
const FAILURE_PAUSE: Duration = Duration::from_millis(250);

/// Pages of one listing; at 500 keys each, far beyond the records of a deployment.
const PAGES_MAX: usize = 200;

/// Follows the store.
pub struct Sync<C: Clock> {
    shared: Arc<Shared<C>>,
    started: Instant,
    failing: bool,
}

impl<C: Clock> Sync<C> {
    /// Creates a follower that has heard nothing.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        let started = shared.clock.now();
        Self { shared, started, failing: false }
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
        if heard == self.failing {
            self.failing = !heard;
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
        self.shared.review();
        from
    }

    async fn watch(&mut self, mut revision: u64) {
        loop {
            // While the store is in doubt, a watch returns soon, so that silence is noticed soon.
            let wait = if self.failing { DOUBT_WAIT } else { WATCH_WAIT };
            let call = Call::Watch { prefix: ALL.to_owned(), after: revision, wait };
            let work = self.shared.store.call(&call);
            let answer = match select(pin!(work), pin!(self.shared.store_doubted())).await {
                Either::Left((answer, _)) => answer,
                Either::Right(_) => {
                    log::info!(revision = revision; "watch given up, since a call went unanswered");
                    Err(StoreError::Lost)
                }
            };
            self.note(answer.is_ok() && !matches!(answer, Ok(Answer::Busy)));
            match answer {
                Ok(Answer::Changes { events, revision: next }) => {
                    revision = revision.max(next);
                    let any = !events.is_empty();
                    for event in events {
                        match event {
                            Event::Put(item) => self.put(item),
                            Event::Removed { key, .. } => self.removed(&key),
                        }
                    }
                    if any {
                        self.shared.review();
                        self.shared.timers.at(self.shared.clock.now() + self.gather()).await;
                    }
                }
                Ok(Answer::Forgotten) => {
                    log::warn!(revision = revision; "store has dropped its history; reading anew");
                    return;
                }
                _ => self.pause().await,
            }
        }
    }

    /// Returns how long changes gather before the next watch.
    fn gather(&self) -> Duration {
        let age = self.shared.clock.now().saturating_duration_since(self.started);
        if age < START_TIME {
            return GATHER_AT_START;
        }
        if self.shared.world().is_in_rollout() { GATHER_IN_ROLLOUT } else { GATHER }
    }

    fn forget_missing(&self, items: &[Item]) {
        let keys: Vec<&str> = items.iter().map(|item| item.key.as_str()).collect();
        let holds = |prefix: &str, name: &str| keys.contains(&format!("{prefix}{name}").as_str());
        let now = self.shared.clock.now();
        let mut world = self.shared.world();
        world.members.keep_only(&keys, now);
        world.evacuated.retain(|zone, _| holds(EVACUATION_PREFIX, zone.as_str()));
        world.orders.retain(|service, _| holds(ROLLOUT_PREFIX, service.as_str()));
        world.plans.retain(|service, _| holds(PLAN_PREFIX, service.as_str()));
        world.leaders.retain(|service, _| holds(LEADER_PREFIX, service.as_str()));
    }

    fn put(&self, item: Item) {
        let key = item.key.as_str();
        if key == CONFIG_KEY {
            self.config(&item);
        } else if let Some(node) = key.strip_prefix(RECORD_PREFIX) {
            self.record(node, &item);
        } else if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            let known = self.shared.world().evacuated.insert(ZoneName::new(zone), item.revision);
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
            let leaders = &mut self.shared.world().leaders;
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
            self.shared.world().members.remove(key, now);
        } else if let Some(zone) = key.strip_prefix(EVACUATION_PREFIX) {
            log::info!(zone = zone; "zone is back in service");
            self.shared.world().evacuated.remove(zone);
        } else if let Some(service) = key.strip_prefix(ROLLOUT_PREFIX) {
            self.shared.world().orders.remove(service);
        } else if let Some(service) = key.strip_prefix(PLAN_PREFIX) {
            self.shared.world().plans.remove(service);
        } else if let Some(service) = key.strip_prefix(LEADER_PREFIX) {
            log::info!(service = service; "rollout has lost its leader");
            self.shared.world().leaders.remove(service);
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
        let mut world = self.shared.world();
        // One process never goes back, whatever an answer that was under way says.
        if world.config.as_ref().is_some_and(|(known, _)| *known >= item.revision) {
            return;
        }
        log::info!(version = cfg.version, revision = item.revision, hosts = cfg.hosts.len(),
            services = cfg.services.len(); "configuration in force");
        world.config = Some((item.revision, Arc::new(cfg)));
    }

    fn record(&self, node: &str, item: &Item) {
        let record: Record = match serde_json::from_slice(&item.value) {
            Ok(record) => record,
            Err(error) => {
                log::info!(peer = node, error:% = error; "record of a node not readable");
                return;
            }
        };
        if record.node == self.shared.settings.node.name
            && record.incarnation != self.shared.incarnation
        {
            self.shared.inherit(&record);
            self.shared.rewrite();
            return;
        }
        let upstream = record.upstream.as_ref();
        log::info!(peer = node, revision = item.revision, stopping = record.stopping,
            service = upstream.map_or("", |u| u.service.as_str()),
            version = upstream.map_or("", |u| u.version.as_str()),
            upstream = upstream.map_or("", |u| &u.incarnation.id),
            stage:? = upstream.map(|u| u.stage); "record of a node");
        self.shared.world().members.put(&item.key, record);
    }

    fn order(&self, item: &Item) {
        match rollout::read_order(&item.value) {
            Ok(order) => {
                let mut world = self.shared.world();
                let known = world.orders.get(&order.service).map(|heard| heard.revision);
                if known == Some(item.revision) {
                    return;
                }
                log::info!(service = order.service.as_str(), version = order.version.as_str(),
                    within_s = order.within.as_secs_f64(), revision = item.revision;
                    "rollout ordered");
                let at = self.shared.clock.now();
                let heard = HeardOrder { revision: item.revision, at, order: order.clone() };
                world.orders.insert(order.service, heard);
            }
            Err(error) => log::error!(key = &*item.key, error:% = error; "order not readable"),
        }
    }

    fn plan(&self, service: &str, item: &Item) {
        match serde_json::from_slice::<Plan>(&item.value) {
            Ok(plan) => {
                let mut world = self.shared.world();
                let service = ServiceName::new(service);
                if world.plans.get(&service).is_some_and(|(known, _)| *known >= item.revision) {
                    return;
                }
                log::info!(service = service.as_str(), version = plan.version.as_str(),
                    phase:? = plan.phase, share = plan.share, revision = item.revision,
                    why = plan.why.as_deref().unwrap_or(""); "rollout state");
                world.plans.insert(service, (item.revision, plan));
            }
            Err(error) => log::error!(service = service, error:% = error; "plan not readable"),
        }
    }
}
