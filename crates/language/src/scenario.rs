//! Scenario scripts: the load, timed events and expectations of a test of a fleet.

mod parse;
mod print;

use std::{sync::Arc, time::Duration};

use oleandertiller_model::{KindName, NodeName, ServiceName, VersionName, ZoneName};

pub use self::parse::parse;
use crate::{statement::Command, units::Factor};

/// A parsed script.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Scenario {
    /// Title in the script's header.
    pub title: String,
    /// Name of the example deployment that is started.
    pub fleet: Arc<str>,
    /// Seed of all random choices.
    pub seed: u32,
    /// Load phases, run one after the other.
    pub loads: Vec<Load>,
    /// Steps in the order of the script.
    pub steps: Vec<Step>,
    /// Expectations that are checked at the end.
    pub expectations: Vec<Expectation>,
}

/// `load N per second for TIME`
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Mean number of calls per second.
    pub per_second: u32,
    /// How long the load lasts.
    pub lasting: Duration,
}

/// `at TIME EVENT and at the same time EVENT`
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time since the start of the load.
    pub at: Duration,
    /// Events started concurrently; at least one.
    pub events: Vec<Event>,
}

/// An event in the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// The node's process and its upstream are killed.
    Kill(NodeName),
    /// The node's process is suspended for a time.
    Pause(NodeName, Duration),
    /// The node's process is killed and started again.
    Restart(NodeName),
    /// The node's process shuts down gracefully.
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
    /// All instances of a version have a fault.
    BadVersion {
        /// Faulty version.
        version: VersionName,
        /// Service of the version.
        service: ServiceName,
        /// What goes wrong at its instances.
        fault: Fault,
        /// Request kind to which the fault is limited.
        on: Option<KindName>,
        /// How long an instance runs before the fault sets in.
        after: Option<Duration>,
    },
    /// The store changes its behaviour.
    Store(StoreEvent),
    /// Two places are partitioned from each other.
    Cut {
        /// One side.
        from: Place,
        /// Other side.
        to: Place,
        /// For how long; until healed when `None`.
        lasting: Option<Duration>,
    },
    /// The link between two places works again, without added delay.
    Heal(Place, Place),
    /// Messages from one place to another are delayed.
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
    /// The load changes.
    Load(Load),
    /// An operator's command.
    Command(Command),
}

/// A zone or a node.
pub type Place = Arc<str>;

/// Behaviour of an upstream from an event on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// No fault.
    Normal,
    /// In a cold start that it does not announce.
    ColdAgain,
    /// Has a fault.
    Faulty(Fault),
}

/// A fault of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Requests take this many times as long.
    Slow(Factor),
    /// This share of requests fails, in parts per million.
    Fails(u32),
    /// All requests fail immediately.
    FailsFast,
}

/// Behaviour of the store from an event on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreEvent {
    /// Does not answer.
    Down,
    /// Answers normally.
    Up,
    /// Answers with this much added delay.
    Slow(Duration),
    /// Applies writes but loses this many of the next answers to them.
    LosesAnswers(u32),
}

/// A condition that must hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Expectation {
    /// No request is started in the zone from this time on.
    NoNewWorkInZone(ZoneName, Duration),
    /// No request is started at the upstream from this time on.
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

/// Counts used in expectations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Count {
    /// At-most-once requests that were run twice.
    RunTwice,
    /// Answers that belong to another request or are incomplete.
    WrongAnswers,
    /// Refusals that say "not run" for a request that was run.
    FalseNotRun,
    /// Requests in flight that were interrupted by a planned stop.
    CutByStop,
    /// Requests in flight at a cold upstream in excess of its capacity.
    OverColdLimit,
}

/// Shares used in expectations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Share {
    /// Correct answers within the deadline, of one kind or weighted over all.
    Goodput(Option<KindName>),
    /// Calls made only to measure load.
    Measuring,
}

/// A comparison operator.
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
    /// Compares the measured value with the one in the expectation.
    pub fn holds<T: PartialOrd>(self, measured: T, expected: T) -> bool {
        match self {
            Self::Equal => measured == expected,
            Self::Less => measured < expected,
            Self::AtMost => measured <= expected,
            Self::More => measured > expected,
            Self::AtLeast => measured >= expected,
        }
    }
}
