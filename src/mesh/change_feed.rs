//! Passes changes of the store on to the other nodes of the zone.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use event_listener::Event as Wake;
use oleandertiller_mesh::change_feed::{ChangeLog, ChangesSince};
use oleandertiller_model::Clock;
use oleandertiller_platform::store::Event;
use serde::{Deserialize, Serialize};

use crate::node::timer::Timers;

/// Path of the `h2` stream on which a node waits for changes.
pub const CHANGES_PATH: &str = "/mesh/news";

/// Longest wait for changes at another node. A node that dies in silence is noticed after it, and
/// a configuration is to be in force two seconds after its acknowledgement.
const WAIT: Duration = Duration::from_millis(800);

/// Longest wait for a node that itself waits for the store to answer again. What refuses that node
/// may still serve this one.
const RETRY_WAIT: Duration = Duration::from_millis(600);

/// Longest time from asking a node for changes to its answer: the wait, and what a slow processor
/// adds.
pub const ANSWER_TIME: Duration = Duration::from_millis(1_400);

/// Largest value that is passed on, in bytes. Of larger ones only the key is named: the store has
/// a faster network than an instance.
const PASSED_MAX_BYTES: usize = 16 << 10;

/// Asks for the changes after a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeRequest {
    /// Revision that is known.
    pub after: u64,
}

/// A change as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayedChange {
    /// The change.
    Whole(Event),
    /// The key of a value that is too large; the store holds it.
    Key(String),
}

impl RelayedChange {
    fn new(event: &Event) -> Self {
        match event {
            Event::Put(item) if item.value.len() > PASSED_MAX_BYTES => Self::Key(item.key.clone()),
            event => Self::Whole(event.clone()),
        }
    }
}

/// Answer to a [`ChangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeReply {
    /// The changes, none if the wait was over, and the revision to go on from.
    Changes(Vec<RelayedChange>, u64),
    /// The changes after that revision are no longer kept.
    Forgotten,
    /// This node does not hear from the store itself.
    NoSource,
}

/// Whether a node has news of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedSource {
    /// It waits at the store.
    Store,
    /// It waits for the store to answer again.
    Retrying,
    /// It waits at another node.
    Peer,
}

struct State {
    history: ChangeLog<RelayedChange>,
    feed_source: FeedSource,
}

/// The latest changes, for the other nodes of the zone.
pub struct ChangeFeed {
    state: Mutex<State>,
    wake: Wake,
}

impl Default for ChangeFeed {
    fn default() -> Self {
        let state = State { history: ChangeLog::new(0), feed_source: FeedSource::Peer };
        Self { state: Mutex::new(state), wake: Wake::new() }
    }
}

impl ChangeFeed {
    /// Begins anew after all keys were read.
    pub fn begin(&self, revision: u64) {
        self.lock().history = ChangeLog::new(revision);
    }

    /// Says where this node waits.
    pub fn set_feed_source(&self, feed_source: FeedSource) {
        let before = std::mem::replace(&mut self.lock().feed_source, feed_source);
        if before != feed_source {
            self.wake.notify(usize::MAX);
        }
    }

    /// Takes changes that lead to `revision`.
    pub fn add(&self, events: &[Event], revision: u64) {
        let passed = events.iter().map(|event| (event.revision(), RelayedChange::new(event)));
        self.lock().history.add(passed, revision);
        if !events.is_empty() {
            self.wake.notify(usize::MAX);
        }
    }

    /// Answers a node that waits for changes.
    pub async fn answer<C: Clock>(
        &self,
        ask: ChangeRequest,
        clock: &C,
        timers: &Timers,
    ) -> ChangeReply {
        let started = clock.now();
        loop {
            let wake = self.wake.listen();
            let wait = {
                let state = self.lock();
                let waited = clock.now().saturating_duration_since(started);
                match state.feed_source {
                    FeedSource::Peer => return ChangeReply::NoSource,
                    FeedSource::Retrying if waited >= RETRY_WAIT => return ChangeReply::NoSource,
                    FeedSource::Retrying => RETRY_WAIT,
                    FeedSource::Store => match state.history.since(ask.after) {
                        ChangesSince::Compacted => return ChangeReply::Forgotten,
                        ChangesSince::Changes(changes, to) if !changes.is_empty() => {
                            return ChangeReply::Changes(changes, to);
                        }
                        _ if waited >= WAIT => {
                            let revision = state.history.revision().max(ask.after);
                            return ChangeReply::Changes(Vec::new(), revision);
                        }
                        _ => WAIT,
                    },
                }
            };
            // Either end of the wait is a reason to look again.
            let _ = timers.within(started + wait, wake).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
