//! Decisions of a mesh node, which serves the clients of its own instance and owns the upstream
//! beside it. Every part takes its inputs and the time, and holds neither sockets nor clocks.
//!
//! - [`config`]: the operators' configuration and which route a request takes.
//! - [`members`]: which instances exist, also while the store is away.
//! - [`upstream`]: what the upstream beside the node says of itself.
//! - [`admission_queue`]: when the owner hands a request to its upstream, queues it, or hands it back.
//! - [`hedge`]: when a second owner is asked although the first may still answer.
//! - [`change_feed`]: where a node learns of changes in the store.
//! - [`placement`]: in which order an ingress asks the owners.
//! - [`budget`]: how many repeats this node may send.
//! - [`rollout`]: which versions may serve, and whether a new version is good.
//! - [`retry_after`]: when a refused client should come back.

pub mod admission_queue;
pub mod budget;
pub mod change_feed;
pub mod config;
pub mod hedge;
pub mod members;
pub mod placement;
pub mod retry_after;
pub mod rollout;
pub mod upstream;
