//! Tests of membership and configuration agreement on the production state machines, without
//! sockets.

mod agreement;
mod base;
mod entries;
mod exploration;
mod membership;
mod outage;
mod properties;
mod store;
mod units;
