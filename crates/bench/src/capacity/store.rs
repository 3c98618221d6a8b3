//! Simulation, in virtual time, of the calls of a whole fleet to the store: for zone entries, for
//! the intent, and after an outage of the store.

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

/// Time that the store takes to answer a call other than a watch.
const ANSWER_TIME: Duration = Duration::from_millis(3);

/// Time after which a node gives up a call to a store that is down.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval at which nodes learn through gossip which entries are held.
const GOSSIP_INTERVAL: Duration = Duration::from_secs(1);

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct StoreCase {
    /// Number of nodes, each with its own state machine for zone entries.
    pub nodes: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Length of the run in seconds.
    pub run_s: u64,
    /// Start of the store's outage, in seconds; `None` for a run without an outage.
    pub outage_at_s: Option<u64>,
    /// Length of the outage in seconds.
    pub outage_s: u64,
    /// Time in seconds at which all entry holders of one zone are lost; `None` for never.
    pub holders_lost_at_s: Option<u64>,
    /// Number of nodes that read the intent once when the store returns, as nodes do that started
    /// during the outage.
    pub starting_nodes: usize,
}

/// Number of calls in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub struct CallCounts {
    /// Reads of keys and prefixes, and watches.
    pub reads: u64,
    /// Writes of keys, and calls that grant, renew or drop leases.
    pub writes: u64,
}

/// Calls of the whole fleet in a run.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct StoreRow {
    /// Number of nodes.
    pub nodes: usize,
    /// Mean reads per second in the 30 s before the outage or loss.
    pub steady_reads: f64,
    /// Mean writes per second in the 30 s before the outage or loss.
    pub steady_writes: f64,
    /// Maximum number of calls in one second of the outage, all of which fail.
    pub peak_down: u64,
    /// Maximum number of reads in one second after the end of the outage, or after the loss.
    pub peak_reads: u64,
    /// Maximum number of writes in one second after the end of the outage, or after the loss.
    pub peak_writes: u64,
    /// Seconds from the end of the outage, or from the loss of holders, until all entries of all
    /// zones are held; `None` if that was not reached.
    pub entries_held_s: Option<u64>,
}

#[derive(Clone, Debug)]
struct SimulatedNode {
    zone: usize,
    entries: Entries,
    watcher: Option<Watcher>,
    /// Whether the watcher reads the intent only once.
    reads_once: bool,
    is_lost: bool,
    /// Incremented when the node is lost; earlier events for its entries are then ignored.
    generation: u64,
    /// Incremented when the watcher changes; earlier events for a watcher are then ignored.
    watcher_generation: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Entries { node: usize, generation: u64 },
    Watcher { node: usize, generation: u64 },
    Gossip,
}

struct Simulation {
    case: StoreCase,
    rng: StdRng,
    now: Instant,
    start: Instant,
    nodes: Vec<SimulatedNode>,
    /// Events by time since the start, and by id at equal times.
    queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    /// Last id given to an event or a lease.
    last_id: u64,
    /// Value and lease of each held entry, by key.
    held: BTreeMap<String, (String, u64)>,
    /// End of each lease.
    leases: BTreeMap<u64, Instant>,
    calls_by_second: Vec<CallCounts>,
    /// Whether all entries of all zones are held, by second.
    all_held_by_second: Vec<bool>,
    /// Answers on their way to nodes, by the id of the event that delivers them.
    pending_answers: BTreeMap<u64, StoreAnswer>,
    head_version: u64,
}

/// Runs a simulation and returns the calls of the fleet.
pub fn run(case: &StoreCase, seed: u64) -> StoreRow {
    let mut simulation = Simulation::new(*case, seed);
    simulation.run();
    simulation.row()
}

fn zone_name(zone: usize) -> ZoneName {
    format!("zone-{zone:02}").as_str().into()
}

