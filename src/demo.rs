//! Demo that runs both example deployments in one process, on loopback only.

mod fleet;
mod report;
mod script;

use std::{
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    thread,
    time::Duration,
};

use async_std::task;
use futures_util::future::join_all;
use oleandertiller_load::{
    load::{self, Plan, Route},
    stats::Stats,
    workload::Deployment,
};

pub use self::report::{DeploymentReport, Invariants, Measuring, Report, Zone};
use self::{fleet::Fleet, script::Script};

/// Minimum length of the load, in seconds. A zone is out of service for half of it, which must
/// exceed the 3 s after which the zone gets no work.
pub const MIN_LOAD_SECONDS: u64 = 8;

/// Maximum length of the load, in seconds. Upstreams keep every request id in memory.
pub const MAX_LOAD_SECONDS: u64 = 600;

/// Calls a second to each deployment.
const CALLS_PER_SECOND: f64 = 150.0;

/// One-way latency between clients and the nodes.
const CLIENT_DELAY: Duration = Duration::from_millis(3);

/// Share of at-most-once requests that clients send twice at the same time.
const DUPLICATE_SHARE: f64 = 0.1;

/// Maximum repeats by a client of an at-most-once request without a known outcome.
const MAX_REPEATS: u64 = 2;

/// Interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// Both example deployments, each with the settings that its nodes share.
const DEPLOYMENTS: [(Deployment, &str); 2] = [
    (Deployment::Tuul, include_str!("../examples/settings/tuul.ini")),
    (Deployment::Trunkworks, include_str!("../examples/settings/trunkworks.ini")),
];

/// Options of a demo run.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Seconds of load.
    pub seconds: u64,
    /// Seed of the load and of the upstreams' service times.
    pub seed: u64,
}

/// Returns the number of executor threads for the demo.
///
/// 20 nodes, 20 upstreams and all clients share the executor here. With the 2 threads of a node,
/// a long step of one of them delays the timers and failure detection of all others. More threads
/// than cores only add context switches.
pub fn threads() -> u32 {
    let cores = thread::available_parallelism().map_or(4, |cores| cores.get() as u32);
    cores.clamp(4, 16)
}

/// Running deployment and the statistics of its load.
struct RunningDeployment {
    fleet: Fleet,
    stats: Arc<Mutex<Stats>>,
}

impl RunningDeployment {
    fn stats(&self) -> MutexGuard<'_, Stats> {
        self.stats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs the demo and returns its report. Progress goes to the standard error stream.
///
/// # Errors
///
/// Returns an error when a node, upstream or store does not start, or when a command is refused.
pub fn run(options: &Options) -> io::Result<Report> {
    eprintln!("starting the nodes, upstreams and stores of both deployments");
    let running = task::block_on(start(options))?;
    let load_result = run_load(options, &running);
    let mut deployments = Vec::new();
    if let Ok(zones) = &load_result {
        for (running, zone) in running.iter().zip(zones) {
            deployments.push(DeploymentReport::collect(&running.fleet, &running.stats(), *zone));
        }
    }
    eprintln!("stopping all nodes");
    task::block_on(join_all(running.into_iter().map(|running| running.fleet.close())));
    load_result?;
    Ok(Report::new(options, deployments))
}

async fn start(options: &Options) -> io::Result<Vec<RunningDeployment>> {
    let mut running = Vec::new();
    for (deployment, text) in DEPLOYMENTS {
        let fleet = Fleet::start(deployment, text, options.seed).await?;
        running.push(RunningDeployment { fleet, stats: Arc::new(Mutex::new(Stats::new())) });
    }
    for running in &running {
        running.fleet.wait_until_ready().await?;
        eprintln!("{}: every node knows the whole fleet", running.fleet.name());
    }
    Ok(running)
}

/// Applies the load to all deployments and runs their scripts at the same time.
fn run_load(options: &Options, running: &[RunningDeployment]) -> io::Result<Vec<Zone>> {
    let length = Duration::from_secs(options.seconds);
    thread::scope(|scope| {
        let mut scripts = Vec::new();
        for running in running {
            let plan = load_plan(options, &running.fleet);
            scope.spawn(|| load::run_into(plan, &running.stats));
            scripts.push(scope.spawn(move || Script::new(&running.fleet).run(length)));
        }
        scope.spawn(|| show_progress(length, running));
        let zones = scripts.into_iter().map(|script| script.join().expect("a script panicked"));
        zones.collect()
    })
}

fn load_plan(options: &Options, fleet: &Fleet) -> Plan {
    let length = Duration::from_secs(options.seconds);
    let route = Route::Nodes(fleet.clients());
    let mut plan = Plan::new(options.seed, CALLS_PER_SECOND, length, fleet.kinds().to_vec(), route);
    plan.client_delay = CLIENT_DELAY;
    plan.duplicate_share = DUPLICATE_SHARE;
    plan.repeats = MAX_REPEATS;
    // A few connections carry this load, and each one takes a task at a node.
    plan.connections = 4;
    plan
}

fn show_progress(length: Duration, running: &[RunningDeployment]) {
    let mut elapsed = Duration::ZERO;
    while elapsed + PROGRESS_INTERVAL <= length {
        thread::sleep(PROGRESS_INTERVAL);
        elapsed += PROGRESS_INTERVAL;
        let counts = running.iter().map(|running| {
            let stats = running.stats();
            let (name, offered) = (running.fleet.name(), stats.offered());
            format!("{name} {} of {offered} calls done", stats.count("done"))
        });
        let counts: Vec<_> = counts.collect();
        eprintln!("{:>3} s: {}", elapsed.as_secs(), counts.join(", "));
    }
}
