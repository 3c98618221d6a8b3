//! Decisions of a mesh node, each with the failure it guards against.

mod budget;
mod config;
mod gate;
mod load;
mod members;
mod news;
mod placement;
mod rollout;
mod upstream;
