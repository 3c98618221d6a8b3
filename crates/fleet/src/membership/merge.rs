//! Merging statements of other members: precedence, suspicion, refutation and removal.

use std::time::Instant;

use oleandertiller_model::NodeName;

use super::{
    CORRELATED_SUSPICION_TIMEOUT, Membership, PRUNE_AFTER, PRUNE_UNREACHABLE_AFTER, PUSH_FANOUT,
    REPORTED_SUSPICION_DELAY, SUSPICION_TIMEOUT, ViewChange, is_urgent, ping, rumours::Subject,
    state_rumour, table::Slot, zones,
};
use crate::{
    datagram::Rumour,
    record::{MemberState, Record},
};

impl Membership {
    /// Processes the rumours of a datagram.
    pub fn merge_rumours(&mut self, rumours: Vec<Rumour>, now: Instant) {
        for rumour in rumours {
            match rumour {
                Rumour::Record(record) => self.merge(*record, true, now),
                Rumour::State { node, incarnation, refutation, state } => {
                    self.merge_state(&node, incarnation, refutation, state, now);
                }
                Rumour::ZoneAnswers(zone) => self.handle_zone_answers(&zone, now),
                Rumour::ZoneSilent(zone) => self.handle_zone_silent(&zone, now),
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
        // The rest of a newer record is missing here; anti-entropy transfers it.
        if (incarnation, refutation) > (known.0, known.1) && *node != self.local().node {
            return;
        }
        self.merge(record, true, now);
    }

    /// Merges a statement about one member; `spread` passes it on as a rumour.
    pub(super) fn merge(&mut self, record: Record, spread: bool, now: Instant) {
        let slot = self.table.slot(&record.node);
        if slot == Some(self.local) {
            self.refute(&record, now);
            return;
        }
        let known = slot.and_then(|slot| self.table.entry(slot));
        let accepted = match known {
            Some(known) => record.supersedes(&known.record),
            // A node that never knew a failed or departed member does not need its record.
            None => record.is_present(),
        };
        let reports_failure = matches!(record.state, MemberState::Suspect | MemberState::Failed);
        let zone_unreachable = self.zones.unreachable_since(&record.zone).is_some();
        if !accepted || (reports_failure && zone_unreachable) {
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
        self.track_state(slot, state, now);
        if spread {
            let state_only = matches!(state, MemberState::Suspect | MemberState::Failed);
            let rumour = if state_only {
                state_rumour(&record)
            } else {
                Rumour::Record(Box::new(record.clone()))
            };
            self.rumours.add(rumour);
        }
        let zone = record.zone.clone();
        self.emit_change(ViewChange::Updated(Box::new(record)));
        if state == MemberState::Suspect {
            self.check_zone_if_needed(&zone, now);
        }
    }

    fn track_state(&mut self, slot: Slot, state: MemberState, now: Instant) {
        match state {
            MemberState::Suspect => {
                self.suspects.entry(slot).or_insert(now + REPORTED_SUSPICION_DELAY);
            }
            _ => {
                self.suspects.remove(&slot);
            }
        }
        if state >= MemberState::Failed {
            self.gone_since.entry(slot).or_insert(now);
        } else {
            self.gone_since.remove(&slot);
        }
    }

    /// Refutes a statement about the local node that supersedes its own record.
    fn refute(&mut self, claim: &Record, now: Instant) {
        let own = self.local().clone();
        if own.state == MemberState::Left || claim.precedence() <= own.precedence() {
            return;
        }
        let mut record = own.clone();
        if claim.incarnation > own.incarnation {
            // The clock of an earlier process with this name was ahead of the current clock.
            record.incarnation = claim.incarnation + 1;
            record.refutation = 0;
            self.emit_change(ViewChange::IncarnationRaised(record.incarnation));
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
        self.suspects.insert(slot, now);
        self.adopt(record, true, now);
    }

    /// Declares those suspects failed whose timeout has passed.
    pub(super) fn expire_suspects(&mut self, now: Instant) {
        if self.suspects.is_empty() || self.is_isolated(now) {
            return;
        }
        let due: Vec<_> = self
            .suspects
            .iter()
            .filter(|(_, since)| now.saturating_duration_since(**since) >= SUSPICION_TIMEOUT)
            .map(|(slot, since)| (*slot, *since))
            .collect();
        let correlated = self.correlated_zones(&due, now);
        // A partition causes suspects in many zones before any single zone has several.
        let widespread = zones::are_correlated(self.suspects.len(), self.table.present())
            || self.has_missed_pings();
        for (slot, since) in due {
            let Some(entry) = self.table.entry(slot) else { continue };
            let record = Record { state: MemberState::Failed, ..entry.record.clone() };
            let zone = &record.zone;
            let waited = now.saturating_duration_since(since);
            let zone_unreachable = self.zones.unreachable_since(zone).is_some();
            let extended = widespread || correlated.get(zone).is_some_and(|correlated| *correlated);
            if zone_unreachable || (extended && waited < CORRELATED_SUSPICION_TIMEOUT) {
                continue;
            }
            // All nodes adopt this decision, and the first to make it may not know enough about a
            // larger outage yet.
            if self.confirm_zone_reachable(zone, since, now) {
                self.adopt(record, true, now);
            }
        }
    }

    /// Removes the records of members that failed, left or became unreachable long ago.
    pub(super) fn prune(&mut self, now: Instant) {
        if self.is_isolated(now) {
            return;
        }
        let mut due: Vec<Slot> = Vec::new();
        for (slot, since) in &self.gone_since {
            if now.saturating_duration_since(*since) >= PRUNE_AFTER {
                due.push(*slot);
            }
        }
        for (slot, since) in &self.suspects {
            if now.saturating_duration_since(*since) >= PRUNE_UNREACHABLE_AFTER {
                due.push(*slot);
            }
        }
        for slot in due {
            self.gone_since.remove(&slot);
            self.suspects.remove(&slot);
            if let Some(record) = self.table.remove(slot) {
                self.rumours.drop_subject(&Subject::Node(record.node.clone()));
                self.emit_change(ViewChange::Removed(record.node));
            }
            ping::drop_pings(self, slot);
        }
    }
}
