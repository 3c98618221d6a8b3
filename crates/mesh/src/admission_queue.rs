//! The owner's gate: when a request is handed to the upstream beside the node.
//!
//! Upstreams share their machines, and at some moments all work there takes several times as long.
//! The owner learns this from the upstream's load figures. A request that another owner could run
//! sooner is handed back, unrun, within milliseconds; one whose ingress has found no better owner
//! waits here, the most urgent first. The load that this answers: short bursts beyond the slots
//! of a service, slow moments of a part of its servers, and the start of all of them at once, when
//! each is cold.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use oleandertiller_model::ErrorKind;
use serde::{Deserialize, Serialize};

/// Requests that a cold upstream gets at once after a pause and at its start, as a part of those of a
/// second. The users allow half more than the rate in any second.
const COLD_BURST: f64 = 0.5;

/// Part of the slots that is filled while other owners may have room: some upstreams slow down
/// when they are nearly full.
const COMFORT_PART: f64 = 0.8;

/// Slots that are left free for more urgent requests while they find none: each soon serves
/// several short runs, and an unused one is lost.
const RESERVE_SLOTS: u32 = 1;

/// Time for which slots are left free after a more urgent request has found none.
const RESERVE_MEMORY: Duration = Duration::from_secs(2);

/// Gain of the share of failed runs for each run.
const FAILING_GAIN: f64 = 0.15;

/// Time after which the share of failed runs has faded to about a third.
const FAILING_MEMORY: Duration = Duration::from_secs(4);

/// Share of failed runs from which requests that may run at most once are handed back: two failures
/// in a row. The others can be repeated, and need the capacity.
const FAILING: f64 = 0.25;

/// Slowness, in percent of the usual work time, up to which a moment counts as calm.
const CALM_PERCENT: u32 = 150;

/// Largest slowness, in percent, that counts as the usual one of a cold upstream: beyond it, a
/// figure that was seen alone is probably that of a slow moment.
const COLD_SLOWNESS_MAX: u32 = 400;

/// Part of the slots up to which a request that can wait no longer starts at a slow moment: its run
/// takes several times as long, and the slot is missed where slots are scarce.
const SLOW_PART: f64 = 0.33;

/// Age up to which a load figure tells the slowness of this moment; it changes within about
/// 150 ms.
pub const MAX_LOAD_AGE: Duration = Duration::from_millis(40);

/// Gain of the smoothed run time for each answer.
const RUN_TIME_GAIN: f64 = 0.1;

/// Run time that is assumed before the first answer.
const FIRST_RUN_TIME: Duration = Duration::from_millis(200);

/// Load figures of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot there.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
    /// How long work takes now, in percent of the usual time.
    pub slowness: Option<u32>,
}

/// An owner's state, as it travels with each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerState {
    /// Requests handed to the upstream and not answered yet.
    pub running: u32,
    /// Requests that wait at the owner.
    pub waiting: u32,
    /// Requests that the upstream runs at once.
    pub slots: u32,
    /// How long work takes now, in percent of the usual time; 100 if unknown.
    pub slowness: u32,
    /// Time until a slot is expected for a new request.
    #[serde(rename = "expected")]
    pub expected_wait: Duration,
}

/// A request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Urgency; 0 is the most urgent.
    pub rank: u32,
    /// When its client stops waiting.
    pub deadline: Instant,
    /// Until when it may wait here; now, if another owner is to be asked instead.
    pub wait_until: Instant,
    /// Whether it may start at a slow moment.
    pub allow_slow: bool,
    /// What it is worth to start it here.
    pub class: PriorityClass,
    /// Whether it may run at most once, so that a lost answer loses the request.
    pub at_most_once: bool,
}

/// What it is worth to start a request, the most first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Work that is running already waits for its answer and is lost without it.
    Nested,
    /// Its answer can come within the objective.
    Timely,
    /// Its answer will be late, and gets what the timely ones leave.
    Late,
    /// Another owner runs it already; only an upstream that is half idle and warm takes it.
    #[serde(rename = "spare")]
    Hedge,
}

/// Identifies a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket {
    class: PriorityClass,
    rank: u32,
    number: u64,
}

/// What becomes of a request at the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Hand it to the upstream now.
    Run,
    /// It waits; [`AdmissionQueue::dequeue`] returns it later.
    Wait(Ticket),
    /// It goes back, unrun.
    Refuse(ErrorKind),
}

/// A waiting request that is decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// Hand it to the upstream now.
    Run(Ticket),
    /// It goes back, unrun.
    Refuse(Ticket, ErrorKind),
}

/// Requests that a cold upstream still bears in this second.
#[derive(Clone, Debug)]
struct ColdRate {
    per_second: f64,
    until: Instant,
    tokens: f64,
    filled: Instant,
    /// Least slowness seen since it is cold, in percent: all work of a cold upstream is slow.
    least_slowness: Option<u32>,
}

