//! Calls of a whole fleet to the store, in virtual time: zone entries, readers of the intent, and
//! the return of the store after an outage.

mod answer;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::{Duration, Instant};

use oleandertiller_fleet::entries::{ENTRIES_PER_ZONE, EntryValue};
use oleandertiller_fleet::intent::{Replica, Watcher};
use oleandertiller_fleet::measure::network::addresses;
use oleandertiller_fleet::{Entries, Step, StoreAnswer, StoreCall};
use oleandertiller_model::ZoneName;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;

use super::sample::keeper;

/// Time of an answer of the store.
const ANSWER_TIME: Duration = Duration::from_millis(3);

/// Time after which a call to a store that is down is given up.
const LOST_AFTER: Duration = Duration::from_secs(2);

/// Interval at which nodes see through gossip which entries are held.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// What happens to the store and the fleet.
#[derive(Clone, Copy, Debug)]
pub struct StoreCase {
    /// Nodes, each with its state machine for zone entries.
    pub nodes: usize,
    /// Zones.
    pub zones: usize,
    /// Seconds of the whole run.
    pub seconds: u64,
    /// First second of the store's outage; `None` for none.
    pub down_at: Option<u64>,
    /// Length of the outage in seconds.
    pub down_s: u64,
    /// Second in which all holders of one zone are lost at once; `None` for none.
    pub holders_lost_at: Option<u64>,
    /// Nodes that read the intent once at the moment at which the store returns, as nodes that
    /// started during the outage do.
    pub starting: usize,
}

/// Calls in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct Calls {
    /// Reads of keys and prefixes, and watches.
    pub reads: u64,
    /// Writes of keys, and calls about leases.
    pub writes: u64,
}

/// Calls of the whole fleet.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct StoreRow {
    /// Nodes.
    pub nodes: usize,
    /// Calls per second before any event, on average over the 30 s before it.
    pub steady_reads: f64,
    /// The same for writes.
    pub steady_writes: f64,
    /// Most calls in one second while the store was down; they fail, but are sent.
    pub peak_down: u64,
    /// Most reads in one second after the event.
    pub peak_reads: u64,
    /// Most writes in one second after the event.
    pub peak_writes: u64,
    /// Seconds from the end of the outage, or from the loss of holders, until all entries of all
    /// zones are held.
    pub entries_held_s: Option<u64>,
}

#[derive(Clone, Debug)]
struct Node {
    zone: usize,
    entries: Entries,
    watcher: Option<Watcher>,
    /// Whether the watcher only reads the intent once.
    once: bool,
    dead: bool,
    life: u64,
    watcher_life: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Entries { node: usize, life: u64 },
    Watcher { node: usize, life: u64 },
    Gossip,
}

struct Fleet {
    case: StoreCase,
    rng: StdRng,
    now: Instant,
    start: Instant,
    nodes: Vec<Node>,
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    next: u64,
    /// Holder's value and the lease's end of each key.
    held: BTreeMap<String, (String, u64)>,
    leases: BTreeMap<u64, Instant>,
    seconds: Vec<Calls>,
    all_held: Vec<bool>,
    pending: BTreeMap<u64, StoreAnswer>,
    head_version: u64,
}

/// Runs a case and returns its calls per second.
pub fn run(case: &StoreCase, seed: u64) -> StoreRow {
    let mut fleet = Fleet::new(*case, seed);
    fleet.run();
    fleet.row()
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone:02}").as_str().into()
}

