//! The owner's admission queue: when a request is sent to the local upstream.
//!
//! Upstreams share their machines, and at times all work on a machine takes several times as long.
//! The owner learns this from the upstream's load reports. A request that another owner could run
//! sooner is refused within milliseconds without being run. One whose ingress has found no
//! better owner waits here in order of priority. This handles short bursts beyond the slots of a
//! service, slow periods of some of its servers, and the simultaneous start of all of them, when
//! each is cold.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use oleandertiller_model::ErrorKind;
use serde::{Deserialize, Serialize};

use crate::{
    rank_share::RankShare,
    request_limit::RequestLimit,
    sender_share::{SenderId, SenderShare, may_enqueue},
    token_bucket::TokenBucket,
    upstream_capacity::{SlownessEstimate, UncountedRequests, UpstreamCapacity},
};

/// Longest time for which an upstream counts as cold from one announcement: adding a longer one to the
/// clock could overflow.
const MAX_COLD_TIME: Duration = Duration::from_secs(3_600);

/// Largest burst of a cold upstream, at its start and after a pause: the requests that its rate
/// allows in this many seconds. With it, no second has more than 1.5 times the rate, which users
/// allow.
const COLD_BURST_SECONDS: f64 = 0.5;

/// Requests per second to a cold upstream whose rate is unknown: few enough for any upstream.
const UNKNOWN_COLD_RATE: f64 = 2.0;

/// Share of the slots up to which requests start here while other owners may have capacity: some
/// upstreams become slow when they are nearly full.
const SOFT_LIMIT_SHARE: f64 = 0.8;

/// Number of slots kept free for each higher priority of which a request has found none free. A
/// single slot can serve several short requests one after the other, and is idle if none come.
const RESERVE_SLOTS: u32 = 1;

/// Maximum number of slots kept free for all higher priorities.
const MAX_RESERVE_SLOTS: u32 = 2;

/// Time for which the queue reports that a request has waited in vain.
const TURNED_AWAY_DURATION: Duration = Duration::from_millis(150);

/// Time for which slots are kept free after a request of higher priority has found none.
const RESERVE_DURATION: Duration = Duration::from_secs(2);

/// Weight of the newest result in the smoothed failure rate.
const FAILURE_RATE_SMOOTHING: f64 = 0.15;

/// Part of a failed run that a run counts as that took too long for its caller. A tenth of all runs
/// are hedged, and most of these are only slow.
const OVERDUE_WEIGHT: f64 = 0.6;

/// Time after which the failure rate has decayed to about a third.
const FAILURE_RATE_DECAY: Duration = Duration::from_secs(4);

/// Failure rate above which requests that run at most once are refused, so that other owners are
/// asked first; two failures in a row exceed it. Idempotent requests are still admitted: they can
/// be retried and need the capacity.
const MAX_FAILURE_RATE: f64 = 0.25;

/// Maximum slowness that counts as normal speed, in percent of the upstream's usual slowness, which
/// is 100 for a warm upstream.
const MAX_NORMAL_SLOWNESS_PERCENT: u32 = 150;

/// Maximum slowness that is taken as usual for a cold upstream, in percent of the service time of a
/// warm one. If even the lowest value so far is higher, it was probably reported in a slow period.
const MAX_COLD_SLOWNESS_PERCENT: u32 = 400;

/// Share of the slots in use up to which a request that cannot wait any longer starts in a slow
/// period. It then holds its slot several times as long as usual, which costs other requests too
/// much if few slots are free.
const SLOW_START_SLOT_SHARE: f64 = 0.33;

/// Maximum age of a load report that tells the current slowness, which changes within about 150 ms.
pub const MAX_LOAD_AGE: Duration = Duration::from_millis(40);

/// Weight of the newest answer in the smoothed service time.
const SERVICE_TIME_SMOOTHING: f64 = 0.1;

/// Service time of a request that is assumed before the first answer.
const INITIAL_SERVICE_TIME: Duration = Duration::from_millis(200);

/// A load report of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamLoad {
    /// Requests that it is running.
    pub running: u32,
    /// Requests that wait for a slot there.
    pub waiting: u32,
    /// Maximum number of requests that it runs concurrently.
    pub slots: u32,
    /// Current service time, in percent of the usual one; `None` if the upstream doesn't tell.
    pub slowness: Option<u32>,
}

