//! The error kinds of requests, and the table of the answers that clients get for them.

use std::fmt;

use serde::{Deserialize, Serialize};

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream gave a complete answer.
    Done,
    /// The request was never sent to the upstream.
    NotRun(ErrorKind),
    /// The request may or may not have run.
    Unknown(ErrorKind),
}

impl Outcome {
    /// Returns the value of the `x-outcome` header.
    pub fn label(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::NotRun(_) => "not-run",
            Self::Unknown(_) => "unknown",
        }
    }

    /// Returns the error kind, or `None` for [`Outcome::Done`].
    pub fn kind(self) -> Option<ErrorKind> {
        match self {
            Self::Done => None,
            Self::NotRun(kind) | Self::Unknown(kind) => Some(kind),
        }
    }
}

/// What a client is told about an error kind.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Value of the `x-reason` header.
    pub name: &'static str,
    /// HTTP status.
    pub status: u16,
    /// Whether the kind proves that the request was not run.
    pub not_run: bool,
    /// Whether the request may be retried at another owner.
    pub retry_elsewhere: bool,
    /// Description in one sentence.
    pub text: &'static str,
}

macro_rules! error_kinds {
    ($($(#[$doc:meta])* $kind:ident => $name:literal, $status:literal, $not_run:literal,
       $retry:literal, $text:literal;)*) => {
        /// Every way in which a request can fail.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum ErrorKind {
            $($(#[$doc])* $kind,)*
        }

        impl ErrorKind {
            /// All kinds, in the order of the table.
            pub const ALL: &'static [Self] = &[$(Self::$kind,)*];

            /// Returns the kind's row in the table of answers.
            pub fn answer(self) -> Answer {
                match self {
                    $(Self::$kind => Answer {
                        name: $name,
                        status: $status,
                        not_run: $not_run,
                        retry_elsewhere: $retry,
                        text: $text,
                    },)*
                }
            }
        }
    };
}

error_kinds! {
    // kind => name, status, not run, retry elsewhere, text
    /// Broken HTTP or a malformed header.
    BadRequest => "bad-request", 400, true, false, "The request is malformed.";
    /// Head over the size limit.
    HeadTooLarge => "head-too-large", 431, true, false, "The request head is over the size limit.";
    /// Body over the size limit.
    BodyTooLarge => "body-too-large", 413, true, false, "The request body is over the size limit.";
    /// The client did not send its request in time.
    SlowClient => "slow-client", 408, true, false, "The request was not received in time.";
    /// No such service in the intent.
    UnknownService => "unknown-service", 404, true, false, "No such service is configured.";
    /// No such kind in the service.
    UnknownKind => "unknown-kind", 404, true, false, "The service has no such request kind.";
    /// The deadline cannot be read or is zero.
    BadDeadline => "bad-deadline", 400, true, false, "The deadline is not a positive whole number of milliseconds.";
    /// Time ran out before the request was handed to an upstream.
    DeadlineExceeded => "deadline-exceeded", 504, true, false, "The deadline passed before the request was run.";
    /// Shed: the limit is reached and the request cannot finish in time.
    Overloaded => "overloaded", 503, true, true, "The service has no capacity for the request in time.";
    /// Shed: the upstream is in a cold start and at its cold limit.
    Cold => "cold", 503, true, true, "The upstream is in a cold start and at its limit.";
    /// The upstream or its node is leaving.
    Draining => "draining", 503, true, true, "The upstream is draining.";
    /// The zone is out of service.
    ZoneOut => "zone-out", 503, true, true, "The availability zone is out of service.";
    /// The version is vetoed or over its share of traffic.
    VersionVetoed => "version-vetoed", 503, true, true, "The upstream's version takes no traffic now.";
    /// The request was running when upstreams ended, and another owner may run it, or not as a retry.
    CrashSuspect => "crash-suspect", 503, true, true, "The request was running when upstreams ended and may not be run here now.";
    /// Upstreams ended while they ran the request, and it was not completed since.
    CrashesUpstreams => "crashes-upstreams", 503, true, false, "Upstreams ended while they ran the request.";
    /// The node does not know whether its intent is current.
    StaleIntent => "stale-intent", 503, true, true, "The node's configuration is not known to be current.";
    /// No owner takes the request.
    NoUpstream => "no-upstream", 503, true, true, "No upstream of the service takes new requests.";
    /// No connection to the owner or upstream could be opened.
    ConnectFailed => "connect-failed", 502, true, true, "No connection to the upstream could be opened.";
    /// The nesting depth of the call is over the limit.
    DepthExceeded => "depth-exceeded", 508, true, false, "The call is nested too deep.";
    /// The ledger has no room for another key.
    LedgerFull => "ledger-full", 503, true, false, "The ledger of idempotency keys is full.";
    /// A request with the key may have run: its outcome is unknown, or its ledger entry is lost.
    KeyInDoubt => "key-in-doubt", 503, false, false, "An earlier request with this key may have run.";
    /// A request with the same key is being run now.
    KeyInProgress => "key-in-progress", 409, false, false, "A request with this key is in progress.";
    /// The node that keeps the key's ledger entry cannot be reached.
    KeeperUnreachable => "keeper-unreachable", 503, false, false, "The node that keeps this key cannot be reached.";
    /// The connection broke after the request was handed on.
    ConnectionLost => "connection-lost", 502, false, true, "The connection broke before the answer was complete.";
    /// The upstream did not answer in time.
    UpstreamTimeout => "upstream-timeout", 504, false, false, "The upstream did not answer before the deadline.";
    /// The answer carries another request's id.
    MismatchedAnswer => "mismatched-answer", 502, false, true, "The upstream answered another request.";
    /// The answer is shorter than announced.
    TruncatedAnswer => "truncated-answer", 502, false, true, "The upstream's answer was cut short.";
    /// A peer broke the protocol between nodes.
    PeerProtocol => "peer-protocol", 502, false, true, "A node of the system sent a malformed message.";
    /// The client went away.
    Cancelled => "cancelled", 499, false, false, "The client cancelled the request.";
    /// The operator's token is missing or wrong.
    Unauthorized => "unauthorized", 401, true, false, "The operator token is missing or wrong.";
    /// The request carries no API key that the configuration knows.
    UnknownApiKey => "unknown-api-key", 401, true, false, "The API key is missing or unknown.";
    /// A fault of the node itself.
    Internal => "internal", 500, false, false, "The node failed internally.";
    /// The status of the answer is none that HTTP allows there.
    InvalidStatus => "invalid-status", 502, false, true, "The upstream answered with an invalid status.";
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.answer().name)
    }
}

impl ErrorKind {
    /// Returns the outcome that the table gives for the kind.
    pub fn outcome(self) -> Outcome {
        if self.answer().not_run { Outcome::NotRun(self) } else { Outcome::Unknown(self) }
    }
}