impl Fleet {
    fn new(case: StoreCase, seed: u64) -> Self {
        let start = Instant::now();
        let node = |number: usize| {
            let zone = number % case.zones;
            let value = EntryValue {
                node: keeper(number).node,
                incarnation: 1_800_000_000_000,
                addresses: addresses(number),
            };
            let entries = Entries::new(zone_name(zone), value, start);
            Node {
                zone,
                entries,
                watcher: None,
                once: false,
                dead: false,
                life: 0,
                watcher_life: 0,
            }
        };
        let mut fleet = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            now: start,
            start,
            nodes: (0..case.nodes).map(node).collect(),
            queue: BinaryHeap::new(),
            next: 0,
            held: BTreeMap::new(),
            leases: BTreeMap::new(),
            seconds: vec![Calls::default(); case.seconds as usize + 1],
            all_held: Vec::new(),
            pending: BTreeMap::new(),
            head_version: 1,
        };
        // A fleet that grew over time: nodes do not look at the store in the same second.
        for number in 0..case.nodes {
            let at = Duration::from_secs(60).mul_f64(fleet.rng.random::<f64>());
            fleet.schedule(at, Event::Entries { node: number, life: 0 });
        }
        fleet.schedule(GOSSIP_INTERVAL, Event::Gossip);
        fleet
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    fn schedule(&mut self, at: Duration, event: Event) -> u64 {
        self.next += 1;
        self.queue.push(Reverse((at, self.next, event)));
        self.next
    }

    fn is_down(&self) -> bool {
        let second = self.elapsed().as_secs();
        self.case.down_at.is_some_and(|at| second >= at && second < at + self.case.down_s)
    }

    fn run(&mut self) {
        let end = Duration::from_secs(self.case.seconds);
        while let Some(Reverse((at, id, event))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = self.start + at;
            match event {
                Event::Gossip => self.gossip(),
                Event::Entries { node, life } => self.entries_event(node, life, id),
                Event::Watcher { node, life } => self.watcher_event(node, life, id),
            }
        }
    }

    /// Lets all nodes know which entries are held, and starts and ends watchers.
    fn gossip(&mut self) {
        let now = self.now;
        self.leases.retain(|_, until| *until > now);
        let leases = &self.leases;
        self.held.retain(|_, (_, lease)| leases.contains_key(lease));
        let second = self.elapsed().as_secs();
        if self.case.holders_lost_at == Some(second) {
            self.lose_holders();
        }
        if self.case.down_at.map(|at| at + self.case.down_s) == Some(second) {
            self.start_readers();
        }
        let mut held = vec![0; self.case.zones];
        for node in self.nodes.iter().filter(|node| !node.dead) {
            held[node.zone] += usize::from(node.entries.held(now).is_some());
        }
        let all = held.iter().all(|held| *held >= usize::from(ENTRIES_PER_ZONE));
        self.all_held.push(all);
        let members = self.case.nodes / self.case.zones;
        for number in 0..self.nodes.len() {
            self.observe(number, held[self.nodes[number].zone], members);
        }
        self.schedule(self.elapsed() + GOSSIP_INTERVAL, Event::Gossip);
    }

    fn observe(&mut self, number: usize, held: usize, members: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.dead {
            return;
        }
        node.entries.observe(held, members, now, &mut self.rng);
        let watches = node.entries.is_watcher(now);
        if watches && node.watcher.is_none() {
            node.once = false;
            node.watcher = Some(Watcher::new(now));
            node.watcher_life += 1;
            let life = node.watcher_life;
            self.schedule(now - self.start, Event::Watcher { node: number, life });
        } else if !watches && !node.once && node.watcher.is_some() {
            node.watcher = None;
            node.watcher_life += 1;
        }
        self.wake_entries(number);
    }

