//! When nodes and the store were disturbed, and which nodes were in touch.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// Time without disturbance after which a node is in touch; `stableWindowMs` of the users.
pub const STABLE_WINDOW: Duration = Duration::from_secs(3);

/// Who is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    Node(usize),
    Store,
}

#[derive(Clone, Copy, Debug)]
struct Disturbance {
    scope: Scope,
    from: Instant,
    /// `None` while it lasts.
    to: Option<Instant>,
}

#[derive(Default)]
struct State {
    disturbances: Vec<Disturbance>,
    lines: Vec<String>,
}

/// The record of what the schedule and the operator did.
#[derive(Clone)]
pub struct Timeline {
    started: Instant,
    state: Arc<Mutex<State>>,
}

impl Timeline {
    pub fn start() -> Self {
        Self { started: Instant::now(), state: Arc::default() }
    }

    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Returns a time in milliseconds since the start.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    pub fn note(&self, text: String) {
        let line = format!("{} ms: {text}", self.started.elapsed().as_millis());
        self.state.lock().unwrap().lines.push(line);
    }

    pub fn text(&self) -> String {
        self.state.lock().unwrap().lines.join("\n")
    }

    /// Records that a disturbance begins.
    pub fn begin(&self, scope: Scope) {
        let disturbance = Disturbance { scope, from: Instant::now(), to: None };
        self.state.lock().unwrap().disturbances.push(disturbance);
    }

    /// Records that the open disturbances of a scope end.
    pub fn end(&self, scope: Scope) {
        let mut state = self.state.lock().unwrap();
        let open = state.disturbances.iter_mut().filter(|d| d.scope == scope && d.to.is_none());
        open.for_each(|disturbance| disturbance.to = Some(Instant::now()));
    }

    /// Returns whether a scope is disturbed at a moment or was within the time before it.
    pub fn is_disturbed(&self, scope: Scope, within: Duration, at: Instant) -> bool {
        let state = self.state.lock().unwrap();
        state.disturbances.iter().any(|disturbance| {
            disturbance.scope == scope
                && disturbance.from <= at
                && disturbance.to.is_none_or(|to| to + within >= at)
        })
    }

    /// Returns whether a node is in touch: it and the store were undisturbed for a while.
    pub fn is_in_touch(&self, node: usize, at: Instant) -> bool {
        !self.is_disturbed(Scope::Node(node), STABLE_WINDOW, at)
            && !self.is_disturbed(Scope::Store, STABLE_WINDOW, at)
    }

    /// Returns the latest moment up to `at` at which the store was not stable.
    pub fn unstable_before(&self, at: Instant) -> Option<Instant> {
        let state = self.state.lock().unwrap();
        let of_store =
            state.disturbances.iter().filter(|d| d.scope == Scope::Store && d.from <= at);
        of_store.map(|d| d.to.map_or(at, |to| (to + STABLE_WINDOW).min(at))).max()
    }
}
