//! Adaptation of the limit to latency and failures.

use std::time::Duration;

use super::Adaptation;

/// Fewest results in one window. The mean of 16 exponentially distributed service times stays
/// under twice its expectation with a probability of over 99.9%.
const MIN_WINDOW_RESULTS: u32 = 16;

/// Consecutive failures that end a window at once.
const MAX_WINDOW_FAILURES_IN_ROW: u32 = 4;

/// Mean latency of a window, relative to the baseline, above which the limit decreases.
const LATENCY_RISE_RATIO: f64 = 2.0;

/// Mean latency of a window, relative to the baseline, above which it counts as a jump.
const LATENCY_JUMP_RATIO: f64 = 3.0;

/// Share of failures above which the limit decreases.
const FAILURE_RISE_SHARE: f64 = 0.1;

/// Share of failures above which a window counts as a jump.
const FAILURE_JUMP_SHARE: f64 = 0.5;

/// Factor by which the limit decreases.
const DECREASE_FACTOR: f64 = 0.7;

/// Results per slot of the limit before the limit may grow.
const RESULTS_PER_SLOT: u32 = 4;

/// Most consecutive good windows that are required before the limit grows again after failures.
const MAX_WINDOWS_BEFORE_GROWTH: u32 = 8;

/// Failures in the first window after the limit has grown that revert the growth.
///
/// A cold upstream fails requests beyond its capacity, and a client may lose each of them, so a
/// limit that is too high must not last for a whole window.
const REVERT_FAILURES: u32 = 2;

/// Windows over which the baseline follows latency in normal operation. The baseline must change
/// much more slowly than the limit, so that a slowdown is compared with latency before it.
const BASELINE_WINDOWS: f64 = 100.0;

/// Windows over which the baseline follows latency at the cold limit, where latency cannot be due
/// to the load that the limiter admits.
const COLD_BASELINE_WINDOWS: f64 = 2.0;

/// How the results of a finished window compare with the baseline.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Good,
    Worse,
    Jump,
}

/// A concurrency limit that follows latency and failures.
#[derive(Clone, Debug)]
pub(super) struct AdaptiveLimit {
    adaptation: Adaptation,
    cold_limit: f64,
    limit: f64,
    /// Whether the upstream was found cold without an announcement.
    detected_cold: bool,
    /// Mean latency that windows are compared with, in seconds.
    baseline: Option<f64>,
    /// Most requests in flight in a good window without failures.
    good_peak: u32,
    /// Consecutive good windows required before the limit grows.
    windows_before_growth: u32,
    good_windows: u32,
    /// Whether the limit grew after the last window, so that the current one tests it.
    testing_growth: bool,
    window: Window,
}

/// Results since the last decision on the limit.
#[derive(Clone, Debug, Default)]
struct Window {
    successes: u32,
    failures: u32,
    failures_in_row: u32,
    /// Sum over the successes, in seconds.
    latency_sum: f64,
    /// Most requests in flight.
    peak: u32,
}

impl AdaptiveLimit {
    pub fn new(adaptation: Adaptation, cold_limit: u32) -> Self {
        let cold_limit = f64::from(cold_limit.max(1));
        Self {
            adaptation,
            cold_limit,
            limit: cold_limit,
            detected_cold: false,
            baseline: None,
            good_peak: 0,
            windows_before_growth: 1,
            good_windows: 0,
            testing_growth: false,
            window: Window::default(),
        }
    }

    /// Resets everything, for a new instance or one that announces that it is cold.
    pub fn restart(&mut self) {
        *self = Self::new(self.adaptation, self.cold_limit as u32);
    }

    /// Takes the baseline from the next window.
    pub fn reset_baseline(&mut self) {
        self.baseline = None;
        self.window = Window::default();
    }

    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    pub fn is_cold(&self) -> bool {
        self.detected_cold
    }

    pub fn on_start(&mut self, in_flight: u32) {
        self.window.peak = self.window.peak.max(in_flight);
    }

    pub fn on_success(&mut self, latency: Duration, state: LimiterState) {
        self.window.successes += 1;
        self.window.failures_in_row = 0;
        self.window.latency_sum += latency.as_secs_f64();
        self.close_window_if_due(state);
    }

    pub fn on_failure(&mut self, state: LimiterState) {
        self.window.failures += 1;
        self.window.failures_in_row += 1;
        if self.testing_growth && self.window.failures >= REVERT_FAILURES {
            self.revert_growth();
        } else {
            self.close_window_if_due(state);
        }
    }

    fn window_results(&self) -> u32 {
        MIN_WINDOW_RESULTS.max(RESULTS_PER_SLOT * self.limit as u32)
    }

