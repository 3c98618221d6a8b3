//! HTTP/1.1 exchange of one request and its answer on a connection to the upstream.

use std::{io::Write, net::SocketAddr, time::Duration};

use async_h1::client;
use bytes::Bytes;
use futures_util::AsyncReadExt;
use oleandertiller_model::{ErrorKind, RequestId, message::CallHead};
use tide::http::{Response, headers::CONTENT_LENGTH};

use crate::node::{config::MAX_HEAD_BYTES, conn::Conn, ingress::request::METHODS};

/// An answer of the upstream, read to its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UpstreamAnswer {
    /// HTTP status of the answer.
    pub status: u16,
    /// `content-type` of the body, if any.
    pub content_type: Option<String>,
    /// Version of the upstream, from the answer's headers.
    pub version: Option<String>,
    /// Body of the answer.
    pub body: Bytes,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// Returns whether `text` is safe to write in a request line or a header.
fn is_header_safe(text: &str) -> bool {
    text.bytes().all(|b| b.is_ascii_graphic() || b == b' ')
}

/// Encodes the head of a request to the upstream.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] when a field of `call` would break the head.
pub fn encode_head(
    call: &CallHead,
    address: SocketAddr,
    remaining: Duration,
    body_len: usize,
) -> Result<Vec<u8>, ErrorKind> {
    let path = upstream_path(call).ok_or(ErrorKind::BadRequest)?;
    let method_valid = METHODS.contains(&call.method.as_str());
    let texts = [Some(path), call.content_type.as_deref(), call.key_text.as_deref()];
    if !method_valid || path.contains(' ') || !texts.iter().flatten().all(|t| is_header_safe(t)) {
        return Err(ErrorKind::BadRequest);
    }
    let mut head = Vec::with_capacity(512 + body_len.min(4096));
    let millis = remaining.as_millis().max(1);
    // The upstream copies the depth to the calls that it makes, so it gets the depth of those.
    let depth = call.depth.saturating_add(1);
    let _ = write!(
        head,
        "{} {path} HTTP/1.1\r\nhost: {address}\r\nx-request-id: {}\r\nx-deadline-ms: {millis}\r\n\
         x-call-depth: {depth}\r\ncontent-length: {body_len}\r\n",
        call.method, call.request,
    );
    if let Some(content_type) = &call.content_type {
        let _ = write!(head, "content-type: {content_type}\r\n");
    }
    if let Some(key) = &call.key_text {
        let _ = write!(head, "idempotency-key: {key}\r\n");
    }
    head.extend_from_slice(b"\r\n");
    Ok(head)
}

/// Returns the path without the segment of the service; `None` if the path does not start with
/// the call's service and kind.
fn upstream_path(call: &CallHead) -> Option<&str> {
    let rest = call.path.strip_prefix('/')?.strip_prefix(call.service.as_str())?;
    let kind = rest.strip_prefix('/')?.strip_prefix(call.kind.as_str())?;
    (kind.is_empty() || kind.starts_with(['/', '?'])).then_some(rest)
}

/// Sends a request and reads its complete answer.
///
/// # Errors
///
/// Returns the kind of the failure; the request may have run.
pub async fn exchange(
    conn: &Conn,
    head: Vec<u8>,
    body: &[u8],
    request: &RequestId,
    body_max: usize,
) -> Result<UpstreamAnswer, ErrorKind> {
    let written = conn.write_message(head, body).await;
    written.map_err(|_| ErrorKind::ConnectionLost)?;
    conn.begin_head(MAX_HEAD_BYTES);
    let decoded = client::decode(conn.clone()).await;
    conn.end_head();
    let mut answer = decoded.map_err(|_| ErrorKind::ConnectionLost)?;
    check_request_id(&answer, request)?;
    let body = read_body(conn, &mut answer, body_max).await?;
    Ok(UpstreamAnswer {
        status: answer.status().into(),
        content_type: header(&answer, "content-type"),
        version: header(&answer, "x-upstream-version"),
        body: body.into(),
        keep_alive: answer.header("connection").is_none_or(|v| v.last().as_str() != "close"),
    })
}

fn header(answer: &Response, name: &str) -> Option<String> {
    answer.header(name).map(|values| values.last().as_str().to_owned())
}

/// Checks that the answer repeats the id of the request.
fn check_request_id(answer: &Response, request: &RequestId) -> Result<(), ErrorKind> {
    let echoed = answer.header("x-request-id").filter(|values| values.iter().count() == 1);
    match echoed {
        Some(values) if request.is(values.last().as_str()) => Ok(()),
        _ => Err(ErrorKind::MismatchedAnswer),
    }
}

async fn read_body(
    conn: &Conn,
    answer: &mut Response,
    body_max: usize,
) -> Result<Vec<u8>, ErrorKind> {
    if let Some(lengths) = answer.header(CONTENT_LENGTH) {
        let single = lengths.iter().count() == 1;
        let len: Option<usize> = lengths.last().as_str().parse().ok();
        let len = len.filter(|len| single && *len <= body_max);
        let len = len.ok_or(ErrorKind::TruncatedAnswer)?;
        return conn.read_body(len).await.map_err(|_| ErrorKind::TruncatedAnswer);
    }
    let bodyless = matches!(u16::from(answer.status()), 204 | 304);
    if bodyless {
        return Ok(Vec::new());
    }
    // Without a length and without chunks, the end of the body looks the same as a broken
    // connection.
    if answer.header("transfer-encoding").is_none_or(|v| v.last().as_str() != "chunked") {
        return Err(ErrorKind::TruncatedAnswer);
    }
    let mut body = Vec::new();
    let mut reader = answer.take_body().into_reader().take(body_max as u64 + 1);
    let read = reader.read_to_end(&mut body).await;
    match read {
        Ok(_) if body.len() <= body_max => Ok(body),
        _ => Err(ErrorKind::TruncatedAnswer),
    }
}
