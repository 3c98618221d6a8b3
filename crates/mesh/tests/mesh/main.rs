//! Decisions of a mesh node, each with the failure it guards against.

mod admission_queue;
mod budget;
mod change_feed;
mod config;
mod load;
mod members;
mod placement;
mod rollout;
mod upstream;