/// An owner's state, sent with each of its answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerState {
    /// Requests sent to the upstream and not answered yet.
    pub running: u32,
    /// Requests that wait at the owner.
    pub waiting: u32,
    /// Maximum number of requests that the upstream runs concurrently.
    pub slots: u32,
    /// Current service time, in percent of the usual one; 100 if unknown.
    pub slowness: u32,
    /// Expected time until a new request gets a slot.
    #[serde(rename = "expected")]
    pub expected_wait: Duration,
    /// Learnt capacity of the upstream.
    pub capacity: UpstreamCapacity,
    /// Requests that the upstream can start in a minute, by its slots, service time and limits.
    pub starts_per_minute: u32,
    /// Priority from which on requests have recently waited in vain, and none has started since.
    pub turned_away: Option<Priority>,
    /// Expected wait for a service that the request would call; zero if that has capacity.
    pub calls_wait: Duration,
}

impl OwnerState {
    /// Returns whether slots are free and yet a new request would have to wait, because the upstream
    /// accepts only so many requests per second.
    pub fn is_rate_bound(&self) -> bool {
        self.running + self.waiting < self.slots && !self.expected_wait.is_zero()
    }
}

/// Class and rank of a request; the lower value is the higher priority.
pub type Priority = (PriorityClass, u32);

/// A request that arrives at the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRequest {
    /// Priority within the class; 0 is the highest.
    pub rank: u32,
    /// Time at which its client stops waiting.
    pub deadline: Instant,
    /// Time until which it may wait here; now, if another owner is to be asked instead.
    pub wait_until: Instant,
    /// Whether it may start in a slow period.
    pub allow_slow: bool,
    /// Priority class; decides before the rank.
    pub class: PriorityClass,
    /// Whether it may run at most once, so that a lost answer loses the request.
    pub at_most_once: bool,
    /// Node that has sent it.
    pub sender: SenderId,
}

impl AdmissionRequest {
    fn priority(&self) -> Priority {
        (self.class, self.rank)
    }
}

/// Priority class of a request, the highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// A running request waits for its answer and fails without it.
    Nested,
    /// Its answer can come within the objective.
    Timely,
    /// Its answer will be late; it gets the capacity that the timely requests leave.
    Late,
    /// Another owner runs it already; only a warm upstream with less than half of its slots in use
    /// accepts it.
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

impl Ticket {
    /// Returns the rank of the request.
    pub fn rank(&self) -> u32 {
        self.rank
    }

    fn priority(&self) -> Priority {
        (self.class, self.rank)
    }
}

/// Decision on a request that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Send it to the upstream now.
    Run,
    /// It waits; [`AdmissionQueue::dequeue`] returns it later.
    Wait(Ticket),
    /// Return it to the ingress without running it.
    Refuse(ErrorKind),
}

/// Decision on a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dequeued {
    /// Send it to the upstream now.
    Run(Ticket),
    /// Return it to the ingress without running it.
    Refuse(Ticket, ErrorKind),
}

/// Requests per second that the configuration allows to a cold upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ColdRate {
    /// No configuration is known, or it does not contain the service.
    #[default]
    Unknown,
    /// The configuration sets no limit.
    Unlimited,
    /// The configuration sets this limit.
    Limited(f64),
}

impl ColdRate {
    fn per_second(self) -> Option<f64> {
        match self {
            Self::Unknown => Some(UNKNOWN_COLD_RATE),
            Self::Unlimited => None,
            Self::Limited(per_second) => Some(per_second),
        }
    }
}

/// Limit on the requests to a cold upstream.
#[derive(Clone, Debug)]
struct ColdRateLimit {
    bucket: TokenBucket,
    /// Minimum slowness seen since it is cold, in percent: all work of a cold upstream is slow.
    min_slowness: Option<u32>,
}

