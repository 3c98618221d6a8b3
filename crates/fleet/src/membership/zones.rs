//! Tracking of zones that are unreachable as a whole.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use oleandertiller_model::ZoneName;

/// Minimum number of members of a zone for which an outage is considered; in a smaller zone, a
/// member that does not answer counts as failed.
pub const MIN_OUTAGE_MEMBERS: usize = 2;

/// Minimum number of suspects for correlated suspicions.
const MIN_CORRELATED_SUSPECTS: usize = 3;

/// Number of members per suspect up to which suspicions count as correlated: one suspect in 20
/// members, or 5%.
const CORRELATED_SHARE_DIVISOR: usize = 20;

/// Interval between pings to each unreachable zone.
pub const ZONE_PING_INTERVAL: Duration = Duration::from_secs(5);

/// Number of pings sent at once when a member of an unreachable zone is heard from.
pub const PING_BURST: usize = 3;

/// Minimum time between two bursts of pings to an unreachable zone.
const BURST_INTERVAL: Duration = Duration::from_secs(1);

/// Number of members pinged to check whether a zone is unreachable.
pub const CHECK_PINGS: usize = 8;

/// Time within which the pings of a check must be answered.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of distinct members that must answer for a zone to count as reachable. A single member
/// may still run in a zone that really failed.
const MIN_ZONE_ANSWERS: usize = 2;

/// Maximum number of members of a zone for which one answer is enough.
const MAX_SMALL_ZONE_MEMBERS: usize = 3;

/// Window within which the answers that end an outage must arrive.
const ANSWER_WINDOW: Duration = Duration::from_secs(12);

/// Time for which a zone that answered a check is not checked again. It is shorter than the timeout
/// of correlated suspicions: when the rest of a zone fails soon after a part of it, the zone is
/// checked again before its members count as failed.
const RECHECK_DELAY: Duration = Duration::from_secs(5);

/// Time for which another node's report of an unreachable zone is valid.
const REPORT_TTL: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Outage {
    since: Instant,
    next_ping: Instant,
    next_burst: Instant,
    /// Slots of the members that answered, with the time of the latest answer.
    answers: BTreeMap<u32, Instant>,
}

#[derive(Clone, Debug)]
struct Check {
    started: Instant,
    due: Instant,
    answers: BTreeSet<u32>,
}

/// Zones that are, or may be, unreachable from this node.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    outages: BTreeMap<ZoneName, Outage>,
    checks: BTreeMap<ZoneName, Check>,
    no_check_until: BTreeMap<ZoneName, Instant>,
    /// Start of the latest check that each zone answered.
    last_answered_check: BTreeMap<ZoneName, Instant>,
    reports: BTreeMap<ZoneName, Instant>,
}

/// Returns whether to check a zone: a majority of its members is suspect, or the suspicions are
/// correlated. Waiting for a majority takes too long in a large zone, since a node receives about
/// 70 suspicions a second.
pub fn needs_check(suspects: usize, members: usize) -> bool {
    let majority = suspects * 2 > members;
    members >= MIN_OUTAGE_MEMBERS && (majority || are_correlated(suspects, members))
}

/// Returns whether so many members are suspect that their suspicions probably have one cause. The
/// suspects then get more time before they count as failed, so that a zone outage can be detected.
pub fn are_correlated(suspects: usize, members: usize) -> bool {
    suspects >= MIN_CORRELATED_SUSPECTS.max(members / CORRELATED_SHARE_DIVISOR)
}

fn answers_needed(members: usize) -> usize {
    if members <= MAX_SMALL_ZONE_MEMBERS { 1 } else { MIN_ZONE_ANSWERS }
}

impl Zones {
    /// Returns when a zone became unreachable, or `None` if it is reachable.
    pub fn unreachable_since(&self, zone: &ZoneName) -> Option<Instant> {
        self.outages.get(zone).map(|outage| outage.since)
    }

    /// Returns the unreachable zones.
    pub fn unreachable(&self) -> impl Iterator<Item = &ZoneName> {
        self.outages.keys()
    }

    /// Returns whether a check may start: the zone is not unreachable, no check is running, and it
    /// did not answer one recently.
    pub fn may_check(&self, zone: &ZoneName, now: Instant) -> bool {
        let recently_answered = self.no_check_until.get(zone).is_some_and(|until| now < *until);
        !recently_answered && !self.outages.contains_key(zone) && !self.checks.contains_key(zone)
    }

