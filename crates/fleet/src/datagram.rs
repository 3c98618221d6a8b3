//! Gossip datagrams, and the messages of the member transfer over the inner port.

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

/// Largest datagram, in bytes: below the smallest path MTU of IPv6 with its headers.
pub const DATAGRAM_MAX_BYTES: usize = 1_200;

/// Buckets of the member digest.
pub const DIGEST_BUCKETS: usize = 64;

/// Statement about a member that spreads from node to node.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Rumour {
    /// A whole record.
    Record(Box<Record>),
    /// A changed state; the receiver has the rest of the record or ignores the rumour.
    State {
        /// Node that the statement is about.
        node: NodeName,
        /// Its incarnation.
        incarnation: u64,
        /// Its refutation counter.
        refutation: u32,
        /// The new state.
        state: MemberState,
    },
    /// Members of a zone that counted as unreachable answer again.
    ZoneAnswers(ZoneName),
    /// Most members of a zone are suspect at the sender and a check got no answer.
    ZoneSilent(ZoneName),
}

/// Short form of a present record in a [`Body::Summary`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SummaryEntry {
    /// Hash of the node's name.
    pub node: u32,
    /// Hash of incarnation and refutation.
    pub version: u32,
}

/// What a datagram asks or answers.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Body {
    /// Asks for an [`Body::Ack`] with the same sequence number.
    Ping {
        /// Sequence number, chosen by the sender.
        sequence: u64,
    },
    /// Asks the receiver to ping `address` and to pass its answer back.
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
        /// Whether the answer was passed on by a third node.
        indirect: bool,
    },
    /// Opens an anti-entropy exchange.
    Digest {
        /// One hash for each bucket of present records.
        buckets: Vec<u32>,
    },
    /// Lists the present records of a bucket whose digests differ.
    Summary {
        /// Number of the bucket.
        bucket: u8,
        /// Part of the bucket that this datagram covers: entries whose hash is in `from..=to`.
        from: u32,
        /// End of the covered part, inclusive.
        to: u32,
        /// Present records of that part.
        entries: Vec<SummaryEntry>,
    },
    /// Answers a summary: whole records, and the hashes of nodes whose record is wanted.
    Records {
        /// Records that the receiver lacks or holds in another version.
        records: Vec<Record>,
        /// Hashes of the names of nodes whose record the sender wants.
        wanted: Vec<u32>,
    },
    /// Carries rumours only.
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
    /// Newest confirmation of the intent by the store that the sender knows of.
    pub confirmed: Option<Confirmed>,
    /// Whether the sender itself serves, that is, is not stale.
    pub fresh: bool,
    /// Question or answer.
    pub body: Body,
    /// New changes of the intent, in order.
    pub changes: Vec<Change>,
    /// Statements about members.
    pub rumours: Vec<Rumour>,
}

impl Datagram {
    /// Decodes a received datagram.
    ///
    /// # Errors
    ///
    /// Returns [`CodecError`] when `buf` is not a datagram of this protocol version.
    pub fn decode(buf: &[u8]) -> Result<Self, CodecError> {
        if buf.len() > DATAGRAM_MAX_BYTES {
            return Err(CodecError::Malformed);
        }
        let datagram: Self = codec::decode(buf)?;
        if datagram.protocol != PROTOCOL_VERSION {
            return Err(CodecError::Malformed);
        }
        Ok(datagram)
    }
}

/// Asks a peer for a page of its member table, over `MEMBERS_PATH` of the inner port.
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
    /// Records in order of their names.
    pub records: Vec<Record>,
    /// Whether more records follow after the last one.
    pub more: bool,
}
