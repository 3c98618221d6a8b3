//! Direct and indirect pings, and their timeouts.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use oleandertiller_model::NodeName;
use rand::{Rng, seq::SliceRandom};

use super::{
    Action, INDIRECT_PING_DELAY, INDIRECT_PING_MEMBERS, ISOLATION_TIMEOUT, MAX_TICK_GAP,
    MIN_ISOLATION_MEMBERS, Membership, PING_INTERVAL, RUMOUR_BURST_BYTES, RUMOUR_BYTES_PER_SECOND,
    table::Slot, zones,
};
use crate::{
    datagram::{Body, Datagram, Rumour},
    record::MemberState,
};

/// Interval between pings to failed members, which a partition may have cut off.
pub const FAILED_PING_INTERVAL: Duration = Duration::from_secs(10);

/// Interval between pings to seeds after joining. Two halves of a fleet that pruned each other's
/// records find each other again through the seeds.
const SEED_PING_INTERVAL: Duration = Duration::from_secs(30);

/// Interval between pings to seeds until the node has joined.
const JOIN_PING_INTERVAL: Duration = Duration::from_secs(1);

/// Number of seeds pinged at each interval until the node has joined.
const JOIN_PING_SEEDS: usize = 3;

/// A ping that waits for its answer.
#[derive(Clone, Debug)]
pub(super) struct PendingPing {
    sent_at: Instant,
    kind: PingKind,
}

#[derive(Clone, Debug, PartialEq)]
enum PingKind {
    /// Ping of the round; a member that does not answer becomes suspect.
    Round { slot: Slot, indirect: bool },
    /// Ping whose missed answer has no effect.
    Other,
    /// Ping on behalf of another node, which gets the answer relayed.
    Relay { to: SocketAddr, node: NodeName, sequence: u64 },
}

/// Answer to a ping of this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PingAnswer {
    /// When the ping was sent.
    pub sent_at: Instant,
}

/// Drops pings to a slot that is about to be reused.
pub(super) fn drop_pings(membership: &mut Membership, slot: Slot) {
    membership
        .pending
        .retain(|_, pending| !matches!(pending.kind, PingKind::Round { slot: s, .. } if s == slot));
}

impl Membership {
    /// Runs the timers that are due at `now`; call it every [`TICK`](crate::TICK).
    pub fn tick(&mut self, now: Instant) {
        self.handle_pause(now);
        self.refill_rumour_budget(now);
        self.last_tick = now;
        if self.local().state == MemberState::Left {
            return;
        }
        self.time_out_pings(now);
        self.expire_suspects(now);
        self.prune(now);
        if now >= self.next_ping {
            self.next_ping = (self.next_ping + PING_INTERVAL).max(now);
            self.ping_next_member(now);
        }
        self.ping_seeds(now);
        self.ping_failed_member(now);
        self.tick_zones(now);
        self.tick_sync(now);
    }

