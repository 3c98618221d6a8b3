//! Stand-in upstream, key-value store and fault-injecting proxy.
//!
//! A stand-in runs within the process that starts it, until `close(self)`. The binaries
//! `standin-upstream`, `standin-store` and `standin-proxy` run one as a separate process and print
//! the line `ready <addresses>` when it accepts connections.

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
