//! Idle connections to the local upstream, and request exchanges on them.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use bytes::Bytes;
use futures_util::future::{Either, select};
use oleandertiller_mesh::upstream::Incarnation;
use oleandertiller_model::ErrorKind;
use oleandertiller_platform::header;

use super::{
    body::{Body, BodyLimits},
    http::{
        Framing, HttpConn, HttpError, ResponseHead, announces_forbidden_body, encode_request,
        response_framing, write_message,
    },
    message::Response,
};

/// Longest idle time that is taken from an upstream: adding a longer one to the clock could overflow.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Idle time after which a connection is not reused if the upstream states no keep-alive timeout.
/// Servers commonly close after 5 s.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time before the upstream's keep-alive timeout from which a connection is not reused, so that a
/// request does not race with the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// Maximum number of idle connections in the pool.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Maximum size of a response head, in bytes. Also limits the body of a health check's response.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Maximum number of responses read for one request; if none has its id, the connection is closed.
const MAX_RESPONSES_READ: usize = 4;

struct IdleConn {
    conn: HttpConn,
    /// Upstream that the connection leads to.
    upstream: Incarnation,
    until: Instant,
}

/// Pool of idle connections, the most recently used last.
#[derive(Default)]
pub struct Pool(Mutex<Vec<IdleConn>>);

/// A connection for a request, taken from the pool or new.
pub struct PooledConn {
    /// Open connection to the upstream.
    pub conn: HttpConn,
    /// Whether it comes from the pool, so that the upstream may have closed it meanwhile.
    pub reused: bool,
}

impl Pool {
    /// Returns an open idle connection to the upstream, if there is one, and closes those to earlier
    /// upstreams at its address.
    pub fn take(&self, upstream: &Incarnation, now: Instant) -> Option<PooledConn> {
        let mut idle = self.lock();
        idle.retain(|idle| idle.until > now && idle.upstream == *upstream);
        while let Some(idle) = idle.pop() {
            if idle.conn.is_idle_and_open() {
                return Some(PooledConn { conn: idle.conn, reused: true });
            }
        }
        None
    }

    /// Adds a connection that may be reused until `until`, unless the pool is full.
    pub fn put(&self, conn: HttpConn, upstream: &Incarnation, until: Instant) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConn { conn, upstream: upstream.clone(), until });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConn>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A complete response, and its connection if that can be reused.
pub struct Exchange {
    /// Response with the id of the request.
    pub response: Response,
    /// The connection and how long it may idle, if it can be reused.
    pub conn: Option<(HttpConn, Duration)>,
}

/// Failure of an exchange.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExchangeError {
    /// Error that the request ends with.
    pub why: ErrorKind,
    /// Whether the head of a response had been read.
    pub response_started: bool,
}

/// Writes a request, whose body may follow its encoded head in parts, and reads its complete
/// response.
///
/// A connection is not reused if the response arrives before the request is written completely,
/// since the upstream may still wait for the rest, or if a body may follow that the status rules out.
/// Such an early response counts only if its framing shows that it is complete: when the upstream
/// resets the connection, the failed write takes the socket's error, and the reader sees an ordinary
/// end of the connection.
///
/// Responses with another id belong to earlier requests and are skipped; so are refusals without an
/// id on a connection that was used before, which may be those of earlier requests.
///
/// # Errors
///
/// Returns how the exchange failed; the request may have run.
pub async fn exchange(
    pooled: PooledConn,
    head: &[u8],
    body: &[Bytes],
    id: &str,
    limits: &BodyLimits,
) -> Result<Exchange, ExchangeError> {
    let PooledConn { mut conn, reused } = pooled;
    let mut writer = conn.writer();
    let lost = ExchangeError { why: ErrorKind::ConnectionLost, response_started: false };
    let truncated = ExchangeError { why: ErrorKind::TruncatedAnswer, response_started: true };
    let write = Box::pin(async move { write_message(&mut writer, head, body).await });
    let read = Box::pin(read_response_to(&mut conn, id, reused, limits));
    let (result, written) = match select(write, read).await {
        Either::Left((Ok(()), read)) => (read.await, true),
        Either::Left((Err(error), read)) => {
            log::info!(id = id, error:% = error;
                "upstream closed the connection while the request was being written");
            let result = match read.await {
                Ok((head, _)) if ends_with_connection(&head) => Err(truncated),
                result => result.map_err(|_| lost),
            };
            (result, false)
        }
        Either::Right((result, _)) => (result, false),
    };
    let (head, body) = result?;
    let keep = written && !head.close && !conn.has_input() && has_delimited_body(&head);
    let idle = idle_time(&head);
    let response = Response { status: head.status, headers: head.headers, body };
    Ok(Exchange { response, conn: keep.then_some((conn, idle)) })
}

