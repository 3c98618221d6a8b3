//! Strict reading and writing of HTTP/1.1 messages on one connection.
//!
//! Input after a message stays in the buffer, so that bytes that belong to no message are detected.
//! A body is read completely before it is passed on.

use std::{io, net::SocketAddr, ops::RangeInclusive};

use async_std::net::TcpStream;
use futures_util::{AsyncReadExt, AsyncWriteExt, FutureExt};
use serde::{Deserialize, Serialize};

use crate::node::inner::configure_socket;

/// Maximum number of headers of a message; one with more is rejected.
const MAX_HEADERS: usize = 96;

/// Size of the buffer for one read, in bytes.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Maximum input that is buffered while waiting for the close of the connection, in bytes.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Maximum length of the line with a chunk's size, in bytes; it may have extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Maximum length of all trailer lines after a chunked body, in bytes.
const MAX_TRAILER_BYTES: usize = 8 << 10;

/// Maximum number of interim responses before the response. Without a limit, a peer that sends them
/// at full speed would keep the executor busy for as long as it likes.
const MAX_INTERIM_RESPONSES: usize = 8;

/// Headers that concern only one connection.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Status codes of final responses. Any other one, apart from those of interim responses, is invalid.
pub const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Status of a change of the protocol. It is a final response to a request for the change, which
/// nodes never send, so it is invalid here, and what follows it on the connection is not HTTP.
const STATUS_SWITCHING_PROTOCOLS: u16 = 101;

/// Why a message could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// The connection ended where a message could have begun.
    Closed,
    /// The connection broke or ended within a message.
    Broken,
    /// The bytes are not a valid message.
    Malformed,
    /// The status of a response is invalid.
    InvalidStatus,
    /// The head is over its limit.
    HeadTooLarge,
    /// The body is over its limit.
    BodyTooLarge,
}

impl From<io::Error> for HttpError {
    fn from(_: io::Error) -> Self {
        Self::Broken
    }
}

/// Headers of a message, in their order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Headers(Vec<(String, Vec<u8>)>);

impl Headers {
    /// Returns the first value of a header as text.
    pub fn get(&self, name: &str) -> Option<&str> {
        let (_, value) = self.0.iter().find(|(header, _)| header.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(value).ok().map(str::trim)
    }

    /// Returns all values of a header as text.
    pub fn get_all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        let found = self.0.iter().filter(move |(header, _)| header.eq_ignore_ascii_case(name));
        found.filter_map(|(_, value)| std::str::from_utf8(value).ok().map(str::trim))
    }

