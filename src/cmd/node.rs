//! `node`: runs a node beside one upstream.

use std::{env, io, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use async_global_executor::GlobalExecutorConfig;
use async_std::{
    channel::{Receiver, Sender, bounded},
    task,
};
use futures_util::StreamExt;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use super::{check::format_load_error, failure};
use crate::{
    node::daemon::Daemon,
    settings::Settings,
    telemetry::{self, StateChange},
};

/// Environment variable that overrides the number of threads in the settings.
const THREADS_VAR: &str = "ASYNC_STD_THREAD_COUNT";

/// Name of the executor's threads, at most 15 bytes: Linux truncates longer names.
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
            Err(error) => {
                return failure(&format_load_error(&self.settings.display().to_string(), &error));
            }
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

/// Starts the executor of `async-std` with a fixed number of threads.
///
/// `async-std` reads the number from the environment, which cannot be changed without `unsafe`.
/// Its executor uses the first configuration it gets, so this must run before any task is spawned.
pub(super) fn start_executor(threads: u32) {
    if env::var_os(THREADS_VAR).is_some() {
        log::warn!("{THREADS_VAR} is set and overrides the number of threads, {threads}");
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
    // Registered first, so that no signal is lost during startup.
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

/// Requests a graceful stop at the first signal. Later signals are ignored, since an immediate exit
/// would interrupt requests in flight.
async fn watch_signals(mut signals: Signals, stop: Sender<()>, what: String) {
    while let Some(signal) = signals.next().await {
        let name = if signal == SIGTERM { "SIGTERM" } else { "SIGINT" };
        if stop.try_send(()).is_ok() {
            StateChange::new(&what, "running", "draining").with_why(name).log();
        }
    }
}

/// Runs the node until `stop` yields, then shuts down gracefully.
async fn run(settings: Settings, stop: Receiver<()>) -> io::Result<()> {
    let what = format!("node {}", settings.node.name);
    let daemon = Daemon::start(settings).await?;
    StateChange::new(&what, "starting", "running").with_why("all ports are open").log();
    // A closed channel means that no stop can be requested any more, so the node stops as well.
    let _ = stop.recv().await;
    daemon.stop().await;
    Ok(())
}
