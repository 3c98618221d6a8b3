//! The member table, with its indexes and its digest.

use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet},
    hash::Hash,
    time::Instant,
};

use oleandertiller_model::{NodeName, RegionName, ServiceName, VersionName, ZoneName};
use xxhash_rust::xxh3::xxh3_64;

use crate::{
    datagram::{DIGEST_BUCKETS, SummaryEntry},
    record::{MemberState, Record},
};

/// Maximum number of names in a set before it is cleared; bounds its growth as versions change.
const MAX_INTERNED_NAMES: usize = 8_192;

/// Index of an entry in the table; it is reused after removal.
pub type Slot = u32;

/// Record of one member, with what only this node knows about it.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Record that the nodes share.
    pub record: Record,
    /// Hash of the node's name.
    pub hash: u32,
    /// When this node learned of the current state.
    pub since: Instant,
    /// When the last datagram of the member itself arrived, if any did.
    pub heard_at: Option<Instant>,
}

/// Shared copies of the names that many records have in common.
#[derive(Clone, Debug, Default)]
struct InternedNames {
    zones: HashSet<ZoneName>,
    regions: HashSet<RegionName>,
    services: HashSet<ServiceName>,
    versions: HashSet<VersionName>,
}

fn intern<T: Clone + Eq + Hash>(set: &mut HashSet<T>, name: &mut T) {
    match set.get(name) {
        Some(shared) => *name = shared.clone(),
        None => {
            if set.len() >= MAX_INTERNED_NAMES {
                set.clear();
            }
            set.insert(name.clone());
        }
    }
}

/// Table of all known members, including the local one.
#[derive(Clone, Debug, Default)]
pub struct Table {
    slots: Vec<Option<Entry>>,
    free_slots: Vec<Slot>,
    by_node: BTreeMap<NodeName, Slot>,
    by_service: HashMap<ServiceName, Vec<Slot>>,
    by_zone: BTreeMap<ZoneName, Vec<Slot>>,
    by_hash: BTreeSet<(u32, Slot)>,
    buckets: Vec<u32>,
    interned: InternedNames,
    present: usize,
}

/// Returns the hash of a node's name.
pub fn node_hash(node: &NodeName) -> u32 {
    xxh3_64(node.as_str().as_bytes()) as u32
}

fn version_hash(record: &Record) -> u32 {
    let mut buf = [0; 12];
    buf[..8].copy_from_slice(&record.incarnation.to_le_bytes());
    buf[8..].copy_from_slice(&record.refutation.to_le_bytes());
    xxh3_64(&buf) as u32
}

fn bucket_of(hash: u32) -> usize {
    hash as usize / (u32::MAX as usize / DIGEST_BUCKETS + 1)
}

/// Returns the first and last hash of a bucket.
pub fn bucket_range(bucket: usize) -> (u32, u32) {
    let width = u32::MAX as usize / DIGEST_BUCKETS + 1;
    ((bucket * width) as u32, (bucket * width + width - 1) as u32)
}

/// Returns the contribution of a record to the digest. Suspicion is not part of it: it is either
/// refuted, which changes the refutation counter, or ends in failure, which removes the record from
/// the digest.
fn digest_of(record: &Record, hash: u32) -> u32 {
    if record.is_present() { hash.rotate_left(7) ^ version_hash(record) } else { 0 }
}

