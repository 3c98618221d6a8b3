//! Messages between nodes that carry a body: an encoded head, and behind it the body's bytes as they
//! are held.

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use oleandertiller_mesh::memory_budget::Share;
use oleandertiller_model::codec;
use serde::{Serialize, de::DeserializeOwned};

use super::{
    body::{Body, BodyBuilder, BodyLimits},
    http::join_small_body,
};
use crate::node::inner::MessageError;

/// Largest encoded head, in bytes; those of requests and responses are limited to 64 KiB.
const MAX_HEAD_BYTES: usize = 256 << 10;

/// Size of the prefix with the lengths of the head (4 bytes) and of the body (8 bytes).
const PREFIX_BYTES: usize = 12;

/// Encodes a message as the parts to send; a body that is not small is not copied.
pub fn encode<T: Serialize>(message: &T, body: &Body) -> Vec<Bytes> {
    let encoded = codec::encode(message);
    let mut head = Vec::with_capacity(PREFIX_BYTES + encoded.len());
    head.extend_from_slice(&(encoded.len() as u32).to_le_bytes());
    head.extend_from_slice(&(body.len() as u64).to_le_bytes());
    head.extend_from_slice(&encoded);
    let rest = join_small_body(&mut head, body);
    let mut parts = vec![Bytes::from(head)];
    parts.extend_from_slice(rest);
    parts
}

/// Reads a message; its body is in the account of `limits`.
///
/// # Errors
///
/// Returns [`MessageError`] when it breaks, is malformed or too large, or has no memory.
pub async fn read<T: DeserializeOwned>(
    stream: &mut RecvStream,
    limits: &BodyLimits,
) -> Result<(T, Body), MessageError> {
    let mut head = Bytes::new();
    let (head_len, body_len) = loop {
        let data = next_data(stream).await?.ok_or(MessageError::Broken)?;
        release(stream, data.len());
        head = if head.is_empty() { data } else { join(&head, &data) };
        if let Some((head_len, body_len)) = lengths(&head) {
            if head_len > MAX_HEAD_BYTES || body_len > limits.max() as u64 {
                return Err(MessageError::TooLarge);
            }
            if head.len() >= PREFIX_BYTES + head_len {
                break (head_len, body_len as usize);
            }
        }
    };
    let rest = head.split_off(PREFIX_BYTES + head_len);
    let message = codec::decode(&head[PREFIX_BYTES..]).map_err(|_| MessageError::Malformed)?;
    let body = read_body(stream, rest, body_len, limits).await?;
    Ok((message, body))
}

async fn read_body(
    stream: &mut RecvStream,
    first: Bytes,
    len: usize,
    limits: &BodyLimits,
) -> Result<Body, MessageError> {
    if first.len() > len {
        return Err(MessageError::Malformed);
    }
    if first.len() == len
        && let Some(bytes) = limits.hold_now(first.clone(), Share::Small)
    {
        return Ok(bytes.into());
    }
    let no_memory = |_| MessageError::TooLarge;
    let mut body = BodyBuilder::new(limits, len);
    body.append(&first).await.map_err(no_memory)?;
    while body.received() < len {
        let data = next_data(stream).await?.ok_or(MessageError::Broken)?;
        if data.len() > len - body.received() {
            return Err(MessageError::Malformed);
        }
        body.append(&data).await.map_err(no_memory)?;
        // Only now, so that the peer pauses while there is no memory.
        release(stream, data.len());
    }
    Ok(body.finish())
}

async fn next_data(stream: &mut RecvStream) -> Result<Option<Bytes>, MessageError> {
    stream.data().await.transpose().map_err(|_| MessageError::Broken)
}

fn release(stream: &mut RecvStream, len: usize) {
    // An error means that the stream has ended.
    let _ = stream.flow_control().release_capacity(len);
}

fn lengths(head: &[u8]) -> Option<(usize, u64)> {
    let (head_len, rest) = head.split_first_chunk::<4>()?;
    let (body_len, _) = rest.split_first_chunk::<8>()?;
    Some((u32::from_le_bytes(*head_len) as usize, u64::from_le_bytes(*body_len)))
}

fn join(one: &[u8], other: &[u8]) -> Bytes {
    let mut joined = BytesMut::with_capacity(one.len() + other.len());
    joined.extend_from_slice(one);
    joined.extend_from_slice(other);
    joined.freeze()
}
