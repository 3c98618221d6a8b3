//! The rule for zones that cannot be reached as a whole.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use oleandertiller_model::ZoneName;

/// Members that a zone needs for the rule; one member that fails is a failed member.
const MEMBERS_MIN: usize = 2;

/// Suspects from which a zone's suspicions count as related, besides the share below.
const RELATED_MIN: usize = 3;

/// Share of suspects, as a divisor, from which a zone's suspicions count as related: 5%.
const RELATED_DIVISOR: usize = 20;

/// Interval of pings to each unreachable zone.
pub const PROBE_INTERVAL: Duration = Duration::from_secs(5);

/// Pings sent at once when a member of an unreachable zone was heard.
pub const PROBE_BURST: usize = 3;

/// Different members that must have answered for the zone to count as reachable. One member of a
/// zone that really failed may live on alone.
const ANSWERS_NEEDED: usize = 2;

/// Window within which these answers must have come.
const ANSWER_WINDOW: Duration = Duration::from_secs(12);

#[derive(Clone, Debug)]
struct Outage {
    since: Instant,
    probe_at: Instant,
    /// Members that answered, with the time.
    answers: BTreeMap<u32, Instant>,
}

/// Zones that are unreachable from this node.
#[derive(Clone, Debug, Default)]
pub struct Zones {
    outages: BTreeMap<ZoneName, Outage>,
}

/// Returns whether most of a zone's members are suspect.
pub fn is_outage(suspects: usize, members: usize) -> bool {
    members >= MEMBERS_MIN && suspects * 2 > members
}

/// Returns whether so many members are suspect that their suspicions are probably one event;
/// they then wait longer before they count as failed, so that the zone rule can take hold.
pub fn are_related(suspects: usize, members: usize) -> bool {
    suspects >= RELATED_MIN.max(members / RELATED_DIVISOR)
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

    /// Notes that a zone is unreachable.
    pub fn begin(&mut self, zone: &ZoneName, now: Instant) {
        let outage =
            Outage { since: now, probe_at: now + PROBE_INTERVAL, answers: BTreeMap::new() };
        self.outages.insert(zone.clone(), outage);
    }

    /// Notes that a zone is reachable.
    pub fn end(&mut self, zone: &ZoneName) {
        self.outages.remove(zone);
    }

    /// Returns the zones that are to be pinged now.
    pub fn due(&mut self, now: Instant) -> Vec<ZoneName> {
        let mut due = Vec::new();
        for (zone, outage) in &mut self.outages {
            if now >= outage.probe_at {
                outage.probe_at = now + PROBE_INTERVAL;
                due.push(zone.clone());
            }
        }
        due
    }

    /// Returns whether the member is among those whose answers count.
    pub fn has_answered(&self, zone: &ZoneName, slot: u32) -> bool {
        self.outages.get(zone).is_some_and(|outage| outage.answers.contains_key(&slot))
    }

    /// Notes that a member of an unreachable zone answered a ping. Returns whether the zone counts
    /// as reachable with that.
    pub fn answered(&mut self, zone: &ZoneName, slot: u32, members: usize, now: Instant) -> bool {
        let Some(outage) = self.outages.get_mut(zone) else { return false };
        outage.answers.insert(slot, now);
        outage.answers.retain(|_, at| now.saturating_duration_since(*at) <= ANSWER_WINDOW);
        outage.answers.len() >= ANSWERS_NEEDED.min(members)
    }

    /// Asks for a burst of pings to the zone, at most once a second.
    pub fn hint(&mut self, zone: &ZoneName, now: Instant) -> bool {
        let Some(outage) = self.outages.get_mut(zone) else { return false };
        let soon = now + PROBE_INTERVAL - Duration::from_secs(1);
        if outage.probe_at > soon {
            return false;
        }
        outage.probe_at = now + PROBE_INTERVAL;
        true
    }
}
