//! Counts and latencies of a run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::workload::LoadKind;

/// Longest latency recorded, in microseconds; longer ones are recorded as this value.
const MAX_LATENCY_US: u64 = 120_000_000;

/// How a request ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A complete answer to this request.
    Done,
    /// An error answer; the reason is its HTTP status.
    Failed(String),
    /// An answer that says that the request was not run, or no connection could be opened.
    NotRun(String),
    /// An answer that leaves the outcome open, a broken connection, or no answer in time.
    Unknown(String),
    /// An answer that belongs to another request or is incomplete.
    Wrong(String),
}

impl Outcome {
    fn label(&self) -> (&'static str, &str) {
        match self {
            Self::Done => ("done", ""),
            Self::Failed(reason) => ("failed", reason),
            Self::NotRun(reason) => ("not-run", reason),
            Self::Unknown(reason) => ("unknown", reason),
            Self::Wrong(reason) => ("wrong", reason),
        }
    }
}

/// Creates an empty latency histogram in microseconds.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("constant bounds are valid")
}

/// Records a latency in a histogram in microseconds.
pub fn record(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record((latency.as_micros() as u64).clamp(1, MAX_LATENCY_US));
}

/// Results of one request kind.
#[derive(Clone, Debug)]
pub struct KindStats {
    /// Requests offered, each counted once whatever its repeats.
    pub offered: u64,
    /// Correct answers within the deadline.
    pub good: u64,
    /// Requests sent again by the client.
    pub repeats: u64,
    /// Counts by outcome and reason.
    pub counts: BTreeMap<String, u64>,
    /// Latency of correct answers from their intended start, in microseconds.
    pub latency: Histogram<u64>,
    /// Latency of all requests, one without a correct answer counted as its deadline at least.
    /// Without these, a policy that fails its slow requests would show a shorter tail.
    pub latency_all: Histogram<u64>,
    /// Relative value of a correct answer.
    pub weight: u32,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Stats {
    /// Results by service and kind.
    pub kinds: BTreeMap<String, KindStats>,
    /// Delay between the intended start and the moment the generator began a request, in
    /// microseconds. It is part of every latency.
    pub lateness: Histogram<u64>,
    /// Weighted number of correct answers within the deadline, by second of their intended start.
    pub good_by_second: BTreeMap<u64, u64>,
    /// Weighted number of requests offered, by second of their intended start.
    pub offered_by_second: BTreeMap<u64, u64>,
    /// Ids of attempts that were answered as not run, to compare with the upstreams' records.
    pub not_run: Vec<String>,
}

/// Result of one request.
pub struct Sample<'a> {
    /// Kind of the request.
    pub kind: &'a LoadKind,
    /// Intended start after the start of the run.
    pub at: Duration,
    /// Delay between the intended start and the moment the generator began the request.
    pub lateness: Duration,
    /// Time from the intended start to the end.
    pub latency: Duration,
    /// Repeats sent by the client.
    pub repeats: u64,
    /// How the request ended, after its repeats.
    pub outcome: Outcome,
    /// Ids of the request's attempts that were answered as not run.
    pub not_run: Vec<String>,
}

impl Stats {
    /// Creates empty results.
    pub fn new() -> Self {
        Self {
            kinds: BTreeMap::new(),
            lateness: histogram(),
            good_by_second: BTreeMap::new(),
            offered_by_second: BTreeMap::new(),
            not_run: Vec::new(),
        }
    }

    /// Adds the result of a request.
    pub fn add(&mut self, sample: Sample<'_>) {
        let kind = self.kind(sample.kind);
        let good = sample.outcome == Outcome::Done && sample.latency <= sample.kind.deadline;
        kind.offered += 1;
        kind.good += u64::from(good);
        kind.repeats += sample.repeats;
        let (outcome, reason) = sample.outcome.label();
        let label = if reason.is_empty() { outcome.into() } else { format!("{outcome} {reason}") };
        *kind.counts.entry(label).or_default() += 1;
        if sample.outcome == Outcome::Done {
            record(&mut kind.latency, sample.latency);
            record(&mut kind.latency_all, sample.latency);
        } else {
            record(&mut kind.latency_all, sample.latency.max(sample.kind.deadline));
        }
        self.not_run.extend(sample.not_run);
        record(&mut self.lateness, sample.lateness);
        let (second, weight) = (sample.at.as_secs(), u64::from(sample.kind.weight));
        *self.offered_by_second.entry(second).or_default() += weight;
        *self.good_by_second.entry(second).or_default() += weight * u64::from(good);
    }

    fn kind(&mut self, kind: &LoadKind) -> &mut KindStats {
        let name = format!("{}/{}", kind.service, kind.kind);
        self.kinds.entry(name).or_insert_with(|| KindStats {
            offered: 0,
            good: 0,
            repeats: 0,
            counts: BTreeMap::new(),
            latency: histogram(),
            latency_all: histogram(),
            weight: kind.weight,
        })
    }