    /// Detects a pause of the process. Drops earlier pings, whose answers may wait in the socket's
    /// buffer, and extends suspicions by the length of the pause.
    pub(super) fn handle_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap <= MAX_TICK_GAP {
            return;
        }
        self.last_tick = now;
        self.pending.clear();
        self.zones.drop_checks();
        self.next_ping = now;
        self.last_heard = now;
        for since in self.suspects.values_mut() {
            *since += gap;
        }
    }

    fn refill_rumour_budget(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.last_tick).as_secs_f64();
        let budget = self.rumour_budget + RUMOUR_BYTES_PER_SECOND * elapsed;
        self.rumour_budget = budget.min(RUMOUR_BURST_BYTES);
    }

    /// Pings up to `count` random members at once, for a stale node that needs answers.
    pub fn ping_random(&mut self, count: usize, now: Instant) {
        for slot in self.random_members(count, self.local) {
            self.ping(slot, PingKind::Other, now);
        }
    }

    /// Processes the body of a datagram. Returns the answer if it belongs to a pending ping.
    pub fn receive(
        &mut self,
        datagram: &Datagram,
        source: SocketAddr,
        now: Instant,
    ) -> Option<PingAnswer> {
        self.handle_pause(now);
        let sender = self.table.slot(&datagram.from);
        if let Some(slot) = sender {
            self.record_heard(slot, now);
        }
        match &datagram.body {
            Body::Ping { sequence } => self.handle_ping(datagram, source, *sequence),
            Body::PingRequest { sequence, address } => {
                let kind = PingKind::Relay {
                    to: source,
                    node: datagram.from.clone(),
                    sequence: *sequence,
                };
                self.ping_address(*address, kind, now);
            }
            Body::Ack { sequence, indirect } => {
                return self.handle_ack(sender, *sequence, *indirect, now);
            }
            Body::Digest { buckets } => self.handle_digest(datagram, source, buckets, now),
            Body::Summary { from, to, entries, .. } => {
                self.handle_summary(datagram, source, (*from, *to), entries);
            }
            Body::Records { records, wanted } => {
                self.handle_records(datagram, source, records, wanted, now);
            }
            Body::Push => {}
        }
        None
    }

    /// Returns whether this node hears from no member although enough are present.
    pub(super) fn is_isolated(&self, now: Instant) -> bool {
        self.table.present() >= MIN_ISOLATION_MEMBERS
            && now.saturating_duration_since(self.last_heard) > ISOLATION_TIMEOUT
    }

    /// Returns whether at least two of the latest four pings got no answer.
    pub(super) fn has_missed_pings(&self) -> bool {
        (self.missed_pings & 0b1111).count_ones() >= 2
    }

    /// Records that a datagram of the member in `slot` arrived, and pings its zone if that is
    /// unreachable.
    fn record_heard(&mut self, slot: Slot, now: Instant) {
        self.last_heard = now;
        self.table.mark_heard(slot, now);
        let Some(entry) = self.table.entry(slot) else { return };
        let zone = entry.record.zone.clone();
        if self.zones.start_ping_burst(&zone, now) {
            self.ping_zone(&zone, zones::PING_BURST, now);
        }
    }

    fn handle_ping(&mut self, datagram: &Datagram, source: SocketAddr, sequence: u64) {
        // A node that includes its record does not know this node yet.
        let introduced = datagram
            .rumours
            .iter()
            .any(|r| matches!(r, Rumour::Record(record) if record.node == datagram.from));
        let known = self.table.slot(&datagram.from).is_some();
        self.actions.push(Action::Send {
            to: source,
            node: Some(datagram.from.clone()),
            body: Body::Ack { sequence, indirect: false },
            introduce: introduced || !known,
        });
    }

    fn handle_ack(
        &mut self,
        sender: Option<Slot>,
        sequence: u64,
        indirect: bool,
        now: Instant,
    ) -> Option<PingAnswer> {
        let pending = self.pending.remove(&sequence)?;
        match pending.kind {
            PingKind::Relay { to, node, sequence } => {
                let body = Body::Ack { sequence, indirect: true };
                self.actions.push(Action::Send { to, node: Some(node), body, introduce: false });
            }
            PingKind::Round { slot, .. } => {
                self.missed_pings <<= 1;
                self.record_answer(slot, now);
            }
            PingKind::Other => {}
        }
        if let Some(slot) = sender.filter(|_| !indirect) {
            self.record_answer(slot, now);
        }
        if !self.joined {
            self.joined = true;
            self.start_transfer(sender, now);
        }
        Some(PingAnswer { sent_at: pending.sent_at })
    }

    fn ping_next_member(&mut self, now: Instant) {
        for _ in 0..=self.round.len().max(1) {
            if self.round_position >= self.round.len() {
                self.start_round();
                if self.round.is_empty() {
                    return;
                }
            }
            let slot = self.round[self.round_position];
            self.round_position += 1;
            if self.is_round_target(slot) {
                self.ping(slot, PingKind::Round { slot, indirect: false }, now);
                return;
            }
        }
    }

    fn start_round(&mut self) {
        self.round_position = 0;
        self.round = (0..self.table.slot_count() as Slot).collect();
        let mut round = std::mem::take(&mut self.round);
        round.retain(|slot| self.is_round_target(*slot));
        round.shuffle(&mut self.rng);
        self.round = round;
    }

    fn is_round_target(&self, slot: Slot) -> bool {
        let Some(entry) = self.table.entry(slot) else { return false };
        let cut_off = self.zones.unreachable_since(&entry.record.zone).is_some()
            && !self.is_entry_selectable(entry);
        slot != self.local && entry.record.is_present() && !cut_off
    }

    /// Pings a member; a missed answer has no effect.
    pub(super) fn ping_without_suspicion(&mut self, slot: Slot, now: Instant) {
        self.ping(slot, PingKind::Other, now);
    }

    fn ping(&mut self, slot: Slot, kind: PingKind, now: Instant) {
        let sequence = self.register_ping(kind, now);
        self.send(slot, Body::Ping { sequence });
    }

    fn ping_address(&mut self, to: SocketAddr, kind: PingKind, now: Instant) {
        let introduce = kind == PingKind::Other;
        let sequence = self.register_ping(kind, now);
        let body = Body::Ping { sequence };
        self.actions.push(Action::Send { to, node: None, body, introduce });
    }

    fn register_ping(&mut self, kind: PingKind, now: Instant) -> u64 {
        self.sequence += 1;
        self.pending.insert(self.sequence, PendingPing { sent_at: now, kind });
        self.sequence
    }

    fn time_out_pings(&mut self, now: Instant) {
        let mut unanswered = Vec::new();
        let mut silent = Vec::new();
        self.pending.retain(|sequence, pending| {
            let waited = now.saturating_duration_since(pending.sent_at);
            if let PingKind::Round { slot, indirect } = &mut pending.kind {
                if waited >= INDIRECT_PING_DELAY && !*indirect {
                    *indirect = true;
                    unanswered.push((*sequence, *slot));
                }
                if waited >= PING_INTERVAL {
                    silent.push(*slot);
                }
            }
            waited < PING_INTERVAL
        });
        for (sequence, slot) in unanswered {
            self.request_indirect_pings(sequence, slot);
        }
        for slot in silent {
            self.missed_pings = self.missed_pings << 1 | 1;
            if !self.is_isolated(now) {
                self.suspect(slot, now);
            }
        }
    }

    fn request_indirect_pings(&mut self, sequence: u64, target: Slot) {
        let Some(entry) = self.table.entry(target) else { return };
        let address = entry.record.addresses.gossip;
        for slot in self.random_members(INDIRECT_PING_MEMBERS, target) {
            self.send(slot, Body::PingRequest { sequence, address });
        }
    }

    fn ping_seeds(&mut self, now: Instant) {
        if now < self.next_seed_ping || self.seeds.is_empty() {
            return;
        }
        let wait = if self.joined { SEED_PING_INTERVAL } else { JOIN_PING_INTERVAL };
        self.next_seed_ping = now + wait.mul_f64(self.rng.random_range(0.5..1.5));
        let own = self.local().addresses.gossip;
        let mut seeds: Vec<_> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        seeds.shuffle(&mut self.rng);
        let count = if self.joined { 1 } else { JOIN_PING_SEEDS };
        for to in seeds.into_iter().take(count) {
            self.ping_address(to, PingKind::Other, now);
        }
    }

    /// Pings a failed member. If it is running, the ping carries the statement for it to refute.
    fn ping_failed_member(&mut self, now: Instant) {
        if now < self.next_failed_ping {
            return;
        }
        self.next_failed_ping = now + FAILED_PING_INTERVAL;
        let is_failed = |slot: &&Slot| {
            self.table.entry(**slot).is_some_and(|e| e.record.state == MemberState::Failed)
        };
        let failed: Vec<Slot> = self.gone_since.keys().filter(is_failed).copied().collect();
        if failed.is_empty() {
            return;
        }
        let slot = failed[self.rng.random_range(0..failed.len())];
        self.ping(slot, PingKind::Other, now);
    }
}