    /// Sets a header and removes its earlier values.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.0.push((name.to_owned(), value.into()));
    }

    /// Removes a header.
    pub fn remove(&mut self, name: &str) {
        self.0.retain(|(header, _)| !header.eq_ignore_ascii_case(name));
    }

    /// Returns the length of all names and values, in bytes.
    pub fn size(&self) -> usize {
        self.0.iter().map(|(name, value)| name.len() + value.len()).sum()
    }

    /// Removes the headers that concern only one connection, including those that `Connection`
    /// lists.
    pub fn remove_hop_by_hop(&mut self) {
        let connection_headers: Vec<String> = self
            .get_all("connection")
            .flat_map(|value| value.split(','))
            .map(|name| name.trim().to_ascii_lowercase())
            .collect();
        self.0.retain(|(name, _)| {
            let name = name.to_ascii_lowercase();
            !HOP_BY_HOP.contains(&name.as_str()) && !connection_headers.contains(&name)
        });
    }

    /// Returns whether a comma-separated header contains a token.
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.get_all(name).flat_map(|value| value.split(','));
        tokens.any(|found| found.trim().eq_ignore_ascii_case(token))
    }

    fn encode_to(&self, buf: &mut Vec<u8>) {
        for (name, value) in &self.0 {
            buf.extend_from_slice(name.as_bytes());
            buf.extend_from_slice(b": ");
            buf.extend_from_slice(value);
            buf.extend_from_slice(b"\r\n");
        }
    }

    fn from_parsed(parsed: &[httparse::Header<'_>]) -> Self {
        let pair = |h: &httparse::Header<'_>| (h.name.to_owned(), h.value.to_vec());
        Self(parsed.iter().map(pair).collect())
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// HTTP method, as sent.
    pub method: String,
    /// Path and query, unchanged.
    pub target: String,
    /// All headers, including those of the connection.
    pub headers: Headers,
    /// Whether the client wants the connection closed after the response.
    pub close: bool,
}

impl RequestHead {
    /// Returns whether the client waits for an interim response before it sends the body.
    pub fn expects_continue(&self) -> bool {
        self.headers.contains_token("expect", "100-continue")
    }
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// HTTP status code.
    pub status: u16,
    /// All headers, including those of the connection.
    pub headers: Headers,
    /// Whether the connection ends after this response.
    pub close: bool,
}

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length, in bytes.
    Length(u64),
    /// By a chunk of size 0.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A connection that carries one message after the other.
pub struct HttpConn {
    stream: TcpStream,
    read_buf: Box<[u8]>,
    buf: Vec<u8>,
    consumed: usize,
}

impl HttpConn {
    /// Wraps an open connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error when its options cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        configure_socket(&stream)?;
        let read_buf = vec![0; READ_BUFFER_BYTES].into();
        Ok(Self { stream, read_buf, buf: Vec::new(), consumed: 0 })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it cannot be opened.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect(address).await?)
    }

    /// Returns whether an idle connection is open and has no input.
    pub fn is_idle_and_open(&self) -> bool {
        self.consumed == self.buf.len() && self.stream.peek(&mut [0]).now_or_never().is_none()
    }

    /// Returns whether the buffer holds bytes after the last message that was read.
    pub fn has_input(&self) -> bool {
        self.consumed < self.buf.len()
    }

    /// Waits until there is input; returns `false` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection is broken.
    pub async fn wait_for_input(&mut self) -> io::Result<bool> {
        Ok(self.has_input() || self.fill().await? > 0)
    }

    /// Waits until the peer has closed the connection or it has broken. Input is buffered
    /// meanwhile; once the buffer is full, the wait never ends.
    pub async fn wait_for_close(&mut self) {
        while self.buf.len() - self.consumed < MAX_READ_AHEAD_BYTES {
            if !matches!(self.fill().await, Ok(1..)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads the head of a request of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError`] if there is no valid one.
    pub async fn read_request(&mut self, max: usize) -> Result<RequestHead, HttpError> {
        loop {
            if let Some((head, len)) = parse_request(&self.buf[self.consumed..])? {
                self.consumed += len;
                return if len > max { Err(HttpError::HeadTooLarge) } else { Ok(head) };
            }
            self.read_more_head(max).await?;
        }
    }

    /// Reads the head of a response, of which at most `max` bytes are buffered; interim responses
    /// are skipped, except for one that changes the protocol, which is invalid.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError`] if there is no valid one.
    pub async fn read_response(&mut self, max: usize) -> Result<ResponseHead, HttpError> {
        let mut interim_responses = 0;
        loop {
            match parse_response(&self.buf[self.consumed..])? {
                Some((head, len)) => {
                    self.consumed += len;
                    if FINAL_STATUSES.contains(&head.status) {
                        return Ok(head);
                    }
                    if !(100..200).contains(&head.status)
                        || head.status == STATUS_SWITCHING_PROTOCOLS
                    {
                        return Err(HttpError::InvalidStatus);
                    }
                    interim_responses += 1;
                    if interim_responses > MAX_INTERIM_RESPONSES {
                        return Err(HttpError::Malformed);
                    }
                }
                None => self.read_more_head(max).await?,
            }
        }
    }

    async fn read_more_head(&mut self, max: usize) -> Result<(), HttpError> {
        let started = self.has_input();
        if self.buf.len() - self.consumed > max {
            return Err(HttpError::HeadTooLarge);
        }
        match self.fill().await {
            Ok(1..) => Ok(()),
            Ok(0) if !started => Err(HttpError::Closed),
            _ => Err(HttpError::Broken),
        }
    }

    /// Reads a complete body of at most `max` bytes.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError`] if the body is incomplete, malformed or too large.
    pub async fn read_body(&mut self, framing: Framing, max: usize) -> Result<Vec<u8>, HttpError> {
        match framing {
            Framing::Length(len) if len > max as u64 => Err(HttpError::BodyTooLarge),
            Framing::Length(len) => self.read_exact(len as usize).await,
            Framing::Chunked => self.read_chunks(max).await,
            Framing::UntilClose => {
                while self.fill().await? > 0 {
                    if self.buf.len() - self.consumed > max {
                        return Err(HttpError::BodyTooLarge);
                    }
                }
                let rest = self.buf.len() - self.consumed;
                self.read_exact(rest).await
            }
        }
    }

    async fn read_chunks(&mut self, max: usize) -> Result<Vec<u8>, HttpError> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line(MAX_CHUNK_LINE_BYTES).await?;
            let size = line.split(|b| *b == b';').next().unwrap_or_default();
            let size = std::str::from_utf8(size).map_err(|_| HttpError::Malformed)?.trim();
            if size.is_empty() || !size.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(HttpError::Malformed);
            }
            let size = usize::from_str_radix(size, 16).map_err(|_| HttpError::Malformed)?;
            if size > max - body.len() {
                return Err(HttpError::BodyTooLarge);
            }
            if size == 0 {
                break;
            }
            body.extend_from_slice(&self.read_exact(size).await?);
            if self.read_exact(2).await? != b"\r\n" {
                return Err(HttpError::Malformed);
            }
        }
        let mut trailer_bytes = 0;
        loop {
            let line = self.read_line(MAX_TRAILER_BYTES).await?;
            if line.is_empty() {
                return Ok(body);
            }
            trailer_bytes += line.len();
            if trailer_bytes > MAX_TRAILER_BYTES {
                return Err(HttpError::Malformed);
            }
        }
    }

    /// Reads a line and returns it without its line end.
    async fn read_line(&mut self, max: usize) -> Result<Vec<u8>, HttpError> {
        loop {
            let input = &self.buf[self.consumed..];
            if let Some(end) = input.windows(2).position(|pair| pair == b"\r\n") {
                let line = input[..end].to_vec();
                self.consumed += end + 2;
                return Ok(line);
            }
            if input.len() > max {
                return Err(HttpError::Malformed);
            }
            if self.fill().await? == 0 {
                return Err(HttpError::Broken);
            }
        }
    }

    async fn read_exact(&mut self, len: usize) -> Result<Vec<u8>, HttpError> {
        while self.buf.len() - self.consumed < len {
            if self.fill().await? == 0 {
                return Err(HttpError::Broken);
            }
        }
        let bytes = self.buf[self.consumed..self.consumed + len].to_vec();
        self.consumed += len;
        Ok(bytes)
    }

    /// Reads more input; returns the number of bytes, or 0 at the end of the connection.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.consumed > 0 {
            self.buf.drain(..self.consumed);
            self.consumed = 0;
        }
        // Callers may cancel the read: input reaches the buffer only when the read has completed.
        let read = self.stream.read(&mut self.read_buf).await?;
        self.buf.extend_from_slice(&self.read_buf[..read]);
        Ok(read)
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Returns another handle to the socket, for writing while a response is read.
    pub fn writer(&self) -> TcpStream {
        self.stream.clone()
    }

    /// Shuts down the write side, so that the peer reads what was written before the close.
    pub fn shutdown_write(&self) {
        // An error means that the connection is already closed.
        let _ = self.stream.shutdown(std::net::Shutdown::Write);
    }
}

