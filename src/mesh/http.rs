//! Strict reading and writing of HTTP/1.1 messages on one connection.
//!
//! Input after a message stays in the buffer, so that bytes that belong to no message are detected.
//! A body is read completely before it is passed on.

mod encode;
mod read_body;

use std::{io, net::SocketAddr, ops::RangeInclusive, sync::Arc};

use async_std::net::TcpStream;
use bytes::Bytes;
use futures_util::{AsyncReadExt, AsyncWriteExt, FutureExt};
use oleandertiller_mesh::memory_budget::Activity;
use serde::{Deserialize, Serialize};

pub use self::encode::{
    encode_request, encode_request_head, encode_response, encode_response_head, join_small_body,
    write_message,
};
use super::memory::{ClientEntry, ClientGuard};
use crate::node::inner::configure_socket;

/// Maximum number of headers of a message; one with more is rejected.
const MAX_HEADERS: usize = 96;

/// Size of the input buffer of an idle connection, in bytes. A head of usual size fits; thousands of
/// connections may be idle.
const IDLE_INPUT_BYTES: usize = 2 << 10;

/// Times that the account counts a large input buffer: the head in it is copied when it is parsed,
/// and once more for the upstream.
const HEAD_COPIES: usize = 3;

/// Maximum input that is buffered while waiting for the close of the connection, in bytes.
const MAX_READ_AHEAD_BYTES: usize = 64 << 10;

/// Maximum input that is read and discarded before a close, in bytes.
const MAX_DISCARDED_BYTES: usize = 256 << 10;

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
    /// The account has no memory for the message.
    NoMemory,
}

impl From<io::Error> for HttpError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::OutOfMemory => Self::NoMemory,
            _ => Self::Broken,
        }
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
    /// Buffer for input; the bytes from `start` to `end` have not been consumed.
    input: Vec<u8>,
    start: usize,
    end: usize,
    client: Option<ClientGuard>,
}

impl HttpConn {
    /// Wraps an open connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error when its options cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        configure_socket(&stream)?;
        Ok(Self { stream, input: Vec::new(), start: 0, end: 0, client: None })
    }

    /// Sets the registration of a client connection, whose buffers are in the memory account.
    pub fn with_client(mut self, client: ClientGuard) -> Self {
        self.client = Some(client);
        self
    }

    /// Returns the entry of a client connection.
    pub fn client(&self) -> Option<&Arc<ClientEntry>> {
        self.client.as_ref().map(ClientGuard::entry)
    }

    /// Records what a client connection does from now on.
    pub fn set_activity(&self, activity: Activity) {
        if let Some(client) = self.client() {
            client.on_progress(activity, 0);
        }
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
        !self.has_input() && self.stream.peek(&mut [0]).now_or_never().is_none()
    }

    /// Returns whether the buffer holds bytes after the last message that was read.
    pub fn has_input(&self) -> bool {
        self.start < self.end
    }

    /// Waits until there is input; returns `false` at the end of the connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection is broken.
    pub async fn wait_for_input(&mut self) -> io::Result<bool> {
        self.shrink_input();
        Ok(self.has_input() || self.fill().await? > 0)
    }

    /// Waits until the peer has closed the connection or it has broken. Input is buffered
    /// meanwhile; once the buffer is full, the wait never ends.
    pub async fn wait_for_close(&mut self) {
        while self.end - self.start < MAX_READ_AHEAD_BYTES {
            match self.fill().await {
                Ok(1..) => {}
                Err(error) if error.kind() == io::ErrorKind::OutOfMemory => break,
                _ => return,
            }
        }
        std::future::pending::<()>().await;
    }

    /// Reads and discards a limited amount of input until the peer has closed the connection. Beyond
    /// that amount, the wait never ends.
    pub async fn discard_until_close(&mut self) {
        let mut discarded = 0;
        while discarded < MAX_DISCARDED_BYTES {
            self.start = self.end;
            match self.fill().await {
                Ok(read @ 1..) => discarded += read,
                _ => return,
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
            if let Some((head, len)) = parse_request(&self.input[self.start..self.end])? {
                self.start += len;
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
            match parse_response(&self.input[self.start..self.end])? {
                Some((head, len)) => {
                    self.start += len;
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
        if self.end - self.start > max {
            return Err(HttpError::HeadTooLarge);
        }
        match self.fill().await {
            Ok(1..) => Ok(()),
            Ok(0) if !started => Err(HttpError::Closed),
            Err(error) => Err(error.into()),
            Ok(0) => Err(HttpError::Broken),
        }
    }

    /// Reads more input; returns the number of bytes, or 0 at the end of the connection. May be
    /// cancelled without loss of input.
    async fn fill(&mut self) -> io::Result<usize> {
        if self.start == self.end {
            (self.start, self.end) = (0, 0);
        }
        if self.end == self.input.len() && self.start > 0 {
            self.input.copy_within(self.start..self.end, 0);
            (self.start, self.end) = (0, self.end - self.start);
        }
        if self.end == self.input.len() {
            self.grow_input((2 * self.input.len()).max(IDLE_INPUT_BYTES), HEAD_COPIES)?;
        }
        let read = self.stream.read(&mut self.input[self.end..]).await?;
        self.end += read;
        Ok(read)
    }

    /// Makes the input buffer at least `size` bytes large; the account counts it `copies` times.
    fn grow_input(&mut self, size: usize, copies: usize) -> io::Result<()> {
        if size <= self.input.len() {
            return Ok(());
        }
        if let Some(client) = &mut self.client
            && size > IDLE_INPUT_BYTES
            && !client.try_resize(copies * size)
        {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.input.reserve_exact(size - self.input.len());
        self.input.resize(size, 0);
        Ok(())
    }

    /// Returns the memory of a large input buffer that is empty.
    fn shrink_input(&mut self) {
        if self.has_input() || self.input.len() <= IDLE_INPUT_BYTES {
            return;
        }
        self.input = Vec::new();
        (self.start, self.end) = (0, 0);
        if let Some(client) = &mut self.client {
            client.try_resize(0);
        }
    }

    /// Writes all bytes.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await
    }

    /// Writes a message that is in two parts, as [`join_small_body`] returns them.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection is broken.
    pub async fn write_message(&mut self, head: &[u8], body: &[Bytes]) -> io::Result<()> {
        write_message(&mut self.stream, head, body).await
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

/// Returns whether responses with a status have a body.
pub fn has_body(status: u16) -> bool {
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
