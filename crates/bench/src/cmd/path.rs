//! `bench path`: the path through two nodes against the direct path.

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

use super::{CommandResult, bounded_seconds, write_result};
use result::{Arm, Memory, PathResult, RateResult};

/// Slots of the measured upstream, enough that no request waits for one at 10,000 calls/s.
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

/// What is measured.
struct Subject {
    direct: Route,
    through: Option<Route>,
    /// Processes by name.
    pids: BTreeMap<String, u32>,
    /// Ends its processes when dropped.
    _fleet: Option<Fleet>,
}

pub fn run(args: &PathArgs) -> CommandResult {
    bounded_seconds(args.seconds)?;
    bounded_seconds(args.warmup)?;
    let rates = if args.rate.is_empty() { vec![1_000.0, 10_000.0] } else { args.rate.clone() };
    let subject = subject(args)?;
    let idle = memory(&subject);
    let mut result = PathResult::new(args.seed, args.service_ms, args.threads);
    let mut lines = Vec::new();
    for rate in rates {
        let (measured, histograms) = measure(args, &subject, rate);
        measured.print();
        lines.extend(curves(rate, &histograms));
        result.rates.push(measured);
    }
    result.memory = Memory::pair(&idle, &memory(&subject));
    result.print_memory();
    if let Some(file) = &args.against {
        result.print_against(&serde_json::from_slice(&std::fs::read(file)?)?);
    }
    let stem = write_result(&args.out, "path", &result)?;
    let labels = Labels {
        title: "Latency from the intended start",
        x: "quantile as nines: 2 is 99 in 100",
        y: "ms",
    };
    plot::write(&stem.with_extension("svg"), &labels, &lines)
}

fn subject(args: &PathArgs) -> Result<Subject, Box<dyn Error>> {
    if let Some(direct) = args.direct {
        return Ok(Subject {
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
    let direct = direct_route(kettle.addr);
    let through = ingress.map(|node| Route::Nodes(vec![node.client]));
    Ok(Subject { direct, through, pids, _fleet: Some(fleet) })
}

fn direct_route(addr: SocketAddr) -> Route {
    Route::Upstreams([("kettle".into(), vec![addr])].into(), ClientPolicy::RoundRobin)
}

/// The node beside `recipe` is the ingress and the one beside `kettle` the owner, so that every
/// call passes through two nodes.
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

/// Results of both paths before they are summed up.
struct Histograms {
    direct: Histogram<u64>,
    through: Option<Histogram<u64>>,
}

fn measure(args: &PathArgs, subject: &Subject, rate: f64) -> (RateResult, Histograms) {
    let warmup = Duration::from_secs(args.warmup);
    for route in [Some(&subject.direct), subject.through.as_ref()].into_iter().flatten() {
        load::run(plan(args.seed, rate, warmup, route).warmup(warmup));
    }
    let rounds = args.rounds.max(1);
    let length = Duration::from_secs(args.seconds) / rounds as u32;
    // The direct path is measured twice; the difference of both is the noise of the measurement.
    let mut routes = vec![&subject.direct, &subject.direct];
    routes.extend(&subject.through);
    let mut collected: Vec<Collected> = routes.iter().map(|_| Collected::default()).collect();
    for round in 0..rounds {
        for turn in 0..routes.len() {
            // All paths get the same arrivals; a changing order spreads the noise of the machine.
            let path = (round as usize + turn) % routes.len();
            let plan = plan(args.seed + round + 1, rate, length, routes[path]);
            collected[path].add(subject, plan);
        }
    }
    let histograms = Histograms {
        direct: collected[0].stats.latency(),
        through: collected.get(2).map(|through| through.stats.latency()),
    };
    let mut arms = collected.iter().map(Collected::arm);
    let (direct, control) = (arms.next().expect("direct"), arms.next().expect("control"));
    (RateResult::new(rate, direct, control, arms.next()), histograms)
}

fn plan(seed: u64, rate: f64, length: Duration, route: &Route) -> Plan {
    let temper = Deployment::Tuul.kinds().iter().filter(|kind| kind.kind == "temper");
    let kinds: Vec<LoadKind> = temper.cloned().collect();
    let mut plan = Plan::new(seed, rate, length, kinds, route.clone());
    plan.connections = 64;
    plan
}

/// Results of one path over its rounds.
#[derive(Default)]
struct Collected {
    stats: Stats,
    rounds: Vec<Quantiles>,
    cpu: BTreeMap<String, Duration>,
}

impl Collected {
    fn add(&mut self, subject: &Subject, plan: Plan) {
        let before = cpu(subject);
        let round = load::run(plan);
        self.rounds.push(Quantiles::of(&round.latency()));
        self.stats.merge(round);
        for (name, after) in cpu(subject) {
            let spent = after.saturating_sub(before.get(&name).copied().unwrap_or_default());
            *self.cpu.entry(name).or_default() += spent;
        }
    }

    fn arm(&self) -> Arm {
        let calls = self.stats.offered().max(1) as f64;
        let per_call = |time: &Duration| time.as_secs_f64() * 1e6 / calls;
        Arm {
            summary: self.stats.summary(),
            rounds: self.rounds.clone(),
            cpu_us_per_call: self.cpu.iter().map(|(n, t)| (n.clone(), per_call(t))).collect(),
        }
    }
}

fn cpu(subject: &Subject) -> BTreeMap<String, Duration> {
    let times = subject.pids.iter().map(|(name, pid)| (name.clone(), cpu_time(*pid)));
    times.filter_map(|(name, time)| Some((name, time?))).collect()
}

fn memory(subject: &Subject) -> BTreeMap<String, u64> {
    let bytes = subject.pids.iter().map(|(name, pid)| (name.clone(), resident_bytes(*pid)));
    bytes.filter_map(|(name, bytes)| Some((name, bytes?))).collect()
}

fn curves(rate: f64, histograms: &Histograms) -> Vec<Line> {
    let mut lines = vec![Line::quantiles(format!("direct, {rate}/s"), &histograms.direct)];
    if let Some(through) = &histograms.through {
        lines.push(Line::quantiles(format!("two nodes, {rate}/s"), through));
    }
    lines
}
