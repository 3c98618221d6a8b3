//! Stand-ins for the users' platform: its store, and an upstream beside a mesh node.
//!
//! They implement the published protocol separately from the product's adapter and share no names
//! with it, so that an error in the adapter is not repeated here.

mod broken_answer;
mod kv_store;
mod mesh_upstream;
mod usage_endpoint;

pub use broken_answer::{Endless, answer_with_reset};
pub use kv_store::{Copy, KvStore, LostWrite, Outage};
pub use mesh_upstream::{MeshUpstream, MeshUpstreamBehaviour, Run};
pub use usage_endpoint::{UsageCall, UsageEndpoint, UsageFault};
