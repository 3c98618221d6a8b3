//! A minimal copy of the node's code that drives the decision libraries.
//!
//! | module | mirrors |
//! |---|---|
//! | `node` | `src/node.rs`, `src/node/control/gossip.rs` |
//! | `ingress` | `src/node/ingress.rs`, `ingress/attempts.rs`, `ingress/keyed.rs`, `ingress/route.rs` |
//! | `owner` | `src/node/owner.rs`, `owner/state.rs`, `owner/exchange.rs` |
//! | `keeper` | `src/node/keeper.rs`, `src/node/shared_ledger.rs` |
//! | `inner` | `src/node/inner/client.rs`, `inner/server.rs` |
//! | `control` | `src/node/control/entry.rs`, `control/intent.rs`, `control/commands.rs` |

pub(crate) mod control;
pub(crate) mod ingress;
pub(crate) mod inner;
pub(crate) mod keeper;
pub(crate) mod node;
pub(crate) mod owner;

use std::time::Instant;

use oleandertiller_model::{ErrorKind, IdempotencyKey, LoadReport, Outcome};

pub(crate) use node::Node;

/// A request; represents `CallHead` and its body.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub id: u64,
    /// Index of the service.
    pub service: usize,
    /// Index of the request kind within the service.
    pub kind: usize,
    /// Content of the body, which the correct answer echoes.
    pub token: u64,
    /// Number of the client's operation; equal for all requests with the same key.
    pub operation: u64,
    pub key: Option<IdempotencyKey>,
    pub deadline: Instant,
    /// Depth in the chain of nested calls: 0 for a client's request, 1 for one of an internal kind.
    pub depth: u8,
    /// Time at which the owner's limiter granted a slot.
    pub granted: Instant,
}

/// An answer; represents `ReplyHead` and its body.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub id: u64,
    pub outcome: Outcome,
    pub status: u16,
    pub token: u64,
    /// Whether the body has its whole length.
    pub complete: bool,
    pub load: Option<LoadReport>,
}

impl Reply {
    pub fn failure(id: u64, outcome: Outcome) -> Self {
        Self { id, outcome, status: 0, token: 0, complete: true, load: None }
    }

    pub fn error(id: u64, kind: ErrorKind) -> Self {
        Self::failure(id, kind.outcome())
    }
}
