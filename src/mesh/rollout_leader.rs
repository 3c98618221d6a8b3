//! Carries out rollout orders: one node of the service leads, and any other can take over.
//!
//! The leader holds a key under its lease. Each of its writes names the revision of that key and
//! of the rollout's state, so that a leader that was replaced, or a write that the store carries
//! out late, changes nothing.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use futures_util::future::join_all;
use oleandertiller_mesh::{
    members::NodeRecord,
    rollout::{
        BAD_P_VALUE, BAD_P_VALUE_AT_FULL_SHARE, Evidence, Finding, Phase, RolloutPlan,
        RolloutProgress, Step, assess, next_step,
    },
};
use oleandertiller_model::{Clock, NodeName, ServiceName, codec};
use oleandertiller_platform::{
    rollout::{RolloutState, STATUS_PREFIX, write_status},
    store::{Answer, Call, Transaction},
};

use super::{
    daemon::Shared,
    deployment_state::ReceivedOrder,
    message::EVIDENCE_PATH,
    store_watcher::{LEADER_PREFIX, PLAN_PREFIX},
};

/// Time between two looks at a rollout. A bad version fails tens of requests a second.
const LOOK: Duration = Duration::from_millis(250);

/// Shortest time over which the rate of answers is told.
const RATE_TIME: Duration = Duration::from_millis(1_100);

/// Longest wait for the evidence of one owner.
const EVIDENCE_TIME: Duration = Duration::from_millis(300);

/// Time for which each node lets those before it, by name, take the lead first.
const LEAD_TURN: Duration = Duration::from_millis(200);

/// Leads rollouts of the service of the upstream beside the node.
pub struct RolloutLeader<C: Clock> {
    shared: Arc<Shared<C>>,
    /// Evidence by owner and start of its process, so that a restart loses none.
    evidence: BTreeMap<(NodeName, u64), Evidence>,
    /// Revision of the order that the evidence belongs to.
    order: u64,
    /// When answers were first counted, and how many there were.
    counted: Option<(Instant, u64)>,
    /// When the version was first seen to get all requests, and the evidence then.
    before_all: Option<(Instant, Evidence)>,
    leaderless: Option<Instant>,
}

