//! The inner port: calls and control messages between nodes, each on an HTTP/2 stream of its own.

pub mod client;
pub mod server;

use std::{future::Future, io, sync::Arc, time::Duration};

use async_std::net::TcpStream;
use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use oleandertiller_model::{
    codec::{self, MAX_MESSAGE_BYTES, PROTOCOL_VERSION},
    message::{CallHead, ReplyHead},
};
use serde::{Serialize, de::DeserializeOwned};
use socket2::{SockRef, TcpKeepalive};
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Flow-control window of a stream, in bytes. A body of usual size fits without a round trip.
const STREAM_WINDOW_BYTES: u32 = 4 << 20;

/// Flow-control window of a connection, in bytes.
const CONNECTION_WINDOW_BYTES: u32 = 64 << 20;

/// Largest HTTP/2 frame, in bytes.
const MAX_FRAME_BYTES: u32 = 256 << 10;

/// Largest header list, in bytes. It can be small, since messages are sent as data.
const MAX_HEADER_LIST_BYTES: u32 = 4 << 10;

/// Largest number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 10_000;

/// Largest number of reset streams that a connection tracks. Bursts of cancelled calls are usual;
/// with the library's default of 20, such a burst would close the connection and lose its other
/// calls.
const MAX_RESET_STREAMS: usize = 4_096;

/// Largest encoded head of a call or a reply, in bytes.
const MAX_MESSAGE_HEAD_BYTES: usize = 64 << 10;

/// Size of the length prefix of a head, in bytes.
const LENGTH_BYTES: usize = 4;

/// Largest body that is appended to its head to save a frame, in bytes.
const MAX_INLINE_BODY_BYTES: usize = 8 << 10;

/// Handles the calls and control messages that arrive on the inner port.
pub trait InnerHandler: Send + Sync + 'static {
    /// Runs a call; returns `None` when the node accepts no calls.
    fn call(
        &self,
        head: CallHead,
        body: Bytes,
    ) -> impl Future<Output = Option<(ReplyHead, Bytes)>> + Send;

    /// Answers a control message; returns `None` when the path does not exist.
    fn control(&self, path: &str, body: Bytes) -> impl Future<Output = Option<Vec<u8>>> + Send;

    /// Answers a message that it reads itself, in parts, at least one; returns `None`, without
    /// reading, when messages on the path are to be read completely first.
    fn stream(
        &self,
        _path: &str,
        _stream: &mut RecvStream,
    ) -> impl Future<Output = Option<Result<Vec<Bytes>, MessageError>>> + Send {
        async { None }
    }
}

/// The part of [`InnerHandler`] that control services implement.
pub trait ControlHandler: Send + Sync + 'static {
    /// Answers a control message; returns `None` when the path does not exist.
    fn control(&self, path: &str, body: Bytes) -> impl Future<Output = Option<Vec<u8>>> + Send;
}

/// A [`ControlHandler`] that answers no path, for nodes without control services.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoControl;

impl ControlHandler for NoControl {
    async fn control(&self, _path: &str, _body: Bytes) -> Option<Vec<u8>> {
        None
    }
}

impl<H: ControlHandler> ControlHandler for Arc<H> {
    async fn control(&self, path: &str, body: Bytes) -> Option<Vec<u8>> {
        H::control(self, path, body).await
    }
}

/// Why a message was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageError {
    /// The stream ended early, or the connection broke.
    Broken,
    /// The message is over the size limit.
    TooLarge,
    /// The peer uses another version of the protocol.
    VersionMismatch,
    /// The bytes do not form a message.
    Malformed,
}

/// Time without an acknowledgement of sent bytes after which a connection counts as broken. TCP
/// retransmits lost packets within a few hundred milliseconds.
const ACK_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle time before the first TCP keep-alive probe, and the time between probes. The system takes
/// whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Configures a socket to send small writes at once and to detect broken paths.
///
/// # Errors
///
/// Returns the system's error when an option cannot be set.
pub fn configure_socket(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(ACK_TIMEOUT))
}

fn h2_io(stream: TcpStream) -> Compat<TcpStream> {
    stream.compat()
}

/// Encodes a head with its length and appends the body if it is small; returns whether it did.
fn encode_frame<T: Serialize>(head: &T, body: &[u8]) -> (Bytes, bool) {
    let encoded = codec::encode(head);
    let inline = body.len() <= MAX_INLINE_BODY_BYTES;
    let mut frame = BytesMut::with_capacity(
        LENGTH_BYTES + encoded.len() + MAX_INLINE_BODY_BYTES.min(body.len()),
    );
    frame.extend_from_slice(&(encoded.len() as u32).to_le_bytes());
    frame.extend_from_slice(&encoded);
    if inline {
        frame.extend_from_slice(body);
    }
    (frame.freeze(), inline)
}

/// Splits a message into its head and body.
///
/// # Errors
///
/// Returns [`MessageError`] when the message is malformed or has another protocol version.
fn decode_frame<T: DeserializeOwned>(mut message: Bytes) -> Result<(T, Bytes), MessageError> {
    if message.len() < LENGTH_BYTES {
        return Err(MessageError::Malformed);
    }
    let length = message.split_to(LENGTH_BYTES);
    let length = u32::from_le_bytes(length[..].try_into().unwrap_or_default()) as usize;
    if length > MAX_MESSAGE_HEAD_BYTES || length > message.len() {
        return Err(MessageError::Malformed);
    }
    let head = message.split_to(length);
    // The version is the first field and a single byte, so it can be read even where the rest of
    // the head has another layout.
    if head.first().is_none_or(|version| u16::from(*version) != PROTOCOL_VERSION) {
        return Err(MessageError::VersionMismatch);
    }
    let head = codec::decode(&head).map_err(|_| MessageError::Malformed)?;
    Ok((head, message))
}

/// Reads a message to the end of its stream.
///
/// # Errors
///
/// Returns [`MessageError`] when it breaks or is larger than a head and `body_max` bytes.
async fn read_message(stream: &mut RecvStream, body_max: usize) -> Result<Bytes, MessageError> {
    let max = LENGTH_BYTES + MAX_MESSAGE_HEAD_BYTES + body_max;
    let mut first = Bytes::new();
    let mut joined = BytesMut::new();
    while let Some(data) = stream.data().await {
        let data = data.map_err(|_| MessageError::Broken)?;
        let _ = stream.flow_control().release_capacity(data.len());
        if first.len() + joined.len() + data.len() > max {
            return Err(MessageError::TooLarge);
        }
        match (first.is_empty(), joined.is_empty()) {
            (true, true) => first = data,
            (false, true) => {
                joined.extend_from_slice(&std::mem::take(&mut first));
                joined.extend_from_slice(&data);
            }
            _ => joined.extend_from_slice(&data),
        }
    }
    Ok(if joined.is_empty() { first } else { joined.freeze() })
}

/// Largest control message, in bytes.
const MAX_CONTROL_MESSAGE_BYTES: usize = MAX_MESSAGE_BYTES;
