//! Bodies that a client can check to be whole and its own.

use uuid::Uuid;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Returns the body that an upstream sends for a request, `len` bytes or as many as the fixed part
/// needs.
pub fn expected_body(request_id: &str, request_body: &[u8], len: usize) -> Vec<u8> {
    let hash = xxh3_64(request_body);
    let mut text = format!("{request_id} {hash:016x} ").into_bytes();
    let fill = format!("{:016x}", xxh3_64(&text));
    text.extend_from_slice(fill.as_bytes());
    while text.len() < len {
        let rest = (len - text.len()).min(fill.len());
        text.extend_from_slice(&fill.as_bytes()[..rest]);
    }
    text
}

/// Returns whether `answer` is the whole body for this request.
///
/// The length is covered by `content-length`, which the HTTP client checks.
pub fn is_expected_body(request_id: &str, request_body: &[u8], answer: &[u8]) -> bool {
    answer == expected_body(request_id, request_body, answer.len())
}

/// Returns the id of the call that an upstream makes at `depth` while it serves a request. Nodes
/// accept only UUIDs.
pub fn nested_id(request_id: &str, depth: u32) -> String {
    Uuid::from_u128(xxh3_128(format!("{request_id}.{depth}").as_bytes())).to_string()
}
