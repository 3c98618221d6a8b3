//! Choice of an owner for a request, on load reports that are always old.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use oleandertiller_model::{LoadReport, NodeName, Outcome, VersionName, ZoneName};
use rand::Rng;
use smallvec::SmallVec;

use self::load::{Knowledge, Load};

mod load;

/// Gain of the service's usual service time for each success.
const USUAL_GAIN: f64 = 0.02;

/// Service time that is assumed before the first success, in seconds.
const USUAL_DEFAULT: f64 = 0.001;

/// Number of owners up to which all are compared. With so few, the gain in spread from random
/// candidates is smaller than the loss from passing over the best one.
const FEW: usize = 8;

/// Least share at which a returning candidate is considered at the start of its ramp.
const RAMP_START: f64 = 0.02;

/// Part of its ramp after which a candidate is worth a probe: the load of one that is hardly
/// admitted is too old again before a request can use it.
const PROBE_RAMP_PART: u32 = 4;

/// Least time between two probes of one owner.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// How an ingress chooses; the simple policies are baselines for experiments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Policy {
    /// Expected wait on aged load reports.
    #[default]
    ExpectedWait,
    /// Uniformly at random.
    Random,
    /// Each owner in turn.
    RoundRobin,
    /// Fewest requests of this ingress in flight.
    LeastInFlight,
}

/// How known load becomes a score.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Scoring {
    /// (requests + 1) / limit x service time.
    Wait,
    /// Service time x (1 + requests / limit): the time to an answer.
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
    /// Number of random candidates that are compared.
    pub sample_size: usize,
    /// Number of candidates up to which all are compared.
    pub compare_all_max: usize,
    /// Age from which a report counts as unknown.
    pub load_max_age: Duration,
    /// Time over which the share of a returning zone or upstream grows to its full size.
    pub zone_ramp: Duration,
    /// Added to the score of owners in other zones.
    pub other_zone_cost: Duration,
    /// How known load becomes a score.
    pub scoring: Scoring,
    /// Added to the score of an owner all of whose recent attempts failed.
    pub failure_penalty: Duration,
    /// Time in which the failure penalty halves after one failure; it grows with failures in a row.
    pub failure_half_life: Duration,
    /// Added to the score of owners whose load is unknown.
    pub unknown_penalty: Duration,
    /// Time between an owner's report and its arrival here, and as much for a request on its way.
    pub report_lag: Duration,
    /// Number of ingress nodes that send to the same owners, for the share of a cold one's limit.
    pub ingress_nodes: u32,
}

impl Default for SelectionConfig {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            sample_size: 3,
            compare_all_max: FEW,
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
    /// Node beside the upstream.
    pub node: NodeName,
    /// Incarnation of the node; load reports of another incarnation are dropped.
    pub incarnation: u64,
    /// Zone of the node.
    pub zone: ZoneName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Whether intent, membership and life cycle allow new work.
    pub eligible: bool,
}

/// A candidate and what is known of it.
#[derive(Clone, Debug)]
struct Entry {
    candidate: Candidate,
    load: Load,
}

/// Load knowledge and choice for one service at one ingress.
#[derive(Clone, Debug)]
pub struct Selector {
    cfg: SelectionConfig,
    zone: ZoneName,
    entries: Vec<Entry>,
    index: HashMap<NodeName, usize>,
    /// Positions of the entries that may be chosen, kept to avoid an allocation for each pick.
    eligible: Vec<usize>,
    /// Usual service time of the service in seconds.
    usual: Option<f64>,
    turn: usize,
    last_picked_at: Option<Instant>,
}

impl Selector {
    /// Creates a selector without candidates; `zone` is the ingress's own.
    pub fn new(cfg: SelectionConfig, zone: ZoneName) -> Self {
        Self {
            cfg,
            zone,
            entries: Vec::new(),
            index: HashMap::new(),
            eligible: Vec::new(),
            usual: None,
            turn: 0,
            last_picked_at: None,
        }
    }

    /// Sets the number of ingress nodes that send to the same owners.
    pub fn set_ingress_nodes(&mut self, count: u32) {
        self.cfg.ingress_nodes = count.max(1);
    }

