//! Gossip datagrams, and the messages that transfer the member table over the inner port.

use std::net::SocketAddr;

use oleandertiller_model::{
    Change, NodeName, Revision, ServiceName, ZoneName,
    codec::{self, CodecError, PROTOCOL_VERSION},
};
use serde::{Deserialize, Serialize};

use crate::{
    freshness::Confirmed,
    record::{MemberState, Record},
};

/// Maximum size of a datagram in bytes; with headers it stays below the minimum IPv6 path MTU.
pub const MAX_DATAGRAM_BYTES: usize = 1_200;

/// Number of buckets in the member digest.
pub const DIGEST_BUCKETS: usize = 64;

/// Statement about a member or a zone that spreads from node to node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Rumour {
    /// A complete record.
    Record(Box<Record>),
    /// A changed state; a receiver without the rest of the record ignores the rumour.
    State {
        /// Node that the statement is about.
        node: NodeName,
        /// Incarnation that the state applies to.
        incarnation: u64,
        /// Refutation counter that the state applies to.
        refutation: u32,
        /// The new state.
        state: MemberState,
    },
    /// Members of an unreachable zone answer again.
    ZoneAnswers(ZoneName),
    /// The sender found a zone unreachable: suspicions led to a check that got too few answers.
    ZoneSilent(ZoneName),
}

/// Hashes of a present record in a [`Body::Summary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SummaryEntry {
    /// Hash of the node's name.
    pub node: u32,
    /// Hash of the incarnation and the refutation counter.
    pub version: u32,
}

/// Request or answer in a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same sequence number.
    Ping {
        /// Sequence number, chosen by the sender.
        sequence: u64,
    },
    /// Asks the receiver to ping `address` and to relay the answer.
    PingRequest {
        /// Sequence number, chosen by the sender.
        sequence: u64,
        /// Gossip address of the node to ping.
        address: SocketAddr,
    },
    /// Answers a ping.
    Ack {
        /// Sequence number of the ping.
        sequence: u64,
        /// Whether another node relayed the answer.
        indirect: bool,
    },
    /// Opens an anti-entropy exchange.
    Digest {
        /// Hash of each bucket of present records.
        buckets: Vec<u32>,
    },
    /// Lists the present records of a bucket whose digests differ.
    Summary {
        /// Number of the bucket.
        bucket: u8,
        /// First hash that this datagram covers; it lists the entries with hashes in `from..=to`.
        from: u32,
        /// Last hash that this datagram covers.
        to: u32,
        /// Present records in that range.
        entries: Vec<SummaryEntry>,
    },
    /// Answers a summary with complete records, and requests the records that the sender lacks.
    Records {
        /// Records that the receiver lacks or holds in another version.
        records: Vec<Record>,
        /// Hashes of the names of nodes whose records the sender requests.
        wanted: Vec<u32>,
    },
    /// Carries changes and rumours only.
    Push,
}

/// One gossip datagram.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Datagram {
    /// Must be [`PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Name of the sender.
    pub from: NodeName,
    /// Revision of the intent in force at the sender.
    pub revision: Revision,
    /// Latest confirmation of the intent by the store that the sender knows of.
    pub confirmed: Option<Confirmed>,
    /// Whether the sender is not stale and accepts work.
    pub fresh: bool,
    /// Request or answer.
    pub body: Body,
    /// Latest changes of the intent, oldest first.
    pub changes: Vec<Change>,
    /// Statements about members and zones.
    pub rumours: Vec<Rumour>,
}

impl Datagram {
    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] if `buf` is too large or not a datagram of this protocol version.
    pub fn decode(buf: &[u8]) -> Result<Self, CodecError> {
        if buf.len() > MAX_DATAGRAM_BYTES {
            return Err(CodecError::Malformed);
        }
        let datagram: Self = codec::decode(buf)?;
        if datagram.protocol != PROTOCOL_VERSION {
            return Err(CodecError::Malformed);
        }
        Ok(datagram)
    }
}

/// Requests a page of a peer's member table, over `MEMBERS_PATH` of the inner port.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MembersPull {
    /// Only members of these services; empty for all.
    pub services: Vec<ServiceName>,
    /// Only nodes whose name sorts after this one; `None` for the first page.
    pub after: Option<NodeName>,
}

/// One page of a member table.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct MembersPush {
    /// Records, sorted by node name.
    pub records: Vec<Record>,
    /// Whether more records follow after the last one of this page.
    pub more: bool,
}
