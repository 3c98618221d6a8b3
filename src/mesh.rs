//! The mesh node: a sidecar of one upstream that serves the clients of its instance.
//!
//! A request arrives at the ingress of its instance. The ingress offers it to owners, the nodes of
//! the target service, until one runs it at its local upstream. Persistent state is in the
//! platform's store; each process rebuilds everything else. Decisions are made in
//! `oleandertiller-mesh`, the platform's wire formats are in `oleandertiller-platform`, and this
//! module does the I/O.

pub mod body;
pub mod change_feed;
pub mod control;
pub mod crash_reporter;
pub mod daemon;
pub mod deployment_state;
pub mod flag;
pub mod frame;
pub mod http;
pub mod ingress;
pub mod log;
pub mod memory;
pub mod message;
pub mod metrics;
pub mod owner;
pub mod registration;
pub mod rollout_leader;
pub mod store;
pub mod store_watcher;
pub mod upstream;
