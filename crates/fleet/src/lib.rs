//! Membership and configuration agreement without sockets or clocks.
//!
//! Every component takes inputs (datagrams, store answers, the current time) and returns actions.
//! The driver owns the sockets and the clock: it calls [`Agent::tick`] every [`TICK`], passes
//! received datagrams to [`Agent::receive`], and carries out the returned [`Output`]s. Each state
//! machine ([`Command`], [`Watcher`], [`Entries`]) makes one store call at a time.

pub mod agent;
pub mod datagram;
pub mod entries;
pub mod freshness;
pub mod intent;
pub mod measure;
pub mod membership;
pub mod record;
pub mod store;

pub use agent::{Agent, AgentConfig, Output, TICK};
pub use datagram::{Datagram, MAX_DATAGRAM_BYTES, MembersPull, MembersPush};
pub use entries::{Entries, EntryValue};
pub use freshness::{Confirmed, Freshness, StaleReason};
pub use intent::{Command, CommandOutcome, Head, NotAccepted, Replica, Watcher};
pub use membership::{Membership, ViewChange};
pub use record::{Addresses, MemberState, Record};
pub use store::{Step, StoreAnswer, StoreCall};
