//! How many requests of each tenant began to run in each window of time, and who reports that.
//!
//! Handles some tens of requests a second at each of a hundred owners, for a hundred tenants, while
//! owners and reporters are lost, clocks differ, and the receiver of the reports is slow or out of
//! reach. Each owner counts the requests that begin to run at its upstream ([`StartCounts`]). The
//! node that holds the duty collects the counts ([`Collector`]), tells the owners by how much their
//! clocks are off ([`ClockOffsets`]), and writes the final counts of a window to the store before it
//! reports them ([`UsageState`]), so that each successor repeats exactly the same report.

mod clock_offsets;
mod collector;
mod duty;
mod start_counts;

use std::{collections::BTreeMap, sync::Arc, time::Duration};

pub use self::{
    clock_offsets::{ClockOffset, ClockOffsets},
    collector::{Collector, OwnerId},
    duty::{Tenure, UsageState},
    start_counts::StartCounts,
};

/// Number of windows for which counts and unacknowledged reports are kept. At the usual 5 s they
/// cover three minutes without a reporter, the store or the receiver.
pub const MAX_WINDOWS: usize = 36;

/// Requests by tenant.
pub type Counts = BTreeMap<Arc<str>, u64>;

/// The windows of time for which usage is reported, by number; window 0 begins with the year 1970.
/// All times are since then.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Windows {
    /// Length of a window.
    length: Duration,
    /// Time after the end of a window at which its report is due.
    lateness: Duration,
}

impl Windows {
    /// Creates windows of a length, or returns `None` if it is shorter than a millisecond; a report
    /// is due `lateness` after the end of its window.
    pub fn new(length: Duration, lateness: Duration) -> Option<Self> {
        (length >= Duration::from_millis(1)).then_some(Self { length, lateness })
    }

    /// Returns the window that contains a time.
    pub fn at(&self, time: Duration) -> u64 {
        u64::try_from(time.as_nanos() / self.length.as_nanos()).unwrap_or(u64::MAX)
    }

    /// Returns the end of a window.
    pub fn end(&self, window: u64) -> Duration {
        let nanos = self.length.as_nanos().saturating_mul(u128::from(window) + 1);
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }

    /// Returns when the report of a window is due.
    pub fn due(&self, window: u64) -> Duration {
        self.end(window).saturating_add(self.lateness)
    }

    /// Returns the first window that can still be reported: owners have no counts of earlier ones.
    pub fn first_known(&self, now: Duration) -> u64 {
        self.at(now).saturating_sub(MAX_WINDOWS as u64 - 1)
    }
}
