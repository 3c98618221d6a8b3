//! Connections to the upstream beside the node, and one request on one of them.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use futures_util::{
    AsyncWriteExt,
    future::{Either, select},
};
use oleandertiller_model::ErrorKind;
use oleandertiller_platform::header;

use super::{
    http::{HttpConn, HttpError, ResponseHead, encode_request, response_framing},
    message::Response,
};

/// Idle time after which a connection is not used again if the upstream names no time-out. Servers
/// commonly close after 5 s.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Time before the upstream's own time-out at which a connection is given up, so that a request
/// does not meet the close.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Most idle connections kept.
const IDLE_MAX: usize = 64;

/// Largest head of an answer, in bytes.
const HEAD_MAX_BYTES: usize = 64 << 10;

/// Answers to other requests that are passed over before a connection is given up.
const STRAY_ANSWERS: usize = 4;

struct Idle {
    conn: HttpConn,
    address: SocketAddr,
    until: Instant,
}

/// Idle connections, the most recently used last.
#[derive(Default)]
pub struct Pool(Mutex<Vec<Idle>>);

/// A connection on its way to a request, and whether it has carried others.
pub struct Taken {
    /// The connection.
    pub conn: HttpConn,
    /// Whether the upstream may have closed it in the meantime.
    pub reused: bool,
}

impl Pool {
    /// Returns an open idle connection, if there is one.
    pub fn take(&self, address: SocketAddr, now: Instant) -> Option<Taken> {
        let mut idle = self.lock();
        idle.retain(|idle| idle.until > now && idle.address == address);
        while let Some(idle) = idle.pop() {
            if idle.conn.is_idle_and_open() {
                return Some(Taken { conn: idle.conn, reused: true });
            }
        }
        None
    }

    /// Keeps a connection until `until`.
    pub fn put(&self, conn: HttpConn, address: SocketAddr, until: Instant) {
        let mut idle = self.lock();
        if idle.len() < IDLE_MAX {
            idle.push(Idle { conn, address, until });
        }
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A whole answer, and until when its connection may be used again.
pub struct Exchanged {
    /// The answer.
    pub answer: Response,
    /// The connection, if it can be kept.
    pub conn: Option<(HttpConn, Duration)>,
}

/// How an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failed {
    /// Why.
    pub why: ErrorKind,
    /// Whether any byte of an answer to the request had come.
    pub begun: bool,
}

/// Writes a request and reads its whole answer.
///
/// An answer that comes before the request is written whole ends the use of the connection, since
/// the upstream may still wait for the rest. Answers with another id belong to earlier requests
/// and are passed over.
///
/// # Errors
///
/// Returns how the exchange failed; the request may have run.
pub async fn exchange(
    mut conn: HttpConn,
    request: &[u8],
    id: &str,
    body_max: usize,
) -> Result<Exchanged, Failed> {
    let mut writer = conn.writer();
    let lost = Failed { why: ErrorKind::ConnectionLost, begun: false };
    let write = Box::pin(async move { writer.write_all(request).await });
    let read = Box::pin(read_answer(&mut conn, id, body_max));
    let (result, written) = match select(write, read).await {
        Either::Left((Ok(()), read)) => (read.await, true),
        // What the upstream said before it stopped reading still counts.
        Either::Left((Err(_), read)) => (read.await.map_err(|_| lost), false),
        Either::Right((result, _)) => (result, false),
    };
    let (head, body) = result?;
    let keep = written && !head.close && !conn.has_input() && has_length(&head);
    let idle = idle_time(&head);
    let answer = Response { status: head.status, headers: head.headers, body };
    Ok(Exchanged { answer, conn: keep.then_some((conn, idle)) })
}

fn has_length(head: &ResponseHead) -> bool {
    use super::http::Framing;
    !matches!(response_framing(head.status, &head.headers), Ok(Framing::UntilClose) | Err(_))
}

/// Returns how long a connection may idle after an answer.
fn idle_time(head: &ResponseHead) -> Duration {
    let named = head.headers.get("keep-alive").and_then(|value| {
        let timeout = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
        timeout.trim().parse().ok().map(Duration::from_secs)
    });
    named.map_or(IDLE_DEFAULT, |named| named.saturating_sub(IDLE_MARGIN))
}

async fn read_answer(
    conn: &mut HttpConn,
    id: &str,
    body_max: usize,
) -> Result<(ResponseHead, Vec<u8>), Failed> {
    for _ in 0..STRAY_ANSWERS {
        let head =
            conn.read_response(HEAD_MAX_BYTES).await.map_err(|error| failed(error, false))?;
        let framing = response_framing(head.status, &head.headers);
        let framing = framing.map_err(|error| failed(error, true))?;
        let body = conn.read_body(framing, body_max).await.map_err(|error| failed(error, true))?;
        match head.headers.get(header::REQUEST_ID) {
            Some(echoed) if echoed == id => return Ok((head, body)),
            // An upstream that refuses a request may do so without having read its id.
            None if head.headers.get(header::NOT_RUN).is_some() => return Ok((head, body)),
            None if head.status == header::STATUS_MISDIRECTED => return Ok((head, body)),
            _ => log::info!(id = id, other = head.headers.get(header::REQUEST_ID).unwrap_or("");
                "answer to another request passed over"),
        }
    }
    Err(Failed { why: ErrorKind::MismatchedAnswer, begun: false })
}

fn failed(error: HttpError, begun: bool) -> Failed {
    let why = match error {
        HttpError::Closed => ErrorKind::ConnectionLost,
        HttpError::Broken if !begun => ErrorKind::ConnectionLost,
        _ => ErrorKind::TruncatedAnswer,
    };
    Failed { why, begun }
}

/// Asks the upstream for its health; returns the head of its answer.
///
/// # Errors
///
/// Returns why there is none.
pub async fn health(
    conn: &mut HttpConn,
    path: &str,
    host: SocketAddr,
) -> Result<ResponseHead, HttpError> {
    let mut headers = super::http::Headers::default();
    headers.set("Host", host.to_string());
    conn.write(&encode_request("GET", path, &headers, &[])).await?;
    let head = conn.read_response(HEAD_MAX_BYTES).await?;
    let framing = response_framing(head.status, &head.headers)?;
    conn.read_body(framing, HEAD_MAX_BYTES).await?;
    Ok(head)
}
