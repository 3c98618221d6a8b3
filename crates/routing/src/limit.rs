//! The owner's concurrency limit on its upstream: cold start, adaptation to latency, load shedding.

use std::time::{Duration, Instant};

use oleandertiller_model::{ErrorKind, Lifecycle};

pub use self::types::{
    Adaptation, Admission, AdmissionRequest, Completion, Decision, Decisions, LimitConfig, Reserve,
};
use self::{
    adaptive_limit::{AdaptiveLimit, LimiterState},
    admission_queue::{AdmissionQueue, QueuedRequest},
};

mod adaptive_limit;
mod admission_queue;
mod types;

/// Weight of the newest success in the smoothed service time.
const SERVICE_TIME_GAIN: f64 = 0.1;

/// Weight of the newest wait in the smoothed queue delay.
const QUEUE_DELAY_GAIN: f64 = 0.1;

/// Service time assumed before the first success.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(1);

/// One slot in this many, and at least one, is kept for nested calls.
const SLOTS_PER_RESERVED_SLOT: u32 = 8;

/// Time after the last nested call for which [`Reserve::WhileUsed`] keeps slots.
const RESERVE_KEEP_TIME: Duration = Duration::from_secs(60);

/// Mean service times that a request must have left before its deadline when it starts. With less,
/// it often runs into its deadline and has wasted its slot. Three times the mean exceeds the 99th
/// percentile if half of the service time is constant and half is exponentially distributed.
const MEAN_SERVICE_TIMES_NEEDED: u32 = 3;

/// Concurrency limit of one upstream, kept by its owner.
///
/// A request that was told to wait gets exactly one decision, from [`Self::release`] or
/// [`Self::expire`], unless it is withdrawn.
#[derive(Clone, Debug)]
pub struct Limiter {
    cfg: LimitConfig,
    slots: u32,
    announced: Lifecycle,
    in_flight: u32,
    adaptive: AdaptiveLimit,
    queue: AdmissionQueue,
    /// Refusals to be returned by the next [`Self::release`] or [`Self::expire`].
    undelivered: Decisions,
    /// Smoothed service time in seconds.
    service_time: Option<f64>,
    /// Smoothed wait for a slot in seconds.
    queue_delay: f64,
    /// When a nested call last requested a slot.
    nested_at: Option<Instant>,
}

impl Limiter {
    /// Creates a limiter for an upstream that has not been announced yet.
    pub fn new(cfg: LimitConfig) -> Self {
        let adaptive = AdaptiveLimit::new(cfg.adaptation, cfg.cold_limit);
        Self {
            cfg,
            slots: 0,
            announced: Lifecycle::Absent,
            in_flight: 0,
            adaptive,
            queue: AdmissionQueue::default(),
            undelivered: Decisions::new(),
            service_time: None,
            queue_delay: 0.0,
            nested_at: None,
        }
    }

    /// Applies an announcement of the upstream; `restarted` says that it is a new instance.
    pub fn on_announce(&mut self, lifecycle: Lifecycle, slots: u32, restarted: bool, now: Instant) {
        let _ = now;
        let turned_cold = lifecycle == Lifecycle::Cold && self.announced != Lifecycle::Cold;
        let returned = self.announced == Lifecycle::Absent && lifecycle.accepts_work();
        if restarted || turned_cold || returned {
            self.adaptive.restart();
            self.service_time = None;
        }
        if self.announced == Lifecycle::Cold && lifecycle == Lifecycle::Serving {
            // Latency of the cold upstream says nothing about the warm one.
            self.adaptive.reset_baseline();
        }
        self.announced = lifecycle;
        self.slots = slots;
        if let Some(kind) = self.closed_kind() {
            while let Some(queued) = self.queue.pop(true) {
                self.undelivered.push(refusal(&queued, kind));
            }
        }
    }

