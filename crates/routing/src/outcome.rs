//! Whether an attempt that failed may be tried again.

use oleandertiller_model::{Outcome, Safety};

/// Returns whether another owner may be tried after `outcome`, budget and deadline permitting.
pub fn may_retry(outcome: Outcome, safety: Safety) -> bool {
    match outcome {
        Outcome::Done => false,
        Outcome::NotRun(kind) => kind.answer().retry_elsewhere,
        Outcome::Unknown(kind) => safety == Safety::Idempotent && kind.answer().retry_elsewhere,
    }
}
