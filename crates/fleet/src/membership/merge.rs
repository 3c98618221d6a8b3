//! Taking in statements of other members: which one wins, suspicion, refutation and removal.

use std::{collections::BTreeMap, time::Instant};

use oleandertiller_model::{NodeName, ZoneName};

use super::{
    Membership, PRUNE_AFTER, PRUNE_ZONE_AFTER, PUSH_FANOUT, RELATED_SUSPICION, SUSPICION,
    ViewChange, is_urgent, probe, rumours::Subject, state_rumour, table::Slot, zones,
};
use crate::{
    datagram::Rumour,
    record::{MemberState, Record},
};

impl Membership {
    /// Takes in the rumours of a datagram.
    pub fn rumours(&mut self, rumours: Vec<Rumour>, now: Instant) {
        for rumour in rumours {
            match rumour {
                Rumour::Record(record) => self.merge(*record, true, now),
                Rumour::State { node, incarnation, refutation, state } => {
                    self.merge_state(&node, incarnation, refutation, state, now);
                }
                Rumour::ZoneAnswers(zone) => self.zone_hint(&zone, now),
            }
        }
    }

    fn merge_state(
        &mut self,
        node: &NodeName,
        incarnation: u64,
        refutation: u32,
        state: MemberState,
        now: Instant,
    ) {
        let Some(entry) = self.table.get(node) else { return };
        let record = Record { incarnation, refutation, state, ..entry.record.clone() };
        let known = entry.record.precedence();
        // A newer version of the record is not at hand in full; anti-entropy brings it.
        if (incarnation, refutation) > (known.0, known.1) && *node != self.local().node {
            return;
        }
        self.merge(record, true, now);
    }

    /// Takes in a statement about one member; `spread` passes it on as a rumour.
    pub(super) fn merge(&mut self, record: Record, spread: bool, now: Instant) {
        let slot = self.table.slot(&record.node);
        if slot == Some(self.local) {
            self.refute(&record, now);
            return;
        }
        let known = slot.and_then(|slot| self.table.entry(slot));
        let wanted = match known {
            Some(known) => record.supersedes(&known.record),
            // A record of a member that is gone is of no use to a node that never knew it.
            None => record.is_present(),
        };
        let accusation = matches!(record.state, MemberState::Suspect | MemberState::Failed);
        let cut_off = self.zones.unreachable_since(&record.zone).is_some();
        if !wanted || (accusation && cut_off) {
            return;
        }
        let urgent = spread && is_urgent(&record);
        self.adopt(record, spread, now);
        if urgent {
            self.push(PUSH_FANOUT);
        }
    }

    /// Stores a statement that wins, and passes it on.
    fn adopt(&mut self, record: Record, spread: bool, now: Instant) {
        let state = record.state;
        let slot = self.table.put(record.clone(), now);
        self.track(slot, state, now);
        if spread {
            let short = matches!(state, MemberState::Suspect | MemberState::Failed);
            let rumour = if short {
                state_rumour(&record)
            } else {
                Rumour::Record(Box::new(record.clone()))
            };
            self.rumours.add(rumour);
        }
        let zone = record.zone.clone();
        self.view(ViewChange::Updated(Box::new(record)));
        if state == MemberState::Suspect {
            self.check_zone(&zone, now);
        }
    }

    fn track(&mut self, slot: Slot, state: MemberState, now: Instant) {
        match state {
            MemberState::Suspect => {
                self.suspects.entry(slot).or_insert(now);
            }
            _ => {
                self.suspects.remove(&slot);
            }
        }
        if state >= MemberState::Failed {
            self.departed.entry(slot).or_insert(now);
        } else {
            self.departed.remove(&slot);
        }
    }

    /// Answers a statement about the local node that is not true.
    fn refute(&mut self, claim: &Record, now: Instant) {
        let own = self.local().clone();
        if own.state == MemberState::Left || claim.precedence() <= own.precedence() {
            return;
        }
        let mut record = own.clone();
        if claim.incarnation > own.incarnation {
            // An earlier process of the same name had a clock ahead of the present one.
            record.incarnation = claim.incarnation + 1;
            record.refutation = 0;
            self.view(ViewChange::OwnIncarnation(record.incarnation));
        } else {
            record.refutation = claim.refutation + 1;
        }
        self.spread_local(record, now);
    }

    /// Suspects a member that did not answer.
    pub(super) fn suspect(&mut self, slot: Slot, now: Instant) {
        let Some(entry) = self.table.entry(slot) else { return };
        let alive = entry.record.state == MemberState::Alive;
        if !alive || self.zones.unreachable_since(&entry.record.zone).is_some() {
            return;
        }
        let record = Record { state: MemberState::Suspect, ..entry.record.clone() };
        self.adopt(record, true, now);
    }

