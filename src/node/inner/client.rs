//! Client side of the inner port: persistent connections to the other nodes.

use std::{
    collections::HashMap,
    future::Future,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock},
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream, task};
use bytes::Bytes;
use h2::{
    Reason, RecvStream,
    client::{Builder, SendRequest},
};
use http::{Method, Request, Uri, uri::PathAndQuery};
use oleandertiller_model::{
    Clock, ErrorKind, Outcome,
    codec::PROTOCOL_VERSION,
    message::{CALL_PATH, CallHead, ReplyHead},
};

use super::{
    CONNECTION_WINDOW_BYTES, MAX_CONTROL_MESSAGE_BYTES, MAX_FRAME_BYTES, MAX_HEADER_LIST_BYTES,
    MAX_RESET_STREAMS, MAX_STREAMS, MessageError, STREAM_WINDOW_BYTES, configure_socket,
    decode_frame, encode_frame, h2_io, read_message,
};
use crate::node::{config::PeerRoutes, timer::Timers};

/// Time that a caller waits beyond the deadline, so that the owner's answer to a request that ran
/// out of time still arrives. Without it the outcome is unknown.
const DEADLINE_GRACE: Duration = Duration::from_millis(25);

type Sender = SendRequest<Bytes>;

/// An open connection.
#[derive(Clone)]
struct PeerConnection {
    /// Identifies the connection among those to the same peer.
    id: u64,
    sender: Sender,
}

/// A peer and the connection to it, if any.
#[derive(Default)]
struct Peer {
    conn: Mutex<Option<PeerConnection>>,
    /// Number of connections opened so far; locked while one is opened.
    opened_count: async_std::sync::Mutex<u64>,
}

impl Peer {
    fn lock(&self) -> MutexGuard<'_, Option<PeerConnection>> {
        self.conn.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the next call open a new connection; calls on the old one continue.
    fn forget(&self, id: u64) {
        let mut conn = self.lock();
        if conn.as_ref().is_some_and(|conn| conn.id == id) {
            conn.take();
        }
    }
}

/// Connections to all peers.
pub struct InnerClient<C> {
    clock: C,
    timers: Timers,
    peers: RwLock<HashMap<SocketAddr, Arc<Peer>>>,
    connect_timeout: Duration,
    body_max: usize,
    call_uri: Uri,
    routes: PeerRoutes,
}

impl<C: Clock> InnerClient<C> {
    /// Creates a client without connections that accepts answers with at most `body_max` bytes of
    /// body.
    pub fn new(clock: C, timers: Timers, connect_timeout: Duration, body_max: usize) -> Self {
        let peers = RwLock::default();
        let (call_uri, routes) = (uri(CALL_PATH), PeerRoutes::default());
        Self { clock, timers, peers, connect_timeout, body_max, call_uri, routes }
    }

    /// Sets the routes to peers that are reached through another address than their own.
    pub fn with_routes(mut self, routes: PeerRoutes) -> Self {
        self.routes = routes;
        self
    }

