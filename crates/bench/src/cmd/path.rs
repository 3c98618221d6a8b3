//! `bench path`: calls through two nodes compared with calls sent directly to the upstream.

mod result;

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use hdrhistogram::Histogram;
use oleandertiller_bench::fleet::{Fleet, FleetPlan, MemberPlan};
use oleandertiller_bench::load::{self, ClientPolicy, Plan, Route};
use oleandertiller_bench::plot::{self, Labels, Line};
use oleandertiller_bench::process::{cpu_time, resident_bytes};
use oleandertiller_bench::stats::{Quantiles, Stats};
use oleandertiller_bench::workload::{Deployment, LoadKind};
use serde_json::json;

use super::{CommandResult, check_run_length, write_result};
use result::{PathStats, ProcessMemory, RateResult, ResultFile};

/// Slots of the measured upstream; no request waits for one at 10,000 calls/s.
const SLOTS: u32 = 128;

/// Measures the path through two nodes against the direct path, paired in one run.
#[derive(FromArgs)]
#[argh(subcommand, name = "path")]
pub struct PathArgs {
    /// calls per second, repeatable; 1,000 and 10,000 by default
    #[argh(option)]
    rate: Vec<f64>,
    /// measured seconds of each path at each rate
    #[argh(option, default = "5")]
    seconds: u64,
    /// rounds into which these are split; the paths alternate
    #[argh(option, default = "5")]
    rounds: u64,
    /// seconds of load before the measurement at each rate
    #[argh(option, default = "3")]
    warmup: u64,
    /// mean service time in milliseconds
    #[argh(option, default = "0.0")]
    service_ms: f64,
    /// executor threads of each process
    #[argh(option, default = "2")]
    threads: usize,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
    /// address of a running upstream; no process is started then
    #[argh(option)]
    direct: Option<SocketAddr>,
    /// client address of a running node or other server that takes `/kettle/temper`; needs
    /// --direct
    #[argh(option)]
    through: Option<SocketAddr>,
    /// process whose CPU time and memory are measured, repeatable; with --direct only
    #[argh(option)]
    pid: Vec<u32>,
    /// start a stand-in upstream alone and measure the direct path only
    #[argh(switch)]
    upstream_only: bool,
    /// earlier result file to compare with
    #[argh(option)]
    against: Option<PathBuf>,
    /// directory of the result files
    #[argh(option, default = "PathBuf::from(\"bench-results\")")]
    out: PathBuf,
}

/// The measured paths and processes.
struct TestSystem {
    /// Route to the upstream.
    direct: Route,
    /// Route through two nodes; `None` if only the direct path is measured.
    through: Option<Route>,
    /// Ids of the processes whose CPU time and memory are measured, by name.
    pids: BTreeMap<String, u32>,
    /// Keeps the started processes running; they are killed on drop.
    _fleet: Option<Fleet>,
}

pub fn run(args: &PathArgs) -> CommandResult {
    check_run_length(args.seconds)?;
    check_run_length(args.warmup)?;
    let rates = if args.rate.is_empty() { vec![1_000.0, 10_000.0] } else { args.rate.clone() };
    let system = set_up(args)?;
    let idle = resident_memory(&system);
    let mut result = ResultFile::new(args.seed, args.service_ms, args.threads);
    let mut lines = Vec::new();
    for rate in rates {
        let (rate_result, histograms) = measure(args, &system, rate);
        rate_result.print();
        lines.extend(quantile_lines(rate, &histograms));
        result.rates.push(rate_result);
    }
    result.memory = ProcessMemory::join(&idle, &resident_memory(&system));
    result.print_memory();
    if let Some(file) = &args.against {
        result.print_changes(&serde_json::from_slice(&std::fs::read(file)?)?);
    }
    let stem = write_result(&args.out, "path", &result)?;
    let labels = Labels {
        title: "Latency from the intended start",
        x: "quantile as nines: 2 is 99 in 100",
        y: "ms",
    };
    plot::write(&stem.with_extension("svg"), &labels, &lines)
}

fn set_up(args: &PathArgs) -> Result<TestSystem, Box<dyn Error>> {
    if let Some(direct) = args.direct {
        return Ok(TestSystem {
            direct: direct_route(direct),
            through: args.through.map(|addr| Route::Nodes(vec![addr])),
            pids: args.pid.iter().map(|pid| (format!("pid {pid}"), *pid)).collect(),
            _fleet: None,
        });
    }
    if args.through.is_some() || !args.pid.is_empty() {
        return Err("--through and --pid need --direct".into());
    }
    let fleet = Fleet::start(&fleet_plan(args))?;
    let kettle = fleet.of_service("kettle")[0];
    let ingress = fleet.members.iter().find(|member| member.plan.service == "recipe");
    let ingress = ingress.and_then(|member| member.node.as_ref());
    let mut pids = BTreeMap::new();
    for member in &fleet.members {
        pids.insert(member.upstream.name.clone(), member.upstream.pid());
        if let Some(node) = &member.node {
            pids.insert(node.process.name.clone(), node.process.pid());
        }
    }
    let direct = direct_route(kettle.upstream_addr);
    let through = ingress.map(|node| Route::Nodes(vec![node.client_addr]));
    Ok(TestSystem { direct, through, pids, _fleet: Some(fleet) })
}

