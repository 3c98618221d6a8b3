//! A node: the services of the process that runs beside one upstream.

pub mod accept;
pub mod burn;
pub mod config;
pub mod conn;
pub mod control;
pub mod daemon;
pub mod ingress;
pub mod inner;
pub mod keeper;
pub mod metrics;
pub mod operator;
pub mod owner;
pub mod rollout;
pub mod shared_ledger;
pub mod store;
pub mod timer;
pub mod view;

use std::{
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant, UNIX_EPOCH},
};

use async_channel::Sender;
use async_std::{
    net::TcpListener,
    task::{self, JoinHandle},
};
use bytes::Bytes;
use oleandertiller_model::{
    Clock, codec,
    intent::Keeper,
    message::{CallHead, LEDGER_PATH, LedgerPull, ReplyHead, Role},
};

use self::{
    config::NodeConfig,
    ingress::{Destinations, Ingress},
    inner::{ControlHandler, InnerHandler, NoControl, client::InnerClient, server::InnerServer},
    keeper::KeeperService,
    metrics::Metrics,
    operator::OperatorApp,
    owner::Owner,
    shared_ledger::SharedLedger,
    timer::Timers,
    view::{OwnerInfo, ViewCell},
};
use crate::kernel::{Kernel, KernelError, Service};

/// Upper bound of the remaining time that a peer's call states. Adding a longer one to the clock
/// could overflow.
const MAX_REMAINING: Duration = Duration::from_secs(3_600);

/// Interval at which a drain checks whether the work in flight has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Wait after the inner connections are closed, in which peers read their end.
const PEER_CLOSE_GRACE: Duration = Duration::from_millis(20);

/// A running node.
pub struct Node<C: Clock> {
    cfg: Arc<NodeConfig>,
    clock: C,
    kernel: Kernel,
    owner: Arc<Owner<C>>,
    ingress: Arc<Ingress<C>>,
    ledger: Arc<SharedLedger<C>>,
    metrics: Metrics,
    /// Returns the number of streams that the inner port is serving.
    count_streams: Box<dyn Fn() -> usize + Send + Sync>,
}

/// A background task, stopped by closing its channel.
struct BackgroundTask {
    stop: Sender<()>,
    task: Mutex<Option<JoinHandle<()>>>,
}

impl BackgroundTask {
    fn start<F: Future<Output = ()> + Send + 'static>(
        run: impl FnOnce(async_channel::Receiver<()>) -> F,
    ) -> Arc<Self> {
        let (stop, stopped) = async_channel::bounded(1);
        let task = task::spawn(run(stopped));
        Arc::new(Self { stop, task: Mutex::new(Some(task)) })
    }
}

impl Service for BackgroundTask {
    async fn close(self: Arc<Self>) {
        self.stop.close();
        let task = self.task.lock().unwrap_or_else(PoisonError::into_inner).take();
        if let Some(task) = task {
            task.await;
        }
    }
}

impl<C: Clock> Service for Owner<C> {
    async fn close(self: Arc<Self>) {
        self.disconnect();
    }
}

impl<C: Clock> Service for Ingress<C> {
    async fn close(self: Arc<Self>) {}
}

impl<C: Clock> Service for InnerClient<C> {
    async fn close(self: Arc<Self>) {
        self.disconnect();
    }
}

/// Passes messages of the inner port to the owner, the ledger and the control services.
struct NodeHandler<C, K> {
    clock: C,
    cfg: Arc<NodeConfig>,
    owner: Arc<Owner<C>>,
    ingress: Arc<Ingress<C>>,
    ledger: Arc<SharedLedger<C>>,
    control: K,
}

impl<C: Clock, K: ControlHandler> InnerHandler for NodeHandler<C, K> {
    async fn call(&self, head: CallHead, body: Bytes) -> Option<(ReplyHead, Bytes)> {
        let deadline = self.clock.now() + head.remaining.min(MAX_REMAINING);
        if head.role == Role::Keeper {
            return Some(self.ingress.answer_as_keeper(head, deadline, body).await);
        }
        Some(self.owner.run(&head, deadline, &body).await)
    }

