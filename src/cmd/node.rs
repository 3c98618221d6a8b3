//! `node`: the daemon beside one upstream.

use std::{env, io, path::PathBuf, process::ExitCode, time::UNIX_EPOCH};

use argh::FromArgs;
use async_global_executor::GlobalExecutorConfig;
use async_std::{
    channel::{Receiver, Sender, bounded},
    net::UdpSocket,
    task,
};
use futures_util::StreamExt;
use oleandertiller_model::{Clock, SystemClock};
use oleandertiller_routing::ledger::LedgerConfig;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use super::{check::describe, failure};
use crate::{
    node::{
        self,
        config::{HEAD_MAX_BYTES, NodeConfig, RetryConfig, Routes},
        control::{Control, ControlConfig},
        keeper::KeeperService,
        operator::OperatorApp,
        store::HttpStore,
        view::ViewCell,
    },
    settings::Settings,
    telemetry::{self, StateChange},
};

/// Variable that overrides the number of threads in the settings.
const THREADS_VAR: &str = "ASYNC_STD_THREAD_COUNT";

/// Name of the executor's threads; the kernel keeps 15 bytes.
const THREAD_NAME: &str = "oleander-worker";

/// Run a node until it is asked to stop by SIGTERM or SIGINT.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "node")]
pub struct Node {
    /// settings file
    #[argh(option)]
    settings: PathBuf,
}

impl Node {
    pub(super) fn run(self) -> ExitCode {
        let settings = match Settings::load(&self.settings) {
            Ok(settings) => settings,
            Err(error) => return failure(&describe(&self.settings.display().to_string(), &error)),
        };
        if let Err(error) = telemetry::init(&settings.log) {
            return failure(&format!("logging cannot be started: {error}"));
        }
        start_executor(settings.node.threads);
        match task::block_on(run_until_stopped(settings)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failure(&format!("the node failed: {error}")),
        }
    }
}

/// Starts the executor under `async-std` with a fixed number of threads.
///
/// `async-std` reads the number from the environment, which cannot be changed without `unsafe`.
/// Its executor takes the first configuration that it gets, so this must come before any task.
fn start_executor(threads: u32) {
    if env::var_os(THREADS_VAR).is_some() {
        log::warn!("{THREADS_VAR} is set and overrides [node] threads = {threads}");
    }
    let threads = threads as usize;
    let cfg = GlobalExecutorConfig::default()
        .with_env_var(THREADS_VAR)
        .with_min_threads(threads)
        .with_max_threads(threads)
        .with_thread_name_fn(|| THREAD_NAME.to_owned());
    async_global_executor::init_with_config(cfg);
}

async fn run_until_stopped(settings: Settings) -> io::Result<()> {
    // Registered first, so that a signal during the start is not lost.
    let signals = Signals::new([SIGTERM, SIGINT])?;
    let handle = signals.handle();
    let what = format!("node {}", settings.node.name);
    let (tx, stop) = bounded(1);
    let watcher = task::spawn(watch_signals(signals, tx, what.clone()));
    StateChange::new(&what, "absent", "starting").with_why("started by its operator").log();
    let result = run(settings, stop).await;
    handle.close();
    watcher.await;
    match &result {
        Ok(()) => {
            let change = StateChange::new(&what, "draining", "stopped");
            change.with_why("graceful shutdown completed").log();
        }
        Err(error) => StateChange::new(&what, "running", "stopped").with_why(error).warn(),
    }
    result
}

/// Asks the node to stop at the first signal. Later ones change nothing: ending at once would
/// interrupt requests in flight.
async fn watch_signals(mut signals: Signals, stop: Sender<()>, what: String) {
    while let Some(signal) = signals.next().await {
        let name = if signal == SIGTERM { "SIGTERM" } else { "SIGINT" };
        if stop.try_send(()).is_ok() {
            StateChange::new(&what, "running", "draining").with_why(name).log();
        }
    }
}

/// Runs the services of the node until `stop` yields, then shuts down gracefully.
async fn run(settings: Settings, stop: Receiver<()>) -> io::Result<()> {
    let what = format!("node {}", settings.node.name);
    let clock = SystemClock;
    let cfg = node_config(&settings, clock);
    let gossip = UdpSocket::bind(cfg.gossip).await?;
    let view = ViewCell::default();
    let store = &settings.store;
    let store = HttpStore::new(store.address, store.connect_timeout, store.call_timeout);
    let control = Control::new(&cfg, control_config(settings), clock, view.clone(), store);
    let add_routes = |app: &mut OperatorApp<SystemClock>| control.add_routes(app);
    let node = node::Node::start_with(cfg, clock, view, control.clone(), add_routes).await?;
    control.start(&node, gossip)?;
    StateChange::new(&what, "starting", "running").with_why("all ports are open").log();
    // An error means that nobody can ask for a stop any more, which is a reason to stop.
    let _ = stop.recv().await;
    // Peers learn of the stop before the node refuses work, so that no request meets a refusal
    // and is charged to the retry budget.
    control.announce_stop().await;
    node.drain();
    control.free_entry().await;
    if let Ok(keeper) = node.kernel().find::<KeeperService<SystemClock>>("keeper") {
        keeper.leave(&*control).await;
    }
    node.finish_work().await;
    control.leave().await;
    node.close().await;
    control.stop().await;
    Ok(())
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
        .with_routes(Routes::new(settings.peers.routes.iter().copied()))
        .with_head_max_bytes(HEAD_MAX_BYTES.min(limits.head_max_bytes as usize))
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
