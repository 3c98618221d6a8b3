//! Membership: who is in the fleet, who answers, and how nodes tell each other.
//!
//! One ping a second goes to the next member of a shuffled round. A member that does not answer
//! directly nor through others is suspect, and failed when it does not refute that. Statements
//! spread as rumours on all datagrams; anti-entropy makes up for rumours that were missed.

mod merge;
mod outage;
mod ping;
pub mod rumours;
mod sync;
pub mod table;
pub mod zones;

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use oleandertiller_model::{Lifecycle, NodeName, ServiceName, ZoneName};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::{
    datagram::{Body, MembersPull, Rumour},
    record::{MemberState, Record},
};
use ping::PendingPing;
use rumours::Rumours;
use sync::TableTransfer;
use table::{Entry, Slot, Table};
use zones::Zones;

/// Interval of pings.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which other members are asked to ping a member that did not answer.
pub const INDIRECT_PING_DELAY: Duration = Duration::from_millis(500);

/// Members that are asked to ping.
pub const INDIRECT_PING_MEMBERS: usize = 3;

/// Time that a suspect has to refute.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Time that a suspect has to refute while many of its zone are suspect; it covers the seconds in
/// which rumours about a whole zone spread.
pub const CORRELATED_SUSPICION_TIMEOUT: Duration = Duration::from_secs(10);

/// Additional time of a suspicion that was learnt from others. The nodes that found the silence
/// themselves ask the zone and tell all others meanwhile; if every node of a large fleet asked, a
/// small zone would get thousands of pings for one failed member.
pub const REPORTED_SUSPICION_DELAY: Duration = Duration::from_secs(3);

/// Time for which records of failed and departed members are kept.
pub const PRUNE_AFTER: Duration = Duration::from_secs(600);

/// Time for which records of an unreachable zone are kept.
pub const PRUNE_UNREACHABLE_AFTER: Duration = Duration::from_secs(24 * 3_600);

/// Members that an urgent statement is pushed to at once by each node that learns it.
pub const PUSH_FANOUT: usize = 3;

/// Members that a leaving node tells at once.
pub const LEAVE_FANOUT: usize = 8;

/// Bytes of rumours that a node sends per second on average; with pings, answers and anti-entropy
/// this stays below the limit of 24 KB/s when a zone returns and every datagram could be filled.
const RUMOUR_BYTES_PER_SECOND: f64 = 12_000.0;

/// Bytes of rumours that may be sent at once.
const RUMOUR_BURST_BYTES: f64 = 12_000.0;

/// A longer gap between ticks means that the process was paused.
const PAUSE_MIN_GAP: Duration = Duration::from_secs(1);

/// A node that heard no member for this long suspects nobody, since the fault is probably its own.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Members from which on the rule above holds; in smaller fleets all others may well be gone.
const ISOLATION_MIN_MEMBERS: usize = 4;

/// What membership asks of its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Gossip address.
        to: SocketAddr,
        /// Name of the receiver, if it is known.
        node: Option<NodeName>,
        /// Question or answer.
        body: Body,
        /// Whether the local record must be on it.
        introduce: bool,
    },
    /// Pull a page of the member table and pass it to [`Membership::pulled`].
    Pull {
        /// Inner address of the peer.
        address: SocketAddr,
        /// Question.
        pull: MembersPull,
    },
    /// The view of the fleet has changed.
    View(ViewChange),
}

/// A change of the view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// A member is new or its record has changed.
    Updated(Box<Record>),
    /// A failed or departed member's record was dropped.
    Removed(NodeName),
    /// Most members of the zone are suspect; its members are kept but not selectable until heard.
    ZoneUnreachable(ZoneName),
    /// The zone's members answer again.
    ZoneReachable(ZoneName),
    /// The local node has raised its incarnation, since the fleet knew a higher one of its name.
    IncarnationRaised(u64),
}

/// Settings of [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Record of the local node.
    pub local: Record,
    /// Gossip addresses to join through: bootstrap entries of the store, or seeds of the settings.
    pub seeds: Vec<SocketAddr>,
    /// Services that the local upstream calls; their records are pulled first.
    pub called_services: Vec<ServiceName>,
    /// Seed of random choices.
    pub seed: u64,
}

