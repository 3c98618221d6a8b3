//! The owner's concurrency limit: cold start, adaptation to latency, and load shedding.

use std::time::{Duration, Instant};

use oleandertiller_model::{ErrorKind, Lifecycle};

pub use self::types::{
    Adaptation, Admission, Completion, Decision, Decisions, LimitConfig, Reserve, SlotRequest,
};
use self::{
    adapt::{Adaptive, Hold},
    queue::{WaitQueue, Waiting},
};

mod adapt;
mod queue;
mod types;

/// Gain of the smoothed service time for each success.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// Gain of the smoothed wait for each decision.
const QUEUE_DELAY_GAIN: f64 = 0.1;

/// Service time that is assumed before the first success.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(1);

/// One slot in this many is kept for deeper calls, and at least one.
const RESERVE_DIVISOR: u32 = 8;

/// Time after the last deeper call for which [`Reserve::WhileUsed`] keeps slots.
const RESERVE_MEMORY: Duration = Duration::from_secs(60);

/// Service times that a request may need to end: 3 means are over the 99th percentile of service
/// times whose varying half is exponential. A request that is started with less time left often
/// ends at its deadline and has cost a slot for nothing.
const SERVICE_TIME_MARGIN: u32 = 3;

/// Concurrency limit of one upstream, kept by its owner.
///
/// Every ticket that was told to wait comes back exactly once, from [`Self::release`] or
/// [`Self::expire`], unless it was withdrawn.
#[derive(Clone, Debug)]
pub struct Limiter {
    cfg: LimitConfig,
    slots: u32,
    announced: Lifecycle,
    in_flight: u32,
    adaptive: Adaptive,
    queue: WaitQueue,
    /// Refusals that could not be returned by the call that caused them.
    undelivered: Decisions,
    /// In seconds.
    service_time: Option<f64>,
    /// In seconds.
    queue_delay: f64,
    /// When a deeper call last asked.
    deeper_at: Option<Instant>,
}

impl Limiter {
    /// Creates a limiter for an upstream that has not been announced yet.
    pub fn new(cfg: LimitConfig) -> Self {
        let adaptive = Adaptive::new(cfg.adaptation, cfg.cold_limit);
        Self {
            cfg,
            slots: 0,
            announced: Lifecycle::Absent,
            in_flight: 0,
            adaptive,
            queue: WaitQueue::default(),
            undelivered: Decisions::new(),
            service_time: None,
            queue_delay: 0.0,
            deeper_at: None,
        }
    }

    /// Takes note of an announcement. `restarted` says that the instance is another one.
    pub fn on_announce(&mut self, lifecycle: Lifecycle, slots: u32, restarted: bool, now: Instant) {
        let _ = now;
        let turned_cold = lifecycle == Lifecycle::Cold && self.announced != Lifecycle::Cold;
        let returned = self.announced == Lifecycle::Absent && lifecycle.accepts_work();
        if restarted || turned_cold || returned {
            self.adaptive.restart();
            self.service_time = None;
        }
        if self.announced == Lifecycle::Cold && lifecycle == Lifecycle::Serving {
            // Cold latency is no measure for a warm upstream.
            self.adaptive.forget_baseline();
        }
        self.announced = lifecycle;
        self.slots = slots;
        if let Some(kind) = self.closed() {
            while let Some(waiting) = self.queue.pop(true) {
                self.undelivered.push(refusal(&waiting, kind));
            }
        }
    }

    /// Asks for a slot.
    pub fn acquire(&mut self, ask: SlotRequest, now: Instant) -> Admission {
        if ask.deadline <= now {
            return Admission::Refuse(ErrorKind::DeadlineExceeded);
        }
        if let Some(kind) = self.closed() {
            return Admission::Refuse(kind);
        }
        if ask.depth > 0 {
            self.deeper_at = Some(now);
        }
        if self.has_slot(ask.depth, now) && !self.queue.holds_back(ask.depth) {
            // A free slot is refused only when even a fast answer would be late; an idle upstream
            // always gets the request, or the estimate could never be corrected.
            if self.in_flight > 0 && ask.deadline - now < self.service_time() / 4 {
                return Admission::Refuse(self.shed_kind());
            }
            self.start(Duration::ZERO);
            return Admission::Run;
        }
        self.enqueue(ask, now)
    }

    /// Gives a slot back and returns the decisions on waiting requests that follow from it.
    pub fn release(&mut self, ended: Completion, now: Instant) -> Decisions {
        self.in_flight = self.in_flight.saturating_sub(1);
        let held = Hold {
            in_flight: self.in_flight,
            slots: self.slots,
            announced_cold: self.announced == Lifecycle::Cold,
        };
        match ended {
            Completion::Success(latency) => {
                let sample = latency.as_secs_f64();
                let mean = self.service_time.get_or_insert(sample);
                *mean += (sample - *mean) * SERVICE_TIME_GAIN;
                self.adaptive.on_success(latency, held);
            }
            // The time to a failure says nothing about how fast the upstream is.
            Completion::Failure(_) => self.adaptive.on_failure(held),
            Completion::Ignored => {}
        }
        self.dispatch(now)
    }

    /// Withdraws a waiting request, because its client has gone.
    pub fn withdraw(&mut self, ticket: u64) {
        self.queue.remove(ticket);
        self.undelivered.retain(|decision| decision.ticket != ticket);
    }

