//! Fleet membership: failure detection and the spread of member records (SWIM).
//!
//! A node pings one member a second, in the order of a shuffled round. A member that answers
//! neither directly nor through others becomes suspect, and failed if it does not refute that in
//! time. Statements spread as rumours on all datagrams; anti-entropy repairs missed rumours.

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

/// Interval between the pings of a round.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);

/// Time without an answer after which other members are asked to ping a member.
pub const INDIRECT_PING_DELAY: Duration = Duration::from_millis(500);

/// Number of members that are asked for an indirect ping.
pub const INDIRECT_PING_MEMBERS: usize = 3;

/// Time within which a suspect must refute the suspicion.
pub const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Suspicion timeout while many members of the zone are suspect; it covers the seconds in which
/// rumours about a whole zone spread.
pub const CORRELATED_SUSPICION_TIMEOUT: Duration = Duration::from_secs(10);

/// Additional time before a suspicion reported by another node expires. Meanwhile the nodes that
/// missed answers themselves check the zone and spread the result; if every node of a large fleet
/// checked, a small zone would get thousands of pings for one failed member.
pub const REPORTED_SUSPICION_DELAY: Duration = Duration::from_secs(3);

/// Time for which records of failed and departed members are kept.
pub const PRUNE_AFTER: Duration = Duration::from_secs(600);

/// Time for which records of an unreachable zone are kept.
pub const PRUNE_UNREACHABLE_AFTER: Duration = Duration::from_secs(24 * 3_600);

/// Number of members to which each node pushes an urgent statement as soon as it receives it.
pub const PUSH_FANOUT: usize = 3;

/// Number of members to which a leaving node pushes its departure.
pub const LEAVE_FANOUT: usize = 8;

/// Average rate of rumours that a node sends, in bytes/s. With pings, answers and anti-entropy it
/// stays below the limit of 24 KB/s when a zone returns and rumours could fill every datagram.
const RUMOUR_BYTES_PER_SECOND: f64 = 12_000.0;

/// Maximum size of the rumours that a node sends in a burst, in bytes.
const RUMOUR_BURST_BYTES: f64 = 12_000.0;

/// Gap between ticks above which the process counts as paused.
const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Time without a datagram from any member after which a node suspects nobody, since the fault is
/// probably its own.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum number of present members for [`ISOLATION_TIMEOUT`] to apply; in smaller fleets all
/// others may well have failed.
const MIN_ISOLATION_MEMBERS: usize = 4;

/// Action that [`Membership`] requests from its caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a datagram.
    Send {
        /// Gossip address of the receiver.
        to: SocketAddr,
        /// Name of the receiver, if it is known.
        node: Option<NodeName>,
        /// Request or answer.
        body: Body,
        /// Whether the datagram must include the local record.
        introduce: bool,
    },
    /// Pull a page of the member table, and pass it to [`Membership::receive_page`].
    Pull {
        /// Inner address of the peer.
        address: SocketAddr,
        /// Request for the next page.
        pull: MembersPull,
    },
    /// The view of the fleet has changed.
    View(ViewChange),
}

/// Change of the local view of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ViewChange {
    /// A member is new or its record has changed.
    Updated(Box<Record>),
    /// The record of a failed or departed member was removed.
    Removed(NodeName),
    /// The zone is unreachable: its members are kept, but each is selectable only once it is heard
    /// from again.
    ZoneUnreachable(ZoneName),
    /// The zone's members answer again.
    ZoneReachable(ZoneName),
    /// The local node raised its incarnation, because the fleet knew a higher one of its name.
    IncarnationRaised(u64),
}

