//! Model of the agreement with the real state machines: two writers, a store with
//! compare-and-swap, lost and delayed writes, two readers, and a crash.

use std::time::{Duration, Instant, UNIX_EPOCH};

use oleandertiller_explore::{Model, digest};
use oleandertiller_fleet::{
    Command, CommandOutcome, Replica, Step, StoreAnswer, StoreCall, Watcher, intent::HEAD_KEY,
};
use oleandertiller_model::{
    Action, Intent, Revision,
    message::{IntentPull, IntentPush},
};
use rand::{SeedableRng, rngs::StdRng};
use uuid::Uuid;

use crate::store::MemoryStore;

const DEADLINE: Duration = Duration::from_secs(10);

/// A deliberate fault, injected between the real state machines.
#[derive(Clone, Copy, PartialEq)]
pub enum Mutant {
    None,
    /// A reader applies any answer, without the revision check.
    NoRevisionCheck,
    /// A writer treats a lost answer as proof that nothing was written.
    LostMeansNotWritten,
    /// A writer overwrites whatever version the head has.
    NoCompareAndSwap,
    /// A writer ends as soon as a write conflicts.
    ConflictMeansNotAccepted,
}

/// Model with its injected fault and its limits.
pub struct Agreement {
    now: Instant,
    mutant: Mutant,
    /// Revision of the head at the start.
    pub start: u64,
    /// Number of lost answers.
    pub faults: u8,
    /// Number of reads of the first reader.
    pub reads: u8,
    /// Number of pulls of the second reader.
    pub pulls: u8,
}

/// What a writer's command does.
#[derive(Clone)]
pub enum Writer {
    Calling(Box<Command>, StoreCall),
    Waiting(Box<Command>),
    Done(CommandOutcome),
    Crashed,
}

#[derive(Clone)]
pub struct State {
    store: MemoryStore,
    writers: [Writer; 2],
    /// Writes whose sender no longer waits for an answer; they may take effect at any time.
    delayed: Vec<StoreCall>,
    /// Replica of the first reader, which reads the store.
    first: Replica,
    watcher: Watcher,
    /// Answer of the store in transit to the first reader.
    answer: Option<StoreAnswer>,
    /// Replica of the second reader, which pulls from the first one.
    second: Replica,
    /// Answers in transit to the second reader.
    pushes: Vec<IntentPush>,
    reads: u8,
    pulls: u8,
    faults: u8,
    crashes: u8,
}