impl Simulation {
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
            SimulatedNode {
                zone,
                entries,
                watcher: None,
                reads_once: false,
                is_lost: false,
                generation: 0,
                watcher_generation: 0,
            }
        };
        let mut simulation = Self {
            case,
            rng: StdRng::seed_from_u64(seed),
            now: start,
            start,
            nodes: (0..case.nodes).map(node).collect(),
            queue: BinaryHeap::new(),
            last_id: 0,
            held: BTreeMap::new(),
            leases: BTreeMap::new(),
            calls_by_second: vec![CallCounts::default(); case.run_s as usize + 1],
            all_held_by_second: Vec::new(),
            pending_answers: BTreeMap::new(),
            head_version: 1,
        };
        // The first calls are spread over a minute, since the nodes of a real fleet did not all
        // start in the same second.
        for number in 0..case.nodes {
            let at = Duration::from_secs(60).mul_f64(simulation.rng.random::<f64>());
            simulation.schedule(at, Event::Entries { node: number, generation: 0 });
        }
        simulation.schedule(GOSSIP_INTERVAL, Event::Gossip);
        simulation
    }

    fn elapsed(&self) -> Duration {
        self.now - self.start
    }

    /// Schedules an event at a time since the start, and returns the id of the event.
    fn schedule(&mut self, at: Duration, event: Event) -> u64 {
        self.last_id += 1;
        self.queue.push(Reverse((at, self.last_id, event)));
        self.last_id
    }

    fn is_store_down(&self) -> bool {
        let second = self.elapsed().as_secs();
        self.case.outage_at_s.is_some_and(|at| second >= at && second < at + self.case.outage_s)
    }

    fn run(&mut self) {
        let end = Duration::from_secs(self.case.run_s);
        while let Some(Reverse((at, id, event))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = self.start + at;
            match event {
                Event::Gossip => self.on_gossip(),
                Event::Entries { node, generation } => self.on_entries_event(node, generation, id),
                Event::Watcher { node, generation } => self.on_watcher_event(node, generation, id),
            }
        }
    }

    /// Expires leases, causes the loss and the starts of the case, and tells all nodes how many
    /// entries of their zone are held.
    fn on_gossip(&mut self) {
        let now = self.now;
        self.leases.retain(|_, end| *end > now);
        let leases = &self.leases;
        self.held.retain(|_, (_, lease)| leases.contains_key(lease));
        let second = self.elapsed().as_secs();
        if self.case.holders_lost_at_s == Some(second) {
            self.lose_holders();
        }
        if self.case.outage_at_s.map(|at| at + self.case.outage_s) == Some(second) {
            self.start_one_time_readers();
        }
        let mut held_by_zone = vec![0; self.case.zones];
        for node in self.nodes.iter().filter(|node| !node.is_lost) {
            held_by_zone[node.zone] += usize::from(node.entries.held(now).is_some());
        }
        let all_held = held_by_zone.iter().all(|held| *held >= usize::from(ENTRIES_PER_ZONE));
        self.all_held_by_second.push(all_held);
        let members = self.case.nodes / self.case.zones;
        for number in 0..self.nodes.len() {
            self.observe(number, held_by_zone[self.nodes[number].zone], members);
        }
        self.schedule(self.elapsed() + GOSSIP_INTERVAL, Event::Gossip);
    }

    /// Tells a node how many entries of its zone are held, and starts or stops its watcher.
    fn observe(&mut self, number: usize, held: usize, members: usize) {
        let now = self.now;
        let node = &mut self.nodes[number];
        if node.is_lost {
            return;
        }
        node.entries.observe(held, members, now, &mut self.rng);
        let is_watcher = node.entries.is_watcher(now);
        if is_watcher && node.watcher.is_none() {
            node.reads_once = false;
            node.watcher = Some(Watcher::new(now));
            node.watcher_generation += 1;
            let generation = node.watcher_generation;
            self.schedule(now - self.start, Event::Watcher { node: number, generation });
        } else if !is_watcher && !node.reads_once && node.watcher.is_some() {
            node.watcher = None;
            node.watcher_generation += 1;
        }
        self.wake_entries(number);
    }

    /// Loses all entry holders of zone 0.
    fn lose_holders(&mut self) {
        let now = self.now;
        for node in self.nodes.iter_mut().filter(|node| node.zone == 0) {
            if node.entries.held(now).is_some() {
                node.is_lost = true;
                node.generation += 1;
                node.watcher_generation += 1;
            }
        }
    }

    /// Lets [`StoreCase::starting_nodes`] nodes read the intent once.
    fn start_one_time_readers(&mut self) {
        let mut remaining = self.case.starting_nodes;
        for number in 0..self.nodes.len() {
            let node = &mut self.nodes[number];
            if remaining > 0 && node.watcher.is_none() && !node.is_lost {
                remaining -= 1;
                node.watcher = Some(Watcher::once(self.now));
                node.reads_once = true;
                node.watcher_generation += 1;
                let generation = node.watcher_generation;
                self.schedule(self.now - self.start, Event::Watcher { node: number, generation });
            }
        }
    }

    /// Delivers the pending answer of the event, or wakes the node's entries.
    fn on_entries_event(&mut self, number: usize, generation: u64, id: u64) {
        if self.nodes[number].generation != generation {
            return;
        }
        let Some(answer) = self.pending_answers.remove(&id) else {
            return self.wake_entries(number);
        };
        let now = self.now;
        let step = self.nodes[number].entries.answer(answer, now, &mut self.rng);
        self.apply_entries_step(number, step);
    }

    fn wake_entries(&mut self, number: usize) {
        let now = self.now;
        let step = self.nodes[number].entries.wake(now, &mut self.rng);
        self.apply_entries_step(number, step);
    }

    /// Makes the call of a step or schedules its wake-up. Only a wake-up within the gossip interval
    /// is scheduled, since each gossip wakes all nodes.
    fn apply_entries_step(&mut self, number: usize, step: Step<()>) {
        let generation = self.nodes[number].generation;
        let event = Event::Entries { node: number, generation };
        match step {
            Step::Call(call) => {
                let (answer, delay) = self.call(&call);
                let id = self.schedule(self.elapsed() + delay, event);
                self.pending_answers.insert(id, answer);
            }
            Step::Wait(at) if at > self.now && at - self.now < GOSSIP_INTERVAL => {
                self.schedule(at - self.start, event);
            }
            _ => {}
        }
    }

    /// Delivers the pending answer of the event to the node's watcher, or wakes the watcher.
    fn on_watcher_event(&mut self, number: usize, generation: u64, id: u64) {
        if self.nodes[number].watcher_generation != generation {
            return;
        }
        let Some(mut watcher) = self.nodes[number].watcher.take() else { return };
        let now = self.now;
        let step = match self.pending_answers.remove(&id) {
            Some(answer) => {
                let mut replica = Replica::new();
                watcher.answer(answer, &mut replica, now, &mut self.rng).1
            }
            None => watcher.wake(now),
        };
        let event = Event::Watcher { node: number, generation };
        match step {
            Step::Call(call) => {
                let (answer, delay) = self.call(&call);
                let id = self.schedule(self.elapsed() + delay, event);
                self.pending_answers.insert(id, answer);
            }
            Step::Wait(at) => {
                self.schedule(at.max(now) - self.start, event);
            }
            Step::Done(()) => return,
        }
        self.nodes[number].watcher = Some(watcher);
    }

    /// Counts a call, and returns its answer and the delay until the answer arrives.
    fn call(&mut self, call: &StoreCall) -> (StoreAnswer, Duration) {
        let second = self.elapsed().as_secs() as usize;
        let calls = &mut self.calls_by_second[second];
        match call {
            StoreCall::Get { .. } | StoreCall::List { .. } | StoreCall::Watch { .. } => {
                calls.reads += 1;
            }
            _ => calls.writes += 1,
        }
        if self.is_store_down() {
            return (StoreAnswer::Lost, CALL_TIMEOUT);
        }
        (self.answer(call), self.answer_time(call))
    }

    fn row(&self) -> StoreRow {
        let event_s =
            self.case.outage_at_s.or(self.case.holders_lost_at_s).unwrap_or(self.case.run_s);
        let event_end_s =
            self.case.outage_at_s.map_or(event_s, |at| at + self.case.outage_s) as usize;
        let event_s = event_s as usize;
        let steady = &self.calls_by_second[event_s.saturating_sub(30)..event_s];
        let mean = |count: fn(&CallCounts) -> u64| {
            steady.iter().map(count).sum::<u64>() as f64 / steady.len().max(1) as f64
        };
        let after = &self.calls_by_second[event_end_s.min(self.calls_by_second.len() - 1)..];
        let outage = &self.calls_by_second
            [event_s.min(event_end_s)..event_end_s.min(self.calls_by_second.len())];
        let recovery_s =
            self.all_held_by_second.iter().skip(event_end_s + 1).position(|all_held| *all_held);
        StoreRow {
            nodes: self.case.nodes,
            steady_reads: mean(|calls| calls.reads),
            steady_writes: mean(|calls| calls.writes),
            peak_down: outage.iter().map(|calls| calls.reads + calls.writes).max().unwrap_or(0),
            peak_reads: after.iter().map(|calls| calls.reads).max().unwrap_or(0),
            peak_writes: after.iter().map(|calls| calls.writes).max().unwrap_or(0),
            entries_held_s: recovery_s.map(|seconds| seconds as u64),
        }
    }
}