    /// Sends a call and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended when no valid answer arrived.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &CallHead,
        body: &Bytes,
        deadline: Instant,
    ) -> Result<(ReplyHead, Bytes), Outcome> {
        let until = deadline.min(self.clock.now() + self.connect_timeout);
        let peer = self.peer(address);
        let conn = match self.timers.within(until, self.connection(&peer, address)).await {
            Some(conn) => conn.ok_or(Outcome::NotRun(ErrorKind::ConnectFailed))?,
            None if until == deadline => return Err(Outcome::NotRun(ErrorKind::DeadlineExceeded)),
            None => return Err(Outcome::NotRun(ErrorKind::ConnectFailed)),
        };
        let work = self.exchange(conn.sender, call, body);
        let reply = self.timers.within(deadline + DEADLINE_GRACE, work).await;
        // An owner answers by the deadline. If it does not, the path may be broken, and TCP could
        // keep the connection for minutes.
        reply.unwrap_or_else(|| {
            peer.forget(conn.id);
            Err(Outcome::Unknown(ErrorKind::UpstreamTimeout))
        })
    }

    async fn exchange(
        &self,
        sender: Sender,
        call: &CallHead,
        body: &Bytes,
    ) -> Result<(ReplyHead, Bytes), Outcome> {
        let (frame, inline) = encode_frame(call, body);
        let rest = if inline { Bytes::new() } else { body.clone() };
        let message = send(sender, self.call_uri.clone(), frame, rest, self.body_max).await?;
        let decoded = decode_frame::<ReplyHead>(message);
        let (head, body) = decoded.map_err(|_| Outcome::Unknown(ErrorKind::PeerProtocol))?;
        if head.protocol != PROTOCOL_VERSION {
            return Err(Outcome::Unknown(ErrorKind::PeerProtocol));
        }
        if head.request != call.request {
            return Err(Outcome::Unknown(ErrorKind::MismatchedAnswer));
        }
        if head.body_len != body.len() as u64 {
            return Err(Outcome::Unknown(ErrorKind::TruncatedAnswer));
        }
        Ok((head, body))
    }

    /// Sends a control message and waits for its answer, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Returns the kind of the failure.
    pub async fn control(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: Vec<u8>,
        wait: Duration,
    ) -> Result<Bytes, ErrorKind> {
        let work = async {
            let peer = self.peer(address);
            let conn = self.connection(&peer, address).await.ok_or(ErrorKind::ConnectFailed)?;
            let sent = send(
                conn.sender,
                uri(path),
                message.into(),
                Bytes::new(),
                MAX_CONTROL_MESSAGE_BYTES,
            );
            sent.await.map_err(|outcome| outcome.kind().unwrap_or(ErrorKind::Internal))
        };
        timeout(wait, work).await.unwrap_or(Err(ErrorKind::UpstreamTimeout))
    }

    /// Sends a control message and waits for its answer until `deadline`. Unlike with
    /// [`Self::control`], the error says whether the message may have been processed.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended when no answer arrived.
    pub async fn request(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: Vec<u8>,
        deadline: Instant,
    ) -> Result<Bytes, Outcome> {
        let until = deadline.min(self.clock.now() + self.connect_timeout);
        let peer = self.peer(address);
        let conn = self.timers.within(until, self.connection(&peer, address)).await.flatten();
        let PeerConnection { id, sender } =
            conn.ok_or(Outcome::NotRun(ErrorKind::ConnectFailed))?;
        let work = send(sender, uri(path), message.into(), Bytes::new(), MAX_CONTROL_MESSAGE_BYTES);
        let answer = self.timers.within(deadline + DEADLINE_GRACE, work).await;
        answer.unwrap_or_else(|| {
            peer.forget(id);
            Err(Outcome::Unknown(ErrorKind::UpstreamTimeout))
        })
    }

    /// Sends a message in parts and reads its answer with `read`, until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns how the attempt ended when no answer arrived.
    pub async fn exchange_parts<T, R: Future<Output = Result<T, MessageError>>>(
        &self,
        address: SocketAddr,
        path: &'static str,
        parts: Vec<Bytes>,
        deadline: Instant,
        read: impl FnOnce(RecvStream) -> R,
    ) -> Result<T, Outcome> {
        let until = deadline.min(self.clock.now() + self.connect_timeout);
        let peer = self.peer(address);
        let conn = self.timers.within(until, self.connection(&peer, address)).await.flatten();
        let PeerConnection { id, sender } =
            conn.ok_or(Outcome::NotRun(ErrorKind::ConnectFailed))?;
        let work = async {
            let answer = send_parts(sender, uri(path), parts).await?;
            read(answer).await.map_err(|_| Outcome::Unknown(ErrorKind::ConnectionLost))
        };
        let answer = self.timers.within(deadline + DEADLINE_GRACE, work).await;
        answer.unwrap_or_else(|| {
            peer.forget(id);
            Err(Outcome::Unknown(ErrorKind::UpstreamTimeout))
        })
    }

    /// Closes all connections as soon as the calls on them have ended.
    pub fn disconnect(&self) {
        self.peers.write().unwrap_or_else(PoisonError::into_inner).clear();
    }

    /// Returns the connection to the peer, opening one if there is none.
    async fn connection(&self, peer: &Peer, address: SocketAddr) -> Option<PeerConnection> {
        if let Some(conn) = ready(peer).await {
            return Some(conn);
        }
        let mut opened_count = peer.opened_count.lock().await;
        if let Some(conn) = ready(peer).await {
            return Some(conn);
        }
        let sender = timeout(self.connect_timeout, open(self.routes.resolve(address)))
            .await
            .ok()
            .flatten()?;
        *opened_count += 1;
        *peer.lock() = Some(PeerConnection { id: *opened_count, sender });
        ready(peer).await
    }

    fn peer(&self, address: SocketAddr) -> Arc<Peer> {
        let known = self.peers.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(peer) = known.get(&address) {
            return peer.clone();
        }
        drop(known);
        let mut peers = self.peers.write().unwrap_or_else(PoisonError::into_inner);
        peers.entry(address).or_default().clone()
    }
}

