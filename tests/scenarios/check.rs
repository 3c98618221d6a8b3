//! Checks of a run against the expectations of its script and against general guarantees.

use std::{
    collections::{BTreeMap, BTreeSet},
    fmt::Write,
    time::Duration,
};

use oleandertiller_language::{
    Command,
    scenario::{Count, Expectation, Share},
};
use oleandertiller_model::intent::ZoneIntent;
use oleandertiller_standin::{Record, answer::nested_id};

use crate::{
    load::{Attempt, Outcome},
    revisions,
    run::{History, Run, UnreachableCause, UnreachablePeriod},
};

/// Time after which a draining upstream, or a zone taken out of service, must get no new work.
const DRAIN_TARGET: Duration = Duration::from_secs(3);

/// Time from the start of a drain or graceful shutdown in which lost requests are attributed to it.
const DRAIN_WINDOW: Duration = Duration::from_secs(10);

/// Maximum number of examples in the message of a failed check.
const MAX_EXAMPLES: usize = 8;

/// Result of the checks of a run.
pub struct Report {
    /// Messages of the failed checks.
    pub failures: Vec<String>,
    /// Description of the run, printed whether or not a check failed.
    pub summary: String,
}

struct Checks<'a> {
    run: &'a Run,
    records: Vec<Record>,
    attempts: Vec<Attempt>,
}

/// Checks a run. Besides what the script expects, no node may go back to an older revision, and
/// each accepted command must be in force in time at every reachable node.
pub async fn report(run: &Run, script: &str) -> Report {
    let mut records = Vec::new();
    for member in &run.fleet.members {
        records.push(member.record(false).await.expect("the upstream answers"));
    }
    let attempts = run.clients.results.lock().unwrap().attempts.clone();
    let checks = Checks { run, records, attempts };
    let is_expectation = |line: &str| line.trim_start().starts_with("expect ");
    let lines = script.lines().enumerate().filter(|(_, line)| is_expectation(line));
    let seed = run.scenario.seed;
    let mut failures = Vec::new();
    for (expectation, (index, line)) in run.scenario.expectations.iter().zip(lines) {
        if let Err(violation) = checks.check(expectation) {
            let line = line.trim();
            failures.push(format!("line {}, seed {seed}: {line}: {violation}", index + 1));
        }
    }
    let always = revisions::regressions(run).into_iter().chain(revisions::late_commands(run));
    failures.extend(always.map(|violation| format!("general guarantee, seed {seed}: {violation}")));
    Report { failures, summary: checks.summary() }
}

