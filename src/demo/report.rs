//! Report of the demo: goodput, latency, invariants and the cost of measuring.

use std::{collections::BTreeMap, fmt::Write};

use oleandertiller_load::{
    checks::{Checks, false_not_run},
    stats::{KindSummary, Stats},
};
use oleandertiller_model::intent::{DEFAULT_MEASURING_PPM, PPM};
use oleandertiller_routing::budget::MEASURING_BURST_TOKENS;
use serde::Serialize;

use super::{Options, fleet::Fleet};

/// Report of a demo.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Seconds of load.
    pub seconds: u64,
    /// Seed of the load and of the upstreams' service times.
    pub seed: u64,
    /// Whether all invariants held.
    pub held: bool,
    /// Violated invariants, one sentence each.
    pub violations: Vec<String>,
    /// Reports of the deployments.
    pub deployments: Vec<DeploymentReport>,
}

/// Report of one deployment.
#[derive(Clone, Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct DeploymentReport {
    /// Name of the example deployment.
    pub name: &'static str,
    /// Share of calls answered correctly within their deadline, weighted by kind.
    pub goodput: f64,
    /// Latency and answers by kind.
    pub kinds: BTreeMap<String, KindSummary>,
    /// Counts that must be zero.
    pub invariants: Invariants,
    /// The zone that went out of service.
    pub zone: Zone,
    /// Cost of measuring.
    pub measuring: Measuring,
}

/// Counts that must be zero.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Invariants {
    /// At-most-once requests that ran more than once.
    pub run_twice: u64,
    /// Requests that ran although an answer said that they did not.
    pub false_not_run: u64,
    /// Answers that were cut short or belonged to another request.
    pub wrong_answers: u64,
    /// Requests that reached the zone later than 3 s after it went out of service.
    pub zone_out_late: u64,
    /// Nodes that measured more than their budget allows.
    pub over_measuring_budget: u64,
}

/// A zone that went out of service and returned.
#[derive(Clone, Copy, Debug)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Zone {
    /// Name of the zone.
    pub name: &'static str,
    /// Requests that its upstreams ran before it went out.
    pub run_before: u64,
    /// Time until the command to leave was accepted, in milliseconds.
    pub out_ms: f64,
    /// Time until the command to return was accepted, in milliseconds.
    pub in_ms: f64,
    /// Requests that its upstreams ran after its return.
    pub run_after_return: u64,
}

/// Cost of measuring against its budget.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
#[serde(rename_all = "kebab-case")]
pub struct Measuring {
    /// Calls that the nodes took, nested ones included.
    pub calls: u64,
    /// Probes, the calls that only measure load.
    pub probes: u64,
    /// Bytes of the probes.
    pub probe_bytes: u64,
    /// Probes allowed for that number of calls, without the burst of each node.
    pub budget: f64,
    /// Attempts after the first, which have a budget of their own.
    pub retries: u64,
}

impl DeploymentReport {
    pub(super) fn collect(fleet: &Fleet, stats: &Stats, zone: Zone) -> Self {
        let records = fleet.records();
        let checks = Checks::of(&records);
        let summary = stats.summary();
        let (measuring, over_measuring_budget) = measuring_cost(fleet);
        let invariants = Invariants {
            run_twice: checks.run_twice,
            false_not_run: false_not_run(&stats.not_run, &records),
            wrong_answers: stats.count("wrong"),
            zone_out_late: checks.zone_out_late,
            over_measuring_budget,
        };
        let (name, goodput, kinds) = (fleet.name(), summary.goodput, summary.kinds);
        Self { name, goodput, kinds, invariants, zone, measuring }
    }

