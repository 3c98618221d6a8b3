//! The agent of one node: membership, intent and freshness over one gossip socket.

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{
    Change, Intent, NodeName, Revision,
    codec::{self, PROTOCOL_VERSION},
    message::{IntentPull, IntentPush},
};

use crate::{
    datagram::{Body, Datagram, MAX_DATAGRAM_BYTES, MembersPull, MembersPush, Rumour},
    freshness::{Exchange, Freshness},
    intent::{Replica, WatcherEvent},
    membership::{Action, Membership, MembershipConfig, PUSH_FANOUT, ViewChange},
};

/// Interval at which the driver calls [`Agent::tick`].
pub const TICK: Duration = Duration::from_millis(100);

/// Minimum time between two pulls of intent, so that a burst of changes causes a single pull.
const INTENT_PULL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a pull of intent without an answer is given up and another may start.
const INTENT_PULL_TIMEOUT: Duration = Duration::from_secs(2);

/// Interval between the additional pings of a stale node.
const STALE_PING_INTERVAL: Duration = Duration::from_millis(500);

/// Number of members that a stale node pings at each interval.
const STALE_PING_MEMBERS: usize = 3;

/// Maximum size in bytes of the rumours on a push. A push carries the newest statements; pings
/// spread the rest.
const MAX_PUSH_RUMOUR_BYTES: usize = 300;

/// Bytes reserved for the encoded lengths of a datagram's lists.
const LIST_LENGTHS_BYTES: usize = 6;

/// Configuration of an [`Agent`].
pub type AgentConfig = MembershipConfig;

/// Action that an [`Agent`] requests from its driver.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a datagram.
    Send {
        /// Gossip address of the receiver.
        to: SocketAddr,
        /// Encoded datagram of at most [`MAX_DATAGRAM_BYTES`].
        bytes: Vec<u8>,
    },
    /// Pull intent from a peer's inner port, and pass the answer to [`Agent::intent_pulled`].
    PullIntent {
        /// Name of the peer.
        peer: NodeName,
        /// Inner address of the peer.
        address: SocketAddr,
        /// Request with the revision in force at this node.
        pull: IntentPull,
    },
    /// Pull member records from a peer's inner port, and pass the answer to
    /// [`Agent::members_pulled`].
    PullMembers {
        /// Inner address of the peer.
        address: SocketAddr,
        /// Request for the next page.
        pull: MembersPull,
    },
    /// The view of the fleet has changed.
    View(ViewChange),
    /// A newer intent is in force.
    Intent(Arc<Intent>),
}

/// The latest pull of intent.
#[derive(Clone, Debug)]
struct Pull {
    peer: NodeName,
    requested_at: Instant,
    /// Whether the pull was answered or has failed.
    completed: bool,
}

/// Gossip state machine of one node.
#[derive(Clone, Debug)]
pub struct Agent {
    membership: Membership,
    replica: Replica,
    freshness: Freshness,
    /// Revision of the latest [`Output::Intent`].
    announced_revision: Revision,
    pull: Option<Pull>,
    /// Peers that announced a newer revision, the latest announcement last.
    peers_ahead: VecDeque<(NodeName, Revision)>,
    stale_ping_at: Instant,
    outputs: Vec<Output>,
}

impl Agent {
    /// Creates the agent of a newly started node, which is stale until it has the intent.
    pub fn new(config: AgentConfig, now: Instant) -> Self {
        Self {
            membership: Membership::new(config, now),
            replica: Replica::new(),
            freshness: Freshness::new(now),
            announced_revision: Revision(0),
            pull: None,
            peers_ahead: VecDeque::new(),
            stale_ping_at: now,
            outputs: Vec::new(),
        }
    }

    /// Returns the local view of the fleet's members.
    pub fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the membership for changing the local record or the seeds, and for leaving. Call
    /// [`Self::take_outputs`] afterwards.
    pub fn membership_mut(&mut self) -> &mut Membership {
        &mut self.membership
    }

    /// Returns the intent in force with its latest changes.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns whether the node is stale, and the latest confirmation of the intent.
    pub fn freshness(&self) -> &Freshness {
        &self.freshness
    }

