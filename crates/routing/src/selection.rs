//! Choice of an owner for a request, on load reports that are always old.

use std::time::{Duration, Instant};

use oleandertiller_model::{LoadReport, NodeName, Outcome, VersionName, ZoneName};
use rand::Rng;

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

/// Settings of a [`Selector`].
#[derive(Clone, Debug, PartialEq)]
pub struct SelectionConfig {
    /// How owners are chosen.
    pub policy: Policy,
    /// Number of random candidates that are compared.
    pub candidates: usize,
    /// Age from which a report counts as unknown.
    pub load_max_age: Duration,
    /// Time over which the share of a returning zone or upstream grows to its full size.
    pub zone_ramp: Duration,
    /// Added to the score of owners in other zones.
    pub other_zone_cost: Duration,
}

impl Default for SelectionConfig {
    fn default() -> Self {
        Self {
            policy: Policy::default(),
            candidates: 3,
            load_max_age: Duration::from_millis(500),
            zone_ramp: Duration::from_secs(10),
            other_zone_cost: Duration::from_millis(1),
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

/// Load knowledge and choice for one service at one ingress.
#[derive(Clone, Debug)]
pub struct Selector {
    cfg: SelectionConfig,
    candidates: Vec<Candidate>,
}

impl Selector {
    /// Creates a selector without candidates; `zone` is the ingress's own.
    pub fn new(cfg: SelectionConfig, zone: ZoneName) -> Self {
        let _ = zone;
        Self { cfg, candidates: Vec::new() }
    }

    /// Replaces the candidates and keeps what is known of those that stay.
    pub fn set_candidates(&mut self, candidates: Vec<Candidate>, now: Instant) {
        let _ = now;
        self.candidates = candidates;
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
        let _ = (&self.cfg, now);
        let eligible: Vec<_> = self
            .candidates
            .iter()
            .filter(|c| c.eligible && !tried.contains(&c.node))
            .filter(|c| version.is_none_or(|version| c.version == *version))
            .collect();
        if eligible.is_empty() {
            return None;
        }
        Some(eligible[rng.random_range(0..eligible.len())].clone())
    }

    /// Takes note of how a request ended at `node`, with the load report of its answer if any.
    pub fn on_end(
        &mut self,
        node: &NodeName,
        outcome: Outcome,
        elapsed: Duration,
        load: Option<LoadReport>,
        now: Instant,
    ) {
        let _ = (node, outcome, elapsed, load, now);
    }

    /// Returns an owner whose load is too old to decide on and worth a probe, if any.
    pub fn probe_target(&mut self, now: Instant) -> Option<Candidate> {
        let _ = now;
        None
    }

    /// Takes note of a probe's answer.
    pub fn on_probe(&mut self, node: &NodeName, load: Option<LoadReport>, now: Instant) {
        let _ = (node, load, now);
    }
}
