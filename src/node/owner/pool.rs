//! Keep-alive connections to the local upstream.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::node::conn::Conn;

/// Most idle connections kept; upstreams accept about 200.
const MAX_IDLE: usize = 64;

/// Age from which an idle connection is dropped. Shorter than the keep-alive time-outs usual at
/// upstreams, so that a connection is rarely closed by the upstream while a request is written.
const MAX_IDLE_AGE: Duration = Duration::from_secs(4);

struct Idle {
    conn: Conn,
    address: SocketAddr,
    since: Instant,
}

/// Idle connections, the most recently used last.
#[derive(Default)]
pub struct Pool(Mutex<Vec<Idle>>);

impl Pool {
    /// Returns an open idle connection or opens one.
    ///
    /// # Errors
    ///
    /// Returns the system's error when no connection can be opened.
    pub async fn take(&self, address: SocketAddr, now: Instant) -> io::Result<Conn> {
        while let Some(idle) = self.pop() {
            let young = now.saturating_duration_since(idle.since) < MAX_IDLE_AGE;
            // A connection that the upstream closed would turn a request into an unknown outcome.
            if young && idle.address == address && idle.conn.is_idle_and_open() {
                return Ok(idle.conn);
            }
        }
        Conn::connect(address).await
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(&self, conn: Conn, address: SocketAddr, now: Instant) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE {
            idle.push(Idle { conn, address, since: now });
        }
    }

    /// Drops connections that are too old.
    pub fn expire(&self, now: Instant) {
        self.lock().retain(|idle| now.saturating_duration_since(idle.since) < MAX_IDLE_AGE);
    }

    /// Closes all idle connections.
    pub fn clear(&self) {
        self.lock().clear();
    }

    fn pop(&self) -> Option<Idle> {
        self.lock().pop()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Idle>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
