//! `mesh`: the daemon beside one upstream on the users' platform.

use std::{io, path::PathBuf, process::ExitCode};

use argh::FromArgs;
use async_std::{
    channel::{Receiver, bounded},
    task,
};
use futures_util::StreamExt;
use oleandertiller_platform::settings_path;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_async_std::Signals;

use super::{bad_usage, check::describe, failure, node::start_executor};
use crate::{
    mesh::{daemon::Daemon, log as lines},
    settings::mesh::MeshSettings,
};

/// Run a mesh node until it is asked to stop by SIGTERM or SIGINT.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "mesh")]
pub struct Mesh {
    /// settings file; the platform names it if it is left out
    #[argh(option)]
    settings: Option<PathBuf>,
}

impl Mesh {
    pub(super) fn run(self) -> ExitCode {
        let Some(path) = self.settings.or_else(settings_path) else {
            return bad_usage("no settings file is named; see `oleandertiller mesh --help`");
        };
        let settings = match MeshSettings::load(&path) {
            Ok(settings) => settings,
            Err(error) => return failure(&describe(&path.display().to_string(), &error)),
        };
        if let Err(error) = lines::init(settings.node.name.as_str(), settings.log.level) {
            return failure(&format!("logging cannot be started: {error}"));
        }
        start_executor(settings.node.threads);
        match task::block_on(run(settings, path)) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => failure(&format!("the node failed: {error}")),
        }
    }
}

async fn run(settings: MeshSettings, path: PathBuf) -> io::Result<()> {
    // Registered first, so that a signal during the start is not lost.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, stop) = bounded::<i32>(4);
    task::spawn(async move {
        let mut signals = signals;
        while let Some(signal) = signals.next().await {
            // More signals than fit into the channel say nothing new.
            let _ = tx.try_send(signal);
        }
    });
    log::info!(version = env!("CARGO_PKG_VERSION"), zone = settings.node.zone.as_str(),
        service = settings.node.service.as_str(), settings = &*path.display().to_string();
        "process started");
    let daemon = Daemon::start(settings.clone()).await?;
    wait_for_stop(&stop, &settings, &path).await;
    log::info!(active = daemon.active() as u64; "stop requested");
    daemon.stop().await;
    log::info!("process ends");
    // Lets the writer of log lines take the last batch.
    task::sleep(lines::FLUSH_TIME).await;
    Ok(())
}

/// Waits for a signal to stop. Ports and names come with a new process; what a reload could change
/// is compared and logged.
async fn wait_for_stop(stop: &Receiver<i32>, settings: &MeshSettings, path: &std::path::Path) {
    while let Ok(signal) = stop.recv().await {
        if signal != SIGHUP {
            return;
        }
        match MeshSettings::load(path) {
            Ok(new) => log::info!(changed = new != *settings; "settings read again"),
            Err(error) => {
                let error = describe(&path.display().to_string(), &error);
                log::error!(error = &*error; "settings not readable; those in force stay");
            }
        }
    }
}
