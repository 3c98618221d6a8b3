//! Counts of one request kind in a ring of time slices.

use std::time::{Duration, Instant};

use oleandertiller_model::Outcome;

use crate::{
    cause::Cause,
    report::{SliceReport, WindowReport},
};

/// Length of one slice.
pub const SLICE: Duration = Duration::from_secs(10);

/// Slices kept: six hours, the longest window of the report.
const SLICES: usize = 6 * 3_600 / 10;

/// Windows of the report: a fast and a slow pair, as is usual for burn-rate alerts.
pub const REPORT_WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1_800),
    Duration::from_secs(3_600),
    Duration::from_secs(21_600),
];

/// Number of recent slices that a report lists one by one, for plots: one hour.
const LISTED_SLICES: u64 = 360;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    total: u32,
    bad: [u32; Cause::ALL.len()],
}

/// Counts of one request kind at one node.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    slices: Vec<Slice>,
}

impl Recorder {
    /// Creates an empty recorder.
    pub fn new(start: Instant) -> Self {
        Self { start, slices: Vec::new() }
    }

    /// Counts a request that ended at `now`.
    pub fn record(&mut self, outcome: Outcome, status: u16, now: Instant) {
        let number = self.number(now);
        let slice = self.slice(number);
        slice.total = slice.total.saturating_add(1);
        if let Some(cause) = Cause::of(outcome, status) {
            let bad = &mut slice.bad[cause.index()];
            *bad = bad.saturating_add(1);
        }
    }

    fn number(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_secs() / SLICE.as_secs()
    }

    /// Returns the slice of that number. The ring grows while the node is young, so that kinds
    /// without traffic cost next to nothing.
    fn slice(&mut self, number: u64) -> &mut Slice {
        let index = (number % SLICES as u64) as usize;
        if index >= self.slices.len() {
            self.slices.resize(index + 1, Slice::default());
        }
        let slice = &mut self.slices[index];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    /// Sums the slices of the last `window`; a slice counts as a whole.
    pub fn window(&self, window: Duration, now: Instant) -> WindowReport {
        let newest = self.number(now);
        let count = window.as_secs().div_ceil(SLICE.as_secs());
        let mut report = WindowReport { seconds: window.as_secs(), ..WindowReport::default() };
        for slice in self.slices.iter().filter(|s| s.number <= newest && s.number + count > newest)
        {
            report.total += u64::from(slice.total);
            for (sum, bad) in report.bad.iter_mut().zip(slice.bad) {
                *sum += u64::from(bad);
            }
        }
        report
    }

    /// Returns the recent slices that hold requests, oldest first.
    pub fn series(&self, now: Instant) -> Vec<SliceReport> {
        let newest = self.number(now);
        let mut series: Vec<_> = self
            .slices
            .iter()
            .filter(|s| s.total > 0 && s.number <= newest && s.number + LISTED_SLICES > newest)
            .map(|s| SliceReport {
                age_seconds: (newest - s.number) * SLICE.as_secs(),
                total: u64::from(s.total),
                bad: s.bad.iter().map(|bad| u64::from(*bad)).sum(),
            })
            .collect();
        series.sort_by_key(|slice| std::cmp::Reverse(slice.age_seconds));
        series
    }
}
