//! Tests of membership and agreement on the real parts, without sockets.

mod agreement;
mod base;
mod entries;
mod exploration;
mod membership;
mod outage;
mod properties;
mod store;
mod units;