/// The gate of one upstream.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    slots: u32,
    closed: Option<ErrorKind>,
    cold: Option<ColdRate>,
    running: u32,
    figures: UpstreamLoad,
    figures_at: Option<Instant>,
    run_time: f64,
    waiting: BTreeMap<Ticket, AdmissionRequest>,
    numbers: u64,
    /// The most urgent request that has lately found no slot, and when.
    short: Option<(Instant, (PriorityClass, u32))>,
    /// Share of lately ended runs that failed, and when the last one ended.
    failing: (f64, Option<Instant>),
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            slots: 0,
            closed: Some(ErrorKind::NoUpstream),
            cold: None,
            running: 0,
            figures: UpstreamLoad::default(),
            figures_at: None,
            run_time: FIRST_RUN_TIME.as_secs_f64(),
            waiting: BTreeMap::new(),
            numbers: 0,
            short: None,
            failing: (0.0, None),
        }
    }
}

impl AdmissionQueue {
    /// Opens the gate for an upstream with `slots`, or closes it for a reason.
    pub fn set_capacity(&mut self, slots: u32, closed: Option<ErrorKind>) {
        self.slots = slots;
        self.closed = closed;
    }

    /// Limits an upstream that stays cold for `cold_for` to a rate.
    pub fn set_cold_limit(&mut self, cold_for: Duration, per_second: Option<f64>, now: Instant) {
        let Some(per_second) = per_second.filter(|_| !cold_for.is_zero()) else {
            self.cold = None;
            return;
        };
        let until = now + cold_for;
        match &mut self.cold {
            Some(cold) => {
                cold.until = until;
                cold.per_second = per_second;
            }
            None => {
                self.cold = Some(ColdRate {
                    per_second,
                    until,
                    tokens: (per_second * COLD_BURST).max(1.0),
                    filled: now,
                    least_slowness: None,
                });
            }
        }
    }

    /// Takes load figures of the upstream.
    pub fn on_load(&mut self, figures: UpstreamLoad, now: Instant) {
        self.figures = figures;
        self.figures_at = Some(now);
        if let (Some(cold), Some(slowness)) = (&mut self.cold, figures.slowness) {
            let least = cold.least_slowness.map_or(slowness, |least| least.min(slowness));
            cold.least_slowness = Some(least);
        }
    }

    /// Returns whether the load figures are too old to tell the slowness of this moment.
    pub fn is_load_stale(&self, now: Instant) -> bool {
        self.figures_at.is_none_or(|at| now.duration_since(at) > MAX_LOAD_AGE)
    }

    /// Decides on a request that arrives.
    pub fn admit(&mut self, ask: AdmissionRequest, now: Instant) -> Admission {
        if let Some(kind) = self.closed {
            return Admission::Refuse(kind);
        }
        if ask.deadline <= now {
            return Admission::Refuse(ErrorKind::DeadlineExceeded);
        }
        // Others are asked first; if they hand it back, too, it may start here.
        if ask.at_most_once && !ask.allow_slow && self.failing(now) > FAILING {
            return Admission::Refuse(ErrorKind::Overloaded);
        }
        let patient = ask.wait_until > now;
        let limit = match (ask.class, patient) {
            (PriorityClass::Hedge, _) if self.cold.is_some() => {
                return Admission::Refuse(ErrorKind::Cold);
            }
            (PriorityClass::Hedge, _) => self.slots / 2,
            (PriorityClass::Nested, _) | (_, true) => self.slots,
            (_, false) => self.comfort(),
        };
        let limit = limit.saturating_sub(self.reserve(ask.class, ask.rank, now)).max(1);
        let place = (ask.class, ask.rank);
        let first = self.waiting.keys().next().is_none_or(|t| (t.class, t.rank) > place);
        if first && self.may_start(&ask) && self.running < limit {
            return match self.take_cold(now) {
                true => self.start(),
                false if patient => self.enqueue(ask),
                false => Admission::Refuse(ErrorKind::Cold),
            };
        }
        if patient && self.running >= self.slots {
            self.note_short(ask.class, ask.rank, now);
        }
        match patient {
            true => self.enqueue(ask),
            false => Admission::Refuse(ErrorKind::Overloaded),
        }
    }

    /// Decides on the next waiting request that can be decided; to be called until it returns
    /// `None` after each event and at least once in [`MAX_LOAD_AGE`].
    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued> {
        let expired = self.waiting.iter().find(|(_, ask)| ask.wait_until <= now);
        if let Some((&ticket, _)) = expired {
            self.waiting.remove(&ticket);
            return Some(Dequeued::Refuse(ticket, self.closed.unwrap_or(ErrorKind::Overloaded)));
        }
        let (&ticket, &ask) = self.waiting.first_key_value()?;
        if let Some(kind) = self.closed {
            self.waiting.remove(&ticket);
            return Some(Dequeued::Refuse(ticket, kind));
        }
        let reserve = self.reserve(ticket.class, ticket.rank, now);
        let limit = self.slots.saturating_sub(reserve).max(1);
        if self.may_start(&ask) && self.running < limit && self.take_cold(now) {
            self.waiting.remove(&ticket);
            self.running += 1;
            return Some(Dequeued::Run(ticket));
        }
        None
    }