    /// Records the start of a check of the zone.
    pub fn begin_check(&mut self, zone: &ZoneName, now: Instant) {
        let check = Check { started: now, due: now + CHECK_TIMEOUT, answers: BTreeSet::new() };
        self.checks.insert(zone.clone(), check);
    }

    /// Ends the checks that are due, and returns the zones without enough answers.
    pub fn finish_checks(
        &mut self,
        now: Instant,
        members: impl Fn(&ZoneName) -> usize,
    ) -> Vec<ZoneName> {
        let due: Vec<ZoneName> =
            self.checks.iter().filter(|(_, c)| now >= c.due).map(|(z, _)| z.clone()).collect();
        let mut silent = Vec::new();
        for zone in due {
            let Some(check) = self.checks.remove(&zone) else { continue };
            if check.answers.len() >= answers_needed(members(&zone)) {
                self.last_answered_check.insert(zone.clone(), check.started);
                self.no_check_until.insert(zone, now + RECHECK_DELAY);
            } else {
                silent.push(zone);
            }
        }
        silent
    }

    /// Returns whether the zone has answered a check that started at `since` or later.
    pub fn has_answered_since(&self, zone: &ZoneName, since: Instant) -> bool {
        self.last_answered_check.get(zone).is_some_and(|started| *started >= since)
    }

    /// Drops all checks, which a pause made meaningless.
    pub fn drop_checks(&mut self) {
        self.checks.clear();
    }

    /// Records another node's report that a zone is unreachable. Returns whether it is new and
    /// calls for a check.
    pub fn record_report(&mut self, zone: &ZoneName, now: Instant) -> bool {
        let is_new = self.may_check(zone, now) && !self.is_reported(zone, now);
        if is_new {
            self.reports.insert(zone.clone(), now);
        }
        is_new
    }

    /// Returns whether another node reported recently that the zone is unreachable.
    pub fn is_reported(&self, zone: &ZoneName, now: Instant) -> bool {
        let at = self.reports.get(zone);
        at.is_some_and(|at| now.saturating_duration_since(*at) < REPORT_TTL)
    }

    /// Records that a zone is unreachable.
    pub fn mark_unreachable(&mut self, zone: &ZoneName, now: Instant) {
        let outage = Outage {
            since: now,
            next_ping: now + ZONE_PING_INTERVAL,
            next_burst: now,
            answers: BTreeMap::new(),
        };
        self.outages.insert(zone.clone(), outage);
    }

    /// Records that a zone is reachable.
    pub fn mark_reachable(&mut self, zone: &ZoneName) {
        self.outages.remove(zone);
        self.reports.remove(zone);
    }

    /// Returns the unreachable zones whose next ping is due, and schedules the one after it.
    pub fn take_due_pings(&mut self, now: Instant) -> Vec<ZoneName> {
        let mut due = Vec::new();
        for (zone, outage) in &mut self.outages {
            if now >= outage.next_ping {
                outage.next_ping = now + ZONE_PING_INTERVAL;
                due.push(zone.clone());
            }
        }
        due
    }

    /// Records that a member answered a ping. Returns whether this ends an outage of its zone.
    pub fn record_answer(
        &mut self,
        zone: &ZoneName,
        slot: u32,
        members: usize,
        now: Instant,
    ) -> bool {
        if let Some(check) = self.checks.get_mut(zone) {
            check.answers.insert(slot);
        }
        let Some(outage) = self.outages.get_mut(zone) else { return false };
        outage.answers.insert(slot, now);
        outage.answers.retain(|_, at| now.saturating_duration_since(*at) <= ANSWER_WINDOW);
        outage.answers.len() >= answers_needed(members)
    }

    /// Returns whether to send a burst of pings to a zone: it is unreachable, and the last burst
    /// is at least `BURST_INTERVAL` ago.
    pub fn start_ping_burst(&mut self, zone: &ZoneName, now: Instant) -> bool {
        let Some(outage) = self.outages.get_mut(zone) else { return false };
        if now < outage.next_burst {
            return false;
        }
        outage.next_burst = now + BURST_INTERVAL;
        true
    }
}
