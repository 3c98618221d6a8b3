//! Counts of attempts by server and request kind, as kept at an ingress and sent to a controller.

use std::{collections::BTreeMap, time::Duration};

use oleandertiller_model::{NodeName, ServiceName};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::veto::VetoNotice;

/// Length of a window and shortest interval between reports.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Longest interval between reports. Only callers of a service with thousands of calls a second reach
/// it; their reports are spread over the interval, so that the controller still hears some each second.
pub const REPORT_INTERVAL_MAX: Duration = Duration::from_secs(10);

/// Bytes per second that a controller may receive as evidence: half of a node's 24 KB/s.
pub const REPORT_BYTES_PER_S_MAX: usize = 12_000;

/// Number of latency buckets: two per octave from 125 µs to over 30 s.
pub const LATENCY_BUCKETS: usize = 37;

const FIRST_BOUND_US: u64 = 125;

/// Returns the bucket of a latency.
pub fn latency_bucket(latency: Duration) -> usize {
    let ratio = (latency.as_micros() as u64) / FIRST_BOUND_US;
    if ratio == 0 {
        return 0;
    }
    let octave = ratio.ilog2() as usize;
    let upper_half = u128::from(ratio).pow(2) >= 1 << (2 * octave + 1);
    (2 * octave + usize::from(upper_half) + 1).min(LATENCY_BUCKETS - 1)
}

/// Returns how long to wait between reports when `callers` nodes report `bytes` each.
///
/// The ingress closes a window each second for its veto, and merges the windows of an interval into one
/// report, so that longer intervals lose no counts.
pub fn report_interval(callers: usize, bytes: usize) -> Duration {
    let seconds = (callers * bytes) as f64 / REPORT_BYTES_PER_S_MAX as f64;
    Duration::from_secs_f64(seconds.ceil()).clamp(WINDOW, REPORT_INTERVAL_MAX)
}

/// Which version of a rollout a server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub enum Arm {
    /// The version that carried traffic before.
    Old,
    /// The version that is to carry traffic.
    New,
}

/// A server in reports: a hash of its node's name, since names would dominate the size.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ServerId(pub u32);

impl From<&NodeName> for ServerId {
    fn from(name: &NodeName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()) as u32)
    }
}

/// How an attempt ended. Refusals that were not run are not attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Attempt {
    /// A correct answer after this time.
    Done(Duration),
    /// A correct answer of a server in its cold start, whose latency says nothing of its version.
    DoneCold,
    /// An error of the upstream, a time-out or a lost connection.
    Failed,
}

/// Counts of one server and request kind.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Attempts that ended in any way.
    pub attempts: u64,
    /// Attempts that failed.
    pub failed: u64,
    /// Correct answers of warm servers by latency.
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

    /// Returns the number of latencies.
    pub fn latency_count(&self) -> u64 {
        self.latency.iter().sum()
    }

    /// Returns the number of latencies in `bucket` and above.
    pub fn at_or_above(&self, bucket: usize) -> u64 {
        self.latency[bucket..].iter().sum()
    }
}

/// Counts of one server, by request kind in the order of the service's specification.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerTally {
    /// Version of the server.
    pub arm: Arm,
    /// Counts by kind.
    pub kinds: Vec<Counts>,
}

/// Counts of one window, by server. Merging is commutative and associative.
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
            for cell in &server.cells {
                self.counts(server.server, server.arm, cell.kind).merge(&cell.counts());
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
        let servers = self.servers().map(ServerCells::new).collect();
        Report { service, from, sequence, servers, veto: None }
    }

    fn counts(&mut self, server: ServerId, arm: Arm, kind: u8) -> &mut Counts {
        let fresh = || ServerTally { arm, kinds: Vec::new() };
        let tally = self.servers.entry(server).or_insert_with(fresh);
        // A server that was replaced by the other version within the window counts as the new one.
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

/// Counts of one kind in a report; only the range of buckets in use is encoded.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Cell {
    kind: u8,
    failed: u64,
    cold: u64,
    first: u8,
    latency: Vec<u64>,
}

impl Cell {
    fn new(kind: usize, counts: &Counts) -> Self {
        let used = |count: &u64| *count > 0;
        let first = counts.latency.iter().position(used).unwrap_or(0);
        let end = counts.latency.iter().rposition(used).map_or(first, |last| last + 1);
        Self {
            kind: kind as u8,
            failed: counts.failed,
            cold: counts.attempts - counts.failed - counts.latency_count(),
            first: first as u8,
            latency: counts.latency[first..end].to_vec(),
        }
    }

    fn counts(&self) -> Counts {
        let mut counts = Counts { failed: self.failed, ..Counts::default() };
        for (index, count) in self.latency.iter().enumerate() {
            let bucket = (usize::from(self.first) + index).min(LATENCY_BUCKETS - 1);
            counts.latency[bucket] = counts.latency[bucket].saturating_add(*count);
        }
        counts.attempts = counts.latency_count() + self.failed + self.cold;
        counts
    }
}

/// Counts of one server in a report.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServerCells {
    server: ServerId,
    arm: Arm,
    cells: Vec<Cell>,
}

impl ServerCells {
    fn new((server, tally): (ServerId, &ServerTally)) -> Self {
        let kinds = tally.kinds.iter().enumerate();
        let used = kinds.filter(|(_, counts)| counts.attempts > 0);
        let cells = used.map(|(kind, counts)| Cell::new(kind, counts)).collect();
        Self { server, arm: tally.arm, cells }
    }
}

/// What an ingress tells the controller of a service's rollout about one window.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Report {
    /// Service that is rolled out.
    pub service: ServiceName,
    /// Ingress that reports.
    pub from: NodeName,
    /// Grows with each report of this ingress, so that a repeated one counts once.
    pub sequence: u64,
    /// Counts by server.
    pub servers: Vec<ServerCells>,
    /// The veto in force at the ingress.
    pub veto: Option<VetoNotice>,
}