fn operation(writer: usize) -> Uuid {
    Uuid::from_u128(writer as u128 + 1)
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

/// Returns the writer whose command has returned `step`.
fn writer(step: Step<CommandOutcome>, command: Box<Command>) -> Writer {
    match step {
        Step::Call(call) => Writer::Calling(command, call),
        Step::Wait(_) => Writer::Waiting(command),
        Step::Done(outcome) => Writer::Done(outcome),
    }
}

impl Agreement {
    pub fn new(mutant: Mutant, start: u64, faults: u8) -> Self {
        Self { now: Instant::now(), mutant, start, faults, reads: 2, pulls: 2 }
    }

    fn command(&self, operation: Uuid, ppm: u32) -> Box<Command> {
        let action = Action::SetMeasuring(ppm);
        let deadline = self.now + DEADLINE;
        let replica = Replica::new();
        Box::new(Command::new(operation, "test", UNIX_EPOCH, action, &replica, deadline))
    }

    /// Returns a store in which the first `start` revisions were written without faults.
    fn seeded_store(&self) -> MemoryStore {
        let mut store = MemoryStore::default();
        for n in 0..self.start {
            let mut command = self.command(Uuid::from_u128(1_000 + u128::from(n)), 1);
            let mut step = command.start();
            while let Step::Call(call) = step {
                step = command.answer(store.call(&call), self.now, &mut rng());
            }
            assert_eq!(step, Step::Done(CommandOutcome::Accepted(Revision(n + 1))));
        }
        store
    }

    /// Passes an answer to a writer; a late one arrives at the command's deadline.
    fn answer(&self, state: &mut State, i: usize, answer: StoreAnswer, late: bool) {
        let Writer::Calling(mut command, _) = state.writers[i].clone() else { return };
        let now = if late { self.now + DEADLINE } else { self.now };
        let answer = match (self.mutant, answer) {
            (Mutant::LostMeansNotWritten, StoreAnswer::Lost) => StoreAnswer::NotSent,
            (Mutant::ConflictMeansNotAccepted, StoreAnswer::Conflict) => {
                let reason = oleandertiller_fleet::NotAccepted::Contention;
                state.writers[i] = Writer::Done(CommandOutcome::NotAccepted(reason));
                return;
            }
            (_, answer) => answer,
        };
        let step = command.answer(answer, now, &mut rng());
        state.writers[i] = writer(step, command);
    }

    /// Makes a call to the store; [`Mutant::NoCompareAndSwap`] replaces the version that a write
    /// expects by the present one.
    fn apply(&self, store: &mut MemoryStore, call: &StoreCall) -> StoreAnswer {
        let mut call = call.clone();
        if let (Mutant::NoCompareAndSwap, StoreCall::Put { key, if_version, .. }) =
            (self.mutant, &mut call)
        {
            *if_version = store.version(key);
        }
        store.call(&call)
    }

    fn writer_steps(&self, state: &State, i: usize, steps: &mut Vec<(String, State)>) {
        match &state.writers[i] {
            Writer::Calling(_, call) => self.call_steps(state, i, call, steps),
            Writer::Waiting(command) => {
                for (late, label) in [(false, "wakes"), (true, "wakes at its deadline")] {
                    let mut next = state.clone();
                    let mut command = command.clone();
                    let now = if late { self.now + DEADLINE } else { self.now };
                    let step = command.wake(now);
                    next.writers[i] = writer(step, command);
                    steps.push((format!("writer {i} {label}"), next));
                }
            }
            Writer::Done(_) | Writer::Crashed => {}
        }
    }

    fn call_steps(
        &self,
        state: &State,
        i: usize,
        call: &StoreCall,
        steps: &mut Vec<(String, State)>,
    ) {
        let name = match call {
            StoreCall::Get { key } => format!("read of {key}"),
            StoreCall::Put { key, .. } => format!("write of {key}"),
            other => format!("{other:?}"),
        };
        let mut next = state.clone();
        let answer = self.apply(&mut next.store, call);
        self.answer(&mut next, i, answer, false);
        steps.push((format!("writer {i}: {name} is answered"), next));
        if state.faults > 0 {
            for late in [false, true] {
                let mut next = state.clone();
                next.faults -= 1;
                if matches!(call, StoreCall::Put { .. }) {
                    next.delayed.push(call.clone());
                }
                self.answer(&mut next, i, StoreAnswer::Lost, late);
                steps.push((format!("writer {i}: {name} is lost, late: {late}"), next));
            }
        }
        if state.crashes > 0 {
            let mut next = state.clone();
            next.crashes -= 1;
            if matches!(call, StoreCall::Put { .. }) {
                next.delayed.push(call.clone());
            }
            next.writers[i] = Writer::Crashed;
            steps.push((format!("writer {i} crashes during {name}"), next));
        }
    }

    fn store_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        for k in 0..state.delayed.len() {
            let mut next = state.clone();
            let call = next.delayed.remove(k);
            self.apply(&mut next.store, &call);
            steps.push((format!("delayed write {k} arrives"), next));
        }
    }

    fn reader_steps(&self, state: &State, steps: &mut Vec<(String, State)>) {
        if state.reads > 0 && state.answer.is_none() {
            let mut next = state.clone();
            next.reads -= 1;
            if let Step::Call(call) = next.watcher.wake(self.now) {
                next.answer = Some(next.store.call(&call));
                steps.push(("the store answers the first reader".into(), next));
            }
        }
        if let Some(answer) = &state.answer {
            let mut next = state.clone();
            next.answer = None;
            let (_, step) =
                next.watcher.answer(answer.clone(), &mut next.first, self.now, &mut rng());
            // A read of the base document is answered in the same step; any other call is made by a
            // later step of the model.
            if let Step::Call(call @ StoreCall::Get { .. }) = step
                && !matches!(&call, StoreCall::Get { key } if key == HEAD_KEY)
            {
                next.answer = Some(next.store.call(&call));
            }
            steps.push(("the first reader takes an answer".into(), next));
        }
        if state.pulls > 0 {
            let mut next = state.clone();
            next.pulls -= 1;
            let pull = IntentPull { have: next.second.revision() };
            next.pushes.push(next.first.serve(pull));
            steps.push(("the second reader pulls".into(), next));
        }
        for k in 0..state.pushes.len() {
            let mut next = state.clone();
            let push = next.pushes.remove(k);
            self.take_push(&mut next.second, push);
            steps.push((format!("the second reader takes answer {k}"), next));
        }
    }

    fn take_push(&self, replica: &mut Replica, push: IntentPush) {
        if self.mutant != Mutant::NoRevisionCheck {
            replica.apply_push(push);
            return;
        }
        let mut naive = Replica::new();
        match push {
            IntentPush::Changes(changes) => {
                let mut doc = Intent::clone(replica.intent());
                for change in changes {
                    doc.revision = Revision(change.revision.0 - 1);
                    doc.apply(&change).expect("the change applies");
                }
                naive.apply_document(doc.into());
                *replica = naive;
            }
            IntentPush::Document(doc) => {
                naive.apply_document((*doc).into());
                *replica = naive;
            }
            IntentPush::Current => {}
        }
    }

    fn check_outcome(&self, state: &State, i: usize) -> Result<(), String> {
        let Writer::Done(outcome) = &state.writers[i] else { return Ok(()) };
        let position = state.store.history.iter().position(|id| *id == operation(i));
        let committed = position.map(|at| Revision(at as u64 + 1));
        match (outcome, committed) {
            (CommandOutcome::Accepted(reported), Some(committed)) if *reported == committed => {
                Ok(())
            }
            (CommandOutcome::NotAccepted(_), None) | (CommandOutcome::Unknown(_), _) => Ok(()),
            (outcome, committed) => {
                Err(format!("writer {i} says {outcome:?}, the store has {committed:?}"))
            }
        }
    }

    fn check_reader(&self, state: &State, replica: &Replica) -> Result<(), String> {
        let Some((operation, revision)) = replica.intent().recent.back() else { return Ok(()) };
        let made = state.store.history.get(revision.0 as usize - 1);
        if made == Some(operation) && *revision == replica.revision() {
            return Ok(());
        }
        Err(format!("a reader holds {replica:?}, the store made {made:?}"))
    }
}

