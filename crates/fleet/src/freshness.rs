//! How current the intent in force is, and whether the node may serve requests with it.

use std::{
    collections::BTreeSet,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, Revision};
use serde::{Deserialize, Serialize};

/// Gap between ticks above which the process counts as paused.
pub const MAX_TICK_GAP: Duration = Duration::from_secs(1);

/// Time without an answer from a peer or the store after which a node is isolated.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of peers whose answers end staleness even if these peers are stale themselves. Without
/// this rule, a fleet that was paused as a whole would never recover. It is also the number of
/// peers that a newly started node must hear from when the store is down.
pub const MIN_RECOVERY_PEERS: usize = 3;

/// Time for which a stale node waits for the newest revision that it has seen elsewhere. The peer
/// that had it may be gone and the store down; by then, a revision that any reachable member has
/// is in force at all of them.
pub const CATCH_UP_TIMEOUT: Duration = Duration::from_secs(11);

/// A confirmation by the store, as passed between nodes: a watcher read `revision` from the store
/// `age_ms` before the message was sent.
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
    /// The node has newly started and has no intent yet.
    Starting,
    /// The process was paused.
    Paused,
    /// Neither a peer nor the store answered.
    Isolated,
}

/// A request to a peer and its answer.
#[derive(Clone, Debug)]
pub struct Exchange {
    /// When the request was sent. An answer to a request from before a pause may have waited in a
    /// socket buffer, so it does not end staleness.
    pub requested_at: Instant,
    /// Peer that answered.
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
    /// When the latest request that a peer or the store has answered was sent.
    last_answered_request: Instant,
    peers_known: bool,
    /// Newest confirmation: the revision, and when the store was read.
    confirmed: Option<(Revision, Instant)>,
    stale: Option<StalePeriod>,
}

#[derive(Clone, Debug)]
struct StalePeriod {
    reason: StaleReason,
    since: Instant,
    /// Newest revision that a peer or the store reported since then.
    target_revision: Revision,
    /// When `target_revision` was first reported.
    target_since: Instant,
    store_answered: bool,
    fresh_peer_answered: bool,
    /// Peers that answered a request sent in this period.
    answered_peers: BTreeSet<NodeName>,
}

impl StalePeriod {
    fn new(reason: StaleReason, since: Instant) -> Self {
        Self {
            reason,
            since,
            target_revision: Revision(0),
            target_since: since,
            store_answered: false,
            fresh_peer_answered: false,
            answered_peers: BTreeSet::new(),
        }
    }

    fn raise_target(&mut self, revision: Revision, now: Instant) {
        if revision > self.target_revision {
            self.target_revision = revision;
            self.target_since = now;
        }
    }

    /// Returns whether enough peers, or the store, answered since the period began.
    fn has_enough_answers(&self, peers: usize) -> bool {
        let enough_peers = self.answered_peers.len() >= MIN_RECOVERY_PEERS.min(peers.max(1));
        let by_peers = match self.reason {
            // One serving peer may lag, so several are asked and the newest intent counts; peers
            // that are all starting have no intent.
            StaleReason::Starting => enough_peers && self.fresh_peer_answered,
            StaleReason::Paused | StaleReason::Isolated => enough_peers || self.fresh_peer_answered,
        };
        self.store_answered || by_peers
    }
}

