//! Who reports, with which fencing token, and what.
//!
//! The duty is held under a leadership ([`crate::leadership`]). The state in the store is written
//! only under the condition that the leadership and the state are unchanged. The token is chosen in
//! the write that takes the duty, so two holders have different tokens. After the store was restored
//! from a copy it may show an older state: each era of the store therefore has tokens of its own, all
//! above those of the earlier ones, and a holder with a token of an earlier era takes a new one.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use serde::{Deserialize, Serialize};

use super::{Counts, MAX_WINDOWS};
use crate::leadership::ProcessId;

/// Number of tokens of an era of the store. At one holder in three seconds, a month has 864,000.
const TOKENS_PER_ERA: u64 = 1 << 24;

/// Number of tokens that are skipped after one was rejected as too low: how much higher the others
/// are cannot be read anywhere.
const SKIPPED_TOKENS: u64 = 1 << 10;

/// The reports as the store holds them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct UsageState {
    /// Fencing token of the holder.
    pub token: u64,
    /// Process that holds the duty.
    pub holder: ProcessId,
    /// First window without final counts.
    pub next: u64,
    /// Final counts by window, as far as they are not known to be acknowledged.
    pub reports: BTreeMap<u64, Counts>,
}

/// Returns the lowest token of an era of the store.
fn first_token(era: u64) -> u64 {
    era.saturating_mul(TOKENS_PER_ERA)
}

impl UsageState {
    /// Returns the state in which a process has taken the duty. `known` are states that were ever
    /// seen; the reports of the latest are continued, and those of windows before `first` are given
    /// up, since nobody has their counts. `rejected` is a token of this process that was too low.
    pub fn taken<'a>(
        known: impl IntoIterator<Item = &'a Self>,
        holder: ProcessId,
        era: u64,
        rejected: Option<u64>,
        first: u64,
        current: u64,
    ) -> Self {
        let known: Vec<&Self> = known.into_iter().collect();
        let highest = known.iter().map(|state| state.token).max();
        let token = highest.map_or(1, |token| token + 1).max(first_token(era));
        let token = token.max(rejected.map_or(0, |token| token + SKIPPED_TOKENS));
        let latest = known.into_iter().max_by_key(|state| (state.next, state.token));
        let Some(latest) = latest else {
            // Requests may have begun to run before anybody had the duty.
            return Self {
                token,
                holder,
                next: current.saturating_sub(1),
                reports: BTreeMap::new(),
            };
        };
        Self { token, holder, next: latest.next.max(first), reports: latest.reports.clone() }
    }

    /// Returns whether a process may use the token.
    pub fn is_held_by(&self, process: &ProcessId, era: u64) -> bool {
        self.holder == *process && self.token >= first_token(era)
    }

    /// Returns the state with the final counts of the next windows in place of the acknowledged
    /// ones.
    pub fn with_reports(&self, counts: Vec<Counts>, acknowledged: &BTreeSet<u64>) -> Self {
        let mut state = self.clone();
        state.reports.retain(|window, _| !acknowledged.contains(window));
        for counts in counts {
            state.reports.insert(state.next, counts);
            state.next += 1;
        }
        while state.reports.len() > MAX_WINDOWS {
            state.reports.pop_first();
        }
        state
    }

    /// Returns the first report that is not acknowledged.
    pub fn pending(&self, acknowledged: &BTreeSet<u64>) -> Option<(u64, &Counts)> {
        let mut reports = self.reports.iter().map(|(window, counts)| (*window, counts));
        reports.find(|(window, _)| !acknowledged.contains(window))
    }
}

/// How long the present holder has had the duty. It keeps the duty for at least the time within
/// which the receiver does not accept that the duty returns to an earlier holder.
#[derive(Clone, Debug)]
pub struct Tenure {
    shortest: Duration,
    /// Latest token and when it was first seen.
    seen: Option<(u64, Instant)>,
}

impl Tenure {
    /// Creates a tenure of at least `shortest`.
    pub fn new(shortest: Duration) -> Self {
        Self { shortest, seen: None }
    }

    /// Returns whether the duty may be taken from another node, given its state, or `None` if no
    /// other node has it. A node sees a new holder later than that begins to report, so it waits
    /// longer rather than shorter.
    pub fn may_end(&mut self, other: Option<&UsageState>, now: Instant) -> bool {
        let Some(state) = other else { return true };
        match self.seen {
            Some((token, since)) if token == state.token => {
                now.saturating_duration_since(since) >= self.shortest
            }
            _ => {
                self.seen = Some((state.token, now));
                false
            }
        }
    }
}
