//! Evidence: counts of attempts by server and request kind, sent from ingress to controller.

use std::{collections::BTreeMap, time::Duration};

use oleandertiller_model::{NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::veto::VetoNotice;

/// Length of a window, and shortest interval between reports.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Longest interval between reports. It is reached only at thousands of calls a second to a
/// service; the callers' reports are spread over the interval, so some still arrive each second.
pub const MAX_REPORT_INTERVAL: Duration = Duration::from_secs(10);

/// Bytes of evidence per second that a controller may receive: half of a node's budget of 24 KB/s.
pub const MAX_REPORT_BYTES_PER_S: usize = 12_000;

/// Number of latency buckets: two per octave from 125 µs to over 30 s.
pub const LATENCY_BUCKETS: usize = 37;

/// Upper bound of the first bucket in microseconds.
const FIRST_BUCKET_BOUND_US: u64 = 125;

/// Returns the index of the bucket that holds `latency`.
pub fn latency_bucket(latency: Duration) -> usize {
    let ratio = (latency.as_micros() as u64) / FIRST_BUCKET_BOUND_US;
    if ratio == 0 {
        return 0;
    }
    let octave = ratio.ilog2() as usize;
    let upper_half = u128::from(ratio).pow(2) >= 1 << (2 * octave + 1);
    (2 * octave + usize::from(upper_half) + 1).min(LATENCY_BUCKETS - 1)
}

/// Returns the interval between reports when `callers` nodes send `bytes` each.
///
/// The ingress closes a window each second for its veto, and merges the windows of an interval into
/// one report, so that longer intervals lose no counts.
pub fn report_interval(callers: usize, bytes: usize) -> Duration {
    let seconds = (callers * bytes) as f64 / MAX_REPORT_BYTES_PER_S as f64;
    Duration::from_secs_f64(seconds.ceil()).clamp(WINDOW, MAX_REPORT_INTERVAL)
}

/// Side of the comparison that a server belongs to, by the version that it runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Arm {
    /// The version that carried traffic before.
    Old,
    /// The version that is rolled out.
    New,
}

/// Identifies a server in reports by a hash of its node's name; names would dominate the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerId(pub u32);

impl From<&NodeName> for ServerId {
    fn from(name: &NodeName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// How an attempt ended. A request that was refused before it ran is not an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// A correct answer with this latency.
    Done(Duration),
    /// A correct answer of a server in its cold start; the latency says nothing about the version.
    DoneCold,
    /// An error of the upstream, a timeout or a lost connection.
    Failed,
}

/// Counts of one server and request kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts {
    /// All attempts, however they ended.
    pub attempts: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Correct answers of warm servers by latency bucket.
    pub latency: [u64; LATENCY_BUCKETS],
}

impl Default for Counts {
    fn default() -> Self {
        Self { attempts: 0, failed: 0, latency: [0; LATENCY_BUCKETS] }
    }
}

impl Counts {
    /// Adds one attempt.
    pub fn record(&mut self, attempt: Attempt) {
        self.attempts += 1;
        match attempt {
            Attempt::Done(latency) => self.latency[latency_bucket(latency)] += 1,
            Attempt::DoneCold => {}
            Attempt::Failed => self.failed += 1,
        }
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        self.attempts += other.attempts;
        self.failed += other.failed;
        for (sum, count) in self.latency.iter_mut().zip(&other.latency) {
            *sum += count;
        }
    }

    /// Returns the number of answers with a latency.
    pub fn timed(&self) -> u64 {
        self.latency.iter().sum()
    }

    /// Returns the number of answers with a latency in `bucket` or above.
    pub fn at_least(&self, bucket: usize) -> u64 {
        self.latency[bucket..].iter().sum()
    }
}

/// Counts of one server, by request kind in the order of the service's specification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTally {
    /// Version that the server runs.
    pub arm: Arm,
    /// Counts by kind.
    pub kinds: Vec<Counts>,
}

/// Counts of one window by server. Merging is commutative and associative.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    servers: BTreeMap<ServerId, ServerTally>,
}

impl Tally {
    /// Returns a tally of one server.
    pub fn of_server(server: ServerId, tally: &ServerTally) -> Self {
        Self { servers: BTreeMap::from([(server, tally.clone())]) }
    }

