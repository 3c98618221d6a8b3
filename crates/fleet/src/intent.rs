//! Agreement on the intent.
//!
//! The store key `intent/head` holds the current revision, the last [`MAX_TAIL_CHANGES`] changes
//! (the tail) and the revision of the last base document. `intent/base/<revision>` holds whole
//! documents. All changes go through compare-and-swap on the head.
//!
//! A base document is written only for a revision that is already in the head, before the head
//! that refers to it: the writer that finds [`MAX_TAIL_CHANGES`] changes since the last base writes
//! `intent/base/<current revision>` with expected version 0 and then the new head with its own
//! change. An accepted revision has one document, so it does not matter which writer's base is
//! kept, whether a writer crashes between the two writes, or whether a delayed base write arrives
//! late: the head keeps referring to the older base, from which its tail still leads to the
//! current revision, until some writer completes both steps.

mod base;
mod command;
mod head;
mod replica;
mod watcher;

pub use base::{base_key, parse_base, write_base};
pub use command::{Command, CommandOutcome, NotAccepted};
pub use head::{HEAD_KEY, Head, HeadError, MAX_TAIL_CHANGES};
pub use replica::{ApplyOutcome, Replica};
pub use watcher::{Watcher, WatcherEvent};
