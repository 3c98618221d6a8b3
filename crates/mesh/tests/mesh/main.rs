//! Tests of the decisions of a mesh node; each names the failure that it guards against.

mod admission_queue;
mod capacity;
mod change_feed;
mod config;
mod crash_suspects;
mod crowd;
mod exposure;
mod exposure_counts;
mod leadership;
mod lease;
mod load;
mod members;
mod memory_budget;
mod node_health;
mod pipeline;
mod placement;
mod request_limit;
mod retry_budget;
mod rollout;
mod stop;
mod tenants;
mod uneven;
mod upstream;
mod upstream_capacity;
mod usage;
mod zone_capacity;
