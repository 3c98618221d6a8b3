//! The outcome of a client's request.

use std::time::{Duration, Instant};

use oleandertiller_model::ErrorKind;

use crate::mesh::message::Response;

/// Why a request got no response from an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Determines the status and the text that the client gets.
    pub kind: ErrorKind,
    /// Whether it is certain that no upstream ran the request.
    pub not_run: bool,
    /// Time until an upstream may have a free slot.
    pub expected_wait: Duration,
}

impl Failure {
    /// Returns the HTTP status for the client. 503 promises that the request has not run and never
    /// will, so every failure for which that is certain gets it, and no other does.
    pub fn status(&self) -> u16 {
        match (self.kind.answer().status, self.not_run) {
            (500.., true) => 503,
            (503, false) => 502,
            (status, _) => status,
        }
    }
}

/// The outcome of a request.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The response of an upstream, or why there is none.
    pub result: Result<Response, Failure>,
    /// When the client stops waiting, if known.
    pub deadline: Option<Instant>,
    /// The owners that were offered the request and their replies, for the log.
    pub hops: String,
}

impl Outcome {
    /// Creates the outcome of a request that is refused before dispatch.
    pub fn refused(kind: ErrorKind, expected_wait: Duration) -> Self {
        let failure = Failure { kind, not_run: true, expected_wait };
        Self { result: Err(failure), deadline: None, hops: String::new() }
    }

    /// Returns the HTTP status for the client and the reason for logs and metrics.
    pub fn status_and_reason(&self) -> (u16, &'static str) {
        match &self.result {
            Ok(response) => (response.status, "answered"),
            Err(failure) => (failure.status(), failure.kind.answer().name),
        }
    }
}