    /// Decides whether a request gets a slot, waits for one or is refused.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> Admission {
        if request.deadline <= now {
            return Admission::Refuse(ErrorKind::DeadlineExceeded);
        }
        if let Some(kind) = self.closed_kind() {
            return Admission::Refuse(kind);
        }
        if request.depth > 0 {
            self.nested_at = Some(now);
        }
        if self.has_slot(request.depth, now) && !self.queue.would_overtake(request.depth) {
            // A free slot is refused only if even a fast answer would be late. An idle upstream
            // always gets the request; otherwise a wrong estimate would never be corrected.
            if self.in_flight > 0 && request.deadline - now < self.service_time() / 4 {
                return Admission::Refuse(self.shed_kind());
            }
            self.start(Duration::ZERO);
            return Admission::Run;
        }
        self.enqueue(request, now)
    }

    /// Releases a slot and returns the resulting decisions on waiting requests.
    pub fn release(&mut self, completion: Completion, now: Instant) -> Decisions {
        self.in_flight = self.in_flight.saturating_sub(1);
        let state = LimiterState {
            in_flight: self.in_flight,
            slots: self.slots,
            announced_cold: self.announced == Lifecycle::Cold,
        };
        match completion {
            Completion::Success(latency) => {
                let sample = latency.as_secs_f64();
                let mean = self.service_time.get_or_insert(sample);
                *mean += (sample - *mean) * SERVICE_TIME_GAIN;
                self.adaptive.on_success(latency, state);
            }
            // The time to a failure says nothing about the service time.
            Completion::Failure(_) => self.adaptive.on_failure(state),
            Completion::Ignored => {}
        }
        self.dispatch(now)
    }

    /// Removes a waiting request whose client has disconnected.
    pub fn withdraw(&mut self, ticket: u64) {
        self.queue.remove(ticket);
        self.undelivered.retain(|decision| decision.ticket != ticket);
    }

    /// Refuses waiting requests whose wait is over. Must be called every few milliseconds.
    pub fn expire(&mut self, now: Instant) -> Decisions {
        let mut decisions = self.dispatch(now);
        while let Some(queued) = self.queue.pop_expired(now) {
            self.record_queue_delay(now - queued.queued_at);
            decisions.push(refusal(&queued, self.refusal_kind(&queued, now)));
        }
        decisions
    }

    /// Returns how to count a request that was unanswered at its deadline, `elapsed` after its
    /// start.
    ///
    /// It counts as a failure only if most requests would have ended in that time; one that was
    /// started late says nothing about the upstream.
    pub fn classify_timeout(&self, elapsed: Duration) -> Completion {
        if elapsed < self.service_time() * MEAN_SERVICE_TIMES_NEEDED {
            Completion::Ignored
        } else {
            Completion::Failure(elapsed)
        }
    }

    /// Returns how many requests may be in flight now: the adaptive limit, bounded by the slots and,
    /// while the upstream announces that it is cold, by the cold limit.
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

    /// Returns the life cycle as the limiter sees it. It may be cold before the upstream announces
    /// so.
    pub fn lifecycle(&self) -> Lifecycle {
        match self.announced {
            Lifecycle::Serving if self.adaptive.is_cold() => Lifecycle::Cold,
            announced => announced,
        }
    }

    /// Returns the error kind of refusals while the upstream takes no work.
    fn closed_kind(&self) -> Option<ErrorKind> {
        match self.announced {
            Lifecycle::Absent => Some(ErrorKind::NoUpstream),
            Lifecycle::Draining => Some(ErrorKind::Draining),
            Lifecycle::Cold | Lifecycle::Serving => None,
        }
    }

    fn has_slot(&self, depth: u8, now: Instant) -> bool {
        let limit = self.limit();
        let reserve = match depth {
            0 if limit >= 2 && self.keeps_reserve(now) => (limit / SLOTS_PER_RESERVED_SLOT).max(1),
            _ => 0,
        };
        self.in_flight < limit - reserve
    }

    fn keeps_reserve(&self, now: Instant) -> bool {
        match self.cfg.reserve {
            Reserve::Always => true,
            Reserve::WhileUsed => self.nested_at.is_some_and(|at| now < at + RESERVE_KEEP_TIME),
            Reserve::Never => false,
        }
    }

    fn start(&mut self, waited: Duration) {
        self.in_flight += 1;
        self.adaptive.on_start(self.in_flight);
        self.record_queue_delay(waited);
    }

    fn record_queue_delay(&mut self, waited: Duration) {
        self.queue_delay += (waited.as_secs_f64() - self.queue_delay) * QUEUE_DELAY_GAIN;
    }

    fn enqueue(&mut self, request: AdmissionRequest, now: Instant) -> Admission {
        let service_time = self.service_time();
        let ahead = self.queue.ahead_of(request.weight) + 1;
        let expected_wait = service_time * ahead / self.limit().max(1);
        // A nested call gives up earlier than its callers, which hold slots meanwhile, so that a
        // chain of calls that has run out of slots releases them from its deepest call upwards.
        let max_wait = self.cfg.max_queue_wait / (u32::from(request.depth) + 1);
        let time_needed = service_time * MEAN_SERVICE_TIMES_NEEDED;
        if expected_wait > max_wait || now + expected_wait + time_needed > request.deadline {
            return Admission::Refuse(self.shed_kind());
        }
        if self.queue.len() >= self.cfg.max_queued {
            if self.undelivered.len() >= self.cfg.max_queued {
                return Admission::Refuse(self.shed_kind());
            }
            match self.queue.pop_last_after(&request) {
                Some(last) => self.undelivered.push(refusal(&last, self.shed_kind())),
                None => return Admission::Refuse(self.shed_kind()),
            }
        }
        let latest_start = request.deadline.checked_sub(time_needed).unwrap_or(now);
        let give_up_at = latest_start.min(now + max_wait);
        self.queue.push(QueuedRequest { request, queued_at: now, give_up_at });
        Admission::Wait
    }

    fn dispatch(&mut self, now: Instant) -> Decisions {
        let mut decisions = std::mem::take(&mut self.undelivered);
        if self.closed_kind().is_some() {
            return decisions;
        }
        while self.has_slot(1, now) {
            let Some(queued) = self.queue.pop(self.has_slot(0, now)) else { break };
            if queued.give_up_at <= now {
                self.record_queue_delay(now - queued.queued_at);
                decisions.push(refusal(&queued, self.refusal_kind(&queued, now)));
                continue;
            }
            self.start(now - queued.queued_at);
            decisions.push(Decision { ticket: queued.request.ticket, admission: Admission::Run });
        }
        decisions
    }

    /// Returns the error kind with which load is shed.
    fn shed_kind(&self) -> ErrorKind {
        match self.lifecycle() {
            Lifecycle::Cold => ErrorKind::Cold,
            _ => ErrorKind::Overloaded,
        }
    }

    fn refusal_kind(&self, queued: &QueuedRequest, now: Instant) -> ErrorKind {
        match queued.request.deadline <= now {
            true => ErrorKind::DeadlineExceeded,
            false => self.shed_kind(),
        }
    }
}

fn refusal(queued: &QueuedRequest, kind: ErrorKind) -> Decision {
    Decision { ticket: queued.request.ticket, admission: Admission::Refuse(kind) }
}
