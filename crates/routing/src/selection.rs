//! Choice of an owner for a request, based on load reports that are always somewhat old.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use oleandertiller_model::{LoadReport, NodeName, Outcome, VersionName, ZoneName};
use rand::Rng;
use smallvec::SmallVec;

use self::load::{Load, Recency};

mod load;

/// Weight of the newest success in the typical service time.
const TYPICAL_SERVICE_TIME_GAIN: f64 = 0.02;

/// Service time assumed before the first success, in seconds.
const DEFAULT_SERVICE_TIME_SECONDS: f64 = 0.001;

/// Number of candidates up to which all are compared. With so few, a random sample would spread
/// requests a little better but lose more by missing the best candidate.
const MAX_COMPARE_ALL: usize = 8;

/// Smallest probability with which a returning candidate is considered during its ramp.
const MIN_RAMP_PROBABILITY: f64 = 0.02;

/// A candidate is not probed in the first of this many parts of its ramp. It is considered so
/// rarely then that its load is too old again before a request can use it.
const PROBE_RAMP_DIVISOR: u32 = 4;

/// Shortest time between two probes of one owner.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How an ingress chooses an owner; all but the first are baselines for experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Least expected wait by load reports.
    #[default]
    ExpectedWait,
    /// Uniformly at random.
    Random,
    /// Each owner in turn.
    RoundRobin,
    /// Fewest requests in flight from this ingress.
    LeastInFlight,
}

/// How an owner's score is calculated from a fresh load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scoring {
    /// Service time x (requests + 1) / limit.
    Wait,
    /// Service time x (1 + requests / limit), the time to an answer.
    #[default]
    Completion,
    /// Service time x (1 + (requests + 1) / limit).
    CompletionNext,
}

/// Settings of a [`Selector`].
#[derive(Clone, Debug, PartialEq)]
pub struct SelectionConfig {
    /// How owners are chosen.
    pub policy: Policy,
    /// Number of random candidates that are compared for a request.
    pub sample_size: usize,
    /// Number of candidates up to which all are compared.
    pub max_compare_all: usize,
    /// Age of a load report above which the load counts as unknown.
    pub load_max_age: Duration,
    /// Time over which a returning zone or upstream regains its full share of requests.
    pub zone_ramp: Duration,
    /// Added to the score of owners in other zones.
    pub other_zone_cost: Duration,
    /// How the score of owners with a fresh load report is calculated.
    pub scoring: Scoring,
    /// Added to the score of an owner all of whose recent attempts failed.
    pub failure_penalty: Duration,
    /// Time in which the failure penalty halves after one failure; longer after several in a row.
    pub failure_half_life: Duration,
    /// Added to the score of owners whose load is unknown.
    pub unknown_penalty: Duration,
    /// Assumed network round trip to an owner. A load report covers the requests that were sent at
    /// least this long before it arrives.
    pub report_lag: Duration,
    /// Number of ingress nodes that send to the same owners and share the limit of a cold one.
    pub ingress_nodes: u32,
}

impl Default for SelectionConfig {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            sample_size: 3,
            max_compare_all: MAX_COMPARE_ALL,
            load_max_age: Duration::from_millis(500),
            zone_ramp: Duration::from_secs(10),
            other_zone_cost: Duration::from_millis(1),
            scoring: Scoring::default(),
            failure_penalty: Duration::from_millis(500),
            failure_half_life: Duration::from_millis(1000),
            unknown_penalty: Duration::from_millis(5),
            report_lag: Duration::from_millis(4),
            ingress_nodes: 4,
        }
    }
}

/// An owner that may be chosen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Node that owns the upstream.
    pub node: NodeName,
    /// Incarnation of the node; load reports of another incarnation are dropped.
    pub incarnation: u64,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Whether the intent, membership and life cycle allow new requests.
    pub eligible: bool,
}

/// A candidate and its load.
#[derive(Clone, Debug)]
struct Entry {
    candidate: Candidate,
    load: Load,
}

/// Tracks load and chooses owners for one service at one ingress.
#[derive(Clone, Debug)]
pub struct Selector {
    cfg: SelectionConfig,
    zone: ZoneName,
    entries: Vec<Entry>,
    /// Index of each node's entry.
    indices: HashMap<NodeName, usize>,
    /// Indices of the entries that may be chosen; a field only to avoid an allocation per pick.
    eligible: Vec<usize>,
    /// Smoothed service time over all owners, in seconds.
    typical_service_time: Option<f64>,
    round_robin_turn: usize,
    last_picked_at: Option<Instant>,
}