impl Checks<'_> {
    fn check(&self, expectation: &Expectation) -> Result<(), String> {
        match expectation {
            Expectation::NoNewWorkInZone(zone, after) => self.check_zone_out(zone.as_str(), *after),
            Expectation::NoNewWorkOnUpstream(node, after) => {
                let node = self.run.fleet.index(node.as_str());
                let since = self.drain_start(node)?;
                self.check_no_runs(node, (*after).max(since + DRAIN_TARGET), None)
            }
            Expectation::Count(count, comparison, number) => {
                let counted = self.counted(*count);
                let holds = comparison.holds(counted.len() as u64, u64::from(*number));
                let examples: Vec<_> = counted.iter().take(MAX_EXAMPLES).cloned().collect();
                holds.then_some(()).ok_or(format!(
                    "found {}: {}",
                    counted.len(),
                    examples.join("; ")
                ))
            }
            Expectation::Share(share, comparison, ppm) => {
                let measured = match share {
                    Share::Goodput(kind) => self.goodput(kind.as_ref().map(|kind| kind.as_str())),
                    Share::Measuring => self.measuring_share(),
                };
                let holds = comparison.holds(measured, f64::from(*ppm) / 1e6);
                holds.then_some(()).ok_or(format!("measured {:.2}%", measured * 100.0))
            }
            Expectation::SameRevision(by) => revisions::check_same_by(self.run, *by),
            _ => Err("this expectation is not supported by the runner".into()),
        }
    }

    /// Checks that no request was started in a zone that a command took out of service, from
    /// [`DRAIN_TARGET`] after the command or from `after`, whichever is later, until the zone
    /// returned.
    fn check_zone_out(&self, zone: &str, after: Duration) -> Result<(), String> {
        let history = self.run.history.lock().unwrap();
        let answered_at = |wanted: ZoneIntent| {
            let accepted = history.commands.iter().filter(|issued| issued.result == "accepted");
            let of_zone = accepted.filter(move |issued| {
                matches!(&issued.command, Command::Zone(z, i) if z.as_str() == zone && *i == wanted)
            });
            of_zone.map(|issued| issued.answered_at).next_back()
        };
        let out = answered_at(ZoneIntent::Out)
            .ok_or("no command that takes the zone out of service was accepted")?;
        let until = answered_at(ZoneIntent::In).filter(|back| *back > out);
        drop(history);
        for (index, member) in self.run.fleet.members.iter().enumerate() {
            if member.zone != zone {
                continue;
            }
            let late = self.records[index].run_zone_out_late;
            if late > 0 {
                return Err(format!(
                    "{late} runs at {} of requests that arrived over 3 s after the zone went out",
                    member.name
                ));
            }
            self.check_no_runs(index, after.max(out + DRAIN_TARGET), until)?;
        }
        Ok(())
    }

    /// Returns when an upstream began to drain, or an error if the upstream recorded late runs.
    fn drain_start(&self, node: usize) -> Result<Duration, String> {
        let late = self.records[node].run_draining_late;
        if late > 0 {
            return Err(format!(
                "{late} runs of requests that arrived over 3 s after the drain began"
            ));
        }
        let history = self.run.history.lock().unwrap();
        let drain = history.drains.iter().find(|(draining, _)| *draining == node);
        drain.map(|(_, since)| *since).ok_or("the upstream was not drained".into())
    }

    /// Checks that the number of runs of an upstream did not change between its samples in a
    /// period.
    fn check_no_runs(
        &self,
        node: usize,
        from: Duration,
        to: Option<Duration>,
    ) -> Result<(), String> {
        let samples = self.run.samples.runs.lock().unwrap();
        let within = |at: Duration| at >= from && to.is_none_or(|to| at < to);
        let counts: Vec<_> = samples
            .iter()
            .filter(|(at, upstream, _)| *upstream == node && within(*at))
            .map(|(_, _, runs)| *runs)
            .collect();
        let name = &self.run.fleet.members[node].name;
        let [first, .., last] = counts[..] else {
            return Err(format!("too few samples of {name} after {from:?}"));
        };
        (first == last)
            .then_some(())
            .ok_or(format!("{} runs at {name} when there must be none", last - first))
    }

    /// Describes each occurrence of what `count` stands for.
    fn counted(&self, count: Count) -> Vec<String> {
        match count {
            Count::RunTwice => self.run_twice(),
            Count::WrongAnswers => self.attempts_where(|a| matches!(a.outcome, Outcome::Wrong(_))),
            Count::FalseNotRun => self.false_not_run(),
            Count::CutByStop => self.interrupted_by_drain(),
            Count::OverColdLimit => self.over_cold_limit(),
        }
    }

    fn attempts_where(&self, matches: impl Fn(&Attempt) -> bool) -> Vec<String> {
        self.attempts.iter().filter(|a| matches(a)).map(|a| self.describe(a)).collect()
    }

    fn describe(&self, attempt: &Attempt) -> String {
        let node = &self.run.fleet.members[attempt.node].name;
        let (started, ended) = (attempt.started_at.as_secs_f64(), attempt.ended_at.as_secs_f64());
        let (id, outcome, key) = (&attempt.id, &attempt.outcome, &attempt.key);
        format!("{id} at {node} {started:.3}-{ended:.3}s {outcome:?} key {key:?}")
    }

    /// Describes the keys, and the ids of at-most-once requests, that ran more than once.
    fn run_twice(&self) -> Vec<String> {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        let keys = self.records.iter().flat_map(|record| &record.keys);
        let is_at_most_once =
            |id: &str| self.attempts.iter().any(|a| a.id == id && a.kind.at_most_once);
        let ids =
            self.runs_by_id().into_iter().filter(|(id, runs)| *runs > 1 && is_at_most_once(id));
        keys.for_each(|(key, count)| *runs.entry(key).or_default() += count);
        runs.extend(ids);
        let repeated = runs.into_iter().filter(|(_, runs)| *runs > 1);
        repeated.map(|(name, runs)| self.describe_runs(name, runs)).collect()
    }

    /// Describes where a key or request id ran, and the attempts that carried it.
    fn describe_runs(&self, name: &str, runs: u32) -> String {
        let carries_name = |a: &Attempt| a.key.as_deref() == Some(name) || a.id == name;
        let attempts = self.attempts_where(carries_name);
        let ran = self.run.fleet.members.iter().zip(&self.records);
        let ran = ran.filter(|(_, r)| r.keys.contains_key(name) || r.requests.contains_key(name));
        let ran: Vec<_> = ran.map(|(member, _)| member.name.as_str()).collect();
        format!("{name} ran {runs} times at {}: [{}]", ran.join(", "), attempts.join(" | "))
    }

    /// Returns the number of runs of each request id at all upstreams.
    fn runs_by_id(&self) -> BTreeMap<&str, u32> {
        let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
        for (id, count) in self.records.iter().flat_map(|record| &record.requests) {
            *runs.entry(id).or_default() += count;
        }
        runs
    }

    /// Describes the refusals that say "not run" although the request had run, or an attempt with
    /// the same key that ended before this one started.
    fn false_not_run(&self) -> Vec<String> {
        let runs = self.runs_by_id();
        let ran = |a: &Attempt| runs.contains_key(a.id.as_str());
        let mut by_key: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &self.attempts {
            if let Some(key) = attempt.key.as_deref().filter(|_| ran(attempt)) {
                by_key.entry(key).or_default().push(attempt);
            }
        }
        self.attempts_where(|a| {
            let earlier = || {
                let attempts = a.key.as_deref().and_then(|key| by_key.get(key));
                attempts.is_some_and(|all| all.iter().any(|other| other.ended_at < a.started_at))
            };
            matches!(a.outcome, Outcome::NotRun(_)) && (ran(a) || earlier())
        })
    }

    /// Describes the requests in flight that a drain or graceful shutdown interrupted, and the
    /// nodes that did not shut down in time. Such a request had started at an upstream, or was
    /// accepted by a node, and got no answer.
    fn interrupted_by_drain(&self) -> Vec<String> {
        let runs = self.runs_by_id();
        let history = self.run.history.lock().unwrap();
        let in_window = |at: Duration| {
            history.drains.iter().any(|(_, from)| at >= *from && at <= *from + DRAIN_WINDOW)
        };
        let mut interrupted = self.attempts_where(|a| {
            let lost = match &a.outcome {
                Outcome::Broken | Outcome::Silent => runs.contains_key(a.id.as_str()),
                Outcome::Unknown(reason) => reason == "connection-lost",
                _ => false,
            };
            lost && in_window(a.ended_at)
                && !history.unreachable.iter().any(|period| explains_loss(period, a, &history))
        });
        let timeouts = history
            .shutdown_timeouts
            .iter()
            .map(|node| format!("{node} did not shut down in time"));
        interrupted.extend(timeouts);
        interrupted
    }

    /// Returns one item for each request that arrived at a cold upstream above its capacity.
    fn over_cold_limit(&self) -> Vec<String> {
        let members = self.run.fleet.members.iter().zip(&self.records);
        let over = members.filter(|(_, record)| record.cold_excess > 0);
        let items = |(member, record): (&crate::fleet::Member, &Record)| {
            let example = format!(
                "{}: up to {} requests over the limit",
                member.name, record.max_cold_excess
            );
            vec![example; record.cold_excess as usize]
        };
        over.flat_map(items).collect()
    }

    /// Returns the weighted share of requests that were answered successfully within the deadline.
    fn goodput(&self, kind: Option<&str>) -> f64 {
        let results = self.run.clients.results.lock().unwrap();
        let mut sums = (0, 0);
        for (offered, good) in &results.offered {
            if kind.is_none_or(|kind| offered.kind == kind) {
                sums.0 += if *good { offered.weight } else { 0 };
                sums.1 += offered.weight;
            }
        }
        f64::from(sums.0) / f64::from(sums.1.max(1))
    }

    /// Returns the share of the runs at the upstreams that neither a client nor an upstream
    /// requested: the calls by which nodes measure load.
    fn measuring_share(&self) -> f64 {
        // Owners increase the call depth for their upstreams, so the calls that upstreams make for
        // a client's request have depth 2.
        let nested = |a: &Attempt| [a.id.clone(), nested_id(&a.id, 1), nested_id(&a.id, 2)];
        let ids: BTreeSet<_> = self.attempts.iter().flat_map(nested).collect();
        let runs = self.runs_by_id();
        let all: u32 = runs.values().sum();
        let measuring: u32 =
            runs.iter().filter(|(id, _)| !ids.contains(**id)).map(|(_, runs)| *runs).sum();
        f64::from(measuring) / f64::from(all.max(1))
    }

    /// Describes the notes, the commands, the outcomes of all attempts and the counts of the
    /// upstreams.
    fn summary(&self) -> String {
        let history = self.run.history.lock().unwrap();
        let mut text = history.notes.join("\n");
        for issued in &history.commands {
            let (at, node) = (issued.answered_at.as_secs_f64(), &issued.node);
            let (result, revision) = (&issued.result, issued.revision);
            let _ =
                write!(text, "\n{at:6.2}s `{}` at {node}: {result} {revision:?}", issued.command);
        }
        let mut outcomes: BTreeMap<String, u32> = BTreeMap::new();
        for attempt in &self.attempts {
            *outcomes.entry(format!("{} {:?}", attempt.kind.kind, attempt.outcome)).or_default() +=
                1;
        }
        let _ = write!(text, "\nattempts: {outcomes:?}\ngoodput: {:.4}", self.goodput(None));
        for (member, record) in self.run.fleet.members.iter().zip(&self.records) {
            let Record { run, cancelled, shed, max_in_flight_cold, .. } = record;
            let _ = write!(
                text,
                "\n{}: run {run}, cancelled {cancelled}, shed {shed}, \
                 most in flight while cold {max_in_flight_cold}",
                member.name
            );
        }
        text
    }
}

/// Returns whether another fault than a drain explains that an attempt got no answer: a node was
/// killed while the attempt was in flight, or the attempt's own node was paused or partitioned.
fn explains_loss(period: &UnreachablePeriod, attempt: &Attempt, history: &History) -> bool {
    let UnreachablePeriod { node, cause, from, to } = *period;
    let is_drained = history.drains.iter().any(|(draining, _)| *draining == node);
    let overlaps = from <= attempt.ended_at && to.is_none_or(|to| to >= attempt.started_at);
    match cause {
        UnreachableCause::Stopped => {
            !is_drained && from >= attempt.started_at && from <= attempt.ended_at
        }
        UnreachableCause::Paused | UnreachableCause::Partitioned => {
            node == attempt.node && overlaps
        }
    }
}