fn has_delimited_body(head: &ResponseHead) -> bool {
    !ends_with_connection(head) && !announces_forbidden_body(head.status, &head.headers)
}

/// Returns whether only the end of the connection tells where the body ends.
fn ends_with_connection(head: &ResponseHead) -> bool {
    matches!(response_framing(head.status, &head.headers), Ok(Framing::UntilClose) | Err(_))
}

/// Returns how long a connection may idle after a response.
fn idle_time(head: &ResponseHead) -> Duration {
    let timeout = head.headers.get("keep-alive").and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    timeout.map_or(DEFAULT_IDLE_TIMEOUT, |timeout| {
        timeout.min(MAX_IDLE_TIMEOUT).saturating_sub(IDLE_TIMEOUT_MARGIN)
    })
}

async fn read_response_to(
    conn: &mut HttpConn,
    id: &str,
    reused: bool,
    limits: &BodyLimits,
) -> Result<(ResponseHead, Body), ExchangeError> {
    for _ in 0..MAX_RESPONSES_READ {
        let head = conn
            .read_response(MAX_HEAD_BYTES)
            .await
            .map_err(|error| exchange_error(error, false))?;
        let framing = response_framing(head.status, &head.headers);
        let framing = framing.map_err(|error| exchange_error(error, true))?;
        let body = conn
            .read_limited_body(framing, limits)
            .await
            .map_err(|error| exchange_error(error, true))?;
        match head.headers.get(header::REQUEST_ID) {
            Some(echoed) if echoed == id => return Ok((head, body)),
            // An upstream may refuse a request without having read its id.
            None if !reused && head.headers.get(header::NOT_RUN).is_some() => {
                return Ok((head, body));
            }
            None if !reused && head.status == header::STATUS_MISDIRECTED => {
                return Ok((head, body));
            }
            _ => log::info!(id = id, other = head.headers.get(header::REQUEST_ID).unwrap_or("");
                "skipped response to another request"),
        }
    }
    Err(ExchangeError { why: ErrorKind::MismatchedAnswer, response_started: false })
}

fn exchange_error(error: HttpError, response_started: bool) -> ExchangeError {
    let why = match error {
        HttpError::Closed => ErrorKind::ConnectionLost,
        HttpError::InvalidStatus => ErrorKind::InvalidStatus,
        HttpError::Broken if !response_started => ErrorKind::ConnectionLost,
        _ => ErrorKind::TruncatedAnswer,
    };
    ExchangeError { why, response_started }
}

/// Makes a health check; returns the head of its response.
///
/// # Errors
///
/// Returns [`HttpError`] if there is no valid response.
pub async fn request_health(
    conn: &mut HttpConn,
    path: &str,
    host: SocketAddr,
) -> Result<ResponseHead, HttpError> {
    let mut headers = super::http::Headers::default();
    headers.set("Host", host.to_string());
    conn.write(&encode_request("GET", path, &headers, &[])).await?;
    let head = conn.read_response(MAX_HEAD_BYTES).await?;
    let framing = response_framing(head.status, &head.headers)?;
    conn.read_body(framing, MAX_HEAD_BYTES).await?;
    Ok(head)
}
