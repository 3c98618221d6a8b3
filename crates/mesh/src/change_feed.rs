//! How news of the store reaches the nodes of a zone with few calls.
//!
//! Answers the load of changes: if every node waits for them at the store, each change costs a call
//! of every node. Here the first node of a zone, by name, waits at the store, and the others of the
//! zone wait at that node. A node whose source is gone, behind or in doubt goes to the store itself.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, ZoneName};

use crate::members::{Members, NodeRecord};

/// Changes that are kept for the other nodes of the zone: the starts of all nodes of a large
/// deployment, several times over.
const KEPT: usize = 500;

/// Time for which a node waits at the store after its source did not answer: the life of a record's
/// lease, after which a source that is gone is no longer listed.
const REST: Duration = Duration::from_secs(3);

/// The latest changes, by revision.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    /// Changes up to this revision are not kept.
    from: u64,
    /// Changes up to this revision are known.
    to: u64,
    changes: VecDeque<(u64, T)>,
}

/// What a history knows after a revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangesSince<T> {
    /// Nothing has changed.
    Unchanged,
    /// The changes, and the revision that they lead to.
    Changes(Vec<T>, u64),
    /// The changes are no longer kept.
    Compacted,
}

impl<T: Clone> ChangeLog<T> {
    /// Creates a history that begins at a revision.
    pub fn new(revision: u64) -> Self {
        Self { from: revision, to: revision, changes: VecDeque::new() }
    }

    /// Returns the revision up to which changes are known.
    pub fn revision(&self) -> u64 {
        self.to
    }

    /// Adds changes with their revisions, in order, which lead to `revision`.
    pub fn add(&mut self, changes: impl IntoIterator<Item = (u64, T)>, revision: u64) {
        for (at, change) in changes {
            // A page that was read before the watch began may hold later changes already.
            if at > self.to {
                self.changes.push_back((at, change));
            }
        }
        self.to = self.to.max(revision);
        while self.changes.len() > KEPT {
            if let Some((at, _)) = self.changes.pop_front() {
                self.from = at;
            }
        }
    }

    /// Returns what has changed after `revision`.
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

/// Where a node waits for news.
#[derive(Clone, Debug, Default)]
pub struct SourceSelector {
    rest_until: Option<Instant>,
}

impl SourceSelector {
    /// Returns the node at which to wait, or `None` for the store.
    pub fn select(
        &self,
        members: &Members,
        own: &NodeName,
        zone: &ZoneName,
        now: Instant,
    ) -> Option<Arc<NodeRecord>> {
        if self.rest_until.is_some_and(|until| now < until) {
            return None;
        }
        let usable = members.iter().filter(|member| {
            let record = &member.record;
            let is_own = record.node == *own;
            let lives = member.is_listed() && member.is_reachable(now) && !record.stopping;
            record.zone == *zone && (is_own || lives)
        });
        let first = usable.map(|member| &member.record).min_by(|a, b| a.node.cmp(&b.node))?;
        (first.node < *own).then(|| first.clone())
    }

    /// Takes note that the source did not answer.
    pub fn on_no_answer(&mut self, now: Instant) {
        self.rest_until = Some(now + REST);
    }
}
