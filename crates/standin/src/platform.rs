//! Stand-ins for the users' platform: its store, and an upstream beside a mesh node.
//!
//! They speak the published protocol with names of their own, so that a mistake in the product's
//! adapter is not repeated here.

mod kv;
mod upstream;

pub use kv::{KvStore, Outage};
pub use upstream::{MeshUpstream, MeshUpstreamBehaviour, Run};
