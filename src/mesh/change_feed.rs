//! The change feed: relays changes in the store to the other nodes of the zone.

use std::{
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use event_listener::Event as Wake;
use oleandertiller_mesh::change_feed::{
    ChangeLog, ChangesSince, Freshness, MAX_CHANGE_WAIT, MAX_FED_AGE, Position, RETRY_WAIT,
    ReplyWait,
};
use oleandertiller_model::Clock;
use oleandertiller_platform::{
    rollout::CONFIG_KEY,
    store::{Event, Item},
    tenants::without_keys,
};
use serde::{Deserialize, Serialize};

use crate::node::timer::Timers;

/// Path of the `h2` stream on which a node requests changes. A node of an earlier release, whose
/// replies do not tell their age, uses another path and so watches the store itself.
pub const CHANGES_PATH: &str = "/mesh/changes/2";

/// Time after the last request for changes for which a node confirms that the store is in reach.
const IN_USE_TIME: Duration = Duration::from_secs(2);

/// Interval at which a waiting request checks the age of the source's knowledge.
const AGE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Maximum size of a relayed value, in bytes. For larger ones only the key is sent, since the store
/// has a faster network than an instance.
const MAX_RELAYED_BYTES: usize = 16 << 10;

/// Request for the changes after a position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ChangeRequest {
    /// Last position that the requesting node has.
    pub after: Position,
    /// Longest time to wait for changes.
    pub max_wait: Duration,
}

/// A change as relayed to another node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RelayedChange {
    /// The change with its value.
    Whole(Event),
    /// The key of a value that is too large to relay, or that may hold API keys; it is to be read
    /// from the store.
    Key(String),
}

impl RelayedChange {
    fn new(event: &Event) -> Self {
        let event = match event {
            Event::Put(item) if item.key == CONFIG_KEY => match without_keys(&item.value) {
                Ok(value) => Event::Put(Item { value, ..item.clone() }),
                // A malformed configuration may hold keys anywhere.
                Err(_) => return Self::Key(item.key.clone()),
            },
            event => event.clone(),
        };
        match event {
            Event::Put(item) if item.value.len() > MAX_RELAYED_BYTES => Self::Key(item.key),
            event => Self::Whole(event),
        }
    }
}

/// Answer to a [`ChangeRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeReply {
    /// The changes, empty if the wait timed out.
    Changes(RelayedChanges),
    /// The changes after that position have been compacted away, or it is in an earlier era.
    Forgotten,
    /// This node does not receive changes from the store itself at the moment, or is in an earlier
    /// era.
    NoSource,
}

/// Changes in the store as another node knows them.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct RelayedChanges {
    /// The changes in order.
    pub changes: Vec<RelayedChange>,
    /// Position for the next request.
    pub position: Position,
    /// Time from the arrival of the request at the source to the reply.
    pub waited: Duration,
    /// Age of the source's knowledge in the reply.
    pub age: Duration,
}

/// Where a node gets its changes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedSource {
    /// It watches the store.
    Store,
    /// It watches the store, which does not answer at the moment.
    Retrying,
    /// It requests them from another node.
    Peer,
}

struct FeedState {
    change_log: ChangeLog<RelayedChange>,
    feed_source: FeedSource,
    freshness: Freshness,
    /// When another node last requested changes.
    requested_at: Option<Instant>,
}

/// The latest changes, served to the other nodes of the zone.
pub struct ChangeFeed {
    state: Mutex<FeedState>,
    wake: Wake,
}

impl Default for ChangeFeed {
    fn default() -> Self {
        let state = FeedState {
            change_log: ChangeLog::new(Position::default()),
            feed_source: FeedSource::Peer,
            freshness: Freshness::default(),
            requested_at: None,
        };
        Self { state: Mutex::new(state), wake: Wake::new() }
    }
}

impl ChangeFeed {
    /// Restarts the feed at `position`, after all keys have been read.
    pub fn restart(&self, position: Position) {
        self.lock().change_log = ChangeLog::new(position);
        self.wake.notify(usize::MAX);
    }

    /// Sets where this node gets its changes from.
    pub fn set_feed_source(&self, feed_source: FeedSource) {
        let before = std::mem::replace(&mut self.lock().feed_source, feed_source);
        if before != feed_source {
            self.wake.notify(usize::MAX);
        }
    }

    /// Updates up to which moment this node knows the changes.
    pub fn update_freshness(&self, f: impl FnOnce(&mut Freshness)) {
        f(&mut self.lock().freshness);
    }

    /// Returns how long this node may wait for its source, or `None` if it has to ask the store.
    pub fn reply_wait(&self, store_answers: bool, now: Instant) -> Option<ReplyWait> {
        self.lock().freshness.reply_wait(store_answers, now)
    }

    /// Records that another node requests changes; returns whether none has done so recently.
    pub fn on_request(&self, now: Instant) -> bool {
        let is_first = !self.is_in_use(now);
        self.lock().requested_at = Some(now);
        is_first
    }

    /// Returns whether other nodes rely on this one.
    pub fn is_in_use(&self, now: Instant) -> bool {
        let state = self.lock();
        let requested_at = state.requested_at;
        state.feed_source != FeedSource::Peer
            && requested_at.is_some_and(|at| now.saturating_duration_since(at) < IN_USE_TIME)
    }

    /// Adds the changes up to `position`.
    pub fn add(&self, events: &[Event], position: Position) {
        let relayed = events.iter().map(|event| (event.revision(), RelayedChange::new(event)));
        self.lock().change_log.add(relayed, position);
        if !events.is_empty() {
            self.wake.notify(usize::MAX);
        }
    }

    /// Answers a request for changes, once there are some or the wait times out.
    pub async fn answer<C: Clock>(
        &self,
        request: ChangeRequest,
        clock: &C,
        timers: &Timers,
    ) -> ChangeReply {
        let started = clock.now();
        let max_wait = request.max_wait.min(MAX_CHANGE_WAIT);
        loop {
            let wake = self.wake.listen();
            let wait = {
                let state = self.lock();
                let now = clock.now();
                let waited = now.saturating_duration_since(started);
                let reply = |changes, position| {
                    // Before the first watch is answered, nothing is known.
                    let age = state.freshness.age(now).unwrap_or(MAX_FED_AGE);
                    ChangeReply::Changes(RelayedChanges { changes, position, waited, age })
                };
                match state.feed_source {
                    FeedSource::Peer => return ChangeReply::NoSource,
                    FeedSource::Retrying if waited >= RETRY_WAIT => return ChangeReply::NoSource,
                    FeedSource::Retrying => RETRY_WAIT,
                    FeedSource::Store => match state.change_log.since(request.after) {
                        ChangesSince::Compacted => return ChangeReply::Forgotten,
                        ChangesSince::Outdated => return ChangeReply::NoSource,
                        ChangesSince::Changes(changes, to) if !changes.is_empty() => {
                            return reply(changes, to);
                        }
                        _ if !state.freshness.may_feed(now) => return ChangeReply::NoSource,
                        _ if waited >= max_wait => {
                            return reply(
                                Vec::new(),
                                state.change_log.position().max(request.after),
                            );
                        }
                        // The source may lose the store meanwhile.
                        _ => max_wait.min(waited + AGE_CHECK_INTERVAL),
                    },
                }
            };
            // The state is checked again, whether it has changed or the wait has timed out.
            let _ = timers.within(started + wait, wake).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, FeedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
