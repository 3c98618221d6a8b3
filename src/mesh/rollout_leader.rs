//! Carries out rollout orders. One node of the service is the leader; any other can take over.
//!
//! The leader holds a key under its lease. Each of its writes is conditional on the revision of
//! that key and of the rollout's plan, so that writes of a replaced leader, or writes that the
//! store applies late, have no effect.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use futures_util::future::join_all;
use oleandertiller_mesh::{
    exposure::ExposureLedger,
    members::NodeRecord,
    rollout::{
        BAD_P_VALUE, BAD_P_VALUE_AT_FULL_SHARE, Evidence, Finding, Phase, RolloutPlan,
        RolloutProgress, Step, assess, next_step,
    },
};
use oleandertiller_model::{Clock, NodeName, ServiceName, VersionName, codec};
use oleandertiller_platform::{
    rollout::{RolloutState, STATUS_PREFIX, write_status},
    store::{Answer, Call, Transaction},
};

use super::{
    daemon::Shared,
    deployment_state::ReceivedOrder,
    message::{OwnerReport, REPORT_PATH},
    store_watcher::{LEADER_PREFIX, PLAN_PREFIX},
};

/// Interval between two assessments; meanwhile a bad version fails tens of requests per second.
const ASSESS_INTERVAL: Duration = Duration::from_millis(250);

/// Minimum time over which the rate of answers is measured.
const MIN_RATE_TIME: Duration = Duration::from_millis(1_100);

/// Timeout of requesting the report of an owner.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// Delay of an attempt to become leader, once for each node of the service with a lesser name, so
/// that the nodes try in turn.
const LEADERSHIP_DELAY: Duration = Duration::from_millis(200);

/// Leads rollouts of the local upstream's service.
pub struct RolloutLeader<C: Clock> {
    shared: Arc<Shared<C>>,
    /// Evidence by owner and incarnation, so that none is lost when an owner restarts.
    evidence: BTreeMap<(NodeName, u64), Evidence>,
    /// Requests since the order.
    exposure: ExposureLedger,
    /// Requests that upstreams of other versions were running at their owners' last reports.
    old_running: u32,
    /// Revision of the order that the evidence belongs to.
    order_revision: u64,
    /// Time of the first count of the service's answers, and their number then.
    first_count: Option<(Instant, u64)>,
    /// When the new version was first found to get all requests, and the evidence at that time.
    full_share_start: Option<(Instant, Evidence)>,
    /// When the open order was first found without a leader.
    leaderless_since: Option<Instant>,
}

