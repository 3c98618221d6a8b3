//! A node's view of the deployment: configuration, members, rollouts and retry budgets.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    admission_queue::{ColdRate, OwnerState},
    capacity_view::{CapacityView, Size},
    config::{Config, Route},
    latency_estimate::LatencyEstimate,
    leadership::{Leadership, ProcessId},
    members::{Member, Members, NodeRecord},
    nested_calls::NestedCalls,
    peer_health::PeerHealth,
    placement::Candidate,
    retry_budget::{RetryBudget, RetryBudgetConfig, RetryReason},
    rollout::{AllowedVersions, Phase, RolloutPlan},
    upstream::{Incarnation, Stage},
    zone_capacity::{ZoneCapacity, ZoneReport},
};
use oleandertiller_model::{NodeName, ServiceName, VersionName, ZoneName};
use oleandertiller_platform::rollout::RolloutOrder;

use super::usage_view::UsageView;

/// Time after which an owner that was not asked again counts as unlimited: it may have recovered.
const LIMIT_MEMORY: Duration = Duration::from_secs(10);

/// A rollout order of the operators, as received by this node.
#[derive(Clone, Debug)]
pub struct ReceivedOrder {
    /// Decoded order.
    pub order: RolloutOrder,
    /// Revision of the order's key.
    pub revision: u64,
    /// When this node received it.
    pub at: Instant,
}

/// The rollouts that a node knew before the store was restored from a copy.
#[derive(Debug)]
pub struct KnownRollouts {
    orders: BTreeMap<ServiceName, ReceivedOrder>,
    plans: BTreeMap<ServiceName, (u64, RolloutPlan)>,
}

/// A node's view of the deployment.
#[derive(Debug)]
pub struct DeploymentState {
    /// The active configuration.
    pub config: Option<Arc<Config>>,
    /// All known nodes, including this one.
    pub members: Members,
    /// Zones that are out of service, with the revision of their key.
    pub evacuated: BTreeMap<ZoneName, u64>,
    /// Rollout orders by service.
    pub orders: BTreeMap<ServiceName, ReceivedOrder>,
    /// Rollout plans by service, with the revision of their key.
    pub plans: BTreeMap<ServiceName, (u64, RolloutPlan)>,
    /// Services whose plan the store has lost; the leader has to write it again.
    pub lost_plans: BTreeSet<ServiceName>,
    /// Leaderships of rollouts by service.
    pub leaderships: BTreeMap<ServiceName, Leadership>,
    peers: HashMap<NodeName, PeerHealth>,
    /// Available capacity of the services, by the replies of their owners.
    pub capacity: CapacityView,
    /// Services that the requests of each route call while they run here.
    pub nested_calls: NestedCalls,
    /// Usage reports as the store holds them.
    pub usage: UsageView,
    zone_capacities: HashMap<ServiceName, ZoneCapacity>,
    /// Owners whose upstream has named a limit on its requests, and when it last did.
    limited_owners: HashMap<NodeName, Instant>,
    /// Upstreams that said in a response to this node that they are leaving, by owner. The owner
    /// stops requests to them, but may have restarted since.
    leaving_upstreams: HashMap<NodeName, Incarnation>,
    latencies: HashMap<Arc<str>, LatencyEstimate>,
    longest_time_left: HashMap<Arc<str>, Duration>,
    budgets: HashMap<ServiceName, RetryBudget>,
    budget_cfg: RetryBudgetConfig,
    started: Instant,
}

impl DeploymentState {
    /// Creates an empty view.
    pub fn new(budget_cfg: RetryBudgetConfig, started: Instant) -> Self {
        Self {
            config: None,
            members: Members::default(),
            evacuated: BTreeMap::new(),
            orders: BTreeMap::new(),
            plans: BTreeMap::new(),
            lost_plans: BTreeSet::new(),
            leaderships: BTreeMap::new(),
            peers: HashMap::new(),
            capacity: CapacityView::default(),
            nested_calls: NestedCalls::default(),
            usage: UsageView::default(),
            zone_capacities: HashMap::new(),
            limited_owners: HashMap::new(),
            leaving_upstreams: HashMap::new(),
            latencies: HashMap::new(),
            longest_time_left: HashMap::new(),
            budgets: HashMap::new(),
            budget_cfg,
            started,
        }
    }

