//! Request ids.

use std::{fmt, sync::Arc};

use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// Longest id accepted, in bytes.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

/// End-to-end id of a request, chosen by the client, or by its node when the client sends none.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RequestId {
    /// A UUID in lower-case hyphenated form, held without an allocation.
    Uuid(Uuid),
    /// Any other visible ASCII text.
    Text(Arc<str>),
}

impl RequestId {
    /// Parses an id; returns `None` when it is empty, too long or not visible ASCII.
    pub fn parse(text: &str) -> Option<Self> {
        let visible = text.bytes().all(|b| b.is_ascii_graphic());
        if text.is_empty() || text.len() > MAX_REQUEST_ID_BYTES || !visible {
            return None;
        }
        let uuid = Uuid::try_parse(text).ok().map(Self::Uuid).filter(|id| id.is(text));
        Some(uuid.unwrap_or_else(|| Self::Text(text.into())))
    }

    /// Returns whether `text` equals this id byte for byte.
    pub fn is(&self, text: &str) -> bool {
        match self {
            Self::Uuid(id) => *id.hyphenated().encode_lower(&mut Uuid::encode_buffer()) == *text,
            Self::Text(id) => **id == *text,
        }
    }
}

impl From<Uuid> for RequestId {
    fn from(id: Uuid) -> Self {
        Self::Uuid(id)
    }
}

impl fmt::Display for RequestId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Uuid(id) => id.fmt(f),
            Self::Text(id) => f.write_str(id),
        }
    }
}
