//! A complete node: starts the data plane and the control services from settings, and stops them.

use std::{io, sync::Arc, time::UNIX_EPOCH};

use async_std::net::UdpSocket;
use oleandertiller_model::{Clock, SystemClock};
use oleandertiller_routing::ledger::LedgerConfig;

use super::{
    Node,
    config::{MAX_HEAD_BYTES, NodeConfig, PeerRoutes, RetryConfig},
    control::{Control, ControlConfig},
    keeper::KeeperService,
    operator::OperatorApp,
    store::HttpStore,
    view::ViewCell,
};
use crate::settings::Settings;

/// A running node with its control services.
pub struct Daemon {
    node: Node<SystemClock>,
    control: Arc<Control<SystemClock, HttpStore>>,
}

impl Daemon {
    /// Opens all ports and starts the services.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a port cannot be opened.
    pub async fn start(settings: Settings) -> io::Result<Self> {
        let clock = SystemClock;
        let cfg = node_config(&settings, clock);
        let gossip = UdpSocket::bind(cfg.gossip).await?;
        let view = ViewCell::default();
        let store = &settings.store;
        let store = HttpStore::new(store.address, store.connect_timeout, store.call_timeout);
        let control = Control::new(&cfg, control_config(settings), clock, view.clone(), store);
        let add_routes = |app: &mut OperatorApp<SystemClock>| control.add_routes(app);
        let node = Node::start_with(cfg, clock, view, control.clone(), add_routes).await?;
        control.start(&node, gossip)?;
        Ok(Self { node, control })
    }

    /// Returns the data plane.
    pub fn node(&self) -> &Node<SystemClock> {
        &self.node
    }

    /// Stops gracefully: requests in flight are finished, at most for the drain timeout.
    pub async fn stop(self) {
        let Self { node, control } = self;
        // Peers learn of the stop before the node refuses work. Otherwise their requests would be
        // refused and retried at the cost of the retry budget.
        control.announce_stop().await;
        node.drain();
        control.release_entry().await;
        if let Ok(keeper) = node.kernel().find::<KeeperService<SystemClock>>("keeper") {
            keeper.leave(&*control).await;
        }
        node.finish_work().await;
        control.leave().await;
        node.close().await;
        control.stop().await;
    }
}

fn node_config(settings: &Settings, clock: SystemClock) -> NodeConfig {
    let (node, listen, limits) = (&settings.node, &settings.listen, &settings.limits);
    let retry = RetryConfig {
        share_ppm: settings.retries.share.0,
        per_second: settings.retries.per_second.into(),
        ..RetryConfig::default()
    };
    let ledger = LedgerConfig {
        window: settings.ledger.window,
        clock_skew: settings.ledger.clock_skew,
        capacity: settings.ledger.entries as usize,
    };
    let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    NodeConfig::new(node.name.clone(), node.service.clone())
        .with_incarnation(started.as_millis() as u64)
        .with_zone(node.zone.clone())
        .with_region(node.region.clone())
        .with_client(listen.client)
        .with_inner(listen.inner)
        .with_gossip(listen.gossip)
        .with_operator(listen.operator)
        .with_seeds(settings.peers.seeds.clone())
        .with_routes(PeerRoutes::new(settings.peers.routes.iter().copied()))
        .with_head_max_bytes(MAX_HEAD_BYTES.min(limits.head_max_bytes as usize))
        .with_body_max_bytes(limits.body_max_bytes as usize)
        .with_head_timeout(limits.head_timeout)
        .with_body_timeout(limits.body_timeout)
        .with_idle_timeout(limits.idle_timeout)
        .with_threads(node.threads as usize)
        .with_limit(limits.config())
        .with_selection(settings.selection.config())
        .with_retry(retry)
        .with_ledger(ledger)
}

fn control_config(settings: Settings) -> ControlConfig {
    ControlConfig {
        seeds: settings.peers.seeds,
        operators: settings.operators,
        services: settings.services,
    }
}