    fn lose_holders(&mut self) {
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| node.zone == 0) {
            if node.entries.held(now).is_some() {
                node.dead = true;
                node.life += 1;
                node.watcher_life += 1;
            }
        }
    }

    fn start_readers(&mut self) {
        let mut readers = self.case.starting;
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            if readers > 0 && node.watcher.is_none() && !node.dead {
                readers -= 1;
                node.watcher = Some(Watcher::once(self.now));
                node.once = true;
                node.watcher_life += 1;
                let life = node.watcher_life;
                self.schedule(self.now - self.start, Event::Watcher { node: number, life });
            }
        }
    }

    fn entries_event(&mut self, number: usize, life: u64, id: u64) {
        if self.nodes[number].life != life {
            return;
        }
        let Some(answer) = self.pending.remove(&id) else { return self.wake_entries(number) };
        let now = self.now;
        let step = self.nodes[number].entries.answer(answer, now, &mut self.rng);
        self.entries_step(number, step);
    }

    fn wake_entries(&mut self, number: usize) {
        let now = self.now;
        let step = self.nodes[number].entries.wake(now, &mut self.rng);
        self.entries_step(number, step);
    }

    /// Wakes a node at its time within the second; later wake-ups come with the next gossip.
    fn entries_step(&mut self, number: usize, step: Step<()>) {
        let life = self.nodes[number].life;
        let event = Event::Entries { node: number, life };
        match step {
            Step::Call(call) => {
                let (answer, after) = self.call(&call);
                let id = self.schedule(self.elapsed() + after, event);
                self.pending.insert(id, answer);
            }
            Step::Wait(at) if at > self.now && at - self.now < GOSSIP_INTERVAL => {
                self.schedule(at - self.start, event);
            }
            _ => {}
        }
    }

    fn watcher_event(&mut self, number: usize, life: u64, id: u64) {
        if self.nodes[number].watcher_life != life {
            return;
        }
        let Some(mut watcher) = self.nodes[number].watcher.take() else { return };
        let now = self.now;
        let step = match self.pending.remove(&id) {
            Some(answer) => {
                let mut replica = Replica::new();
                watcher.answer(answer, &mut replica, now, &mut self.rng).1
            }
            None => watcher.wake(now),
        };
        let event = Event::Watcher { node: number, life };
        match step {
            Step::Call(call) => {
                let (answer, after) = self.call(&call);
                let id = self.schedule(self.elapsed() + after, event);
                self.pending.insert(id, answer);
            }
            Step::Wait(at) => {
                self.schedule(at.max(now) - self.start, event);
            }
            Step::Done(()) => return,
        }
        self.nodes[number].watcher = Some(watcher);
    }

    fn call(&mut self, call: &StoreCall) -> (StoreAnswer, Duration) {
        let second = self.elapsed().as_secs() as usize;
        let calls = &mut self.seconds[second];
        match call {
            StoreCall::Get { .. } | StoreCall::List { .. } | StoreCall::Watch { .. } => {
                calls.reads += 1;
            }
            _ => calls.writes += 1,
        }
        if self.is_down() {
            return (StoreAnswer::Lost, LOST_AFTER);
        }
        (self.answer(call), self.answer_time(call))
    }

    fn row(&self) -> StoreRow {
        let event = self.case.down_at.or(self.case.holders_lost_at).unwrap_or(self.case.seconds);
        let over = self.case.down_at.map_or(event, |at| at + self.case.down_s) as usize;
        let event = event as usize;
        let steady = &self.seconds[event.saturating_sub(30)..event];
        let mean = |f: fn(&Calls) -> u64| {
            steady.iter().map(f).sum::<u64>() as f64 / steady.len().max(1) as f64
        };
        let after = &self.seconds[over.min(self.seconds.len() - 1)..];
        let down = &self.seconds[event.min(over)..over.min(self.seconds.len())];
        let held = self.all_held.iter().skip(over + 1).position(|all| *all);
        StoreRow {
            nodes: self.case.nodes,
            steady_reads: mean(|calls| calls.reads),
            steady_writes: mean(|calls| calls.writes),
            peak_down: down.iter().map(|calls| calls.reads + calls.writes).max().unwrap_or(0),
            peak_reads: after.iter().map(|calls| calls.reads).max().unwrap_or(0),
            peak_writes: after.iter().map(|calls| calls.writes).max().unwrap_or(0),
            entries_held_s: held.map(|seconds| seconds as u64),
        }
    }
}