/// Encodes a request with its body.
pub fn encode_request(method: &str, target: &str, headers: &Headers, body: &[u8]) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512 + body.len());
    buf.extend_from_slice(method.as_bytes());
    buf.push(b' ');
    buf.extend_from_slice(target.as_bytes());
    buf.extend_from_slice(b" HTTP/1.1\r\n");
    headers.encode_to(&mut buf);
    if !body.is_empty() || !matches!(method, "GET" | "HEAD" | "DELETE") {
        buf.extend_from_slice(format!("Content-Length: {}\r\n", body.len()).as_bytes());
    }
    buf.extend_from_slice(b"\r\n");
    buf.extend_from_slice(body);
    buf
}

/// Encodes a response with its body.
pub fn encode_response(status: u16, headers: &Headers, body: &[u8], close: bool) -> Vec<u8> {
    let mut buf = Vec::with_capacity(512 + body.len());
    let reason = http::StatusCode::from_u16(status).ok().and_then(|code| code.canonical_reason());
    buf.extend_from_slice(format!("HTTP/1.1 {status} {}\r\n", reason.unwrap_or("-")).as_bytes());
    headers.encode_to(&mut buf);
    if close {
        buf.extend_from_slice(b"Connection: close\r\n");
    }
    if !has_body(status) {
        // A client would take the body for the beginning of the next response.
        buf.extend_from_slice(b"\r\n");
        return buf;
    }
    buf.extend_from_slice(format!("Content-Length: {}\r\n\r\n", body.len()).as_bytes());
    buf.extend_from_slice(body);
    buf
}