    /// Replaces the candidates and keeps what is known of those that stay.
    ///
    /// Candidates that join or return later than the first ones are given a growing share over
    /// `zone_ramp`.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>, now: Instant) {
        let ramp_from = (!self.entries.is_empty()).then_some(now);
        let mut known: HashMap<_, _> =
            self.entries.drain(..).map(|entry| (entry.candidate.node.clone(), entry)).collect();
        self.index.clear();
        for candidate in candidates {
            let mut load = match known.remove(&candidate.node) {
                Some(entry) if entry.candidate.incarnation == candidate.incarnation => {
                    let mut load = entry.load;
                    if candidate.eligible && !entry.candidate.eligible {
                        load.ramp_from = ramp_from;
                    }
                    load
                }
                Some(entry) => Load::new(now).with_own(entry.load.own).with_ramp(ramp_from),
                None => Load::new(now).with_ramp(ramp_from),
            };
            if load.ramp_from.is_some_and(|from| now - from >= self.cfg.zone_ramp) {
                load.ramp_from = None;
            }
            self.index.insert(candidate.node.clone(), self.entries.len());
            self.entries.push(Entry { candidate, load });
        }
    }

    /// Chooses an owner that is not in `tried` and counts one request in flight to it.
    ///
    /// `version` restricts the choice, for rollouts.
    pub fn pick<R: Rng>(
        &mut self,
        rng: &mut R,
        tried: &[NodeName],
        version: Option<&VersionName>,
        now: Instant,
    ) -> Option<Candidate> {
        self.eligible.clear();
        for (at, entry) in self.entries.iter().enumerate() {
            let candidate = &entry.candidate;
            let version_fits = version.is_none_or(|version| candidate.version == *version);
            if candidate.eligible && version_fits && !tried.contains(&candidate.node) {
                self.eligible.push(at);
            }
        }
        if self.eligible.is_empty() {
            return None;
        }
        let at = match self.cfg.policy {
            Policy::ExpectedWait => self.pick_by_wait(rng, now),
            Policy::Random => self.eligible[rng.random_range(0..self.eligible.len())],
            Policy::RoundRobin => self.pick_in_turn(),
            Policy::LeastInFlight => self.pick_by_own(rng),
        };
        let entry = &mut self.entries[at];
        entry.load.on_pick(now);
        self.last_picked_at = Some(now);
        Some(entry.candidate.clone())
    }

    /// Returns when an owner was last chosen.
    pub fn last_picked_at(&self) -> Option<Instant> {
        self.last_picked_at
    }

    /// Returns whether an owner of `version` that is not in `tried` may be chosen.
    pub fn has_candidate(&self, tried: &[NodeName], version: &VersionName) -> bool {
        let fits = |candidate: &Candidate| {
            candidate.eligible && candidate.version == *version && !tried.contains(&candidate.node)
        };
        self.entries.iter().any(|entry| fits(&entry.candidate))
    }

    /// Takes note of how a request ended at `node`, with the load report of its answer if any.
    ///
    /// `elapsed` is the time since the pick. An answer that says that the upstream failed (a server error) must be passed as
    /// `Unknown(Internal)` and not as `Done`, or a server that fails fast attracts requests.
    pub fn on_end(
        &mut self,
        node: &NodeName,
        outcome: Outcome,
        elapsed: Duration,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        let Some(entry) = self.index.get(node).map(|at| &mut self.entries[*at]) else { return };
        entry.load.on_end(&self.cfg, outcome, elapsed, load, now);
        if outcome == Outcome::Done
            && let Some(sample) = entry.load.reported_service_time().filter(|time| *time > 0.0)
        {
            let usual = self.usual.get_or_insert(sample);
            *usual += (sample - *usual) * USUAL_GAIN;
        }
    }

    /// Returns an owner whose load is too old to decide on and worth a probe, if any.
    ///
    /// The caller sends the probe only if its measuring budget pays for it; the owner is not named
    /// again for a while in either case.
    pub fn probe_target(&mut self, now: Instant) -> Option<Candidate> {
        let cfg = &self.cfg;
        let due = |entry: &&mut Entry| {
            let waiting = entry.load.probed_at.is_some_and(|at| now - at < PROBE_INTERVAL);
            let early = cfg.zone_ramp / PROBE_RAMP_PART;
            let early = entry.load.ramp_from.is_some_and(|from| now - from < early);
            entry.candidate.eligible
                && !waiting
                && !early
                && entry.load.knowledge(cfg, now) != Knowledge::Fresh
        };
        let oldest = self.entries.iter_mut().filter(due).min_by_key(|e| e.load.probed_at)?;
        oldest.load.probed_at = Some(now);
        Some(oldest.candidate.clone())
    }

    /// Takes note of a probe's answer.
    pub fn on_probe(&mut self, node: &NodeName, load: Option<LoadReport>, now: Instant) {
        let Some(entry) = self.index.get(node).map(|at| &mut self.entries[*at]) else { return };
        if let Some(report) = load {
            entry.load.on_report(&self.cfg, report, now);
        }
    }

    fn pick_in_turn(&mut self) -> usize {
        self.turn = self.turn.wrapping_add(1);
        self.eligible[self.turn % self.eligible.len()]
    }

    fn pick_by_own<R: Rng>(&mut self, rng: &mut R) -> usize {
        let start = rng.random_range(0..self.eligible.len());
        let (tail, head) = self.eligible.split_at(start);
        let in_random_turn = head.iter().chain(tail);
        *in_random_turn.min_by_key(|at| self.entries[**at].load.own).expect("not empty")
    }

    /// Compares a few random candidates; those that are cold and full, or that are early in their
    /// ramp, are passed over while there are others.
    fn pick_by_wait<R: Rng>(&mut self, rng: &mut R, now: Instant) -> usize {
        let mut best = None;
        let mut sample = SmallVec::<[usize; 8]>::new();
        let mut left = self.eligible.len();
        let wanted =
            if left <= self.cfg.compare_all_max { left } else { self.cfg.sample_size.max(1) };
        while left > 0 && sample.len() < wanted {
            let drawn = rng.random_range(0..left);
            left -= 1;
            self.eligible.swap(drawn, left);
            let at = self.eligible[left];
            if self.is_admitted(at, rng, now) {
                sample.push(at);
            }
        }
        let median = self.median(&sample, now);
        for at in &sample {
            let score = self.score(*at, median, now);
            if best.is_none_or(|(_, least)| score < least) {
                best = Some((*at, score));
            }
        }
        match best {
            Some((at, _)) => at,
            None => self.pick_least_bad(now),
        }
    }

    fn is_admitted<R: Rng>(&self, at: usize, rng: &mut R, now: Instant) -> bool {
        let load = &self.entries[at].load;
        let chance = load.cold_chance(&self.cfg, now).unwrap_or(1.0);
        if chance < 1.0 && (chance == 0.0 || !rng.random_bool(chance)) {
            return false;
        }
        match load.ramp_from {
            Some(from) => {
                let grown = (now - from).as_secs_f64() / self.cfg.zone_ramp.as_secs_f64();
                rng.random_bool(grown.clamp(RAMP_START, 1.0))
            }
            None => true,
        }
    }

    /// Chooses when every candidate is cold or early in its ramp; their owners' limits and wait
    /// queues protect the upstreams.
    fn pick_least_bad(&self, now: Instant) -> usize {
        let usual = self.usual.unwrap_or(USUAL_DEFAULT);
        let score = |at: usize| self.score(at, usual, now) + f64::from(self.entries[at].load.own);
        let least = |a: &usize, b: &usize| score(*a).total_cmp(&score(*b));
        self.eligible.iter().copied().min_by(least).expect("not empty")
    }

    /// Returns the median of the known expected waits, or the usual service time without any.
    fn median(&self, sample: &[usize], now: Instant) -> f64 {
        let usual = self.usual.unwrap_or(USUAL_DEFAULT);
        let mut waits: SmallVec<[f64; 8]> = sample
            .iter()
            .map(|at| &self.entries[*at].load)
            .filter(|load| load.knowledge(&self.cfg, now) == Knowledge::Fresh)
            .map(|load| load.expected_wait(self.cfg.scoring, usual, now))
            .collect();
        if waits.is_empty() {
            return usual;
        }
        waits.sort_unstable_by(f64::total_cmp);
        waits[waits.len() / 2]
    }

    fn score(&self, at: usize, median: f64, now: Instant) -> f64 {
        let Entry { candidate, load } = &self.entries[at];
        let usual = self.usual.unwrap_or(USUAL_DEFAULT);
        let wait = match load.knowledge(&self.cfg, now) {
            Knowledge::Fresh => load.expected_wait(self.cfg.scoring, usual, now),
            Knowledge::Stale | Knowledge::None => load.unknown_wait(&self.cfg, median, usual, now),
        };
        let zone_cost = match candidate.zone == self.zone {
            true => 0.0,
            false => self.cfg.other_zone_cost.as_secs_f64(),
        };
        wait + load.failure_penalty(&self.cfg, now) + zone_cost
    }
}
