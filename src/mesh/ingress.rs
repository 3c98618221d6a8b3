//! The ingress: requests of the clients and of the upstream of this instance.

mod outcome;
mod placing;
mod request;
mod tried;

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_std::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    config::{ClientLimits, Config},
    retry_after::retry_after,
};
use oleandertiller_model::{Clock, ErrorKind};
use oleandertiller_platform::header;

use self::{
    outcome::Outcome,
    request::{Asked, Refusal},
};
use super::{
    control::has_input,
    daemon::Shared,
    deployment_state::time_left,
    http::{Headers, HttpConn, HttpError, RequestHead, encode_response, request_framing},
    message::Response,
    metrics::Decision,
};
use crate::node::accept::{Counted, accept};

/// Limits on clients until a configuration is known; operators' limits are of this order.
const FIRST_LIMITS: ClientLimits = ClientLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Largest request body, in bytes, whatever operators allow: a message between nodes is limited.
const BODY_MAX_BYTES: usize = 1 << 20;

/// Time beyond the idle limit for which a connection stays open, so that a request which a client
/// sends within the limit does not meet the close.
const IDLE_GRACE: Duration = Duration::from_secs(2);

/// Time in which an answer is taken by the client.
const WRITE_TIME: Duration = Duration::from_secs(5);

/// Longest time for which input is read and dropped before a close; a close with unread input
/// resets the connection and can destroy the answer on its way.
const LINGER_TIME: Duration = Duration::from_millis(300);

/// Wait that a client is told while the node does not know a configuration.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(500);

/// Whether a connection carries another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    KeepAlive,
    Close,
    Linger,
}

/// The port for clients.
pub struct Ingress<C: Clock> {
    shared: Arc<Shared<C>>,
}

