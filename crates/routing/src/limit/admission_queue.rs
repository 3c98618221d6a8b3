//! The admission queue of a limiter, ordered by the weight of the kind, then by deadline.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Instant,
};

use super::AdmissionRequest;

/// Position in the queue: heavier kinds first, then the earlier deadline, then the ticket.
type Rank = (Reverse<u32>, Instant, u64);

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedRequest {
    pub request: AdmissionRequest,
    pub queued_at: Instant,
    pub give_up_at: Instant,
}

impl QueuedRequest {
    fn rank(&self) -> Rank {
        (Reverse(self.request.weight), self.request.deadline, self.request.ticket)
    }
}

/// Waiting requests. Nested ones are kept apart since they may also use the reserved slots.
#[derive(Clone, Debug, Default)]
pub(super) struct AdmissionQueue {
    by_ticket: HashMap<u64, QueuedRequest>,
    /// Requests of depth 0.
    top_level: BTreeSet<Rank>,
    /// Requests of depth 1 and more.
    nested: BTreeSet<Rank>,
    by_give_up_at: BTreeSet<(Instant, u64)>,
    /// Weight and number of waiting requests; short because services have few kinds.
    by_weight: Vec<(u32, u32)>,
}

impl AdmissionQueue {
    pub fn len(&self) -> usize {
        self.by_ticket.len()
    }

    /// Returns whether a new request of this depth would overtake a waiting one that could use the
    /// same slot.
    pub fn would_overtake(&self, depth: u8) -> bool {
        if depth == 0 { !self.by_ticket.is_empty() } else { !self.nested.is_empty() }
    }

    /// Returns the number of waiting requests of at least this weight.
    pub fn ahead_of(&self, weight: u32) -> u32 {
        self.by_weight.iter().filter(|(w, _)| *w >= weight).map(|(_, count)| count).sum()
    }

    pub fn push(&mut self, queued: QueuedRequest) {
        let rank = queued.rank();
        match queued.request.depth {
            0 => self.top_level.insert(rank),
            _ => self.nested.insert(rank),
        };
        self.by_give_up_at.insert((queued.give_up_at, queued.request.ticket));
        match self.by_weight.iter_mut().find(|(w, _)| *w == queued.request.weight) {
            Some((_, count)) => *count += 1,
            None => self.by_weight.push((queued.request.weight, 1)),
        }
        self.by_ticket.insert(queued.request.ticket, queued);
    }

    pub fn remove(&mut self, ticket: u64) -> Option<QueuedRequest> {
        let queued = self.by_ticket.remove(&ticket)?;
        let rank = queued.rank();
        match queued.request.depth {
            0 => self.top_level.remove(&rank),
            _ => self.nested.remove(&rank),
        };
        self.by_give_up_at.remove(&(queued.give_up_at, ticket));
        if let Some((_, count)) =
            self.by_weight.iter_mut().find(|(w, _)| *w == queued.request.weight)
        {
            *count -= 1;
        }
        Some(queued)
    }

    /// Removes the first request in order, or the first nested one unless `top_level` is set.
    pub fn pop(&mut self, top_level: bool) -> Option<QueuedRequest> {
        let nested = self.nested.first();
        let rank = match (self.top_level.first(), nested) {
            (Some(first), Some(nested)) if top_level => first.min(nested),
            (Some(first), None) if top_level => first,
            (_, nested) => nested?,
        };
        self.remove(rank.2)
    }

    /// Removes the last request in order if `request` would come before it.
    pub fn pop_last_after(&mut self, request: &AdmissionRequest) -> Option<QueuedRequest> {
        let last = self.top_level.last().max(self.nested.last())?;
        if *last <= (Reverse(request.weight), request.deadline, request.ticket) {
            return None;
        }
        self.remove(last.2)
    }

    /// Removes a request whose wait is over.
    pub fn pop_expired(&mut self, now: Instant) -> Option<QueuedRequest> {
        let (at, ticket) = *self.by_give_up_at.first()?;
        if at > now { None } else { self.remove(ticket) }
    }
}
