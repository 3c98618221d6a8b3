//! Routes of the ingress to services, built from the view when a service is first called.

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

/// Route to a service: its owners as of one view, and the selector that chooses among them.
pub struct ServiceRoute {
    /// Specification of the service: its name and its kinds.
    pub spec: ServiceSpec,
    /// Metrics of the kinds, in the order of `spec.kinds`.
    pub metrics: Vec<KindMetrics>,
    /// Intent from which the route was built.
    pub intent: Arc<Intent>,
    /// Versions that may receive requests.
    pub versions: AdmittedVersions,
    owners: Option<Arc<[OwnerInfo]>>,
    addresses: HashMap<NodeName, SocketAddr>,
    selector: Arc<Mutex<Selector>>,
}

impl ServiceRoute {
    /// Returns whether the route is up to date with `view`.
    fn is_current(&self, view: &View) -> bool {
        let same_owners = match (&self.owners, view.owners.get(&self.spec.name)) {
            (Some(old), Some(new)) => Arc::ptr_eq(old, new),
            (old, new) => old.is_none() && new.is_none(),
        };
        same_owners && Arc::ptr_eq(&self.intent, &view.intent)
    }

    /// Returns the index of a kind in `spec.kinds`.
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
    ) -> Option<PickedOwner<'_>> {
        let mut selector = self.selector();
        let version = self.versions.pick(&selector, tried, draw)?;
        let owner = selector.pick(&mut rand::rng(), tried, Some(version), now)?;
        Some(PickedOwner { route: self, owner, kind, started: now, finished: false })
    }

    /// Returns whether an owner was chosen after `at`.
    pub(super) fn called_since(&self, at: Instant) -> bool {
        self.selector().last_picked_at().is_some_and(|picked| picked > at)
    }

    /// Returns an owner whose load is worth a probe.
    pub(super) fn probe_target(&self, now: Instant) -> Option<Candidate> {
        self.selector().probe_target(now)
    }

    /// Reports the answer to a probe to the selector.
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

/// The owner chosen for an attempt, which counts as cancelled if this is dropped unfinished.
pub struct PickedOwner<'a> {
    route: &'a ServiceRoute,
    /// Owner to which the attempt is sent.
    pub owner: Candidate,
    kind: usize,
    started: Instant,
    finished: bool,
}

impl PickedOwner<'_> {
    /// Reports to the selector and the rollout how the attempt ended, with the load and the service
    /// time that the owner reported.
    pub fn finish(
        mut self,
        outcome: Outcome,
        owner_report: Option<(LoadReport, Duration)>,
        now: Instant,
    ) {
        self.finished = true;
        self.report(outcome, owner_report, now);
    }

    fn report(&self, outcome: Outcome, owner_report: Option<(LoadReport, Duration)>, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started);
        let (load, service_time) = owner_report.unzip();
        if let Some(monitor) = self.route.versions.monitor()
            && let Some(attempt) = attempt_of(outcome, load.as_ref(), service_time)
        {
            // The version in the owner's answer is newer than the one known by gossip.
            let version = load.as_ref().map_or(&self.owner.version, |load| &load.version);
            monitor.observe(&self.owner.node, version, self.kind, attempt);
        }
        self.route.selector().on_end(&self.owner.node, outcome, elapsed, load, now);
    }
}

impl Drop for PickedOwner<'_> {
    fn drop(&mut self) {
        if !self.finished {
            // The selector only has to stop counting the request, so its duration does not matter.
            self.report(Outcome::Unknown(ErrorKind::Cancelled), None, self.started);
        }
    }
}

/// Routes of the services that have been called.
///
/// After a change, each route is rebuilt when a call needs it. With thousands of owners in a fleet,
/// a request must not wait until the routes of all services are rebuilt.
pub struct Routes {
    builder: RouteBuilder,
    services: ArcSwap<HashMap<ServiceName, Arc<ServiceRoute>>>,
}

impl Routes {
    /// Creates routes without services.
    pub fn new(builder: RouteBuilder) -> Self {
        Self { builder, services: ArcSwap::default() }
    }

    /// Returns the route of a service as of `view`.
    pub fn find(&self, name: &str, view: &View, now: Instant) -> Option<Arc<ServiceRoute>> {
        let known = self.services.load();
        let old = known.get(name);
        if let Some(route) = old.filter(|route| route.is_current(view)) {
            return Some(route.clone());
        }
        let spec = view.intent.services.get(name)?;
        let route = Arc::new(self.builder.route(spec, view, old, now));
        self.services.rcu(|known| {
            let mut known = HashMap::clone(known);
            known.insert(spec.name.clone(), route.clone());
            known
        });
        Some(route)
    }

    /// Returns the routes by service, as of the last call of each.
    pub fn all(&self) -> Arc<HashMap<ServiceName, Arc<ServiceRoute>>> {
        self.services.load_full()
    }
}

/// Builds routes from views.
pub struct RouteBuilder {
    /// Settings for the choice of owners.
    pub selection: SelectionConfig,
    /// Zone of the ingress.
    pub zone: ZoneName,
    /// Metrics of the node, from which those of each kind are taken.
    pub metrics: Metrics,
}

impl RouteBuilder {
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
        let versions = AdmittedVersions::of(spec, view, old.map(|old| &old.versions), now);
        let candidates = list.iter().map(|owner| candidate(owner, view, &versions)).collect();
        let lock = selector.lock();
        lock.unwrap_or_else(PoisonError::into_inner).set_candidates(candidates, now);
        let addresses = list.iter().map(|owner| (owner.node.clone(), owner.inner)).collect();
        let metrics = ServiceRoute::metrics(&self.metrics, spec);
        let (spec, intent, owners) = (spec.clone(), view.intent.clone(), owners.cloned());
        ServiceRoute { spec, metrics, intent, versions, owners, addresses, selector }
    }
}

fn candidate(owner: &OwnerInfo, view: &View, versions: &AdmittedVersions) -> Candidate {
    let admitted = view.intent.zone_in_service(&owner.zone) && versions.admits(&owner.version);
    Candidate {
        node: owner.node.clone(),
        incarnation: owner.incarnation,
        zone: owner.zone.clone(),
        version: owner.version.clone(),
        eligible: admitted && owner.reachable && owner.lifecycle.accepts_work(),
    }
}
