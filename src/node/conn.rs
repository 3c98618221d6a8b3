//! A TCP connection for HTTP/1.1 messages, with buffers that suit `async-h1`.
//!
//! `async-h1` writes head and body separately and reads ahead into a buffer that it drops after
//! each message. [`Conn`] therefore buffers writes until the flush, which saves a system call and a
//! packet, and returns at most one line per read, so that `async-h1` never reads past the end of a
//! message.

use std::{
    io,
    net::{Shutdown, SocketAddr},
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    task::{Context, Poll, ready},
};

use async_std::net::TcpStream;
use futures_util::{AsyncRead, AsyncReadExt, AsyncWrite, FutureExt, future::poll_fn};
use oleandertiller_model::ErrorKind;

/// Size of the input buffer, in bytes.
const INPUT_BUFFER_BYTES: usize = 8 * 1024;

/// Size of the buffered output above which it is written without waiting for a flush, in bytes.
const OUTPUT_BUFFER_BYTES: usize = 64 * 1024;

/// Largest number of lines in a head. `async-h1` parses at most 128 headers.
const MAX_HEAD_LINES: usize = 128;

struct Buffers {
    /// Received bytes, of which `start..end` are not read yet.
    input: Box<[u8]>,
    start: usize,
    end: usize,
    output: Vec<u8>,
    /// Number of bytes of `output` that are already written to the socket.
    written: usize,
    /// Limits that apply while a head is read.
    head_limit: Option<HeadLimit>,
    head_error: Option<ErrorKind>,
}

/// What is left of the limits on a head.
struct HeadLimit {
    bytes: usize,
    lines: usize,
}

impl HeadLimit {
    fn consume(&mut self, line: &[u8]) -> Result<(), ErrorKind> {
        // `http-types` panics on header values that are not ASCII.
        if !line.iter().all(|b| b.is_ascii() && *b != 0) {
            return Err(ErrorKind::BadRequest);
        }
        if line.len() > self.bytes || (line.ends_with(b"\n") && self.lines == 0) {
            return Err(ErrorKind::HeadTooLarge);
        }
        self.bytes -= line.len();
        self.lines -= usize::from(line.ends_with(b"\n"));
        Ok(())
    }
}

/// A connection; clones share the socket and its buffers.
#[derive(Clone)]
pub struct Conn {
    stream: TcpStream,
    buffers: Arc<Mutex<Buffers>>,
}

