//! Tests of the decisions of a mesh node; each names the failure that it guards against.

mod admission_queue;
mod change_feed;
mod config;
mod crash_suspects;
mod exposure;
mod exposure_counts;
mod leadership;
mod lease;
mod load;
mod members;
mod node_health;
mod placement;
mod request_limit;
mod retry_budget;
mod rollout;
mod stop;
mod uneven;
mod upstream;
mod upstream_capacity;
mod zone_capacity;
