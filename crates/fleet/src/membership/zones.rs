//! The rule for zones that cannot be reached as a whole.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use oleandertiller_model::ZoneName;

/// Members that a zone needs for the rule; one member that fails is a failed member.
pub const OUTAGE_MIN_MEMBERS: usize = 2;

/// Suspects from which a zone's suspicions count as related, besides the share below.
const CORRELATED_MIN_SUSPECTS: usize = 3;

/// Share of suspects, as a divisor, from which a zone's suspicions count as related: 5%.
const CORRELATED_SHARE_DIVISOR: usize = 20;

/// Interval of pings to each unreachable zone.
pub const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Pings sent at once when a member of an unreachable zone was heard.
pub const PING_BURST: usize = 3;

/// Shortest time between two such bursts.
const BURST_INTERVAL: Duration = Duration::from_secs(1);

/// Members pinged to find out whether a zone is really unreachable.
pub const CHECK_PINGS: usize = 8;

/// Time that these pings have.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Different members that must answer for a zone to count as reachable. One member of a zone that
/// really failed may live on alone.
const REACHABLE_MIN_ANSWERS: usize = 2;

/// Members up to which one answer is enough.
const SMALL_ZONE_MAX_MEMBERS: usize = 3;

/// Window within which these answers must come.
const ANSWER_WINDOW: Duration = Duration::from_secs(12);

/// Time for which a zone that answered a check is not checked again. It is shorter than the time
/// that related suspects have, so that a zone that is lost soon after a part of it is checked
/// before its members count as failed.
const RECHECK_DELAY: Duration = Duration::from_secs(5);

/// Time for which another node's report that a zone is unreachable counts.
const REPORT_TTL: Duration = Duration::from_secs(30);

#[derive(Clone, Debug)]
struct Outage {
    since: Instant,
    next_ping: Instant,
    next_burst: Instant,
    /// Members that answered, with the time.
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
    /// When the latest check began that a zone answered.
    last_answered_check: BTreeMap<ZoneName, Instant>,
    reports: BTreeMap<ZoneName, Instant>,
}

/// Returns whether a zone is to be checked: most of its members are suspect, or so many that their
/// suspicions are related. Waiting for a majority takes too long in a large zone: a node learns
/// about 70 suspicions a second.
pub fn needs_check(suspects: usize, members: usize) -> bool {
    let majority = suspects * 2 > members;
    members >= OUTAGE_MIN_MEMBERS && (majority || are_correlated(suspects, members))
}

/// Returns whether so many members are suspect that their suspicions are probably one event;
/// they then wait longer before they count as failed, so that the zone rule can take hold.
pub fn are_correlated(suspects: usize, members: usize) -> bool {
    suspects >= CORRELATED_MIN_SUSPECTS.max(members / CORRELATED_SHARE_DIVISOR)
}

fn answers_needed(members: usize) -> usize {
    if members <= SMALL_ZONE_MAX_MEMBERS { 1 } else { REACHABLE_MIN_ANSWERS }
}

impl Zones {
    /// Returns since when a zone is unreachable.
    pub fn unreachable_since(&self, zone: &ZoneName) -> Option<Instant> {
        self.outages.get(zone).map(|outage| outage.since)
    }

    /// Returns the unreachable zones.
    pub fn unreachable(&self) -> impl Iterator<Item = &ZoneName> {
        self.outages.keys()
    }

    /// Returns whether a check of the zone would be of use.
    pub fn may_check(&self, zone: &ZoneName, now: Instant) -> bool {
        let recently_answered = self.no_check_until.get(zone).is_some_and(|until| now < *until);
        !recently_answered && !self.outages.contains_key(zone) && !self.checks.contains_key(zone)
    }

    /// Notes that members of the zone are pinged to find out whether it is unreachable.
    pub fn begin_check(&mut self, zone: &ZoneName, now: Instant) {
        let check = Check { started: now, due: now + CHECK_TIMEOUT, answers: BTreeSet::new() };
        self.checks.insert(zone.clone(), check);
    }

    /// Returns the zones whose check ended without enough answers.
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

    /// Returns whether the zone has answered a check that began at `since` or later.
    pub fn has_answered_since(&self, zone: &ZoneName, since: Instant) -> bool {
        self.last_answered_check.get(zone).is_some_and(|started| *started >= since)
    }

    /// Drops checks that a pause has made worthless.
    pub fn drop_checks(&mut self) {
        self.checks.clear();
    }

    /// Notes another node's report that a zone is unreachable. Returns whether it is news.
    pub fn note_report(&mut self, zone: &ZoneName, now: Instant) -> bool {
        let is_new = self.may_check(zone, now) && !self.is_reported(zone, now);
        if is_new {
            self.reports.insert(zone.clone(), now);
        }
        is_new
    }

    /// Returns whether another node said lately that the zone is unreachable.
    pub fn is_reported(&self, zone: &ZoneName, now: Instant) -> bool {
        let at = self.reports.get(zone);
        at.is_some_and(|at| now.saturating_duration_since(*at) < REPORT_TTL)
    }

    /// Notes that a zone is unreachable.
    pub fn mark_unreachable(&mut self, zone: &ZoneName, now: Instant) {
        let outage = Outage {
            since: now,
            next_ping: now + PING_INTERVAL,
            next_burst: now,
            answers: BTreeMap::new(),
        };
        self.outages.insert(zone.clone(), outage);
    }

    /// Notes that a zone is reachable.
    pub fn mark_reachable(&mut self, zone: &ZoneName) {
        self.outages.remove(zone);
        self.reports.remove(zone);
    }

    /// Returns the zones that are to be pinged now.
    pub fn due(&mut self, now: Instant) -> Vec<ZoneName> {
        let mut due = Vec::new();
        for (zone, outage) in &mut self.outages {
            if now >= outage.next_ping {
                outage.next_ping = now + PING_INTERVAL;
                due.push(zone.clone());
            }
        }
        due
    }

    /// Notes that a member answered a ping. Returns whether an outage of its zone is over.
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

    /// Asks for a burst of pings to an unreachable zone, at most once a second.
    pub fn start_ping_burst(&mut self, zone: &ZoneName, now: Instant) -> bool {
        let Some(outage) = self.outages.get_mut(zone) else { return false };
        if now < outage.next_burst {
            return false;
        }
        outage.next_burst = now + BURST_INTERVAL;
        true
    }
}
