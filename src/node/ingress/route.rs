//! Services as the ingress calls them, derived from the view.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use oleandertiller_model::{
    ErrorKind, LoadReport, NodeName, Outcome, Revision, ServiceName, ServiceSpec, ZoneName,
};
use oleandertiller_routing::selection::{Candidate, SelectionConfig, Selector};

use crate::node::{
    metrics::{KindMetrics, Metrics},
    view::{OwnerInfo, View},
};

/// One service and the owners that may be chosen for it.
pub struct ServiceRoute {
    /// Kinds of the service.
    pub spec: ServiceSpec,
    /// Metrics of the kinds, in the order of `spec.kinds`.
    pub metrics: Vec<KindMetrics>,
    owners: Option<Arc<[OwnerInfo]>>,
    addresses: HashMap<NodeName, SocketAddr>,
    selector: Arc<Mutex<Selector>>,
}

impl ServiceRoute {
    /// Returns the index of a kind.
    pub fn kind(&self, name: &str) -> Option<usize> {
        self.spec.kinds.iter().position(|kind| kind.name.as_str() == name)
    }

    /// Returns the inner address of an owner.
    pub fn address(&self, node: &NodeName) -> Option<SocketAddr> {
        self.addresses.get(node).copied()
    }

    /// Chooses an owner that is not in `tried`.
    pub fn pick(&self, tried: &[NodeName], now: Instant) -> Option<Picked<'_>> {
        let owner = self.selector().pick(&mut rand::rng(), tried, None, now)?;
        Some(Picked { route: self, owner, started: now, ended: false })
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
    started: Instant,
    ended: bool,
}

impl Picked<'_> {
    /// Tells the selector how the attempt ended.
    pub fn end(mut self, outcome: Outcome, load: Option<LoadReport>, now: Instant) {
        self.ended = true;
        self.tell(outcome, load, now);
    }

    fn tell(&self, outcome: Outcome, load: Option<LoadReport>, now: Instant) {
        let elapsed = now.saturating_duration_since(self.started);
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

/// All services, as of one view.
pub struct Routes {
    view: Arc<View>,
    services: HashMap<ServiceName, Arc<ServiceRoute>>,
}

impl Routes {
    /// Creates routes without services.
    pub fn empty() -> Self {
        Self { view: Arc::default(), services: HashMap::new() }
    }

    /// Returns whether the routes were made from `view`.
    pub fn is_of(&self, view: &Arc<View>) -> bool {
        Arc::ptr_eq(&self.view, view)
    }

    /// Returns whether the intent is current enough to take new work.
    pub fn is_fresh(&self) -> bool {
        self.view.fresh
    }

    /// Returns the revision of the intent.
    pub fn revision(&self) -> Revision {
        self.view.intent.revision
    }

    /// Returns a service.
    pub fn service(&self, name: &str) -> Option<&Arc<ServiceRoute>> {
        self.services.get(name)
    }

    /// Makes the routes of `view`; keeps what is known of services that stay.
    pub fn rebuilt(&self, view: Arc<View>, maker: &RouteMaker, now: Instant) -> Self {
        let same_intent = Arc::ptr_eq(&self.view.intent, &view.intent);
        let mut services = HashMap::with_capacity(view.intent.services.len());
        for (name, spec) in &view.intent.services {
            let owners = view.owners.get(name);
            let old = self.services.get(name);
            let unchanged = |old: &&Arc<ServiceRoute>| match (&old.owners, owners) {
                (Some(old), Some(new)) => Arc::ptr_eq(old, new),
                (old, new) => old.is_none() && new.is_none(),
            };
            let route = match old.filter(unchanged).filter(|_| same_intent) {
                Some(old) => old.clone(),
                None => Arc::new(maker.route(spec, owners, &view, old, now)),
            };
            services.insert(name.clone(), route);
        }
        Self { view, services }
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
        owners: Option<&Arc<[OwnerInfo]>>,
        view: &View,
        old: Option<&Arc<ServiceRoute>>,
        now: Instant,
    ) -> ServiceRoute {
        let new_selector = || Selector::new(self.selection.clone(), self.zone.clone());
        let selector = match old {
            Some(old) => old.selector.clone(),
            None => Arc::new(Mutex::new(new_selector())),
        };
        let list = owners.map_or(&[][..], |owners| &owners[..]);
        let candidates = list.iter().map(|owner| candidate(owner, view)).collect();
        let lock = selector.lock();
        lock.unwrap_or_else(PoisonError::into_inner).set_candidates(candidates, now);
        let addresses = list.iter().map(|owner| (owner.node.clone(), owner.inner)).collect();
        let metrics = ServiceRoute::metrics(&self.metrics, spec);
        ServiceRoute { spec: spec.clone(), metrics, owners: owners.cloned(), addresses, selector }
    }
}

fn candidate(owner: &OwnerInfo, view: &View) -> Candidate {
    let in_service = view.intent.zone_in_service(&owner.zone);
    Candidate {
        node: owner.node.clone(),
        incarnation: owner.incarnation,
        zone: owner.zone.clone(),
        version: owner.version.clone(),
        eligible: in_service && owner.reachable && owner.lifecycle.accepts_work(),
    }
}
