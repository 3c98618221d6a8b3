//! Whether a failed attempt may be retried.

use oleandertiller_model::{Outcome, Safety};

/// Returns whether a request with this outcome may be retried at another owner.
///
/// The caller also checks the retry budget and the deadline.
pub fn may_retry(outcome: Outcome, safety: Safety) -> bool {
    match outcome {
        Outcome::Done => false,
        Outcome::NotRun(kind) => kind.answer().retry_elsewhere,
        Outcome::Unknown(kind) => safety == Safety::Idempotent && kind.answer().retry_elsewhere,
    }
}
