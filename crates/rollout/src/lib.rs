//! Rollout state and judgement without sockets or clocks.
//!
//! - Every ingress keeps a [`Tally`] of the attempts of each window, sends it to the controller as a
//!   [`Report`], feeds a local [`Veto`], and asks [`split::pick`] which version serves a request.
//! - Every node of the service runs a [`Controller`]. It proposes changes of the intent; at most one
//!   node's proposals carry the fence in force, and only those are accepted.
//! - The controller's [`Judge`] compares the two versions on the reports.

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

/// Largest share of an unproved version, in parts per million: 5%, by invariant 4 of the design.
pub const UNPROVED_SHARE_MAX_PPM: u32 = 50_000;