    /// Forgets the revisions of an earlier era of the store before its keys are listed anew; returns
    /// the rollouts for [`Self::resume_rollouts`].
    pub fn forget_era(&mut self) -> KnownRollouts {
        self.leaderships.clear();
        self.usage.on_removed(u64::MAX);
        KnownRollouts {
            orders: std::mem::take(&mut self.orders),
            plans: std::mem::take(&mut self.plans),
        }
    }

    /// Goes on with the rollouts that were known before the store was restored, as far as their
    /// order is still the same. The plans in the store may be older than those.
    pub fn resume_rollouts(&mut self, known: KnownRollouts) {
        for (service, known_order) in known.orders {
            let Some(received) = self.orders.get_mut(&service) else { continue };
            if received.order != known_order.order {
                continue;
            }
            received.at = known_order.at;
            let known_plan = known.plans.get(&service);
            let Some(plan) = known_plan
                .and_then(|(_, plan)| plan.after_restore(known_order.revision, received.revision))
            else {
                continue;
            };
            let stored = self.plans.get(&service);
            if stored.is_none_or(|(_, stored)| *stored != plan) {
                self.lost_plans.insert(service.clone());
            }
            let stored_revision = stored.map_or(0, |(revision, _)| *revision);
            self.plans.insert(service, (stored_revision, plan));
        }
    }

    /// Returns which versions of a service may serve.
    pub fn allowed_versions(&self, service: &ServiceName) -> AllowedVersions {
        let plan = self.plans.get(service).map(|(_, plan)| plan);
        let order = self.orders.get(service);
        AllowedVersions::new(
            plan,
            order.map(|received| (received.revision, &received.order.version)),
        )
    }

    /// Returns whether a version is the target of a running rollout.
    pub fn is_rolling_out(&self, service: &ServiceName, version: &VersionName) -> bool {
        let plan = self.plans.get(service);
        plan.is_some_and(|(_, plan)| plan.phase == Phase::Running && plan.version == *version)
    }

    /// Returns whether requests to a version need a grant of its rollout's leader; `None` if this
    /// node knows no plan for the version.
    pub fn needs_grant(&self, service: &ServiceName, version: &VersionName) -> Option<bool> {
        let (_, plan) = self.plans.get(service)?;
        (plan.version == *version).then_some(plan.phase == Phase::Running)
    }

    /// Takes over a leadership that the store holds; returns whether it is news. Answers to writes
    /// and watched changes may arrive in any order.
    pub fn on_leadership(&mut self, service: &ServiceName, leadership: Leadership) -> bool {
        let known = self.leaderships.get(service);
        if known.is_some_and(|known| known.revision >= leadership.revision) {
            return false;
        }
        self.leaderships.insert(service.clone(), leadership);
        true
    }

    /// Records that the leader's key was removed at a revision; returns whether that ends the known
    /// leadership.
    pub fn on_leadership_removed(&mut self, service: &ServiceName, revision: u64) -> bool {
        let known = self.leaderships.get(service);
        let ends = known.is_some_and(|known| known.revision < revision);
        if ends {
            self.leaderships.remove(service);
        }
        ends
    }

    /// Returns the leaderships that the store holds for a process.
    pub fn leaderships_of(&self, process: &ProcessId) -> Vec<(ServiceName, u64)> {
        let own = self.leaderships.iter().filter(|(_, held)| held.leader == *process);
        own.map(|(service, held)| (service.clone(), held.revision)).collect()
    }

    /// Returns whether any service has a running rollout, or an order that no leader has taken up.
    pub fn has_open_rollout(&self) -> bool {
        let running = self.plans.values().any(|(_, plan)| plan.phase == Phase::Running);
        let open = self.orders.iter().any(|(service, received)| {
            self.plans.get(service).is_none_or(|(_, plan)| plan.order_revision < received.revision)
        });
        running || open
    }

    /// Returns whether a zone may receive requests.
    pub fn is_zone_in_service(&self, zone: &ZoneName) -> bool {
        !self.evacuated.contains_key(zone)
    }