/// The admission queue of one upstream.
#[derive(Clone, Debug)]
pub struct AdmissionQueue {
    slots: u32,
    closed_reason: Option<ErrorKind>,
    /// Time until which the upstream is cold, whether its requests are limited or not.
    cold_until: Option<Instant>,
    cold: Option<ColdRateLimit>,
    limit: RequestLimit,
    running: u32,
    load: UpstreamLoad,
    load_at: Option<Instant>,
    /// Smoothed service time, in seconds.
    service_time: f64,
    waiting: BTreeMap<Ticket, AdmissionRequest>,
    /// Requests that have a slot and have not confirmed it; their clients may be gone by now.
    granted: BTreeSet<Ticket>,
    last_number: u64,
    /// Priorities that have recently found no slot, and when.
    starved: BTreeMap<Priority, Instant>,
    /// The highest priority that has recently waited in vain, and when.
    turned_away: Option<(Instant, Priority)>,
    ranks: RankShare,
    senders: SenderShare,
    /// Share of recent runs that failed.
    failures: DecayingShare,
    /// Share of recent requests that the upstream refused.
    refusals: DecayingShare,
    /// Share of recent runs that took too long for their callers.
    overdue: DecayingShare,
    /// Slots that are worth using when all are needed.
    useful_slots: u32,
    uncounted: UncountedRequests,
    slowness_estimate: SlownessEstimate,
}

/// A smoothed share of recent events. It decays, so that an upstream that was avoided is tried again.
#[derive(Clone, Copy, Debug, Default)]
struct DecayingShare {
    share: f64,
    recorded_at: Option<Instant>,
}

impl DecayingShare {
    /// Adds an event, which counts from 0 to 1.
    fn record(&mut self, result: f64, now: Instant) {
        let previous = self.at(now);
        self.share = previous + (result - previous) * FAILURE_RATE_SMOOTHING;
        self.recorded_at = Some(now);
    }

    fn at(&self, now: Instant) -> f64 {
        let age = self.recorded_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.share * (-age.as_secs_f64() / FAILURE_RATE_DECAY.as_secs_f64()).exp()
    }
}

impl Default for AdmissionQueue {
    fn default() -> Self {
        Self {
            slots: 0,
            closed_reason: Some(ErrorKind::NoUpstream),
            cold_until: None,
            cold: None,
            limit: RequestLimit::default(),
            running: 0,
            load: UpstreamLoad::default(),
            load_at: None,
            service_time: INITIAL_SERVICE_TIME.as_secs_f64(),
            waiting: BTreeMap::new(),
            granted: BTreeSet::new(),
            last_number: 0,
            starved: BTreeMap::new(),
            turned_away: None,
            ranks: RankShare::default(),
            senders: SenderShare::default(),
            failures: DecayingShare::default(),
            refusals: DecayingShare::default(),
            overdue: DecayingShare::default(),
            useful_slots: u32::MAX,
            uncounted: UncountedRequests::default(),
            slowness_estimate: SlownessEstimate::default(),
        }
    }
}

impl AdmissionQueue {
    /// Sets the upstream's slots, and the reason for which the queue refuses all requests, if any.
    pub fn set_capacity(&mut self, slots: u32, closed_reason: Option<ErrorKind>) {
        self.slots = slots;
        self.closed_reason = closed_reason;
    }

    /// Limits the rate of requests to an upstream that stays cold for `cold_for`.
    pub fn set_cold_limit(&mut self, cold_for: Duration, rate: ColdRate, now: Instant) {
        self.cold_until = (!cold_for.is_zero()).then(|| now + cold_for.min(MAX_COLD_TIME));
        self.set_cold_rate(rate, now);
    }

    /// Changes the rate of requests to the upstream while it is cold.
    pub fn set_cold_rate(&mut self, rate: ColdRate, now: Instant) {
        let is_cold = self.cold_until.is_some_and(|until| now < until);
        let Some(per_second) = rate.per_second().filter(|_| is_cold) else {
            self.cold = None;
            return;
        };
        let burst = (per_second * COLD_BURST_SECONDS).max(1.0);
        match &mut self.cold {
            Some(cold) => cold.bucket.set_rate(per_second, burst, now),
            None => {
                let bucket = TokenBucket::full(per_second, burst, now);
                self.cold = Some(ColdRateLimit { bucket, min_slowness: None });
            }
        }
    }