    /// Forgets a waiting request whose client has gone.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
    }

    /// Gives a slot back; `run_time` is known if the upstream answered.
    pub fn release(&mut self, run_time: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(run_time) = run_time {
            self.run_time += (run_time.as_secs_f64() - self.run_time) * RUN_TIME_GAIN;
        }
    }

    /// Takes note of how a run has ended; `failed` if no good answer came from the upstream.
    pub fn record_outcome(&mut self, failed: bool, now: Instant) {
        let result = if failed { 1.0 } else { 0.0 };
        let known = self.failing(now);
        self.failing = (known + (result - known) * FAILING_GAIN, Some(now));
    }

    /// Returns the share of lately ended runs that failed. What is known fades, so that an upstream
    /// that was passed by is tried again.
    fn failing(&self, now: Instant) -> f64 {
        let (known, at) = self.failing;
        let age = at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        known * (-age.as_secs_f64() / FAILING_MEMORY.as_secs_f64()).exp()
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the state for an ingress that asks on behalf of a request with this value and rank;
    /// what goes after it does not delay it.
    pub fn state(&self, class: PriorityClass, rank: u32) -> OwnerState {
        let before = self.waiting.keys().filter(|t| (t.class, t.rank) <= (class, rank)).count();
        let ahead = (self.running as usize + before + 1) as f64;
        let slots = f64::from(self.slots.max(1));
        let rounds = ((ahead - slots) / slots).max(0.0);
        let by_slots = self.run_time * rounds;
        let by_rate = self
            .cold
            .as_ref()
            .map_or(0.0, |cold| (before as f64 + 1.0 - cold.tokens).max(0.0) / cold.per_second);
        OwnerState {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
            slowness: self.slowness(),
            expected_wait: Duration::from_secs_f64(by_slots.max(by_rate)),
        }
    }

    /// Returns how long work takes now, in percent of the usual time.
    pub fn slowness(&self) -> u32 {
        self.figures.slowness.unwrap_or(100)
    }

    /// Returns the slots that a request leaves free for those that go before it, if any such
    /// request has lately found none. Long runs of low urgency would otherwise hold all slots.
    fn reserve(&self, class: PriorityClass, rank: u32, now: Instant) -> u32 {
        let Some((at, place)) = self.short else { return 0 };
        let lately = now.saturating_duration_since(at) < RESERVE_MEMORY;
        if lately && place < (class, rank) { RESERVE_SLOTS } else { 0 }
    }

    /// Takes note that a request has found no slot.
    fn note_short(&mut self, class: PriorityClass, rank: u32, now: Instant) {
        let place = (class, rank);
        let old = self.short.is_none_or(|(at, known)| {
            known >= place || now.saturating_duration_since(at) >= RESERVE_MEMORY
        });
        if old {
            self.short = Some((now, place));
        }
    }

    fn comfort(&self) -> u32 {
        ((f64::from(self.slots) * COMFORT_PART) as u32).max(1)
    }

    /// Returns whether a request may start at this moment, if there is a slot.
    fn may_start(&self, ask: &AdmissionRequest) -> bool {
        let scarce = f64::from(self.running) >= f64::from(self.slots) * SLOW_PART;
        let forced = ask.allow_slow && (!scarce || ask.class == PriorityClass::Nested);
        forced || self.is_calm()
    }

    /// Returns whether work takes no longer now than it usually does, for a cold upstream than it
    /// usually does while it is cold.
    fn is_calm(&self) -> bool {
        let usual = self.cold.as_ref().and_then(|cold| cold.least_slowness);
        let usual = usual.unwrap_or(100).clamp(100, COLD_SLOWNESS_MAX);
        self.figures.slowness.is_none_or(|percent| percent <= usual * CALM_PERCENT / 100)
    }

    fn start(&mut self) -> Admission {
        self.running += 1;
        Admission::Run
    }

    fn enqueue(&mut self, ask: AdmissionRequest) -> Admission {
        self.numbers += 1;
        let ticket = Ticket { class: ask.class, rank: ask.rank, number: self.numbers };
        self.waiting.insert(ticket, ask);
        Admission::Wait(ticket)
    }

    /// Takes one of the requests that a cold upstream bears; always succeeds for a warm one.
    fn take_cold(&mut self, now: Instant) -> bool {
        let Some(cold) = &mut self.cold else { return true };
        if now >= cold.until {
            self.cold = None;
            return true;
        }
        let gained = now.duration_since(cold.filled).as_secs_f64() * cold.per_second;
        cold.tokens = (cold.tokens + gained).min((cold.per_second * COLD_BURST).max(1.0));
        cold.filled = now;
        if cold.tokens < 1.0 {
            return false;
        }
        cold.tokens -= 1.0;
        true
    }
}