impl<C: Clock> Ingress<C> {
    /// Creates the port.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        Self { shared }
    }

    /// Accepts connections until the stop channel is closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Receiver<()>) {
        let serve = |stream, _| self.clone().connection(stream, stop.clone());
        accept(listener, stop.clone(), serve).await;
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, stop: Receiver<()>) {
        let mut conn = match HttpConn::new(stream) {
            Ok(conn) => conn,
            Err(error) => {
                log::info!(error:% = error; "client connection lost before its first request");
                return;
            }
        };
        loop {
            match self.one(&mut conn, &stop).await {
                Next::KeepAlive => {}
                Next::Close => return,
                Next::Linger => {
                    conn.shutdown_write();
                    let until = self.shared.clock.now() + LINGER_TIME;
                    self.shared.timers.within(until, conn.wait_for_close()).await;
                    return;
                }
            }
        }
    }

    fn limits(&self) -> ClientLimits {
        self.shared.config().map_or(FIRST_LIMITS, |cfg| cfg.limits)
    }

    async fn one(&self, conn: &mut HttpConn, stop: &Receiver<()>) -> Next {
        let Shared { clock, timers, .. } = &*self.shared;
        let limits = self.limits();
        let idle_end = clock.now() + limits.idle_time + IDLE_GRACE;
        if !timers.within(idle_end, has_input(conn, stop)).await.unwrap_or(false) {
            return Next::Close;
        }
        let _active = Counted::new(&self.shared.active);
        let arrived = clock.now();
        let head = conn.read_request(limits.head_bytes);
        let head = match timers.within(arrived + limits.head_time, head).await {
            Some(Ok(head)) => head,
            Some(Err(HttpError::Closed | HttpError::Broken)) => return Next::Close,
            Some(Err(HttpError::HeadTooLarge)) => {
                return self.refuse_unread(conn, ErrorKind::HeadTooLarge).await;
            }
            Some(Err(_)) => return self.refuse_unread(conn, ErrorKind::BadRequest).await,
            None => return self.refuse_unread(conn, ErrorKind::SlowClient).await,
        };
        self.request(conn, head, limits, arrived).await
    }

    async fn request(
        &self,
        conn: &mut HttpConn,
        head: RequestHead,
        limits: ClientLimits,
        arrived: Instant,
    ) -> Next {
        let Shared { clock, timers, .. } = &*self.shared;
        let Ok(framing) = request_framing(&head.headers) else {
            return self.refuse_unread(conn, ErrorKind::BadRequest).await;
        };
        if head.headers.contains_token("expect", "100-continue")
            && conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err()
        {
            return Next::Close;
        }
        let body_max = limits.body_bytes.min(BODY_MAX_BYTES);
        let named = head.headers.get(header::DEADLINE).and_then(header::read_millis);
        let body_end = arrived + named.unwrap_or(limits.idle_time).min(limits.idle_time);
        let body = match timers.within(body_end, conn.read_body(framing, body_max)).await {
            Some(Ok(body)) => body,
            Some(Err(HttpError::BodyTooLarge)) => {
                return self.refuse_unread(conn, ErrorKind::BodyTooLarge).await;
            }
            Some(Err(HttpError::Malformed)) => {
                return self.refuse_unread(conn, ErrorKind::BadRequest).await;
            }
            Some(Err(_)) => return Next::Close,
            None => return self.refuse_unread(conn, ErrorKind::SlowClient).await,
        };
        if self.shared.refusing.load(Ordering::Relaxed) {
            return self.refuse_unread(conn, ErrorKind::Draining).await;
        }
        let close = head.close;
        let caller = self.shared.caller();
        let asked = Asked::read(head, body, arrived, self.shared.config().as_deref(), &caller);
        let (id, outcome) = match asked {
            Err(refusal) => (refusal.id.clone(), self.refused(&refusal, arrived)),
            Ok(mut asked) => {
                asked.parent = self.shared.owner.parent_of(&asked.id);
                let served = match select(pin!(self.run(&asked)), pin!(conn.wait_for_close())).await
                {
                    Either::Left((outcome, _)) => Some(outcome),
                    Either::Right(_) => None,
                };
                let Some(outcome) = served else {
                    self.log_gone(&asked);
                    return Next::Close;
                };
                self.log(&asked, &outcome);
                (Some(asked.id.clone()), outcome)
            }
        };
        let close = close || self.shared.stopping.load(Ordering::Relaxed);
        let bytes = self.encode(id.as_deref(), outcome, arrived, close);
        let written = timers.within(clock.now() + WRITE_TIME, conn.write(&bytes)).await;
        match written {
            Some(Ok(())) if close => Next::Linger,
            Some(Ok(())) => Next::KeepAlive,
            _ => Next::Close,
        }
    }

    fn elapsed_ms(&self, since: Instant) -> u64 {
        self.shared.clock.now().saturating_duration_since(since).as_millis() as u64
    }

    fn log(&self, asked: &Asked, outcome: &Outcome) {
        let ms = self.elapsed_ms(asked.arrived);
        let (status, why) = outcome.status_and_reason();
        self.shared.metrics.count_request(&asked.route.name, status, why, ms);
        if let Err(failure) = &outcome.result {
            self.shared.metrics.decided(Decision::Refuse, failure.kind.answer().name);
        }
        log::info!(id = &*asked.id, route = &*asked.route.name, service = asked.service.as_str(),
            config = asked.config, status = status, why = why, ms = ms,
            parent = asked.parent.as_ref().map_or("", |parent| &*parent.id),
            left_ms = time_left(asked.deadline, self.shared.clock.now()).as_millis() as u64,
            hops = &*outcome.hops; "request ended");
    }

    fn log_gone(&self, asked: &Asked) {
        let ms = self.elapsed_ms(asked.arrived);
        self.shared.metrics.count_request(
            &asked.route.name,
            499,
            ErrorKind::Cancelled.answer().name,
            ms,
        );
        log::info!(id = &*asked.id, route = &*asked.route.name, ms = ms;
            "request cancelled by its client");
    }

    fn refused(&self, refusal: &Refusal, arrived: Instant) -> Outcome {
        let id = refusal.id.as_deref().unwrap_or("");
        let why = refusal.kind.answer().name;
        log::info!(id = id, host = &*refusal.host, target = &*refusal.target, why = why,
            config = refusal.config; "request refused");
        let ms = self.elapsed_ms(arrived);
        self.shared.metrics.count_request("none", refusal.kind.answer().status, why, ms);
        self.shared.metrics.decided(Decision::Refuse, why);
        Outcome::refused(refusal.kind, NO_CONFIG_RETRY)
    }

    /// Answers a request that was not read to its end, after which the connection is useless.
    async fn refuse_unread(&self, conn: &mut HttpConn, kind: ErrorKind) -> Next {
        log::info!(why = kind.answer().name; "request refused before it was read");
        self.shared.metrics.decided(Decision::Refuse, kind.answer().name);
        let outcome = Outcome::refused(kind, NO_CONFIG_RETRY);
        let bytes = self.encode(None, outcome, self.shared.clock.now(), true);
        let until = self.shared.clock.now() + WRITE_TIME;
        match self.shared.timers.within(until, conn.write(&bytes)).await {
            Some(Ok(())) => Next::Linger,
            _ => Next::Close,
        }
    }

    fn encode(&self, id: Option<&str>, outcome: Outcome, at: Instant, close: bool) -> Vec<u8> {
        match outcome.result {
            Ok(Response { status, headers, body }) => {
                encode_response(status, &headers, &body, close)
            }
            Err(failure) => {
                let mut headers = Headers::default();
                if let Some(id) = id {
                    headers.set(header::REQUEST_ID, id);
                }
                headers.set("Content-Type", "text/plain");
                let (status, text) = (failure.status(), failure.kind.answer().text);
                if status == 503 {
                    let time_left =
                        time_left(outcome.deadline.unwrap_or(at), self.shared.clock.now());
                    let time_left =
                        if time_left.is_zero() { failure.expected * 3 } else { time_left };
                    let wait = retry_after(failure.expected, time_left, rand::random());
                    headers.set("Retry-After", format!("{:.3}", wait.as_secs_f64()));
                }
                encode_response(status, &headers, text.as_bytes(), close)
            }
        }
    }
}

/// Returns the version of a configuration, 0 for none.
fn version_of(cfg: Option<&Config>) -> u64 {
    cfg.map_or(0, |cfg| cfg.version)
}