    async fn control(&self, path: &str, body: Bytes) -> Option<Vec<u8>> {
        if path == LEDGER_PATH {
            return self.hand_over(&body);
        }
        self.control.control(path, body).await
    }
}

impl<C: Clock, K> NodeHandler<C, K> {
    /// Answers a pull of ledger entries. The encoded answer is `None` when the epochs differ.
    fn hand_over(&self, body: &[u8]) -> Option<Vec<u8>> {
        let pull: LedgerPull = codec::decode(body).ok()?;
        if pull.service != self.cfg.service {
            return None;
        }
        Some(codec::encode(&self.ledger.hand_over(&pull)))
    }
}

/// Fires the timers and expires the owner's waiting requests, until it is stopped.
async fn run_timers<C: Clock>(
    clock: C,
    timers: Timers,
    owner: Arc<Owner<C>>,
    stop: async_channel::Receiver<()>,
) {
    while !stop.is_closed() {
        task::sleep(timer::TIMER_RESOLUTION).await;
        let now = clock.now();
        timers.fire(now);
        owner.tick(now);
    }
}

impl<C: Clock> Node<C> {
    /// Starts a node without control services.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a port cannot be opened.
    pub async fn start(cfg: NodeConfig, clock: C, view: ViewCell) -> io::Result<Self> {
        Self::start_with(cfg, clock, view, NoControl, |_| {}).await
    }

    /// Starts a node whose control services are `control`, which answers their messages on the
    /// inner port, and `add_routes`, which adds their routes to the operator port.
    ///
    /// # Errors
    ///
    /// Returns the system's error when a port cannot be opened.
    pub async fn start_with<K: ControlHandler>(
        mut cfg: NodeConfig,
        clock: C,
        view: ViewCell,
        control: K,
        add_routes: impl FnOnce(&mut OperatorApp<C>),
    ) -> io::Result<Self> {
        let client_port = TcpListener::bind(cfg.client).await?;
        let inner_port = TcpListener::bind(cfg.inner).await?;
        let operator_port = TcpListener::bind(cfg.operator).await?;
        cfg.client = client_port.local_addr()?;
        cfg.inner = inner_port.local_addr()?;
        cfg.operator = operator_port.local_addr()?;
        if cfg.incarnation == 0 {
            let since_epoch = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
            cfg.incarnation = since_epoch.as_millis() as u64;
        }
        let cfg = Arc::new(cfg);

        let (timers, metrics) = (Timers::default(), Metrics::new(clock.now()));
        let owner =
            Owner::new(cfg.clone(), clock.clone(), view.clone(), timers.clone(), metrics.clone());
        let owner = Arc::new(owner);
        let client = InnerClient::new(
            clock.clone(),
            timers.clone(),
            cfg.connect_timeout,
            cfg.body_max_bytes,
        );
        let client = Arc::new(client.with_routes(cfg.routes.clone()));
        let local_keeper = Keeper { node: cfg.name.clone(), incarnation: cfg.incarnation };
        let ledger = Arc::new(SharedLedger::new(cfg.ledger.clone(), local_keeper, clock.clone()));
        let ingress = Arc::new(Ingress::new(
            cfg.clone(),
            clock.clone(),
            view.clone(),
            timers.clone(),
            metrics.clone(),
            Destinations { owner: owner.clone(), client: client.clone(), ledger: ledger.clone() },
        ));
        let handler = NodeHandler {
            clock: clock.clone(),
            cfg: cfg.clone(),
            owner: owner.clone(),
            ingress: ingress.clone(),
            ledger: ledger.clone(),
            control,
        };
        let inner = Arc::new(InnerServer::new(Arc::new(handler), cfg.body_max_bytes));
        let keeper =
            KeeperService::new(cfg.clone(), clock.clone(), view, client.clone(), ledger.clone());
        let mut app = operator::app(owner.clone(), metrics.clone());
        add_routes(&mut app);

        let mut kernel = Kernel::default();
        let handles = (owner.clone(), ingress.clone(), inner.clone(), ledger);
        let registered = (|| {
            let timer_args = (clock.clone(), timers, owner.clone());
            kernel.register(
                "time",
                BackgroundTask::start(|stop| {
                    run_timers(timer_args.0, timer_args.1, timer_args.2, stop)
                }),
            )?;
            kernel.register("owner", owner)?;
            kernel.register("inner-client", client)?;
            kernel.register(
                "inner-port",
                BackgroundTask::start(|stop| inner.serve(inner_port, stop)),
            )?;
            kernel.register("ingress", ingress.clone())?;
            let prober = ingress.clone();
            kernel.register("prober", BackgroundTask::start(|stop| prober.run_probes(stop)))?;
            kernel.register("keeper", Arc::new(keeper))?;
            let serve = |stop| operator::serve(app, operator_port, stop);
            kernel.register("operator-port", BackgroundTask::start(serve))?;
            kernel.register(
                "client-port",
                BackgroundTask::start(|stop| ingress.serve(client_port, stop)),
            )
        })();
        registered.map_err(|error: KernelError| io::Error::other(error))?;
        let (owner, ingress, inner, ledger) = handles;
        let count_streams = Box::new(move || inner.streams());
        Ok(Self { cfg, clock, kernel, owner, ingress, ledger, metrics, count_streams })
    }

