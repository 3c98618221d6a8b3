//! How current the intent in force is, and whether the node may serve on it.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, Revision};
use serde::{Deserialize, Serialize};

/// A last tick older than this means that the process was paused.
pub const PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// A node that heard neither a peer nor the store for this long is isolated.
pub const ISOLATION_LIMIT: Duration = Duration::from_secs(3);

/// Peers whose answers together end staleness even if they are stale themselves. Without this
/// rule a fleet that was paused as a whole would wait for itself for ever. It is also the number
/// of peers that a newly started node hears when the store is down.
pub const PEERS_NEEDED: usize = 3;

/// Time for which a stale node waits for a revision that a peer was seen with. That peer may be
/// gone with it, and the store be down; the revision is in force everywhere reachable by then.
pub const WANTED_LIMIT: Duration = Duration::from_secs(11);

/// A confirmation by the store, as it travels: `age` before it was sent, a watcher read
/// `revision` from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Confirmed {
    /// Revision of the head that was read.
    pub revision: Revision,
    /// Time since the read, in milliseconds.
    pub age_ms: u64,
}

/// Why a node does not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum StaleReason {
    /// Newly started and without an intent.
    Starting,
    /// The process was paused.
    Paused,
    /// Neither a peer nor the store was heard.
    Isolated,
}

/// A completed question and answer with a peer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// When the question was sent. An answer to an earlier question may have waited in a socket
    /// buffer during a pause, so it proves nothing.
    pub asked: Instant,
    /// Who answered.
    pub peer: NodeName,
    /// Whether the peer itself serves.
    pub peer_fresh: bool,
    /// Revision in force at the peer.
    pub peer_revision: Revision,
    /// Confirmation in the answer.
    pub confirmed: Option<Confirmed>,
}

/// Tracks confirmation, pauses and isolation of one node.
#[derive(Clone, Debug)]
pub struct Freshness {
    last_tick: Instant,
    last_heard: Instant,
    peers_known: bool,
    confirmed: Option<(Revision, Instant)>,
    stale: Option<StalePeriod>,
}

#[derive(Clone, Debug)]
struct StalePeriod {
    why: StaleReason,
    since: Instant,
    /// Newest revision that a peer or the store was seen with since then, and since when.
    wanted: Revision,
    wanted_since: Instant,
    store_answered: bool,
    fresh_peer_answered: bool,
    peers: BTreeSet<NodeName>,
}

impl StalePeriod {
    fn new(why: StaleReason, since: Instant) -> Self {
        Self {
            why,
            since,
            wanted: Revision(0),
            wanted_since: since,
            store_answered: false,
            fresh_peer_answered: false,
            peers: BTreeSet::new(),
        }
    }

    fn want(&mut self, revision: Revision, now: Instant) {
        if revision > self.wanted {
            self.wanted = revision;
            self.wanted_since = now;
        }
    }

    /// Returns whether enough was heard since the period began.
    fn heard_enough(&self, peers: usize) -> bool {
        let several = self.peers.len() >= PEERS_NEEDED.min(peers.max(1));
        let by_peers = match self.why {
            // One serving peer may lag, so the newest intent of several is taken; peers that are
            // all starting have nothing to give.
            StaleReason::Starting => several && self.fresh_peer_answered,
            StaleReason::Paused | StaleReason::Isolated => several || self.fresh_peer_answered,
        };
        self.store_answered || by_peers
    }
}

