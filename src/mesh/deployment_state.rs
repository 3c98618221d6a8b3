//! What one node knows of the deployment.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    admission_queue::OwnerState,
    budget::{RetryBudget, RetryBudgetConfig},
    config::{Config, Route},
    hedge::LatencyEstimate,
    members::{Member, Members, NodeRecord},
    placement::Candidate,
    rollout::{AllowedVersions, Phase, RolloutPlan},
    upstream::Stage,
};
use oleandertiller_model::{NodeName, ServiceName, VersionName, ZoneName};
use oleandertiller_platform::rollout::RolloutOrder;

/// An order of the operators, as heard.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    /// The order.
    pub order: RolloutOrder,
    /// Revision of its key.
    pub revision: u64,
    /// When this node heard it.
    pub at: Instant,
}

/// What one node knows of the deployment.
#[derive(Debug)]
pub struct DeploymentState {
    /// The configuration in force and the revision of its key.
    pub config: Option<(u64, Arc<Config>)>,
    /// The other nodes, and this one.
    pub members: Members,
    /// Zones that are out of service.
    pub evacuated: BTreeMap<ZoneName, u64>,
    /// Rollout orders by service.
    pub orders: BTreeMap<ServiceName, ReceivedOrder>,
    /// Rollouts by service, with the revision of their key.
    pub plans: BTreeMap<ServiceName, (u64, RolloutPlan)>,
    /// Who leads a rollout: the revision of the key, and the node.
    pub leaders: BTreeMap<ServiceName, (u64, NodeName)>,
    states: HashMap<NodeName, (OwnerState, Instant)>,
    sent: HashMap<NodeName, u32>,
    times: HashMap<Arc<str>, LatencyEstimate>,
    deadlines: HashMap<Arc<str>, Duration>,
    budgets: HashMap<ServiceName, RetryBudget>,
    budget: RetryBudgetConfig,
    started: Instant,
}

impl DeploymentState {
    /// Creates a world of which nothing is known.
    pub fn new(budget: RetryBudgetConfig, started: Instant) -> Self {
        Self {
            config: None,
            members: Members::default(),
            evacuated: BTreeMap::new(),
            orders: BTreeMap::new(),
            plans: BTreeMap::new(),
            leaders: BTreeMap::new(),
            states: HashMap::new(),
            sent: HashMap::new(),
            times: HashMap::new(),
            deadlines: HashMap::new(),
            budgets: HashMap::new(),
            budget,
            started,
        }
    }

    /// Returns which versions of a service may serve.
    pub fn admission(&self, service: &ServiceName) -> AllowedVersions {
        let plan = self.plans.get(service).map(|(_, plan)| plan);
        let order = self.orders.get(service);
        AllowedVersions::new(plan, order.map(|heard| (heard.revision, &heard.order.version)))
    }

    /// Returns whether a version is in a rollout that has not ended.
    pub fn is_rolling_out(&self, service: &ServiceName, version: &VersionName) -> bool {
        let plan = self.plans.get(service);
        plan.is_some_and(|(_, plan)| plan.phase == Phase::Running && plan.version == *version)
    }

    /// Returns whether any service is in a rollout.
    pub fn has_open_rollout(&self) -> bool {
        let running = self.plans.values().any(|(_, plan)| plan.phase == Phase::Running);
        let open = self.orders.iter().any(|(service, heard)| {
            self.plans.get(service).is_none_or(|(_, plan)| plan.order_revision < heard.revision)
        });
        running || open
    }

    /// Returns whether a zone takes requests.
    pub fn is_zone_in_service(&self, zone: &ZoneName) -> bool {
        !self.evacuated.contains_key(zone)
    }

    /// Returns the owners of a service that may be asked, with their records.
    pub fn owners(&self, service: &ServiceName, now: Instant) -> Vec<(Candidate, Arc<NodeRecord>)> {
        let admission = self.admission(service);
        let usable = |member: &&Member| {
            let Some(upstream) = &member.record.upstream else { return false };
            upstream.service == *service
                && upstream.stage == Stage::Serving
                && !member.record.stopping
                && admission.allows(&upstream.version)
                && self.is_zone_in_service(&member.record.zone)
                && member.is_reachable(now)
        };
        let members = self.members.iter().filter(usable);
        members.map(|member| (self.candidate(member), member.record.clone())).collect()
    }

