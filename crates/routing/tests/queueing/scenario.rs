//! Settings of a run of the queueing model.

use std::time::Duration;

use oleandertiller_model::Safety;
use oleandertiller_routing::{
    limit::LimitConfig,
    selection::{Policy, SelectionConfig},
};

/// One kind of request.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub weight: u32,
    pub deadline: Duration,
    /// Share of the arrivals, in percent.
    pub percent: u32,
    pub safety: Safety,
}

const fn kind(weight: u32, deadline_ms: u64, percent: u32, safety: Safety) -> Kind {
    Kind { weight, deadline: Duration::from_millis(deadline_ms), percent, safety }
}

/// Kinds as in the two deployments: a heavy read such as a temper reading, a write that must not
/// run twice such as an ingredient release, and a light read.
pub const KINDS: [Kind; 3] = [
    kind(10, 250, 40, Safety::Idempotent),
    kind(3, 500, 40, Safety::AtMostOnce),
    kind(1, 1_000, 20, Safety::Idempotent),
];

/// Mean service time of a healthy server.
pub const SERVICE_TIME: Duration = Duration::from_millis(10);

/// What happens to server 0 at [`Scenario::fault_at`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Every request takes this many times as long.
    Slow(f64),
    /// This share of the requests fails within a fifth of a millisecond.
    FailFast(f64),
    /// Turns cold without an announcement: fails every request that starts while more than its
    /// capacity is in flight. The capacity starts at 2 and grows to the slots over `warm_up`.
    TurnsCold {
        warm_up: Duration,
    },
    /// Restarts and announces itself as cold for `warm_up`, then as serving. Its capacity is 2
    /// while cold.
    Restarts {
        warm_up: Duration,
    },
}

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub servers: usize,
    pub slots: u32,
    pub ingress_nodes: usize,
    /// Offered load relative to the capacity of all servers.
    pub load: f64,
    /// Offered load during the surge, and when it starts and ends.
    pub surge: Option<(f64, Duration, Duration)>,
    pub fault: Fault,
    pub fault_at: Duration,
    /// When a slow or fast-failing server recovers.
    pub fault_end: Duration,
    pub measure_from: Duration,
    pub end: Duration,
    pub selection: SelectionConfig,
    pub limit: LimitConfig,
    pub seed: u64,
}

impl Scenario {
    pub fn new(servers: usize, slots: u32) -> Self {
        Self {
            servers,
            slots,
            ingress_nodes: servers,
            load: 0.7,
            surge: None,
            fault: Fault::None,
            fault_at: Duration::from_secs(4),
            fault_end: Duration::MAX,
            measure_from: Duration::from_secs(4),
            end: Duration::from_secs(14),
            selection: SelectionConfig::default(),
            limit: LimitConfig::default(),
            seed: 1,
        }
    }

    pub fn with_fault(mut self, fault: Fault) -> Self {
        self.fault = fault;
        self
    }

    pub fn with_policy(mut self, policy: Policy) -> Self {
        self.selection.policy = policy;
        self
    }

    pub fn with_seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Returns the mean rate of arrivals per second at `at`.
    pub fn rate(&self, at: Duration) -> f64 {
        let load = match self.surge {
            Some((load, from, to)) if (from..to).contains(&at) => load,
            _ => self.load,
        };
        load * self.servers as f64 * f64::from(self.slots) / SERVICE_TIME.as_secs_f64()
    }
}
