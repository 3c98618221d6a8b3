//! Decision logic of a mesh node, which serves the clients of its own instance and is the owner of
//! the upstream there, its local upstream. Every module takes its inputs and the time as arguments
//! and uses neither sockets nor clocks.
//!
//! - [`admission_queue`]: when an owner runs a request, queues it or refuses it.
//! - [`capacity_view`]: which requests an ingress refuses because no owner has capacity for them.
//! - [`change_feed`]: from where a node gets the store's changes.
//! - [`config`]: the operators' configuration and the route of a request.
//! - [`crash_suspects`]: which requests crash the upstreams that run them.
//! - [`exposure`]: how many requests a version gets while it is rolled out.
//! - [`latency_estimate`]: how long answers take, and when a request is hedged.
//! - [`leadership`]: which process leads the rollouts of a service, or has a duty for all services.
//! - [`lease`]: how long a node's record lives without a renewal.
//! - [`members`]: which instances exist, also while the store is unavailable.
//! - [`node_health`]: whether the machine of a node is slow.
//! - [`peer_health`]: what an ingress knows of one owner.
//! - [`nested_calls`]: which services the requests of a route call.
//! - [`memory_budget`]: what connections, bodies and responses may hold of the process's memory.
//! - [`pipeline`]: which requests on one connection run concurrently.
//! - [`placement`]: in which order an ingress asks the owners.
//! - [`rank_share`]: the starts that an owner gives to requests of lower priority.
//! - [`request_limit`]: how many requests an upstream in need gets.
//! - [`retry_after`]: when a refused client should retry.
//! - [`retry_budget`]: how many retries this node may send.
//! - [`rollout`]: which versions may serve, and whether a new version is good.
//! - [`sender_share`]: how an owner's capacity is shared between the sending nodes.
//! - [`stop`]: the times of a planned stop.
//! - [`tenants`]: which requests may run, for whom, and with which priority.
//! - [`token_bucket`]: a limit on a rate that allows short bursts.
//! - [`upstream`]: what the local upstream announces, and which announcement counts.
//! - [`upstream_capacity`]: what an owner learns of its upstream's capacity.
//! - [`usage`]: how many requests of each tenant began to run, and who reports that.
//! - [`zone_capacity`]: which zones have room for more requests of a service.

pub mod admission_queue;
pub mod capacity_view;
pub mod change_feed;
pub mod config;
pub mod crash_suspects;
pub mod exposure;
pub mod latency_estimate;
pub mod leadership;
pub mod lease;
pub mod members;
pub mod memory_budget;
pub mod nested_calls;
pub mod node_health;
pub mod peer_health;
pub mod pipeline;
pub mod placement;
pub mod rank_share;
pub mod request_limit;
pub mod retry_after;
pub mod retry_budget;
pub mod rollout;
pub mod sender_share;
pub mod stop;
pub mod tenants;
pub mod token_bucket;
pub mod upstream;
pub mod upstream_capacity;
pub mod usage;
pub mod zone_capacity;
