//! Response bodies from which a client can tell that they are complete and belong to its request.

use uuid::Uuid;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Returns the body of an upstream's response to a request: request id, hash of the request body
/// and a checksum, which is repeated up to `len` bytes but is complete at least once.
pub fn expected_body(request_id: &str, request_body: &[u8], len: usize) -> Vec<u8> {
    let body_hash = xxh3_64(request_body);
    let mut text = format!("{request_id} {body_hash:016x} ").into_bytes();
    let checksum = format!("{:016x}", xxh3_64(&text));
    text.extend_from_slice(checksum.as_bytes());
    while text.len() < len {
        let missing = (len - text.len()).min(checksum.len());
        text.extend_from_slice(&checksum.as_bytes()[..missing]);
    }
    text
}

/// Returns whether `body` belongs to this request and is intact.
///
/// A truncated body is detected by the HTTP client, which checks `content-length`.
pub fn is_expected_body(request_id: &str, request_body: &[u8], body: &[u8]) -> bool {
    body == expected_body(request_id, request_body, body.len())
}

/// Returns the id of the nested call at `depth` that an upstream makes while it serves a request.
/// It is a UUID, as nodes accept no other ids.
pub fn nested_id(request_id: &str, depth: u32) -> String {
    Uuid::from_u128(xxh3_128(format!("{request_id}.{depth}").as_bytes())).to_string()
}
