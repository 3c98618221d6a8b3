//! Exhaustive exploration of the keeper protocol with the shipped ledger: a key runs at most once,
//! whichever keepers join, leave, crash, restart or lag.

use std::{
    hash::{Hash, Hasher},
    time::{Duration, Instant, SystemTime},
};

use oleandertiller_explore::{Model, Report, Step, digest, explore};
use oleandertiller_model::{
    Action, Change, IdempotencyKey, Intent, ServiceName,
    intent::{Keeper, KeeperSet},
};
use oleandertiller_routing::ledger::{Claim, Handover, Ledger, LedgerConfig, RunOutcome};
use uuid::Uuid;

/// Half of the ledger's window: two ticks reach its end and three exceed it.
const TICK: Duration = Duration::from_secs(60);
const MAX_TICKS: u32 = 3;
/// Bound on explorations that need not be exhaustive.
const MAX_STATES: usize = 150_000;
/// Bound that exceeds the size of every exhaustive exploration.
const MAX_STATES_EXHAUSTIVE: usize = 4_000_000;

/// A deliberate fault that the exploration must find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// A keeper is declared lost although its process still runs.
    LoseLiveKeeper,
    /// Keeper sets are applied without their lost keepers.
    ForgetLost,
    /// A handover is accepted whatever epoch it was made for.
    IgnoreEpoch,
}

#[derive(Clone, Hash)]
struct Process {
    keeper: Keeper,
    ledger: Ledger<u8>,
    alive: bool,
    running: bool,
}

#[derive(Clone)]
struct State {
    intent: Intent,
    sets: Vec<KeeperSet>,
    processes: Vec<Process>,
    handover_in_flight: Option<(usize, Handover<u8>)>,
    ticks: u32,
    first_arrival: Option<u32>,
    runs: u32,
    changes: usize,
}

impl Hash for State {
    /// Leaves out the intent, since `sets` holds its keeper sets.
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        (&self.sets, &self.processes, &self.handover_in_flight).hash(hasher);
        (self.ticks, self.first_arrival, self.runs, self.changes).hash(hasher);
    }
}

#[derive(Clone, Debug)]
enum Event {
    Join(usize),
    Leave(usize),
    FinishLeave(usize),
    Crash(usize),
    Lose(usize),
    Restart(usize),
    ApplyNext(usize),
    ApplyLatest(usize),
    HandOver { from: usize, to: usize },
    Deliver,
    Drop,
    Request(usize),
    Answer(usize),
    Tick,
}

struct KeeperModel {
    key: IdempotencyKey,
    start: Instant,
    wall: SystemTime,
    max_changes: usize,
    nodes: usize,
    fault: Fault,
}

impl KeeperModel {
    fn new(key_text: &str, nodes: usize, max_changes: usize, fault: Fault) -> Self {
        Self {
            key: IdempotencyKey::parse("recipe/release", key_text).expect("valid key"),
            start: Instant::now(),
            wall: wall_start(),
            max_changes,
            nodes,
            fault,
        }
    }

    fn now(&self, state: &State) -> Instant {
        self.start + TICK * state.ticks
    }

    /// Returns the time of the wall clock. It also advances with each change, since several changes
    /// happen at one tick.
    fn wall(&self, state: &State) -> SystemTime {
        self.wall + TICK * state.ticks + Duration::from_millis(state.changes as u64)
    }

    fn process(&self, node: usize, incarnation: u64) -> Process {
        let keeper = Keeper { node: format!("recipe-{node}").as_str().into(), incarnation };
        let ledger = Ledger::new(LedgerConfig::default(), keeper.clone());
        Process { keeper, ledger, alive: true, running: false }
    }

    fn change(&self, state: &mut State, action: Action) {
        let change = Change {
            revision: state.intent.revision.next(),
            operation: Uuid::nil(),
            author: "model".into(),
            at: self.wall(state),
            action,
        };
        state.intent.apply(&change).expect("the model makes only valid changes");
        let set = state.intent.keepers.get(&service()).cloned().unwrap_or_default();
        state.sets.push(set);
        state.changes += 1;
    }

    fn put_keeper(&self, state: &mut State, process: usize) {
        let keeper = state.processes[process].keeper.clone();
        self.change(state, Action::PutKeeper(service(), keeper));
    }

    fn apply(&self, process: &mut Process, set: &KeeperSet) {
        let mut set = set.clone();
        if self.fault == Fault::ForgetLost {
            set.lost.clear();
        }
        process.ledger.apply_keeper_set(set);
    }

