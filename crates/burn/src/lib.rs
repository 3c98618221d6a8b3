//! Error budgets of service-level objectives: the budget that each request kind has used, its burn
//! rate, and the causes of the failures.
//!
//! Each node records its own client requests with a [`Recorder`] and produces a [`NodeReport`];
//! [`FleetReport::merge`] combines the reports of several nodes.

pub mod cause;
pub mod recorder;
pub mod report;

pub use cause::Cause;
pub use recorder::Recorder;
pub use report::{FleetReport, KindReport, NodeReport, WindowReport};
