//! An owner's counts of the requests that began to run.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use super::{Counts, MAX_WINDOWS, Windows};

/// The counts of one owner in the latest windows.
#[derive(Clone, Debug)]
pub struct StartCounts {
    windows: Windows,
    counts: BTreeMap<u64, Counts>,
}

impl StartCounts {
    /// Creates counts without any request.
    pub fn new(windows: Windows) -> Self {
        Self { windows, counts: BTreeMap::new() }
    }

    /// Counts a request that begins to run at a time; returns its window.
    pub fn begin(&mut self, tenant: &Arc<str>, time: Duration) -> u64 {
        let window = self.windows.at(time);
        *self.counts.entry(window).or_default().entry(tenant.clone()).or_default() += 1;
        // By number, so that a clock that jumps ahead for a moment removes no window.
        while self.counts.len() > MAX_WINDOWS {
            self.counts.pop_first();
        }
        window
    }

    /// Takes back a request that turned out not to have run.
    pub fn take_back(&mut self, tenant: &str, window: u64) {
        if let Some(count) = self.counts.get_mut(&window).and_then(|counts| counts.get_mut(tenant))
        {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the counts from a window on.
    pub fn since(&self, window: u64) -> BTreeMap<u64, Counts> {
        self.counts.range(window..).map(|(window, counts)| (*window, counts.clone())).collect()
    }
}
