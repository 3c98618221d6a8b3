//! Settings, requests and decisions of a limiter.

use std::time::{Duration, Instant};

use oleandertiller_model::ErrorKind;
use smallvec::SmallVec;

/// When part of the limit is kept for nested calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reserve {
    /// Always. With six slots this costs a sixth of the capacity.
    Always,
    /// While there are nested calls, and until a minute after the last one.
    ///
    /// The first nested call after a pause may find no free slot. Its wait is bounded, so this
    /// delays the chain of calls but cannot block it.
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
    /// In proportion to baseline latency over current latency; kept for experiments.
    Gradient,
}

/// Settings of a [`Limiter`](super::Limiter).
#[derive(Clone, Debug, PartialEq)]
pub struct LimitConfig {
    /// Limit after a cold start, in requests in flight.
    pub cold_limit: u32,
    /// Longest wait for a slot of a request of depth 0; nested calls give up earlier.
    pub max_queue_wait: Duration,
    /// Maximum number of waiting requests.
    pub max_queued: usize,
    /// When part of the limit is kept for nested calls, those of depth 1 and more.
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

/// A request for a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Identifier chosen by the caller, unique within one limiter.
    pub ticket: u64,
    /// Weight of the request's kind; heavier requests go first.
    pub weight: u32,
    /// Number of calls that this one is nested in.
    pub depth: u8,
    /// When the request must have been answered.
    pub deadline: Instant,
}

/// Answer to an [`AdmissionRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot, which must be given back with
    /// [`Limiter::release`](super::Limiter::release).
    Run,
    /// The request waits for a decision from [`Limiter::release`](super::Limiter::release) or
    /// [`Limiter::expire`](super::Limiter::expire).
    Wait,
    /// The request is refused and has not run.
    Refuse(ErrorKind),
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// A correct answer after this service time.
    Success(Duration),
    /// A failure after this service time.
    Failure(Duration),
    /// Cancelled, never sent to the upstream, or timed out after a late start (see
    /// [`Limiter::classify_timeout`](super::Limiter::classify_timeout)); says nothing about the
    /// upstream.
    Ignored,
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decision {
    /// Ticket of the request.
    pub ticket: u64,
    /// [`Admission::Run`] or [`Admission::Refuse`], never [`Admission::Wait`].
    pub admission: Admission,
}

/// Decisions returned by one call; up to four need no allocation.
pub type Decisions = SmallVec<[Decision; 4]>;