    fn add_changes(&self, state: &State, events: &mut Vec<Event>) {
        if state.changes >= self.max_changes {
            return;
        }
        let set = state.sets.last().expect("there is an initial set");
        for (i, process) in state.processes.iter().enumerate() {
            let member = set.members.contains(&process.keeper);
            let holder = member || set.leaving.contains(&process.keeper);
            let latest = state.processes.iter().rposition(|p| p.keeper.node == process.keeper.node);
            if process.alive
                && !holder
                && latest == Some(i)
                && process.ledger.keeper_set().epoch == 0
            {
                events.push(Event::Join(i));
            }
            if process.alive && member {
                events.push(Event::Leave(i));
            }
            if process.alive && holder && !member && process.ledger.leave_is_complete() {
                events.push(Event::FinishLeave(i));
            }
            if holder && (!process.alive || self.fault == Fault::LoseLiveKeeper) {
                events.push(Event::Lose(i));
            }
            if !process.alive && latest == Some(i) && state.processes.len() <= self.nodes {
                events.push(Event::Restart(i));
            }
        }
    }

    fn add_handovers(&self, state: &State, events: &mut Vec<Event>) {
        if state.handover_in_flight.is_some() {
            events.extend([Event::Deliver, Event::Drop]);
            return;
        }
        for (to, receiver) in state.processes.iter().enumerate() {
            for missing in receiver.ledger.missing_handovers() {
                let from = state.processes.iter().position(|p| p.keeper == missing && p.alive);
                if let Some(from) = from.filter(|_| receiver.alive) {
                    events.push(Event::HandOver { from, to });
                }
            }
        }
    }

    fn hand_over(&self, state: &mut State, from: usize, to: usize) {
        let receiver = state.processes[to].keeper.clone();
        let receiver_epoch = state.processes[to].ledger.keeper_set().epoch;
        let now = self.now(state);
        let holder = &mut state.processes[from].ledger;
        let epoch = if self.fault == Fault::IgnoreEpoch {
            holder.keeper_set().epoch
        } else {
            receiver_epoch
        };
        let handover = holder.hand_over(&receiver, epoch, now);
        state.handover_in_flight = handover.map(|mut handover| {
            handover.epoch = receiver_epoch;
            (to, handover)
        });
    }

    fn request(&self, state: &mut State, process: usize) {
        let (now, wall) = (self.now(state), self.wall(state));
        state.first_arrival.get_or_insert(state.ticks);
        let process = &mut state.processes[process];
        if process.ledger.claim(self.key, now, wall) == Claim::Run {
            process.running = true;
            state.runs += 1;
        }
    }

    /// Returns whether the client may send the key, which it does only within the window from the
    /// key's first arrival.
    fn may_request(&self, state: &State) -> bool {
        let created = self.key.created().is_none_or(|at| at <= self.wall(state));
        created && state.first_arrival.is_none_or(|first| state.ticks - first <= 2)
    }

    fn events(&self, state: &State) -> Vec<Event> {
        let mut events = Vec::new();
        if state.first_arrival.is_some_and(|first| state.ticks - first > 2) {
            return events;
        }
        self.add_changes(state, &mut events);
        self.add_handovers(state, &mut events);
        let latest = state.sets.last().map_or(0, |set| set.epoch);
        for (i, process) in state.processes.iter().enumerate().filter(|(_, p)| p.alive) {
            events.push(Event::Crash(i));
            let epoch = process.ledger.keeper_set().epoch;
            if epoch < latest {
                events.push(Event::ApplyNext(i));
            }
            if epoch + 1 < latest {
                events.push(Event::ApplyLatest(i));
            }
            if self.may_request(state) {
                events.push(Event::Request(i));
            }
            if process.running {
                events.push(Event::Answer(i));
            }
        }
        if state.ticks < MAX_TICKS {
            events.push(Event::Tick);
        }
        events
    }

