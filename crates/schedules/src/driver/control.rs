//! Drives the state machines that use the store: zone entry, watcher and commands.

use std::{
    rc::Rc,
    time::{Duration, Instant},
};

use oleandertiller_fleet::{
    Command, CommandOutcome, Entries, EntryValue, NotAccepted, Step, Watcher,
};
use oleandertiller_model::Action;
use uuid::Uuid;

use super::Node;

/// Shortest sleep, so that a wait that ends now still lets virtual time advance.
const MIN_SLEEP: Duration = Duration::from_millis(1);

/// Interval at which the node checks whether it must read the store.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

impl Node {
    /// Acquires and renews a zone entry, and watches the intent while the entry makes the node a
    /// watcher.
    pub async fn maintain_entry(self: Rc<Self>) {
        let spec = &self.sim.node_specs[self.index];
        let value = EntryValue {
            node: spec.name.clone(),
            incarnation: self.incarnation,
            addresses: spec.addresses,
        };
        let mut entries = Entries::new(spec.zone.clone(), value, self.sim.now());
        let mut step = entries.wake(self.sim.now(), &mut *self.rng.borrow_mut());
        let mut watch_task: Option<crate::executor::TaskId> = None;
        loop {
            step = match step {
                Step::Call(call) => {
                    let answer = self.sim.store_call(self.index, call).await;
                    entries.answer(answer, self.sim.now(), &mut *self.rng.borrow_mut())
                }
                Step::Wait(at) => {
                    let next_observe = self.sim.now() + Duration::from_secs(1);
                    self.sleep_until(at.min(next_observe)).await;
                    let now = self.sim.now();
                    let (held, members) = self.agent.borrow().membership().zone_entries(&spec.zone);
                    entries.observe(held, members, now, &mut *self.rng.borrow_mut());
                    entries.wake(now, &mut *self.rng.borrow_mut())
                }
                Step::Done(()) => return,
            };
            let now = self.sim.now();
            self.publish_entry(entries.held(now));
            match (entries.is_watcher(now), watch_task) {
                (true, None) => {
                    let work = self.clone().run_watcher(Watcher::new(now));
                    watch_task = Some(self.sim.executor.spawn(self.process, work));
                }
                (false, Some(task)) => {
                    self.sim.executor.abort(task);
                    watch_task = None;
                }
                _ => {}
            }
        }
    }

    async fn sleep_until(&self, at: Instant) {
        let earliest = self.sim.now() + MIN_SLEEP;
        self.sim.executor.sleep_until(at.max(earliest)).await;
    }

    fn publish_entry(self: &Rc<Self>, held: Option<u8>) {
        let now = self.sim.now();
        let outputs = {
            let mut agent = self.agent.borrow_mut();
            agent.membership_mut().update_local(|record| record.entry = held, now);
            agent.take_outputs(now)
        };
        self.execute(outputs);
    }

    /// Reads the intent from the store at the start and while the node is stale.
    pub async fn read_while_stale(self: Rc<Self>) {
        loop {
            if self.agent.borrow().freshness().stale().is_some() {
                let work = self.clone().run_watcher(Watcher::once(self.sim.now()));
                let end = self.sim.now() + Duration::from_secs(3);
                self.sim.executor.within(end, work).await;
            }
            self.sim.executor.sleep(POLL_INTERVAL).await;
        }
    }

    async fn run_watcher(self: Rc<Self>, mut watcher: Watcher) {
        let mut step = watcher.wake(self.sim.now());
        loop {
            step = match step {
                Step::Call(call) => {
                    let answer = self.sim.store_call(self.index, call).await;
                    let now = self.sim.now();
                    let mut replica = self.agent.borrow().replica().clone();
                    let mut rng = self.rng.borrow_mut();
                    let (event, step) = watcher.answer(answer, &mut replica, now, &mut *rng);
                    drop(rng);
                    let mut outputs = self.agent.borrow_mut().adopt_replica(&replica, now);
                    if let Some(event) = event {
                        outputs.extend(self.agent.borrow_mut().watcher_event(event, now));
                    }
                    self.execute(outputs);
                    step
                }
                Step::Wait(at) => {
                    self.sleep_until(at).await;
                    watcher.wake(self.sim.now())
                }
                Step::Done(()) => return,
            };
        }
    }

    /// Runs a command at the store, and gives the agent the intent that it read there.
    pub async fn command(self: &Rc<Self>, action: Action, deadline: Instant) -> CommandOutcome {
        let operation = Uuid::from_u128(u128::from(self.sim.next_id()));
        let sim = &self.sim;
        let mut command = {
            let agent = self.agent.borrow();
            let (author, at) = (format!("node-{}", self.index), sim.executor.wall());
            Command::new(operation, author, at, action, agent.replica(), deadline)
        };
        let mut step = command.start();
        let outcome = loop {
            step = match step {
                Step::Call(call) => {
                    let answer = sim.store_call(self.index, call).await;
                    command.answer(answer, sim.now(), &mut *self.rng.borrow_mut())
                }
                Step::Wait(at) => {
                    self.sleep_until(at).await;
                    command.wake(sim.now())
                }
                Step::Done(outcome) => break outcome,
            };
        };
        let outputs = self.agent.borrow_mut().adopt_replica(command.replica(), sim.now());
        self.execute(outputs);
        sim.trace(|| format!("command {operation} at node {} ends {outcome:?}", self.index));
        let mut checks = sim.checks.borrow_mut();
        match outcome {
            CommandOutcome::Accepted(revision) => checks.on_accepted(sim, revision, operation),
            CommandOutcome::NotAccepted(NotAccepted::StoreCorrupt) => {}
            CommandOutcome::NotAccepted(_) => checks.on_not_accepted(sim, operation),
            CommandOutcome::Unknown(_) => {}
        }
        drop(checks);
        outcome
    }
}
