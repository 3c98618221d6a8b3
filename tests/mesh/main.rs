//! The mesh node: its parts on loopback sockets, and whole processes against stand-ins.

mod broken_responses;
mod cold_upstreams;
mod deadly_requests;
mod departures;
mod deployment;
mod endless_bytes;
mod failing_upstream;
mod fleet;
mod http;
mod lost_answers;
mod odd_entries;
mod pipelining;
mod planned_stop;
mod processes;
mod replaced_upstream;
mod shortage;
mod slow_version;
mod soak;
mod store_restore;
mod tenants;
mod untrusted_clients;
mod upstream_conditions;
mod upstream_responses;
