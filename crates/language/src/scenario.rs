//! Scenario scripts: what happens to a fleet at which time, and what must hold.

mod parse;
mod print;

use std::{sync::Arc, time::Duration};

use oleandertiller_model::{KindName, NodeName, ServiceName, VersionName, ZoneName};

pub use self::parse::parse;
use crate::{statement::Command, units::Factor};

/// A whole script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Title.
    pub title: String,
    /// Name of the example deployment that is started.
    pub fleet: Arc<str>,
    /// Seed of all random choices.
    pub seed: u32,
    /// Load phases, one after the other.
    pub loads: Vec<Load>,
    /// Steps in the order of the script.
    pub steps: Vec<Step>,
    /// What must hold at the end.
    pub expectations: Vec<Expectation>,
}

/// `load N per second for TIME`
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Mean calls a second.
    pub per_second: u32,
    /// How long the load lasts.
    pub lasting: Duration,
}

/// `at TIME EVENT and at the same time EVENT`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the load.
    pub at: Duration,
    /// Events that are started concurrently, at least one.
    pub events: Vec<Event>,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The process ends without notice, with its upstream.
    Kill(NodeName),
    /// The process does not run for a time.
    Pause(NodeName, Duration),
    /// The process ends without notice and starts again.
    Restart(NodeName),
    /// The process is asked to stop and shuts down gracefully.
    Stop(NodeName),
    /// New instances of a service start beside the old ones.
    Start {
        /// Number of instances.
        count: u32,
        /// Service that they belong to.
        service: ServiceName,
        /// Version that they run.
        version: VersionName,
    },
    /// The upstream announces that it drains.
    Drain(NodeName),
    /// The upstream changes its behaviour.
    Upstream(NodeName, Behaviour),
    /// All instances of a version misbehave.
    BadVersion {
        /// Version at fault.
        version: VersionName,
        /// Service of the version.
        service: ServiceName,
        /// What it does.
        fault: Fault,
        /// Only requests of this kind are hit.
        on: Option<KindName>,
        /// How long an instance runs well before that.
        after: Option<Duration>,
    },
    /// The store changes its behaviour.
    Store(StoreEvent),
    /// Two places cannot reach each other.
    Cut {
        /// One side.
        from: Place,
        /// Other side.
        to: Place,
        /// For how long; until healed when `None`.
        lasting: Option<Duration>,
    },
    /// Two places can reach each other again, without delay.
    Heal(Place, Place),
    /// Messages from one place to another take longer.
    Delay {
        /// Sending side.
        from: Place,
        /// Receiving side.
        to: Place,
        /// Added one-way latency.
        by: Duration,
        /// For how long; until healed when `None`.
        lasting: Option<Duration>,
    },
    /// Another load from now on.
    Load(Load),
    /// An operator's command.
    Command(Command),
}

/// A zone or a node.
pub type Place = Arc<str>;

/// How an upstream behaves from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Without faults.
    Normal,
    /// In a cold start, without saying so.
    ColdAgain,
    /// With a fault.
    Faulty(Fault),
}

/// What an upstream does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Takes this many times as long.
    Slow(Factor),
    /// Fails this share of requests, in parts per million.
    Fails(u32),
    /// Fails all requests at once.
    FailsFast,
}

/// How the store behaves from now on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// Answers nothing.
    Down,
    /// Answers normally.
    Up,
    /// Takes this much longer.
    Slow(Duration),
    /// Loses the next answers after the write took effect.
    LosesAnswers(u32),
}

/// Something that must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// No work is begun in the zone from this time on.
    NoNewWorkInZone(ZoneName, Duration),
    /// No work is begun at the upstream from this time on.
    NoNewWorkOnUpstream(NodeName, Duration),
    /// Compares a count.
    Count(Count, Comparison, u32),
    /// Compares a share, in parts per million.
    Share(Share, Comparison, u32),
    /// Compares the p99 latency of a kind.
    P99(KindName, Comparison, Duration),
    /// The rollout has been completed (`true`) or rolled back by this time.
    Rollout(ServiceName, bool, Duration),
    /// All nodes have the same revision by this time.
    SameRevision(Duration),
}

/// Counts that can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// Requests run twice that must not be.
    RunTwice,
    /// Answers to another request, or incomplete ones.
    WrongAnswers,
    /// Refusals that say "not run" for a request that was run.
    FalseNotRun,
    /// Requests in flight that a planned stop interrupted.
    CutByStop,
    /// Requests in flight at a cold upstream over what it can handle.
    OverColdLimit,
}

/// Shares that can be compared.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Share {
    /// Correct answers within the deadline, of one kind or weighted over all.
    Goodput(Option<KindName>),
    /// Calls spent on measuring.
    Measuring,
}

/// How two values are compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// `=`
    Equal,
    /// `<`
    Less,
    /// `<=`
    AtMost,
    /// `>`
    More,
    /// `>=`
    AtLeast,
}

impl Comparison {
    /// Compares the value found with the value stated.
    pub fn holds<T: PartialOrd>(self, found: T, stated: T) -> bool {
        match self {
            Self::Equal => found == stated,
            Self::Less => found < stated,
            Self::AtMost => found <= stated,
            Self::More => found > stated,
            Self::AtLeast => found >= stated,
        }
    }
}