/// Membership as seen by one node.
#[derive(Clone, Debug)]
pub struct Membership {
    local: Slot,
    table: Table,
    rumours: Rumours,
    /// Bytes of rumours that may be sent now.
    rumour_budget: f64,
    zones: Zones,
    rng: StdRng,
    seeds: Vec<SocketAddr>,
    called_services: Vec<ServiceName>,
    round: Vec<Slot>,
    round_position: usize,
    pending: BTreeMap<u64, PendingPing>,
    sequence: u64,
    /// When the time of each suspicion begins, later than now for [`REPORTED_SUSPICION_DELAY`].
    suspects: BTreeMap<Slot, Instant>,
    gone_since: BTreeMap<Slot, Instant>,
    joined: bool,
    transfer: Option<TableTransfer>,
    transferred_at: Option<Instant>,
    last_tick: Instant,
    last_heard: Instant,
    /// Results of the latest pings of the round, newest in the lowest bit; 1 is silence.
    missed_pings: u8,
    next_ping: Instant,
    next_sync: Instant,
    next_failed_ping: Instant,
    next_seed_ping: Instant,
    actions: Vec<Action>,
}

impl Membership {
    /// Creates the view of a newly started node.
    pub fn new(config: MembershipConfig, now: Instant) -> Self {
        let mut rng = StdRng::seed_from_u64(config.seed);
        let mut table = Table::new();
        let local = table.put(config.local.clone(), now);
        let mut rumours = Rumours::default();
        rumours.add(Rumour::Record(Box::new(config.local)));
        // Nodes that start together must not ping in step.
        let offset = PING_INTERVAL.mul_f64(rng.random::<f64>());
        Self {
            local,
            table,
            rumours,
            rumour_budget: RUMOUR_BURST_BYTES,
            zones: Zones::default(),
            seeds: config.seeds,
            called_services: config.called_services,
            round: Vec::new(),
            round_position: 0,
            pending: BTreeMap::new(),
            sequence: rng.random::<u32>().into(),
            suspects: BTreeMap::new(),
            gone_since: BTreeMap::new(),
            joined: false,
            transfer: None,
            transferred_at: None,
            last_tick: now,
            last_heard: now,
            missed_pings: 0,
            next_ping: now + offset,
            next_sync: now + sync::INTERVAL.mul_f64(rng.random::<f64>()),
            next_failed_ping: now + ping::FAILED_PING_INTERVAL,
            next_seed_ping: now,
            actions: Vec::new(),
            rng,
        }
    }

    /// Sets the addresses to join through, for instance after the bootstrap entries were read.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes the actions that are due; call it after every input.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the record of the local node.
    pub fn local(&self) -> &Record {
        &self.local_entry().record
    }

    /// Returns the table.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the number of rumours under way.
    pub fn rumour_count(&self) -> usize {
        self.rumours.len()
    }

