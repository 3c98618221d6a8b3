//! The node's view of the fleet: written by the control services, read on the request path.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwap;
use oleandertiller_model::{
    Intent, Lifecycle, NodeName, RegionName, ServiceName, VersionName, ZoneName,
};

/// One owner of a service, as listed in the member table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerInfo {
    /// Name of the node, unique in the fleet.
    pub node: NodeName,
    /// Incarnation of the node, which a restart raises.
    pub incarnation: u64,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: RegionName,
    /// Address of the node's inner port.
    pub inner: SocketAddr,
    /// Version that the upstream announced.
    pub version: VersionName,
    /// Life cycle of the upstream.
    pub lifecycle: Lifecycle,
    /// Whether failure detection considers the node reachable.
    pub reachable: bool,
}

/// A consistent snapshot of the fleet, replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Newest intent that the node has received.
    pub intent: Arc<Intent>,
    /// Owners of each service.
    pub owners: HashMap<ServiceName, Arc<[OwnerInfo]>>,
}

/// Value of `serve_until` with which the node never becomes stale.
const SERVE_ALWAYS: u64 = u64::MAX;

type FreshnessCheck = Box<dyn Fn(Instant) -> bool + Send + Sync>;

/// Shared cell with the current [`View`] and the time until which the node may serve from it.
///
/// The time is stored beside the view: it moves every 100 ms, while the view seldom changes.
#[derive(Clone)]
pub struct ViewCell(Arc<Cell>);

struct Cell {
    view: ArcSwap<View>,
    /// Time from which `serve_until` counts.
    origin: Instant,
    /// Microseconds after `origin` until which new work is accepted; 0 while stale.
    serve_until: AtomicU64,
    /// Decides on freshness when a request comes after `serve_until`.
    freshness_check: OnceLock<FreshnessCheck>,
}

impl Default for ViewCell {
    fn default() -> Self {
        Self(Arc::new(Cell {
            view: ArcSwap::default(),
            origin: Instant::now(),
            serve_until: AtomicU64::new(0),
            freshness_check: OnceLock::new(),
        }))
    }
}

impl ViewCell {
    /// Returns the current view.
    pub fn load(&self) -> Arc<View> {
        self.0.view.load_full()
    }

    /// Returns whether the intent is fresh enough to accept new work at `now`.
    ///
    /// The times are compared at each call, so that after a pause of the process even the first
    /// task to run finds the intent stale.
    pub fn is_fresh(&self, now: Instant) -> bool {
        // Pairs with the release in `set_serve_until`: a reader of the time also sees its intent.
        let until = self.0.serve_until.load(Ordering::Acquire);
        let passed = now.saturating_duration_since(self.0.origin);
        if until == SERVE_ALWAYS || Duration::from_micros(until) >= passed && until > 0 {
            return true;
        }
        until > 0
            && self.0.freshness_check.get().is_some_and(|freshness_check| freshness_check(now))
    }

    /// Sets until when new work is accepted; `None` marks the node as stale.
    pub fn set_serve_until(&self, until: Option<Instant>) {
        let micros = until.map_or(0, |until| {
            let micros = until.saturating_duration_since(self.0.origin).as_micros();
            u64::try_from(micros).unwrap_or(SERVE_ALWAYS - 1).clamp(1, SERVE_ALWAYS - 1)
        });
        self.0.serve_until.store(micros, Ordering::Release);
    }

    /// Sets the check that is called when a request comes after the time set by
    /// [`Self::set_serve_until`]. Only the first call has an effect.
    pub fn set_freshness_check(
        &self,
        freshness_check: impl Fn(Instant) -> bool + Send + Sync + 'static,
    ) {
        let _ = self.0.freshness_check.set(Box::new(freshness_check));
    }

    /// Replaces the intent if `intent` is newer.
    pub fn put_intent(&self, intent: &Arc<Intent>) {
        if self.load().intent.revision < intent.revision {
            self.update(|view| {
                if view.intent.revision < intent.revision {
                    view.intent = intent.clone();
                }
            });
        }
    }

    /// Sets a fixed fleet, for tests and for fleets without gossip.
    pub fn set_fleet(&self, intent: Intent, owners: Vec<(ServiceName, Vec<OwnerInfo>)>) {
        let intent = Arc::new(intent);
        let owners: HashMap<_, Arc<[OwnerInfo]>> =
            owners.into_iter().map(|(service, owners)| (service, owners.into())).collect();
        self.update(|view| {
            view.intent = intent.clone();
            view.owners = owners.clone();
        });
        self.serve_always();
    }

    /// Accepts new work at any time, for tests and for fleets without gossip.
    pub fn serve_always(&self) {
        self.0.serve_until.store(SERVE_ALWAYS, Ordering::Release);
    }

    /// Applies `update` to a copy of the view and replaces the view with it. `update` may run
    /// several times.
    pub fn update(&self, update: impl Fn(&mut View)) {
        self.0.view.rcu(|view| {
            let mut view = View::clone(view);
            update(&mut view);
            view
        });
    }
}
