//! The wait queue of a limiter, ordered by kind weight, then deadline.

use std::{
    cmp::Reverse,
    collections::{BTreeSet, HashMap},
    time::Instant,
};

use super::SlotRequest;

/// Order of service: heavier kinds first, then the earlier deadline, then the ticket.
type Rank = (Reverse<u32>, Instant, u64);

/// A request that waits for a slot.
#[derive(Clone, Copy, Debug)]
pub(super) struct Waiting {
    pub ask: SlotRequest,
    pub since: Instant,
    pub give_up: Instant,
}

impl Waiting {
    fn rank(&self) -> Rank {
        (Reverse(self.ask.weight), self.ask.deadline, self.ask.ticket)
    }
}

/// Waiting requests, those at depth 0 apart from deeper ones, which may use the reserve.
#[derive(Clone, Debug, Default)]
pub(super) struct WaitQueue {
    waiting: HashMap<u64, Waiting>,
    shallow: BTreeSet<Rank>,
    deep: BTreeSet<Rank>,
    give_up: BTreeSet<(Instant, u64)>,
    /// Number of waiting requests by weight; services have few kinds, so this stays short.
    by_weight: Vec<(u32, u32)>,
}

impl WaitQueue {
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a waiting request could use the free slot that a new one of this depth
    /// asks for.
    pub fn holds_back(&self, depth: u8) -> bool {
        if depth == 0 { !self.waiting.is_empty() } else { !self.deep.is_empty() }
    }

    /// Returns how many requests of at least this weight wait.
    pub fn ahead_of(&self, weight: u32) -> u32 {
        self.by_weight.iter().filter(|(w, _)| *w >= weight).map(|(_, n)| n).sum()
    }

    pub fn push(&mut self, waiting: Waiting) {
        let rank = waiting.rank();
        match waiting.ask.depth {
            0 => self.shallow.insert(rank),
            _ => self.deep.insert(rank),
        };
        self.give_up.insert((waiting.give_up, waiting.ask.ticket));
        match self.by_weight.iter_mut().find(|(w, _)| *w == waiting.ask.weight) {
            Some((_, count)) => *count += 1,
            None => self.by_weight.push((waiting.ask.weight, 1)),
        }
        self.waiting.insert(waiting.ask.ticket, waiting);
    }

    pub fn remove(&mut self, ticket: u64) -> Option<Waiting> {
        let waiting = self.waiting.remove(&ticket)?;
        let rank = waiting.rank();
        match waiting.ask.depth {
            0 => self.shallow.remove(&rank),
            _ => self.deep.remove(&rank),
        };
        self.give_up.remove(&(waiting.give_up, ticket));
        if let Some((_, count)) = self.by_weight.iter_mut().find(|(w, _)| *w == waiting.ask.weight)
        {
            *count -= 1;
        }
        Some(waiting)
    }

    /// Takes the first request in order; without `shallow`, the first of the deeper ones.
    pub fn pop(&mut self, shallow: bool) -> Option<Waiting> {
        let deep = self.deep.first();
        let rank = match (self.shallow.first(), deep) {
            (Some(first), Some(deep)) if shallow => first.min(deep),
            (Some(first), None) if shallow => first,
            (_, deep) => deep?,
        };
        self.remove(rank.2)
    }

    /// Takes the last request in order if a request of this weight and deadline precedes it.
    pub fn pop_last_behind(&mut self, ask: &SlotRequest) -> Option<Waiting> {
        let last = self.shallow.last().max(self.deep.last())?;
        if *last <= (Reverse(ask.weight), ask.deadline, ask.ticket) {
            return None;
        }
        self.remove(last.2)
    }

    /// Takes a request whose wait is over.
    pub fn pop_expired(&mut self, now: Instant) -> Option<Waiting> {
        let (at, ticket) = *self.give_up.first()?;
        if at > now { None } else { self.remove(ticket) }
    }
}
