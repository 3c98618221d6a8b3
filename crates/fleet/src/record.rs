//! The record of one member, as it travels in gossip and stands in the table.

use std::net::{IpAddr, SocketAddr};

use oleandertiller_model::{Lifecycle, NodeName, RegionName, ServiceName, VersionName, ZoneName};
use serde::{Deserialize, Serialize};

/// Addresses of a node's four sockets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(from = "WireAddresses", into = "WireAddresses")]
pub struct Addresses {
    /// Calls from clients.
    pub client: SocketAddr,
    /// Calls and transfers between nodes.
    pub inner: SocketAddr,
    /// Gossip datagrams.
    pub gossip: SocketAddr,
    /// Operators' HTTP interface.
    pub operator: SocketAddr,
}

/// Encoded form: one IP address when all sockets share it, which saves 15 bytes a record.
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
        // Scope ids of IPv6 link-local addresses only survive in the separate form.
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

/// State of a member. At the same incarnation and refutation, the later one in this list wins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Answers pings.
    #[default]
    Alive,
    /// Did not answer, and may refute that.
    Suspect,
    /// Did not refute the suspicion in time.
    Failed,
    /// Left as planned.
    Left,
}

/// Order in which statements about one node supersede each other; the greater one wins.
pub type Precedence = (u64, u32, MemberState);

/// What is known of one node and the upstream beside it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Record {
    /// Name, unique in the fleet.
    pub node: NodeName,
    /// Start of the process in milliseconds since the epoch.
    pub incarnation: u64,
    /// Grows when the node refutes a suspicion or changes its own record.
    pub refutation: u32,
    /// Availability zone.
    pub zone: ZoneName,
    /// Region of the zone.
    pub region: RegionName,
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Life cycle of the upstream.
    pub lifecycle: Lifecycle,
    /// Requests that the upstream announces that it can run at once.
    pub slots: u32,
    /// Addresses of the node.
    pub addresses: Addresses,
    /// State as the members see it.
    pub state: MemberState,
    /// Zone entry in the store that the node holds, if any; see [`crate::entries`].
    pub entry: Option<u8>,
}

impl Record {
    /// Returns the rank of this statement among statements about the same node.
    pub fn precedence(&self) -> Precedence {
        (self.incarnation, self.refutation, self.state)
    }

    /// Returns whether this statement wins over `other` about the same node.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.precedence() > other.precedence()
    }

    /// Returns whether the member is in the fleet (alive or suspect).
    pub fn is_present(&self) -> bool {
        self.state <= MemberState::Suspect
    }
}