    fn close_window_if_due(&mut self, state: LimiterState) {
        let results = self.window.successes + self.window.failures;
        let failing = self.window.failures_in_row >= MAX_WINDOW_FAILURES_IN_ROW;
        if results < self.window_results() && !failing {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.peak = state.in_flight;
        let failure_share = f64::from(window.failures) / f64::from(results);
        let mean = window.latency_sum / f64::from(window.successes.max(1));
        let latency_ratio = match self.baseline {
            Some(baseline) if window.successes > 0 => mean / baseline,
            _ => 1.0,
        };
        let verdict = verdict(latency_ratio, failure_share, failing);
        match verdict {
            Verdict::Good => self.on_good(&window, latency_ratio, state),
            Verdict::Jump if window.peak <= self.good_peak || self.detected_cold => self.set_cold(),
            Verdict::Worse | Verdict::Jump => self.decrease(latency_ratio, &window),
        }
        self.update_baseline(mean, &window);
    }

    fn on_good(&mut self, window: &Window, latency_ratio: f64, state: LimiterState) {
        if state.announced_cold {
            return;
        }
        if window.failures == 0 {
            self.good_peak = self.good_peak.max(window.peak);
        }
        if self.testing_growth {
            self.testing_growth = false;
            self.windows_before_growth = (self.windows_before_growth / 2).max(1);
        }
        self.good_windows += 1;
        if self.good_windows < self.windows_before_growth {
            return;
        }
        self.good_windows = 0;
        self.detected_cold = false;
        self.grow(window, latency_ratio, state);
    }

    fn grow(&mut self, window: &Window, latency_ratio: f64, state: LimiterState) {
        let limit_before = self.limit();
        let limit_nearly_reached = window.peak + 1 >= self.limit as u32;
        match self.adaptation {
            Adaptation::Aimd if limit_nearly_reached => self.limit += 1.0,
            Adaptation::Gradient if limit_nearly_reached => {
                let gradient = (1.5 / latency_ratio.max(0.1)).clamp(0.5, 1.0);
                self.limit = self.limit * gradient + self.limit.sqrt();
            }
            _ => {}
        }
        self.limit = self.limit.min(f64::from(state.slots)).max(1.0);
        if self.limit >= f64::from(state.slots) {
            self.windows_before_growth = 1;
        }
        self.testing_growth = self.limit() > limit_before;
    }

    fn revert_growth(&mut self) {
        self.limit = (self.limit - 1.0).max(1.0);
        self.good_peak = self.good_peak.min(self.limit());
        self.delay_growth();
        self.window = Window::default();
    }

    fn delay_growth(&mut self) {
        self.testing_growth = false;
        self.good_windows = 0;
        self.windows_before_growth =
            (self.windows_before_growth * 2).min(MAX_WINDOWS_BEFORE_GROWTH);
    }

    fn decrease(&mut self, latency_ratio: f64, window: &Window) {
        // This peak is no longer known to be good; it is tried again after more good windows.
        self.good_peak = self.good_peak.min(window.peak.saturating_sub(1));
        self.delay_growth();
        let factor = match self.adaptation {
            Adaptation::Aimd => DECREASE_FACTOR,
            Adaptation::Gradient => (1.5 / latency_ratio.max(0.1)).clamp(0.5, DECREASE_FACTOR),
        };
        self.limit = (self.limit * factor).max(1.0);
    }

    fn set_cold(&mut self) {
        let windows_before_growth = self.windows_before_growth;
        self.delay_growth();
        if self.detected_cold {
            self.windows_before_growth = windows_before_growth;
        }
        self.detected_cold = true;
        self.good_peak = 0;
        self.limit = self.limit.min(self.cold_limit);
    }

    fn update_baseline(&mut self, mean: f64, window: &Window) {
        if window.successes == 0 {
            return;
        }
        let windows = if self.detected_cold { COLD_BASELINE_WINDOWS } else { BASELINE_WINDOWS };
        match &mut self.baseline {
            Some(baseline) => *baseline += (mean - *baseline) / windows,
            None => self.baseline = Some(mean),
        }
    }
}

/// State of the limiter when a request ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimiterState {
    pub in_flight: u32,
    pub slots: u32,
    pub announced_cold: bool,
}

fn verdict(latency_ratio: f64, failure_share: f64, failing: bool) -> Verdict {
    if failing || failure_share > FAILURE_JUMP_SHARE || latency_ratio > LATENCY_JUMP_RATIO {
        Verdict::Jump
    } else if failure_share > FAILURE_RISE_SHARE || latency_ratio > LATENCY_RISE_RATIO {
        Verdict::Worse
    } else {
        Verdict::Good
    }
}
