//! Choice of owners, concurrency limits, retry budgets and the ledger of idempotency keys.
//!
//! Nothing here does input or output or reads a clock; functions take the current time as an
//! argument.

pub mod budget;
pub mod ledger;
pub mod limit;
pub mod outcome;
pub mod selection;
