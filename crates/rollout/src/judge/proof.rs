//! When the new version counts as proved, and which old server is left out of the comparison.

use std::collections::BTreeMap;

use crate::evidence::{Counts, LATENCY_BUCKETS, ServerId};

use super::process::Compared;

/// Rate of failures above the old version's that a proof must exclude at least: that of the share
/// that an unproved version may have. A kind needs about 90 clean requests for it.
pub const FAILURE_EXCESS: f64 = 0.05;

/// Rate of slow answers above the old version's that a proof must exclude at least. Latencies fall
/// into half octaves, so that the part beyond a bound varies; with 0.05 a kind needed 180 requests.
pub const SLOW_EXCESS: f64 = 0.15;

/// Smallest rate that is accepted as good, so that one failure does not undo 60 clean requests.
const ACCEPTED_MIN: f64 = 0.01;

/// Excess as a multiple of the old version's rate that a proof must exclude.
const EXCESS_RATIO: f64 = 1.5;

/// An old server is left out when its failure rate is this many times that of the others.
const OUTLIER_RATIO: f64 = 3.0;

/// Bad events that a server must have beyond that, so that chance does not single one out.
const OUTLIER_EVENTS: f64 = 10.0;

/// Returns the sum over servers, leaving out one.
pub fn total(servers: &BTreeMap<ServerId, Counts>, without: Option<ServerId>) -> Counts {
    let mut sum = Counts::default();
    for (server, counts) in servers {
        if Some(*server) != without {
            sum.merge(counts);
        }
    }
    sum
}

/// Returns the old server whose failures or latencies stand out, by past windows only.
///
/// Its noise would otherwise hide a bad new version.
pub fn outlier(servers: &BTreeMap<ServerId, Counts>) -> Option<ServerId> {
    if servers.len() < 3 {
        return None;
    }
    let all = total(servers, None);
    let bucket = median_bucket(&all) + 4;
    let stands_out = |(server, counts): &(&ServerId, &Counts)| {
        let others = total(servers, Some(**server));
        failure_ratio(counts, &others) || slow_ratio(counts, &others, bucket)
    };
    servers.iter().find(stands_out).map(|(server, _)| *server)
}

fn failure_ratio(one: &Counts, others: &Counts) -> bool {
    let failures = |counts: &Counts| Compared { bad: counts.failed, of: counts.attempts };
    exceeds(failures(one), failures(others))
}

fn slow_ratio(one: &Counts, others: &Counts, bucket: usize) -> bool {
    let bucket = bucket.min(LATENCY_BUCKETS - 1);
    let slow =
        |counts: &Counts| Compared { bad: counts.at_or_above(bucket), of: counts.latency_count() };
    exceeds(slow(one), slow(others))
}

fn exceeds(one: Compared, others: Compared) -> bool {
    let accepted = OUTLIER_RATIO * others.rate() * one.of as f64;
    one.bad as f64 > accepted + OUTLIER_EVENTS
}

fn median_bucket(counts: &Counts) -> usize {
    let half = counts.latency_count() / 2;
    (0..counts.latency.len()).rev().find(|bucket| counts.at_or_above(*bucket) >= half).unwrap_or(0)
}

/// Returns whether the new servers' events exclude a rate well above the old version's.
///
/// One server may be left out, since one slow server does not disprove its version.
pub fn is_proved(
    new: &[Compared],
    old: Compared,
    excess: f64,
    false_proof_probability: f64,
) -> bool {
    let accepted = old.rate().max(ACCEPTED_MIN);
    let limit = (accepted + excess.max(EXCESS_RATIO * accepted)).min(0.95);
    let needed = ((new.len() + 1) as f64 / false_proof_probability).ln();
    let all = new.iter().fold(Compared::default(), |sum, events| sum.plus(*events));
    let log_ratio = |events: Compared| {
        let bad = events.bad as f64;
        let good = (events.of - events.bad) as f64;
        bad * (accepted / limit).ln() + good * ((1.0 - accepted) / (1.0 - limit)).ln()
    };
    let without = |one: &Compared| Compared { bad: all.bad - one.bad, of: all.of - one.of };
    log_ratio(all) >= needed || new.iter().any(|one| log_ratio(without(one)) >= needed)
}
