//! Answers to clients.

use std::io::Write;

use bytes::Bytes;
use oleandertiller_model::{ErrorKind, Outcome, RequestId, VersionName};
use tide::http::StatusCode;

/// The answer to a client's request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// How the request ended.
    pub outcome: Outcome,
    /// Status of the upstream's answer; 0 unless the outcome is done.
    pub status: u16,
    /// `content-type` of the body.
    pub content_type: Option<String>,
    /// Version of the upstream that was called last.
    pub version: Option<VersionName>,
    /// Body of the upstream's answer; empty unless the outcome is done.
    pub body: Bytes,
}

impl Answer {
    /// Creates the answer to a request that no upstream answered.
    pub fn failure(outcome: Outcome) -> Self {
        Self { outcome, status: 0, content_type: None, version: None, body: Bytes::new() }
    }

    /// Creates the answer for an error of `kind`.
    pub fn of_kind(kind: ErrorKind) -> Self {
        Self::failure(kind.outcome())
    }

    /// Encodes the head and returns it with the body.
    pub fn encode(self, request: Option<&RequestId>, close: bool) -> (Vec<u8>, Bytes) {
        match self.outcome.kind() {
            None => {
                let head = self.head(request, close, self.status, self.body.len());
                (head, self.body)
            }
            Some(kind) => {
                let row = kind.answer();
                let body = Bytes::from_static(row.text.as_bytes());
                (self.head(request, close, row.status, body.len()), body)
            }
        }
    }

    fn head(&self, request: Option<&RequestId>, close: bool, status: u16, len: usize) -> Vec<u8> {
        let mut head = Vec::with_capacity(512 + len.min(4096));
        let reason = StatusCode::try_from(status).map_or("", |code| code.canonical_reason());
        let outcome = self.outcome.label();
        // Writing to a vector cannot fail.
        let _ = write!(head, "HTTP/1.1 {status} {reason}\r\ncontent-length: {len}\r\n");
        let _ = write!(head, "x-outcome: {outcome}\r\n");
        if let Some(id) = request {
            let _ = write!(head, "x-request-id: {id}\r\n");
        }
        if let Some(kind) = self.outcome.kind() {
            let _ = write!(head, "x-reason: {kind}\r\ncontent-type: text/plain\r\n");
        } else if let Some(content_type) = self.content_type.as_deref().filter(is_header_safe) {
            let _ = write!(head, "content-type: {content_type}\r\n");
        }
        if let Some(version) = self.version.as_ref().map(VersionName::as_str).filter(is_header_safe)
        {
            let _ = write!(head, "x-upstream-version: {version}\r\n");
        }
        if close {
            head.extend_from_slice(b"connection: close\r\n");
        }
        head.extend_from_slice(b"\r\n");
        head
    }
}

/// Returns whether `text`, which may come from another node, is safe to write in a header.
fn is_header_safe(text: &&str) -> bool {
    text.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}
