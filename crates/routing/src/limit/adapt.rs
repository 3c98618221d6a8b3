//! Adaptation of the limit to latency and failures.

use std::time::Duration;

use super::Adaptation;

/// Results in one window. The mean of 16 exponentially distributed service times stays under
/// twice its expectation with a probability of over 99.9%.
const WINDOW_RESULTS: u32 = 16;

/// Failures without a success in between that end a window at once.
const WINDOW_FAILURES: u32 = 4;

/// Mean latency of a window, relative to the baseline, from which the limit decreases.
const LATENCY_RISE: f64 = 2.0;

/// Mean latency of a window, relative to the baseline, that counts as a jump.
const LATENCY_JUMP: f64 = 3.0;

/// Share of failures from which the limit decreases.
const FAILURE_RISE: f64 = 0.1;

/// Share of failures that counts as a jump.
const FAILURE_JUMP: f64 = 0.5;

/// Multiplicative decrease of the limit.
const DECREASE: f64 = 0.7;

/// Successes for each slot of the limit before the limit grows by one.
const RAMP_RESULTS: u32 = 4;

/// Most good windows in a row before the limit grows again after failures at a higher limit.
const CAUTION_MAX: u32 = 8;

/// Failures in the first window after the limit has grown that take the growth back.
///
/// A cold upstream fails above what it bears, and each failure at the edge may be lost to its
/// client, so the edge is not held for a whole window.
const TRIAL_FAILURES: u32 = 2;

/// Windows over which the baseline follows latency in normal operation. A slowdown is judged
/// against the time before it, so the baseline moves much slower than the decision.
const BASELINE_WINDOWS: f64 = 100.0;

/// Windows over which the baseline follows latency at the cold limit, where load of our own
/// cannot be the cause of the latency.
const COLD_BASELINE_WINDOWS: f64 = 2.0;

/// What a finished window says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Verdict {
    Good,
    Worse,
    Jump,
}

/// Limit and what it is derived from.
#[derive(Clone, Debug)]
pub(super) struct Adaptive {
    adaptation: Adaptation,
    cold_limit: f64,
    limit: f64,
    /// The cold state was detected and not announced.
    detected_cold: bool,
    baseline: Option<f64>,
    /// Largest number in flight during a good window.
    proven: u32,
    /// Good windows in a row before the limit grows.
    caution: u32,
    good_windows: u32,
    /// The limit has grown in the last window and is not confirmed yet.
    trial: bool,
    window: Window,
}

#[derive(Clone, Debug, Default)]
struct Window {
    successes: u32,
    failures: u32,
    failures_in_row: u32,
    latency_sum: f64,
    peak: u32,
}

impl Adaptive {
    pub fn new(adaptation: Adaptation, cold_limit: u32) -> Self {
        let cold_limit = f64::from(cold_limit.max(1));
        Self {
            adaptation,
            cold_limit,
            limit: cold_limit,
            detected_cold: false,
            baseline: None,
            proven: 0,
            caution: 1,
            good_windows: 0,
            trial: false,
            window: Window::default(),
        }
    }

    /// Starts over for a new instance, or one that says that it is cold.
    pub fn restart(&mut self) {
        *self = Self::new(self.adaptation, self.cold_limit as u32);
    }

