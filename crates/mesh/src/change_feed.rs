//! How changes of the store reach the nodes of a zone with few calls.
//!
//! If every node watched the store, each change would cost a call of every node. Instead the first
//! node of a zone, by name, watches the store, and the other nodes of the zone watch that node. A
//! node whose source is gone, is behind or cannot reach the store watches the store itself.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, ZoneName};

use crate::members::{Members, NodeRecord};

/// Maximum number of changes kept for the other nodes of the zone: several times the changes that a
/// start of all nodes of a large deployment causes.
const MAX_CHANGES: usize = 500;

/// Time for which a node watches the store after its source did not answer: the life of a record's
/// lease, after which a source that is gone is no longer listed.
const STORE_FALLBACK_TIME: Duration = Duration::from_secs(3);

/// The latest changes with their revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    /// Changes up to this revision have been dropped.
    from: u64,
    /// Latest known revision.
    to: u64,
    changes: VecDeque<(u64, T)>,
}

/// Changes after a revision, as far as a change log holds them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesSince<T> {
    /// Nothing has changed.
    Unchanged,
    /// The changes, and the latest revision.
    Changes(Vec<T>, u64),
    /// The changes have been dropped from the log.
    Compacted,
}

impl<T: Clone> ChangeLog<T> {
    /// Creates an empty log that starts at a revision.
    pub fn new(revision: u64) -> Self {
        Self { from: revision, to: revision, changes: VecDeque::new() }
    }

    /// Returns the latest known revision.
    pub fn revision(&self) -> u64 {
        self.to
    }

    /// Adds changes with their revisions, in order; `revision` is the latest revision afterwards.
    pub fn add(&mut self, changes: impl IntoIterator<Item = (u64, T)>, revision: u64) {
        for (at, change) in changes {
            // A page read before the watch began may already include later changes.
            if at > self.to {
                self.changes.push_back((at, change));
            }
        }
        self.to = self.to.max(revision);
        while self.changes.len() > MAX_CHANGES {
            if let Some((at, _)) = self.changes.pop_front() {
                self.from = at;
            }
        }
    }

    /// Returns the changes after `revision`.
    pub fn since(&self, revision: u64) -> ChangesSince<T> {
        if revision < self.from {
            return ChangesSince::Compacted;
        }
        if revision >= self.to {
            return ChangesSince::Unchanged;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        ChangesSince::Changes(later.map(|(_, change)| change.clone()).collect(), self.to)
    }
}

/// Selects the node whose change feed this node watches.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    store_until: Option<Instant>,
}

impl SourceSelector {
    /// Returns the node to watch, or `None` for the store.
    pub fn select(
        &self,
        members: &Members,
        own: &NodeName,
        zone: &ZoneName,
        now: Instant,
    ) -> Option<Arc<NodeRecord>> {
        if self.store_until.is_some_and(|until| now < until) {
            return None;
        }
        let eligible = members.iter().filter(|member| {
            let record = &member.record;
            let is_own = record.node == *own;
            let is_live = member.is_listed() && member.is_reachable(now) && !record.stopping;
            record.zone == *zone && (is_own || is_live)
        });
        let first = eligible.map(|member| &member.record).min_by(|a, b| a.node.cmp(&b.node))?;
        (first.node < *own).then(|| first.clone())
    }

    /// Records that the source did not answer.
    pub fn on_no_answer(&mut self, now: Instant) {
        self.store_until = Some(now + STORE_FALLBACK_TIME);
    }
}
