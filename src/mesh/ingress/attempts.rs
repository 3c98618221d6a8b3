//! The state shared by the attempts at one request.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use oleandertiller_model::NodeName;

use super::request::ClientRequest;

/// State of the attempts at one request.
#[derive(Default)]
pub(super) struct AttemptState {
    /// Number of upstreams that the request has reached.
    pub(super) upstreams_reached: u32,
    /// Whether the request may have run at an upstream.
    pub(super) may_have_run: bool,
    /// Owners that get no further offer.
    pub(super) excluded: Vec<NodeName>,
    /// Owners to which an offer of the request is in flight.
    pub(super) in_flight: Vec<NodeName>,
    /// When the last offer was sent.
    pub(super) last_sent: Option<Instant>,
    /// Time until a slot is expected, if the request was refused because none was free.
    pub(super) expected_wait: Option<Duration>,
    /// The owners that were offered the request and their replies, for the log.
    pub(super) hops: String,
}

impl AttemptState {
    /// Returns whether the route's limit on attempts allows another upstream.
    pub(super) fn may_try_another_upstream(&self, request: &ClientRequest) -> bool {
        self.upstreams_reached + (self.in_flight.len() as u32) < request.route.attempts
    }
}

/// The attempts at one request, some of which run concurrently.
#[derive(Default)]
pub(super) struct Attempts(Mutex<AttemptState>);

impl Attempts {
    pub(super) fn lock(&self) -> MutexGuard<'_, AttemptState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether an upstream may have received the request already.
    pub(super) fn is_retry(&self) -> bool {
        let state = self.lock();
        state.may_have_run || state.upstreams_reached > 0 || !state.in_flight.is_empty()
    }

    /// Returns whether an attempt may have begun to run, so that no other one counts as usage. What
    /// upstreams have refused has not.
    pub(super) fn has_begun(&self) -> bool {
        let state = self.lock();
        state.may_have_run || !state.in_flight.is_empty()
    }

    /// Appends an owner and its reply to the hops.
    pub(super) fn record_hop(&self, node: &NodeName, reply: &str) {
        let hops = &mut self.lock().hops;
        if !hops.is_empty() {
            hops.push(' ');
        }
        hops.push_str(node.as_str());
        hops.push('=');
        hops.push_str(reply);
    }
}

/// Keeps an owner in [`AttemptState::in_flight`] until it is dropped.
pub(super) struct InFlightGuard<'a> {
    attempts: &'a Attempts,
    node: &'a NodeName,
}

impl<'a> InFlightGuard<'a> {
    pub(super) fn new(attempts: &'a Attempts, node: &'a NodeName, now: Instant) -> Self {
        let mut state = attempts.lock();
        state.in_flight.push(node.clone());
        state.last_sent = Some(now);
        Self { attempts, node }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.attempts.lock();
        if let Some(index) = state.in_flight.iter().position(|node| node == self.node) {
            state.in_flight.swap_remove(index);
        }
    }
}