impl Table {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self { buckets: vec![0; DIGEST_BUCKETS], ..Self::default() }
    }

    /// Returns the number of records, including those of failed and departed members.
    pub fn len(&self) -> usize {
        self.by_node.len()
    }

    /// Returns whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.by_node.is_empty()
    }

    /// Returns the number of present (alive or suspect) members.
    pub fn present(&self) -> usize {
        self.present
    }

    /// Returns the number of slots, used and free.
    pub fn slot_count(&self) -> usize {
        self.slots.len()
    }

    /// Returns the slot of a node, or `None` if the node is unknown.
    pub fn slot(&self, node: &NodeName) -> Option<Slot> {
        self.by_node.get(node).copied()
    }

    /// Returns the entry in a slot, or `None` if the slot is free.
    pub fn entry(&self, slot: Slot) -> Option<&Entry> {
        self.slots.get(slot as usize)?.as_ref()
    }

    /// Returns the entry of a node, or `None` if the node is unknown.
    pub fn get(&self, node: &NodeName) -> Option<&Entry> {
        self.entry(self.slot(node)?)
    }

    /// Returns the entries whose names sort after `after`, or all entries, in order of their names.
    pub fn after(&self, after: Option<&NodeName>) -> impl Iterator<Item = &Entry> {
        use std::ops::Bound::{Excluded, Unbounded};
        let start = after.map_or(Unbounded, Excluded);
        self.by_node
            .range::<NodeName, _>((start, Unbounded))
            .filter_map(|(_, slot)| self.entry(*slot))
    }

    /// Returns the entries of a service's members, in any state.
    pub fn of_service(&self, service: &ServiceName) -> impl Iterator<Item = &Entry> {
        let slots = self.by_service.get(service).map_or(&[][..], Vec::as_slice);
        slots.iter().filter_map(|slot| self.entry(*slot))
    }

    /// Returns the slots of a zone's members, in any state.
    pub fn slots_of_zone(&self, zone: &ZoneName) -> &[Slot] {
        self.by_zone.get(zone).map_or(&[], Vec::as_slice)
    }

    /// Returns the names of all zones with records.
    pub fn zones(&self) -> impl Iterator<Item = &ZoneName> {
        self.by_zone.keys()
    }

    /// Returns the digest of the present records.
    pub fn digest(&self) -> &[u32] {
        &self.buckets
    }

    /// Returns the summary of present records whose hash is in `from..=to`.
    pub fn summary(&self, from: u32, to: u32) -> Vec<SummaryEntry> {
        self.present_in(from, to)
            .map(|entry| SummaryEntry { node: entry.hash, version: version_hash(&entry.record) })
            .collect()
    }

    /// Returns the present entries whose hash is in `from..=to`.
    pub fn present_in(&self, from: u32, to: u32) -> impl Iterator<Item = &Entry> {
        let range = self.by_hash.range((from, 0)..=(to, Slot::MAX));
        range.filter_map(|(_, slot)| self.entry(*slot)).filter(|entry| entry.record.is_present())
    }

    /// Returns all entries whose hash is `hash`.
    pub fn with_hash(&self, hash: u32) -> impl Iterator<Item = &Entry> {
        let range = self.by_hash.range((hash, 0)..=(hash, Slot::MAX));
        range.filter_map(|(_, slot)| self.entry(*slot))
    }

    /// Records that a datagram of the member itself arrived.
    pub fn mark_heard(&mut self, slot: Slot, now: Instant) {
        if let Some(Some(entry)) = self.slots.get_mut(slot as usize) {
            entry.heard_at = Some(now);
        }
    }

    /// Changes only the state of a member.
    pub fn set_state(&mut self, slot: Slot, state: MemberState, now: Instant) {
        let Some(entry) = self.entry(slot) else { return };
        let record = Record { state, ..entry.record.clone() };
        self.put(record, now);
    }

    /// Stores a record in place of any other of the same node, and returns its slot.
    pub fn put(&mut self, mut record: Record, now: Instant) -> Slot {
        self.intern(&mut record);
        match self.slot(&record.node) {
            Some(slot) => self.replace(slot, record, now),
            None => self.insert(record, now),
        }
    }

    /// Removes the record in a slot, and returns it.
    pub fn remove(&mut self, slot: Slot) -> Option<Record> {
        let entry = self.slots.get_mut(slot as usize)?.take()?;
        self.remove_from_indexes(slot, &entry);
        self.by_node.remove(&entry.record.node);
        self.by_hash.remove(&(entry.hash, slot));
        self.free_slots.push(slot);
        Some(entry.record)
    }

    fn intern(&mut self, record: &mut Record) {
        intern(&mut self.interned.zones, &mut record.zone);
        intern(&mut self.interned.regions, &mut record.region);
        intern(&mut self.interned.services, &mut record.service);
        intern(&mut self.interned.versions, &mut record.version);
    }

    fn insert(&mut self, record: Record, now: Instant) -> Slot {
        let hash = node_hash(&record.node);
        let slot = self.free_slots.pop().unwrap_or(self.slots.len() as Slot);
        if slot as usize == self.slots.len() {
            self.slots.push(None);
        }
        self.by_node.insert(record.node.clone(), slot);
        self.by_hash.insert((hash, slot));
        let entry = Entry { record, hash, since: now, heard_at: None };
        self.add_to_indexes(slot, &entry);
        self.slots[slot as usize] = Some(entry);
        slot
    }

    fn replace(&mut self, slot: Slot, record: Record, now: Instant) -> Slot {
        let Some(old) = self.slots[slot as usize].take() else { return slot };
        let since = if old.record.state == record.state { old.since } else { now };
        let index_changed = old.record.service != record.service || old.record.zone != record.zone;
        let entry = Entry { record, hash: old.hash, since, heard_at: old.heard_at };
        if index_changed {
            self.remove_from_indexes(slot, &old);
            self.add_to_indexes(slot, &entry);
        } else {
            self.update_totals(&old, false);
            self.update_totals(&entry, true);
        }
        self.slots[slot as usize] = Some(entry);
        slot
    }

    fn add_to_indexes(&mut self, slot: Slot, entry: &Entry) {
        let record = &entry.record;
        self.by_service.entry(record.service.clone()).or_default().push(slot);
        self.by_zone.entry(record.zone.clone()).or_default().push(slot);
        self.update_totals(entry, true);
    }

    fn remove_from_indexes(&mut self, slot: Slot, entry: &Entry) {
        let record = &entry.record;
        if let Some(slots) = self.by_service.get_mut(&record.service) {
            slots.retain(|known| *known != slot);
            if slots.is_empty() {
                self.by_service.remove(&record.service);
            }
        }
        if let Some(slots) = self.by_zone.get_mut(&record.zone) {
            slots.retain(|known| *known != slot);
            if slots.is_empty() {
                self.by_zone.remove(&record.zone);
            }
        }
        self.update_totals(entry, false);
    }

    /// Adds an entry to the digest and to the number of present members, or removes it from them.
    fn update_totals(&mut self, entry: &Entry, added: bool) {
        self.buckets[bucket_of(entry.hash)] ^= digest_of(&entry.record, entry.hash);
        if entry.record.is_present() {
            self.present = if added { self.present + 1 } else { self.present - 1 };
        }
    }
}
