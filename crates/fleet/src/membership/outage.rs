//! Outages of whole zones: detection, confirmation and recovery.

use std::{collections::BTreeMap, time::Instant};

use oleandertiller_model::ZoneName;
use rand::seq::{SliceRandom, index::sample};

use super::{
    CORRELATED_SUSPICION_TIMEOUT, Membership, PUSH_FANOUT, ViewChange, rumours::Subject,
    table::Slot, zones,
};
use crate::{datagram::Rumour, record::MemberState};

impl Membership {
    /// Returns for each zone of the given suspects whether its suspicions are correlated, and
    /// checks these zones if needed.
    pub(super) fn correlated_zones(
        &mut self,
        due: &[(Slot, Instant)],
        now: Instant,
    ) -> BTreeMap<ZoneName, bool> {
        let mut correlated: BTreeMap<ZoneName, bool> = BTreeMap::new();
        for (slot, _) in due {
            let Some(entry) = self.table.entry(*slot) else { continue };
            let zone = entry.record.zone.clone();
            if correlated.contains_key(&zone) {
                continue;
            }
            let (suspects, members) = self.zone_suspects(&zone, now);
            self.check_zone_if_needed(&zone, now);
            correlated.insert(zone, zones::are_correlated(suspects, members));
        }
        correlated
    }

    /// Returns the number of a zone's suspects and of all its members, without the local node.
    /// Members that failed recently count as suspects, since they belong to the same event.
    fn zone_suspects(&self, zone: &ZoneName, now: Instant) -> (usize, usize) {
        let mut suspects = 0;
        let mut members = 0;
        for slot in self.table.slots_of_zone(zone) {
            let Some(entry) = self.table.entry(*slot) else { continue };
            let recent = now.saturating_duration_since(entry.since) < CORRELATED_SUSPICION_TIMEOUT;
            let (member, suspect) = match entry.record.state {
                MemberState::Alive => (*slot != self.local, false),
                MemberState::Suspect => (true, true),
                MemberState::Failed => (recent, recent),
                MemberState::Left => (false, false),
            };
            members += usize::from(member);
            suspects += usize::from(suspect);
        }
        (suspects, members)
    }

    /// Starts a check of a zone if suspicions or another node's report suggest an outage.
    pub(super) fn check_zone_if_needed(&mut self, zone: &ZoneName, now: Instant) {
        if !self.zones.may_check(zone, now) {
            return;
        }
        let (suspects, members) = self.zone_suspects(zone, now);
        // A node that is cut off gets no answers from any zone, so one suspect is enough.
        let cut_off =
            suspects > 0 && members >= zones::MIN_OUTAGE_MEMBERS && self.has_missed_pings();
        let reported = self.zones.is_reported(zone, now);
        if reported || cut_off || zones::needs_check(suspects, members) {
            self.check_zone(zone, now);
        }
    }

    /// Returns whether the zone of a suspect is known to be reachable since the suspicion began,
    /// and starts a check otherwise. A zone with a single member counts as reachable, since no
    /// other member can answer.
    pub(super) fn confirm_zone_reachable(
        &mut self,
        zone: &ZoneName,
        since: Instant,
        now: Instant,
    ) -> bool {
        let (_, members) = self.zone_suspects(zone, now);
        if members < zones::MIN_OUTAGE_MEMBERS || self.zones.has_answered_since(zone, since) {
            return true;
        }
        if self.zones.may_check(zone, now) {
            self.check_zone(zone, now);
        }
        false
    }

    fn check_zone(&mut self, zone: &ZoneName, now: Instant) {
        self.zones.begin_check(zone, now);
        let present = |slot: &Slot| {
            *slot != self.local
                && self.table.entry(*slot).is_some_and(|entry| entry.record.is_present())
        };
        let slots = self.table.slots_of_zone(zone).iter().copied();
        let mut slots: Vec<Slot> = slots.filter(present).collect();
        slots.shuffle(&mut self.rng);
        // Alive members come first: if they answer, the suspects really failed.
        slots.sort_by_key(|slot| self.table.entry(*slot).map(|entry| entry.record.state));
        for slot in slots.into_iter().take(zones::CHECK_PINGS) {
            self.ping_without_suspicion(slot, now);
        }
    }

