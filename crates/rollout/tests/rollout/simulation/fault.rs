//! Faults of the new version, its servers, its controller or the store, and what operators do.

/// Fault of the new version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// None: the version is good.
    None,
    /// Fails this part of requests from second `from` on, or from the scenario's control fault on.
    Fails { part: f64, from: f64 },
    /// Fails this part of requests while at least two others are in flight at the server.
    FailsUnderLoad { part: f64 },
    /// Takes this many times as long from second `from` on.
    Slow { factor: f64, from: f64 },
    /// Fails this part of the requests of one kind.
    FailsOnKind { part: f64, kind: u8 },
}

/// Fault of the node that controls the rollout, or of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ControlFault {
    Killed,
    Paused,
    CutOff,
    StoreDown,
}

/// What operators do during the rollout.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Operators {
    None,
    /// One operator cancels at this second.
    Cancel {
        at: f64,
    },
    /// One operator cancels and another starts another version at the same second, in either order.
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
    pub noise_factor: Option<f64>,
    pub new_servers: usize,
    pub new_slots: usize,
    /// Deadline of the rollout in seconds.
    pub deadline: f64,
    /// Control fault that begins when the rollout first reaches this step.
    pub control_fault: Option<(ControlFault, usize)>,
    pub operators: Operators,
}

impl Scenario {
    pub fn new(seed: u64, fault: Fault) -> Self {
        Self {
            seed,
            fault,
            noise_factor: None,
            new_servers: 4,
            new_slots: 12,
            deadline: 300.0,
            control_fault: None,
            operators: Operators::None,
        }
    }
}
