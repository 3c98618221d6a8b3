//! Pings, indirect pings and their time-outs.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use oleandertiller_model::NodeName;
use rand::{Rng, seq::SliceRandom};

use super::{
    Action, INDIRECT_AFTER, INDIRECT_COUNT, Membership, OWN_FAULT_AFTER, OWN_FAULT_MEMBERS, PAUSE,
    PROBE_INTERVAL, RUMOUR_BURST_BYTES, RUMOUR_BYTES_PER_SECOND, table::Slot, zones,
};
use crate::{
    datagram::{Body, Datagram, Rumour},
    record::MemberState,
};

/// Interval of pings to failed members, which may have been cut off by a partition.
pub const DEPARTED_INTERVAL: Duration = Duration::from_secs(10);

/// Interval of pings to seeds that are not members; two fleets that lost each other's records
/// meet again through them.
const SEED_INTERVAL: Duration = Duration::from_secs(30);

/// Interval of pings to seeds until one has answered.
const JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Seeds pinged at once.
const SEEDS_AT_ONCE: usize = 3;

/// A ping without an answer yet.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    asked: Instant,
    kind: Kind,
}

#[derive(Clone, Debug, PartialEq)]
enum Kind {
    /// Member of the round; silence makes it suspect.
    Round { slot: Slot, indirect: bool },
    /// Ping whose silence means nothing.
    Other,
    /// Ping on behalf of another node.
    Relay { to: SocketAddr, node: NodeName, sequence: u64 },
}

/// An answer that this node asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answered {
    /// When the question was sent.
    pub asked: Instant,
}

/// Drops pings to a slot that is about to be reused.
pub(super) fn forget(membership: &mut Membership, slot: Slot) {
    membership
        .pending
        .retain(|_, pending| !matches!(pending.kind, Kind::Round { slot: s, .. } if s == slot));
}

impl Membership {
    /// Does what is due at `now`; call it every 100 ms.
    pub fn tick(&mut self, now: Instant) {
        self.notice_pause(now);
        self.refill_rumour_budget(now);
        self.last_tick = now;
        if self.local().state == MemberState::Left {
            return;
        }
        self.time_out_pings(now);
        self.expire_suspects(now);
        self.prune(now);
        if now >= self.next_probe {
            self.next_probe = (self.next_probe + PROBE_INTERVAL).max(now);
            self.ping_next(now);
        }
        self.ping_seeds(now);
        self.ping_departed(now);
        self.tick_zones(now);
        self.tick_sync(now);
    }