    /// Returns the freshness for [`Freshness::check`].
    pub fn freshness_mut(&mut self) -> &mut Freshness {
        &mut self.freshness
    }

    /// Runs the timers that are due at `now`; call it every [`TICK`].
    pub fn tick(&mut self, now: Instant) -> Vec<Output> {
        let peers = self.membership.known_peer_count();
        self.freshness.tick(now, peers, self.replica.revision());
        self.membership.tick(now);
        if self.freshness.stale().is_some() && now >= self.stale_ping_at {
            self.stale_ping_at = now + STALE_PING_INTERVAL;
            self.membership.ping_random(STALE_PING_MEMBERS, now);
        }
        self.pull_if_behind(now);
        self.take_outputs(now)
    }

    /// Processes a received datagram; malformed ones are ignored.
    pub fn receive(&mut self, source: SocketAddr, bytes: &[u8], now: Instant) -> Vec<Output> {
        // A pause must be detected before the datagrams that were buffered during it are processed.
        let _ = self.freshness.check(now);
        let Ok(mut datagram) = Datagram::decode(bytes) else { return Vec::new() };
        if datagram.from == self.membership.local().node {
            return Vec::new();
        }
        let before = self.replica.revision();
        self.replica.apply_changes(&datagram.changes);
        self.track_peer_ahead(&datagram.from, datagram.revision);
        self.spread_changes(before);
        let rumours = std::mem::take(&mut datagram.rumours);
        // `Membership::receive` looks for the sender's own record among the rumours.
        let introduces_sender = rumours
            .iter()
            .any(|r| matches!(r, Rumour::Record(record) if record.node == datagram.from));
        if introduces_sender {
            datagram.rumours = rumours.clone();
        }
        self.membership.merge_rumours(rumours, now);
        if let Some(answer) = self.membership.receive(&datagram, source, now) {
            let exchange = Exchange {
                requested_at: answer.sent_at,
                peer: datagram.from.clone(),
                peer_fresh: datagram.fresh,
                peer_revision: datagram.revision,
                confirmed: datagram.confirmed,
            };
            self.freshness.record_peer_answer(&exchange, now);
            self.try_recover(now);
        }
        self.pull_if_behind(now);
        self.take_outputs(now)
    }

    /// Answers a pull of intent by a peer.
    pub fn serve_intent(&self, pull: IntentPull) -> IntentPush {
        self.replica.serve(pull)
    }

    /// Answers a pull of member records by a peer.
    pub fn serve_members(&self, pull: &MembersPull) -> MembersPush {
        self.membership.serve_pull(pull)
    }

    /// Processes the answer to the last [`Output::PullIntent`], or `None` if the pull failed.
    pub fn intent_pulled(&mut self, push: Option<IntentPush>, now: Instant) -> Vec<Output> {
        if let Some(pull) = &mut self.pull {
            pull.completed = true;
        }
        let before = self.replica.revision();
        match push {
            Some(push) => {
                self.replica.apply_push(push);
            }
            None => {
                let peer = self.pull.as_ref().map(|pull| pull.peer.clone());
                self.peers_ahead.retain(|(node, _)| Some(node) != peer.as_ref());
            }
        }
        self.spread_changes(before);
        self.try_recover(now);
        self.take_outputs(now)
    }

    /// Processes the answer to the last [`Output::PullMembers`], or `None` if the pull failed.
    pub fn members_pulled(&mut self, push: Option<MembersPush>, now: Instant) -> Vec<Output> {
        self.membership.receive_page(push, now);
        self.take_outputs(now)
    }

    /// Adopts the replica of a command or watcher if it is newer, and spreads its changes.
    pub fn adopt_replica(&mut self, replica: &Replica, now: Instant) -> Vec<Output> {
        let before = self.replica.revision();
        if replica.revision() > before {
            self.replica = replica.clone();
        }
        self.spread_changes(before);
        self.try_recover(now);
        self.take_outputs(now)
    }

    /// Processes a watcher's event; call it after [`Self::adopt_replica`].
    pub fn watcher_event(&mut self, event: WatcherEvent, now: Instant) -> Vec<Output> {
        if let WatcherEvent::Confirmed { revision, requested_at } = event {
            self.freshness.record_store_answer(revision, requested_at, now);
            self.try_recover(now);
        }
        self.take_outputs(now)
    }

