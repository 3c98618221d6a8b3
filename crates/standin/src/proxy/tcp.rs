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

/// Bytes read at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks that one direction of a connection holds back at most.
const HELD_CHUNKS: usize = 64;

pub struct TcpProxy {
    addr: SocketAddr,
    stop: Sender<()>,
    accepting: JoinHandle<()>,
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
        let accepting = task::spawn(accept(listener, target, shared, stopped));
        Ok(Self { addr, stop, accepting })
    }

    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    pub async fn close(self) {
        self.stop.close();
        self.accepting.await;
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
        task::spawn(run(client, target, shared.clone(), stopped.clone()));
    }
}

/// Forwards one connection until it ends, a fault severs it or the proxy closes.
async fn run(client: TcpStream, target: SocketAddr, shared: Arc<Shared>, stopped: Receiver<()>) {
    let severed = pin!(shared.until(|faults| faults.severs()));
    let forwarded = pin!(forward(client.clone(), target, &shared));
    let ended = pin!(select(severed, forwarded));
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
    let up = pump(client.clone(), server.clone(), shared, Direction::Up);
    let down = pump(server.clone(), client.clone(), shared, Direction::Down);
    let ended = try_join(up, down).await;
    if ended.is_err() {
        // One side was reset; so is the other.
        reset_on_close(&client);
        reset_on_close(&server);
    }
    ended.map(|_| ())
}

/// Makes the close of a socket send a reset instead of an orderly end.
fn reset_on_close(stream: &TcpStream) {
    // Fails only on a socket that is closed already.
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

struct Chunk {
    due: Instant,
    bytes: Vec<u8>,
}

async fn pump(
    from: TcpStream,
    to: TcpStream,
    shared: &Shared,
    direction: Direction,
) -> io::Result<()> {
    let (tx, rx) = async_channel::bounded(HELD_CHUNKS);
    try_join(read_chunks(from, tx, shared), write_chunks(to, rx, shared, direction)).await?;
    Ok(())
}

async fn read_chunks(mut from: TcpStream, tx: Sender<Chunk>, shared: &Shared) -> io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    let mut last_due = Instant::now();
    loop {
        let len = from.read(&mut buf).await?;
        // Jitter must not reorder the bytes of a stream.
        last_due = last_due.max(Instant::now() + shared.delay());
        let chunk = Chunk { due: last_due, bytes: buf[..len].to_vec() };
        // An empty chunk stands for the end of the stream, which is delayed as well.
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
        let left = chunk.due.saturating_duration_since(Instant::now());
        if !left.is_zero() {
            task::sleep(left).await;
        }
        shared.until(|faults| !faults.holds(direction)).await;
        if chunk.bytes.is_empty() {
            return to.shutdown(Shutdown::Write);
        }
        to.write_all(&chunk.bytes).await?;
    }
    Ok(())
}
