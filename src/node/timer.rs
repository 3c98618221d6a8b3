//! Coarse timers for deadlines on the request path.
//!
//! Setting a timer of the async runtime wakes the runtime's reactor through a system call. Setting
//! one of these timers only takes a lock; one task fires those that are due, every
//! [`TIMER_RESOLUTION`].

use std::{
    collections::BTreeMap,
    future::Future,
    pin::{Pin, pin},
    sync::{Arc, Mutex, PoisonError},
    task::{Context, Poll, Waker},
    time::{Duration, Instant},
};

use async_std::future::timeout;
use futures_util::{
    future::{Either, poll_fn, select},
    task::AtomicWaker,
};
use oleandertiller_model::Clock;

/// Interval at which due timers are fired, and so the accuracy of a timer.
pub const TIMER_RESOLUTION: Duration = Duration::from_millis(5);

/// Longest sleep of [`Timers::drive`] while no timer is set.
const IDLE_SLEEP: Duration = Duration::from_secs(10);

/// Due time of a timer, and a number that distinguishes timers that are due at the same time.
type Key = (Instant, u64);

#[derive(Default)]
struct Entries {
    wakers: BTreeMap<Key, Waker>,
    next_number: u64,
}

/// All timers of a node.
#[derive(Clone, Default)]
pub struct Timers {
    entries: Arc<Mutex<Entries>>,
    /// Woken when a timer is set that is due before all others.
    new_earliest: Arc<AtomicWaker>,
}

impl Timers {
    /// Creates a timer that completes at `at`.
    pub fn at(&self, at: Instant) -> Timer {
        Timer { timers: self.clone(), at, key: None }
    }

    /// Runs `work` until `at`; drops it and returns `None` when it has not ended by then.
    pub async fn within<F: Future>(&self, at: Instant, work: F) -> Option<F::Output> {
        match select(pin!(work), self.at(at)).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }

    /// Wakes the timers that are due.
    pub fn fire(&self, now: Instant) {
        let due = {
            let mut entries = self.lock();
            let later = entries.wakers.split_off(&(now, u64::MAX));
            std::mem::replace(&mut entries.wakers, later)
        };
        due.into_values().for_each(Waker::wake);
    }

    /// Fires timers as they fall due, at least [`TIMER_RESOLUTION`] apart, and sleeps in between,
    /// so that a process with few timers seldom wakes.
    pub async fn drive<C: Clock>(self, clock: C) {
        loop {
            let earliest = self.earliest();
            let sleep = match earliest {
                Some(at) => at.saturating_duration_since(clock.now()).max(TIMER_RESOLUTION),
                None => IDLE_SLEEP,
            };
            let rearmed = poll_fn(|cx| {
                self.new_earliest.register(cx.waker());
                let at = self.earliest();
                let sooner = at.is_some_and(|at| earliest.is_none_or(|known| at < known));
                if sooner { Poll::Ready(()) } else { Poll::Pending }
            });
            // Either way the timers that are due by now are fired.
            let _ = timeout(sleep, rearmed).await;
            self.fire(clock.now());
        }
    }

    fn earliest(&self) -> Option<Instant> {
        self.lock().wakers.first_key_value().map(|((at, _), _)| *at)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A future that completes at a set time.
pub struct Timer {
    timers: Timers,
    at: Instant,
    key: Option<Key>,
}

impl Future for Timer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let timers = self.timers.clone();
        let mut entries = timers.lock();
        let Some(key) = self.key else {
            let key = (self.at, entries.next_number);
            entries.next_number += 1;
            entries.wakers.insert(key, cx.waker().clone());
            let first = entries.wakers.first_key_value().is_some_and(|(first, _)| *first == key);
            drop(entries);
            self.key = Some(key);
            if first {
                timers.new_earliest.wake();
            }
            return Poll::Pending;
        };
        match entries.wakers.get_mut(&key) {
            Some(waker) => {
                waker.clone_from(cx.waker());
                Poll::Pending
            }
            None => Poll::Ready(()),
        }
    }
}

impl Drop for Timer {
    fn drop(&mut self) {
        if let Some(key) = self.key {
            self.timers.lock().wakers.remove(&key);
        }
    }
}
