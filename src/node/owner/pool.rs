//! Keep-alive connections to the local upstream.

use std::{
    io,
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use crate::node::conn::Conn;

/// Largest number of idle connections that are kept. Upstreams accept about 200 connections in all.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Idle time after which a connection is dropped. It is shorter than usual keep-alive timeouts of
/// upstreams, so that the upstream rarely closes a connection while a request is written.
const MAX_IDLE_TIME: Duration = Duration::from_secs(4);

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
            let recent = now.saturating_duration_since(idle.since) < MAX_IDLE_TIME;
            // On a connection that the upstream has closed, the outcome of a request is unknown.
            if recent && idle.address == address && idle.conn.is_idle_and_open() {
                return Ok(idle.conn);
            }
        }
        Conn::connect(address).await
    }

    /// Keeps a connection for reuse; its last answer must have been read to the end.
    pub fn put(&self, conn: Conn, address: SocketAddr, now: Instant) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(Idle { conn, address, since: now });
        }
    }

    /// Drops connections that have been idle for too long.
    pub fn expire(&self, now: Instant) {
        self.lock().retain(|idle| now.saturating_duration_since(idle.since) < MAX_IDLE_TIME);
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