impl<C: Clock> RolloutLeader<C> {
    /// Creates a leader without a rollout.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        Self {
            shared,
            evidence: BTreeMap::new(),
            order: 0,
            counted: None,
            before_all: None,
            leaderless: None,
        }
    }

    /// Looks at rollouts for the life of the process.
    pub async fn run(mut self) {
        loop {
            self.shared.timers.at(self.shared.clock.now() + LOOK).await;
            if self.shared.is_stopping() {
                return self.resign().await;
            }
            let Some((service, heard)) = self.open_order() else {
                self.evidence.clear();
                self.leaderless = None;
                continue;
            };
            if self.leads(&service).await {
                self.lead(&service, &heard).await;
            }
        }
    }

    /// Gives the lead up, so that another node takes over at once.
    async fn resign(&self) {
        for (service, revision) in self.shared.leads() {
            let key = format!("{LEADER_PREFIX}{service}");
            let transaction = Transaction {
                conditions: vec![(key.clone(), revision)],
                writes: Vec::new(),
                removals: vec![key],
            };
            let answer = self.shared.store.call(&Call::Write(transaction)).await;
            log::info!(service = service.as_str(), answer:? = answer; "gives up the lead");
        }
    }

    /// Returns the order for this node's service if it is not carried out yet.
    fn open_order(&self) -> Option<(ServiceName, ReceivedOrder)> {
        let service = self.shared.owner.announcement()?.service;
        let deployment = self.shared.deployment();
        let heard = deployment.orders.get(&service)?;
        let done = deployment.plans.get(&service).is_some_and(|(_, plan)| {
            plan.order_revision >= heard.revision && plan.phase != Phase::Running
        });
        (!done).then(|| (service.clone(), heard.clone()))
    }

    /// Returns whether this node leads; takes the lead if nobody does.
    async fn leads(&mut self, service: &ServiceName) -> bool {
        let now = self.shared.clock.now();
        let name = &self.shared.settings.node.name;
        let leader = self.shared.deployment().leaders.get(service).cloned();
        if let Some((revision, leader)) = leader {
            self.leaderless = None;
            // The key may stem from an earlier process of this node; its lease then ends soon.
            return leader == *name && self.shared.lead_revision(service) == Some(revision);
        }
        let since = *self.leaderless.get_or_insert(now);
        let turn = LEAD_TURN * self.nodes_before(service) as u32;
        if now.saturating_duration_since(since) < turn {
            return false;
        }
        let Some(lease) = self.shared.lease() else { return false };
        let key = format!("{LEADER_PREFIX}{service}");
        let transaction = Transaction {
            conditions: vec![(key.clone(), 0)],
            writes: vec![(key, name.as_str().as_bytes().to_vec(), lease)],
            removals: Vec::new(),
        };
        if let Ok(Answer::Written { revision }) =
            self.shared.store.call(&Call::Write(transaction)).await
        {
            log::info!(service = service.as_str(), revision = revision; "leads the rollout");
            self.shared.set_lead_revision(service, revision);
            self.shared.deployment().leaders.insert(service.clone(), (revision, name.clone()));
            return true;
        }
        false
    }

    /// Returns the number of nodes of the service whose names come before this one's.
    fn nodes_before(&self, service: &ServiceName) -> usize {
        let name = &self.shared.settings.node.name;
        let deployment = self.shared.deployment();
        let before = deployment.members.iter().filter(|member| {
            let upstream = member.record.upstream.as_ref();
            upstream.is_some_and(|u| u.service == *service) && member.record.node < *name
        });
        before.count()
    }

    async fn lead(&mut self, service: &ServiceName, heard: &ReceivedOrder) {
        if self.order != heard.revision {
            self.order = heard.revision;
            self.counted = None;
            self.before_all = None;
            self.evidence.clear();
        }
        let known = self.shared.deployment().plans.get(service).cloned();
        let (revision, plan) = match known {
            Some((revision, plan)) if plan.order_revision >= heard.revision => (revision, plan),
            other => {
                let revision = other.map_or(0, |(revision, _)| revision);
                let plan = RolloutPlan {
                    order_revision: heard.revision,
                    version: heard.order.version.clone(),
                    phase: Phase::Running,
                    share: 0.0,
                    started_ms: self.wall_ms(),
                    reason: None,
                };
                self.write(service, revision, plan).await;
                return;
            }
        };
        self.gather(service).await;
        let mut all = Evidence::default();
        self.evidence.values().for_each(|evidence| all.merge(evidence));
        let finding = self.judge(&all, &plan);
        let by_wall = Duration::from_millis(self.wall_ms().saturating_sub(plan.started_ms));
        let elapsed = self.shared.clock.now().saturating_duration_since(heard.at).max(by_wall);
        let versions = self.shared.deployment().versions(service);
        let serves = versions.contains_key(&plan.version);
        let progress = RolloutProgress {
            elapsed,
            time_limit: heard.order.within,
            new_is_serving: serves,
            at_full_share: self.before_all.as_ref().map_or(Duration::ZERO, |(since, _)| {
                self.shared.clock.now().saturating_duration_since(*since)
            }),
            answers_per_second: self.rate(all.answers(None)),
            new_answers: all.answers(Some(&plan.version)),
            exposure: self.shared.exposure(),
        };
        let step = next_step(&plan, &finding, &progress);
        log::info!(service = service.as_str(), version = plan.version.as_str(),
            share = plan.share, passed_ms = elapsed.as_millis() as u64, finding:? = finding,
            step:? = step; "rollout judged");
        let plan = match step {
            Step::Stay => return,
            Step::Share(share) => RolloutPlan { share, ..plan },
            Step::Complete => RolloutPlan { phase: Phase::Completed, share: 1.0, ..plan },
            Step::RollBack(why) => RolloutPlan {
                phase: Phase::RolledBack,
                share: 0.0,
                reason: Some(why.into()),
                ..plan
            },
        };
        self.write(service, revision, plan).await;
    }

    /// Writes the state of a rollout, and what the operators read, if nobody else has.
    async fn write(&self, service: &ServiceName, revision: u64, plan: RolloutPlan) {
        let Some(fence) = self.shared.lead_revision(service) else { return };
        let state = match plan.phase {
            Phase::Running => RolloutState::Running,
            Phase::Completed => RolloutState::Completed,
            Phase::RolledBack => RolloutState::RolledBack,
        };
        let value = match serde_json::to_vec(&plan) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "rollout state cannot be written as JSON");
                return;
            }
        };
        let plan_key = format!("{PLAN_PREFIX}{service}");
        let status_key = format!("{STATUS_PREFIX}{service}");
        let transaction = Transaction {
            conditions: vec![
                (format!("{LEADER_PREFIX}{service}"), fence),
                (plan_key.clone(), revision),
            ],
            writes: vec![(plan_key, value, 0), (status_key, write_status(state, &plan.version), 0)],
            removals: Vec::new(),
        };
        match self.shared.store.call(&Call::Write(transaction)).await {
            Ok(Answer::Written { .. }) => {}
            // The watch tells what has become of it.
            other => log::warn!(service = service.as_str(), answer:? = other;
                "rollout state not written"),
        }
    }

    /// Asks all owners of the service for their evidence.
    async fn gather(&mut self, service: &ServiceName) {
        let now = self.shared.clock.now();
        let shared = self.shared.clone();
        let own = &shared.settings.node.name;
        let owners: Vec<Arc<NodeRecord>> = {
            let deployment = shared.deployment();
            let members = deployment.members.iter().filter(|member| {
                let upstream = member.record.upstream.as_ref();
                upstream.is_some_and(|u| u.service == *service) && member.is_reachable(now)
            });
            members.map(|member| member.record.clone()).collect()
        };
        let until = now + EVIDENCE_TIME;
        let shared = &shared;
        let asked = owners.iter().map(|record| async move {
            if record.node == *own {
                return Some((record, shared.owner.evidence()));
            }
            let request = shared.client.request(record.inner, EVIDENCE_PATH, Vec::new(), until);
            let bytes = request.await.ok()?;
            Some((record, codec::decode::<Evidence>(&bytes).ok()?))
        });
        let answers = join_all(asked).await;
        let missing = answers.iter().filter(|answer| answer.is_none()).count();
        if missing > 0 {
            log::info!(service = service.as_str(), missing = missing; "evidence is incomplete");
        }
        for (record, evidence) in answers.into_iter().flatten() {
            self.evidence.insert((record.node.clone(), record.incarnation), evidence);
        }
    }

    /// Judges by all evidence, and while the version gets all requests also by what has come since.
    fn judge(&mut self, all: &Evidence, plan: &RolloutPlan) -> Finding {
        if plan.share < 1.0 {
            self.before_all = None;
            return assess(all, &plan.version, BAD_P_VALUE);
        }
        let now = self.shared.clock.now();
        let (_, before) = self.before_all.get_or_insert_with(|| (now, all.clone()));
        let window = all.since(before, &plan.version);
        match assess(&window, &plan.version, BAD_P_VALUE_AT_FULL_SHARE) {
            bad @ Finding::Bad(_) => bad,
            _ => assess(all, &plan.version, BAD_P_VALUE),
        }
    }

    /// Returns the answers of the service a second since they were first counted.
    fn rate(&mut self, answers: u64) -> Option<f64> {
        let now = self.shared.clock.now();
        let (since, before) = *self.counted.get_or_insert((now, answers));
        let time = now.saturating_duration_since(since);
        let counted = answers.saturating_sub(before) as f64;
        (time >= RATE_TIME).then(|| counted / time.as_secs_f64())
    }

    fn wall_ms(&self) -> u64 {
        let since = self.shared.clock.wall().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }
}
