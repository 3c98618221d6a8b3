//! What the node knows of the fleet: written by the control services, read on the request path.

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

/// One owner of a service, as membership knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnerInfo {
    /// Name of the node.
    pub node: NodeName,
    /// Incarnation of the node.
    pub incarnation: u64,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Region of the node.
    pub region: RegionName,
    /// Address of the node's inner port.
    pub inner: SocketAddr,
    /// Version of the upstream.
    pub version: VersionName,
    /// Life cycle of the upstream.
    pub lifecycle: Lifecycle,
    /// Whether failure detection holds the node for reachable.
    pub reachable: bool,
}

/// A consistent picture of the fleet; replaced as a whole.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Intent in force.
    pub intent: Arc<Intent>,
    /// Owners of each service.
    pub owners: HashMap<ServiceName, Arc<[OwnerInfo]>>,
}

/// Value of `serve_until` that no clock reaches.
const ALWAYS: u64 = u64::MAX;

type Check = Box<dyn Fn(Instant) -> bool + Send + Sync>;

/// Shared cell that holds the present [`View`], and until when the node may serve on it.
///
/// The time lies beside the view, since it moves every 100 ms and the view seldom changes.
#[derive(Clone)]
pub struct ViewCell(Arc<Cell>);

struct Cell {
    view: ArcSwap<View>,
    /// Origin of `serve_until`.
    origin: Instant,
    /// Microseconds after `origin` until which new work is taken; 0 while stale.
    serve_until: AtomicU64,
    /// Tells the control services that a request came later than that.
    check: OnceLock<Check>,
}

impl Default for ViewCell {
    fn default() -> Self {
        Self(Arc::new(Cell {
            view: ArcSwap::default(),
            origin: Instant::now(),
            serve_until: AtomicU64::new(0),
            check: OnceLock::new(),
        }))
    }
}

impl ViewCell {
    /// Returns the present view.
    pub fn load(&self) -> Arc<View> {
        self.0.view.load_full()
    }

    /// Returns whether the intent is known to be current enough to take new work at `now`.
    ///
    /// A process that was paused finds the time passed, whichever of its tasks runs first.
    pub fn is_fresh(&self, now: Instant) -> bool {
        // Pairs with the release in `set_serve_until`: whoever sees the time sees its intent.
        let until = self.0.serve_until.load(Ordering::Acquire);
        let passed = now.saturating_duration_since(self.0.origin);
        if until == ALWAYS || Duration::from_micros(until) >= passed && until > 0 {
            return true;
        }
        until > 0 && self.0.check.get().is_some_and(|check| check(now))
    }

    /// Sets until when new work is taken; `None` means that the node is stale.
    pub fn set_serve_until(&self, until: Option<Instant>) {
        let micros = until.map_or(0, |until| {
            let micros = until.saturating_duration_since(self.0.origin).as_micros();
            u64::try_from(micros).unwrap_or(ALWAYS - 1).clamp(1, ALWAYS - 1)
        });
        self.0.serve_until.store(micros, Ordering::Release);
    }

    /// Sets what is asked when a request comes after that time; only the first call counts.
    pub fn set_freshness_check(&self, check: impl Fn(Instant) -> bool + Send + Sync + 'static) {
        let _ = self.0.check.set(Box::new(check));
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

    /// Fills the view with a fixed fleet, for tests and for fleets without gossip.
    pub fn fill(&self, intent: Intent, owners: Vec<(ServiceName, Vec<OwnerInfo>)>) {
        let intent = Arc::new(intent);
        let owners: HashMap<_, Arc<[OwnerInfo]>> =
            owners.into_iter().map(|(service, owners)| (service, owners.into())).collect();
        self.update(|view| {
            view.intent = intent.clone();
            view.owners = owners.clone();
        });
        self.serve_always();
    }

    /// Takes new work whatever the time, for tests and for fleets without gossip.
    pub fn serve_always(&self) {
        self.0.serve_until.store(ALWAYS, Ordering::Release);
    }

    /// Replaces the view by what `update` makes of the present one.
    pub fn update(&self, update: impl Fn(&mut View)) {
        self.0.view.rcu(|view| {
            let mut view = View::clone(view);
            update(&mut view);
            view
        });
    }
}
