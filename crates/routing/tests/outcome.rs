//! Retry decisions for every error kind.

use oleandertiller_model::{ErrorKind, Outcome, Safety};
use oleandertiller_routing::outcome::may_retry;

/// Guards against a retry after a complete answer.
#[test]
fn done_is_never_retried() {
    assert!(!may_retry(Outcome::Done, Safety::Idempotent));
    assert!(!may_retry(Outcome::Done, Safety::AtMostOnce));
}

/// Guards against a second run of a request that must run at most once.
#[test]
fn unknown_is_never_retried_for_at_most_once_kinds() {
    for kind in ErrorKind::ALL {
        assert!(!may_retry(Outcome::Unknown(*kind), Safety::AtMostOnce), "{kind}");
    }
}

/// Guards against a decision that differs from the table of error kinds.
#[test]
fn retries_follow_the_table() {
    for kind in ErrorKind::ALL {
        let elsewhere = kind.answer().retry_elsewhere;
        assert_eq!(may_retry(Outcome::NotRun(*kind), Safety::Idempotent), elsewhere, "{kind}");
        assert_eq!(may_retry(Outcome::NotRun(*kind), Safety::AtMostOnce), elsewhere, "{kind}");
        assert_eq!(may_retry(Outcome::Unknown(*kind), Safety::Idempotent), elsewhere, "{kind}");
    }
}

/// Guards against a change of the table that allows a retry where it cannot help: the request
/// itself is at fault, its deadline has passed, or its key may be running.
#[test]
fn only_kinds_that_another_owner_can_serve_are_retried() {
    use ErrorKind as E;
    let kinds = [
        E::BadRequest,
        E::HeadTooLarge,
        E::BodyTooLarge,
        E::SlowClient,
        E::UnknownService,
        E::UnknownKind,
        E::BadDeadline,
        E::DeadlineExceeded,
        E::DepthExceeded,
        E::LedgerFull,
        E::KeyInDoubt,
        E::KeyInProgress,
        E::KeeperUnreachable,
        E::CrashesUpstreams,
        E::UpstreamTimeout,
        E::Cancelled,
        E::Unauthorized,
        E::UnknownApiKey,
        E::Internal,
    ];
    for kind in kinds {
        assert!(!may_retry(kind.outcome(), Safety::Idempotent), "{kind}");
    }
    let rest = ErrorKind::ALL.iter().filter(|kind| !kinds.contains(kind));
    for kind in rest {
        assert!(may_retry(kind.outcome(), Safety::Idempotent), "{kind}");
    }
}
