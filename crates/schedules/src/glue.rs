//! The node's use of the decision parts, as thin as possible.
//!
//! | module | mirrors |
//! |---|---|
//! | `node` | `src/node.rs`, and the control driver that `crates/fleet` describes |
//! | `ingress` | `src/node/ingress.rs`, `ingress/attempts.rs`, `ingress/keyed.rs`, `ingress/route.rs` |
//! | `owner` | `src/node/owner.rs`, `owner/state.rs`, `owner/exchange.rs` |
//! | `keeper` | `src/node/keeper.rs`, `src/node/keys.rs` |
//! | `inner` | `src/node/inner/client.rs`, `inner/server.rs` |
//! | `control` | the store drivers of `crates/fleet`: entries, watcher, commands |

pub(crate) mod control;
pub(crate) mod ingress;
pub(crate) mod inner;
pub(crate) mod keeper;
pub(crate) mod node;
pub(crate) mod owner;

use std::time::Instant;

use oleandertiller_model::{ErrorKind, IdempotencyKey, LoadReport, Outcome};

pub(crate) use node::Node;

/// A request; stands for `CallHead` and its body.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub id: u64,
    pub service: usize,
    pub kind: usize,
    /// What the body says; the right answer repeats it.
    pub token: u64,
    /// What the client wants done; equal for all requests with one key.
    pub operation: u64,
    pub key: Option<IdempotencyKey>,
    pub deadline: Instant,
    pub depth: u8,
    /// When the owner's limiter granted a slot.
    pub granted: Instant,
}

/// An answer; stands for `ReplyHead` and its body.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub id: u64,
    pub outcome: Outcome,
    pub status: u16,
    pub token: u64,
    pub whole: bool,
    pub load: Option<LoadReport>,
}

impl Reply {
    pub fn failure(id: u64, outcome: Outcome) -> Self {
        Self { id, outcome, status: 0, token: 0, whole: true, load: None }
    }

    pub fn of_kind(id: u64, kind: ErrorKind) -> Self {
        Self::failure(id, kind.outcome())
    }
}
