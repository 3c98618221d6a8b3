//! What an ingress knows of one owner.
//!
//! The state of an owner arrives with its replies and is as old as the last one. Requests that this
//! node has sent since then are not part of it and are counted here, so that a burst does not go to
//! the owner that looked best before it. This handles an ingress that sends an owner anything from a
//! request a minute to some hundred a second.

use std::time::Instant;

use crate::admission_queue::OwnerState;

/// An owner's last known state and what this node has sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerHealth {
    state: Option<(OwnerState, Instant)>,
    in_flight: u32,
    sent_since: u32,
}

impl PeerHealth {
    /// Records that a request is being sent to the owner.
    pub fn on_sent(&mut self) {
        self.in_flight += 1;
        self.sent_since += 1;
    }

    /// Records that a request to the owner has ended, with or without an answer.
    pub fn on_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.sent_since = self.sent_since.min(self.in_flight);
    }

    /// Records the state that came with an answer.
    pub fn on_state(&mut self, state: OwnerState, now: Instant) {
        self.state = Some((state, now));
        self.sent_since = 0;
    }

    /// Returns the last known state, and when it arrived.
    pub fn state(&self) -> Option<(OwnerState, Instant)> {
        self.state
    }

    /// Returns the number of requests of this node that the owner has not answered.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns how many of these were sent after the last known state arrived.
    pub fn sent_since(&self) -> u32 {
        self.sent_since
    }
}
