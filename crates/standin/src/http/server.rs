//! Accept loop and connection handling.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use async_channel::{Receiver, Sender};
use async_h1::server::{Encoder, decode};
use async_std::io::{self, ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_util::future::{Either, select};
use tide::http::{Method, Request, Response, StatusCode};

/// One received request, its body read completely.
pub struct Call {
    /// Method, headers and URL.
    pub head: Request,
    /// Whole body.
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

/// Answers the requests of a [`Server`].
pub trait Handler: Send + Sync + 'static {
    /// Answers one request; `None` closes the connection without an answer. The future is dropped
    /// when the client closes the connection, which cancels the request.
    fn handle(&self, call: Call) -> impl Future<Output = Option<Response>> + Send;

    /// Decides whether a new connection is kept, given the number open with it.
    fn accepts_connection(&self, _open: usize) -> bool {
        true
    }

    /// Runs once on each new connection.
    fn on_connect(&self) -> impl Future<Output = ()> + Send {
        async {}
    }
}

/// A running accept loop and its connections.
pub struct Server {
    addr: SocketAddr,
    stop: Sender<()>,
    accepting: JoinHandle<()>,
}

impl Server {
    /// Binds `addr` and starts to answer.
    ///
    /// # Errors
    ///
    /// Returns the error of the bind.
    pub async fn start<H: Handler>(addr: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded(1);
        let accepting = task::spawn(accept(listener, handler, stopped));
        Ok(Self { addr, stop, accepting })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and all connections at once.
    pub async fn close(self) {
        self.stop.close();
        self.accepting.await;
    }
}

async fn accept<H: Handler>(listener: TcpListener, handler: Arc<H>, stopped: Receiver<()>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let next = pin!(listener.accept());
        let stop = pin!(stopped.recv());
        let Either::Left((accepted, _)) = select(next, stop).await else { return };
        let Ok((stream, _)) = accepted else { continue };
        let guard = OpenGuard::new(open.clone());
        if !handler.accepts_connection(guard.count) {
            continue;
        }
        task::spawn(run_until_stopped(stream, handler.clone(), stopped.clone(), guard));
    }
}

async fn run_until_stopped<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    stopped: Receiver<()>,
    _open: OpenGuard,
) {
    let served = pin!(serve(stream, &*handler));
    let stop = pin!(stopped.recv());
    select(served, stop).await;
}

async fn serve<H: Handler>(mut stream: TcpStream, handler: &H) -> io::Result<()> {
    stream.set_nodelay(true)?;
    handler.on_connect().await;
    loop {
        let Some(call) = receive(&mut stream).await? else { return Ok(()) };
        let method = call.head.method();
        let close = call.header("connection").is_some_and(|v| v.eq_ignore_ascii_case("close"));
        let Some(res) = answer(handler, call, &stream).await else { return Ok(()) };
        send(&mut stream, res, method).await?;
        if close {
            return Ok(());
        }
    }
}

/// Answers a call; `None` when the client is gone or gets no answer.
async fn answer<H: Handler>(handler: &H, call: Call, stream: &TcpStream) -> Option<Response> {
    let answered = pin!(handler.handle(call));
    let gone = pin!(client_gone(stream));
    match select(answered, gone).await {
        Either::Left((res, _)) => res,
        Either::Right(_) => None,
    }
}

async fn receive(stream: &mut TcpStream) -> io::Result<Option<Call>> {
    let mut head = match decode(stream.clone()).await {
        Ok(Some((head, _))) => head,
        Ok(None) => return Ok(None),
        Err(e) => {
            let res = super::text(StatusCode::BadRequest, e.to_string());
            send(stream, res, Method::Get).await?;
            return Ok(None);
        }
    };
    let announced = head.len();
    let Ok(body) = head.body_bytes().await else { return Ok(None) };
    // A body cut short by the client is never handed to the handler.
    if announced.is_some_and(|len| len != body.len()) {
        return Ok(None);
    }
    Ok(Some(Call { head, body }))
}

async fn send(stream: &mut TcpStream, res: Response, method: Method) -> io::Result<()> {
    let mut buf = Vec::with_capacity(512);
    Encoder::new(res, method).read_to_end(&mut buf).await?;
    stream.write_all(&buf).await
}

/// Completes when the client closes or resets the connection.
async fn client_gone(stream: &TcpStream) {
    let mut byte = [0];
    // Bytes of a further request show that the client is still there.
    if let Ok(1..) = stream.peek(&mut byte).await {
        std::future::pending::<()>().await;
    }
}

struct OpenGuard {
    open: Arc<AtomicUsize>,
    count: usize,
}

impl OpenGuard {
    fn new(open: Arc<AtomicUsize>) -> Self {
        let count = open.fetch_add(1, Ordering::Relaxed) + 1;
        Self { open, count }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}
