//! Requests at an owner while an upstream of another service takes over the address.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use async_std::{
    future::timeout,
    net::TcpListener,
    task::{self, JoinHandle, block_on},
};
use oleandertiller::{
    mesh::{
        body::{Body, BodyLimits},
        deployment_state::DeploymentState,
        http::Headers,
        message::{End, Offer},
        metrics::Metrics,
        owner::{Owner, OwnerConfig},
    },
    node::timer::Timers,
};
use oleandertiller_mesh::{
    admission_queue::PriorityClass,
    config::RetrySafety,
    retry_budget::RetryBudgetConfig,
    upstream::{Announcement, AnnouncementOutcome, Incarnation, Stage},
};
use oleandertiller_model::{ErrorKind, SystemClock};
use oleandertiller_platform::config;
use oleandertiller_standin::platform::MeshUpstream;
use serde_json::Value;

/// Time after which a request that was offered certainly waits.
const SETTLE_TIME: Duration = Duration::from_millis(50);

/// Time within which a request that cannot be served any more is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(200);

fn owner(cfg: Option<&Value>) -> Arc<Owner<SystemClock>> {
    let budget = RetryBudgetConfig { ratio: 0.2, extra: 50.0, window: Duration::from_secs(10) };
    let mut deployment = DeploymentState::new(budget, Instant::now());
    deployment.config = cfg.map(|cfg| Arc::new(config::read(cfg.to_string().as_bytes()).unwrap()));
    let timers = Timers::default();
    task::spawn(timers.clone().drive(SystemClock));
    let cfg = OwnerConfig {
        node: "node-0".into(),
        zone: "z1".into(),
        min_health_check_interval: Duration::from_millis(25),
        response_limits: BodyLimits::unaccounted(1 << 20),
        usage: None,
    };
    let (record_changed, _) = async_channel::bounded(1);
    let (deployment, metrics) = (Arc::new(Mutex::new(deployment)), Arc::new(Metrics::default()));
    Arc::new(Owner::new(cfg, SystemClock, timers, deployment, metrics, record_changed))
}

fn announcement(id: &str, started_ms: u64, service: &str, address: SocketAddr) -> Announcement {
    Announcement {
        incarnation: Incarnation { id: id.into(), started_ms },
        sequence: 1,
        service: service.into(),
        version: "v1".into(),
        address,
        slots: 1,
        stage: Stage::Serving,
        cold_for: Duration::ZERO,
    }
}

/// Offers an unsafe request for `kettle` that may wait for a slot.
fn offer(owner: &Arc<Owner<SystemClock>>, id: &str, remaining: Duration) -> JoinHandle<End> {
    let offer = Offer {
        id: id.into(),
        node: "node-0".into(),
        sender: "node-1".into(),
        service: "kettle".into(),
        version: "v1".into(),
        rolling_out: false,
        route: "release".into(),
        retry_safety: RetrySafety::AtMostOnce,
        is_retry: false,
        rank: 0,
        tenant: None,
        method: "POST".to_owned(),
        target: "/release/1".to_owned(),
        headers: {
            let mut headers = Headers::default();
            headers.set("Host", "shop.example");
            headers.set("Oleandertiller-Attempt-Id", id);
            headers
        },
        body: Body::empty(),
        remaining,
        max_wait: Duration::from_secs(2),
        allow_slow: true,
        class: PriorityClass::Timely,
    };
    let owner = owner.clone();
    task::spawn(async move { owner.offer(&offer).await.end })
}

/// Starts an owner whose upstream of `kettle` accepts connections and stays silent, and the upstream of
/// another service that is going to replace it.
async fn start(cfg: Option<&Value>) -> (Arc<Owner<SystemClock>>, TcpListener, MeshUpstream) {
    let silent = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let next = MeshUpstream::start(([127, 0, 0, 1], 0).into(), "i-1", 1).await.unwrap();
    let owner = owner(cfg);
    let first = announcement("i-0", 1_000, "kettle", silent.local_addr().unwrap());
    assert_eq!(owner.on_announcement(first), AnnouncementOutcome::Replaced);
    (owner, silent, next)
}

/// Checks that a request is refused as not run, and at once.
async fn assert_refused(request: JoinHandle<End>, next: &MeshUpstream) {
    let end = timeout(REFUSAL_TIME, request).await;
    let runs = next.runs();
    assert!(runs.is_empty(), "ran at the upstream of another service: {runs:?}");
    let not_run = End::NotRun { why: ErrorKind::NoUpstream, arrived: false };
    assert_eq!(end, Ok(not_run));
}

/// Guards against a request that waits for a slot and runs at an upstream of another service.
#[test]
fn waiting_request_runs_at_another_service() {
    block_on(async {
        let (owner, _silent, next) = start(None).await;
        let running = offer(&owner, "running", Duration::from_secs(3));
        task::sleep(SETTLE_TIME).await;
        let waiting = offer(&owner, "waiting", Duration::from_secs(3));
        task::sleep(SETTLE_TIME).await;
        owner.on_announcement(announcement("i-1", 2_000, "recipe", next.addr()));
        // The run at the first upstream ends and frees its slot.
        running.cancel().await;
        assert_refused(waiting, &next).await;
    });
}

/// Guards against a request that runs at an upstream of another service because that replaced its own
/// during a health check.
#[test]
fn request_in_a_health_check_runs_at_another_service() {
    block_on(async {
        let (owner, _silent, next) = start(Some(&crate::fleet::config(3, None))).await;
        let checking = offer(&owner, "checking", Duration::from_secs(3));
        task::sleep(SETTLE_TIME).await;
        owner.on_announcement(announcement("i-1", 2_000, "recipe", next.addr()));
        assert_refused(checking, &next).await;
    });
}

/// Guards against a failed run of a replaced upstream that counts as one of its successor.
#[test]
fn failure_counts_for_the_next_upstream() {
    block_on(async {
        let (owner, silent, next) = start(None).await;
        let running = offer(&owner, "running", Duration::from_secs(3));
        let (stream, _) = silent.accept().await.unwrap();
        task::sleep(SETTLE_TIME).await;
        owner.on_announcement(announcement("i-1", 2_000, "kettle", next.addr()));
        drop(stream);
        let lost = End::Unknown(ErrorKind::ConnectionLost);
        assert_eq!(timeout(REFUSAL_TIME, running).await, Ok(lost));
        let capacity = owner.state_for(PriorityClass::Timely, 0).capacity;
        assert_eq!(capacity.failures, 0);
    });
}
