//! How a request of a client ended.

use std::time::{Duration, Instant};

use oleandertiller_model::ErrorKind;

use crate::mesh::message::Response;

/// Why a request has no answer of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Why.
    pub kind: ErrorKind,
    /// Whether it has certainly not run.
    pub not_run: bool,
    /// When there may be room for it.
    pub expected: Duration,
}

impl Failure {
    /// Returns the status for the client. 503 promises that the request has not run and never will,
    /// so it stands for every failure of which that is true and for no other.
    pub fn status(&self) -> u16 {
        match (self.kind.answer().status, self.not_run) {
            (500.., true) => 503,
            (503, false) => 502,
            (status, _) => status,
        }
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The answer of an upstream, or why there is none.
    pub result: Result<Response, Failure>,
    /// When the client stops waiting, if it is known.
    pub deadline: Option<Instant>,
    /// The owners that were asked and what they said, for the log.
    pub hops: String,
}

impl Outcome {
    /// Makes the outcome of a request that was not passed on.
    pub fn refused(kind: ErrorKind, expected: Duration) -> Self {
        let failure = Failure { kind, not_run: true, expected };
        Self { result: Err(failure), deadline: None, hops: String::new() }
    }

    /// Returns the status for the client and the reason for logs.
    pub fn status_and_reason(&self) -> (u16, &'static str) {
        match &self.result {
            Ok(answer) => (answer.status, "answered"),
            Err(failure) => (failure.status(), failure.kind.answer().name),
        }
    }
}
