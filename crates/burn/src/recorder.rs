//! Request counts of one request kind in a ring buffer of time slices.

use std::time::{Duration, Instant};

use oleandertiller_model::Outcome;

use crate::{
    cause::Cause,
    report::{SliceReport, WindowReport},
};

/// Length of one time slice.
pub const SLICE_LENGTH: Duration = Duration::from_secs(10);

/// Number of slices kept: six hours, the longest of [`REPORT_WINDOWS`].
const SLICES_KEPT: usize = 6 * 3_600 / 10;

/// Time windows of the report: a fast and a slow pair, as is usual for burn-rate alerts.
pub const REPORT_WINDOWS: [Duration; 4] = [
    Duration::from_secs(300),
    Duration::from_secs(1_800),
    Duration::from_secs(3_600),
    Duration::from_secs(21_600),
];

/// Number of recent slices in the series of a report: one hour.
const SERIES_SLICES: u64 = 360;

#[derive(Clone, Copy, Debug, Default)]
struct Slice {
    number: u64,
    total: u32,
    bad: [u32; Cause::ALL.len()],
}

/// Request counts of one request kind at one node.
#[derive(Clone, Debug)]
pub struct Recorder {
    start: Instant,
    slices: Vec<Slice>,
}

impl Recorder {
    /// Creates a recorder without counts, whose slices are numbered from `start`.
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

    /// Returns the number of the slice that contains `now`, counted from the start.
    fn number(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.start).as_secs() / SLICE_LENGTH.as_secs()
    }

    /// Returns the slice with the given number. The ring buffer grows only as far as it is used, so
    /// that kinds without traffic take almost no memory.
    fn slice(&mut self, number: u64) -> &mut Slice {
        let index = (number % SLICES_KEPT as u64) as usize;
        if index >= self.slices.len() {
            self.slices.resize(index + 1, Slice::default());
        }
        let slice = &mut self.slices[index];
        if slice.number != number {
            *slice = Slice { number, ..Slice::default() };
        }
        slice
    }

    /// Sums the slices of the last `window`; a partly covered slice counts fully.
    pub fn window(&self, window: Duration, now: Instant) -> WindowReport {
        let newest = self.number(now);
        let count = window.as_secs().div_ceil(SLICE_LENGTH.as_secs());
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

    /// Returns the slices of the last hour that hold requests, oldest first.
    pub fn series(&self, now: Instant) -> Vec<SliceReport> {
        let newest = self.number(now);
        let mut series: Vec<_> = self
            .slices
            .iter()
            .filter(|s| s.total > 0 && s.number <= newest && s.number + SERIES_SLICES > newest)
            .map(|s| SliceReport {
                age_seconds: (newest - s.number) * SLICE_LENGTH.as_secs(),
                total: u64::from(s.total),
                bad: s.bad.iter().map(|bad| u64::from(*bad)).sum(),
            })
            .collect();
        series.sort_by_key(|slice| std::cmp::Reverse(slice.age_seconds));
        series
    }
}
