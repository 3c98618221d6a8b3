//! What an owner learns of the capacity of its upstream and tells other nodes with its state.
//!
//! The number of slots does not tell how much work an upstream completes. One that fails its runs at
//! once frees its slots at once and so looks fast and idle. One that becomes slow when it is nearly
//! full may complete less with all slots in use than with fewer. One whose callers have left still
//! runs their requests, which its owner no longer counts.
//!
//! The share of failed runs is part of the state and has a cost wherever owners are ordered. The
//! slow-down is measured, and the last slots stay free if they cost more than they add. Requests
//! that the upstream reports beyond those that its owner counts use up slots. This handles a
//! service of unequal upstreams under up to a few times the load that it can serve.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

/// Share of failed runs from which an upstream counts as failing, in percent.
const FAILING_FROM_PERCENT: u8 = 25;

/// Share of failed runs below which a failing upstream counts as recovered, in percent.
const RECOVERED_BELOW_PERCENT: u8 = 8;

/// Share of a run's time above the soft limit up to which the run tells the usual time of its route.
const MAX_USUAL_SHARE: f64 = 0.2;

/// Share of a run's time above the soft limit from which the run tells the slow-down there.
const MIN_FULL_SHARE: f64 = 0.6;

/// Weight of the newest run in the smoothed times.
const TIME_SMOOTHING: f64 = 0.05;

/// Runs above the soft limit before their slow-down is used.
const MIN_SAMPLES: u32 = 20;

/// Time without a run above the soft limit after which the slow-down is measured anew.
const RELEARN_AFTER: Duration = Duration::from_secs(30);

/// Longest and shortest run, as a multiple of the usual time, that a single sample counts as.
const RATIO_BOUNDS: (f64, f64) = (0.2, 5.0);

/// Maximum number of routes whose usual time is kept.
const MAX_ROUTES: usize = 200;

/// Age of a load report up to which the requests that only the upstream counts use up slots: about
/// the time of a run.
const UNCOUNTED_LIFE: Duration = Duration::from_millis(200);

/// Time constant of the slowness over the last seconds: several slow periods.
const USUAL_SLOWNESS_TIME: Duration = Duration::from_secs(2);

/// Usual length of a slow period.
const SLOW_PERIOD: Duration = Duration::from_millis(150);

/// Returns the weight that remains of what was learnt `age` ago.
pub(crate) fn decay(age: Duration, time_constant: Duration) -> f64 {
    (-age.as_secs_f64() / time_constant.as_secs_f64()).exp()
}

/// Learnt capacity of an upstream, sent with the state of its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UpstreamCapacity {
    /// Share of the recent requests that the upstream failed or refused, in percent.
    pub failures: u8,
    /// Requests that could start at once at normal speed.
    pub free: u16,
    /// Service time over the last seconds, in percent of that of a warm upstream at normal speed.
    pub usual_slowness: u16,
    /// Time for which the upstream will still be cold, in milliseconds; 0 if it is warm.
    pub cold_ms: u16,
}

impl UpstreamCapacity {
    /// Capacity of an upstream of which nothing has been learnt.
    pub const UNKNOWN: Self = Self { failures: 0, free: 0, usual_slowness: 100, cold_ms: 0 };
}

/// Whether an upstream fails many of its runs, with hysteresis, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailingState {
    failing: bool,
}

impl FailingState {
    /// Applies the current share of failed runs, in percent; returns whether the upstream is
    /// failing if that has changed.
    pub fn update(&mut self, failures: u8) -> Option<bool> {
        let failing = match self.failing {
            true => failures >= RECOVERED_BELOW_PERCENT,
            false => failures >= FAILING_FROM_PERCENT,
        };
        let changed = failing != self.failing;
        self.failing = failing;
        changed.then_some(failing)
    }
}

/// The slowness of an upstream, as reported now and over the last seconds.
#[derive(Clone, Copy, Debug)]
pub struct SlownessEstimate {
    /// Last reported slowness, in percent, and when.
    last: Option<(f64, Instant)>,
    usual: f64,
}

impl Default for SlownessEstimate {
    fn default() -> Self {
        Self { last: None, usual: 100.0 }
    }
}

impl SlownessEstimate {
    /// Records a reported slowness, in percent.
    pub fn on_report(&mut self, percent: u32, now: Instant) {
        if let Some((last, at)) = self.last {
            let weight = 1.0 - decay(now.saturating_duration_since(at), USUAL_SLOWNESS_TIME);
            self.usual += (last - self.usual) * weight;
        }
        self.last = Some((f64::from(percent), now));
    }

    /// Returns the slowness over the last seconds, in percent.
    pub fn usual(&self) -> f64 {
        self.usual
    }

