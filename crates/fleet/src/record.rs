//! The record of one member, as sent in gossip and stored in the member table.

use std::net::{IpAddr, SocketAddr};

use oleandertiller_model::{Lifecycle, NodeName, RegionName, ServiceName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};

/// Addresses of a node's four sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(from = "WireAddresses", into = "WireAddresses")]
pub struct Addresses {
    /// Address for calls from clients.
    pub client: SocketAddr,
    /// Address for calls and transfers between nodes.
    pub inner: SocketAddr,
    /// Address for gossip datagrams.
    pub gossip: SocketAddr,
    /// Address of the operators' HTTP interface.
    pub operator: SocketAddr,
}

/// Encoded form of [`Addresses`]. One IP address for all sockets saves 15 bytes per record.
#[derive(Clone, Copy)]
#[derive(Serialize, Deserialize)]
enum WireAddresses {
    Shared(IpAddr, [u16; 4]),
    Separate([SocketAddr; 4]),
}

impl From<Addresses> for WireAddresses {
    fn from(a: Addresses) -> Self {
        let all = [a.client, a.inner, a.gossip, a.operator];
        let ip = a.gossip.ip();
        // Only the separate form keeps the scope ids of IPv6 link-local addresses.
        let plain = all.iter().all(|addr| *addr == SocketAddr::new(ip, addr.port()));
        if plain { Self::Shared(ip, all.map(|addr| addr.port())) } else { Self::Separate(all) }
    }
}

impl From<WireAddresses> for Addresses {
    fn from(wire: WireAddresses) -> Self {
        let [client, inner, gossip, operator] = match wire {
            WireAddresses::Shared(ip, ports) => ports.map(|port| SocketAddr::new(ip, port)),
            WireAddresses::Separate(all) => all,
        };
        Self { client, inner, gossip, operator }
    }
}

/// State of a member. At equal incarnation and refutation, the later state in this list wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers pings.
    #[default]
    Alive,
    /// Did not answer a ping, and may still refute the suspicion.
    Suspect,
    /// Did not refute the suspicion in time.
    Failed,
    /// Left the fleet as planned.
    Left,
}

/// Incarnation, refutation and state of a statement about a node; the greatest one wins.
pub type Precedence = (u64, u32, MemberState);

/// What members know about a node and its local upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Name, unique in the fleet.
    pub node: NodeName,
    /// Start of the process in milliseconds since the Unix epoch; distinguishes restarts.
    pub incarnation: u64,
    /// Counter that the node increments to refute a suspicion or to change its own record.
    pub refutation: u32,
    /// Availability zone that the node runs in.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Service that the local upstream belongs to.
    pub service: ServiceName,
    /// Version of the service that the upstream runs.
    pub version: VersionName,
    /// Stage of the upstream's life cycle, for example serving or draining.
    pub lifecycle: Lifecycle,
    /// Number of concurrent requests that the upstream announces it can run.
    pub slots: u32,
    /// Addresses of the node's sockets, for clients, operators and other nodes.
    pub addresses: Addresses,
    /// State of the member as seen by the others.
    pub state: MemberState,
    /// Number of the zone entry that the node holds in the store; see [`crate::entries`].
    pub entry: Option<u8>,
}

impl Record {
    /// Returns the precedence among statements about the same node.
    pub fn precedence(&self) -> Precedence {
        (self.incarnation, self.refutation, self.state)
    }

    /// Returns whether this statement replaces `other` about the same node.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns whether the member is in the fleet (alive or suspect).
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspect
    }
}
