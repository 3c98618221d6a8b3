//! What an ingress knows of one owner.
//!
//! The state of an owner arrives with its replies and is as old as the last one. Requests that this
//! node has sent since then are not part of it and are counted here, so that a burst does not go to
//! the owner that looked best before it.
//!
//! A node whose machine is slow answers late, whatever the state of its upstream. The time of a reply
//! beyond the time that the owner had the request is learnt as the overhead of the peer. This handles an ingress that sends an owner anything from a
//! request a minute to some hundred a second.

use std::time::{Duration, Instant};

use crate::{admission_queue::OwnerState, upstream_capacity::decay};

/// Weight of the newest reply in the smoothed overhead.
const OVERHEAD_SMOOTHING: f64 = 0.25;

/// Time constant with which the overhead decays, so that a peer is tried again.
const OVERHEAD_DECAY: Duration = Duration::from_secs(5);

/// Longest overhead that a single reply counts as, in seconds.
const MAX_OVERHEAD: f64 = 0.5;

/// Overhead from which a peer counts as late, and below which no longer, in seconds.
const LATE_FROM: f64 = 0.05;
const PUNCTUAL_BELOW: f64 = 0.02;

/// An owner's last known state and what this node has sent to it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerHealth {
    state: Option<(OwnerState, Instant)>,
    in_flight: u32,
    sent_since: u32,
    /// Smoothed overhead in seconds, and when it was learnt.
    overhead: Option<(f64, Instant)>,
    late: bool,
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

    /// Records a reply that arrived `elapsed` after its request was sent, of which the owner had it
    /// for `held`. Returns whether the peer answers late if that has changed.
    pub fn on_reply(&mut self, elapsed: Duration, held: Duration, now: Instant) -> Option<bool> {
        let sample = elapsed.saturating_sub(held).as_secs_f64().min(MAX_OVERHEAD);
        let overhead = match self.overhead {
            Some(_) => {
                let previous = self.overhead(now).as_secs_f64();
                previous + (sample - previous) * OVERHEAD_SMOOTHING
            }
            // A first reply often includes the time to connect.
            None => sample * OVERHEAD_SMOOTHING,
        };
        self.overhead = Some((overhead, now));
        let late = overhead >= if self.late { PUNCTUAL_BELOW } else { LATE_FROM };
        let changed = late != self.late;
        self.late = late;
        changed.then_some(late)
    }

    /// Returns the time that a reply takes beyond that of the work.
    pub fn overhead(&self, now: Instant) -> Duration {
        let Some((overhead, at)) = self.overhead else { return Duration::ZERO };
        let age = now.saturating_duration_since(at);
        Duration::from_secs_f64(overhead * decay(age, OVERHEAD_DECAY))
    }

    /// Returns whether the peer answered late at its last reply.
    pub fn is_late(&self) -> bool {
        self.late
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