    /// Learns the baseline anew from the next window.
    pub fn forget_baseline(&mut self) {
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

    pub fn on_success(&mut self, latency: Duration, held: Hold) {
        self.window.successes += 1;
        self.window.failures_in_row = 0;
        self.window.latency_sum += latency.as_secs_f64();
        self.close_window(held);
    }

    pub fn on_failure(&mut self, held: Hold) {
        self.window.failures += 1;
        self.window.failures_in_row += 1;
        if self.trial && self.window.failures >= TRIAL_FAILURES {
            self.take_back();
        } else {
            self.close_window(held);
        }
    }

    fn window_results(&self) -> u32 {
        WINDOW_RESULTS.max(RAMP_RESULTS * self.limit as u32)
    }

    fn close_window(&mut self, held: Hold) {
        let results = self.window.successes + self.window.failures;
        let failing = self.window.failures_in_row >= WINDOW_FAILURES;
        if results < self.window_results() && !failing {
            return;
        }
        let window = std::mem::take(&mut self.window);
        self.window.peak = held.in_flight;
        let failure_share = f64::from(window.failures) / f64::from(results);
        let mean = window.latency_sum / f64::from(window.successes.max(1));
        let ratio = match self.baseline {
            Some(baseline) if window.successes > 0 => mean / baseline,
            _ => 1.0,
        };
        let verdict = verdict(ratio, failure_share, failing);
        match verdict {
            Verdict::Good => self.on_good(&window, ratio, held),
            Verdict::Jump if window.peak <= self.proven || self.detected_cold => self.turn_cold(),
            Verdict::Worse | Verdict::Jump => self.decrease(ratio, &window),
        }
        self.learn(mean, &window);
    }

    fn on_good(&mut self, window: &Window, ratio: f64, held: Hold) {
        if held.announced_cold {
            return;
        }
        if window.failures == 0 {
            self.proven = self.proven.max(window.peak);
        }
        if self.trial {
            self.trial = false;
            self.caution = (self.caution / 2).max(1);
        }
        self.good_windows += 1;
        if self.good_windows < self.caution {
            return;
        }
        self.good_windows = 0;
        self.detected_cold = false;
        self.grow(window, ratio, held);
    }

    fn grow(&mut self, window: &Window, ratio: f64, held: Hold) {
        let before = self.limit();
        let used = window.peak + 1 >= self.limit as u32;
        match self.adaptation {
            Adaptation::Aimd if used => self.limit += 1.0,
            Adaptation::Gradient if used => {
                let gradient = (1.5 / ratio.max(0.1)).clamp(0.5, 1.0);
                self.limit = self.limit * gradient + self.limit.sqrt();
            }
            _ => {}
        }
        self.limit = self.limit.min(f64::from(held.slots)).max(1.0);
        if self.limit >= f64::from(held.slots) {
            self.caution = 1;
        }
        self.trial = self.limit() > before;
    }

    /// Takes the latest growth back.
    fn take_back(&mut self) {
        self.limit = (self.limit - 1.0).max(1.0);
        self.proven = self.proven.min(self.limit());
        self.be_careful();
        self.window = Window::default();
    }

    fn be_careful(&mut self) {
        self.trial = false;
        self.good_windows = 0;
        self.caution = (self.caution * 2).min(CAUTION_MAX);
    }

    fn decrease(&mut self, ratio: f64, window: &Window) {
        // What fails now is no longer proven, and is tried again with more care.
        self.proven = self.proven.min(window.peak.saturating_sub(1));
        self.be_careful();
        let factor = match self.adaptation {
            Adaptation::Aimd => DECREASE,
            Adaptation::Gradient => (1.5 / ratio.max(0.1)).clamp(0.5, DECREASE),
        };
        self.limit = (self.limit * factor).max(1.0);
    }

    fn turn_cold(&mut self) {
        let caution = self.caution;
        self.be_careful();
        if self.detected_cold {
            self.caution = caution;
        }
        self.detected_cold = true;
        self.proven = 0;
        self.limit = self.limit.min(self.cold_limit);
    }

    fn learn(&mut self, mean: f64, window: &Window) {
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

/// What the limiter knows when a request ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct Hold {
    pub in_flight: u32,
    pub slots: u32,
    pub announced_cold: bool,
}

fn verdict(ratio: f64, failure_share: f64, failing: bool) -> Verdict {
    if failing || failure_share > FAILURE_JUMP || ratio > LATENCY_JUMP {
        Verdict::Jump
    } else if failure_share > FAILURE_RISE || ratio > LATENCY_RISE {
        Verdict::Worse
    } else {
        Verdict::Good
    }
}
