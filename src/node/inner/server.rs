//! Receiving side of the inner port.

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
    CONNECTION_WINDOW, CONTROL_MAX_BYTES, InnerHandler, MAX_FRAME, MAX_HEADER_LIST,
    MAX_RESET_STREAMS, MAX_STREAMS, MessageError, STREAM_WINDOW, configure_socket, decode_frame,
    encode_frame, h2_io, read_message,
};
use crate::node::accept::{CountGuard, accept};

/// Longest time for the first exchange on a connection.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time in which a peer sends one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(30);

type Link = Connection<Compat<TcpStream>, Bytes>;

/// The inner port of a node.
pub struct InnerServer<H> {
    handler: Arc<H>,
    body_max: usize,
    streams: AtomicUsize,
}

impl<H: InnerHandler> InnerServer<H> {
    /// Creates a server; requests carry at most `body_max` bytes of body.
    pub fn new(handler: Arc<H>, body_max: usize) -> Self {
        Self { handler, body_max, streams: AtomicUsize::new(0) }
    }

    /// Returns the number of streams in work.
    pub fn streams(&self) -> usize {
        self.streams.load(Ordering::Relaxed)
    }

    /// Accepts connections until the stop channel is closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Receiver<()>) {
        let serve = |stream, peer| self.clone().connection(stream, peer, stop.clone());
        accept(listener, stop.clone(), serve).await;
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, peer: SocketAddr, stop: Receiver<()>) {
        if configure_socket(&stream).is_err() {
            return;
        }
        let handshake = builder().handshake(h2_io(stream));
        let Ok(Ok(mut link)) = timeout(HANDSHAKE_TIMEOUT, handshake).await else {
            log::debug!("peer {peer} did not complete the handshake");
            return;
        };
        let mut stopped = pin!(Some(stop.recv()));
        while let Some((request, respond)) = next_stream(&mut link, stopped.as_mut()).await {
            task::spawn(self.clone().stream(request, respond));
        }
    }

    async fn stream(
        self: Arc<Self>,
        request: Request<RecvStream>,
        mut respond: SendResponse<Bytes>,
    ) {
        let _busy = CountGuard::new(&self.streams);
        let ended = {
            let work = pin!(self.answer(request));
            match select(work, poll_fn(|cx| respond.poll_reset(cx))).await {
                Either::Left((ended, _)) => ended,
                // The peer has cancelled; dropping the work cancels it further down.
                Either::Right(_) => return,
            }
        };
        match ended {
            Ok((frame, rest)) => send(&mut respond, frame, rest),
            Err(reason) => respond.send_reset(reason),
        }
    }

    async fn answer(&self, request: Request<RecvStream>) -> Result<(Bytes, Bytes), Reason> {
        let (parts, mut stream) = request.into_parts();
        let path = parts.uri.path();
        let max = if path == CALL_PATH { self.body_max } else { CONTROL_MAX_BYTES };
        let message = read_message(&mut stream, max);
        let message = timeout(MESSAGE_TIMEOUT, message).await.map_err(|_| Reason::CANCEL)?;
        let message = message.map_err(refusal)?;
        if path == CALL_PATH {
            return self.call(message).await;
        }
        let answer = self.handler.control(path, message).await;
        answer.map(|answer| (answer.into(), Bytes::new())).ok_or(Reason::REFUSED_STREAM)
    }

    async fn call(&self, message: Bytes) -> Result<(Bytes, Bytes), Reason> {
        let (head, body) = decode_frame(message).map_err(refusal)?;
        let answer = self.handler.call(head, body).await;
        let (reply, body) = answer.ok_or(Reason::REFUSED_STREAM)?;
        let (frame, inline) = encode_frame(&reply, &body);
        Ok((frame, if inline { Bytes::new() } else { body }))
    }
}

/// Returns the reset for a message that was not accepted. Nothing has been run by then, and
/// `REFUSED_STREAM` says so; only garbage is answered as a breach of the protocol.
fn refusal(error: MessageError) -> Reason {
    match error {
        MessageError::OtherVersion | MessageError::TooLarge => Reason::REFUSED_STREAM,
        MessageError::Malformed => Reason::PROTOCOL_ERROR,
        MessageError::Broken => Reason::CANCEL,
    }
}

fn builder() -> Builder {
    let mut builder = Builder::new();
    builder
        .initial_window_size(STREAM_WINDOW)
        .initial_connection_window_size(CONNECTION_WINDOW)
        .max_frame_size(MAX_FRAME)
        .max_header_list_size(MAX_HEADER_LIST)
        .max_concurrent_streams(MAX_STREAMS)
        .max_concurrent_reset_streams(MAX_RESET_STREAMS)
        .max_pending_accept_reset_streams(MAX_RESET_STREAMS)
        .max_local_error_reset_streams(Some(MAX_RESET_STREAMS));
    builder
}

/// Drives the connection to its next stream; announces its end once the server stops.
async fn next_stream<S: Future>(
    link: &mut Link,
    mut stopped: Pin<&mut Option<S>>,
) -> Option<(Request<RecvStream>, SendResponse<Bytes>)> {
    poll_fn(|cx| {
        if let Some(stop) = stopped.as_mut().as_pin_mut() {
            if stop.poll(cx).is_ready() {
                stopped.set(None);
                link.graceful_shutdown();
            }
        }
        link.poll_accept(cx)
    })
    .await?
    .ok()
}

fn send(respond: &mut SendResponse<Bytes>, frame: Bytes, rest: Bytes) {
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    let Ok(mut stream) = respond.send_response(response, false) else { return };
    if stream.send_data(frame, rest.is_empty()).is_ok() && !rest.is_empty() {
        let _ = stream.send_data(rest, true);
    }
}
