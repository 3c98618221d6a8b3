//! Reads the intent from the store: continuously as a watcher, otherwise at the start and while
//! stale.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use async_std::task;
use oleandertiller_fleet::{
    Replica, Step, StoreAnswer, Watcher, intent::WatcherEvent, store::Backoff,
};
use oleandertiller_model::Clock;
use rand::{SeedableRng, rngs::StdRng};

use super::Control;
use crate::{node::store::Store, telemetry::StateChange};

/// Interval at which the node checks whether it must read the store.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// First upper bound of the backoff between reads of a node that stays stale.
const STALE_READ_BACKOFF_BASE: Duration = Duration::from_millis(500);

/// Largest upper bound of the backoff between reads of a node that stays stale.
const STALE_READ_BACKOFF_CAP: Duration = Duration::from_secs(10);

/// Watches the head in the store while the node is a watcher; otherwise reads it while stale.
pub(super) async fn follow<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    let mut rng = StdRng::from_rng(&mut rand::rng());
    let mut backoff = Backoff::new(STALE_READ_BACKOFF_BASE, STALE_READ_BACKOFF_CAP);
    let mut corrupt = false;
    loop {
        let now = control.clock.now();
        if control.is_watcher() {
            let watcher = Watcher::new(now);
            control.run_watcher(watcher, &mut rng, &mut corrupt, || control.is_watcher()).await;
        } else if control.is_stale() {
            let wanted = || control.is_stale() && !control.is_watcher();
            control.run_watcher(Watcher::once(now), &mut rng, &mut corrupt, wanted).await;
            if control.is_stale() {
                task::sleep(backoff.next_wait(&mut rng)).await;
            }
        } else {
            backoff.reset();
            task::sleep(POLL_INTERVAL).await;
        }
    }
}

impl<C: Clock, S: Store> Control<C, S> {
    fn is_watcher(&self) -> bool {
        self.watching.load(Ordering::Relaxed)
    }

    pub(super) fn is_stale(&self) -> bool {
        self.read(|agent, _| agent.freshness().stale().is_some())
    }

    /// Reads the head once, even when the node is fresh; returns whether the store confirmed it.
    pub(super) async fn refresh_intent(&self) -> bool {
        let mut rng = StdRng::from_rng(&mut rand::rng());
        let mut watcher = Watcher::once(self.clock.now());
        let mut step = watcher.wake(self.clock.now());
        let mut confirmed = false;
        while let Step::Call(call) = step {
            let answer = self.call_store(&call).await;
            let event;
            (event, step) = self.apply_answer(&mut watcher, answer, &mut rng);
            confirmed |= matches!(event, Some(WatcherEvent::Confirmed { .. }));
        }
        confirmed
    }

    /// Runs a watcher until it is done or `wanted` no longer holds.
    async fn run_watcher(
        &self,
        mut watcher: Watcher,
        rng: &mut StdRng,
        corrupt: &mut bool,
        wanted: impl Fn() -> bool,
    ) {
        let mut step = watcher.wake(self.clock.now());
        while wanted() {
            step = match step {
                Step::Call(call) => {
                    let answer = self.call_store(&call).await;
                    let (event, step) = self.apply_answer(&mut watcher, answer, rng);
                    if let Some(event) = event {
                        log_corruption(event, corrupt);
                    }
                    step
                }
                Step::Wait(at) => {
                    let next_poll = self.clock.now() + POLL_INTERVAL;
                    self.sleep_until(at.min(next_poll)).await;
                    match self.clock.now() >= at {
                        true => watcher.wake(self.clock.now()),
                        false => Step::Wait(at),
                    }
                }
                Step::Done(()) => return,
            };
        }
    }

    fn apply_answer(
        &self,
        watcher: &mut Watcher,
        answer: StoreAnswer,
        rng: &mut StdRng,
    ) -> (Option<WatcherEvent>, Step<()>) {
        let mut replica: Replica = self.read(|agent, _| agent.replica().clone());
        let (event, step) = watcher.answer(answer, &mut replica, self.clock.now(), rng);
        self.update(|agent, now| {
            let mut outputs = agent.adopt_replica(&replica, now);
            if let Some(event) = event {
                outputs.extend(agent.watcher_event(event, now));
            }
            outputs
        });
        (event, step)
    }
}

fn log_corruption(event: WatcherEvent, corrupt: &mut bool) {
    let current = event == WatcherEvent::Corrupt;
    if current != *corrupt {
        let label = |corrupt| if corrupt { "unusable" } else { "readable" };
        let change = StateChange::new("intent in the store", label(*corrupt), label(current));
        change.with_why("its head or base document was read").warn();
        *corrupt = current;
    }
}
