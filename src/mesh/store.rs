//! The client of the platform's store.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::future::timeout;
use oleandertiller_model::Clock;
use oleandertiller_platform::store::{Answer, Call};

use super::{
    http::{Headers, HttpConn, HttpError, encode_request, response_framing},
    metrics::{Dependency, Metrics},
};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for an answer; the store usually takes a few milliseconds, and is slow at times.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Idle time from which a connection is not used again.
const IDLE_AGE: Duration = Duration::from_secs(5);

/// Idle connections kept: one each for the watch, the lease and a write.
const IDLE_MAX: usize = 3;

/// Largest head of an answer, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// Largest answer, in bytes: a page of 1 MB of values as base64 text in JSON, or a burst of events.
const BODY_MAX_BYTES: usize = 8 << 20;

/// Why a call has no answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// It certainly did not reach the store.
    NotSent,
    /// It may have been carried out, or may still be.
    Lost,
    /// The store's answer makes no sense.
    Unreadable(String),
}

/// The store over HTTP/1.1 with keep-alive connections.
pub struct Store<C> {
    clock: C,
    address: SocketAddr,
    metrics: Arc<Metrics>,
    idle: Mutex<Vec<(HttpConn, Instant)>>,
}

/// Returns how a call ended, for metrics.
fn outcome(result: &Result<Answer, StoreError>) -> &'static str {
    match result {
        Ok(Answer::Busy) => "busy",
        Ok(Answer::Conflict(_)) => "conflict",
        Ok(Answer::Forgotten) => "forgotten",
        Ok(Answer::NoLease) => "no-lease",
        Ok(_) => "done",
        Err(StoreError::NotSent) => "not-sent",
        Err(StoreError::Lost) => "lost",
        Err(StoreError::Unreadable(_)) => "unreadable",
    }
}

impl<C: Clock> Store<C> {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, clock: C, metrics: Arc<Metrics>) -> Self {
        Self { clock, address, metrics, idle: Mutex::default() }
    }

    /// Makes a call.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] when there is no usable answer.
    pub async fn call(&self, call: &Call) -> Result<Answer, StoreError> {
        let started = self.clock.now();
        let result = self.send(call).await;
        let time = self.clock.now().saturating_duration_since(started);
        self.metrics.record_call(Dependency::Store, call.name(), outcome(&result), time);
        result
    }

    async fn send(&self, call: &Call) -> Result<Answer, StoreError> {
        let conn = match self.take_idle() {
            Some(conn) => conn,
            None => {
                let opened = timeout(CONNECT_TIMEOUT, HttpConn::connect(self.address)).await;
                opened.ok().and_then(Result::ok).ok_or(StoreError::NotSent)?
            }
        };
        let wait = match call {
            Call::Watch { wait, .. } => CALL_TIMEOUT + *wait,
            _ => CALL_TIMEOUT,
        };
        match timeout(wait, self.exchange(conn, call)).await {
            Ok(Ok((status, body))) => call
                .decode(status, &body)
                .map_err(|error| StoreError::Unreadable(error.to_string())),
            _ => {
                // The other idle connections are probably as broken as this one.
                self.lock().clear();
                Err(StoreError::Lost)
            }
        }
    }

    async fn exchange(&self, mut conn: HttpConn, call: &Call) -> Result<(u16, Vec<u8>), HttpError> {
        let encoded = call.encode();
        let mut headers = Headers::default();
        headers.set("Host", self.address.to_string());
        if !encoded.body.is_empty() {
            headers.set("Content-Type", "application/json");
        }
        let request = encode_request(encoded.method, &encoded.target, &headers, &encoded.body);
        conn.write(&request).await?;
        let head = conn.read_response(HEAD_MAX_BYTES).await?;
        let framing = response_framing(head.status, &head.headers)?;
        let body = conn.read_body(framing, BODY_MAX_BYTES).await?;
        if !head.close && !conn.has_input() {
            let mut idle = self.lock();
            if idle.len() < IDLE_MAX {
                idle.push((conn, self.clock.now()));
            }
        }
        Ok((head.status, body))
    }

    fn take_idle(&self) -> Option<HttpConn> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let young = |since: &Instant| now.saturating_duration_since(*since) < IDLE_AGE;
        idle.retain(|(conn, since)| young(since) && conn.is_idle_and_open());
        idle.pop().map(|(conn, _)| conn)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(HttpConn, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
