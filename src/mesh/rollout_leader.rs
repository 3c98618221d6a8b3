//! Carries out rollout orders. One node of the service is the leader; any other can take over.
//!
//! The leader holds a key under its lease. Each of its writes is conditional on the revision of
//! that key and of the rollout's plan, so that writes of a replaced leader, or writes that the
//! store applies late, have no effect.

use std::{
    collections::BTreeMap,
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

use futures_util::future::join_all;
use oleandertiller_mesh::{
    exposure::{Demand, ExposureLedger, ExposureLimit, Grant, RequestRate},
    leadership::{Candidate, LeaderStep},
    members::NodeRecord,
    rollout::{Assessor, Evidence, Finding, Phase, RolloutPlan, RolloutProgress, Step, next_step},
};
use oleandertiller_model::{Clock, NodeName, ServiceName, VersionName, codec};
use oleandertiller_platform::{
    rollout::{RolloutState, STATUS_PREFIX, write_status},
    store::{Answer, Call, Transaction},
};

use super::{
    daemon::Shared,
    deployment_state::ReceivedOrder,
    leadership::{LEADER_PREFIX, is_duty},
    message::{OwnerReport, REPORT_PATH, ReportRequest},
    store_watcher::PLAN_PREFIX,
};

/// Interval between two assessments; meanwhile a bad version fails tens of requests per second.
const ASSESS_INTERVAL: Duration = Duration::from_millis(250);

/// Timeout of requesting the report of an owner.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// What a leader grants to the owners of the new version.
#[derive(Clone, Copy, Debug, Default)]
enum Granting {
    #[default]
    Nothing,
    Within(Demand),
    Unlimited,
}

/// Leads rollouts of the local upstream's service.
pub struct RolloutLeader<C: Clock> {
    shared: Arc<Shared<C>>,
    /// Evidence by owner and incarnation, so that none is lost when an owner restarts.
    evidence: BTreeMap<(NodeName, u64), Evidence>,
    /// Requests since the order.
    exposure: ExposureLedger,
    /// Limit on the requests to a bad version.
    limit: ExposureLimit,
    /// Requests that upstreams of other versions were running at their owners' last reports.
    old_running: u32,
    /// Revision of the order that the evidence belongs to.
    order_revision: u64,
    request_rate: RequestRate,
    assessor: Assessor,
    /// What the new version's owners are granted with the next request for their reports.
    granting: Granting,
    /// Time until the next assessment.
    pause: Duration,
    candidate: Candidate,
}

impl<C: Clock> RolloutLeader<C> {
    /// Creates a leader that has taken up no rollout and keeps to `limit` in all of them.
    pub fn new(shared: Arc<Shared<C>>, limit: ExposureLimit) -> Self {
        let candidate = Candidate::new(shared.process.clone());
        Self {
            shared,
            evidence: BTreeMap::new(),
            exposure: ExposureLedger::default(),
            limit,
            old_running: 0,
            order_revision: 0,
            request_rate: RequestRate::default(),
            assessor: Assessor::default(),
            granting: Granting::Nothing,
            pause: ASSESS_INTERVAL,
            candidate,
        }
    }

    /// Takes over the leadership of rollouts and advances them until the process stops.
    pub async fn run(mut self) {
        loop {
            self.shared.timers.at(self.shared.clock.now() + self.pause).await;
            self.pause = ASSESS_INTERVAL;
            if self.shared.is_stopping() {
                return self.resign().await;
            }
            self.give_up_others().await;
            let Some((service, received)) = self.open_order() else {
                self.evidence.clear();
                self.candidate.on_no_order();
                continue;
            };
            if self.leads(&service).await {
                self.advance(&service, &received).await;
            }
        }
    }

    /// Gives up all leaderships of rollouts until the process exits, so that another node can take
    /// over. A write may take effect late, and an answer may be lost.
    async fn resign(&self) {
        loop {
            for (service, revision) in self.held_rollouts() {
                self.shared.give_up_leadership(&service, revision).await;
            }
            self.shared.timers.at(self.shared.clock.now() + ASSESS_INTERVAL).await;
        }
    }

    /// Gives up the leaderships of services that the local upstream does not run, or no longer runs.
    async fn give_up_others(&self) {
        let served = self.shared.owner.announcement().map(|announcement| announcement.service);
        for (service, revision) in self.held_rollouts() {
            if Some(&service) != served.as_ref() {
                self.shared.give_up_leadership(&service, revision).await;
            }
        }
    }

    fn held_rollouts(&self) -> Vec<(ServiceName, u64)> {
        let mut held = self.shared.deployment().leaderships_of(&self.shared.process);
        held.retain(|(service, _)| !is_duty(service));
        held
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
        let known = self.shared.deployment().leaderships.get(service).cloned();
        let before = self.nodes_before(service);
        match self.candidate.step(known.as_ref(), before, self.shared.clock.now()) {
            LeaderStep::Lead => true,
            LeaderStep::Wait => false,
            LeaderStep::TakeOver => {
                self.shared.take_leadership(service, &Transaction::default()).await;
                self.shared.leadership_revision(service).is_some()
            }
        }
    }

    /// Returns the number of nodes of the service that come before this one as leaders: those with a
    /// lesser name, and those on slow machines after all others.
    fn nodes_before(&self, service: &ServiceName) -> usize {
        let name = &self.shared.settings.node.name;
        let slow = self.shared.is_slow();
        let deployment = self.shared.deployment();
        let before = deployment.members.iter().filter(|member| {
            let upstream = member.record.upstream.as_ref();
            let record = &member.record;
            let serves = upstream.is_some_and(|u| u.service == *service);
            serves && (record.slow, &record.node) < (slow, name)
        });
        before.count()
    }

    /// Assesses the rollout and writes its next plan.
    async fn advance(&mut self, service: &ServiceName, received: &ReceivedOrder) {
        if self.order_revision != received.revision {
            self.order_revision = received.revision;
            self.evidence.clear();
            self.exposure = ExposureLedger::default();
            self.request_rate = RequestRate::default();
            self.assessor = Assessor::default();
            self.granting = Granting::Nothing;
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
                    exposed: 0,
                };
                self.write_plan(service, revision, plan).await;
                return;
            }
        };
        self.exposure.on_recorded(plan.exposed);
        self.collect_reports(service, received.revision, &plan.version).await;
        let mut all = Evidence::default();
        self.evidence.values().for_each(|evidence| all.merge(evidence));
        let now = self.shared.clock.now();
        let finding = self.assessor.assess(&all, &plan, now);
        let wall_elapsed =
            Duration::from_millis(self.unix_time_ms().saturating_sub(plan.started_ms));
        let elapsed = now.saturating_duration_since(received.at).max(wall_elapsed);
        let counts = self.exposure.counts();
        let progress = RolloutProgress {
            elapsed,
            time_limit: received.order.within,
            new_is_serving: self.shared.deployment().versions(service).contains_key(&plan.version),
            at_full_share: self.assessor.at_full_share(now),
            suspect: finding == Finding::Suspect,
            recent_answers: self.assessor.recent_answers(),
            requests_per_second: self.request_rate.record(counts.all, elapsed, now),
            upstream_per_second: self.shared.owner.full_rate(),
            old_running: self.old_running,
            counts,
            committed: self.exposure.committed(),
            exposure: self.limit,
        };
        let step = next_step(&plan, &finding, &progress);
        let allowed = progress.exposure.allowed(counts) as u64;
        self.shared.metrics.set_exposure(counts.new, allowed);
        log::info!(service = service.as_str(), version = plan.version.as_str(),
            share = plan.share, passed_ms = elapsed.as_millis() as u64, exposed = counts.new,
            allowed = allowed, all = counts.all, old_running = self.old_running,
            finding:? = finding, step:? = step; "rollout assessed");
        let share = match step {
            Step::Share(share) => share,
            _ => plan.share,
        };
        let may_grant = !matches!(finding, Finding::Bad(_));
        self.granting = match progress.requests_per_second {
            Some(per_second) if may_grant => {
                Granting::Within(Demand { share, per_second, room: progress.grantable(share) })
            }
            _ => Granting::Nothing,
        };
        if !progress.completion_in().is_zero() {
            self.pause = ASSESS_INTERVAL.min(progress.completion_in());
        }
        let plan = RolloutPlan { exposed: counts.new, ..plan };
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
        let completed = plan.phase == Phase::Completed;
        if self.write_plan(service, revision, plan).await && completed {
            // The owners may learn of the completion from the store only later.
            self.granting = Granting::Unlimited;
            self.collect_reports(service, received.revision, &received.order.version).await;
        }
    }

    /// Writes the plan and the operators' status report, if this node still leads and the stored
    /// plan is at `revision`; returns whether they are known to be written.
    async fn write_plan(&self, service: &ServiceName, revision: u64, plan: RolloutPlan) -> bool {
        let Some(fence) = self.shared.leadership_revision(service) else { return false };
        let state = match plan.phase {
            Phase::Running => RolloutState::Running,
            Phase::Completed => RolloutState::Completed,
            Phase::RolledBack => RolloutState::RolledBack,
        };
        let status = write_status(state, &plan.version);
        let value = match serde_json::to_vec(&plan) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "rollout plan could not be encoded as JSON");
                return false;
            }
        };
        let plan_key = format!("{PLAN_PREFIX}{service}");
        let status_key = format!("{STATUS_PREFIX}{service}");
        let transaction = Transaction {
            conditions: vec![
                (format!("{LEADER_PREFIX}{service}"), fence),
                (plan_key.clone(), revision),
            ],
            // The revision in the answer is that of the last write.
            writes: vec![(status_key, status, 0), (plan_key.clone(), value, 0)],
            removals: Vec::new(),
        };
        match self.shared.store.call(&Call::Write(transaction)).await {
            Ok(Answer::Written { revision }) => {
                // The watch may take longer than an assessment.
                let mut deployment = self.shared.deployment();
                deployment.lost_plans.remove(service);
                deployment.plans.insert(service.clone(), (revision, plan));
                true
            }
            Ok(Answer::Conflict(items)) => {
                log::warn!(service = service.as_str(), revision = revision;
                    "rollout plan not written: the plan or the leader has been written meanwhile");
                self.shared.on_leadership_conflict(service, fence, &items);
                let stored = items.iter().find(|item| item.key == plan_key);
                if let Some(item) = stored
                    && let Ok(plan) = serde_json::from_slice(&item.value)
                {
                    let plans = &mut self.shared.deployment().plans;
                    plans.insert(service.clone(), (item.revision, plan));
                }
                false
            }
            // Whether it was applied is learned from the watch.
            other => {
                log::warn!(service = service.as_str(), answer:? = other;
                    "rollout plan not written");
                false
            }
        }
    }

    /// Collects the reports of all owners of the service on an order for `version`, and sends the
    /// new version's owners their grants.
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
        let is_new = |record: &NodeRecord| {
            record.upstream.as_ref().is_some_and(|upstream| upstream.version == *version)
        };
        let new = owners.iter().filter(|record| is_new(record));
        let mut new: Vec<_> = new.map(|record| (record.node.clone(), record.incarnation)).collect();
        new.sort();
        let totals = match std::mem::take(&mut self.granting) {
            Granting::Nothing => Vec::new(),
            Granting::Within(demand) => self.exposure.grant(&new, demand, now),
            Granting::Unlimited => vec![Some(Grant::UNLIMITED); new.len()],
        };
        let fence = shared.leadership_revision(service).unwrap_or(0);
        let grant = |up_to| Grant { order_revision, fence, up_to };
        let grants: BTreeMap<NodeName, Grant> = new
            .into_iter()
            .zip(totals)
            .filter_map(|((node, _), up_to)| Some((node, grant(up_to?))))
            .collect();
        let until = now + REPORT_TIMEOUT;
        let (shared, grants) = (&shared, &grants);
        let requests = owners.iter().map(|record| async move {
            let request = ReportRequest { grant: grants.get(&record.node).cloned() };
            if record.node == *own_name {
                return Some((record, shared.owner.report(request)));
            }
            let request = codec::encode(&request);
            let request = shared.client.request(record.inner, REPORT_PATH, request, until);
            let bytes = request.await.ok()?;
            Some((record, codec::decode::<OwnerReport>(&bytes).ok()?))
        });
        let answers = join_all(requests).await;
        let missing = answers.iter().filter(|answer| answer.is_none()).count();
        if missing > 0 {
            log::info!(service = service.as_str(), missing = missing;
                "reports of some owners are missing");
        }
        self.exposure.begin_round();
        self.old_running = 0;
        for (record, report) in answers.into_iter().flatten() {
            let owner = (record.node.clone(), record.incarnation);
            self.exposure.on_counts(owner.clone(), &report.counts, order_revision, version);
            self.evidence.insert(owner, report.evidence);
            if !is_new(record) {
                self.old_running += report.running;
            }
        }
    }

    fn unix_time_ms(&self) -> u64 {
        let since = self.shared.clock.wall().duration_since(UNIX_EPOCH);
        since.unwrap_or_default().as_millis() as u64
    }
}