    /// Returns the slowness to expect now, in percent: the last report until it is too old.
    pub fn expected(&self, now: Instant) -> f64 {
        let Some((last, at)) = self.last else { return 100.0 };
        let age = now.saturating_duration_since(at);
        self.usual + (last - self.usual) * decay(age, SLOW_PERIOD)
    }
}

/// Requests that the upstream reports beyond those that the owner counts, such as those whose
/// callers have left.
#[derive(Clone, Copy, Debug, Default)]
pub struct UncountedRequests {
    /// The excess in the last report and in the one before. A single report may count a request whose
    /// response is on its way, so the lesser of both counts.
    excess: (u32, u32),
    at: Option<Instant>,
}

impl UncountedRequests {
    /// Records that the upstream reports `reported` requests while the owner counts `counted`.
    pub fn on_report(&mut self, reported: u32, counted: u32, now: Instant) {
        self.excess = (reported.saturating_sub(counted), self.excess.0);
        self.at = Some(now);
    }

    /// Returns their number.
    pub fn count(&self, now: Instant) -> u32 {
        let is_recent =
            self.at.is_some_and(|at| now.saturating_duration_since(at) <= UNCOUNTED_LIFE);
        if is_recent { self.excess.0.min(self.excess.1) } else { 0 }
    }
}

/// Time that an upstream has spent above its soft limit, at the start of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunStart {
    at: Instant,
    above: Duration,
}

/// Learns whether the slots above the soft limit add to the work that an upstream completes.
///
/// With slots in use above the limit, runs may take longer. If all slots together then complete less
/// than those up to the limit do, the others are better left free.
#[derive(Clone, Debug, Default)]
pub struct KneeEstimate {
    soft_limit: u32,
    above: Duration,
    above_since: Option<Instant>,
    /// Smoothed times of runs below the limit by route, in seconds.
    usual: HashMap<Arc<str>, f64>,
    /// Smoothed time of runs above the limit, as a multiple of the usual time.
    slow_down: f64,
    samples: u32,
    sampled_at: Option<Instant>,
}

impl KneeEstimate {
    /// Records the number of running requests after a change.
    pub fn on_running(&mut self, running: u32, soft_limit: u32, now: Instant) {
        if self.soft_limit != soft_limit {
            *self = Self { soft_limit, ..Self::default() };
        }
        match (running > soft_limit, self.above_since) {
            (true, None) => self.above_since = Some(now),
            (false, Some(since)) => {
                self.above += now.saturating_duration_since(since);
                self.above_since = None;
            }
            _ => {}
        }
    }

    /// Returns what [`Self::on_run`] needs of the start of a run.
    pub fn start(&self, now: Instant) -> RunStart {
        RunStart { at: now, above: self.time_above(now) }
    }

    /// Records a run of a route that ended well, began outside slow periods and waited for no other
    /// service.
    pub fn on_run(&mut self, route: &Arc<str>, start: RunStart, now: Instant) {
        let time = now.saturating_duration_since(start.at).as_secs_f64();
        if time <= 0.0 {
            return;
        }
        let above = self.time_above(now).saturating_sub(start.above).as_secs_f64() / time;
        if above <= MAX_USUAL_SHARE {
            if let Some(usual) = self.usual.get_mut(route) {
                *usual += (time - *usual) * TIME_SMOOTHING;
            } else if self.usual.len() < MAX_ROUTES {
                self.usual.insert(route.clone(), time);
            }
        } else if above >= MIN_FULL_SHARE
            && let Some(usual) = self.usual.get(route)
        {
            let ratio = (time / usual.max(0.001)).clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
            self.samples += 1;
            // The mean of the first samples, then smoothed.
            let weight = TIME_SMOOTHING.max(1.0 / f64::from(self.samples));
            self.slow_down += (ratio - self.slow_down) * weight;
            self.sampled_at = Some(now);
        }
    }

    /// Returns the slots to use of `slots`: those up to the soft limit if all of them complete no
    /// more work.
    pub fn useful_slots(&mut self, slots: u32, now: Instant) -> u32 {
        let is_old =
            self.sampled_at.is_some_and(|at| now.saturating_duration_since(at) >= RELEARN_AFTER);
        if is_old {
            self.samples = 0;
            self.slow_down = 0.0;
            self.sampled_at = None;
        }
        if self.samples < MIN_SAMPLES || self.soft_limit == 0 {
            return slots;
        }
        let full_work = f64::from(slots) / self.slow_down.max(RATIO_BOUNDS.0);
        if full_work < f64::from(self.soft_limit) { self.soft_limit.min(slots) } else { slots }
    }

    fn time_above(&self, now: Instant) -> Duration {
        let current = self.above_since.map(|since| now.saturating_duration_since(since));
        self.above + current.unwrap_or_default()
    }
}
