//! Stand-in upstream, key-value store and fault-injecting proxy.
//!
//! Each stand-in can be started in process and closed with `close(self)`; the binaries
//! `standin-upstream`, `standin-store` and `standin-proxy` start the same code in a process of
//! its own and print one line, `ready <addresses>`, when they accept connections.

pub mod answer;
pub mod http;
pub mod platform;
pub mod ports;
pub mod proxy;
pub mod store;
pub mod upstream;

pub use proxy::{Proxy, ProxyFaults, ProxyOptions};
pub use store::{Store, StoreFaults, StoreOptions};
pub use upstream::{Behaviour, Record, Upstream, UpstreamOptions};