/// Returns whether responses with a status have a body.
fn has_body(status: u16) -> bool {
    !matches!(status, 204 | 304)
}

/// Returns whether a response has no body by its status, but its headers announce one that may follow
/// nevertheless.
pub fn announces_forbidden_body(status: u16, headers: &Headers) -> bool {
    let announced = headers.get("transfer-encoding").is_some()
        || headers.get("content-length").is_some_and(|length| length != "0");
    !has_body(status) && announced
}

/// Returns how the end of a request's body is determined.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] when it is ambiguous.
pub fn request_framing(headers: &Headers) -> Result<Framing, HttpError> {
    let length = content_length(headers)?;
    match (headers.get("transfer-encoding"), length) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), _) => Err(HttpError::Malformed),
        (None, length) => Ok(Framing::Length(length.unwrap_or(0))),
    }
}

/// Returns how the end of a response's body is determined.
///
/// # Errors
///
/// Returns [`HttpError::Malformed`] when it is ambiguous.
pub fn response_framing(status: u16, headers: &Headers) -> Result<Framing, HttpError> {
    if !has_body(status) {
        return Ok(Framing::Length(0));
    }
    let length = content_length(headers)?;
    match (headers.get("transfer-encoding"), length) {
        (Some(coding), None) if coding.eq_ignore_ascii_case("chunked") => Ok(Framing::Chunked),
        (Some(_), _) => Err(HttpError::Malformed),
        (None, Some(length)) => Ok(Framing::Length(length)),
        (None, None) => Ok(Framing::UntilClose),
    }
}

fn content_length(headers: &Headers) -> Result<Option<u64>, HttpError> {
    let mut lengths = headers.get_all("content-length");
    let Some(first) = lengths.next() else { return Ok(None) };
    if lengths.any(|other| other != first) || !first.bytes().all(|b| b.is_ascii_digit()) {
        return Err(HttpError::Malformed);
    }
    first.parse().map(Some).map_err(|_| HttpError::Malformed)
}

fn parse_request(buf: &[u8]) -> Result<Option<(RequestHead, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let len = match request.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(httparse::Error::TooManyHeaders) => return Err(HttpError::HeadTooLarge),
        Err(_) => return Err(HttpError::Malformed),
    };
    let (Some(method), Some(target)) = (request.method, request.path) else {
        return Err(HttpError::Malformed);
    };
    let is_http_1_0 = request.version == Some(0);
    let headers = Headers::from_parsed(request.headers);
    let close = headers.contains_token("connection", "close")
        || is_http_1_0 && !headers.contains_token("connection", "keep-alive");
    Ok(Some((RequestHead { method: method.into(), target: target.into(), headers, close }, len)))
}

fn parse_response(buf: &[u8]) -> Result<Option<(ResponseHead, usize)>, HttpError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let len = match response.parse(buf) {
        Ok(httparse::Status::Complete(len)) => len,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(HttpError::Malformed),
    };
    let status = response.code.ok_or(HttpError::Malformed)?;
    let is_http_1_0 = response.version == Some(0);
    let headers = Headers::from_parsed(response.headers);
    let close = headers.contains_token("connection", "close")
        || is_http_1_0 && !headers.contains_token("connection", "keep-alive");
    Ok(Some((ResponseHead { status, headers, close }, len)))
}