/// Configuration of [`Membership`].
#[derive(Clone, Debug)]
pub struct MembershipConfig {
    /// Record of the local node.
    pub local: Record,
    /// Gossip addresses to join through, from the zone entries in the store or from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Services that the local upstream calls; records of their members are pulled first.
    pub called_services: Vec<ServiceName>,
    /// Seed of the random number generator.
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
    /// Members in the order in which the current round pings them.
    round: Vec<Slot>,
    round_position: usize,
    pending: BTreeMap<u64, PendingPing>,
    sequence: u64,
    /// Start of each suspicion's timeout; [`REPORTED_SUSPICION_DELAY`] puts it in the future.
    suspects: BTreeMap<Slot, Instant>,
    /// Failed and departed members, with the time when this node learned of it.
    gone_since: BTreeMap<Slot, Instant>,
    /// Whether a ping of this node was ever answered.
    joined: bool,
    transfer: Option<TableTransfer>,
    /// End of the latest transfer of the member table.
    transferred_at: Option<Instant>,
    last_tick: Instant,
    /// When the last datagram of any member arrived.
    last_heard: Instant,
    /// Results of the latest pings of the round, the newest in the lowest bit; 1 means no answer.
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
        // Spreads the pings of nodes that start at the same time.
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
            next_sync: now + sync::SYNC_INTERVAL.mul_f64(rng.random::<f64>()),
            next_failed_ping: now + ping::FAILED_PING_INTERVAL,
            next_seed_ping: now,
            actions: Vec::new(),
            rng,
        }
    }

    /// Sets the addresses to join through, for example after the zone entries were read.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds;
    }

    /// Takes the pending actions; call it after every input.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Returns the record of the local node.
    pub fn local(&self) -> &Record {
        &self.local_entry().record
    }

    /// Returns the table of all known members, including the local one.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Returns the number of queued rumours.
    pub fn rumour_count(&self) -> usize {
        self.rumours.len()
    }

    /// Returns the records of a service's members, in any state.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Record> {
        self.table.of_service(service).map(|entry| &entry.record)
    }

    /// Returns whether the member is alive and reachable, so that new work may be sent to it. Its
    /// life cycle is not considered.
    pub fn is_selectable(&self, node: &NodeName) -> bool {
        let Some(slot) = self.table.slot(node) else { return false };
        if slot == self.local {
            return true;
        }
        self.table.entry(slot).is_some_and(|entry| self.is_entry_selectable(entry))
    }

    /// Returns the zones that are unreachable from this node.
    pub fn unreachable_zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.zones.unreachable()
    }

    /// Returns the number of other members that have not left, including failed ones.
    pub fn known_peer_count(&self) -> usize {
        let gone = self.gone_since.keys().filter_map(|slot| self.table.entry(*slot));
        let left = gone.filter(|entry| entry.record.state == MemberState::Left).count();
        let own = usize::from(self.local().state != MemberState::Left);
        (self.table.len() - left).saturating_sub(own)
    }

    /// Returns how many of a zone's store entries have an alive holder, and how many present
    /// members the zone has; see [`crate::entries::Entries::observe`].
    pub fn zone_entries(&self, zone: &ZoneName) -> (usize, usize) {
        let slots = self.table.slots_of_zone(zone).iter();
        let present = slots.filter_map(|slot| self.table.entry(*slot));
        let present: Vec<_> = present.filter(|entry| entry.record.is_present()).collect();
        let held = present.iter().filter(|e| e.record.entry.is_some());
        let held = held.filter(|e| e.record.state == MemberState::Alive).count();
        (held, present.len())
    }

    /// Changes the local record and spreads it. `change` must leave the name, incarnation,
    /// refutation counter and state as they are.
    pub fn update_local(&mut self, change: impl FnOnce(&mut Record), now: Instant) {
        let mut record = self.local().clone();
        change(&mut record);
        if record != *self.local() {
            record.refutation += 1;
            self.spread_local(record, now);
        }
    }

    /// Leaves the fleet as planned, and pushes this to [`LEAVE_FANOUT`] members at once.
    pub fn leave(&mut self, now: Instant) {
        let mut record = self.local().clone();
        record.refutation += 1;
        record.lifecycle = Lifecycle::Draining;
        record.state = MemberState::Left;
        self.spread_local(record, now);
        self.push(LEAVE_FANOUT);
    }

    /// Drops all queued rumours, for measurements that begin in the steady state.
    pub fn drop_rumours(&mut self) {
        self.rumours = Rumours::default();
    }

    /// Sends a push to `count` random members.
    pub fn push(&mut self, count: usize) {
        for slot in self.random_members(count, self.local) {
            self.send(slot, Body::Push);
        }
    }

    /// Returns the rumours for a datagram to `node` that fit in `max_bytes` and the rumour budget.
    /// The local record and a statement that the receiver must refute come first, outside the
    /// budget.
    pub fn rumours_for(
        &mut self,
        node: Option<&NodeName>,
        introduce: bool,
        max_bytes: usize,
    ) -> Vec<Rumour> {
        let mut selected = Vec::new();
        if introduce {
            selected.push(Rumour::Record(Box::new(self.local().clone())));
        }
        let known = node.and_then(|node| self.table.get(node));
        if let Some(entry) = known.filter(|entry| entry.record.state != MemberState::Alive) {
            selected.push(state_rumour(&entry.record));
        }
        let used: usize =
            selected.iter().map(|r| oleandertiller_model::codec::encode(r).len()).sum();
        if used > max_bytes {
            return Vec::new();
        }
        let max_bytes = (max_bytes - used).min(self.rumour_budget as usize);
        let (queued, bytes) = self.rumours.take(max_bytes, self.table.present());
        self.rumour_budget -= bytes as f64;
        selected.extend(queued);
        selected
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

    /// Returns up to `count` distinct random members that are selectable, without the local one and
    /// `excluded`.
    fn random_members(&mut self, count: usize, excluded: Slot) -> Vec<Slot> {
        let slots = self.table.slot_count();
        let mut found = Vec::with_capacity(count);
        // Most slots hold alive members; the bound covers tables of mostly failed members.
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

/// Returns whether a statement is pushed at once. A leaving member must get no new work after
/// 3 s.
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