    /// Forgets the request limit of an earlier upstream; whether a new one has a limit is unknown
    /// until its first response.
    pub fn on_new_upstream(&mut self) {
        self.limit = RequestLimit::unknown();
    }

    /// Applies the request limit that a response names; `None` if it names none.
    pub fn on_request_limit(&mut self, per_second: Option<f64>, now: Instant) {
        self.limit.on_response(per_second, now);
    }

    /// Returns the requests per second that the upstream accepts, if it has named a limit.
    pub fn request_limit(&self) -> Option<f64> {
        self.limit.per_second()
    }

    /// Records a load report of the upstream.
    pub fn on_load(&mut self, load: UpstreamLoad, now: Instant) {
        self.load = load;
        self.load_at = Some(now);
        self.uncounted.on_report(load.running + load.waiting, self.running, now);
        if let Some(slowness) = load.slowness {
            self.slowness_estimate.on_report(slowness, now);
        }
        if let (Some(cold), Some(slowness)) = (&mut self.cold, load.slowness) {
            let lowest = cold.min_slowness.map_or(slowness, |lowest| lowest.min(slowness));
            cold.min_slowness = Some(lowest);
        }
    }

    /// Returns whether the load report is too old to tell the current slowness.
    pub fn is_load_stale(&self, now: Instant) -> bool {
        self.load_at.is_none_or(|at| now.duration_since(at) > MAX_LOAD_AGE)
    }

    /// Decides whether a request that arrives starts, waits or is refused.
    pub fn admit(&mut self, request: AdmissionRequest, now: Instant) -> Admission {
        if let Some(kind) = self.closed_reason {
            return Admission::Refuse(kind);
        }
        if request.deadline <= now {
            return Admission::Refuse(ErrorKind::DeadlineExceeded);
        }
        // Other owners are asked first; if they refuse it, too, it may start here.
        if request.at_most_once && !request.allow_slow && self.failures.at(now) > MAX_FAILURE_RATE {
            return Admission::Refuse(ErrorKind::Overloaded);
        }
        let may_wait = request.wait_until > now;
        let limit = match (request.class, may_wait) {
            (PriorityClass::Hedge, _) if self.cold.is_some() => {
                return Admission::Refuse(ErrorKind::Cold);
            }
            (PriorityClass::Hedge, _) if self.limit.per_second().is_some() => {
                return Admission::Refuse(ErrorKind::Overloaded);
            }
            (PriorityClass::Hedge, _) => self.slots / 2,
            (PriorityClass::Nested, _) => self.slots,
            (_, true) => self.usable_slots(),
            (_, false) => self.soft_limit(),
        };
        let priority = request.priority();
        let reserve = self.reserve(priority, now);
        let limit = limit.saturating_sub(reserve).max(1);
        let is_first = self.waiting.keys().next().is_none_or(|t| t.priority() > priority);
        if is_first && self.may_start(&request) && self.used(now) < limit {
            return match self.check_rates(reserve, now) {
                None => {
                    self.start(&request, false, now);
                    Admission::Run
                }
                Some(_) if may_wait => {
                    self.record_starved(priority, now);
                    self.enqueue(request)
                }
                Some(why) => Admission::Refuse(why),
            };
        }
        if may_wait && self.running >= self.slots {
            self.record_starved(priority, now);
        }
        let own = self.waiting.values().filter(|waiting| waiting.sender == request.sender);
        match may_wait && may_enqueue(own.count(), self.waiting.len(), self.slots) {
            true => self.enqueue(request),
            false => Admission::Refuse(self.capacity_refusal(now)),
        }
    }

    /// Returns the next decision on a waiting request. Must be called after each event and at least
    /// once in [`MAX_LOAD_AGE`], each time until it returns `None`.
    pub fn dequeue(&mut self, now: Instant) -> Option<Dequeued> {
        let expired = self.waiting.iter().find(|(_, request)| request.wait_until <= now);
        if let Some((&ticket, _)) = expired {
            self.waiting.remove(&ticket);
            if self.closed_reason.is_none() {
                self.record_turned_away(ticket.priority(), now);
            }
            let why = self.closed_reason.unwrap_or_else(|| self.capacity_refusal(now));
            return Some(Dequeued::Refuse(ticket, why));
        }
        let first = *self.waiting.first_key_value()?.0;
        if let Some(kind) = self.closed_reason {
            self.waiting.remove(&first);
            return Some(Dequeued::Refuse(first, kind));
        }
        let due = self.ranks.due().and_then(|priority| self.start_next(priority, true, now));
        let started = due.or_else(|| self.start_next(first.priority(), false, now));
        started.map(Dequeued::Run)
    }

