//! HTTP server: accept loop and connections.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_h1::server::{Encoder, decode};
use async_std::io::{self, ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_util::future::{Either, select};
use socket2::SockRef;
use tide::http::{Method, Request, Response, StatusCode};

/// A received request, with its complete body.
pub struct Call {
    /// Method, headers and URL.
    pub head: Request,
    /// Complete body.
    pub body: Vec<u8>,
}

impl Call {
    /// Returns the path without the leading `/`.
    pub fn path(&self) -> &str {
        self.head.url().path().trim_start_matches('/')
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.header(name).map(|values| values.as_str())
    }

    /// Returns a decoded query parameter.
    pub fn query(&self, name: &str) -> Option<String> {
        let mut pairs = self.head.url().query_pairs();
        pairs.find(|(key, _)| key == name).map(|(_, value)| value.into_owned())
    }
}

/// Replaces the status line of a response that has it as an extension, to send what
/// [`StatusCode`] cannot hold.
#[derive(Clone, Debug)]
pub struct StatusLine(pub String);

/// Bytes that are sent in place of a response, before the body of the request is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawAnswer {
    /// First bytes.
    pub head: Vec<u8>,
    /// What follows them.
    pub rest: RawRest,
}

/// What follows the first bytes of a [`RawAnswer`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RawRest {
    /// The connection is reset after a while.
    Reset(Duration),
    /// These bytes, again and again until the client closes the connection.
    Repeat(Vec<u8>),
}

impl RawAnswer {
    async fn send(self, mut stream: TcpStream) -> io::Result<()> {
        stream.write_all(&self.head).await?;
        match self.rest {
            RawRest::Reset(after) => {
                task::sleep(after).await;
                SockRef::from(&stream).set_linger(Some(Duration::ZERO))
            }
            RawRest::Repeat(bytes) => loop {
                stream.write_all(&bytes).await?;
            },
        }
    }
}

/// Answers the requests of a [`Server`].
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to a request, or `None` to close the connection without one. If the
    /// client closes the connection, the future is dropped, which cancels the request.
    fn handle(&self, call: Call) -> impl Future<Output = Option<Response>> + Send;

    /// Returns what is sent in place of a response to a request with this head, if that is so.
    fn raw_answer(&self, _head: &Request) -> Option<RawAnswer> {
        None
    }

    /// Returns whether a new connection is kept, given the number of open ones including it.
    fn accepts_connection(&self, _open: usize) -> bool {
        true
    }

    /// Runs on each new connection before its first request is read.
    fn on_connect(&self) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// Closes a [`Server`] from one of its handlers.
#[derive(Clone, Debug)]
pub struct StopHandle(Sender<()>);

impl StopHandle {
    /// Closes the listener and all connections immediately.
    pub fn close(self) {
        self.0.close();
    }
}

/// A running HTTP server.
pub struct Server {
    addr: SocketAddr,
    stop: Sender<()>,
    accept_task: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and starts to accept connections.
    ///
    /// # Errors
    ///
    /// Returns the error if `addr` cannot be bound.
    pub async fn start<H: Handler>(addr: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded(1);
        let accept_task = task::spawn(accept(listener, handler, stopped));
        Ok(Self { addr, stop, accept_task })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns a handle that closes the server.
    pub fn stop_handle(&self) -> StopHandle {
        StopHandle(self.stop.clone())
    }

    /// Closes the listener and all connections immediately.
    pub async fn close(self) {
        self.stop.close();
        self.accept_task.await;
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, stopped: Receiver<()>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let next = pin!(listener.accept());
        let stop = pin!(stopped.recv());
        let Either::Left((accepted, _)) = select(next, stop).await else { return };
        let Ok((stream, _)) = accepted else { continue };
        let connection = ConnectionGuard::new(open.clone());
        if !handler.accepts_connection(connection.count) {
            continue;
        }
        task::spawn(run_until_stopped(stream, handler.clone(), stopped.clone(), connection));
    }
}

async fn run_until_stopped<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    stopped: Receiver<()>,
    _connection: ConnectionGuard,
) {
    let served = pin!(serve(stream, &*handler));
    let stop = pin!(stopped.recv());
    select(served, stop).await;
}

async fn serve<H: Handler>(mut stream: TcpStream, handler: &H) -> io::Result<()> {
    stream.set_nodelay(true)?;
    handler.on_connect().await;
    loop {
        let Some(head) = receive_head(&mut stream).await? else { return Ok(()) };
        if let Some(answer) = handler.raw_answer(&head) {
            return answer.send(stream).await;
        }
        let Some(call) = receive_body(head).await else { return Ok(()) };
        let method = call.head.method();
        let close = call.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let Some(res) = respond(handler, call, &stream).await else { return Ok(()) };
        send(&mut stream, res, method).await?;
        if close {
            return Ok(());
        }
    }
}

/// Returns the response to a call; `None` if the client has disconnected or gets no response.
async fn respond<H: Handler>(handler: &H, call: Call, stream: &TcpStream) -> Option<Response> {
    let responded = pin!(handler.handle(call));
    let disconnected = pin!(client_disconnected(stream));
    match select(responded, disconnected).await {
        Either::Left((res, _)) => res,
        Either::Right(_) => None,
    }
}

async fn receive_head(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    match decode(stream.clone()).await {
        Ok(head) => Ok(head.map(|(head, _)| head)),
        Err(e) => {
            let res = super::text(StatusCode::BadRequest, e.to_string());
            send(stream, res, Method::Get).await?;
            Ok(None)
        }
    }
}

/// Returns a request with its body, or `None` if that is truncated.
async fn receive_body(mut head: Request) -> Option<Call> {
    let content_length = head.len();
    let body = head.body_bytes().await.ok()?;
    let complete = content_length.is_none_or(|len| len == body.len());
    complete.then_some(Call { head, body })
}

async fn send(stream: &mut TcpStream, res: Response, method: Method) -> io::Result<()> {
    let mut buf = Vec::with_capacity(512);
    let status_line = res.ext().get::<StatusLine>().cloned();
    Encoder::new(res, method).read_to_end(&mut buf).await?;
    if let Some(StatusLine(line)) = status_line
        && let Some(end) = buf.windows(2).position(|pair| pair == b"\r\n")
    {
        buf.splice(..end, line.into_bytes());
    }
    stream.write_all(&buf).await
}

/// Waits until the client closes or resets the connection.
async fn client_disconnected(stream: &TcpStream) {
    let mut byte = [0];
    // The client has already sent the next request, so it is still connected.
    if let Ok(1..) = stream.peek(&mut byte).await {
        std::future::pending::<()>().await;
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    open: Arc<AtomicUsize>,
    /// Open connections when this one was accepted, including it.
    count: usize,
}

impl ConnectionGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        let count = open.fetch_add(1, Ordering::Relaxed) + 1;
        Self { open, count }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
