//! Service-level burn: how much of its error budget each request kind has used, how fast it burns,
//! and what burned it.
//!
//! Each node records its own client requests with a [`Recorder`] and gives a [`NodeReport`];
//! [`FleetReport::merge`] joins the reports of several nodes.

pub mod cause;
pub mod recorder;
pub mod report;

pub use cause::Cause;
pub use recorder::Recorder;
pub use report::{FleetReport, KindReport, NodeReport, WindowReport};