    /// Adds one attempt of the kind at position `kind` of the service's specification.
    pub fn record(&mut self, server: ServerId, arm: Arm, kind: u8, attempt: Attempt) {
        self.counts(server, arm, kind).record(attempt);
    }

    /// Adds the counts of a report.
    pub fn merge_report(&mut self, report: &Report) {
        for server in &report.servers {
            for row in &server.kind_counts {
                self.counts(server.server, server.arm, row.kind).merge(&row.counts());
            }
        }
    }

    /// Adds the counts of `other`.
    pub fn merge(&mut self, other: &Self) {
        for (server, tally) in &other.servers {
            for (kind, counts) in tally.kinds.iter().enumerate() {
                self.counts(*server, tally.arm, kind as u8).merge(counts);
            }
        }
    }

    /// Returns the servers with their counts.
    pub fn servers(&self) -> impl Iterator<Item = (ServerId, &ServerTally)> {
        self.servers.iter().map(|(server, tally)| (*server, tally))
    }

    /// Returns the report of this window.
    pub fn report(&self, service: ServiceName, from: NodeName, sequence: u64) -> Report {
        let servers = self.servers().map(ServerCounts::new).collect();
        Report { service, from, sequence, servers, veto: None }
    }

    fn counts(&mut self, server: ServerId, arm: Arm, kind: u8) -> &mut Counts {
        let fresh = || ServerTally { arm, kinds: Vec::new() };
        let tally = self.servers.entry(server).or_insert_with(fresh);
        // A server that changes its version within the window counts under the later one only.
        if tally.arm != arm {
            *tally = fresh();
        }
        let kind = usize::from(kind);
        if tally.kinds.len() <= kind {
            tally.kinds.resize_with(kind + 1, Counts::default);
        }
        &mut tally.kinds[kind]
    }
}

/// Counts of one request kind in a report. Only the range of buckets in use is encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KindCounts {
    kind: u8,
    failed: u64,
    /// Correct answers of cold servers.
    cold: u64,
    /// Index of the first bucket in use.
    #[serde(rename = "first")]
    first_bucket: u8,
    /// Counts of the buckets from `first_bucket` on.
    latency: Vec<u64>,
}

impl KindCounts {
    fn new(kind: usize, counts: &Counts) -> Self {
        let used = |count: &u64| *count > 0;
        let first_bucket = counts.latency.iter().position(used).unwrap_or(0);
        let end = counts.latency.iter().rposition(used).map_or(first_bucket, |last| last + 1);
        Self {
            kind: kind as u8,
            failed: counts.failed,
            cold: counts.attempts - counts.failed - counts.timed(),
            first_bucket: first_bucket as u8,
            latency: counts.latency[first_bucket..end].to_vec(),
        }
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts { failed: self.failed, ..Counts::default() };
        for (index, count) in self.latency.iter().enumerate() {
            let bucket = (usize::from(self.first_bucket) + index).min(LATENCY_BUCKETS - 1);
            counts.latency[bucket] = counts.latency[bucket].saturating_add(*count);
        }
        counts.attempts = counts.timed() + self.failed + self.cold;
        counts
    }
}

/// Counts of one server in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerCounts {
    server: ServerId,
    arm: Arm,
    #[serde(rename = "cells")]
    kind_counts: Vec<KindCounts>,
}

impl ServerCounts {
    fn new((server, tally): (ServerId, &ServerTally)) -> Self {
        let kinds = tally.kinds.iter().enumerate();
        let used = kinds.filter(|(_, counts)| counts.attempts > 0);
        let kind_counts = used.map(|(kind, counts)| KindCounts::new(kind, counts)).collect();
        Self { server, arm: tally.arm, kind_counts }
    }
}

/// Evidence of an ingress about a rollout, for the windows since its previous report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Service whose version is rolled out.
    pub service: ServiceName,
    /// Node of the reporting ingress.
    pub from: NodeName,
    /// Increases with each report of this ingress, so that a repeated report counts once.
    pub sequence: u64,
    /// Counts by server.
    pub servers: Vec<ServerCounts>,
    /// The veto in force at the ingress.
    pub veto: Option<VetoNotice>,
}