    /// Adds the results of another run.
    pub fn merge(&mut self, other: Self) {
        for (name, theirs) in other.kinds {
            match self.kinds.get_mut(&name) {
                Some(ours) => ours.merge(theirs),
                None => {
                    self.kinds.insert(name, theirs);
                }
            }
        }
        self.lateness.add(other.lateness).expect("histograms have equal bounds");
        self.not_run.extend(other.not_run);
        add_counts(&mut self.good_by_second, other.good_by_second);
        add_counts(&mut self.offered_by_second, other.offered_by_second);
    }

    /// Returns the latency of correct answers of all kinds, in microseconds.
    pub fn latency(&self) -> Histogram<u64> {
        let mut all = histogram();
        for kind in self.kinds.values() {
            all.add(&kind.latency).expect("histograms have equal bounds");
        }
        all
    }

    /// Returns the number of requests offered.
    pub fn offered(&self) -> u64 {
        self.kinds.values().map(|kind| kind.offered).sum()
    }

    /// Returns the weighted share of requests that got a correct answer within the deadline.
    pub fn goodput(&self) -> f64 {
        let weighted = |count: fn(&KindStats) -> u64| -> f64 {
            self.kinds.values().map(|kind| (count(kind) * u64::from(kind.weight)) as f64).sum()
        };
        weighted(|kind| kind.good) / weighted(|kind| kind.offered).max(1.0)
    }

    /// Returns the number of requests with the given outcome, whatever the reason.
    pub fn count(&self, outcome: &str) -> u64 {
        let counts = self.kinds.values().flat_map(|kind| &kind.counts);
        let matching = counts.filter(|(label, _)| label.split(' ').next() == Some(outcome));
        matching.map(|(_, count)| count).sum()
    }

    /// Returns a summary for result files.
    pub fn summary(&self) -> Summary {
        Summary {
            offered: self.offered(),
            goodput: self.goodput(),
            latency: Quantiles::of(&self.latency()),
            lateness: Quantiles::of(&self.lateness),
            kinds: self.kinds.iter().map(|(name, kind)| (name.clone(), kind.summary())).collect(),
        }
    }
}

impl Default for Stats {
    fn default() -> Self {
        Self::new()
    }
}

impl KindStats {
    fn merge(&mut self, other: Self) {
        self.offered += other.offered;
        self.good += other.good;
        self.repeats += other.repeats;
        add_counts(&mut self.counts, other.counts);
        self.latency.add(other.latency).expect("histograms have equal bounds");
        self.latency_all.add(other.latency_all).expect("histograms have equal bounds");
    }

    fn summary(&self) -> KindSummary {
        KindSummary {
            offered: self.offered,
            good: self.good,
            repeats: self.repeats,
            counts: self.counts.clone(),
            latency: Quantiles::of(&self.latency),
            latency_all: Quantiles::of(&self.latency_all),
        }
    }
}

fn add_counts<K: Ord>(to: &mut BTreeMap<K, u64>, from: BTreeMap<K, u64>) {
    for (key, count) in from {
        *to.entry(key).or_default() += count;
    }
}

/// Quantiles in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Quantiles {
    /// Median.
    pub p50: f64,
    /// 99th percentile.
    pub p99: f64,
    /// 99.9th percentile.
    pub p999: f64,
    /// Maximum.
    pub max: f64,
    /// Number of values.
    pub count: u64,
}

impl Quantiles {
    /// Returns the quantiles of a histogram in microseconds.
    pub fn of(histogram: &Histogram<u64>) -> Self {
        let ms = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            p50: ms(0.5),
            p99: ms(0.99),
            p999: ms(0.999),
            max: histogram.max() as f64 / 1_000.0,
            count: histogram.len(),
        }
    }
}

/// Results of a run in a result file.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct Summary {
    /// Requests offered.
    pub offered: u64,
    /// Weighted share of correct answers within the deadline.
    pub goodput: f64,
    /// Latency of correct answers.
    pub latency: Quantiles,
    /// Delay between the intended start and the moment the generator began a request.
    pub lateness: Quantiles,
    /// Results by service and kind.
    pub kinds: BTreeMap<String, KindSummary>,
}

/// Results of one kind in a result file.
#[derive(Clone, Debug)]
#[derive(Serialize, Deserialize)]
pub struct KindSummary {
    /// Requests offered.
    pub offered: u64,
    /// Correct answers within the deadline.
    pub good: u64,
    /// Requests sent again by the client.
    pub repeats: u64,
    /// Counts by outcome and reason.
    pub counts: BTreeMap<String, u64>,
    /// Latency of correct answers.
    pub latency: Quantiles,
    /// Latency of all requests, one without a correct answer counted as its deadline at least.
    pub latency_all: Quantiles,
}
