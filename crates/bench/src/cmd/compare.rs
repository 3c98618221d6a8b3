//! `bench compare`: selection policies under the same load and the same fault.

mod fault;

use std::error::Error;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use oleandertiller_bench::fleet::{Fleet, FleetPlan};
use oleandertiller_bench::load::{self, ClientPolicy, Plan, Route};
use oleandertiller_bench::plot::{self, Labels, Line};
use oleandertiller_bench::stats::{Stats, Summary};
use oleandertiller_bench::workload::Deployment;
use serde::Serialize;

use super::{CommandResult, bounded_seconds, write_result};
use fault::Fault;

/// Policies of nodes, the project's own first.
const NODE_POLICIES: [&str; 4] = ["expected-wait", "random", "round-robin", "least-in-flight"];

/// Compares selection policies with one scripted fault.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct Compare {
    /// tuul or trunkworks
    #[argh(option, default = "Deployment::Tuul")]
    deployment: Deployment,
    /// slow, failing, cold, zone or none
    #[argh(option, default = "Fault::Slow")]
    fault: Fault,
    /// policy, repeatable; all by default
    #[argh(option)]
    policy: Vec<String>,
    /// calls per second
    #[argh(option, default = "1_500.0")]
    rate: f64,
    /// measured seconds of each run; the fault acts in the middle third
    #[argh(option, default = "9")]
    seconds: u64,
    /// seconds of load before the measurement
    #[argh(option, default = "4")]
    warmup: u64,
    /// runs of each policy, each with its own seed
    #[argh(option, default = "1")]
    runs: u64,
    /// factor on the service times, to reach a high utilisation at a moderate rate
    #[argh(option, default = "4.0")]
    scale: f64,
    /// one-way latency to clients in milliseconds
    #[argh(option, default = "3.0")]
    client_delay_ms: f64,
    /// seed
    #[argh(option, default = "1")]
    seed: u64,
    /// start no nodes; clients select the upstreams themselves by the baseline policies
    #[argh(switch)]
    upstreams_only: bool,
    /// directory of the result files
    #[argh(option, default = "PathBuf::from(\"bench-results\")")]
    out: PathBuf,
}

/// Result of one policy.
#[derive(Serialize)]
struct Variant {
    policy: String,
    summary: Summary,
    /// Weighted share of good answers by second.
    goodput_by_second: Vec<(u64, f64)>,
}

#[derive(Serialize)]
struct CompareResult<'a> {
    deployment: Deployment,
    fault: String,
    rate: f64,
    seconds: u64,
    scale: f64,
    runs: u64,
    seed: u64,
    nodes: bool,
    variants: &'a [Variant],
}

pub fn run(args: &Compare) -> CommandResult {
    bounded_seconds(args.seconds + args.warmup)?;
    if args.upstreams_only && args.fault == Fault::Zone {
        return Err("a zone is taken out of service by a node; leave --upstreams-only out".into());
    }
    let mut variants = Vec::new();
    for policy in policies(args) {
        let mut stats = Stats::new();
        for run in 0..args.runs {
            stats.merge(one(args, &policy, args.seed + run)?);
        }
        let variant =
            Variant { goodput_by_second: by_second(&stats), summary: stats.summary(), policy };
        variant.print();
        variants.push(variant);
    }
    write(args, &variants)
}

fn policies(args: &Compare) -> Vec<String> {
    let all = NODE_POLICIES.iter().map(|policy| (*policy).to_owned());
    match (args.policy.is_empty(), args.upstreams_only) {
        (false, _) => args.policy.clone(),
        (true, false) => all.collect(),
        (true, true) => all.skip(1).collect(),
    }
}

/// Starts a fleet of its own, so that no variant inherits the state of another.
fn one(args: &Compare, policy: &str, seed: u64) -> Result<Stats, Box<dyn Error>> {
    let node_policy = (!args.upstreams_only).then(|| policy.to_owned());
    let fleet = Fleet::start(&FleetPlan::of(args.deployment, args.scale, node_policy, seed))?;
    let route = match args.upstreams_only {
        true => {
            Route::Upstreams(upstreams(args.deployment, &fleet), policy.parse::<ClientPolicy>()?)
        }
        false => Route::Nodes(fleet.clients()),
    };
    let kinds = args.deployment.kinds().to_vec();
    let plan = |length| {
        let mut plan = Plan::new(seed, args.rate, length, kinds.clone(), route.clone());
        plan.client_delay = Duration::from_secs_f64(args.client_delay_ms / 1_000.0);
        plan
    };
    load::run(plan(Duration::from_secs(args.warmup)));
    let length = Duration::from_secs(args.seconds);
    let script = fault::Script::new(args.fault, args.deployment, &fleet, args.scale);
    let measured = std::thread::scope(|scope| {
        let acting = scope.spawn(|| script.run(length));
        let stats = load::run(plan(length));
        acting.join().expect("the script does not panic").map(|()| stats)
    })?;
    Ok(measured)
}

fn upstreams(
    deployment: Deployment,
    fleet: &Fleet,
) -> std::collections::BTreeMap<String, Vec<std::net::SocketAddr>> {
    let services = deployment.services().map(|size| {
        let addrs = fleet.of_service(size.service).iter().map(|member| member.addr).collect();
        (size.service.to_owned(), addrs)
    });
    services.into()
}

fn by_second(stats: &Stats) -> Vec<(u64, f64)> {
    let good = |second| stats.good_by_second.get(second).copied().unwrap_or(0) as f64;
    let seconds = stats.offered_by_second.iter();
    seconds.map(|(second, offered)| (*second, good(second) / *offered as f64)).collect()
}

impl Variant {
    fn print(&self) {
        println!("{}: weighted goodput {:.4}", self.policy, self.summary.goodput);
        for (kind, summary) in &self.summary.kinds {
            println!(
                "  {kind:16} p99 {:8.2} ms, {} of {} good",
                summary.latency.p99, summary.good, summary.offered,
            );
            for (outcome, count) in summary.counts.iter().filter(|(name, _)| *name != "done") {
                println!("    {outcome}: {count}");
            }
        }
    }
}

fn write(args: &Compare, variants: &[Variant]) -> CommandResult {
    let result = CompareResult {
        deployment: args.deployment,
        fault: format!("{:?}", args.fault).to_lowercase(),
        rate: args.rate,
        seconds: args.seconds,
        scale: args.scale,
        runs: args.runs,
        seed: args.seed,
        nodes: !args.upstreams_only,
        variants,
    };
    let stem = write_result(&args.out, "compare", &result)?;
    let title = format!("Goodput, fault: {}", result.fault);
    let labels = Labels { title: &title, x: "s", y: "weighted share of good answers" };
    let lines: Vec<Line> = variants
        .iter()
        .map(|variant| Line {
            name: variant.policy.clone(),
            points: variant
                .goodput_by_second
                .iter()
                .map(|(s, share)| (*s as f64, *share))
                .collect(),
        })
        .collect();
    plot::write(&stem.with_extension("svg"), &labels, &lines)
}