/// Returns the connection once it can send; forgets a closed connection.
async fn ready(peer: &Peer) -> Option<PeerConnection> {
    let PeerConnection { id, sender } = peer.lock().clone()?;
    match sender.ready().await {
        Ok(sender) => Some(PeerConnection { id, sender }),
        Err(_) => {
            peer.forget(id);
            None
        }
    }
}

async fn open(address: SocketAddr) -> Option<Sender> {
    let stream = TcpStream::connect(address).await.ok()?;
    configure_socket(&stream).ok()?;
    let mut builder = Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_frame_size(MAX_FRAME_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .initial_max_send_streams(MAX_STREAMS as usize)
        .max_concurrent_reset_streams(MAX_RESET_STREAMS)
        .max_local_error_reset_streams(Some(MAX_RESET_STREAMS))
        .enable_push(false);
    let (sender, connection) = builder.handshake(h2_io(stream)).await.ok()?;
    task::spawn(async move {
        if let Err(error) = connection.await {
            log::debug!("inner connection to {address} failed: {error}");
        }
    });
    Some(sender)
}

fn uri(path: &'static str) -> Uri {
    let mut parts = http::uri::Parts::default();
    parts.scheme = Some(http::uri::Scheme::HTTP);
    parts.authority = Some(http::uri::Authority::from_static("node"));
    parts.path_and_query = Some(PathAndQuery::from_static(path));
    Uri::from_parts(parts).unwrap_or_default()
}

async fn send(
    sender: Sender,
    uri: Uri,
    frame: Bytes,
    rest: Bytes,
    body_max: usize,
) -> Result<Bytes, Outcome> {
    let parts = if rest.is_empty() { vec![frame] } else { vec![frame, rest] };
    let mut body = send_parts(sender, uri, parts).await?;
    let message = read_message(&mut body, body_max).await;
    message.map_err(|_| Outcome::Unknown(ErrorKind::ConnectionLost))
}

/// Sends the parts of a message, at least one; returns the body of its answer.
async fn send_parts(
    mut sender: Sender,
    uri: Uri,
    parts: Vec<Bytes>,
) -> Result<RecvStream, Outcome> {
    let mut request = Request::new(());
    *request.method_mut() = Method::POST;
    *request.uri_mut() = uri;
    // Before the first data is queued, no part of the call can have run.
    let not_sent = |_| Outcome::NotRun(ErrorKind::ConnectFailed);
    let (response, mut stream) = sender.send_request(request, false).map_err(not_sent)?;
    // A stream that the peer has already reset accepts no data; the response then gives the reason.
    let last = parts.len().saturating_sub(1);
    for (index, part) in parts.into_iter().enumerate() {
        if stream.send_data(part, index == last).is_err() {
            break;
        }
    }
    let response = response.await.map_err(|error| outcome_of(&error))?;
    if response.status() != http::StatusCode::OK {
        return Err(Outcome::Unknown(ErrorKind::PeerProtocol));
    }
    Ok(response.into_body())
}

/// Returns the outcome of an attempt whose stream failed before its answer.
fn outcome_of(error: &h2::Error) -> Outcome {
    // A refused stream was not processed, nor was one above the last stream id of a GOAWAY. The
    // library gives only the latter the error of the GOAWAY; the others fail with the connection.
    let refused = error.is_reset() && error.reason() == Some(Reason::REFUSED_STREAM);
    let not_reached = error.is_go_away() && error.reason() == Some(Reason::NO_ERROR);
    if error.is_remote() && (refused || not_reached) {
        return Outcome::NotRun(ErrorKind::Draining);
    }
    match error.reason() {
        Some(Reason::PROTOCOL_ERROR) => Outcome::Unknown(ErrorKind::PeerProtocol),
        _ => Outcome::Unknown(ErrorKind::ConnectionLost),
    }
}