    fn violations(&self) -> Vec<String> {
        let invariants = &self.invariants;
        let counts = [
            (invariants.run_twice, "at-most-once requests ran twice"),
            (invariants.false_not_run, "requests ran after a \"not run\" answer"),
            (invariants.wrong_answers, "answers were wrong or not whole"),
            (
                invariants.zone_out_late,
                "requests reached the zone 3 s after it went out of service",
            ),
            (invariants.over_measuring_budget, "nodes measured more than their budget allows"),
        ];
        let counts = counts.iter().filter(|(count, _)| *count > 0);
        let mut violations: Vec<_> =
            counts.map(|(count, what)| format!("{}: {count} {what}", self.name)).collect();
        // Without answers, the counts above are zero whatever the nodes do.
        let unanswered = self.kinds.iter().filter(|(_, kind)| !kind.counts.contains_key("done"));
        violations
            .extend(unanswered.map(|(kind, _)| format!("{}: no {kind} was answered", self.name)));
        if self.zone.run_before == 0 {
            violations
                .push(format!("{}: {} had no work before it went out", self.name, self.zone.name));
        }
        violations
    }

    fn write(&self, text: &mut String) -> std::fmt::Result {
        writeln!(text, "{}: weighted goodput {:.4}", self.name, self.goodput)?;
        for (kind, summary) in &self.kinds {
            let latency = &summary.latency;
            writeln!(
                text,
                "  {kind:16} p50 {:7.2}  p99 {:7.2}  p99.9 {:7.2} ms, {} of {} calls in time",
                latency.p50, latency.p99, latency.p999, summary.good, summary.offered,
            )?;
            for (outcome, count) in &summary.counts {
                writeln!(text, "    {outcome}: {count}")?;
            }
        }
        let invariants = &self.invariants;
        writeln!(text, "  requests run twice: {}", invariants.run_twice)?;
        writeln!(text, "  false \"not run\" answers: {}", invariants.false_not_run)?;
        writeln!(text, "  answers to the wrong request: {}", invariants.wrong_answers)?;
        let zone = &self.zone;
        writeln!(text, "  work 3 s after {} went out: {}", zone.name, invariants.zone_out_late)?;
        writeln!(
            text,
            "  {}: {} requests before it went out, {} after its return",
            zone.name, zone.run_before, zone.run_after_return,
        )?;
        let cost = &self.measuring;
        writeln!(
            text,
            "  measuring: {} calls and {} bytes, budget {:.0} of {} calls; retries: {}",
            cost.probes, cost.probe_bytes, cost.budget, cost.calls, cost.retries,
        )
    }
}

/// Returns the total cost of measuring and the number of nodes that exceeded their budget.
fn measuring_cost(fleet: &Fleet) -> (Measuring, u64) {
    // No command of the demo changes the measuring share.
    let share = f64::from(DEFAULT_MEASURING_PPM) / f64::from(PPM);
    let (mut sum, mut over_budget) = (Measuring::default(), 0);
    for metrics in fleet.metrics() {
        let (calls, probes) = (fleet.calls(metrics), metrics.probes.get());
        let budget = calls as f64 * share;
        sum.calls += calls;
        sum.probes += probes;
        sum.probe_bytes += metrics.probe_bytes.get();
        sum.budget += budget;
        sum.retries += metrics.retries.get();
        over_budget += u64::from(probes as f64 > budget + MEASURING_BURST_TOKENS);
    }
    (sum, over_budget)
}

impl Report {
    pub(super) fn new(options: &Options, deployments: Vec<DeploymentReport>) -> Self {
        let violations: Vec<_> =
            deployments.iter().flat_map(DeploymentReport::violations).collect();
        Self {
            seconds: options.seconds,
            seed: options.seed,
            held: violations.is_empty(),
            violations,
            deployments,
        }
    }

    /// Returns the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }

    /// Returns the report as text.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        for deployment in &self.deployments {
            // Writing to a string does not fail.
            let _ = deployment.write(&mut text);
        }
        for violation in &self.violations {
            let _ = writeln!(text, "did not hold: {violation}");
        }
        if self.held {
            text.push_str("all invariants held\n");
        }
        text
    }
}