impl Freshness {
    /// Creates the state of a newly started node, which is stale until it has the intent.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            last_heard: now,
            peers_known: false,
            confirmed: None,
            stale: Some(StalePeriod::new(StaleReason::Starting, now)),
        }
    }

    /// Notes that the process runs; `peers` is the number of other members that are not known to
    /// have left, failed ones included, and `revision` the one in force.
    pub fn tick(&mut self, now: Instant, peers: usize, revision: Revision) {
        self.peers_known = peers > 0;
        let _ = self.check(now);
        self.last_tick = self.last_tick.max(now);
        self.try_recover(now, peers, revision);
    }

    /// Returns whether new work may be served at `now`; called for every request.
    ///
    /// # Errors
    ///
    /// Returns why the node is stale.
    pub fn check(&mut self, now: Instant) -> Result<(), StaleReason> {
        let paused = now.saturating_duration_since(self.last_tick) > PAUSE_LIMIT;
        let unheard = now.saturating_duration_since(self.last_heard) > ISOLATION_LIMIT;
        if paused {
            self.enter(StaleReason::Paused, now);
            self.last_tick = now;
        } else if unheard && self.peers_known {
            self.enter(StaleReason::Isolated, now);
        }
        match &self.stale {
            Some(period) => Err(period.why),
            None => Ok(()),
        }
    }

    /// Returns until when the node may serve without another [`Self::check`], so that the request
    /// path compares one time without a lock. `None` while stale.
    pub fn serve_until(&self) -> Option<Instant> {
        if self.stale.is_some() {
            return None;
        }
        let running = self.last_tick + PAUSE_LIMIT;
        let heard = self.last_heard + ISOLATION_LIMIT;
        Some(if self.peers_known { running.min(heard) } else { running })
    }

    /// Returns why the node is stale, as of the last tick or check.
    pub fn stale(&self) -> Option<StaleReason> {
        self.stale.as_ref().map(|period| period.why)
    }

    /// Notes an answer of a peer, received at `now`.
    pub fn heard_peer(&mut self, exchange: &Exchange, now: Instant) {
        let _ = self.check(now);
        self.last_heard = self.last_heard.max(exchange.asked);
        if let Some(confirmed) = exchange.confirmed {
            // Counting from the question overstates the age by the way there and never
            // understates it, even if the answer waited in a buffer.
            self.confirm_at(confirmed.revision, exchange.asked, confirmed.age_ms);
        }
        let Some(period) = &mut self.stale else { return };
        if exchange.asked < period.since {
            return;
        }
        period.want(exchange.peer_revision, now);
        period.fresh_peer_answered |= exchange.peer_fresh;
        period.peers.insert(exchange.peer.clone());
    }

    /// Notes that the store answered a read of the head that was asked for at `asked`.
    pub fn heard_store(&mut self, revision: Revision, asked: Instant, now: Instant) {
        let _ = self.check(now);
        self.last_heard = self.last_heard.max(asked);
        self.confirm_at(revision, asked, 0);
        let Some(period) = &mut self.stale else { return };
        if asked >= period.since {
            period.want(revision, now);
            period.store_answered = true;
        }
    }

    /// Returns the newest confirmation with its age at `now`.
    pub fn confirmed(&self, now: Instant) -> Option<Confirmed> {
        self.confirmed.map(|(revision, at)| Confirmed {
            revision,
            age_ms: now.saturating_duration_since(at).as_millis() as u64,
        })
    }

    fn confirm_at(&mut self, revision: Revision, asked: Instant, age_ms: u64) {
        let Some(at) = asked.checked_sub(Duration::from_millis(age_ms)) else { return };
        if self.confirmed.is_none_or(|(_, known)| at > known) {
            self.confirmed = Some((revision, at));
        }
    }

    fn enter(&mut self, why: StaleReason, now: Instant) {
        let starting =
            self.stale.as_ref().is_some_and(|period| period.why == StaleReason::Starting);
        // A pause starts the period anew: what was heard before it is old.
        if starting || (why == StaleReason::Isolated && self.stale.is_some()) {
            if why == StaleReason::Paused {
                self.stale = Some(StalePeriod::new(StaleReason::Starting, now));
            }
            return;
        }
        self.stale = Some(StalePeriod::new(why, now));
    }

    /// Ends staleness when enough was heard and the revision seen elsewhere is in force here.
    pub fn try_recover(&mut self, now: Instant, peers: usize, revision: Revision) {
        let Some(period) = &self.stale else { return };
        let alone = peers == 0 && period.why != StaleReason::Starting;
        let unheard = now.saturating_duration_since(self.last_heard);
        let recent = peers == 0 || unheard <= ISOLATION_LIMIT;
        let heard = alone || (period.heard_enough(peers) && recent);
        let waited = now.saturating_duration_since(period.wanted_since);
        let current = revision >= period.wanted || waited > WANTED_LIMIT;
        if heard && current {
            self.stale = None;
        }
    }
}