    /// Ends suspicions whose time is over.
    pub(super) fn expire_suspects(&mut self, now: Instant) {
        if self.suspects.is_empty() || self.is_own_fault(now) {
            return;
        }
        let due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= SUSPICION)
            .map(|(slot, since)| (*slot, *since))
            .collect();
        let related = self.related_zones(&due);
        for (slot, since) in due {
            let Some(entry) = self.table.entry(slot) else { continue };
            let zone = &entry.record.zone;
            let waited = now.saturating_duration_since(since);
            let cut_off = self.zones.unreachable_since(zone).is_some();
            let wait = related.get(zone).is_some_and(|related| *related);
            if cut_off || (wait && waited < RELATED_SUSPICION) {
                continue;
            }
            let record = Record { state: MemberState::Failed, ..entry.record.clone() };
            self.adopt(record, true, now);
        }
    }

    /// Returns for each zone of the given suspects whether its suspicions are related.
    fn related_zones(&self, due: &[(Slot, Instant)]) -> BTreeMap<ZoneName, bool> {
        let mut counts: BTreeMap<ZoneName, bool> = BTreeMap::new();
        for (slot, _) in due {
            let Some(entry) = self.table.entry(*slot) else { continue };
            let zone = &entry.record.zone;
            if !counts.contains_key(zone) {
                let (suspects, members) = self.zone_suspects(zone);
                counts.insert(zone.clone(), zones::are_related(suspects, members));
            }
        }
        counts
    }

    /// Counts the suspects and the present members of a zone, without the local node.
    fn zone_suspects(&self, zone: &ZoneName) -> (usize, usize) {
        let mut suspects = 0;
        let mut members = 0;
        for slot in self.table.slots_of_zone(zone) {
            let Some(entry) = self.table.entry(*slot) else { continue };
            if *slot != self.local && entry.record.is_present() {
                members += 1;
                suspects += usize::from(entry.record.state == MemberState::Suspect);
            }
        }
        (suspects, members)
    }

    fn check_zone(&mut self, zone: &ZoneName, now: Instant) {
        let (suspects, members) = self.zone_suspects(zone);
        if !zones::is_outage(suspects, members) {
            return;
        }
        self.zones.begin(zone, now);
        for slot in self.table.slots_of_zone(zone) {
            if let Some(entry) = self.table.entry(*slot)
                && entry.record.state == MemberState::Suspect
            {
                self.rumours.drop_subject(&Subject::Node(entry.record.node.clone()));
            }
        }
        self.view(ViewChange::ZoneUnreachable(zone.clone()));
    }

    fn zone_hint(&mut self, zone: &ZoneName, now: Instant) {
        if self.zones.hint(zone, now) {
            self.ping_zone(zone, zones::PROBE_BURST, now);
        }
    }

    /// Notes that a member answered a ping, and ends the outage of its zone if enough have.
    pub(super) fn answered(&mut self, slot: Slot, now: Instant) {
        self.table.touch(slot, now);
        let Some(entry) = self.table.entry(slot) else { return };
        let zone = entry.record.zone.clone();
        if self.zones.unreachable_since(&zone).is_none() {
            return;
        }
        let members = self.table.slots_of_zone(&zone).len();
        // Answers to the burst of an answer must not make bursts again: where one member is all
        // that answers, pings would multiply without end.
        let burst = !self.zones.has_answered(&zone, slot) || self.zones.hint(&zone, now);
        if self.zones.answered(&zone, slot, members, now) {
            self.end_outage(&zone, now);
        } else if burst {
            self.ping_zone(&zone, zones::PROBE_BURST, now);
        }
    }

    /// Takes all suspicions of the zone back at once. They never spread, so nobody needs to refute
    /// them; members that are really gone are found by the next pings.
    fn end_outage(&mut self, zone: &ZoneName, now: Instant) {
        self.zones.end(zone);
        for slot in self.table.slots_of_zone(zone).to_vec() {
            if self.suspects.remove(&slot).is_some() {
                self.table.set_state(slot, MemberState::Alive, now);
            }
        }
        self.rumours.add(Rumour::ZoneAnswers(zone.clone()));
        self.view(ViewChange::ZoneReachable(zone.clone()));
        self.push(PUSH_FANOUT);
    }

    /// Drops records of members that are gone for long.
    pub(super) fn prune(&mut self, now: Instant) {
        if self.is_own_fault(now) {
            return;
        }
        let mut due: Vec<Slot> = Vec::new();
        for (slot, since) in &self.departed {
            if now.saturating_duration_since(*since) >= PRUNE_AFTER {
                due.push(*slot);
            }
        }
        for (slot, since) in &self.suspects {
            if now.saturating_duration_since(*since) >= PRUNE_ZONE_AFTER {
                due.push(*slot);
            }
        }
        for slot in due {
            self.departed.remove(&slot);
            self.suspects.remove(&slot);
            if let Some(record) = self.table.remove(slot) {
                self.rumours.drop_subject(&Subject::Node(record.node.clone()));
                self.view(ViewChange::Removed(record.node));
            }
            probe::forget(self, slot);
        }
    }
}