    /// Returns the members of a service.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Record> {
        self.table.of_service(service).map(|entry| &entry.record)
    }

    /// Returns whether new work may be sent to the member as far as its answers go; its life cycle
    /// is in its record.
    pub fn is_selectable(&self, node: &NodeName) -> bool {
        let Some(slot) = self.table.slot(node) else { return false };
        if slot == self.local {
            return true;
        }
        self.table.entry(slot).is_some_and(|entry| self.is_entry_selectable(entry))
    }

    /// Returns the zones that are unreachable from here.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.unreachable()
    }

    /// Returns how many other members are known and have not left, failed ones included.
    pub fn known_peer_count(&self) -> usize {
        let gone = self.gone_since.keys().filter_map(|slot| self.table.entry(*slot));
        let left = gone.filter(|entry| entry.record.state == MemberState::Left).count();
        let own = usize::from(self.local().state != MemberState::Left);
        (self.table.len() - left).saturating_sub(own)
    }

    /// Returns for a zone how many of its store entries have a present holder, and how many
    /// present members it has; see [`crate::entries::Entries::observe`].
    pub fn zone_entries(&self, zone: &ZoneName) -> (usize, usize) {
        let slots = self.table.slots_of_zone(zone).iter();
        let present = slots.filter_map(|slot| self.table.entry(*slot));
        let present: Vec<_> = present.filter(|entry| entry.record.is_present()).collect();
        let held = present.iter().filter(|e| e.record.entry.is_some());
        let held = held.filter(|e| e.record.state == MemberState::Alive).count();
        (held, present.len())
    }

    /// Changes the local record and spreads it. The caller leaves name, incarnation, refutation
    /// counter and state as they are.
    pub fn update_local(&mut self, change: impl FnOnce(&mut Record), now: Instant) {
        let mut record = self.local().clone();
        change(&mut record);
        if record != *self.local() {
            record.refutation += 1;
            self.spread_local(record, now);
        }
    }

    /// Leaves as planned: tells some members at once.
    pub fn leave(&mut self, now: Instant) {
        let mut record = self.local().clone();
        record.refutation += 1;
        record.lifecycle = Lifecycle::Draining;
        record.state = MemberState::Left;
        self.spread_local(record, now);
        self.push(LEAVE_FANOUT);
    }

    /// Drops all rumours under way, for measurements that begin in the steady state.
    pub fn drop_rumours(&mut self) {
        self.rumours = Rumours::default();
    }

    /// Sends a datagram with rumours to `count` random members at once.
    pub fn push(&mut self, count: usize) {
        for slot in self.random_members(count, self.local) {
            self.send(slot, Body::Push);
        }
    }

    /// Returns the rumours for a datagram to `node`, as many as fit `room` bytes and the node's
    /// budget. What the receiver must refute comes first, whatever the budget.
    pub fn rumours_for(
        &mut self,
        node: Option<&NodeName>,
        introduce: bool,
        room: usize,
    ) -> Vec<Rumour> {
        let mut first = Vec::new();
        if introduce {
            first.push(Rumour::Record(Box::new(self.local().clone())));
        }
        let known = node.and_then(|node| self.table.get(node));
        if let Some(entry) = known.filter(|entry| entry.record.state != MemberState::Alive) {
            first.push(state_rumour(&entry.record));
        }
        let used: usize = first.iter().map(|r| oleandertiller_model::codec::encode(r).len()).sum();
        if used > room {
            return Vec::new();
        }
        let room = (room - used).min(self.rumour_budget as usize);
        let (taken, bytes) = self.rumours.take(room, self.table.present());
        self.rumour_budget -= bytes as f64;
        first.extend(taken);
        first
    }

    fn local_entry(&self) -> &Entry {
        self.table.entry(self.local).expect("the local record is never removed")
    }

    fn is_entry_selectable(&self, entry: &Entry) -> bool {
        let reachable = match self.zones.unreachable_since(&entry.record.zone) {
            Some(since) => entry.heard_at.is_some_and(|heard_at| heard_at >= since),
            None => true,
        };
        entry.record.state == MemberState::Alive && reachable
    }

    fn spread_local(&mut self, record: Record, now: Instant) {
        let urgent = is_urgent(&record);
        self.table.put(record.clone(), now);
        self.rumours.add(Rumour::Record(Box::new(record.clone())));
        self.emit_change(ViewChange::Updated(Box::new(record)));
        if urgent {
            self.push(PUSH_FANOUT);
        }
    }

    fn emit_change(&mut self, change: ViewChange) {
        self.actions.push(Action::View(change));
    }

    fn send(&mut self, slot: Slot, body: Body) {
        let Some(entry) = self.table.entry(slot) else { return };
        let to = entry.record.addresses.gossip;
        let node = Some(entry.record.node.clone());
        self.actions.push(Action::Send { to, node, body, introduce: false });
    }

    /// Returns up to `count` different alive members at random, without the local one and `excluded`.
    fn random_members(&mut self, count: usize, excluded: Slot) -> Vec<Slot> {
        let slots = self.table.slot_count();
        let mut found = Vec::with_capacity(count);
        // Most slots hold alive members; the bound covers tables of mostly failed ones.
        for _ in 0..count * 8 {
            let slot = self.rng.random_range(0..slots) as Slot;
            let alive = self.table.entry(slot).is_some_and(|entry| self.is_entry_selectable(entry));
            if alive && slot != self.local && slot != excluded && !found.contains(&slot) {
                found.push(slot);
            }
            if found.len() == count {
                break;
            }
        }
        found
    }
}

/// Returns whether a statement is pushed at once: a member that leaves must get no new work
/// within 3 s.
fn is_urgent(record: &Record) -> bool {
    record.lifecycle == Lifecycle::Draining || record.state == MemberState::Left
}

fn state_rumour(record: &Record) -> Rumour {
    Rumour::State {
        node: record.node.clone(),
        incarnation: record.incarnation,
        refutation: record.refutation,
        state: record.state,
    }
}
