//! `demo`: both example deployments in one process.

use std::process::ExitCode;

use argh::FromArgs;

use super::failure;

/// Run both example deployments on loopback with stand-ins (not built yet).
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub struct Demo {
    /// how long to run
    #[argh(option, default = "20")]
    #[allow(dead_code, reason = "read once the demo is built")]
    seconds: u32,

    /// seed of all random choices
    #[argh(option, default = "1")]
    #[allow(dead_code, reason = "read once the demo is built")]
    seed: u64,

    /// print the result as JSON
    #[argh(switch)]
    #[allow(dead_code, reason = "read once the demo is built")]
    json: bool,
}

impl Demo {
    pub(super) fn run(self) -> ExitCode {
        failure("demo is not built yet")
    }
}
