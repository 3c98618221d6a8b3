//! Services as the ingress calls them, derived from the view when they are first called.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use oleandertiller_model::{
    ErrorKind, Intent, LoadReport, NodeName, Outcome, ServiceName, ServiceSpec, ZoneName,
};
use oleandertiller_routing::selection::{Candidate, SelectionConfig, Selector};

use crate::node::{
    metrics::{KindMetrics, Metrics},
    rollout::{admitted_versions::AdmittedVersions, monitor::attempt_of},
    view::{OwnerInfo, View},
};

/// One service and the owners that may be chosen for it.
pub struct ServiceRoute {
    /// Kinds of the service.
    pub spec: ServiceSpec,
    /// Metrics of the kinds, in the order of `spec.kinds`.
    pub metrics: Vec<KindMetrics>,
    /// Intent from which the route was made.
    pub intent: Arc<Intent>,
    /// Versions that may receive requests.
    pub admission: AdmittedVersions,
    owners: Option<Arc<[OwnerInfo]>>,
    addresses: HashMap<NodeName, SocketAddr>,
    selector: Arc<Mutex<Selector>>,
}

impl ServiceRoute {
    /// Returns whether the route is what `view` makes it.
    fn is_of(&self, view: &View) -> bool {
        let same_owners = match (&self.owners, view.owners.get(&self.spec.name)) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (old, new) => old.is_none() && new.is_none(),
        };
        same_owners && Arc::ptr_eq(&self.intent, &view.intent)
    }

    /// Returns the index of a kind.
    pub fn kind(&self, name: &str) -> Option<usize> {
        self.spec.kinds.iter().position(|kind| kind.name.as_str() == name)
    }

    /// Returns the inner address of an owner.
    pub fn address(&self, node: &NodeName) -> Option<SocketAddr> {
        self.addresses.get(node).copied()
    }

    /// Chooses an owner that is not in `tried`; `draw` decides on the version during a rollout.
    pub fn pick(
        &self,
        kind: usize,
        tried: &[NodeName],
        draw: u64,
        now: Instant,
    ) -> Option<Picked<'_>> {
        let mut selector = self.selector();
        let version = self.admission.pick(&selector, tried, draw)?;
        let owner = selector.pick(&mut rand::rng(), tried, Some(version), now)?;
        Some(Picked { route: self, owner, kind, started: now, ended: false })
    }

    /// Returns whether an owner was chosen after `at`.
    pub(super) fn called_since(&self, at: Instant) -> bool {
        self.selector().last_picked_at().is_some_and(|picked| picked > at)
    }

    /// Returns an owner whose load is worth a probe.
    pub(super) fn probe_target(&self, now: Instant) -> Option<Candidate> {
        self.selector().probe_target(now)
    }

    /// Tells the selector of the answer to a probe.
    pub(super) fn on_probe(&self, node: &NodeName, load: Option<LoadReport>, now: Instant) {
        self.selector().on_probe(node, load, now);
    }

    fn selector(&self) -> MutexGuard<'_, Selector> {
        self.selector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn metrics(metrics: &Metrics, spec: &ServiceSpec) -> Vec<KindMetrics> {
        spec.kinds.iter().map(|kind| metrics.kind(spec.name.as_str(), kind.name.as_str())).collect()
    }
}

/// An owner that was chosen; counts as cancelled when dropped before its end is told.
pub struct Picked<'a> {
    route: &'a ServiceRoute,
    /// The owner.
    pub owner: Candidate,
    kind: usize,
    started: Instant,
    ended: bool,
}

