//! `mesh`: runs the mesh node beside one upstream on the users' platform.

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

use super::{bad_usage, check::format_load_error, failure, node::start_executor};
use crate::{
    mesh::{daemon::Daemon, log as mesh_log},
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
            return bad_usage("no settings file is given; see `oleandertiller mesh --help`");
        };
        let settings = match MeshSettings::load(&path) {
            Ok(settings) => settings,
            Err(error) => return failure(&format_load_error(&path.display().to_string(), &error)),
        };
        if let Err(error) = mesh_log::init(settings.node.name.as_str(), settings.log.level) {
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
    // Registered first, so that no signal is lost during startup.
    let signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    let (tx, stop) = bounded::<i32>(4);
    task::spawn(async move {
        let mut signals = signals;
        while let Some(signal) = signals.next().await {
            // A signal that does not fit is dropped: enough others are queued.
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
    log::info!("process stopped");
    // Lets the log writer finish the last batch.
    task::sleep(mesh_log::FLUSH_TIME).await;
    Ok(())
}

/// Waits for a signal to stop. On SIGHUP, only logs whether the settings file has changed: new
/// settings take effect with a new process.
async fn wait_for_stop(stop: &Receiver<i32>, settings: &MeshSettings, path: &std::path::Path) {
    while let Ok(signal) = stop.recv().await {
        if signal != SIGHUP {
            return;
        }
        match MeshSettings::load(path) {
            Ok(new) => log::info!(changed = new != *settings; "settings file checked"),
            Err(error) => {
                let error = format_load_error(&path.display().to_string(), &error);
                log::error!(error = &*error;
                    "settings file not loaded; the process keeps its settings");
            }
        }
    }
}
