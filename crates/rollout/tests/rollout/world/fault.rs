//! What is wrong with the new version, its servers, its controllers or the store in a scenario.

/// How the new version is bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// Not at all.
    None,
    /// Fails this part of requests from the second `from` on, or from the scenario's trouble on.
    Fails { part: f64, from: f64 },
    /// Fails this part of requests while at least two others are in flight at the server.
    FailsUnderLoad { part: f64 },
    /// Takes this many times as long from the second `from` on.
    Slow { factor: f64, from: f64 },
    /// Fails this part of the requests of one kind.
    FailsOnKind { part: f64, kind: u8 },
}

/// What happens to the node that controls the rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trouble {
    Killed,
    Paused,
    CutOff,
    StoreDown,
}

/// What operators do while the rollout is under way.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Operators {
    None,
    /// One cancels at this second.
    Cancel {
        at: f64,
    },
    /// One cancels and one starts another version at the same second, in either order.
    Race {
        at: f64,
        cancel_first: bool,
    },
}

/// One scenario.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub fault: Fault,
    /// One server of the new version takes this many times as long and fails 5% of requests.
    pub noisy: Option<f64>,
    pub new_servers: usize,
    pub new_slots: usize,
    pub deadline: f64,
    /// Trouble that begins when the share first reaches this step, and lasts 20 s.
    pub trouble: Option<(Trouble, usize)>,
    pub operators: Operators,
}

impl Scenario {
    pub fn new(seed: u64, fault: Fault) -> Self {
        Self {
            seed,
            fault,
            noisy: None,
            new_servers: 4,
            new_slots: 12,
            deadline: 300.0,
            trouble: None,
            operators: Operators::None,
        }
    }
}