impl Freshness {
    /// Creates the state of a newly started node, which is stale until it has the intent.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: now,
            last_answered_request: now,
            peers_known: false,
            confirmed: None,
            stale: Some(StalePeriod::new(StaleReason::Starting, now)),
        }
    }

    /// Records that the process runs; `peers` is the number of other members that are not known to
    /// have left, failed ones included, and `revision` the one in force.
    pub fn tick(&mut self, now: Instant, peers: usize, revision: Revision) {
        self.peers_known = peers > 0;
        let _ = self.check(now);
        self.last_tick = self.last_tick.max(now);
        self.try_recover(now, peers, revision);
    }

    /// Checks that new work may be served at `now`; called for every request.
    ///
    /// # Errors
    ///
    /// Returns why the node is stale.
    pub fn check(&mut self, now: Instant) -> Result<(), StaleReason> {
        let paused = now.saturating_duration_since(self.last_tick) > MAX_TICK_GAP;
        let unanswered =
            now.saturating_duration_since(self.last_answered_request) > ISOLATION_TIMEOUT;
        if paused {
            self.enter_stale(StaleReason::Paused, now);
            self.last_tick = now;
        } else if unanswered && self.peers_known {
            self.enter_stale(StaleReason::Isolated, now);
        }
        match &self.stale {
            Some(period) => Err(period.reason),
            None => Ok(()),
        }
    }

    /// Returns the time until which the node may serve without another [`Self::check`], so that the
    /// request path only compares times, without a lock. `None` while stale.
    pub fn serve_until(&self) -> Option<Instant> {
        if self.stale.is_some() {
            return None;
        }
        let not_paused_until = self.last_tick + MAX_TICK_GAP;
        let not_isolated_until = self.last_answered_request + ISOLATION_TIMEOUT;
        Some(if self.peers_known {
            not_paused_until.min(not_isolated_until)
        } else {
            not_paused_until
        })
    }

    /// Returns why the node is stale, as of the last tick or check.
    pub fn stale(&self) -> Option<StaleReason> {
        self.stale.as_ref().map(|period| period.reason)
    }

    /// Records a peer's answer, received at `now`.
    pub fn record_peer_answer(&mut self, exchange: &Exchange, now: Instant) {
        let _ = self.check(now);
        self.last_answered_request = self.last_answered_request.max(exchange.requested_at);
        if let Some(confirmed) = exchange.confirmed {
            // Counting from the request overstates the age by the time that the request took, and
            // never understates it, even if the answer waited in a buffer.
            self.confirm_at(confirmed.revision, exchange.requested_at, confirmed.age_ms);
        }
        let Some(period) = &mut self.stale else { return };
        if exchange.requested_at < period.since {
            return;
        }
        period.raise_target(exchange.peer_revision, now);
        period.fresh_peer_answered |= exchange.peer_fresh;
        period.answered_peers.insert(exchange.peer.clone());
    }

    /// Records that the store answered a read of the head that was requested at `requested_at`.
    pub fn record_store_answer(&mut self, revision: Revision, requested_at: Instant, now: Instant) {
        let _ = self.check(now);
        self.last_answered_request = self.last_answered_request.max(requested_at);
        self.confirm_at(revision, requested_at, 0);
        let Some(period) = &mut self.stale else { return };
        if requested_at >= period.since {
            period.raise_target(revision, now);
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

    fn confirm_at(&mut self, revision: Revision, requested_at: Instant, age_ms: u64) {
        let Some(at) = requested_at.checked_sub(Duration::from_millis(age_ms)) else { return };
        if self.confirmed.is_none_or(|(_, known)| at > known) {
            self.confirmed = Some((revision, at));
        }
    }

    fn enter_stale(&mut self, reason: StaleReason, now: Instant) {
        let starting =
            self.stale.as_ref().is_some_and(|period| period.reason == StaleReason::Starting);
        // A pause restarts the period: answers from before it no longer count.
        if starting || (reason == StaleReason::Isolated && self.stale.is_some()) {
            if reason == StaleReason::Paused {
                self.stale = Some(StalePeriod::new(StaleReason::Starting, now));
            }
            return;
        }
        self.stale = Some(StalePeriod::new(reason, now));
    }

    /// Ends staleness when enough answers came and the newest revision seen elsewhere is in force.
    pub fn try_recover(&mut self, now: Instant, peers: usize, revision: Revision) {
        let Some(period) = &self.stale else { return };
        let alone = peers == 0 && period.reason != StaleReason::Starting;
        let since_answer = now.saturating_duration_since(self.last_answered_request);
        let recent = peers == 0 || since_answer <= ISOLATION_TIMEOUT;
        let answered = alone || (period.has_enough_answers(peers) && recent);
        let waited = now.saturating_duration_since(period.target_since);
        let current = revision >= period.target_revision || waited > CATCH_UP_TIMEOUT;
        if answered && current {
            self.stale = None;
        }
    }
}