fn direct_route(addr: SocketAddr) -> Route {
    Route::Upstreams([("kettle".into(), vec![addr])].into(), ClientPolicy::RoundRobin)
}

/// Returns the plan of a fleet with one upstream of `kettle`, which is measured. Calls enter at the
/// node of a `recipe` upstream, so that each passes through two nodes: this ingress and the owner.
fn fleet_plan(args: &PathArgs) -> FleetPlan {
    let behaviour = json!({"service_ms": {"temper": args.service_ms}, "max_connections": 1_000});
    let member = |name: &str, service: &str| MemberPlan {
        name: name.into(),
        service: service.into(),
        zone: "bayangol".into(),
        slots: SLOTS,
        behaviour: behaviour.clone(),
    };
    let mut members = vec![member("owner", "kettle")];
    if !args.upstream_only {
        members.push(member("ingress", "recipe"));
    }
    FleetPlan {
        deployment: Deployment::Tuul,
        members,
        policy: (!args.upstream_only).then(|| "expected-wait".to_owned()),
        threads: args.threads,
        seed: args.seed,
    }
}

/// Latencies of both paths over all rounds.
struct Histograms {
    direct: Histogram<u64>,
    through: Option<Histogram<u64>>,
}

/// Measures both paths at one rate.
fn measure(args: &PathArgs, system: &TestSystem, rate: f64) -> (RateResult, Histograms) {
    let warmup = Duration::from_secs(args.warmup);
    for route in [Some(&system.direct), system.through.as_ref()].into_iter().flatten() {
        load::run(load_plan(args.seed, rate, warmup, route).warmup(warmup));
    }
    let rounds = args.rounds.max(1);
    let length = Duration::from_secs(args.seconds) / rounds as u32;
    // The direct path is measured twice: the difference is the noise of the measurement.
    let mut routes = vec![&system.direct, &system.direct];
    routes.extend(&system.through);
    let mut totals: Vec<RoundTotals> = routes.iter().map(|_| RoundTotals::default()).collect();
    for round in 0..rounds {
        for position in 0..routes.len() {
            // In a round, all paths get the same arrivals. Their order changes from round to round,
            // which spreads the noise of the machine over all.
            let path = (round as usize + position) % routes.len();
            let plan = load_plan(args.seed + round + 1, rate, length, routes[path]);
            totals[path].run_round(system, plan);
        }
    }
    let histograms = Histograms {
        direct: totals[0].stats.latency(),
        through: totals.get(2).map(|through| through.stats.latency()),
    };
    let mut paths = totals.iter().map(RoundTotals::path_stats);
    let (direct, control) = (paths.next().expect("direct"), paths.next().expect("control"));
    (RateResult::new(rate, direct, control, paths.next()), histograms)
}

fn load_plan(seed: u64, rate: f64, length: Duration, route: &Route) -> Plan {
    let temper = Deployment::Tuul.kinds().iter().filter(|kind| kind.kind == "temper");
    let kinds: Vec<LoadKind> = temper.cloned().collect();
    let mut plan = Plan::new(seed, rate, length, kinds, route.clone());
    plan.connections = 64;
    plan
}

/// Results of one path over its rounds.
#[derive(Default)]
struct RoundTotals {
    stats: Stats,
    /// Latency of each round.
    rounds: Vec<Quantiles>,
    /// CPU time by process.
    cpu_times: BTreeMap<String, Duration>,
}

impl RoundTotals {
    /// Runs a round and adds its results.
    fn run_round(&mut self, system: &TestSystem, plan: Plan) {
        let before = cpu_times(system);
        let round = load::run(plan);
        self.rounds.push(Quantiles::of(&round.latency()));
        self.stats.merge(round);
        for (name, after) in cpu_times(system) {
            let used = after.saturating_sub(before.get(&name).copied().unwrap_or_default());
            *self.cpu_times.entry(name).or_default() += used;
        }
    }

    fn path_stats(&self) -> PathStats {
        let calls = self.stats.offered().max(1) as f64;
        let us_per_call = |time: &Duration| time.as_secs_f64() * 1e6 / calls;
        PathStats {
            summary: self.stats.summary(),
            rounds: self.rounds.clone(),
            cpu_us_per_call: self
                .cpu_times
                .iter()
                .map(|(name, time)| (name.clone(), us_per_call(time)))
                .collect(),
        }
    }
}

/// Returns the CPU time of each measured process since its start.
fn cpu_times(system: &TestSystem) -> BTreeMap<String, Duration> {
    let times = system.pids.iter().map(|(name, pid)| (name.clone(), cpu_time(*pid)));
    times.filter_map(|(name, time)| Some((name, time?))).collect()
}

/// Returns the resident memory of each measured process in bytes.
fn resident_memory(system: &TestSystem) -> BTreeMap<String, u64> {
    let bytes = system.pids.iter().map(|(name, pid)| (name.clone(), resident_bytes(*pid)));
    bytes.filter_map(|(name, bytes)| Some((name, bytes?))).collect()
}

fn quantile_lines(rate: f64, histograms: &Histograms) -> Vec<Line> {
    let mut lines = vec![Line::quantiles(format!("direct, {rate}/s"), &histograms.direct)];
    if let Some(through) = &histograms.through {
        lines.push(Line::quantiles(format!("two nodes, {rate}/s"), through));
    }
    lines
}