    /// Finishes checks that are due, and pings unreachable zones at a low rate.
    pub(super) fn tick_zones(&mut self, now: Instant) {
        let table = &self.table;
        let silent = self.zones.finish_checks(now, |zone| table.slots_of_zone(zone).len());
        for zone in silent {
            if !self.is_isolated(now) {
                self.begin_outage(&zone, now);
            }
        }
        for zone in self.zones.take_due_pings(now) {
            self.ping_zone(&zone, 1, now);
        }
    }

    fn begin_outage(&mut self, zone: &ZoneName, now: Instant) {
        self.zones.mark_unreachable(zone, now);
        for slot in self.table.slots_of_zone(zone) {
            if let Some(entry) = self.table.entry(*slot)
                && entry.record.state == MemberState::Suspect
            {
                self.rumours.drop_subject(&Subject::Node(entry.record.node.clone()));
            }
        }
        // The suspicions no longer spread, so this rumour replaces them for nodes that lack them.
        self.rumours.add(Rumour::ZoneSilent(zone.clone()));
        self.emit_change(ViewChange::ZoneUnreachable(zone.clone()));
        self.push(PUSH_FANOUT);
    }

    /// Processes another node's report that a zone is unreachable from it.
    pub(super) fn handle_zone_silent(&mut self, zone: &ZoneName, now: Instant) {
        if *zone != self.local().zone && self.zones.record_report(zone, now) {
            self.rumours.add(Rumour::ZoneSilent(zone.clone()));
            self.check_zone_if_needed(zone, now);
        }
    }

    /// Processes another node's report that a zone answers again.
    pub(super) fn handle_zone_answers(&mut self, zone: &ZoneName, now: Instant) {
        if self.zones.start_ping_burst(zone, now) {
            self.ping_zone(zone, zones::PING_BURST, now);
        }
    }

    /// Records that a member answered a ping, and ends its zone's outage after enough answers.
    pub(super) fn record_answer(&mut self, slot: Slot, now: Instant) {
        self.table.mark_heard(slot, now);
        let Some(entry) = self.table.entry(slot) else { return };
        let zone = entry.record.zone.clone();
        let members = self.table.slots_of_zone(&zone).len();
        if self.zones.record_answer(&zone, slot, members, now) {
            self.end_outage(&zone, now);
        } else if self.zones.start_ping_burst(&zone, now) {
            self.ping_zone(&zone, zones::PING_BURST, now);
        }
    }

    /// Ends an outage and withdraws all suspicions of the zone at once. They no longer spread, so
    /// no refutation is needed; the next pings find members that really failed.
    fn end_outage(&mut self, zone: &ZoneName, now: Instant) {
        self.zones.mark_reachable(zone);
        for slot in self.table.slots_of_zone(zone).to_vec() {
            if self.suspects.remove(&slot).is_some() {
                self.table.set_state(slot, MemberState::Alive, now);
            }
        }
        self.rumours.add(Rumour::ZoneAnswers(zone.clone()));
        self.emit_change(ViewChange::ZoneReachable(zone.clone()));
        self.push(PUSH_FANOUT);
    }

    /// Pings random members of a zone; a missed answer has no effect.
    pub(super) fn ping_zone(&mut self, zone: &ZoneName, count: usize, now: Instant) {
        let slots = self.table.slots_of_zone(zone);
        let chosen = sample(&mut self.rng, slots.len(), count.min(slots.len()));
        let chosen: Vec<Slot> = chosen.into_iter().map(|index| slots[index]).collect();
        for slot in chosen {
            if slot != self.local {
                self.ping_without_suspicion(slot, now);
            }
        }
    }
}
