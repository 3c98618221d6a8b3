//! What burned the error budget.

use oleandertiller_model::{ErrorKind, Outcome};
use serde::{Deserialize, Serialize};

/// Why a request got no correct answer in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cause {
    /// A zone out of service, or an upstream that drains.
    ZoneMove,
    /// A version that takes no traffic.
    Rollout,
    /// An upstream in a cold start.
    ColdStart,
    /// No capacity in time.
    Overload,
    /// The upstream answered with a failure, or with a wrong or cut answer.
    UpstreamFailure,
    /// A connection broke or could not be opened, or a peer failed.
    Connection,
    /// Too late: the upstream or the answer took longer than the deadline.
    Late,
    /// An idempotency key could not be decided on.
    Keys,
    /// The node's own state: stale intent or an internal fault.
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

    /// Returns the cause as text for people.
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

    /// Returns the place in [`Self::ALL`].
    pub fn index(self) -> usize {
        Self::ALL.iter().position(|cause| *cause == self).unwrap_or(0)
    }

    /// Classifies an outcome; `None` for a correct answer, and for what is the client's own fault
    /// or wish and so no failure of the service.
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
            | ErrorKind::Cancelled => None,
            ErrorKind::ZoneOut | ErrorKind::Draining => Some(Self::ZoneMove),
            ErrorKind::VersionVetoed => Some(Self::Rollout),
            ErrorKind::Cold => Some(Self::ColdStart),
            ErrorKind::Overloaded | ErrorKind::NoUpstream => Some(Self::Overload),
            ErrorKind::MismatchedAnswer | ErrorKind::TruncatedAnswer => Some(Self::UpstreamFailure),
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
