//! Encoding and writing of messages.

use std::io;

use async_std::net::TcpStream;
use bytes::Bytes;
use futures_util::AsyncWriteExt;

use super::{Headers, has_body};
use crate::mesh::body::Body;

/// Capacity for an encoded head of usual size, in bytes.
const HEAD_CAPACITY: usize = 512;

/// Longest body that is copied behind its head, in bytes, so that both take one system call.
const MAX_INLINE_BODY_BYTES: usize = 8 << 10;

/// Writes the parts of a message.
///
/// # Errors
///
/// Returns the system's error when the connection is broken.
pub async fn write_message(stream: &mut TcpStream, head: &[u8], body: &[Bytes]) -> io::Result<()> {
    stream.write_all(head).await?;
    for chunk in body {
        stream.write_all(chunk).await?;
    }
    Ok(())
}

/// Appends a small body to its encoded head; returns what is to be written after the head.
pub fn join_small_body<'a>(head: &mut Vec<u8>, body: &'a Body) -> &'a [Bytes] {
    if body.len() > MAX_INLINE_BODY_BYTES {
        return body.chunks();
    }
    for chunk in body.chunks() {
        head.extend_from_slice(chunk);
    }
    &[]
}

/// Encodes a request with its body.
pub fn encode_request(method: &str, target: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let mut buf = encode_request_head(method, target, headers, body.len());
    buf.extend_from_slice(body);
    buf
}

/// Encodes the head of a request with a body of `body_len` bytes.
pub fn encode_request_head(
    method: &str,
    target: &str,
    headers: &Headers,
    body_len: usize,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEAD_CAPACITY + body_len.min(MAX_INLINE_BODY_BYTES));
    buf.extend_from_slice(method.as_bytes());
    buf.push(b' ');
    buf.extend_from_slice(target.as_bytes());
    buf.extend_from_slice(b" HTTP/1.1\r\n");
    headers.encode_to(&mut buf);
    if body_len > 0 || !matches!(method, "GET" | "HEAD" | "DELETE") {
        buf.extend_from_slice(format!("Content-Length: {body_len}\r\n").as_bytes());
    }
    buf.extend_from_slice(b"\r\n");
    buf
}

/// Encodes a response with its body.
pub fn encode_response(status: u16, headers: &Headers, body: &[u8], close: bool) -> Vec<u8> {
    let mut buf = encode_response_head(status, headers, body.len(), close);
    if has_body(status) {
        buf.extend_from_slice(body);
    }
    buf
}

/// Encodes the head of a response with a body of `body_len` bytes.
pub fn encode_response_head(
    status: u16,
    headers: &Headers,
    body_len: usize,
    close: bool,
) -> Vec<u8> {
    let mut buf = Vec::with_capacity(HEAD_CAPACITY + body_len.min(MAX_INLINE_BODY_BYTES));
    let reason = http::StatusCode::from_u16(status).ok().and_then(|code| code.canonical_reason());
    buf.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason.unwrap_or("-")).as_bytes());
    headers.encode_to(&mut buf);
    if close {
        buf.extend_from_slice(b"Connection: close\r\n");
    }
    if has_body(status) {
        buf.extend_from_slice(format!("Content-Length: {body_len}\r\n").as_bytes());
    }
    buf.extend_from_slice(b"\r\n");
    buf
}