    /// Returns the owners of a service that may receive requests, with their records.
    pub fn owners(&self, service: &ServiceName, now: Instant) -> Vec<(Candidate, Arc<NodeRecord>)> {
        let allowed_versions = self.allowed_versions(service);
        let members = self.members.iter();
        let members =
            members.filter(|member| self.is_eligible(member, service, &allowed_versions, now));
        members.map(|member| (self.candidate(member, now), member.record.clone())).collect()
    }

    /// Returns the numbers of owners of a service that may receive requests, and of all nodes.
    pub fn service_size(&self, service: &ServiceName, now: Instant) -> Size {
        let allowed_versions = self.allowed_versions(service);
        let mut owners = BTreeMap::new();
        for member in self.members.iter() {
            if self.is_eligible(member, service, &allowed_versions, now) {
                *owners.entry(member.record.zone.clone()).or_default() += 1;
            }
        }
        Size { owners, senders: self.members.peak_count() }
    }

    fn is_eligible(
        &self,
        member: &Member,
        service: &ServiceName,
        allowed_versions: &AllowedVersions,
        now: Instant,
    ) -> bool {
        let Some(upstream) = &member.record.upstream else { return false };
        upstream.service == *service
            && upstream.stage == Stage::Serving
            && self.leaving_upstreams.get(&member.record.node) != Some(&upstream.incarnation)
            && !member.record.stopping
            && allowed_versions.allows(&upstream.version)
            && self.is_zone_in_service(&member.record.zone)
            && member.is_reachable(now)
    }

    fn candidate(&self, member: &Member, now: Instant) -> Candidate {
        let node = &member.record.node;
        Candidate {
            node: node.clone(),
            zone: member.record.zone.clone(),
            health: self.peers.get(node).copied().unwrap_or_default(),
            tried: member.is_tried(),
            limited: self
                .limited_owners
                .get(node)
                .is_some_and(|at| now.saturating_duration_since(*at) < LIMIT_MEMORY),
        }
    }

    /// Records that a request is being sent to an owner.
    pub fn on_sent(&mut self, node: &NodeName) {
        self.members.on_sent(node);
        match self.peers.get_mut(node) {
            Some(peer) => peer.on_sent(),
            None => self.peers.entry(node.clone()).or_default().on_sent(),
        }
    }

    /// Records that a request to an owner has ended, with or without an answer.
    pub fn on_ended(&mut self, node: &NodeName) {
        if let Some(peer) = self.peers.get_mut(node) {
            peer.on_ended();
        }
    }

    /// Records what a reply says of the room of zones: whether the owner started the request, if
    /// that tells, and what its node knows.
    pub fn on_zones(
        &mut self,
        service: &ServiceName,
        started: Option<(&ZoneName, bool)>,
        reports: &[ZoneReport],
        now: Instant,
    ) {
        let zones = match self.zone_capacities.get_mut(service) {
            Some(zones) => zones,
            None => self.zone_capacities.entry(service.clone()).or_default(),
        };
        if let Some((zone, started)) = started {
            zones.on_offer(zone, started, now);
        }
        zones.on_reports(reports, now);
    }

    /// Returns the room of all zones for a service, if this node has learnt of it.
    pub fn zone_capacity(&self, service: &ServiceName) -> Option<&ZoneCapacity> {
        self.zone_capacities.get(service)
    }

    /// Records how long an owner's reply took and for how long the owner had the offer; returns
    /// whether it answers late if that has changed.
    pub fn on_reply_time(
        &mut self,
        node: &NodeName,
        elapsed: Duration,
        held: Duration,
        now: Instant,
    ) -> Option<bool> {
        self.peers.get_mut(node)?.on_reply(elapsed, held, now)
    }

    /// Returns the number of peers that answer late.
    pub fn late_peers(&self) -> usize {
        self.peers.values().filter(|peer| peer.is_late()).count()
    }

    /// Sets the state of this node's own owner.
    pub fn on_own_state(&mut self, node: &NodeName, state: OwnerState, now: Instant) {
        self.peers.entry(node.clone()).or_default().on_state(state, now);
    }

    /// Records the state that an owner sent with its answer.
    pub fn on_state(&mut self, node: &NodeName, state: OwnerState, now: Instant) {
        self.members.on_answer(node, now);
        self.peers.entry(node.clone()).or_default().on_state(state, now);
    }