impl Selector {
    /// Creates a selector without candidates for an ingress in `zone`.
    pub fn new(cfg: SelectionConfig, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            entries: Vec::new(),
            indices: HashMap::new(),
            eligible: Vec::new(),
            typical_service_time: None,
            round_robin_turn: 0,
            last_picked_at: None,
        }
    }

    /// Sets the number of ingress nodes that send to the same owners.
    pub fn set_ingress_nodes(&mut self, count: u32) {
        self.cfg.ingress_nodes = count.max(1);
    }

    /// Replaces the candidates and keeps the load of those that stay.
    ///
    /// Except for the first candidates, those that join or return get a share of requests that
    /// grows over [`SelectionConfig::zone_ramp`].
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>, now: Instant) {
        let ramp_from = (!self.entries.is_empty()).then_some(now);
        let mut known: HashMap<_, _> =
            self.entries.drain(..).map(|entry| (entry.candidate.node.clone(), entry)).collect();
        self.indices.clear();
        for candidate in candidates {
            let mut load = match known.remove(&candidate.node) {
                Some(entry) if entry.candidate.incarnation == candidate.incarnation => {
                    let mut load = entry.load;
                    if candidate.eligible && !entry.candidate.eligible {
                        load.ramp_from = ramp_from;
                    }
                    load
                }
                Some(old) => Load::new(now).with_in_flight(old.load.in_flight).with_ramp(ramp_from),
                None => Load::new(now).with_ramp(ramp_from),
            };
            if load.ramp_from.is_some_and(|from| now - from >= self.cfg.zone_ramp) {
                load.ramp_from = None;
            }
            self.indices.insert(candidate.node.clone(), self.entries.len());
            self.entries.push(Entry { candidate, load });
        }
    }

    /// Chooses an owner that is not in `tried` and counts one request in flight to it.
    ///
    /// During a rollout, `version` restricts the choice to owners of that version.
    pub fn pick<R: Rng>(
        &mut self,
        rng: &mut R,
        tried: &[NodeName],
        version: Option<&VersionName>,
        now: Instant,
    ) -> Option<Candidate> {
        self.eligible.clear();
        for (i, entry) in self.entries.iter().enumerate() {
            let candidate = &entry.candidate;
            let version_fits = version.is_none_or(|version| candidate.version == *version);
            if candidate.eligible && version_fits && !tried.contains(&candidate.node) {
                self.eligible.push(i);
            }
        }
        if self.eligible.is_empty() {
            return None;
        }
        let i = match self.cfg.policy {
            Policy::ExpectedWait => self.pick_by_score(rng, now),
            Policy::Random => self.eligible[rng.random_range(0..self.eligible.len())],
            Policy::RoundRobin => self.pick_in_turn(),
            Policy::LeastInFlight => self.pick_least_in_flight(rng),
        };
        let entry = &mut self.entries[i];
        entry.load.on_pick(now);
        self.last_picked_at = Some(now);
        Some(entry.candidate.clone())
    }

    /// Returns when an owner was last chosen.
    pub fn last_picked_at(&self) -> Option<Instant> {
        self.last_picked_at
    }

    /// Returns whether there is an owner of `version` that is not in `tried` and may be chosen.
    pub fn has_candidate(&self, tried: &[NodeName], version: &VersionName) -> bool {
        let fits = |candidate: &Candidate| {
            candidate.eligible && candidate.version == *version && !tried.contains(&candidate.node)
        };
        self.entries.iter().any(|entry| fits(&entry.candidate))
    }

    /// Records how a request ended at `node`, `elapsed` after the pick, and the load report that
    /// came with the answer.
    ///
    /// A server error of the upstream must be passed as `Unknown(Internal)` and not as `Done`.
    /// Otherwise a server that fails fast attracts requests.
    pub fn on_end(
        &mut self,
        node: &NodeName,
        outcome: Outcome,
        elapsed: Duration,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        let Some(entry) = self.indices.get(node).map(|i| &mut self.entries[*i]) else { return };
        entry.load.on_end(&self.cfg, outcome, elapsed, load, now);
        if outcome == Outcome::Done
            && let Some(sample) = entry.load.reported_service_time().filter(|time| *time > 0.0)
        {
            let typical = self.typical_service_time.get_or_insert(sample);
            *typical += (sample - *typical) * TYPICAL_SERVICE_TIME_GAIN;
        }
    }

    /// Returns an owner to probe because its load is unknown or too old, if any.
    ///
    /// The caller sends the probe only if its measuring budget allows it. In either case the owner
    /// is not returned again for a short time.
    pub fn probe_target(&mut self, now: Instant) -> Option<Candidate> {
        let cfg = &self.cfg;
        let due = |entry: &&mut Entry| {
            let probed_recently = entry.load.probed_at.is_some_and(|at| now - at < PROBE_INTERVAL);
            let probe_delay = cfg.zone_ramp / PROBE_RAMP_DIVISOR;
            let early_in_ramp = entry.load.ramp_from.is_some_and(|from| now - from < probe_delay);
            entry.candidate.eligible
                && !probed_recently
                && !early_in_ramp
                && entry.load.recency(cfg, now) != Recency::Fresh
        };
        let target = self.entries.iter_mut().filter(due).min_by_key(|e| e.load.probed_at)?;
        target.load.probed_at = Some(now);
        Some(target.candidate.clone())
    }

    /// Records the answer to a probe of `node`, with the load report if there is one.
    pub fn on_probe(&mut self, node: &NodeName, load: Option<LoadReport>, now: Instant) {
        let Some(entry) = self.indices.get(node).map(|i| &mut self.entries[*i]) else { return };
        if let Some(report) = load {
            entry.load.on_report(&self.cfg, report, now);
        }
    }

    fn pick_in_turn(&mut self) -> usize {
        self.round_robin_turn = self.round_robin_turn.wrapping_add(1);
        self.eligible[self.round_robin_turn % self.eligible.len()]
    }

    fn pick_least_in_flight<R: Rng>(&mut self, rng: &mut R) -> usize {
        let start = rng.random_range(0..self.eligible.len());
        let (before, after) = self.eligible.split_at(start);
        let from_random_start = after.iter().chain(before);
        *from_random_start.min_by_key(|i| self.entries[**i].load.in_flight).expect("not empty")
    }

    /// Compares a few random candidates. Those that are cold and full, or early in their ramp, are
    /// skipped while there are others.
    fn pick_by_score<R: Rng>(&mut self, rng: &mut R, now: Instant) -> usize {
        let mut best = None;
        let mut sample = SmallVec::<[usize; 8]>::new();
        let mut undrawn = self.eligible.len();
        let sample_size =
            if undrawn <= self.cfg.max_compare_all { undrawn } else { self.cfg.sample_size.max(1) };
        while undrawn > 0 && sample.len() < sample_size {
            let drawn = rng.random_range(0..undrawn);
            undrawn -= 1;
            self.eligible.swap(drawn, undrawn);
            let i = self.eligible[undrawn];
            if self.is_considered(i, rng, now) {
                sample.push(i);
            }
        }
        let median = self.median_wait(&sample, now);
        for i in &sample {
            let score = self.score(*i, median, now);
            if best.is_none_or(|(_, best_score)| score < best_score) {
                best = Some((*i, score));
            }
        }
        match best {
            Some((i, _)) => i,
            None => self.pick_fallback(now),
        }
    }

    /// Returns whether to consider a candidate, at random for one that is cold or returning.
    fn is_considered<R: Rng>(&self, i: usize, rng: &mut R, now: Instant) -> bool {
        let load = &self.entries[i].load;
        let probability = load.cold_probability(&self.cfg, now).unwrap_or(1.0);
        if probability < 1.0 && (probability == 0.0 || !rng.random_bool(probability)) {
            return false;
        }
        match load.ramp_from {
            Some(from) => {
                let grown = (now - from).as_secs_f64() / self.cfg.zone_ramp.as_secs_f64();
                rng.random_bool(grown.clamp(MIN_RAMP_PROBABILITY, 1.0))
            }
            None => true,
        }
    }

    /// Chooses among all candidates after every one of them was skipped. Their owners' limits and
    /// admission queues protect the upstreams.
    fn pick_fallback(&self, now: Instant) -> usize {
        let typical = self.typical_service_time.unwrap_or(DEFAULT_SERVICE_TIME_SECONDS);
        let cost =
            |i: usize| self.score(i, typical, now) + f64::from(self.entries[i].load.in_flight);
        let least = |a: &usize, b: &usize| cost(*a).total_cmp(&cost(*b));
        self.eligible.iter().copied().min_by(least).expect("not empty")
    }

    /// Returns the median of the known expected waits in seconds, or the typical service time if
    /// there are none.
    fn median_wait(&self, sample: &[usize], now: Instant) -> f64 {
        let typical = self.typical_service_time.unwrap_or(DEFAULT_SERVICE_TIME_SECONDS);
        let mut waits: SmallVec<[f64; 8]> = sample
            .iter()
            .map(|i| &self.entries[*i].load)
            .filter(|load| load.recency(&self.cfg, now) == Recency::Fresh)
            .map(|load| load.expected_wait(self.cfg.scoring, typical, now))
            .collect();
        if waits.is_empty() {
            return typical;
        }
        waits.sort_unstable_by(f64::total_cmp);
        waits[waits.len() / 2]
    }

    /// Returns the expected wait and the penalties in seconds; the smallest score is chosen.
    fn score(&self, i: usize, median: f64, now: Instant) -> f64 {
        let Entry { candidate, load } = &self.entries[i];
        let typical = self.typical_service_time.unwrap_or(DEFAULT_SERVICE_TIME_SECONDS);
        let wait = match load.recency(&self.cfg, now) {
            Recency::Fresh => load.expected_wait(self.cfg.scoring, typical, now),
            Recency::Stale | Recency::Missing => load.unknown_wait(&self.cfg, median, typical, now),
        };
        let zone_cost = match candidate.zone == self.zone {
            true => 0.0,
            false => self.cfg.other_zone_cost.as_secs_f64(),
        };
        wait + load.failure_penalty(&self.cfg, now) + zone_cost
    }
}