impl Conn {
    /// Wraps an open connection and disables Nagle's algorithm.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the option cannot be set.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        // With Nagle's algorithm, an answer waits 40 ms for the client's delayed acknowledgement.
        stream.set_nodelay(true)?;
        let buffers = Buffers {
            input: vec![0; INPUT_BUFFER_BYTES].into(),
            start: 0,
            end: 0,
            output: Vec::new(),
            written: 0,
            head_limit: None,
            head_error: None,
        };
        Ok(Self { stream, buffers: Arc::new(Mutex::new(buffers)) })
    }

    /// Opens a connection.
    ///
    /// # Errors
    ///
    /// Returns the system's error when it cannot be opened.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect(address).await?)
    }

    /// Limits the input to a head of at most `max_bytes`, until [`Self::end_head`].
    pub fn begin_head(&self, max_bytes: usize) {
        let mut buffers = self.lock();
        buffers.head_limit = Some(HeadLimit { bytes: max_bytes, lines: MAX_HEAD_LINES });
        buffers.head_error = None;
    }

    /// Ends the head: the limits do not apply to the input that follows.
    pub fn end_head(&self) {
        self.lock().head_limit = None;
    }

    /// Returns why the head was rejected, if the checks on its lines rejected it.
    pub fn head_error(&self) -> Option<ErrorKind> {
        self.lock().head_error
    }

    /// Waits for input; returns `false` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection is broken.
    pub async fn wait_input(&self) -> io::Result<bool> {
        poll_fn(|cx| {
            let mut buffers = self.lock();
            if buffers.start == buffers.end {
                ready!(poll_fill(&self.stream, &mut buffers, cx))?;
            }
            Poll::Ready(Ok(buffers.start < buffers.end))
        })
        .await
    }

    /// Reads a body of exactly `len` bytes.
    ///
    /// # Errors
    ///
    /// Returns `UnexpectedEof` when the stream ends early, or the system's error.
    pub async fn read_body(&self, len: usize) -> io::Result<Vec<u8>> {
        let mut body = vec![0; len];
        let buffered = self.take_buffered(&mut body);
        (&self.stream).read_exact(&mut body[buffered..]).await?;
        Ok(body)
    }

    /// Returns whether the idle connection is open and has no input.
    pub fn is_idle_and_open(&self) -> bool {
        let buffers = self.lock();
        let buffers_empty = buffers.start == buffers.end && buffers.output.is_empty();
        buffers_empty && self.stream.peek(&mut [0]).now_or_never().is_none()
    }

    /// Waits until the peer has closed the connection or it is broken.
    pub async fn closed(&self) {
        if let Ok(1..) = self.stream.peek(&mut [0]).await {
            // Unread input of the next request hides a close, which is then found when it is read.
            std::future::pending::<()>().await;
        }
    }

    /// Writes `head`, then `body`, as one message.
    ///
    /// # Errors
    ///
    /// Returns the system's error when the connection is broken.
    pub async fn write_message(&self, mut head: Vec<u8>, body: &[u8]) -> io::Result<()> {
        use futures_util::AsyncWriteExt;
        let mut stream = &self.stream;
        if body.len() <= OUTPUT_BUFFER_BYTES {
            head.extend_from_slice(body);
            return stream.write_all(&head).await;
        }
        stream.write_all(&head).await?;
        stream.write_all(body).await
    }

    /// Shuts the output down, then reads and discards up to `max` bytes of input.
    pub async fn discard(&self, max: usize) {
        if self.stream.shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut buf = [0; 4096];
        let mut total = 0;
        while total < max {
            match (&self.stream).read(&mut buf).await {
                Ok(n) if n > 0 => total += n,
                _ => return,
            }
        }
    }

    fn take_buffered(&self, body: &mut [u8]) -> usize {
        let mut buffers = self.lock();
        let n = body.len().min(buffers.end - buffers.start);
        body[..n].copy_from_slice(&buffers.input[buffers.start..buffers.start + n]);
        buffers.start += n;
        n
    }

    fn lock(&self) -> MutexGuard<'_, Buffers> {
        self.buffers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn poll_fill(
    mut stream: &TcpStream,
    buffers: &mut Buffers,
    cx: &mut Context<'_>,
) -> Poll<io::Result<()>> {
    let n = ready!(Pin::new(&mut stream).poll_read(cx, &mut buffers.input))?;
    buffers.start = 0;
    buffers.end = n;
    Poll::Ready(Ok(()))
}

fn poll_flush_output(
    mut stream: &TcpStream,
    buffers: &mut Buffers,
    cx: &mut Context<'_>,
) -> Poll<io::Result<()>> {
    while buffers.written < buffers.output.len() {
        let rest = &buffers.output[buffers.written..];
        let n = ready!(Pin::new(&mut stream).poll_write(cx, rest))?;
        if n == 0 {
            return Poll::Ready(Err(io::ErrorKind::WriteZero.into()));
        }
        buffers.written += n;
    }
    buffers.output.clear();
    buffers.written = 0;
    Poll::Ready(Ok(()))
}

impl AsyncRead for Conn {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffers = self.lock();
        if buffers.start == buffers.end {
            ready!(poll_fill(&self.stream, &mut buffers, cx))?;
        }
        let Buffers { input, start, end, head_limit, head_error, .. } = &mut *buffers;
        let line = &input[*start..*end];
        let line = &line[..line.iter().position(|b| *b == b'\n').map_or(line.len(), |i| i + 1)];
        let line = &line[..line.len().min(buf.len())];
        if let Some(Err(kind)) = head_limit.as_mut().map(|limit| limit.consume(line)) {
            *head_error = Some(kind);
            return Poll::Ready(Err(io::ErrorKind::InvalidData.into()));
        }
        buf[..line.len()].copy_from_slice(line);
        *start += line.len();
        Poll::Ready(Ok(line.len()))
    }
}

impl AsyncWrite for Conn {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut buffers = self.lock();
        if buffers.output.len() > OUTPUT_BUFFER_BYTES {
            ready!(poll_flush_output(&self.stream, &mut buffers, cx))?;
        }
        buffers.output.extend_from_slice(buf);
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        poll_flush_output(&self.stream, &mut self.lock(), cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(poll_flush_output(&self.stream, &mut self.lock(), cx))?;
        Pin::new(&mut &self.stream).poll_close(cx)
    }
}
