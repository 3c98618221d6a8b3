//! The accept loop of the TCP ports, and a guard that counts work in progress.

use std::{
    future::Future,
    net::SocketAddr,
    pin::pin,
    sync::atomic::{AtomicUsize, Ordering},
    time::Duration,
};

use async_channel::Receiver;
use async_std::{
    net::{TcpListener, TcpStream},
    task,
};
use futures_util::future::{Either, select};

/// Pause after a failed accept, for example when no file descriptors are left.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections and serves each in its own task, until the stop channel is closed.
pub async fn accept<F: Future<Output = ()> + Send + 'static>(
    listener: TcpListener,
    stop: Receiver<()>,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) {
    accept_when(listener, stop, || std::future::ready(()), serve).await;
}

/// Accepts connections as [`accept`] does, each after the future that `ready` returns has completed.
pub async fn accept_when<F: Future<Output = ()> + Send + 'static, R: Future<Output = ()>>(
    listener: TcpListener,
    stop: Receiver<()>,
    ready: impl Fn() -> R,
    serve: impl Fn(TcpStream, SocketAddr) -> F,
) {
    let mut stopped = pin!(stop.recv());
    loop {
        ready().await;
        let accepted = match select(pin!(listener.accept()), &mut stopped).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => return,
        };
        match accepted {
            Ok((stream, peer)) => drop(task::spawn(serve(stream, peer))),
            Err(_) => task::sleep(ACCEPT_ERROR_PAUSE).await,
        }
    }
}

/// Increments a counter for as long as it exists.
pub struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    /// Adds one to `count`; dropping the guard subtracts it again.
    pub fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
