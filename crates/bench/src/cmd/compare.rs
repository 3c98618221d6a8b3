//! `bench compare`: selection policies under the same load and fault.

mod fault;

use std::error::Error;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

use argh::FromArgs;
use async_std::task;
use oleandertiller_bench::checks::Checks;
use oleandertiller_bench::fleet::{Fleet, FleetPlan, fetch_record, set_behaviour};
use oleandertiller_bench::load::{self, ClientPolicy, Plan, Route};
use oleandertiller_bench::plot::{self, Labels, Line};
use oleandertiller_bench::process::load_average;
use oleandertiller_bench::stats::{Stats, Summary};
use oleandertiller_bench::workload::Deployment;
use oleandertiller_standin::Record;
use serde::Serialize;
use serde_json::json;

use super::{CommandResult, check_run_length, write_result};
use fault::Fault;

/// Selection policies of nodes. The first is the default; the others are baselines, which clients
/// can use without nodes as well.
const NODE_POLICIES: [&str; 4] = ["expected-wait", "random", "round-robin", "least-in-flight"];

/// Compares selection policies with one scripted fault.
#[derive(FromArgs)]
#[argh(subcommand, name = "compare")]
pub struct CompareArgs {
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
    /// share of at-most-once requests that clients send twice at the same time
    #[argh(option, default = "0.02")]
    duplicate_share: f64,
    /// times that clients repeat an at-most-once request without a known outcome
    #[argh(option, default = "1")]
    repeats: u64,
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

/// Results of all runs with one policy.
#[derive(Serialize)]
struct PolicyResult {
    policy: String,
    /// Load average of the machine after the runs.
    load_average: Option<f64>,
    summary: Summary,
    checks: Checks,
    /// Weighted share of good answers in each second.
    goodput_by_second: Vec<(u64, f64)>,
}

#[derive(Serialize)]
struct ResultFile<'a> {
    deployment: Deployment,
    fault: String,
    rate: f64,
    seconds: u64,
    scale: f64,
    runs: u64,
    seed: u64,
    nodes: bool,
    variants: &'a [PolicyResult],
}

pub fn run(args: &CompareArgs) -> CommandResult {
    check_run_length(args.seconds + args.warmup)?;
    if args.upstreams_only && args.fault == Fault::Zone {
        return Err("--fault zone needs nodes and cannot be used with --upstreams-only".into());
    }
    let mut variants = Vec::new();
    for policy in policies(args) {
        let mut stats = Stats::new();
        let mut checks = Checks::default();
        for run in 0..args.runs {
            let (run_stats, run_checks) = run_once(args, &policy, args.seed + run)?;
            stats.merge(run_stats);
            checks.add(run_checks);
        }
        let variant = PolicyResult {
            goodput_by_second: goodput_by_second(&stats),
            load_average: load_average(),
            summary: stats.summary(),
            checks,
            policy,
        };
        variant.print();
        variants.push(variant);
    }
    write_files(args, &variants)
}

fn policies(args: &CompareArgs) -> Vec<String> {
    let all = NODE_POLICIES.iter().map(|policy| (*policy).to_owned());
    match (args.policy.is_empty(), args.upstreams_only) {
        (false, _) => args.policy.clone(),
        (true, false) => all.collect(),
        (true, true) => all.skip(1).collect(),
    }
}

/// Runs one policy with a new fleet, so that no run starts with the state of another.
fn run_once(
    args: &CompareArgs,
    policy: &str,
    seed: u64,
) -> Result<(Stats, Checks), Box<dyn Error>> {
    let node_policy = (!args.upstreams_only).then(|| policy.to_owned());
    let fleet =
        Fleet::start(&FleetPlan::for_deployment(args.deployment, args.scale, node_policy, seed))?;
    let plan = load_plan(args, route(args, policy, &fleet)?, seed);
    load::run(plan.clone().warmup(Duration::from_secs(args.warmup)));
    task::block_on(reset_records(&fleet))?;
    let script = fault::FaultScript::new(args.fault, args.deployment, &fleet, args.scale);
    let length = plan.length;
    let stats = std::thread::scope(|scope| {
        let script_thread = scope.spawn(|| script.run(length));
        let stats = load::run(plan);
        script_thread.join().expect("the fault script does not panic").map(|()| stats)
    })?;
    let records = task::block_on(fetch_records(&fleet))?;
    Ok((stats, Checks::of(&records)))
}

fn route(args: &CompareArgs, policy: &str, fleet: &Fleet) -> Result<Route, Box<dyn Error>> {
    if !args.upstreams_only {
        return Ok(Route::Nodes(fleet.client_addrs()));
    }
    let policy: ClientPolicy = policy.parse()?;
    Ok(Route::Upstreams(upstream_addrs(args.deployment, fleet), policy))
}

fn load_plan(args: &CompareArgs, route: Route, seed: u64) -> Plan {
    let length = Duration::from_secs(args.seconds);
    let mut plan = Plan::new(seed, args.rate, length, args.deployment.kinds().to_vec(), route);
    plan.client_delay = Duration::from_secs_f64(args.client_delay_ms / 1_000.0);
    plan.duplicate_share = args.duplicate_share;
    plan.repeats = args.repeats;
    plan
}

async fn reset_records(fleet: &Fleet) -> io::Result<()> {
    for member in &fleet.members {
        set_behaviour(member.upstream_addr, &json!({ "reset_record": true })).await?;
    }
    Ok(())
}

async fn fetch_records(fleet: &Fleet) -> io::Result<Vec<Record>> {
    let mut records = Vec::new();
    for member in &fleet.members {
        records.push(fetch_record(member.upstream_addr).await?);
    }
    Ok(records)
}

/// Returns the addresses of the upstreams by service.
fn upstream_addrs(
    deployment: Deployment,
    fleet: &Fleet,
) -> std::collections::BTreeMap<String, Vec<std::net::SocketAddr>> {
    let services = deployment.services().map(|size| {
        let addrs =
            fleet.of_service(size.service).iter().map(|member| member.upstream_addr).collect();
        (size.service.to_owned(), addrs)
    });
    services.into()
}

fn goodput_by_second(stats: &Stats) -> Vec<(u64, f64)> {
    let good = |second| stats.good_by_second.get(second).copied().unwrap_or(0) as f64;
    let seconds = stats.offered_by_second.iter();
    seconds.map(|(second, offered)| (*second, good(second) / *offered as f64)).collect()
}

impl PolicyResult {
    fn print(&self) {
        let load = self.load_average.unwrap_or(f64::NAN);
        let goodput = self.summary.goodput;
        println!("{}: weighted goodput {goodput:.4}, load average {load:.1}", self.policy);
        println!(
            "  keys run twice {}, above the cold limit {}, late after zone out {}, late after \
             drain {}",
            self.checks.run_twice,
            self.checks.cold_excess,
            self.checks.zone_out_late,
            self.checks.draining_late,
        );
        for (kind, summary) in &self.summary.kinds {
            println!(
                "  {kind:16} p99 of all {:8.2} ms, of correct answers {:8.2} ms, {} of {} good",
                summary.latency_all.p99, summary.latency.p99, summary.good, summary.offered,
            );
            for (outcome, count) in summary.counts.iter().filter(|(name, _)| *name != "done") {
                println!("    {outcome}: {count}");
            }
        }
    }
}

fn write_files(args: &CompareArgs, variants: &[PolicyResult]) -> CommandResult {
    let result = ResultFile {
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
