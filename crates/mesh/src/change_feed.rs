//! How changes of the store reach the nodes of a zone with few calls.
//!
//! If every node watched the store, each change would cost a call of every node. Instead the first
//! node of a zone, by name, watches the store, and the other nodes of the zone watch that node; one
//! on a slow machine comes after the others. A
//! node whose source is gone, is behind or cannot reach the store watches the store itself.
//!
//! A watch is silent if nothing changes, but also if the store is out of reach. That nothing has
//! changed is therefore said only up to a moment at which the store is known to have been in reach,
//! and a node that knows the changes only up to a moment too long ago asks the store itself.
//!
//! After the loss of its data the store may return from a copy. It then gives out again the
//! revisions since that copy, so a revision has a meaning only within an era of the store. A node
//! whose position is in an earlier era reads all keys again, whatever the revisions are.

use std::{
    collections::VecDeque,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, ZoneName};
use serde::{Deserialize, Serialize};

use crate::members::{Members, NodeRecord};

/// Maximum number of changes kept for the other nodes of the zone: several times the changes that a
/// start of all nodes of a large deployment causes.
const MAX_CHANGES: usize = 500;

/// Time for which a node watches the store after its source did not answer: the life of a record's
/// lease, after which a source that is gone is no longer listed.
const STORE_FALLBACK_TIME: Duration = Duration::from_secs(3);

/// Pause between two watches, in which further changes accumulate, since each watch has a cost.
pub const WATCH_PAUSE: Duration = Duration::from_millis(800);

/// Interval at which a node that feeds others confirms that the store is in reach, by a renewal of
/// its lease.
pub const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);

/// Age of a node's knowledge from which it no longer feeds others: a pause between two watches, the
/// confirmation after it and its delay.
pub const MAX_SOURCE_AGE: Duration = Duration::from_millis(1_450);

/// Age of a node's knowledge from which it asks the store itself.
pub const MAX_FED_AGE: Duration = Duration::from_millis(1_600);

/// Time that a node reserves for the way of a reply, of the time for which it can wait for one.
const REPLY_MARGIN: Duration = Duration::from_millis(150);

/// Minimum time for which waiting for a reply is worth a request.
const MIN_REPLY_WAIT: Duration = Duration::from_millis(50);

/// Maximum time for which a request waits while the source retries the store. A store that rejects
/// the source may still serve the requesting node.
pub const RETRY_WAIT: Duration = Duration::from_millis(600);

/// Maximum time for which a request waits for changes at the source.
pub const MAX_CHANGE_WAIT: Duration = Duration::from_millis(800);

/// Up to which moment a node knows the changes in the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Freshness {
    /// All changes until then are known; `None` if no moment is known.
    as_of: Option<Instant>,
    /// When the watch that is waiting for an answer was sent.
    watch_sent: Option<Instant>,
}

/// How long a node may wait for the reply of its source.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplyWait {
    /// Longest wait at the source.
    pub at_source: Duration,
    /// Time until the reply must have arrived.
    pub in_all: Duration,
}

impl Freshness {
    /// Records that a watch has been sent to the store.
    pub fn on_watch_sent(&mut self, now: Instant) {
        self.watch_sent = Some(now);
    }

    /// Records that the watch was answered, with all changes until `now`.
    pub fn on_watch_answered(&mut self, now: Instant) {
        self.watch_sent = None;
        self.advance(now);
    }

    /// Records that the watch was abandoned or failed.
    pub fn on_watch_failed(&mut self) {
        self.watch_sent = None;
    }

    /// Records that the store has answered another call, sent at `sent`. A watch that was waiting
    /// then would have been answered if there had been changes.
    pub fn on_confirmed(&mut self, sent: Instant) {
        if self.watch_sent.is_some_and(|watch_sent| watch_sent <= sent) {
            self.advance(sent);
        }
    }

    /// Records a reply of the source: it was requested at `requested`, was sent `waited` after the
    /// source got the request, and holds what the source knew up to `age` before it was sent.
    pub fn on_reply(&mut self, requested: Instant, waited: Duration, age: Duration) {
        if let Some(as_of) = (requested + waited).checked_sub(age) {
            self.advance(as_of);
        }
    }