impl Model for Agreement {
    type State = State;
    type Event = String;

    fn initial(&self) -> Vec<State> {
        let writers = [0, 1].map(|i| {
            let mut command = self.command(operation(i), 10 + i as u32);
            let step = command.start();
            writer(step, command)
        });
        vec![State {
            store: self.seeded_store(),
            writers,
            delayed: Vec::new(),
            first: Replica::new(),
            watcher: Watcher::new(self.now),
            answer: None,
            second: Replica::new(),
            pushes: Vec::new(),
            reads: self.reads,
            pulls: self.pulls,
            faults: self.faults,
            crashes: 1,
        }]
    }

    fn fingerprint(&self, state: &State) -> u128 {
        let writers = state.writers.iter().map(|writer| match writer {
            Writer::Calling(command, _) => format!("calling {command:?}"),
            Writer::Waiting(command) => format!("waiting {command:?}"),
            Writer::Done(outcome) => format!("{outcome:?}"),
            Writer::Crashed => "crashed".into(),
        });
        let delayed = state.delayed.iter().map(|call| match call {
            StoreCall::Put { key, value, if_version, .. } => {
                format!("{key} {if_version} {:x}", xxhash_rust::xxh3::xxh3_64(value.as_bytes()))
            }
            other => format!("{other:?}"),
        });
        let pushes = state.pushes.iter().map(|push| match push {
            IntentPush::Current => "current".into(),
            IntentPush::Changes(c) => {
                format!("{:?}", c.iter().map(|c| c.revision).collect::<Vec<_>>())
            }
            IntentPush::Document(doc) => format!("document {}", doc.revision),
        });
        let answer = state.answer.as_ref().map(|answer| match answer {
            StoreAnswer::Found { version, value } => format!("{version} {}", value.len()),
            other => format!("{other:?}"),
        });
        let recent = state.store.history.iter().skip(self.start as usize).collect::<Vec<_>>();
        let bases: Vec<_> = state.store.keys.keys().collect();
        let text = format!(
            "{:?}|{:?}|{:?}|{answer:?}|{:?}|{:?}|{recent:?}|{bases:?}|{:?}|{:?}|{} {} {} {}",
            writers.collect::<Vec<_>>(),
            delayed.collect::<Vec<_>>(),
            pushes.collect::<Vec<_>>(),
            state.first,
            state.second,
            state.store.fault,
            state.watcher.stage_name(),
            state.reads,
            state.pulls,
            state.faults,
            state.crashes,
        );
        digest(&text)
    }

    fn steps(&self, state: &State) -> Vec<(String, Result<State, String>)> {
        let mut steps = Vec::new();
        for i in 0..2 {
            self.writer_steps(state, i, &mut steps);
        }
        self.store_steps(state, &mut steps);
        self.reader_steps(state, &mut steps);
        let before = [state.first.revision(), state.second.revision()];
        let check_order = |next: State| {
            let after = [next.first.revision(), next.second.revision()];
            match before.iter().zip(&after).all(|(before, after)| before <= after) {
                true => Ok(next),
                false => Err(format!("a reader went back from {before:?} to {after:?}")),
            }
        };
        steps.into_iter().map(|(label, next)| (label, check_order(next))).collect()
    }

    fn check(&self, state: &State) -> Result<(), String> {
        if let Some(fault) = &state.store.fault {
            return Err(fault.clone());
        }
        for i in 0..2 {
            self.check_outcome(state, i)?;
        }
        self.check_reader(state, &state.first)?;
        self.check_reader(state, &state.second)
    }
}