    fn candidate(&self, member: &Member) -> Candidate {
        let node = &member.record.node;
        Candidate {
            node: node.clone(),
            zone: member.record.zone.clone(),
            state: self.states.get(node).copied(),
            in_flight: self.sent.get(node).copied().unwrap_or(0),
            tried: member.is_tried(),
        }
    }

    /// Takes note that a request is on its way to an owner.
    pub fn on_sent(&mut self, node: &NodeName) {
        self.members.on_sent(node);
        *self.sent.entry(node.clone()).or_default() += 1;
    }

    /// Takes note that a request has come back.
    pub fn on_returned(&mut self, node: &NodeName) {
        if let Some(sent) = self.sent.get_mut(node) {
            *sent = sent.saturating_sub(1);
        }
    }

    /// Takes the state that an owner has told with an answer.
    pub fn on_state(&mut self, node: &NodeName, state: OwnerState, now: Instant) {
        self.members.on_answer(node, now);
        self.states.insert(node.clone(), (state, now));
    }

    /// Takes the time from the hand-over to the answer of a route's request.
    pub fn on_answer_time(&mut self, route: &Arc<str>, time: Duration) {
        if let Some(times) = self.times.get_mut(route) {
            times.record(time);
        }
    }

    /// Returns how long the client of a request has been waiting: clients of one route start with
    /// the same deadline, and one that comes back after a refusal has less left.
    pub fn waited(&mut self, route: &Arc<str>, time_left: Duration) -> Duration {
        let most = self.deadlines.entry(route.clone()).or_insert(time_left);
        *most = time_left.max(*most);
        *most - time_left
    }

    /// Returns the mean time from the hand-over to the answer of a route's requests.
    pub fn mean_answer_time(&mut self, route: &Route) -> Duration {
        let times = self.times.entry(route.name.clone());
        times.or_insert_with(|| LatencyEstimate::new(route.objective)).mean()
    }

    /// Returns the time after which a second owner is asked.
    pub fn hedge_after(&mut self, route: &Route) -> Duration {
        let times = self.times.entry(route.name.clone());
        times.or_insert_with(|| LatencyEstimate::new(route.objective)).hedge_delay()
    }

    /// Credits a client's request to the budget of repeats.
    pub fn on_request(&mut self, service: &ServiceName, now: Instant) {
        self.budget(service).on_request(now);
    }

    /// Counts a request that is a repeat although it is sent for the first time: a call of an
    /// upstream in a repeated run.
    pub fn count_retry(&mut self, service: &ServiceName, now: Instant) {
        self.budget(service).take_unchecked(now);
    }

    /// Takes a repeat out of the budget.
    pub fn take_retry(&mut self, service: &ServiceName, now: Instant) -> bool {
        let nodes = self.members.peak_count();
        // Until the other nodes are known, the fixed part of the budget cannot be divided.
        nodes > 0 && self.budget(service).try_take(nodes, now)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let (cfg, started) = (self.budget, self.started);
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(cfg, started))
    }

    /// Returns the versions of a service that serve, by number of upstreams.
    pub fn versions(&self, service: &ServiceName) -> BTreeMap<VersionName, usize> {
        let mut versions = BTreeMap::new();
        for member in self.members.iter() {
            let upstream = member.record.upstream.as_ref();
            let serving = upstream.filter(|u| u.service == *service && u.stage == Stage::Serving);
            if let Some(upstream) = serving {
                *versions.entry(upstream.version.clone()).or_default() += 1;
            }
        }
        versions
    }

    /// Returns the rate that a cold upstream of a service bears.
    pub fn cold_rate(&self, service: &ServiceName) -> Option<f64> {
        self.config.as_ref()?.1.services.get(service)?.cold_per_second
    }
}

/// Returns the time left until `at`; zero once it has passed.
pub fn time_left(at: Instant, now: Instant) -> Duration {
    at.saturating_duration_since(now)
}