    fn next(&self, state: &State, event: &Event) -> State {
        let mut state = state.clone();
        match *event {
            Event::Join(i) => self.put_keeper(&mut state, i),
            Event::Leave(i) => {
                let keeper = state.processes[i].keeper.clone();
                self.change(&mut state, Action::LeaveKeeper(service(), keeper));
            }
            Event::FinishLeave(i) => {
                let keeper = state.processes[i].keeper.clone();
                self.change(&mut state, Action::FinishLeave(service(), keeper));
            }
            Event::Crash(i) => {
                // The ledger of a crashed process no longer matters; an empty one merges states.
                let keeper = state.processes[i].keeper.clone();
                let ledger = Ledger::new(LedgerConfig::default(), keeper.clone());
                state.processes[i] = Process { keeper, ledger, alive: false, running: false };
            }
            Event::Lose(i) => {
                let keeper = state.processes[i].keeper.clone();
                let at = self.wall(&state);
                self.change(&mut state, Action::LoseKeeper { service: service(), keeper, at });
            }
            Event::Restart(i) => {
                let incarnation = state.processes[i].keeper.incarnation + 1;
                state.processes.push(self.process(i, incarnation));
                let new = state.processes.len() - 1;
                self.put_keeper(&mut state, new);
            }
            Event::ApplyNext(i) => {
                let next = state.processes[i].ledger.keeper_set().epoch as usize + 1;
                let set = state.sets[next].clone();
                self.apply(&mut state.processes[i], &set);
            }
            Event::ApplyLatest(i) => {
                let set = state.sets.last().expect("there is an initial set").clone();
                self.apply(&mut state.processes[i], &set);
            }
            Event::HandOver { from, to } => self.hand_over(&mut state, from, to),
            Event::Deliver => {
                let now = self.now(&state);
                if let Some((to, handover)) = state.handover_in_flight.take() {
                    state.processes[to].ledger.take_over(handover, now);
                }
            }
            Event::Drop => state.handover_in_flight = None,
            Event::Request(i) => self.request(&mut state, i),
            Event::Answer(i) => {
                state.processes[i].running = false;
                state.processes[i].ledger.finish(&self.key, RunOutcome::Done(1));
            }
            Event::Tick => state.ticks += 1,
        }
        state
    }
}

impl Model for KeeperModel {
    type State = State;
    type Event = Event;

    fn initial(&self) -> Vec<State> {
        let mut state = State {
            intent: Intent::default(),
            sets: vec![KeeperSet::default()],
            processes: (0..self.nodes).map(|node| self.process(node, 1)).collect(),
            handover_in_flight: None,
            ticks: 0,
            first_arrival: None,
            runs: 0,
            changes: 0,
        };
        self.put_keeper(&mut state, 0);
        vec![state]
    }

    fn steps(&self, state: &State) -> Vec<Step<Self>> {
        let events = self.events(state).into_iter();
        events.map(|event| (event.clone(), Ok(self.next(state, &event)))).collect()
    }

    fn fingerprint(&self, state: &State) -> u128 {
        digest(state)
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if state.runs <= 1 { Ok(()) } else { Err(format!("the key ran {} times", state.runs)) }
    }
}

fn service() -> ServiceName {
    "recipe".into()
}

fn wall_start() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000)
}

/// Returns a UUIDv7 created `offset` after the start of the model's wall clock.
fn dated_key(offset: Duration) -> String {
    let at = wall_start() + offset;
    let since_epoch = at.duration_since(SystemTime::UNIX_EPOCH).expect("after the epoch");
    let millis = since_epoch.as_millis() as u64;
    uuid::Builder::from_unix_timestamp_millis(millis, &[7; 10]).into_uuid().to_string()
}

fn run(key: &str, nodes: usize, fault: Fault, max_states: usize) -> Report<Event> {
    let max_changes = if nodes == 2 { 3 } else { 5 };
    let report = explore(&KeeperModel::new(key, nodes, max_changes, fault), max_states);
    println!("{key} {fault:?}: {} states, depth {}", report.states, report.depth);
    report
}

fn assert_safe(report: &Report<Event>) {
    assert!(report.violation.is_none(), "{:#?}", report.violation);
}

/// Guards against a second run of a key without a date when keepers join, leave or crash.
#[test]
fn opaque_key_runs_at_most_once() {
    for key in ["order-17", "order-18"] {
        let report = run(key, 2, Fault::None, MAX_STATES_EXHAUSTIVE);
        assert_safe(&report);
        assert!(report.complete, "the exploration stopped at {} states", report.states);
    }
}

/// Guards against a second run of a UUIDv7 key created before or after a keeper was lost.
#[test]
fn dated_key_runs_at_most_once() {
    for offset in [Duration::ZERO, Duration::from_secs(30)] {
        let report = run(&dated_key(offset), 2, Fault::None, MAX_STATES_EXHAUSTIVE);
        assert_safe(&report);
        assert!(report.complete, "the exploration stopped at {} states", report.states);
    }
}

/// Guards against faults that need three keepers, such as a key that moves twice. The exploration
/// is bounded, not exhaustive.
#[test]
fn three_keepers_run_a_key_at_most_once() {
    assert_safe(&run("order-18", 3, Fault::None, MAX_STATES));
}

/// Guards against an exploration that misses the faults of a broken protocol.
#[test]
fn exploration_finds_broken_protocols() {
    for fault in [Fault::LoseLiveKeeper, Fault::ForgetLost, Fault::IgnoreEpoch] {
        let dated = dated_key(Duration::from_secs(30));
        let found = ["order-17", "order-18", &dated]
            .iter()
            .any(|key| run(key, 2, fault, MAX_STATES_EXHAUSTIVE).violation.is_some());
        assert!(found, "{fault:?} was not found");
    }
}