impl<C: Clock> RolloutLeader<C> {
    /// Creates a leader that has taken up no rollout.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        Self {
            shared,
            evidence: BTreeMap::new(),
            exposure: ExposureLedger::default(),
            old_running: 0,
            order_revision: 0,
            first_count: None,
            full_share_start: None,
            leaderless_since: None,
        }
    }

    /// Takes over the leadership of rollouts and advances them until the process stops.
    pub async fn run(mut self) {
        loop {
            self.shared.timers.at(self.shared.clock.now() + ASSESS_INTERVAL).await;
            if self.shared.is_stopping() {
                return self.resign().await;
            }
            let Some((service, received)) = self.open_order() else {
                self.evidence.clear();
                self.leaderless_since = None;
                continue;
            };
            if self.leads(&service).await {
                self.advance(&service, &received).await;
            }
        }
    }

    /// Gives up the leadership, so that another node can take over immediately.
    async fn resign(&self) {
        for (service, revision) in self.shared.leaderships() {
            let key = format!("{LEADER_PREFIX}{service}");
            let transaction = Transaction {
                conditions: vec![(key.clone(), revision)],
                writes: Vec::new(),
                removals: vec![key],
            };
            let answer = self.shared.store.call(&Call::Write(transaction)).await;
            log::info!(service = service.as_str(), answer:? = answer;
                "leadership of the rollout given up");
        }
    }

    /// Returns the order for the local service, unless its rollout has ended.
    fn open_order(&self) -> Option<(ServiceName, ReceivedOrder)> {
        let service = self.shared.owner.announcement()?.service;
        let deployment = self.shared.deployment();
        let received = deployment.orders.get(&service)?;
        let done = deployment.plans.get(&service).is_some_and(|(_, plan)| {
            plan.order_revision >= received.revision && plan.phase != Phase::Running
        }) && !deployment.lost_plans.contains(&service);
        (!done).then(|| (service.clone(), received.clone()))
    }

    /// Returns whether this node leads, after trying to become leader if there is none.
    async fn leads(&mut self, service: &ServiceName) -> bool {
        let now = self.shared.clock.now();
        let name = &self.shared.settings.node.name;
        let leader = self.shared.deployment().leaders.get(service).cloned();
        if let Some((revision, leader)) = leader {
            self.leaderless_since = None;
            // The key may be that of an earlier process of this node, whose lease expires soon.
            return leader == *name && self.shared.leadership_revision(service) == Some(revision);
        }
        let since = *self.leaderless_since.get_or_insert(now);
        let delay = LEADERSHIP_DELAY * self.nodes_with_lesser_name(service) as u32;
        if now.saturating_duration_since(since) < delay {
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
            log::info!(service = service.as_str(), revision = revision;
                "this node leads the rollout");
            self.shared.set_leadership_revision(service, revision);
            self.shared.deployment().leaders.insert(service.clone(), (revision, name.clone()));
            return true;
        }
        false
    }

    /// Returns the number of nodes of the service with a lesser name than this one.
    fn nodes_with_lesser_name(&self, service: &ServiceName) -> usize {
        let name = &self.shared.settings.node.name;
        let deployment = self.shared.deployment();
        let before = deployment.members.iter().filter(|member| {
            let upstream = member.record.upstream.as_ref();
            upstream.is_some_and(|u| u.service == *service) && member.record.node < *name
        });
        before.count()
    }

    /// Assesses the rollout and writes its next plan.
    async fn advance(&mut self, service: &ServiceName, received: &ReceivedOrder) {
        if self.order_revision != received.revision {
            self.order_revision = received.revision;
            self.first_count = None;
            self.full_share_start = None;
            self.evidence.clear();
            self.exposure = ExposureLedger::default();
        }
        let (stored, lost) = {
            let deployment = self.shared.deployment();
            let lost = deployment.lost_plans.contains(service);
            (deployment.plans.get(service).cloned(), lost)
        };
        let (revision, plan) = match stored {
            Some((revision, plan)) if lost => {
                log::info!(service = service.as_str(), phase:? = plan.phase, share = plan.share;
                    "writing the plan again that the store has lost");
                self.write_plan(service, revision, plan).await;
                return;
            }
            Some((revision, plan)) if plan.order_revision >= received.revision => (revision, plan),
            other => {
                let revision = other.map_or(0, |(revision, _)| revision);
                let plan = RolloutPlan {
                    order_revision: received.revision,
                    version: received.order.version.clone(),
                    phase: Phase::Running,
                    share: 0.0,
                    started_ms: self.unix_time_ms(),
                    reason: None,
                };
                self.write_plan(service, revision, plan).await;
                return;
            }
        };
        self.collect_reports(service, received.revision, &plan.version).await;
        let mut all = Evidence::default();
        self.evidence.values().for_each(|evidence| all.merge(evidence));
        let finding = self.assess(&all, &plan);
        let wall_elapsed =
            Duration::from_millis(self.unix_time_ms().saturating_sub(plan.started_ms));
        let elapsed =
            self.shared.clock.now().saturating_duration_since(received.at).max(wall_elapsed);
        let versions = self.shared.deployment().versions(service);
        let is_serving = versions.contains_key(&plan.version);
        let progress = RolloutProgress {
            elapsed,
            time_limit: received.order.within,
            new_is_serving: is_serving,
            at_full_share: self.full_share_start.as_ref().map_or(Duration::ZERO, |(since, _)| {
                self.shared.clock.now().saturating_duration_since(*since)
            }),
            answers_per_second: self.answers_per_second(all.answers(None)),
            upstream_per_second: self.shared.owner.full_rate(),
            new_answers: all.answers(Some(&plan.version)),
            exposure: self.shared.exposure(),
        };
        let step = next_step(&plan, &finding, &progress);
        let counts = self.exposure.counts();
        let allowed = progress.exposure.allowed(counts) as u64;
        self.shared.metrics.set_exposure(counts.new, allowed);
        log::info!(service = service.as_str(), version = plan.version.as_str(),
            share = plan.share, passed_ms = elapsed.as_millis() as u64, exposed = counts.new,
            allowed = allowed, all = counts.all, old_running = self.old_running,
            finding:? = finding, step:? = step; "rollout assessed");
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
        self.write_plan(service, revision, plan).await;
    }

    /// Writes the plan and the operators' status report, if this node still leads and the stored
    /// plan is at `revision`.
    async fn write_plan(&self, service: &ServiceName, revision: u64, plan: RolloutPlan) {
        let Some(fence) = self.shared.leadership_revision(service) else { return };
        let state = match plan.phase {
            Phase::Running => RolloutState::Running,
            Phase::Completed => RolloutState::Completed,
            Phase::RolledBack => RolloutState::RolledBack,
        };
        let value = match serde_json::to_vec(&plan) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "rollout plan could not be encoded as JSON");
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
            // Whether it was applied is learned from the watch.
            other => log::warn!(service = service.as_str(), answer:? = other;
                "rollout plan not written"),
        }
    }

    /// Collects the reports of all owners of the service on an order for `version`.
    async fn collect_reports(
        &mut self,
        service: &ServiceName,
        order_revision: u64,
        version: &VersionName,
    ) {
        let now = self.shared.clock.now();
        let shared = self.shared.clone();
        let own_name = &shared.settings.node.name;
        let owners: Vec<Arc<NodeRecord>> = {
            let deployment = shared.deployment();
            let members = deployment.members.iter().filter(|member| {
                let upstream = member.record.upstream.as_ref();
                upstream.is_some_and(|u| u.service == *service) && member.is_reachable(now)
            });
            members.map(|member| member.record.clone()).collect()
        };
        let until = now + REPORT_TIMEOUT;
        let shared = &shared;
        let requests = owners.iter().map(|record| async move {
            if record.node == *own_name {
                return Some((record, shared.owner.report()));
            }
            let request = shared.client.request(record.inner, REPORT_PATH, Vec::new(), until);
            let bytes = request.await.ok()?;
            Some((record, codec::decode::<OwnerReport>(&bytes).ok()?))
        });
        let answers = join_all(requests).await;
        let missing = answers.iter().filter(|answer| answer.is_none()).count();
        if missing > 0 {
            log::info!(service = service.as_str(), missing = missing;
                "reports of some owners are missing");
        }
        self.old_running = 0;
        for (record, report) in answers.into_iter().flatten() {
            let owner = (record.node.clone(), record.incarnation);
            self.exposure.on_counts(owner.clone(), &report.counts, order_revision, version);
            self.evidence.insert(owner, report.evidence);
            if record.upstream.as_ref().is_some_and(|upstream| upstream.version != *version) {
                self.old_running += report.running;
            }
        }
    }

    /// Assesses all evidence and, once the version gets all requests, also the evidence since then.
    fn assess(&mut self, all: &Evidence, plan: &RolloutPlan) -> Finding {
        if plan.share < 1.0 {
            self.full_share_start = None;
            return assess(all, &plan.version, BAD_P_VALUE);
        }
        let now = self.shared.clock.now();
        let (_, before) = self.full_share_start.get_or_insert_with(|| (now, all.clone()));
        let window = all.since(before, &plan.version);
        match assess(&window, &plan.version, BAD_P_VALUE_AT_FULL_SHARE) {
            bad @ Finding::Bad(_) => bad,
            _ => assess(all, &plan.version, BAD_P_VALUE),
        }
    }

    /// Returns the service's answers per second since the first count, once [`MIN_RATE_TIME`] has
    /// passed.
    fn answers_per_second(&mut self, answers: u64) -> Option<f64> {
        let now = self.shared.clock.now();
        let (since, before) = *self.first_count.get_or_insert((now, answers));
        let time = now.saturating_duration_since(since);
        let counted = answers.saturating_sub(before) as f64;
        (time >= MIN_RATE_TIME).then(|| counted / time.as_secs_f64())
    }

    fn unix_time_ms(&self) -> u64 {
        let since = self.shared.clock.wall().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }
}