    /// Starts the next waiting request of a priority, if there is one and it may start now; a
    /// request that is `due` takes what is reserved for others.
    fn start_next(&mut self, priority: Priority, due: bool, now: Instant) -> Option<Ticket> {
        let (ticket, request) = self.first_of(priority, now)?;
        let reserve = if due { 0 } else { self.reserve(priority, now) };
        let slots = match ticket.class {
            PriorityClass::Nested => self.slots,
            _ => self.usable_slots(),
        };
        let limit = slots.saturating_sub(reserve).max(1);
        let may_start = self.may_start(&request) && self.used(now) < limit;
        if !may_start || self.check_rates(reserve, now).is_some() {
            return None;
        }
        self.waiting.remove(&ticket);
        self.granted.insert(ticket);
        let turned_away = self.turned_away;
        self.start(&request, due, now);
        if due {
            // Its start is no sign of capacity for others of its priority.
            self.turned_away = turned_away;
        }
        Some(ticket)
    }

    /// Returns the next waiting request of a priority: of the senders that have one, the first of
    /// the sender whose requests have started least often of late.
    fn first_of(&self, priority: Priority, now: Instant) -> Option<(Ticket, AdmissionRequest)> {
        let (class, rank) = priority;
        let first = Ticket { class, rank, number: 0 };
        let last = Ticket { class, rank, number: u64::MAX };
        let starts = |request: &AdmissionRequest| self.senders.recent_starts(request.sender, now);
        let waiting = self.waiting.range(first..=last);
        // Of equal minima, the first is returned, which has waited longest.
        let next = waiting.min_by(|(_, one), (_, other)| starts(one).total_cmp(&starts(other)));
        next.map(|(ticket, request)| (*ticket, *request))
    }