    /// Returns the age of what the node knows; `None` if it knows nothing.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_duration_since(as_of))
    }

    /// Returns whether the node may tell others that nothing has changed.
    pub fn may_feed(&self, now: Instant) -> bool {
        self.age(now).is_some_and(|age| age <= MAX_SOURCE_AGE)
    }

    /// Returns how long the node may wait for its source, or `None` if it has to ask the store. If
    /// the store does not answer this node, it waits for the source however old its knowledge is:
    /// in an outage, calls of all nodes help nobody.
    pub fn reply_wait(&self, store_answers: bool, now: Instant) -> Option<ReplyWait> {
        if !store_answers {
            return Some(ReplyWait { at_source: RETRY_WAIT, in_all: RETRY_WAIT + REPLY_MARGIN });
        }
        let in_all = MAX_FED_AGE.checked_sub(self.age(now)?)?;
        let at_source = in_all.checked_sub(REPLY_MARGIN).filter(|wait| *wait >= MIN_REPLY_WAIT)?;
        Some(ReplyWait { at_source: at_source.min(MAX_CHANGE_WAIT), in_all })
    }

    fn advance(&mut self, as_of: Instant) {
        self.as_of = self.as_of.max(Some(as_of));
    }
}

/// Returns the longest time from the acknowledgement of a change at the store until a node that is
/// fed by another one knows it, whatever happens to its source; `store_call` is the longest time of
/// a call to the store that is in reach.
pub fn longest_delay(store_call: Duration) -> Duration {
    MAX_FED_AGE + store_call
}

/// A position in the history of the store; a later era comes after all revisions of an earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Position {
    /// Rises each time the store returns from a copy.
    pub era: u64,
    /// Revision of the store in this era.
    pub revision: u64,
}

/// The latest changes of an era with their revisions.
#[derive(Clone, Debug)]
pub struct ChangeLog<T> {
    era: u64,
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
    /// The changes, and the latest position.
    Changes(Vec<T>, Position),
    /// The changes have been dropped from the log, or the position is in an earlier era.
    Compacted,
    /// The position is in a later era than the log.
    Outdated,
}

impl<T: Clone> ChangeLog<T> {
    /// Creates an empty log that starts at a position.
    pub fn new(position: Position) -> Self {
        let Position { era, revision } = position;
        Self { era, from: revision, to: revision, changes: VecDeque::new() }
    }

    /// Returns the latest known position.
    pub fn position(&self) -> Position {
        Position { era: self.era, revision: self.to }
    }

    /// Adds changes with their revisions, in order; `position` is the latest one afterwards. Changes
    /// of an era other than the log's are ignored.
    pub fn add(&mut self, changes: impl IntoIterator<Item = (u64, T)>, position: Position) {
        if position.era != self.era {
            return;
        }
        for (at, change) in changes {
            // A page read before the watch began may already include later changes.
            if at > self.to {
                self.changes.push_back((at, change));
            }
        }
        self.to = self.to.max(position.revision);
        while self.changes.len() > MAX_CHANGES {
            if let Some((at, _)) = self.changes.pop_front() {
                self.from = at;
            }
        }
    }

    /// Returns the changes after a position.
    pub fn since(&self, position: Position) -> ChangesSince<T> {
        let Position { era, revision } = position;
        if era > self.era {
            return ChangesSince::Outdated;
        }
        if era < self.era || revision < self.from {
            return ChangesSince::Compacted;
        }
        if revision >= self.to {
            return ChangesSince::Unchanged;
        }
        let later = self.changes.iter().filter(|(at, _)| *at > revision);
        ChangesSince::Changes(later.map(|(_, change)| change.clone()).collect(), self.position())
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
        let first = eligible
            .map(|member| &member.record)
            .min_by(|a, b| a.slow.cmp(&b.slow).then_with(|| a.node.cmp(&b.node)))?;
        (first.node != *own).then(|| first.clone())
    }

    /// Records that the source did not answer.
    pub fn on_no_answer(&mut self, now: Instant) {
        self.store_until = Some(now + STORE_FALLBACK_TIME);
    }
}
