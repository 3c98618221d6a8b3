//! `demo`: runs both example deployments in one process.

use std::process::ExitCode;

use argh::FromArgs;

/// Run both example deployments in this process on loopback, with stand-ins for their upstreams
/// and store, and check the invariants while a zone goes out of service and returns.
#[derive(Debug)]
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
#[cfg_attr(not(feature = "demo"), allow(dead_code, reason = "there is nothing to run"))]
pub struct Demo {
    /// seconds of load, 8 to 600
    #[argh(option, default = "20")]
    seconds: u32,

    /// seed of the load and of the upstreams' service times
    #[argh(option, default = "1")]
    seed: u64,

    /// print the report as JSON
    #[argh(switch)]
    json: bool,
}

#[cfg(feature = "demo")]
impl Demo {
    pub(super) fn run(self) -> ExitCode {
        use crate::demo::{self, MAX_LOAD_SECONDS, MIN_LOAD_SECONDS, Options};

        let seconds = u64::from(self.seconds);
        if !(MIN_LOAD_SECONDS..=MAX_LOAD_SECONDS).contains(&seconds) {
            let range = format!("{MIN_LOAD_SECONDS} to {MAX_LOAD_SECONDS}");
            return super::bad_usage(&format!("--seconds {seconds}: expected {range}"));
        }
        super::node::start_executor(demo::threads());
        match demo::run(&Options { seconds, seed: self.seed }) {
            Ok(report) => {
                match self.json {
                    true => println!("{}", report.to_json()),
                    false => print!("{}", report.to_text()),
                }
                if report.held { ExitCode::SUCCESS } else { ExitCode::from(super::FAILURE) }
            }
            Err(error) => super::failure(&format!("the demo failed: {error}")),
        }
    }
}

#[cfg(not(feature = "demo"))]
impl Demo {
    pub(super) fn run(self) -> ExitCode {
        super::failure("this binary was built without the cargo feature `demo`")
    }
}
