//! Drivers of the state machines on the store: zone entry, watcher, commands.

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

/// Shortest sleep. A wait that ends now would not let virtual time move.
const SLEEP_MIN: Duration = Duration::from_millis(1);

/// Time between two looks at whether the node must read the intent itself.
const LOOK: Duration = Duration::from_millis(200);

impl Node {
    /// Takes and keeps an entry of the zone, and watches the intent with it.
    pub async fn keep_entry(self: Rc<Self>) {
        let place = &self.world.places[self.index];
        let value = EntryValue {
            node: place.name.clone(),
            incarnation: self.incarnation,
            addresses: place.addresses,
        };
        let mut entries = Entries::new(place.zone.clone(), value, self.world.now());
        let mut step = entries.wake(self.world.now(), &mut *self.rng.borrow_mut());
        let mut watching: Option<crate::exec::TaskId> = None;
        loop {
            step = match step {
                Step::Call(call) => {
                    let answer = self.world.store_call(self.index, call).await;
                    entries.answer(answer, self.world.now(), &mut *self.rng.borrow_mut())
                }
                Step::Wait(at) => {
                    let look = self.world.now() + Duration::from_secs(1);
                    self.sleep_until(at.min(look)).await;
                    let now = self.world.now();
                    let (held, members) =
                        self.agent.borrow().membership().zone_entries(&place.zone);
                    entries.observe(held, members, now, &mut *self.rng.borrow_mut());
                    entries.wake(now, &mut *self.rng.borrow_mut())
                }
                Step::Done(()) => return,
            };
            let now = self.world.now();
            self.show_entry(entries.held(now));
            match (entries.is_watcher(now), watching) {
                (true, None) => {
                    let work = self.clone().read(Watcher::new(now));
                    watching = Some(self.world.exec.spawn(self.process, work));
                }
                (false, Some(task)) => {
                    self.world.exec.abort(task);
                    watching = None;
                }
                _ => {}
            }
        }
    }

    async fn sleep_until(&self, at: Instant) {
        let earliest = self.world.now() + SLEEP_MIN;
        self.world.exec.sleep_until(at.max(earliest)).await;
    }

    fn show_entry(self: &Rc<Self>, held: Option<u8>) {
        let now = self.world.now();
        let outputs = {
            let mut agent = self.agent.borrow_mut();
            agent.membership_mut().update_local(|record| record.entry = held, now);
            agent.take_outputs(now)
        };
        self.carry_out(outputs);
    }

    /// Reads the intent from the store while the node starts or is stale.
    pub async fn keep_reading(self: Rc<Self>) {
        loop {
            if self.agent.borrow().freshness().stale().is_some() {
                let work = self.clone().read(Watcher::once(self.world.now()));
                let end = self.world.now() + Duration::from_secs(3);
                self.world.exec.within(end, work).await;
            }
            self.world.exec.sleep(LOOK).await;
        }
    }

    async fn read(self: Rc<Self>, mut watcher: Watcher) {
        let mut step = watcher.wake(self.world.now());
        loop {
            step = match step {
                Step::Call(call) => {
                    let answer = self.world.store_call(self.index, call).await;
                    let now = self.world.now();
                    let mut replica = self.agent.borrow().replica().clone();
                    let mut rng = self.rng.borrow_mut();
                    let (event, step) = watcher.answer(answer, &mut replica, now, &mut *rng);
                    drop(rng);
                    let mut outputs = self.agent.borrow_mut().learned(&replica, now);
                    if let Some(event) = event {
                        outputs.extend(self.agent.borrow_mut().watcher_event(event, now));
                    }
                    self.carry_out(outputs);
                    step
                }
                Step::Wait(at) => {
                    self.sleep_until(at).await;
                    watcher.wake(self.world.now())
                }
                Step::Done(()) => return,
            };
        }
    }

    /// Carries a command to the store, and spreads what was learnt.
    pub async fn command(self: &Rc<Self>, action: Action, deadline: Instant) -> CommandOutcome {
        let operation = Uuid::from_u128(u128::from(self.world.id()));
        let world = &self.world;
        let mut command = {
            let agent = self.agent.borrow();
            let (author, at) = (format!("node-{}", self.index), world.exec.wall());
            Command::new(operation, author, at, action, agent.replica(), deadline)
        };
        let mut step = command.start();
        let outcome = loop {
            step = match step {
                Step::Call(call) => {
                    let answer = world.store_call(self.index, call).await;
                    command.answer(answer, world.now(), &mut *self.rng.borrow_mut())
                }
                Step::Wait(at) => {
                    self.sleep_until(at).await;
                    command.wake(world.now())
                }
                Step::Done(outcome) => break outcome,
            };
        };
        let outputs = self.agent.borrow_mut().learned(command.replica(), world.now());
        self.carry_out(outputs);
        world.trace(|| format!("command {operation} at node {} ends {outcome:?}", self.index));
        let mut checks = world.checks.borrow_mut();
        match outcome {
            CommandOutcome::Accepted(revision) => checks.on_accepted(world, revision, operation),
            CommandOutcome::NotAccepted(NotAccepted::StoreCorrupt) => {}
            CommandOutcome::NotAccepted(_) => checks.on_not_accepted(world, operation),
            CommandOutcome::Unknown(_) => {}
        }
        drop(checks);
        outcome
    }
}