    /// Forgets pings from before a pause, whose answers may wait in the socket's buffer, and gives
    /// suspects the time of the pause.
    pub(super) fn notice_pause(&mut self, now: Instant) {
        let gap = now.saturating_duration_since(self.last_tick);
        if gap <= PAUSE {
            return;
        }
        self.last_tick = now;
        self.pending.clear();
        self.zones.drop_checks();
        self.next_probe = now;
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

    /// Pings up to `count` random members at once, for a node that must hear somebody.
    pub fn ping_random(&mut self, count: usize, now: Instant) {
        for slot in self.random_members(count, self.local) {
            self.ping(slot, Kind::Other, now);
        }
    }

    /// Takes in question or answer of a datagram. Returns when its question was asked if it is an
    /// answer that this node waits for.
    pub fn receive(
        &mut self,
        datagram: &Datagram,
        source: SocketAddr,
        now: Instant,
    ) -> Option<Answered> {
        self.notice_pause(now);
        let sender = self.table.slot(&datagram.from);
        if let Some(slot) = sender {
            self.heard_from(slot, now);
        }
        match &datagram.body {
            Body::Ping { sequence } => self.pinged(datagram, source, *sequence),
            Body::PingRequest { sequence, address } => {
                let kind =
                    Kind::Relay { to: source, node: datagram.from.clone(), sequence: *sequence };
                self.ping_address(*address, kind, now);
            }
            Body::Ack { sequence, indirect } => {
                return self.acked(sender, *sequence, *indirect, now);
            }
            Body::Digest { buckets } => self.digest_received(datagram, source, buckets, now),
            Body::Summary { from, to, entries, .. } => {
                self.summary_received(datagram, source, (*from, *to), entries);
            }
            Body::Records { records, wanted } => {
                self.records_received(datagram, source, records, wanted, now);
            }
            Body::Push => {}
        }
        None
    }

    /// Returns whether this node hears nobody although it should.
    pub(super) fn is_own_fault(&self, now: Instant) -> bool {
        self.table.present() >= OWN_FAULT_MEMBERS
            && now.saturating_duration_since(self.last_heard) > OWN_FAULT_AFTER
    }

    /// Returns whether several of the latest four pings got no answer.
    pub(super) fn hears_few(&self) -> bool {
        (self.silences & 0b1111).count_ones() >= 2
    }

    fn heard_from(&mut self, slot: Slot, now: Instant) {
        self.last_heard = now;
        self.table.touch(slot, now);
        let Some(entry) = self.table.entry(slot) else { return };
        let zone = entry.record.zone.clone();
        if self.zones.hint(&zone, now) {
            self.ping_zone(&zone, zones::PROBE_BURST, now);
        }
    }

    fn pinged(&mut self, datagram: &Datagram, source: SocketAddr, sequence: u64) {
        // A node that introduces itself does not know this one.
        let introduced = datagram
            .rumours
            .iter()
            .any(|r| matches!(r, Rumour::Record(record) if record.node == datagram.from));
        let known = self.table.slot(&datagram.from).is_some();
        self.out.push(Action::Send {
            to: source,
            node: Some(datagram.from.clone()),
            body: Body::Ack { sequence, indirect: false },
            introduce: introduced || !known,
        });
    }

    fn acked(
        &mut self,
        sender: Option<Slot>,
        sequence: u64,
        indirect: bool,
        now: Instant,
    ) -> Option<Answered> {
        let pending = self.pending.remove(&sequence)?;
        match pending.kind {
            Kind::Relay { to, node, sequence } => {
                let body = Body::Ack { sequence, indirect: true };
                self.out.push(Action::Send { to, node: Some(node), body, introduce: false });
            }
            Kind::Round { slot, .. } => {
                self.silences <<= 1;
                self.answered(slot, now);
            }
            Kind::Other => {}
        }
        if let Some(slot) = sender.filter(|_| !indirect) {
            self.answered(slot, now);
        }
        if !self.joined {
            self.joined = true;
            self.start_pull(sender, now);
        }
        Some(Answered { asked: pending.asked })
    }

    fn ping_next(&mut self, now: Instant) {
        for _ in 0..=self.order.len().max(1) {
            if self.cursor >= self.order.len() {
                self.new_round();
                if self.order.is_empty() {
                    return;
                }
            }
            let slot = self.order[self.cursor];
            self.cursor += 1;
            if self.is_round_target(slot) {
                self.ping(slot, Kind::Round { slot, indirect: false }, now);
                return;
            }
        }
    }

    fn new_round(&mut self) {
        self.cursor = 0;
        self.order = (0..self.table.slot_count() as Slot).collect();
        let mut order = std::mem::take(&mut self.order);
        order.retain(|slot| self.is_round_target(*slot));
        order.shuffle(&mut self.rng);
        self.order = order;
    }

    fn is_round_target(&self, slot: Slot) -> bool {
        let Some(entry) = self.table.entry(slot) else { return false };
        let cut_off = self.zones.unreachable_since(&entry.record.zone).is_some()
            && !self.entry_selectable(entry);
        slot != self.local && entry.record.is_present() && !cut_off
    }

    /// Pings a member; silence has no effect.
    pub(super) fn ping_silently(&mut self, slot: Slot, now: Instant) {
        self.ping(slot, Kind::Other, now);
    }

    fn ping(&mut self, slot: Slot, kind: Kind, now: Instant) {
        let sequence = self.expect(kind, now);
        self.send(slot, Body::Ping { sequence });
    }

    fn ping_address(&mut self, to: SocketAddr, kind: Kind, now: Instant) {
        let introduce = kind == Kind::Other;
        let sequence = self.expect(kind, now);
        let body = Body::Ping { sequence };
        self.out.push(Action::Send { to, node: None, body, introduce });
    }

    fn expect(&mut self, kind: Kind, now: Instant) -> u64 {
        self.sequence += 1;
        self.pending.insert(self.sequence, Pending { asked: now, kind });
        self.sequence
    }

    fn time_out_pings(&mut self, now: Instant) {
        let mut ask = Vec::new();
        let mut silent = Vec::new();
        self.pending.retain(|sequence, pending| {
            let waited = now.saturating_duration_since(pending.asked);
            if let Kind::Round { slot, indirect } = &mut pending.kind {
                if waited >= INDIRECT_AFTER && !*indirect {
                    *indirect = true;
                    ask.push((*sequence, *slot));
                }
                if waited >= PROBE_INTERVAL {
                    silent.push(*slot);
                }
            }
            waited < PROBE_INTERVAL
        });
        for (sequence, slot) in ask {
            self.ask_others(sequence, slot);
        }
        for slot in silent {
            self.silences = self.silences << 1 | 1;
            if !self.is_own_fault(now) {
                self.suspect(slot, now);
            }
        }
    }

    fn ask_others(&mut self, sequence: u64, target: Slot) {
        let Some(entry) = self.table.entry(target) else { return };
        let address = entry.record.addresses.gossip;
        for slot in self.random_members(INDIRECT_COUNT, target) {
            self.send(slot, Body::PingRequest { sequence, address });
        }
    }

    fn ping_seeds(&mut self, now: Instant) {
        if now < self.next_seed || self.seeds.is_empty() {
            return;
        }
        let wait = if self.joined { SEED_INTERVAL } else { JOIN_INTERVAL };
        self.next_seed = now + wait.mul_f64(self.rng.random_range(0.5..1.5));
        let own = self.local().addresses.gossip;
        let mut seeds: Vec<_> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        seeds.shuffle(&mut self.rng);
        let count = if self.joined { 1 } else { SEEDS_AT_ONCE };
        for to in seeds.into_iter().take(count) {
            self.ping_address(to, Kind::Other, now);
        }
    }

    /// Pings a failed member; if it answers, it learns what is said of it and refutes.
    fn ping_departed(&mut self, now: Instant) {
        if now < self.next_departed {
            return;
        }
        self.next_departed = now + DEPARTED_INTERVAL;
        let is_failed = |slot: &&Slot| {
            self.table.entry(**slot).is_some_and(|e| e.record.state == MemberState::Failed)
        };
        let failed: Vec<Slot> = self.departed.keys().filter(is_failed).copied().collect();
        if failed.is_empty() {
            return;
        }
        let slot = failed[self.rng.random_range(0..failed.len())];
        self.ping(slot, Kind::Other, now);
    }
}