    /// Removes and returns all waiting requests, for an upstream that cannot run them.
    pub fn take_waiting(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.waiting).into_keys().collect()
    }

    /// Records that a request has taken the slot that [`Self::dequeue`] gave it; from then on
    /// [`Self::release`] frees the slot.
    pub fn confirm(&mut self, ticket: Ticket) {
        self.granted.remove(&ticket);
    }

    /// Removes a request whose client has gone, and frees the slot that it got but did not confirm.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.waiting.remove(&ticket);
        if self.granted.remove(&ticket) {
            self.release(None);
        }
    }

    /// Frees a slot; `service_time` is known if the upstream answered.
    pub fn release(&mut self, service_time: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(service_time) = service_time {
            self.service_time +=
                (service_time.as_secs_f64() - self.service_time) * SERVICE_TIME_SMOOTHING;
        }
    }

    /// Records the end of a run; `failed` if no good answer came from the upstream.
    pub fn record_outcome(&mut self, failed: bool, now: Instant) {
        self.failures.record(if failed { 1.0 } else { 0.0 }, now);
        self.refusals.record(0.0, now);
        self.overdue.record(0.0, now);
    }

    /// Records a run that its caller gave up after longer than most answers take, or at its
    /// deadline. Most of these are slow rather than failed, so requests that run at most once are
    /// still admitted, but an upstream that hangs must not look idle.
    pub fn record_overdue(&mut self, now: Instant) {
        self.overdue.record(OVERDUE_WEIGHT, now);
    }

    /// Records that the upstream has refused a request. Requests that run at most once are not kept
    /// away from it, since a refused request has not run.
    pub fn record_refusal(&mut self, now: Instant) {
        self.refusals.record(1.0, now);
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the state for an ingress that asks on behalf of a request of this class and rank;
    /// only requests that start before it delay it.
    pub fn state(&self, class: PriorityClass, rank: u32, now: Instant) -> OwnerState {
        let before = self.waiting.keys().filter(|t| t.priority() <= (class, rank)).count();
        let is_recent = |at: Instant| now.saturating_duration_since(at) < TURNED_AWAY_DURATION;
        let turned_away = self.turned_away.filter(|(at, _)| is_recent(*at));
        let ahead = (self.used(now) as usize + before + 1) as f64;
        let slots = f64::from(self.usable_slots().max(1));
        let rounds = ((ahead - slots) / slots).max(0.0);
        let by_slots = Duration::from_secs_f64(self.service_time * rounds);
        let by_rate = self
            .cold
            .as_ref()
            .map_or(Duration::ZERO, |cold| cold.bucket.time_until(before as f64 + 1.0, now));
        let by_limit = self.limit.expected_wait(before, now);
        OwnerState {
            running: self.running,
            waiting: self.waiting.len() as u32,
            slots: self.slots,
            // Without a recent report, a slow period that it told is likely to be over.
            slowness: self.slowness_estimate.expected(now).round() as u32,
            expected_wait: by_slots.max(by_rate).max(by_limit),
            capacity: UpstreamCapacity { free: self.free(class, now), ..self.capacity(now) },
            starts_per_minute: (self.start_rate() * 60.0) as u32,
            turned_away: turned_away.map(|(_, priority)| priority),
            calls_wait: Duration::ZERO,
        }
    }

    /// Returns what is learnt of the upstream's capacity.
    pub fn capacity(&self, now: Instant) -> UpstreamCapacity {
        let bad = (self.failures.at(now) + self.overdue.at(now)).max(self.refusals.at(now));
        let failures = (bad.min(1.0) * 100.0).round() as u8;
        UpstreamCapacity {
            failures,
            free: self.free(PriorityClass::Timely, now),
            usual_slowness: self.slowness_estimate.usual().round() as u16,
            cold_ms: self.cold_until.map_or(0, |until| {
                until.saturating_duration_since(now).as_millis().min(u16::MAX.into()) as u16
            }),
        }
    }

    /// Sets how many of the slots are worth using when all are needed.
    pub fn set_useful_slots(&mut self, slots: u32) {
        self.useful_slots = slots;
    }

    /// Returns how many of the slots are worth using when all are needed.
    pub fn useful_slots(&self) -> u32 {
        self.useful_slots
    }

    /// Returns whether the upstream is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|until| now < until)
    }

    /// Returns the number of requests of a class that could start at once at normal speed, if the
    /// queue is open: an ingress takes 0 for a lack of capacity, for which it may wait here.
    fn free(&self, class: PriorityClass, now: Instant) -> u16 {
        if !self.waiting.is_empty() {
            return 0;
        }
        let limit = if class == PriorityClass::Nested { self.slots } else { self.soft_limit() };
        let free = f64::from(limit.saturating_sub(self.used(now)));
        let cold = self.cold.as_ref().map_or(f64::MAX, |cold| cold.bucket.available(now));
        free.min(cold).min(self.limit.available(now)) as u16
    }

    /// Returns the slots that are in use, also by requests that only the upstream counts.
    fn used(&self, now: Instant) -> u32 {
        self.running + self.uncounted.count(now)
    }

    fn usable_slots(&self) -> u32 {
        self.slots.min(self.useful_slots.max(1))
    }

    /// Returns the requests per second that can start, by the slots and the limits on the rate.
    fn start_rate(&self) -> f64 {
        let cold = self.cold.as_ref().map(|cold| cold.bucket.per_second());
        let limits = [cold, self.limit.per_second()];
        limits.into_iter().flatten().fold(self.full_rate(), f64::min)
    }

    /// Returns the requests per second that fill all slots, by the recent service times.
    pub fn full_rate(&self) -> f64 {
        f64::from(self.slots) / self.service_time.max(0.001)
    }

    /// Returns the current service time, in percent of the usual one.
    pub fn slowness(&self) -> u32 {
        self.load.slowness.unwrap_or(100)
    }

    /// Returns the slots that a request leaves free: one for each higher priority of which a request
    /// has recently found none. Long runs of low priority would otherwise hold all slots.
    fn reserve(&self, priority: Priority, now: Instant) -> u32 {
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < RESERVE_DURATION;
        let higher = self.starved.range(..priority).filter(|(_, at)| is_recent(at));
        (higher.count() as u32 * RESERVE_SLOTS).min(MAX_RESERVE_SLOTS)
    }

    /// Records that a request has waited in vain.
    fn record_turned_away(&mut self, priority: Priority, now: Instant) {
        let replace = self.turned_away.is_none_or(|(at, highest)| {
            highest >= priority || now.saturating_duration_since(at) >= TURNED_AWAY_DURATION
        });
        if replace {
            self.turned_away = Some((now, priority));
        }
    }

    /// Records that a request has found no slot.
    fn record_starved(&mut self, priority: Priority, now: Instant) {
        self.starved.retain(|_, at| now.saturating_duration_since(*at) < RESERVE_DURATION);
        self.starved.insert(priority, now);
    }

    /// Returns the slots up to which requests start while other owners may have capacity.
    pub fn soft_limit(&self) -> u32 {
        ((f64::from(self.slots) * SOFT_LIMIT_SHARE) as u32).max(1)
    }

    /// Returns whether a request may start now, given a free slot.
    fn may_start(&self, request: &AdmissionRequest) -> bool {
        let slots_scarce = f64::from(self.running) >= f64::from(self.slots) * SLOW_START_SLOT_SHARE;
        let forced =
            request.allow_slow && (!slots_scarce || request.class == PriorityClass::Nested);
        forced || self.is_normal_speed()
    }

    /// Returns whether work takes no longer now than usual; for a cold upstream, than usual while
    /// it is cold.
    fn is_normal_speed(&self) -> bool {
        let usual = self.cold.as_ref().and_then(|cold| cold.min_slowness);
        let usual = usual.unwrap_or(100).clamp(100, MAX_COLD_SLOWNESS_PERCENT);
        self.load
            .slowness
            .is_none_or(|percent| percent <= usual * MAX_NORMAL_SLOWNESS_PERCENT / 100)
    }

    /// Records the start of a request that [`Self::check_rates`] allows.
    fn start(&mut self, request: &AdmissionRequest, due: bool, now: Instant) {
        let priority = request.priority();
        if let Some((at, highest)) = self.turned_away
            && priority >= highest
        {
            // There is capacity for some requests of the priority, if not for lower ones.
            let next = (highest.0, highest.1.saturating_add(1));
            self.turned_away = (priority == highest).then_some((at, next));
        }
        let waiting = self.waiting.keys().map(Ticket::priority).collect();
        self.ranks.on_start(priority, due, &waiting);
        self.senders.on_start(request.sender, now);
        self.running += 1;
        self.limit.on_start();
        if let Some(cold) = &mut self.cold {
            cold.bucket.take();
        }
    }

    fn enqueue(&mut self, request: AdmissionRequest) -> Admission {
        self.last_number += 1;
        let ticket = Ticket { class: request.class, rank: request.rank, number: self.last_number };
        self.waiting.insert(ticket, request);
        Admission::Wait(ticket)
    }

    /// Returns the reason for a refusal for want of capacity. Ingresses take a refusal as overloaded
    /// with free slots for a sign of a request limit.
    fn capacity_refusal(&mut self, now: Instant) -> ErrorKind {
        let at_cold_limit = self.cold.as_mut().is_some_and(|cold| !cold.bucket.has_token(now));
        if at_cold_limit { ErrorKind::Cold } else { ErrorKind::Overloaded }
    }

    /// Returns why no request may start now although a slot is free, if so: an upstream that is
    /// cold or has named a limit accepts only so many requests per second.
    /// A cold upstream keeps `reserve` requests of its rate for those of higher priority.
    fn check_rates(&mut self, reserve: u32, now: Instant) -> Option<ErrorKind> {
        if self.cold_until.is_some_and(|until| now >= until) {
            self.cold_until = None;
            self.cold = None;
        }
        let tokens = f64::from(1 + reserve);
        if self.cold.as_mut().is_some_and(|cold| !cold.bucket.has_tokens(tokens, now)) {
            return Some(ErrorKind::Cold);
        }
        (!self.limit.allows(self.running, now)).then_some(ErrorKind::Overloaded)
    }
}
