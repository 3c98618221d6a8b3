//! Server side of the inner port.

use std::{
    future::Future,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::Receiver;
use async_std::{
    future::timeout,
    net::{TcpListener, TcpStream},
    task,
};
use bytes::Bytes;
use futures_util::future::{Either, poll_fn, select};
use h2::{
    Reason, RecvStream,
    server::{Builder, Connection, SendResponse},
};
use http::{Request, Response, StatusCode};
use oleandertiller_model::message::CALL_PATH;
use tokio_util::compat::Compat;

use super::{
    CONNECTION_WINDOW_BYTES, InnerHandler, MAX_CONTROL_MESSAGE_BYTES, MAX_FRAME_BYTES,
    MAX_HEADER_LIST_BYTES, MAX_RESET_STREAMS, MAX_STREAMS, MessageError, STREAM_WINDOW_BYTES,
    configure_socket, decode_frame, encode_frame, h2_io, read_message,
};
use crate::node::accept::{CountGuard, accept};

/// Longest time for the HTTP/2 handshake of a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for a peer to send one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

type InnerConnection = Connection<Compat<TcpStream>, Bytes>;

/// The inner port of a node.
pub struct InnerServer<H> {
    handler: Arc<H>,
    body_max: usize,
    streams: AtomicUsize,
}

impl<H: InnerHandler> InnerServer<H> {
    /// Creates a server that accepts calls with at most `body_max` bytes of body.
    pub fn new(handler: Arc<H>, body_max: usize) -> Self {
        Self { handler, body_max, streams: AtomicUsize::new(0) }
    }

    /// Returns the number of streams that are being served.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// Accepts connections until the stop channel is closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Receiver<()>) {
        let serve = |stream, peer| self.clone().serve_connection(stream, peer, stop.clone());
        accept(listener, stop.clone(), serve).await;
    }

    async fn serve_connection(
        self: Arc<Self>,
        stream: TcpStream,
        peer: SocketAddr,
        stop: Receiver<()>,
    ) {
        if configure_socket(&stream).is_err() {
            return;
        }
        let handshake = builder().handshake(h2_io(stream));
        let Ok(Ok(mut conn)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
            log::debug!(
                "inner connection from {peer} closed: HTTP/2 handshake failed or timed out"
            );
            return;
        };
        let mut stopped = pin!(Some(stop.recv()));
        while let Some((request, respond)) = next_stream(&mut conn, stopped.as_mut()).await {
            task::spawn(self.clone().serve_stream(request, respond));
        }
    }

    async fn serve_stream(
        self: Arc<Self>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let _guard = CountGuard::new(&self.streams);
        let result = {
            let work = pin!(self.answer(request));
            match select(work, poll_fn(|cx| respond.poll_reset(cx))).await {
                Either::Left((result, _)) => result,
                // The peer has cancelled; dropping the work cancels it at the upstream, too.
                Either::Right(_) => return,
            }
        };
        match result {
            Ok(parts) => send(&mut respond, parts),
            Err(reason) => respond.send_reset(reason),
        }
    }

    async fn answer(&self, request: Request<RecvStream>) -> Result<Vec<Bytes>, Reason> {
        let (parts, mut stream) = request.into_parts();
        let path = parts.uri.path();
        if let Some(answer) = self.handler.stream(path, &mut stream).await {
            return answer.map_err(reset_reason);
        }
        let max = if path == CALL_PATH { self.body_max } else { MAX_CONTROL_MESSAGE_BYTES };
        let message = read_message(&mut stream, max);
        let message = timeout(MESSAGE_TIMEOUT, message).await.map_err(|_| Reason::CANCEL)?;
        let message = message.map_err(reset_reason)?;
        if path == CALL_PATH {
            return self.call(message).await;
        }
        let answer = self.handler.control(path, message).await;
        answer.map(|answer| vec![answer.into()]).ok_or(Reason::REFUSED_STREAM)
    }

    async fn call(&self, message: Bytes) -> Result<Vec<Bytes>, Reason> {
        let (head, body) = decode_frame(message).map_err(reset_reason)?;
        let answer = self.handler.call(head, body).await;
        let (reply, body) = answer.ok_or(Reason::REFUSED_STREAM)?;
        let (frame, inline) = encode_frame(&reply, &body);
        Ok(if inline { vec![frame] } else { vec![frame, body] })
    }
}

/// Returns the reset reason for a message that was not accepted. Nothing has run by then, which
/// `REFUSED_STREAM` states; only malformed messages are reset as protocol errors.
fn reset_reason(error: MessageError) -> Reason {
    match error {
        MessageError::VersionMismatch | MessageError::TooLarge => Reason::REFUSED_STREAM,
        MessageError::Malformed => Reason::PROTOCOL_ERROR,
        MessageError::Broken => Reason::CANCEL,
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        .max_frame_size(MAX_FRAME_BYTES)
        .max_header_list_size(MAX_HEADER_LIST_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .max_concurrent_reset_streams(MAX_RESET_STREAMS)
        .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
        .max_local_error_reset_streams(Some(MAX_RESET_STREAMS));
    builder
}

/// Drives the connection until its next stream; starts its graceful shutdown once the server stops.
async fn next_stream<S: Future>(
    conn: &mut InnerConnection,
    mut stopped: Pin<&mut Option<S>>,
) -> Option<(Request<RecvStream>, SendResponse<Bytes>)> {
    poll_fn(|cx| {
        if let Some(stop) = stopped.as_mut().as_pin_mut() {
            if stop.poll(cx).is_ready() {
                stopped.set(None);
                conn.graceful_shutdown();
            }
        }
        conn.poll_accept(cx)
    })
    .await?
    .ok()
}

fn send(respond: &mut SendResponse<Bytes>, parts: Vec<Bytes>) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    let Ok(mut stream) = respond.send_response(response, false) else { return };
    let last = parts.len().saturating_sub(1);
    for (index, part) in parts.into_iter().enumerate() {
        if stream.send_data(part, index == last).is_err() {
            return;
        }
    }
}
