//! Messages between nodes on the inner port. Gossip datagrams are in `oleandertiller-fleet`.
//!
//! A call is one `h2` stream: the request's data is a little-endian `u32` length, a
//! [`CallHead`] of that length, then the body; the answer has the same layout with a
//! [`ReplyHead`].

use std::time::Duration;

use crate::{
    error::Outcome,
    intent::{Change, Intent, Keeper, Revision},
    key::IdempotencyKey,
    load::LoadReport,
    name::{KindName, ServiceName},
    request::RequestId,
};
use serde::{Deserialize, Serialize};

/// Path of the `h2` stream that carries a call.
pub const CALL_PATH: &str = "/call";

/// Path of the `h2` stream that pulls intent; its body is an [`IntentPull`].
pub const INTENT_PATH: &str = "/intent";

/// Path of the `h2` stream that pulls member records.
pub const MEMBERS_PATH: &str = "/members";

/// Path of the `h2` stream that pulls ledger entries; its body is a [`LedgerPull`].
pub const LEDGER_PATH: &str = "/ledger";

/// What the receiver of a call does with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs it at the receiver's upstream.
    Owner,
    /// Records its key in the receiver's ledger before it is run.
    Keeper,
    /// Only answers with the receiver's load; runs nothing.
    Probe,
}

/// Head of a call between nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct CallHead {
    /// Must be [`crate::codec::PROTOCOL_VERSION`].
    pub protocol: u16,
    /// End-to-end id of the request.
    pub request: RequestId,
    /// What the receiver does with the call.
    pub role: Role,
    /// Service called.
    pub service: ServiceName,
    /// Kind of request.
    pub kind: KindName,
    /// HTTP method of the client's request.
    pub method: String,
    /// Path and query as the client sent them.
    pub path: String,
    /// `content-type` of the body, if any.
    pub content_type: Option<String>,
    /// Time left until the client's deadline.
    pub remaining: Duration,
    /// Nesting depth: number of calls above this one.
    pub depth: u8,
    /// Key of a request that must run at most once.
    pub key: Option<IdempotencyKey>,
    /// The key as the client sent it, passed on to the upstream unchanged.
    pub key_text: Option<String>,
    /// Revision of the intent in force at the sender.
    pub revision: Revision,
}

/// Head of the answer to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ReplyHead {
    /// Must be [`crate::codec::PROTOCOL_VERSION`].
    pub protocol: u16,
    /// Id of the request that is answered.
    pub request: RequestId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// HTTP status of the upstream, if the outcome is [`Outcome::Done`].
    pub status: u16,
    /// `content-type` of the body, if any.
    pub content_type: Option<String>,
    /// Length of the body that follows, in bytes.
    pub body_len: u64,
    /// Time between sending the request to the upstream and its answer; zero without an answer.
    pub service_time: Duration,
    /// Load of the owner when it sent the reply.
    pub load: LoadReport,
}

/// Asks a peer for the changes of the intent after `have`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct IntentPull {
    /// Revision that the sender has in force.
    pub have: Revision,
}

/// Answers an [`IntentPull`].
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum IntentPush {
    /// The requester is up to date.
    Current,
    /// The changes that the requester lacks, in order.
    Changes(Vec<Change>),
    /// The whole document, when the changes are no longer available.
    Document(Box<Intent>),
}

/// Asks a current or leaving keeper for the entries whose keeper is now the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LedgerPull {
    /// Service of the ledger.
    pub service: ServiceName,
    /// The sender, which takes the entries over.
    pub to: Keeper,
    /// Epoch of the keeper set in force at the sender.
    pub epoch: u64,
}