    /// Returns the settings, with the ports that the operating system assigned.
    pub fn config(&self) -> &NodeConfig {
        &self.cfg
    }

    /// Returns the kernel, which finds a service of the node by its name.
    pub fn kernel(&self) -> &Kernel {
        &self.kernel
    }

    /// Returns the owner of the local upstream.
    pub fn owner(&self) -> &Arc<Owner<C>> {
        &self.owner
    }

    /// Returns the metrics that the operator port renders.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the ledger in which this node, as a keeper, records idempotency keys.
    pub fn ledger(&self) -> &Arc<SharedLedger<C>> {
        &self.ledger
    }

    /// Returns the address of the client port, with the port number that is in use.
    pub fn client_addr(&self) -> SocketAddr {
        self.cfg.client
    }

    /// Returns the address of the operator port, with the port number that is in use.
    pub fn operator_addr(&self) -> SocketAddr {
        self.cfg.operator
    }

    /// Returns the node's entry as an owner, for a [`view::View`] that is set by hand.
    pub fn owner_info(&self) -> OwnerInfo {
        let load = self.owner.load();
        OwnerInfo {
            node: self.cfg.name.clone(),
            incarnation: self.cfg.incarnation,
            zone: self.cfg.zone.clone(),
            region: self.cfg.region.clone(),
            inner: self.cfg.inner,
            version: load.version,
            lifecycle: load.lifecycle,
            reachable: true,
        }
    }

    /// Refuses new work from now on; work in flight continues.
    pub fn drain(&self) {
        self.owner.drain();
    }

    /// Stops the node after its work in flight has ended.
    ///
    /// The ports stay open until then: peers and clients are answered `draining`, and the local
    /// upstream can still call other services for the requests that it is running.
    pub async fn close(self) {
        self.finish_work().await;
        self.kernel.close().await;
        task::sleep(PEER_CLOSE_GRACE).await;
    }

    /// Refuses new work and waits for the work in flight to end, at most for the drain timeout.
    pub async fn finish_work(&self) {
        self.drain();
        let deadline = self.clock.now() + self.cfg.drain_timeout;
        while self.is_busy() && self.clock.now() < deadline {
            task::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.log_unfinished_work(deadline);
    }

    fn is_busy(&self) -> bool {
        self.owner.is_busy() || self.ingress.in_flight() > 0 || (self.count_streams)() > 0
    }

    fn log_unfinished_work(&self, deadline: Instant) {
        if self.clock.now() >= deadline && self.is_busy() {
            log::warn!(
                "node {} closes with requests in flight: the drain timeout has passed",
                self.cfg.name
            );
        }
    }
}
