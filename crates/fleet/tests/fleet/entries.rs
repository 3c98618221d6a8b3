//! Tests of the leased entries of a zone.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use oleandertiller_fleet::{
    Entries, EntryValue, Step, StoreAnswer, StoreCall,
    entries::{ENTRIES_PER_ZONE, LEASE_TTL, WATCHERS_PER_ZONE, discovery_interval, parse_holders},
    measure::network::record,
    store::StoreItem,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

/// In-memory store with leases.
#[derive(Default)]
struct LeaseStore {
    /// Lease and value of each key.
    keys: BTreeMap<String, (u64, String)>,
    /// End of each lease.
    leases: BTreeMap<u64, Instant>,
    last_lease: u64,
    reads: usize,
    writes: usize,
}

impl LeaseStore {
    fn expire(&mut self, now: Instant) {
        self.leases.retain(|_, until| now < *until);
        let leases = &self.leases;
        self.keys.retain(|_, (lease, _)| leases.contains_key(lease));
    }

    fn call(&mut self, call: &StoreCall, now: Instant) -> StoreAnswer {
        match call {
            StoreCall::List { .. } | StoreCall::Get { .. } => self.reads += 1,
            _ => self.writes += 1,
        }
        self.expire(now);
        match call {
            StoreCall::List { prefix } => {
                let keys = self.keys.iter().filter(|(key, _)| key.starts_with(prefix));
                let item = |(key, (_, value)): (&String, &(u64, String))| StoreItem {
                    key: key.clone(),
                    version: 1,
                    value: value.clone(),
                };
                StoreAnswer::Listed(keys.map(item).collect())
            }
            StoreCall::GrantLease { ttl } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, now + *ttl);
                StoreAnswer::Granted { lease: self.last_lease }
            }
            StoreCall::Put { key, .. } if self.keys.contains_key(key) => StoreAnswer::Conflict,
            StoreCall::Put { key, value, lease: Some(lease), .. } => {
                if !self.leases.contains_key(lease) {
                    return StoreAnswer::Absent;
                }
                self.keys.insert(key.clone(), (*lease, value.clone()));
                StoreAnswer::Written { version: 1 }
            }
            StoreCall::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some(until) => {
                    *until = now + LEASE_TTL;
                    StoreAnswer::LeaseDone
                }
                None => StoreAnswer::Absent,
            },
            StoreCall::DropLease { lease } => {
                self.leases.remove(lease);
                StoreAnswer::LeaseDone
            }
            StoreCall::Get { key } => match self.keys.get(key) {
                Some((_, value)) => StoreAnswer::Found { version: 1, value: value.clone() },
                None => StoreAnswer::Absent,
            },
            other => panic!("the test store does not support {other:?}"),
        }
    }
}

/// A node of the zone, which may hold an entry.
struct Node {
    entries: Entries,
    step: Step<()>,
    paused_until: Option<Instant>,
}

/// A simulated zone whose nodes share one store.
struct Zone {
    store: LeaseStore,
    nodes: Vec<Node>,
    now: Instant,
    rng: StdRng,
    /// Probability that an answer is lost.
    loss: f64,
    /// Whether the store is down.
    down: bool,
}