    /// Returns the pending outputs; call it after a change through [`Self::membership_mut`].
    pub fn take_outputs(&mut self, now: Instant) -> Vec<Output> {
        if self.replica.revision() > self.announced_revision {
            self.announced_revision = self.replica.revision();
            self.outputs.push(Output::Intent(self.replica.intent().clone()));
        }
        for action in self.membership.take_actions() {
            let output = match action {
                Action::Send { to, node, body, introduce } => {
                    let bytes = self.encode_datagram(node.as_ref(), body, introduce, now);
                    Output::Send { to, bytes }
                }
                Action::Pull { address, pull } => Output::PullMembers { address, pull },
                Action::View(change) => Output::View(change),
            };
            self.outputs.push(output);
        }
        std::mem::take(&mut self.outputs)
    }

    fn try_recover(&mut self, now: Instant) {
        let peers = self.membership.known_peer_count();
        self.freshness.try_recover(now, peers, self.replica.revision());
    }

    /// Pushes new changes to a few members at once. Each node that receives them does the same, so
    /// they reach most of a fleet within a few network round trips.
    fn spread_changes(&mut self, before: Revision) {
        if self.replica.revision() > before {
            self.membership.push(PUSH_FANOUT);
        }
    }

    fn track_peer_ahead(&mut self, peer: &NodeName, revision: Revision) {
        if revision <= self.replica.revision() {
            return;
        }
        self.peers_ahead.retain(|(node, _)| node != peer);
        self.peers_ahead.push_back((peer.clone(), revision));
        if self.peers_ahead.len() > PUSH_FANOUT {
            self.peers_ahead.pop_front();
        }
    }

    fn pull_if_behind(&mut self, now: Instant) {
        let own = self.replica.revision();
        self.peers_ahead.retain(|(_, revision)| *revision > own);
        let busy = self.pull.as_ref().is_some_and(|pull| {
            let wait = if pull.completed { INTENT_PULL_INTERVAL } else { INTENT_PULL_TIMEOUT };
            now.saturating_duration_since(pull.requested_at) < wait
        });
        if busy {
            return;
        }
        let Some((peer, _)) = self.peers_ahead.pop_back() else { return };
        let Some(entry) = self.membership.table().get(&peer) else { return };
        let address = entry.record.addresses.inner;
        self.pull = Some(Pull { peer: peer.clone(), requested_at: now, completed: false });
        self.outputs.push(Output::PullIntent { peer, address, pull: IntentPull { have: own } });
    }

    /// Encodes a datagram: the body, then changes of the intent, then as many rumours as fit.
    fn encode_datagram(
        &mut self,
        node: Option<&NodeName>,
        body: Body,
        introduce: bool,
        now: Instant,
    ) -> Vec<u8> {
        let is_push = matches!(body, Body::Push);
        let mut datagram = Datagram {
            protocol: PROTOCOL_VERSION,
            from: self.membership.local().node.clone(),
            revision: self.replica.revision(),
            confirmed: self.freshness.confirmed(now),
            fresh: self.freshness.stale().is_none(),
            body,
            changes: Vec::new(),
            rumours: Vec::new(),
        };
        let used = codec::encode(&datagram).len() + LIST_LENGTHS_BYTES;
        let mut remaining_bytes = MAX_DATAGRAM_BYTES.saturating_sub(used);
        if is_push {
            datagram.changes = self.latest_changes(&mut remaining_bytes);
            remaining_bytes = remaining_bytes.min(MAX_PUSH_RUMOUR_BYTES);
        }
        datagram.rumours = self.membership.rumours_for(node, introduce, remaining_bytes);
        codec::encode(&datagram)
    }

    /// Returns the latest changes that fit, oldest first.
    fn latest_changes(&self, remaining_bytes: &mut usize) -> Vec<Change> {
        let mut changes = Vec::new();
        // Most receivers lack only the newest change; an older one costs little and closes gaps.
        for change in self.replica.tail().rev().take(2) {
            let bytes = codec::encode(change).len();
            if bytes > *remaining_bytes / 2 {
                break;
            }
            *remaining_bytes -= bytes;
            changes.push(change.clone());
        }
        changes.reverse();
        changes
    }
}