    /// Refuses waiting requests whose wait is over; to be called every few milliseconds.
    pub fn expire(&mut self, now: Instant) -> Decisions {
        let mut decisions = self.dispatch(now);
        while let Some(waiting) = self.queue.pop_expired(now) {
            self.note_delay(now - waiting.since);
            decisions.push(refusal(&waiting, self.refusal_kind(&waiting, now)));
        }
        decisions
    }

    /// Returns how a request ended that did not answer by its own deadline after `granted`.
    ///
    /// A request that was started late says nothing about the upstream; a time that most requests
    /// end in does.
    pub fn classify_timeout(&self, granted: Duration) -> Completion {
        if granted < self.service_time() * SERVICE_TIME_MARGIN {
            Completion::Ignored
        } else {
            Completion::Failure(granted)
        }
    }

    /// Returns the present limit.
    pub fn limit(&self) -> u32 {
        let cold = match self.announced {
            Lifecycle::Cold => self.cfg.cold_limit.max(1),
            _ => u32::MAX,
        };
        self.adaptive.limit().min(cold).min(self.slots)
    }

    /// Returns the number of requests that hold a slot.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the number of waiting requests.
    pub fn queued(&self) -> u32 {
        self.queue.len() as u32
    }

    /// Returns the smoothed wait for a slot.
    pub fn queue_delay(&self) -> Duration {
        Duration::from_secs_f64(self.queue_delay)
    }

    /// Returns the smoothed service time of successes.
    pub fn service_time(&self) -> Duration {
        self.service_time.map_or(DEFAULT_SERVICE_TIME, Duration::from_secs_f64)
    }

    /// Returns the life cycle as the limiter sees it, which may be cold before the upstream says so.
    pub fn lifecycle(&self) -> Lifecycle {
        match self.announced {
            Lifecycle::Serving if self.adaptive.is_cold() => Lifecycle::Cold,
            announced => announced,
        }
    }

    fn closed(&self) -> Option<ErrorKind> {
        match self.announced {
            Lifecycle::Absent => Some(ErrorKind::NoUpstream),
            Lifecycle::Draining => Some(ErrorKind::Draining),
            Lifecycle::Cold | Lifecycle::Serving => None,
        }
    }

    fn has_slot(&self, depth: u8, now: Instant) -> bool {
        let limit = self.limit();
        let reserve = match depth {
            0 if limit >= 2 && self.keeps_reserve(now) => (limit / RESERVE_DIVISOR).max(1),
            _ => 0,
        };
        self.in_flight < limit - reserve
    }

    fn keeps_reserve(&self, now: Instant) -> bool {
        match self.cfg.reserve {
            Reserve::Always => true,
            Reserve::WhileUsed => self.deeper_at.is_some_and(|at| now < at + RESERVE_MEMORY),
            Reserve::Never => false,
        }
    }

    fn start(&mut self, waited: Duration) {
        self.in_flight += 1;
        self.adaptive.on_start(self.in_flight);
        self.note_delay(waited);
    }

    fn note_delay(&mut self, waited: Duration) {
        self.queue_delay += (waited.as_secs_f64() - self.queue_delay) * QUEUE_DELAY_GAIN;
    }

    fn enqueue(&mut self, ask: SlotRequest, now: Instant) -> Admission {
        let service_time = self.service_time();
        let ahead = self.queue.ahead_of(ask.weight) + 1;
        let wait = service_time * ahead / self.limit().max(1);
        // A deeper call gives up earlier than the calls above it that hold slots meanwhile, so
        // that a chain that has run out of slots is released from its lower end.
        let longest = self.cfg.max_queue_wait / (u32::from(ask.depth) + 1);
        let needed = service_time * SERVICE_TIME_MARGIN;
        if wait > longest || now + wait + needed > ask.deadline {
            return Admission::Refuse(self.shed_kind());
        }
        if self.queue.len() >= self.cfg.max_queued {
            if self.undelivered.len() >= self.cfg.max_queued {
                return Admission::Refuse(self.shed_kind());
            }
            match self.queue.pop_last_behind(&ask) {
                Some(last) => self.undelivered.push(refusal(&last, self.shed_kind())),
                None => return Admission::Refuse(self.shed_kind()),
            }
        }
        let latest = ask.deadline.checked_sub(needed).unwrap_or(now);
        let give_up = latest.min(now + longest);
        self.queue.push(Waiting { ask, since: now, give_up });
        Admission::Wait
    }

    fn dispatch(&mut self, now: Instant) -> Decisions {
        let mut decisions = std::mem::take(&mut self.undelivered);
        if self.closed().is_some() {
            return decisions;
        }
        while self.has_slot(1, now) {
            let Some(waiting) = self.queue.pop(self.has_slot(0, now)) else { break };
            if waiting.give_up <= now {
                self.note_delay(now - waiting.since);
                decisions.push(refusal(&waiting, self.refusal_kind(&waiting, now)));
                continue;
            }
            self.start(now - waiting.since);
            decisions.push(Decision { ticket: waiting.ask.ticket, admission: Admission::Run });
        }
        decisions
    }

    fn shed_kind(&self) -> ErrorKind {
        match self.lifecycle() {
            Lifecycle::Cold => ErrorKind::Cold,
            _ => ErrorKind::Overloaded,
        }
    }

    fn refusal_kind(&self, waiting: &Waiting, now: Instant) -> ErrorKind {
        match waiting.ask.deadline <= now {
            true => ErrorKind::DeadlineExceeded,
            false => self.shed_kind(),
        }
    }
}

fn refusal(waiting: &Waiting, kind: ErrorKind) -> Decision {
    Decision { ticket: waiting.ask.ticket, admission: Admission::Refuse(kind) }
}
