//! Idempotency keys sent by clients.

use std::time::{Duration, SystemTime};

use serde::{Deserialize, Serialize};
use uuid::Uuid;
use xxhash_rust::xxh3::{xxh3_64, xxh3_128};

/// Longest key accepted, in bytes.
pub const MAX_KEY_BYTES: usize = 128;

/// An idempotency key, held as a hash, with its creation time if it is a UUIDv7.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct IdempotencyKey {
    hash: u128,
    created_ms: Option<u64>,
}

impl IdempotencyKey {
    /// Parses a header value; returns `None` when it is empty, too long or not visible ASCII.
    ///
    /// `scope` is the service and kind, so that equal keys of different kinds differ.
    pub fn parse(scope: &str, text: &str) -> Option<Self> {
        let visible = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_KEY_BYTES || !visible {
            return None;
        }
        let mut buf = Vec::with_capacity(scope.len() + 1 + text.len());
        buf.extend_from_slice(scope.as_bytes());
        buf.push(0);
        buf.extend_from_slice(text.as_bytes());
        Some(Self { hash: xxh3_128(&buf), created_ms: created_ms(text) })
    }

    /// Returns when the client created the key; known only for UUIDv7 keys.
    pub fn created(&self) -> Option<SystemTime> {
        self.created_ms.map(|ms| SystemTime::UNIX_EPOCH + Duration::from_millis(ms))
    }

    /// Returns the rendezvous score of `candidate` for this key; the highest score wins.
    pub fn score(&self, candidate: &str) -> u64 {
        let mut buf = Vec::with_capacity(16 + candidate.len());
        buf.extend_from_slice(&self.hash.to_le_bytes());
        buf.extend_from_slice(candidate.as_bytes());
        xxh3_64(&buf)
    }
}

fn created_ms(text: &str) -> Option<u64> {
    let uuid = Uuid::try_parse(text).ok()?;
    let (secs, nanos) = match uuid.get_version_num() {
        7 => uuid.get_timestamp()?.to_unix(),
        _ => return None,
    };
    Some(secs * 1_000 + u64::from(nanos) / 1_000_000)
}