impl Zone {
    fn new(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..count)
            .map(|n| {
                let record = record(n, 1);
                let (node, addresses) = (record.node, record.addresses);
                let value = EntryValue { node, incarnation: record.incarnation, addresses };
                let mut entries = Entries::new(record.zone, value, now);
                let step = entries.wake(now, &mut rng);
                Node { entries, step, paused_until: None }
            })
            .collect();
        Self { store: LeaseStore::default(), nodes, now, rng, loss: 0.0, down: false }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += Duration::from_millis(50);
            let held = self.held().len();
            for n in 0..self.nodes.len() {
                self.step(n, held);
            }
            self.check();
        }
    }

    fn step(&mut self, n: usize, held: usize) {
        let now = self.now;
        let members = self.nodes.len();
        let node = &mut self.nodes[n];
        if node.paused_until.is_some_and(|until| now < until) {
            return;
        }
        node.paused_until = None;
        node.entries.observe(held, members, now, &mut self.rng);
        node.step = match node.step.clone() {
            Step::Call(call) => {
                let lost = self.rng.random_bool(self.loss);
                let answer = match self.down {
                    true => StoreAnswer::NotSent,
                    false => self.store.call(&call, now),
                };
                let answer = if lost { StoreAnswer::Lost } else { answer };
                node.entries.answer(answer, now, &mut self.rng)
            }
            Step::Wait(_) => node.entries.wake(now, &mut self.rng),
            Step::Done(()) => panic!("the entries state machine must not end"),
        };
    }

    /// Returns the indexes of the held entries, once per node that regards itself as the holder.
    fn held(&self) -> Vec<u8> {
        let mut held: Vec<u8> =
            self.nodes.iter().filter_map(|node| node.entries.held(self.now)).collect();
        held.sort_unstable();
        held
    }

    /// Checks that no two nodes regard themselves as holders of the same entry.
    fn check(&self) {
        let held = self.held();
        assert!(held.windows(2).all(|pair| pair[0] != pair[1]), "held: {held:?}");
    }

    fn watchers(&self) -> usize {
        self.nodes.iter().filter(|node| node.entries.is_watcher(self.now)).count()
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Guards against entries that stay free or are held twice, and against more calls than the
/// renewals need.
#[test]
fn each_entry_gets_one_holder() {
    let mut zone = Zone::new(10, 1);
    zone.run(secs(20));
    assert_eq!(zone.held(), [0, 1, 2]);
    assert_eq!(zone.watchers(), usize::from(WATCHERS_PER_ZONE));
    let before = zone.store.reads + zone.store.writes;
    zone.run(secs(40));
    let calls = zone.store.reads + zone.store.writes - before;
    let renewals = usize::from(ENTRIES_PER_ZONE) * 10;
    assert!(calls <= renewals + 10, "{calls} calls");
    let items: Vec<StoreItem> = zone
        .store
        .keys
        .iter()
        .map(|(key, (_, v))| StoreItem { key: key.clone(), version: 1, value: v.clone() })
        .collect();
    assert_eq!(parse_holders(&items).len(), 3);
}

/// Guards against a holder that relies on a lease which ended while it was paused.
#[test]
fn a_paused_holder_has_lost_its_entry_when_it_resumes() {
    let mut zone = Zone::new(6, 2);
    zone.run(secs(20));
    let n =
        zone.nodes.iter().position(|node| node.entries.held(zone.now).is_some()).expect("a holder");
    zone.nodes[n].paused_until = Some(zone.now + LEASE_TTL * 3);
    zone.run(LEASE_TTL * 2);
    assert_eq!(zone.nodes[n].entries.held(zone.now), None);
    assert_eq!(zone.held(), [0, 1, 2], "another node has taken over");
    zone.run(LEASE_TTL * 2);
    assert_eq!(zone.held(), [0, 1, 2]);
}

/// Guards against two holders of one entry, and entries that stay free, when answers are lost.
#[test]
fn lost_answers_neither_double_nor_free_entries() {
    for seed in 0..20 {
        let mut zone = Zone::new(6, seed);
        zone.loss = 0.3;
        zone.run(secs(60));
        zone.loss = 0.0;
        zone.run(secs(40));
        assert_eq!(zone.held(), [0, 1, 2], "seed {seed}");
    }
}

/// Guards against a thundering herd when the store returns. The target fleet has 17 zones of 1,000
/// nodes; the store allows 2,000 reads and several hundred (here 300) writes a second.
#[test]
fn a_returning_store_is_not_called_by_all_at_once() {
    let mut zone = Zone::new(1_000, 3);
    zone.run(secs(20));
    zone.down = true;
    zone.run(secs(60));
    assert!(zone.held().is_empty());
    zone.down = false;
    for second in 0..5 {
        let (reads, writes) = (zone.store.reads, zone.store.writes);
        zone.run(secs(1));
        let (reads, writes) = (zone.store.reads - reads, zone.store.writes - writes);
        assert!(reads <= 2_000 / 17, "{reads} reads in second {second}");
        assert!(writes <= 300 / 17, "{writes} writes in second {second}");
    }
    zone.run(secs(60));
    assert_eq!(zone.held(), [0, 1, 2]);
}

/// Guards against groups of nodes that start at the same time and find each other only after a
/// minute: an entry holder looks at all zones twice in its first 20 seconds, also if each interval
/// is a quarter longer than usual.
#[test]
fn groups_that_start_apart_find_each_other_soon() {
    let second_read: Duration =
        (0..2).map(|reads| discovery_interval(reads, true, true).mul_f64(1.25)).sum();
    assert!(second_read <= secs(20), "second read after {second_read:?}");
    // The other nodes of a large fleet must not call the store again with them.
    assert!(discovery_interval(1, true, false) >= secs(300));
}
