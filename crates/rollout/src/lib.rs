//! Decisions on gradual rollouts, without I/O or clocks.
//!
//! - Every ingress keeps a [`Tally`] of the attempts of each window, sends it to the controller as
//!   a [`Report`], feeds a local [`Veto`], and asks [`split::pick`] which version serves a request.
//! - Every node of the service runs a [`Controller`], which proposes changes of the intent. Only
//!   proposals with the present fencing token are accepted, and at most one node holds it.
//! - The controller's [`Judge`] compares the two versions by the reports.

pub mod controller;
pub mod evidence;
pub mod judge;
pub mod split;
pub mod veto;

pub use controller::{Controller, ControllerConfig, Proposal, ServiceLoad};
pub use evidence::{Arm, Attempt, Report, ServerId, Tally};
pub use judge::{Finding, Judge, JudgeConfig, Measure, Verdict};
pub use split::{Availability, Choice};
pub use veto::{Veto, VetoNotice};

/// Largest share of an unproved version, in parts per million: 5% by invariant 4 of the design.
pub const MAX_UNPROVED_SHARE_PPM: u32 = 50_000;
