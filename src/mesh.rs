//! The mesh node: one process beside an upstream that serves the clients of its own instance.
//!
//! A request arrives at the ingress of its own instance, which offers it to owners until one runs
//! it at the upstream beside it. What must last lies in the platform's store; everything else is
//! learnt anew by each process. Decisions are in `oleandertiller-mesh`, the platform's names and
//! formats in `oleandertiller-platform`; this module holds the sockets.

pub mod change_feed;
pub mod control;
pub mod daemon;
pub mod deployment_state;
pub mod flag;
pub mod http;
pub mod ingress;
pub mod log;
pub mod message;
pub mod metrics;
pub mod owner;
pub mod registration;
pub mod rollout_leader;
pub mod store;
pub mod store_watcher;
pub mod upstream;
