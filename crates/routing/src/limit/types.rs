//! Settings, questions and answers of a limiter.

use std::time::{Duration, Instant};

use oleandertiller_model::ErrorKind;
use smallvec::SmallVec;

/// When part of the limit is kept for deeper calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reserve {
    /// Always. On six slots this costs a sixth of the capacity.
    Always,
    /// From a deeper call until a minute after the last one.
    ///
    /// The first deeper call after a quiet time may find no slot. Its wait is bounded, so this
    /// delays the chain but cannot block it.
    #[default]
    WhileUsed,
    /// Never, for services that no other service calls.
    Never,
}

/// How the limit follows latency.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Adaptation {
    /// Additive increase, multiplicative decrease.
    #[default]
    Aimd,
    /// In proportion to the baseline over the present latency; kept for experiments.
    Gradient,
}

/// Settings of a [`Limiter`](super::Limiter).
#[derive(Clone, Debug, PartialEq)]
pub struct LimitConfig {
    /// Limit right after a cold start.
    pub cold_limit: u32,
    /// Longest wait for a slot.
    pub max_queue_wait: Duration,
    /// Most requests that may wait.
    pub max_queued: usize,
    /// When part of the limit is kept for calls of depth 1 and more.
    pub reserve: Reserve,
    /// How the limit follows latency.
    pub adaptation: Adaptation,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self {
            cold_limit: 1,
            max_queue_wait: Duration::from_millis(500),
            max_queued: 256,
            reserve: Reserve::default(),
            adaptation: Adaptation::default(),
        }
    }
}

/// What a request that asks for a slot says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRequest {
    /// Chosen by the caller, unique among the requests of one limiter.
    pub ticket: u64,
    /// Weight of the request's kind.
    pub weight: u32,
    /// How many calls lie above this one.
    pub depth: u8,
    /// When the request must be answered.
    pub deadline: Instant,
}

/// Answer to an [`SlotRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot and must be released with [`Limiter::release`](super::Limiter::release).
    Run,
    /// The request waits; its ticket comes back from [`Limiter::release`](super::Limiter::release) or [`Limiter::expire`](super::Limiter::expire).
    Wait,
    /// The request is refused as not run.
    Refuse(ErrorKind),
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A correct answer after this service time.
    Success(Duration),
    /// A failure after this service time.
    Failure(Duration),
    /// Cancelled or never handed over; says nothing about the upstream. See also
    /// [`Limiter::timed_out`](super::Limiter::timed_out).
    Ignored,
}

/// A waiting request whose turn has come, or that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Ticket of the request.
    pub ticket: u64,
    /// [`Admission::Run`] or [`Admission::Refuse`].
    pub admission: Admission,
}

/// Decisions of one call; up to four need no allocation.
pub type Decisions = SmallVec<[Decision; 4]>;