    /// Records whether an owner's upstream limits its requests.
    pub fn on_limited(&mut self, node: &NodeName, limited: bool, now: Instant) {
        match limited {
            true => drop(self.limited_owners.insert(node.clone(), now)),
            false => drop(self.limited_owners.remove(node)),
        }
    }

    /// Records that an owner's upstream has said in a response that it is leaving; returns whether
    /// that is news.
    pub fn on_leaving(&mut self, node: &NodeName, incarnation: &Incarnation) -> bool {
        let previous = self.leaving_upstreams.insert(node.clone(), incarnation.clone());
        previous.as_ref() != Some(incarnation)
    }

    /// Forgets what was learned of an owner that is gone.
    pub fn forget_owner(&mut self, node: &NodeName) {
        self.limited_owners.remove(node);
        self.leaving_upstreams.remove(node);
        self.capacity.forget_owner(node);
    }

    /// Records the time from dispatch to answer of a request.
    pub fn record_answer_time(
        &mut self,
        route: &Arc<str>,
        service: &ServiceName,
        time: Duration,
        now: Instant,
    ) {
        let slowness = self.capacity.slowness(service, now);
        if let Some(estimate) = self.latencies.get_mut(route) {
            estimate.record(time, slowness);
        }
    }

    /// Estimates how long a client has been waiting from the time it has left: all clients of a
    /// route start with the same deadline, and one that returns after a refusal has less left.
    pub fn waited(&mut self, route: &Arc<str>, time_left: Duration) -> Duration {
        let longest = self.longest_time_left.entry(route.clone()).or_insert(time_left);
        *longest = time_left.max(*longest);
        *longest - time_left
    }

    /// Returns the expected time from dispatch to answer of a request that starts now.
    pub fn expected_answer_time(
        &mut self,
        route: &Route,
        service: &ServiceName,
        now: Instant,
    ) -> Duration {
        let slowness = self.capacity.slowness(service, now);
        let estimate = self.latencies.entry(route.name.clone());
        estimate.or_insert_with(|| LatencyEstimate::new(route.objective)).expected(slowness)
    }

    /// Returns the time within which most of a route's answers come; zero if none has come yet.
    pub fn usual_answer_time(&self, route: &Arc<str>) -> Duration {
        self.latencies.get(route).map_or(Duration::ZERO, LatencyEstimate::usual_limit)
    }

    /// Returns the time after dispatch at which a hedged request is sent.
    pub fn hedge_delay(&mut self, route: &Route) -> Duration {
        let estimate = self.latencies.entry(route.name.clone());
        estimate.or_insert_with(|| LatencyEstimate::new(route.objective)).hedge_delay()
    }

    /// Credits a client's request to the service's retry budget.
    pub fn on_request(&mut self, service: &ServiceName, now: Instant) {
        self.budget(service).on_request(now);
    }

    /// Counts a first attempt as a retry, whether the budget allows it or not: a call that an
    /// upstream makes while it runs a retried request.
    pub fn count_retry(&mut self, service: &ServiceName, now: Instant) {
        self.budget(service).take_unchecked(now);
    }

    /// Takes a retry from the service's budget; returns whether the budget allows it.
    pub fn take_retry(&mut self, service: &ServiceName, reason: RetryReason, now: Instant) -> bool {
        let nodes = self.members.peak_count();
        // The fixed part of the budget is divided among all nodes, so they must be known.
        nodes > 0 && self.budget(service).try_take(reason, nodes, now)
    }

    fn budget(&mut self, service: &ServiceName) -> &mut RetryBudget {
        let (cfg, started) = (self.budget_cfg, self.started);
        self.budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(cfg, started))
    }

    /// Returns the serving versions of a service with their number of upstreams.
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

    /// Returns the requests per second that the configuration allows to a cold upstream.
    pub fn cold_rate(&self, service: &ServiceName) -> ColdRate {
        let services = self.config.as_ref().map(|cfg| &cfg.services);
        let Some(service) = services.and_then(|services| services.get(service)) else {
            return ColdRate::Unknown;
        };
        service.cold_per_second.map_or(ColdRate::Unlimited, ColdRate::Limited)
    }
}

/// Returns the time left until `at`, or zero if it has passed.
pub fn time_left(at: Instant, now: Instant) -> Duration {
    at.saturating_duration_since(now)
}
