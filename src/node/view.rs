//! What the node knows of the fleet: written by the control services, read on the request path.

use std::{collections::HashMap, net::SocketAddr, sync::Arc};

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
    /// Whether the intent is known to be current enough to take new work.
    pub fresh: bool,
}

/// Shared cell that holds the present [`View`].
#[derive(Clone, Default)]
pub struct ViewCell(Arc<ArcSwap<View>>);

impl ViewCell {
    /// Returns the present view.
    pub fn load(&self) -> Arc<View> {
        self.0.load_full()
    }

    /// Fills the view with a fixed fleet, for tests and for fleets without gossip.
    pub fn fill(&self, intent: Intent, owners: Vec<(ServiceName, Vec<OwnerInfo>)>) {
        let intent = Arc::new(intent);
        let owners: HashMap<_, Arc<[OwnerInfo]>> =
            owners.into_iter().map(|(service, owners)| (service, owners.into())).collect();
        self.update(|view| {
            view.intent = intent.clone();
            view.owners = owners.clone();
            view.fresh = true;
        });
    }

    /// Replaces the view by what `update` makes of the present one.
    pub fn update(&self, update: impl Fn(&mut View)) {
        self.0.rcu(|view| {
            let mut view = View::clone(view);
            update(&mut view);
            view
        });
    }
}
