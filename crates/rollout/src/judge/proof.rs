//! Decides when the new version counts as proved, and which old server the comparison leaves out.

use std::collections::BTreeMap;

use crate::evidence::{Counts, LATENCY_BUCKETS, ServerId};

use super::sequential_test::Events;

/// Rate of failures above the old version's that a proof must exclude at least. It equals the share
/// that an unproved version may have; a kind needs about 90 requests without a failure for it.
pub const FAILURE_EXCESS_RATE: f64 = 0.05;

/// Rate of slow answers above the old version's that a proof must exclude at least. Buckets are
/// half octaves, so the share of answers beyond a bound varies; with 0.05 a kind needed 180
/// requests.
pub const SLOW_EXCESS_RATE: f64 = 0.15;

/// Smallest rate that is accepted as good, so that one failure does not offset 60 good requests.
const MIN_ACCEPTED_RATE: f64 = 0.01;

/// Excess that a proof must exclude, as a multiple of the old version's rate.
const EXCESS_RATIO: f64 = 1.5;

/// An old server is an outlier if its rate of bad events exceeds this many times the others'.
const OUTLIER_RATIO: f64 = 3.0;

/// Bad events that an outlier must have beyond that, so that chance doesn't make one.
const OUTLIER_EXTRA_EVENTS: f64 = 10.0;

/// Returns the sum over all servers but `without`.
pub fn total(servers: &BTreeMap<ServerId, Counts>, without: Option<ServerId>) -> Counts {
    let mut sum = Counts::default();
    for (server, counts) in servers {
        if Some(*server) != without {
            sum.merge(counts);
        }
    }
    sum
}

/// Returns the old server whose failures or latencies in past windows stand out.
///
/// Its bad events would otherwise hide those of a bad new version.
pub fn outlier(servers: &BTreeMap<ServerId, Counts>) -> Option<ServerId> {
    if servers.len() < 3 {
        return None;
    }
    let all = total(servers, None);
    let slow_bucket = median_bucket(&all) + 4;
    let is_outlier = |(server, counts): &(&ServerId, &Counts)| {
        let others = total(servers, Some(**server));
        fails_more(counts, &others) || is_slower(counts, &others, slow_bucket)
    };
    servers.iter().find(is_outlier).map(|(server, _)| *server)
}

fn fails_more(one: &Counts, others: &Counts) -> bool {
    let failures = |counts: &Counts| Events { bad: counts.failed, trials: counts.attempts };
    is_outlier_rate(failures(one), failures(others))
}

fn is_slower(one: &Counts, others: &Counts, slow_bucket: usize) -> bool {
    let slow_bucket = slow_bucket.min(LATENCY_BUCKETS - 1);
    let slow =
        |counts: &Counts| Events { bad: counts.at_least(slow_bucket), trials: counts.timed() };
    is_outlier_rate(slow(one), slow(others))
}

fn is_outlier_rate(one: Events, others: Events) -> bool {
    let accepted = OUTLIER_RATIO * others.rate() * one.trials as f64;
    one.bad as f64 > accepted + OUTLIER_EXTRA_EVENTS
}

fn median_bucket(counts: &Counts) -> usize {
    let half = counts.timed() / 2;
    (0..counts.latency.len()).rev().find(|bucket| counts.at_least(*bucket) >= half).unwrap_or(0)
}

/// Returns whether the new servers' events exclude a rate well above the old version's.
///
/// It suffices that they do without one of the servers, since a single slow server doesn't show
/// that its version is bad.
pub fn is_proved(
    new: &[Events],
    old: Events,
    excess_rate: f64,
    false_proof_probability: f64,
) -> bool {
    let accepted = old.rate().max(MIN_ACCEPTED_RATE);
    let limit = (accepted + excess_rate.max(EXCESS_RATIO * accepted)).min(0.95);
    let needed = ((new.len() + 1) as f64 / false_proof_probability).ln();
    let all = new.iter().fold(Events::default(), |sum, events| sum.plus(*events));
    let log_ratio = |events: Events| {
        let bad = events.bad as f64;
        let good = (events.trials - events.bad) as f64;
        bad * (accepted / limit).ln() + good * ((1.0 - accepted) / (1.0 - limit)).ln()
    };
    let without = |one: &Events| Events { bad: all.bad - one.bad, trials: all.trials - one.trials };
    log_ratio(all) >= needed || new.iter().any(|one| log_ratio(without(one)) >= needed)
}
