//! Starts a mesh node from its settings and stops it gracefully.

use std::{
    io,
    sync::{
        Arc, Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::{Duration, Instant, UNIX_EPOCH},
};

use async_channel::{Sender, bounded};
use async_std::{net::TcpListener, task};
use bytes::Bytes;
use event_listener::Event;
use h2::RecvStream;
use oleandertiller_mesh::{
    config::Config, exposure::ExposureLimit, leadership::ProcessId, members::NodeRecord,
    memory_budget::Holder, node_health::NodeHealth, retry_budget::RetryBudgetConfig,
    stop::StopSchedule, upstream::Incarnation,
};
use oleandertiller_model::{
    Clock, ServiceName, SystemClock, codec,
    message::{CallHead, ReplyHead},
};
use socket2::SockRef;

use super::{
    body::BodyLimits,
    change_feed::{CHANGES_PATH, ChangeFeed, ChangeRequest},
    control::ControlServer,
    crash_reporter::CrashReporter,
    deployment_state::DeploymentState,
    flag::Flag,
    frame,
    ingress::Ingress,
    memory::MemoryAccount,
    message::{CRASHES_PATH, CrashReport, OFFER_PATH, Offer, REPORT_PATH, ReportRequest},
    metrics::Metrics,
    owner::{Owner, OwnerConfig},
    registration::Registration,
    rollout_leader::RolloutLeader,
    store::Store,
    store_watcher::StoreWatcher,
    usage_counter::{CountsRequest, USAGE_COUNTS_PATH},
    usage_poster::UsagePoster,
    usage_reporter::UsageReporter,
};
use crate::{
    node::{
        inner::{ControlHandler, MessageError, client::InnerClient, server::InnerServer},
        timer::{TIMER_RESOLUTION, Timers},
    },
    settings::mesh::MeshSettings,
};

/// Timeout of connecting to another node: a few round trips between zones, plus the time until that
/// node gets a processor.
const PEER_CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1 << 20;

/// Longest time for a peer to send one offer.
const MAX_OFFER_READ_TIME: Duration = Duration::from_secs(30);

/// Receive buffer of the sockets of clients, in bytes: enough for the path to a client in another
/// zone, and little enough that thousands of clients who send more than is read are harmless.
const CLIENT_RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Fraction of the allowed health check rate that is used.
const HEALTH_CHECK_FRACTION: f64 = 0.6;

/// Bytes of a megabyte in the settings.
const BYTES_PER_MB: usize = 1_000_000;

/// Timeout of removing the node's record when the process stops.
const UNREGISTER_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval at which a stopping process checks for requests in flight.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Interval at which expired members are dropped.
const EXPIRE_INTERVAL: Duration = Duration::from_millis(500);

/// State shared by the tasks of one node.
pub struct Shared<C: Clock> {
    /// Settings that the process was started with.
    pub settings: MeshSettings,
    /// This process, as it names itself in the store.
    pub process: ProcessId,
    /// Source of the monotonic and the wall-clock time.
    pub clock: C,
    /// Delays and timeouts of all tasks.
    pub timers: Timers,
    /// Owner of the local upstream.
    pub owner: Arc<Owner<C>>,
    /// Connections to other nodes.
    pub client: InnerClient<C>,
    /// Client of the platform's store.
    pub store: Store<C>,
    /// Whether the store has been read once, so that the node's record in it may be replaced.
    pub store_read: Flag,
    /// Whether changes in the store cannot be received.
    pub store_unreachable: Flag,
    /// Change feed for the other nodes of the zone.
    pub change_feed: ChangeFeed,
    /// Account of the process's memory.
    pub memory: Arc<MemoryAccount>,
    /// Figures that the metrics endpoint reports.
    pub metrics: Arc<Metrics>,
    /// Times of the planned stop, once the process has been asked to stop.
    pub stop_schedule: OnceLock<StopSchedule>,
    /// Whether client requests are refused because the process is about to exit.
    pub refusing: AtomicBool,
    /// Number of requests in flight, of clients and of other nodes.
    pub active: AtomicUsize,
    deployment: Arc<Mutex<DeploymentState>>,
    record_changed: Sender<()>,
    rewrite: AtomicBool,
    /// Whether this node's machine is slow.
    slow: AtomicBool,
    /// The record as last written, and the store's revision of it.
    stored_record: Mutex<Option<(u64, NodeRecord)>>,
    /// Departure of the upstream that the store has.
    stored_departure: Mutex<Option<Incarnation>>,
    lease: Mutex<Option<u64>>,
    /// Until when the lease lasts at least.
    lease_until: Mutex<Option<Instant>>,
    store_failures: Event,
}

impl<C: Clock> Shared<C> {
    /// Returns the node's view of the deployment.
    pub fn deployment(&self) -> MutexGuard<'_, DeploymentState> {
        self.deployment.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the active configuration.
    pub fn config(&self) -> Option<Arc<Config>> {
        self.deployment().config.clone()
    }

    /// Returns the service of the local upstream.
    pub fn caller(&self) -> ServiceName {
        let announcement = self.owner.announcement().map(|announcement| announcement.service);
        announcement.unwrap_or_else(|| self.settings.node.service.clone())
    }

    /// Returns whether the local upstream may belong to a service.
    pub fn accepts_service(&self, service: &ServiceName) -> bool {
        match self.config() {
            Some(cfg) => cfg.services.contains_key(service),
            None => *service == self.settings.node.service,
        }
    }

    /// Updates the owner's admission and the record after a change in the deployment.
    pub fn update_admission(&self) {
        self.owner.update_admission();
        self.record_changed();
    }

    /// Triggers a check of the node's record against the one last written.
    pub fn record_changed(&self) {
        // If the channel is full, a check is already pending.
        let _ = self.record_changed.try_send(());
    }

    /// Triggers a write of the node's record even if it is unchanged.
    pub fn rewrite(&self) {
        self.rewrite.store(true, Ordering::Relaxed);
        self.record_changed();
    }

    /// Returns whether the record is to be written even if unchanged, and clears the request.
    pub fn take_rewrite(&self) -> bool {
        self.rewrite.swap(false, Ordering::Relaxed)
    }

    /// Returns the node's record as it should be in the store.
    pub fn record(&self) -> NodeRecord {
        NodeRecord {
            node: self.settings.node.name.clone(),
            incarnation: self.process.incarnation,
            inner: self.settings.listen.inner,
            zone: self.settings.node.zone.clone(),
            stopping: self.is_stopping(),
            slow: self.is_slow(),
            upstream: self.owner.announcement().map(|mut announcement| {
                // Fields that change with each announcement would cause a write each time.
                announcement.sequence = 0;
                announcement.cold_for = Duration::ZERO;
                announcement
            }),
        }
    }

    /// Returns whether the store has the current record and the departure of the upstream, if any.
    pub fn is_record_stored(&self) -> bool {
        let record_stored =
            self.stored_record().as_ref().is_some_and(|(_, record)| *record == self.record());
        record_stored && self.unstored_departure().is_none()
    }

    /// Returns the departure of the upstream if the store does not have it.
    pub fn unstored_departure(&self) -> Option<Incarnation> {
        let departure = self.owner.departure()?;
        (self.stored_departure().as_ref() != Some(&departure)).then_some(departure)
    }

    /// Sets the departure of the upstream that the store has.
    pub fn set_stored_departure(&self, departure: Option<Incarnation>) {
        *self.stored_departure() = departure;
    }

    /// Sets the record that the store has, with its revision there.
    pub fn set_stored_record(&self, revision: u64, record: &NodeRecord) {
        *self.stored_record() = Some((revision, record.clone()));
    }

    /// Returns whether a record of this process that the store shows at a revision has replaced the
    /// current one: an earlier write took effect late.
    pub fn is_record_replaced(&self, revision: u64, shown: &NodeRecord) -> bool {
        let written_before = self.stored_record().as_ref().is_some_and(|(at, _)| *at < revision);
        written_before && *shown != self.record()
    }

    /// Returns the lease of the node's record.
    pub fn lease(&self) -> Option<u64> {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the lease of the node's record.
    pub fn set_lease(&self, lease: Option<u64>) {
        *self.lease.lock().unwrap_or_else(PoisonError::into_inner) = lease;
    }

    /// Records that the lease of the node's record lasts at least until a time.
    pub fn set_lease_until(&self, until: Instant) {
        *self.lease_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    /// Returns the lease of the node's record if it has certainly not ended.
    pub fn valid_lease(&self) -> Option<u64> {
        let until = *self.lease_until.lock().unwrap_or_else(PoisonError::into_inner);
        self.lease().filter(|_| until.is_some_and(|until| self.clock.now() < until))
    }

    /// Returns the revision of the leader's key if this process leads the service's rollouts.
    pub fn leadership_revision(&self, service: &ServiceName) -> Option<u64> {
        let deployment = self.deployment();
        let held = deployment.leaderships.get(service)?;
        (held.leader == self.process).then_some(held.revision)
    }

    /// Forgets what the process has written to the store, after the store was restored from a copy.
    pub fn forget_written(&self) {
        self.set_lease(None);
        *self.stored_record() = None;
        *self.stored_departure() = None;
    }

    /// Returns the limit on requests to a bad version, if the deployment has rollouts.
    pub fn exposure(&self) -> Option<ExposureLimit> {
        let terms = &self.settings.terms;
        let (share, extra) = terms.exposure_share.zip(terms.exposure_extra)?;
        Some(ExposureLimit { share, extra })
    }

    /// Returns whether the process has been asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.stop_schedule.get().is_some()
    }

    /// Returns whether this node's machine is slow.
    pub fn is_slow(&self) -> bool {
        self.slow.load(Ordering::Relaxed)
    }

    /// Reports that a call to the store went unanswered, which interrupts a pending watch.
    pub fn report_store_failure(&self) {
        self.store_failures.notify(usize::MAX);
    }

    /// Waits for the next report of an unanswered call to the store.
    pub async fn store_failure(&self) {
        self.store_failures.listen().await;
    }

    fn stored_record(&self) -> MutexGuard<'_, Option<(u64, NodeRecord)>> {
        self.stored_record.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn stored_departure(&self) -> MutexGuard<'_, Option<Incarnation>> {
        self.stored_departure.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Handles calls from other nodes.
struct PeerHandler<C: Clock>(Arc<Shared<C>>);

impl<C: Clock> crate::node::inner::InnerHandler for PeerHandler<C> {
    async fn call(&self, _head: CallHead, _body: Bytes) -> Option<(ReplyHead, Bytes)> {
        None
    }

    async fn control(&self, path: &str, body: Bytes) -> Option<Vec<u8>> {
        ControlHandler::control(self, path, body).await
    }

    async fn stream(
        &self,
        path: &str,
        stream: &mut RecvStream,
    ) -> Option<Result<Vec<Bytes>, MessageError>> {
        if path != OFFER_PATH {
            return None;
        }
        Some(self.on_offer(stream).await)
    }
}

impl<C: Clock> PeerHandler<C> {
    async fn on_offer(&self, stream: &mut RecvStream) -> Result<Vec<Bytes>, MessageError> {
        let Shared { clock, timers, memory, owner, active, .. } = &*self.0;
        let limits = BodyLimits::new(memory.max_body_bytes(), memory.clone(), Holder::OfferBodies);
        let started = clock.now();
        let read = frame::read::<Offer>(stream, &limits);
        let read = timers.within(started + MAX_OFFER_READ_TIME, read).await;
        let (mut offer, body) = read.unwrap_or(Err(MessageError::Broken))?;
        offer.body = body;
        // A long body takes time that the request no longer has.
        let read_time = clock.now().saturating_duration_since(started);
        offer.remaining = offer.remaining.saturating_sub(read_time);
        let _active = crate::node::accept::CountGuard::new(active);
        let reply = owner.offer(&offer).await;
        Ok(frame::encode(&reply, reply.body()))
    }
}

impl<C: Clock> ControlHandler for PeerHandler<C> {
    async fn control(&self, path: &str, body: Bytes) -> Option<Vec<u8>> {
        match path {
            CHANGES_PATH => {
                let request: ChangeRequest = codec::decode(&body).ok()?;
                let Shared { change_feed, clock, timers, .. } = &*self.0;
                if change_feed.on_request(clock.now()) {
                    // The lease is renewed more often from now on.
                    self.0.record_changed();
                }
                Some(codec::encode(&change_feed.answer(request, clock, timers).await))
            }
            USAGE_COUNTS_PATH => {
                let request: CountsRequest = codec::decode(&body).ok()?;
                let Shared { owner, process, clock, .. } = &*self.0;
                let reply = owner.usage.answer(request, process.incarnation, clock.wall());
                Some(codec::encode(&reply))
            }
            REPORT_PATH => {
                let request: ReportRequest = codec::decode(&body).ok()?;
                Some(codec::encode(&self.0.owner.report(request)))
            }
            CRASHES_PATH => {
                let report: CrashReport = codec::decode(&body).ok()?;
                self.0.owner.on_crash_report(&report).map(|known| codec::encode(&known))
            }
            _ => None,
        }
    }
}

/// A running mesh node.
pub struct Daemon {
    shared: Arc<Shared<SystemClock>>,
    stop_ports: Sender<()>,
    stop_registration: Sender<()>,
    registration: task::JoinHandle<()>,
}

impl Daemon {
    /// Opens all ports and starts the tasks.
    ///
    /// # Errors
    ///
    /// Returns the system's error if a port cannot be opened.
    pub async fn start(settings: MeshSettings) -> io::Result<Self> {
        let clock = SystemClock;
        let timers = Timers::default();
        task::spawn(timers.clone().drive(clock));
        let (record_changed_tx, record_changed) = bounded(1);
        let shared = Arc::new(new_shared(settings, clock, timers, record_changed_tx.clone()));
        let listen = shared.settings.listen.clone();
        let (stop_ports, stop) = bounded::<()>(1);
        let inner = TcpListener::bind(listen.inner).await?;
        let server =
            Arc::new(InnerServer::new(Arc::new(PeerHandler(shared.clone())), MAX_RESPONSE_BYTES));
        task::spawn(server.serve(inner, stop.clone()));
        let control = Arc::new(ControlServer::new(shared.clone()));
        for address in [listen.control, listen.ready, listen.metrics] {
            let listener = TcpListener::bind(address).await?;
            task::spawn(control.clone().serve(listener, stop.clone()));
        }
        let ingress = TcpListener::bind(listen.ingress).await?;
        // Accepted sockets inherit it.
        SockRef::from(&ingress).set_recv_buffer_size(CLIENT_RECEIVE_BUFFER_BYTES)?;
        task::spawn(Arc::new(Ingress::new(shared.clone())).serve(ingress, stop.clone()));
        task::spawn(StoreWatcher::new(shared.clone()).run());
        if let Some(exposure) = shared.exposure() {
            task::spawn(RolloutLeader::new(shared.clone(), exposure).run());
        }
        if let Some(usage) = shared.settings.usage.reporting() {
            let reporter = UsageReporter::new(shared.clone(), usage.windows, usage.tenure);
            task::spawn(reporter.run());
            task::spawn(UsagePoster::new(shared.clone(), usage.address).run());
        }
        task::spawn(CrashReporter::new(shared.clone()).run());
        let registration = task::spawn(Registration::new(shared.clone()).run(record_changed));
        task::spawn(expire(shared.clone()));
        Ok(Self { shared, stop_ports, stop_registration: record_changed_tx, registration })
    }

    /// Stops gracefully: serves until the platform stops sending clients, then finishes the
    /// requests in flight.
    pub async fn stop(self) {
        let Self { shared, stop_ports, stop_registration, registration } = self;
        let until_kill = Duration::from_secs_f64(shared.settings.terms.stop_seconds);
        let schedule = StopSchedule::new(shared.clock.now(), until_kill);
        shared.owner.begin_stop(schedule);
        // It is empty before: a daemon is stopped once.
        let _ = shared.stop_schedule.set(schedule);
        shared.record_changed();
        shared.timers.at(schedule.admit_until()).await;
        shared.owner.stop_admitting();
        loop {
            let now = shared.clock.now();
            let is_idle = shared.active.load(Ordering::SeqCst) == 0;
            if is_idle || now >= schedule.refuse_from() {
                shared.refusing.store(true, Ordering::SeqCst);
            }
            // A request that was not refused is counted by now.
            if shared.active.load(Ordering::SeqCst) == 0 && is_idle || now >= schedule.exit_at() {
                break;
            }
            shared.timers.at(now + STOP_POLL_INTERVAL).await;
        }
        stop_ports.close();
        stop_registration.close();
        // If this fails, the record's lease expires by itself.
        let _ = async_std::future::timeout(UNREGISTER_TIMEOUT, registration).await;
        shared.client.disconnect();
    }

    /// Returns the number of requests in flight.
    pub fn active(&self) -> usize {
        self.shared.active.load(Ordering::Relaxed)
    }
}

/// Builds the state shared by the node's tasks.
fn new_shared<C: Clock>(
    settings: MeshSettings,
    clock: C,
    timers: Timers,
    record_changed: Sender<()>,
) -> Shared<C> {
    let terms = &settings.terms;
    let budget = RetryBudgetConfig {
        ratio: terms.retry_ratio,
        extra: terms.retry_extra,
        window: terms.retry_window,
    };
    let min_health_check_interval =
        1.0 / (terms.probes_per_second * HEALTH_CHECK_FRACTION).max(0.1);
    let memory_bytes = settings.node.memory_mb as usize * BYTES_PER_MB;
    let memory = Arc::new(MemoryAccount::new(memory_bytes, settings.node.descriptors as usize));
    let owner_cfg = OwnerConfig {
        node: settings.node.name.clone(),
        zone: settings.node.zone.clone(),
        min_health_check_interval: Duration::from_secs_f64(min_health_check_interval),
        usage: settings.usage.reporting().map(|usage| usage.windows),
        response_limits: response_limits(&memory),
    };
    let deployment = Arc::new(Mutex::new(DeploymentState::new(budget, clock.now())));
    let metrics = Arc::new(Metrics::default());
    let started = clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    Shared {
        process: ProcessId {
            node: settings.node.name.clone(),
            incarnation: started.as_millis() as u64,
            nonce: rand::random(),
        },
        owner: Arc::new(Owner::new(
            owner_cfg,
            clock.clone(),
            timers.clone(),
            deployment.clone(),
            metrics.clone(),
            record_changed.clone(),
        )),
        client: InnerClient::new(
            clock.clone(),
            timers.clone(),
            PEER_CONNECT_TIMEOUT,
            MAX_RESPONSE_BYTES,
        ),
        store: Store::new(settings.store.address, clock.clone(), metrics.clone()),
        change_feed: ChangeFeed::default(),
        memory,
        metrics,
        stop_schedule: OnceLock::new(),
        refusing: AtomicBool::new(false),
        active: AtomicUsize::new(0),
        rewrite: AtomicBool::new(false),
        slow: AtomicBool::new(false),
        lease: Mutex::new(None),
        lease_until: Mutex::new(None),
        store_failures: Event::new(),
        store_read: Flag::default(),
        store_unreachable: Flag::default(),
        stored_record: Mutex::new(None),
        stored_departure: Mutex::new(None),
        settings,
        clock,
        timers,
        deployment,
        record_changed,
    }
}

/// Returns the limits of the body of a response from an upstream or another node.
pub fn response_limits(memory: &Arc<MemoryAccount>) -> BodyLimits {
    BodyLimits::new(MAX_RESPONSE_BYTES, memory.clone(), Holder::Responses)
}

/// Drops expired members, updates the metrics on the deployment, and notices whether the machine is
/// slow.
async fn expire<C: Clock>(shared: Arc<Shared<C>>) {
    let mut health = NodeHealth::default();
    loop {
        let now: Instant = shared.clock.now();
        let (expired, config, nodes) = {
            let mut deployment = shared.deployment();
            let expired = deployment.members.expire(now);
            let config = deployment.config.as_ref().map_or(0, |cfg| cfg.version);
            shared.metrics.set_late_peers(deployment.late_peers());
            (expired, config, deployment.members.iter().count())
        };
        shared.metrics.set_config_and_nodes(config, nodes);
        for record in expired {
            shared.deployment().forget_owner(&record.node);
            log::info!(peer = record.node.as_str(), incarnation = record.incarnation;
                "expired member dropped");
        }
        shared.timers.at(now + EXPIRE_INTERVAL).await;
        let fired = shared.clock.now();
        let late = fired.saturating_duration_since(now + EXPIRE_INTERVAL + TIMER_RESOLUTION);
        if let Some(slow) = health.on_timer(late, fired) {
            let late_ms = health.lateness().as_millis() as u64;
            log::warn!(slow = slow, late_ms = late_ms; "whether this machine is slow has changed");
            shared.slow.store(slow, Ordering::Relaxed);
            shared.record_changed();
        }
        shared.metrics.set_timer_lateness(health.lateness());
    }
}
