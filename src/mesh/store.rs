//! Client of the platform's key-value store.

use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::future::timeout;
use oleandertiller_model::Clock;
use oleandertiller_platform::store::{Answer, Call, ERA_HEADER, read_era};

use super::{
    http::{Headers, HttpConn, HttpError, encode_request, response_framing},
    metrics::{Dependency, Metrics},
};

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a call, without the wait of a watch; the store usually answers within a few
/// milliseconds, but is slow at times.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Time after which an idle connection is no longer used.
const MAX_IDLE_TIME: Duration = Duration::from_secs(5);

/// Maximum number of idle connections: one each for the watch, the lease and a write.
const MAX_IDLE_CONNS: usize = 3;

/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum size of a response body, in bytes: a page of 1 MB of base64-encoded values, or a burst
/// of events.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Why a call has no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The call did not reach the store.
    NotSent,
    /// The answer was lost; the call may have taken effect, or may still do so.
    Lost,
    /// The store's answer could not be decoded; holds the reason.
    Unreadable(String),
}

/// A client of the store over HTTP/1.1 with a pool of idle connections.
pub struct Store<C> {
    clock: C,
    address: SocketAddr,
    metrics: Arc<Metrics>,
    idle: Mutex<Vec<(HttpConn, Instant)>>,
    /// Highest era that an answer has told; 0 before the first answer.
    era: AtomicU64,
}

/// Returns the outcome of a call as a metric label.
fn outcome(result: Result<&Answer, &StoreError>) -> &'static str {
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
    /// Creates a client without opening connections.
    pub fn new(address: SocketAddr, clock: C, metrics: Arc<Metrics>) -> Self {
        Self { clock, address, metrics, idle: Mutex::default(), era: AtomicU64::new(0) }
    }

    /// Sends a call and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable answer.
    pub async fn call(&self, call: &Call) -> Result<Answer, StoreError> {
        self.call_in_era(call).await.map(|(answer, _)| answer)
    }

    /// Sends a call and waits for its answer; returns it with the era of the store that it comes
    /// from.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError`] if there is no usable answer.
    pub async fn call_in_era(&self, call: &Call) -> Result<(Answer, u64), StoreError> {
        let started = self.clock.now();
        let result = self.send(call).await;
        let time = self.clock.now().saturating_duration_since(started);
        let call_outcome = outcome(result.as_ref().map(|(answer, _)| answer));
        self.metrics.record_call(Dependency::Store, call.name(), call_outcome, time);
        result
    }

    /// Returns the highest era that an answer has told, 0 before the first answer.
    pub fn era(&self) -> u64 {
        self.era.load(Ordering::Relaxed)
    }

    async fn send(&self, call: &Call) -> Result<(Answer, u64), StoreError> {
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
            // What was acknowledged before a restore may be lost with it.
            Ok(Ok((_, _, era))) if era < self.era() => Err(StoreError::Lost),
            Ok(Ok((status, body, era))) => match call.decode(status, &body) {
                Ok(answer) => Ok((answer, era)),
                Err(error) => Err(StoreError::Unreadable(error.to_string())),
            },
            _ => {
                // Whatever broke this connection has probably broken the idle ones, too.
                self.lock().clear();
                Err(StoreError::Lost)
            }
        }
    }

    /// Returns the status, the body and the era of the answer.
    async fn exchange(
        &self,
        mut conn: HttpConn,
        call: &Call,
    ) -> Result<(u16, Vec<u8>, u64), HttpError> {
        let encoded = call.encode();
        let mut headers = Headers::default();
        headers.set("Host", self.address.to_string());
        if !encoded.body.is_empty() {
            headers.set("Content-Type", "application/json");
        }
        let request = encode_request(encoded.method, &encoded.target, &headers, &encoded.body);
        conn.write(&request).await?;
        let head = conn.read_response(MAX_HEAD_BYTES).await?;
        // A store that tells no era has never been restored.
        let era = head.headers.get(ERA_HEADER).and_then(read_era).unwrap_or(self.era());
        self.on_era(era);
        let framing = response_framing(head.status, &head.headers)?;
        let body = conn.read_body(framing, MAX_BODY_BYTES).await?;
        if !head.close && !conn.has_input() {
            let mut idle = self.lock();
            if idle.len() < MAX_IDLE_CONNS {
                idle.push((conn, self.clock.now()));
            }
        }
        Ok((head.status, body, era))
    }

    fn on_era(&self, era: u64) {
        let previous = self.era.fetch_max(era, Ordering::Relaxed);
        if era > previous {
            self.metrics.set_store_era(era);
        }
        if era > previous && previous > 0 {
            log::warn!(dependency = "store", era = era, previous = previous;
                "store was restored from a copy");
        }
    }

    fn take_idle(&self) -> Option<HttpConn> {
        let now = self.clock.now();
        let mut idle = self.lock();
        let is_fresh = |since: &Instant| now.saturating_duration_since(*since) < MAX_IDLE_TIME;
        idle.retain(|(conn, since)| is_fresh(since) && conn.is_idle_and_open());
        idle.pop().map(|(conn, _)| conn)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(HttpConn, Instant)>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
