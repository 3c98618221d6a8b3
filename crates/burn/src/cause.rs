//! Causes of requests that use up error budget.

use oleandertiller_model::{ErrorKind, Outcome};
use serde::{Deserialize, Serialize};

/// Why a request got no correct answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// The zone is out of service, or the upstream is draining.
    ZoneMove,
    /// The upstream's version takes no traffic.
    Rollout,
    /// The upstream is in a cold start.
    ColdStart,
    /// No capacity was available in time.
    Overload,
    /// The upstream answered with a failure, a mismatched or a truncated answer.
    UpstreamFailure,
    /// A connection broke or could not be opened, or a peer violated the protocol.
    Connection,
    /// The deadline passed before the request was run or answered.
    Late,
    /// The idempotency key was in doubt or in progress, or its ledger full or unreachable.
    Keys,
    /// The node had a stale intent or an internal error.
    Node,
}

impl Cause {
    /// All causes, in the order of reports.
    pub const ALL: [Self; 9] = [
        Self::ZoneMove,
        Self::Rollout,
        Self::ColdStart,
        Self::Overload,
        Self::UpstreamFailure,
        Self::Connection,
        Self::Late,
        Self::Keys,
        Self::Node,
    ];

    /// Returns the cause as readable text.
    pub fn label(self) -> &'static str {
        match self {
            Self::ZoneMove => "zone move or drain",
            Self::Rollout => "rollout",
            Self::ColdStart => "cold start",
            Self::Overload => "overload",
            Self::UpstreamFailure => "upstream failure",
            Self::Connection => "connection",
            Self::Late => "late",
            Self::Keys => "idempotency key",
            Self::Node => "node",
        }
    }

    /// Returns the index in [`Self::ALL`].
    pub fn index(self) -> usize {
        Self::ALL.iter().position(|cause| *cause == self).unwrap_or(0)
    }

    /// Classifies an outcome; returns `None` for a correct answer, and for client errors and
    /// cancelled requests, which are no failure of the service.
    pub fn of(outcome: Outcome, status: u16) -> Option<Self> {
        let Some(kind) = outcome.kind() else {
            return (status >= 500).then_some(Self::UpstreamFailure);
        };
        match kind {
            ErrorKind::BadRequest
            | ErrorKind::HeadTooLarge
            | ErrorKind::BodyTooLarge
            | ErrorKind::SlowClient
            | ErrorKind::UnknownService
            | ErrorKind::UnknownKind
            | ErrorKind::BadDeadline
            | ErrorKind::DepthExceeded
            | ErrorKind::Unauthorized
            | ErrorKind::UnknownApiKey
            | ErrorKind::Cancelled => None,
            ErrorKind::ZoneOut | ErrorKind::Draining => Some(Self::ZoneMove),
            ErrorKind::VersionVetoed => Some(Self::Rollout),
            ErrorKind::Cold => Some(Self::ColdStart),
            ErrorKind::Overloaded | ErrorKind::NoUpstream => Some(Self::Overload),
            ErrorKind::MismatchedAnswer
            | ErrorKind::TruncatedAnswer
            | ErrorKind::InvalidStatus
            | ErrorKind::CrashSuspect
            | ErrorKind::CrashesUpstreams => Some(Self::UpstreamFailure),
            ErrorKind::ConnectFailed | ErrorKind::ConnectionLost | ErrorKind::PeerProtocol => {
                Some(Self::Connection)
            }
            ErrorKind::DeadlineExceeded | ErrorKind::UpstreamTimeout => Some(Self::Late),
            ErrorKind::LedgerFull
            | ErrorKind::KeyInDoubt
            | ErrorKind::KeyInProgress
            | ErrorKind::KeeperUnreachable => Some(Self::Keys),
            ErrorKind::StaleIntent | ErrorKind::Internal => Some(Self::Node),
        }
    }
}
