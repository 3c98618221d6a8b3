//! The owner's concurrency limit: cold start, adaptation to latency, and load shedding.

use std::time::{Duration, Instant};

use oleandertiller_model::{ErrorKind, Lifecycle};

/// Settings of a [`Limiter`].
#[derive(Clone, Debug, PartialEq)]
pub struct LimitConfig {
    /// Limit right after a cold start.
    pub cold_limit: u32,
    /// Longest wait for a slot.
    pub max_queue_wait: Duration,
    /// Most requests that may wait.
    pub max_queued: usize,
}

impl Default for LimitConfig {
    fn default() -> Self {
        Self { cold_limit: 1, max_queue_wait: Duration::from_millis(500), max_queued: 256 }
    }
}

/// What a request that asks for a slot says about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Chosen by the caller, unique among the requests of one limiter.
    pub ticket: u64,
    /// Weight of the request's kind.
    pub weight: u32,
    /// How many calls lie above this one.
    pub depth: u8,
    /// When the request must be answered.
    pub deadline: Instant,
}

/// Answer to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request holds a slot and must be released with [`Limiter::release`].
    Run,
    /// The request waits; its ticket comes back from [`Limiter::release`] or [`Limiter::expire`].
    Wait,
    /// The request is refused as not run.
    Refuse(ErrorKind),
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// A correct answer after this service time.
    Success(Duration),
    /// A failure after this service time.
    Failure(Duration),
    /// Cancelled or never handed over; says nothing about the upstream.
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

/// Concurrency limit of one upstream, kept by its owner.
#[derive(Clone, Debug)]
pub struct Limiter {
    cfg: LimitConfig,
    slots: u32,
    lifecycle: Lifecycle,
    in_flight: u32,
}

impl Limiter {
    /// Creates a limiter for an upstream that has not been announced yet.
    pub fn new(cfg: LimitConfig) -> Self {
        Self { cfg, slots: 0, lifecycle: Lifecycle::Absent, in_flight: 0 }
    }

    /// Takes note of an announcement. `restarted` says that the instance is another one.
    pub fn on_announce(&mut self, lifecycle: Lifecycle, slots: u32, restarted: bool, now: Instant) {
        let _ = (restarted, now);
        self.lifecycle = lifecycle;
        self.slots = slots;
    }

    /// Asks for a slot.
    pub fn ask(&mut self, ask: Ask, now: Instant) -> Admission {
        if ask.deadline <= now {
            return Admission::Refuse(ErrorKind::DeadlineExceeded);
        }
        match self.lifecycle {
            Lifecycle::Absent => return Admission::Refuse(ErrorKind::NoUpstream),
            Lifecycle::Draining => return Admission::Refuse(ErrorKind::Draining),
            Lifecycle::Cold | Lifecycle::Serving => {}
        }
        if self.in_flight >= self.limit() {
            return Admission::Refuse(ErrorKind::Overloaded);
        }
        self.in_flight += 1;
        Admission::Run
    }

    /// Gives a slot back and returns the decisions on waiting requests that follow from it.
    pub fn release(&mut self, ended: Ended, now: Instant) -> Vec<Decision> {
        let _ = (ended, now);
        self.in_flight = self.in_flight.saturating_sub(1);
        Vec::new()
    }

    /// Withdraws a waiting request, because its client has gone.
    pub fn withdraw(&mut self, ticket: u64) {
        let _ = ticket;
    }

    /// Refuses waiting requests whose wait is over; to be called every few milliseconds.
    pub fn expire(&mut self, now: Instant) -> Vec<Decision> {
        let _ = now;
        Vec::new()
    }

    /// Returns the present limit.
    pub fn limit(&self) -> u32 {
        if self.lifecycle == Lifecycle::Cold { self.cfg.cold_limit } else { self.slots }
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> u32 {
        0
    }

    /// Returns the smoothed wait for a slot.
    pub fn queue_delay(&self) -> Duration {
        Duration::ZERO
    }

    /// Returns the smoothed service time of successes.
    pub fn service_time(&self) -> Duration {
        Duration::from_millis(1)
    }

    /// Returns the life cycle as the limiter sees it, which may be cold before the upstream says so.
    pub fn lifecycle(&self) -> Lifecycle {
        self.lifecycle
    }
}
