//! Encoding of messages between nodes: `bincode` with a size limit.

use bincode::config::{Configuration, Limit, LittleEndian, Varint};
use serde::{Serialize, de::DeserializeOwned};

/// Version of the protocol between nodes; a node rejects messages of any other version.
pub const PROTOCOL_VERSION: u16 = 2;

/// Largest encoded message, in bytes; leaves headroom over an intent document of 1 MB.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Why a message could not be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CodecError {
    /// The bytes are not a message of the expected type, or it is over the size limit.
    Malformed,
    /// Bytes are left over after the message.
    TrailingBytes,
}

fn config() -> Configuration<LittleEndian, Varint, Limit<MAX_MESSAGE_BYTES>> {
    bincode::config::standard().with_limit::<MAX_MESSAGE_BYTES>()
}

/// Returns `value` encoded, without a length prefix.
///
/// # Panics
///
/// Panics when `value` is over [`MAX_MESSAGE_BYTES`] or its type cannot be encoded. Either is a
/// programming error, independent of external input.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    bincode::serde::encode_to_vec(value, config())
        .expect("value has an encodable type and fits MAX_MESSAGE_BYTES")
}

/// Decodes a message that fills `buf`.
///
/// # Errors
///
/// Returns [`CodecError`] when `buf` does not hold exactly one message.
pub fn decode<T: DeserializeOwned>(buf: &[u8]) -> Result<T, CodecError> {
    match bincode::serde::decode_from_slice(buf, config()) {
        Ok((value, used)) if used == buf.len() => Ok(value),
        Ok(_) => Err(CodecError::TrailingBytes),
        Err(_) => Err(CodecError::Malformed),
    }
}
