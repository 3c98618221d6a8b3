//! Selection, concurrency limits, budgets and outcomes without sockets or clocks.
//!
//! Every function takes the time it needs as an argument and does no input or output.

pub mod budget;
pub mod ledger;
pub mod limit;
pub mod outcome;
pub mod selection;
