//! TCP proxy.

use std::net::{Shutdown, SocketAddr};
use std::pin::pin;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::io::{self, ReadExt, WriteExt};
use async_std::net::{TcpListener, TcpStream};
use async_std::task::{self, JoinHandle};
use futures_util::future::{Either, select, try_join};
use socket2::SockRef;

use super::faults::{Direction, Shared};

/// Maximum size of a chunk, the bytes of one read.
const MAX_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks buffered for one direction of a connection.
const MAX_BUFFERED_CHUNKS: usize = 64;

pub struct TcpProxy {
    addr: SocketAddr,
    stop: Sender<()>,
    accept_task: JoinHandle<()>,
}

impl TcpProxy {
    pub async fn start(
        listen: SocketAddr,
        target: SocketAddr,
        shared: Arc<Shared>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let (stop, stopped) = async_channel::bounded(1);
        let accept_task = task::spawn(accept(listener, target, shared, stopped));
        Ok(Self { addr, stop, accept_task })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub async fn close(self) {
        self.stop.close();
        self.accept_task.await;
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    shared: Arc<Shared>,
    stopped: Receiver<()>,
) {
    loop {
        let next = pin!(listener.accept());
        let stop = pin!(stopped.recv());
        let Either::Left((accepted, _)) = select(next, stop).await else { return };
        let Ok((client, _)) = accepted else { continue };
        task::spawn(run_connection(client, target, shared.clone(), stopped.clone()));
    }
}

/// Forwards a connection until it ends, a fault closes it or the proxy stops.
async fn run_connection(
    client: TcpStream,
    target: SocketAddr,
    shared: Arc<Shared>,
    stopped: Receiver<()>,
) {
    let closed = pin!(shared.wait_until(|faults| faults.closes_connections()));
    let forwarded = pin!(forward(client.clone(), target, &shared));
    let ended = pin!(select(closed, forwarded));
    let stop = pin!(stopped.recv());
    if let Either::Left((Either::Left((faults, _)), _)) = select(ended, stop).await
        && faults.reset
    {
        reset_on_close(&client);
    }
}

async fn forward(client: TcpStream, target: SocketAddr, shared: &Shared) -> io::Result<()> {
    client.set_nodelay(true)?;
    let server = TcpStream::connect(target).await.inspect_err(|_| reset_on_close(&client))?;
    server.set_nodelay(true)?;
    let up = forward_direction(client.clone(), server.clone(), shared, Direction::Up);
    let down = forward_direction(server.clone(), client.clone(), shared, Direction::Down);
    let ended = try_join(up, down).await;
    if ended.is_err() {
        // One side failed or was reset, so both are reset.
        reset_on_close(&client);
        reset_on_close(&server);
    }
    ended.map(|_| ())
}

/// Makes closing a socket reset the connection instead of ending it gracefully.
fn reset_on_close(stream: &TcpStream) {
    // Fails only if the socket is already closed.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

/// Bytes to forward; an empty chunk is the end of the stream.
struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

async fn forward_direction(
    from: TcpStream,
    to: TcpStream,
    shared: &Shared,
    direction: Direction,
) -> io::Result<()> {
    let (tx, rx) = async_channel::bounded(MAX_BUFFERED_CHUNKS);
    try_join(read_chunks(from, tx, shared), write_chunks(to, rx, shared, direction)).await?;
    Ok(())
}

async fn read_chunks(mut from: TcpStream, tx: Sender<Chunk>, shared: &Shared) -> io::Result<()> {
    let mut buf = vec![0; MAX_CHUNK_BYTES];
    let mut last_due = Instant::now();
    loop {
        let len = from.read(&mut buf).await?;
        // Jitter must not reorder the bytes of a stream.
        last_due = last_due.max(Instant::now() + shared.delay());
        let chunk = Chunk { due: last_due, bytes: buf[..len].to_vec() };
        // The end of the stream is delayed as well.
        if tx.send(chunk).await.is_err() || len == 0 {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut to: TcpStream,
    rx: Receiver<Chunk>,
    shared: &Shared,
    direction: Direction,
) -> io::Result<()> {
    while let Ok(chunk) = rx.recv().await {
        let remaining = chunk.due.saturating_duration_since(Instant::now());
        if !remaining.is_zero() {
            task::sleep(remaining).await;
        }
        shared.wait_until(|faults| !faults.blocks(direction)).await;
        if chunk.bytes.is_empty() {
            return to.shutdown(Shutdown::Write);
        }
        to.write_all(&chunk.bytes).await?;
    }
    Ok(())
}