impl Picked<'_> {
    /// Tells the selector and the rollout how the attempt ended, with the load and the service time
    /// that the owner has told.
    pub fn end(mut self, outcome: Outcome, owner: Option<(LoadReport, Duration)>, now: Instant) {
        self.ended = true;
        self.tell(outcome, owner, now);
    }

    fn tell(&self, outcome: Outcome, owner: Option<(LoadReport, Duration)>, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started);
        let (load, service_time) = owner.unzip();
        if let Some(watch) = self.route.admission.monitor()
            && let Some(attempt) = attempt_of(outcome, load.as_ref(), service_time)
        {
            // The owner's own word is newer than what gossip says.
            let version = load.as_ref().map_or(&self.owner.version, |load| &load.version);
            watch.observe(&self.owner.node, version, self.kind, attempt);
        }
        self.route.selector().on_end(&self.owner.node, outcome, elapsed, load, now);
    }
}

impl Drop for Picked<'_> {
    fn drop(&mut self) {
        if !self.ended {
            // The selector only needs to stop counting the request, so its duration is left out.
            self.tell(Outcome::Unknown(ErrorKind::Cancelled), None, self.started);
        }
    }
}

/// Routes of the services that have been called.
///
/// A fleet has thousands of owners, and a request must not wait until the routes of all services
/// are made again after each change; so each is made when a call needs it.
pub struct Routes {
    maker: RouteMaker,
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceRoute>>>,
}

impl Routes {
    /// Creates routes without services.
    pub fn new(maker: RouteMaker) -> Self {
        Self { maker, services: ArcSwap::default() }
    }

    /// Returns the route of a service as of `view`.
    pub fn find(&self, name: &str, view: &View, now: Instant) -> Option<Arc<ServiceRoute>> {
        let known = self.services.load();
        let old = known.get(name);
        if let Some(route) = old.filter(|route| route.is_of(view)) {
            return Some(route.clone());
        }
        let spec = view.intent.services.get(name)?;
        let route = Arc::new(self.maker.route(spec, view, old, now));
        self.services.rcu(|known| {
            let mut known = HashMap::clone(known);
            known.insert(spec.name.clone(), route.clone());
            known
        });
        Some(route)
    }

    /// Returns all routes.
    pub fn all(&self) -> Arc<HashMap<ServiceName, Arc<ServiceRoute>>> {
        self.services.load_full()
    }
}

/// What is needed to make a route.
pub struct RouteMaker {
    /// Choice of owners.
    pub selection: SelectionConfig,
    /// Zone of the ingress.
    pub zone: ZoneName,
    /// Metrics of the node.
    pub metrics: Metrics,
}

impl RouteMaker {
    fn route(
        &self,
        spec: &ServiceSpec,
        view: &View,
        old: Option<&Arc<ServiceRoute>>,
        now: Instant,
    ) -> ServiceRoute {
        let new_selector = || Selector::new(self.selection.clone(), self.zone.clone());
        let selector = match old {
            Some(old) => old.selector.clone(),
            None => Arc::new(Mutex::new(new_selector())),
        };
        let owners = view.owners.get(&spec.name);
        let list = owners.map_or(&[][..], |owners| &owners[..]);
        let admission = AdmittedVersions::of(spec, view, old.map(|old| &old.admission), now);
        let candidates = list.iter().map(|owner| candidate(owner, view, &admission)).collect();
        let lock = selector.lock();
        lock.unwrap_or_else(PoisonError::into_inner).set_candidates(candidates, now);
        let addresses = list.iter().map(|owner| (owner.node.clone(), owner.inner)).collect();
        let metrics = ServiceRoute::metrics(&self.metrics, spec);
        let (spec, intent, owners) = (spec.clone(), view.intent.clone(), owners.cloned());
        ServiceRoute { spec, metrics, intent, admission, owners, addresses, selector }
    }
}

fn candidate(owner: &OwnerInfo, view: &View, admission: &AdmittedVersions) -> Candidate {
    let wanted = view.intent.zone_in_service(&owner.zone) && admission.admits(&owner.version);
    Candidate {
        node: owner.node.clone(),
        incarnation: owner.incarnation,
        zone: owner.zone.clone(),
        version: owner.version.clone(),
        eligible: wanted && owner.reachable && owner.lifecycle.accepts_work(),
    }
}
