//! The ingress: serves requests of external clients and of the local upstream.

mod access;
mod admission;
mod attempts;
mod dispatch;
mod outcome;
mod pipeline;
mod ranking;
mod request;

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
    memory_budget::{Activity, Holder},
    retry_after::retry_after,
};
use oleandertiller_model::{Clock, ErrorKind};
use oleandertiller_platform::header;

use self::{
    outcome::Outcome,
    request::{ClientRequest, Refusal},
};
use super::{
    body::{Body, BodyLimits},
    control::has_input,
    daemon::Shared,
    deployment_state::time_left,
    http::{
        Framing, Headers, HttpConn, HttpError, RequestHead, encode_response, encode_response_head,
        has_body, join_small_body, request_framing,
    },
    memory::ClientGuard,
    message::Response,
    metrics::Decision,
};
use crate::node::accept::{CountGuard, accept_when};

/// Limits on clients while no configuration is known; similar to those that operators configure.
const DEFAULT_LIMITS: ClientLimits = ClientLimits {
    head_bytes: 16 << 10,
    body_bytes: 1 << 20,
    head_time: Duration::from_secs(3),
    idle_time: Duration::from_secs(15),
};

/// Time beyond the idle limit for which a connection stays open, so that a request that a client
/// sends within the limit does not race with the close.
const IDLE_GRACE: Duration = Duration::from_secs(2);

/// Timeout of writing a response to the client.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Longest time for which input is read and discarded before a close: a close with unread input
/// resets the connection, which can lose a response that is still in transit.
const LINGER_TIMEOUT: Duration = Duration::from_millis(300);

/// Expected wait of a request that is refused before dispatch; determines its `Retry-After`.
const REFUSED_EXPECTED_WAIT: Duration = Duration::from_millis(500);

/// What happens to a connection after a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterRequest {
    KeepAlive,
    Close,
    /// Discards further input before closing.
    Linger,
}

/// How the service of a request has ended.
enum Served {
    /// All requests that were read are answered, or the connection ends.
    Done(AfterRequest),
    /// The head of the next request is read, and when its first byte had arrived.
    Next(RequestHead, Instant),
}

/// Why a request could not be read completely.
enum Unread {
    /// The client has closed the connection, or it has broken.
    Gone,
    /// It is refused; the connection can't be used further.
    Refused(ErrorKind),
}

/// A request that has its final outcome.
struct Ended {
    id: Option<Arc<str>>,
    outcome: Outcome,
    arrived: Instant,
}

impl Ended {
    /// Returns about how many bytes are held for the response.
    fn size(&self) -> usize {
        let response = self.outcome.result.as_ref();
        response.map_or(0, |response| response.headers.size() + response.body.len())
    }
}

/// What comes on a connection while a request of it runs.
enum NextInput {
    /// The first bytes of another request.
    Request,
    /// The end of the connection.
    Gone,
}

/// Logs and counts a request as cancelled when it is dropped.
struct CancelGuard<'a, C: Clock> {
    ingress: &'a Ingress<C>,
    request: &'a ClientRequest,
}

impl<C: Clock> CancelGuard<'_, C> {
    /// Ends the guard of a request that has its outcome.
    fn end(self) {
        std::mem::forget(self);
    }
}

impl<C: Clock> Drop for CancelGuard<'_, C> {
    fn drop(&mut self) {
        self.ingress.log_cancelled(self.request);
    }
}

/// The HTTP server for clients and for the local upstream.
pub struct Ingress<C: Clock> {
    shared: Arc<Shared<C>>,
}

impl<C: Clock> Ingress<C> {
    /// Creates the server.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        Self { shared }
    }

    /// Accepts connections until the stop channel is closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Receiver<()>) {
        // Decided before the next connection is accepted, so that a burst finds its bound.
        let serve = |stream: TcpStream, _| {
            let client = self.shared.memory.admit_client(&stream);
            let admitted = client.map(|client| (stream, client));
            self.clone().serve_connection(admitted, stop.clone())
        };
        let ready = || self.shared.memory.room_for_client();
        accept_when(listener, stop.clone(), ready, serve).await;
    }

    async fn serve_connection(
        self: Arc<Self>,
        admitted: Option<(TcpStream, ClientGuard)>,
        stop: Receiver<()>,
    ) {
        let Some((stream, client)) = admitted else {
            self.shared.metrics.count_decision(Decision::Refuse, "no-room-for-connection");
            return;
        };
        let mut conn = match HttpConn::new(stream) {
            Ok(conn) => conn.with_client(client),
            Err(error) => {
                log::info!(error:% = error; "cannot set up client connection");
                return;
            }
        };
        loop {
            match self.serve_next(&mut conn, &stop).await {
                AfterRequest::KeepAlive => {}
                AfterRequest::Close => return,
                AfterRequest::Linger => {
                    conn.shutdown_write();
                    let until = self.shared.clock.now() + LINGER_TIMEOUT;
                    self.shared.timers.within(until, conn.discard_until_close()).await;
                    return;
                }
            }
        }
    }

    fn body_limits(&self, conn: &HttpConn, max: usize) -> BodyLimits {
        let memory = &self.shared.memory;
        let max = max.min(memory.max_body_bytes());
        let limits = BodyLimits::new(max, memory.clone(), Holder::RequestBodies);
        match conn.client() {
            Some(client) => limits.with_client(client.clone()),
            None => limits,
        }
    }

    fn limits(&self) -> ClientLimits {
        self.shared.config().map_or(DEFAULT_LIMITS, |cfg| cfg.limits)
    }

    async fn serve_next(&self, conn: &mut HttpConn, stop: &Receiver<()>) -> AfterRequest {
        let Shared { clock, timers, .. } = &*self.shared;
        let limits = self.limits();
        conn.set_activity(Activity::Idle);
        let idle_deadline = clock.now() + limits.idle_time + IDLE_GRACE;
        if !timers.within(idle_deadline, has_input(conn, stop)).await.unwrap_or(false) {
            return AfterRequest::Close;
        }
        let _active = CountGuard::new(&self.shared.active);
        conn.set_activity(Activity::Reading);
        let (mut head, mut arrived) = match self.read_head(conn, limits).await {
            Ok(read) => read,
            Err(unread) => return self.end_unread(conn, unread).await,
        };
        loop {
            // On the heap, so that an idle connection's task is small.
            match Box::pin(self.serve_request(conn, head, limits, arrived)).await {
                Served::Done(after) => return after,
                Served::Next(next, at) => (head, arrived) = (next, at),
            }
            conn.set_activity(Activity::Reading);
        }
    }

    /// Reads the head of a request whose first bytes have arrived; returns when they had.
    async fn read_head(
        &self,
        conn: &mut HttpConn,
        limits: ClientLimits,
    ) -> Result<(RequestHead, Instant), Unread> {
        let arrived = self.shared.clock.now();
        let head = conn.read_request(limits.head_bytes);
        match self.shared.timers.within(arrived + limits.head_time, head).await {
            Some(Ok(head)) => Ok((head, arrived)),
            Some(Err(HttpError::Closed | HttpError::Broken)) => Err(Unread::Gone),
            Some(Err(HttpError::HeadTooLarge)) => Err(Unread::Refused(ErrorKind::HeadTooLarge)),
            Some(Err(HttpError::NoMemory)) => Err(Unread::Refused(ErrorKind::Overloaded)),
            Some(Err(_)) => Err(Unread::Refused(ErrorKind::BadRequest)),
            None => Err(Unread::Refused(ErrorKind::SlowClient)),
        }
    }

    async fn read_body(
        &self,
        conn: &mut HttpConn,
        head: &RequestHead,
        framing: Framing,
        limits: ClientLimits,
    ) -> Result<Body, Unread> {
        let body_limits = self.body_limits(conn, limits.body_bytes);
        let client_timeout = head.headers.get(header::DEADLINE).and_then(header::read_millis);
        // From now: the head may have waited for the responses to earlier requests.
        let deadline = self.shared.clock.now()
            + client_timeout.unwrap_or(limits.idle_time).min(limits.idle_time);
        let body = conn.read_limited_body(framing, &body_limits);
        match self.shared.timers.within(deadline, body).await {
            Some(Ok(body)) => Ok(body),
            Some(Err(HttpError::BodyTooLarge)) => Err(Unread::Refused(ErrorKind::BodyTooLarge)),
            Some(Err(HttpError::NoMemory)) => Err(Unread::Refused(ErrorKind::Overloaded)),
            Some(Err(HttpError::Malformed)) => Err(Unread::Refused(ErrorKind::BadRequest)),
            Some(Err(_)) => Err(Unread::Gone),
            None => Err(Unread::Refused(ErrorKind::SlowClient)),
        }
    }

    async fn serve_request(
        &self,
        conn: &mut HttpConn,
        head: RequestHead,
        limits: ClientLimits,
        arrived: Instant,
    ) -> Served {
        let Ok(framing) = request_framing(&head.headers) else {
            return Served::Done(self.refuse_unread(conn, ErrorKind::BadRequest).await);
        };
        if head.expects_continue() && conn.write(b"HTTP/1.1 100 Continue\r\n\r\n").await.is_err() {
            return Served::Done(AfterRequest::Close);
        }
        let body = match self.read_body(conn, &head, framing, limits).await {
            Ok(body) => body,
            Err(unread) => return Served::Done(self.end_unread(conn, unread).await),
        };
        conn.set_activity(Activity::Serving);
        if self.is_refusing() {
            return Served::Done(self.refuse_unread(conn, ErrorKind::Draining).await);
        }
        let close = head.close;
        let ended = match self.admit(head, body, arrived) {
            Err(refusal) => {
                let outcome = self.on_refusal(&refusal, arrived);
                Ended { id: refusal.id, outcome, arrived }
            }
            Ok(request) => {
                let bytes = request.size();
                let pipelines = request.is_idempotent() && !close && !self.shared.is_stopping();
                let mut run = pin!(self.run_to_end(request));
                let next = match select(run.as_mut(), pin!(wait_for_next(conn, pipelines))).await {
                    Either::Left((ended, _)) => Ok(ended),
                    Either::Right((next, _)) => Err(next),
                };
                match next {
                    Ok(ended) => ended,
                    Err(NextInput::Gone) => return Served::Done(AfterRequest::Close),
                    Err(NextInput::Request) => {
                        return Box::pin(self.serve_pipelined(conn, run, bytes, limits)).await;
                    }
                }
            }
        };
        let close = close || self.shared.is_stopping();
        let (mut head, body) =
            self.encode_outcome(ended.id.as_deref(), ended.outcome, arrived, close);
        // The body stays in the account until it is written, also if it is copied behind its head.
        let rest = join_small_body(&mut head, &body);
        let until = self.shared.clock.now() + WRITE_TIMEOUT;
        let written = conn.write_message(&head, rest);
        Served::Done(match self.shared.timers.within(until, written).await {
            Some(Ok(())) if close => AfterRequest::Linger,
            Some(Ok(())) => AfterRequest::KeepAlive,
            _ => AfterRequest::Close,
        })
    }

    /// Validates and routes a request that was read completely; refuses one that cannot end before
    /// the process exits.
    fn admit(
        &self,
        head: RequestHead,
        body: Body,
        arrived: Instant,
    ) -> Result<ClientRequest, Refusal> {
        let caller = self.shared.caller();
        let id = head.headers.get(header::REQUEST_ID);
        let is_nested = id.is_some_and(|id| self.shared.owner.is_nested_call(id));
        let cfg = self.shared.config();
        let mut request =
            ClientRequest::read(head, body, arrived, cfg.as_deref(), &caller, is_nested)?;
        if !self.ends_before_exit(&request) {
            return Err(request.refuse(ErrorKind::Draining));
        }
        request.set_parent(self.shared.owner.parent_of(&request.id, &request.service));
        Ok(request)
    }

    /// Runs a request to its final outcome; if it is dropped before, it counts as cancelled.
    async fn run_to_end(&self, request: ClientRequest) -> Ended {
        let unfinished = CancelGuard { ingress: self, request: &request };
        let outcome = self.run_request(&request).await;
        unfinished.end();
        self.log_ended(&request, &outcome);
        Ended { id: Some(request.id.clone()), outcome, arrived: request.arrived }
    }

    /// Returns whether requests are refused because the process is about to exit.
    fn is_refusing(&self) -> bool {
        self.shared.refusing.load(Ordering::SeqCst)
    }

    /// Returns whether a request is likely to end before the process exits.
    fn ends_before_exit(&self, request: &ClientRequest) -> bool {
        let Some(schedule) = self.shared.stop_schedule.get() else { return true };
        let usual_time = self.shared.deployment().usual_answer_time(&request.route.name);
        schedule.may_take(usual_time, self.shared.clock.now())
    }

    fn elapsed_ms(&self, since: Instant) -> u64 {
        self.shared.clock.now().saturating_duration_since(since).as_millis() as u64
    }

    fn log_ended(&self, request: &ClientRequest, outcome: &Outcome) {
        let ms = self.elapsed_ms(request.arrived);
        let (status, why) = outcome.status_and_reason();
        self.shared.metrics.count_request(&request.route.name, status, why, ms);
        if let Err(failure) = &outcome.result {
            self.shared.metrics.count_decision(Decision::Refuse, failure.kind.answer().name);
        }
        log::info!(id = &*request.id, route = &*request.route.name,
            service = request.service.as_str(),
            config = request.config, status = status, why = why, ms = ms,
            parent = request.parent.as_ref().map_or("", |parent| &*parent.id),
            left_ms = time_left(request.deadline, self.shared.clock.now()).as_millis() as u64,
            hops = &*outcome.hops; "request ended");
    }

    fn log_cancelled(&self, request: &ClientRequest) {
        let ms = self.elapsed_ms(request.arrived);
        // The usual status for a request that its client closed.
        self.shared.metrics.count_request(
            &request.route.name,
            499,
            ErrorKind::Cancelled.answer().name,
            ms,
        );
        log::info!(id = &*request.id, route = &*request.route.name, ms = ms;
            "request cancelled by its client");
    }

    fn on_refusal(&self, refusal: &Refusal, arrived: Instant) -> Outcome {
        let id = refusal.id.as_deref().unwrap_or("");
        let why = refusal.kind.answer().name;
        log::info!(id = id, host = &*refusal.host, target = &*refusal.target, why = why,
            config = refusal.config; "request refused");
        let ms = self.elapsed_ms(arrived);
        self.shared.metrics.count_request("none", refusal.kind.answer().status, why, ms);
        self.shared.metrics.count_decision(Decision::Refuse, why);
        Outcome::refused(refusal.kind, REFUSED_EXPECTED_WAIT)
    }

    /// Responds to a request that was not read completely; the connection can't be reused after it.
    async fn refuse_unread(&self, conn: &mut HttpConn, kind: ErrorKind) -> AfterRequest {
        self.log_unread(kind);
        let outcome = Outcome::refused(kind, REFUSED_EXPECTED_WAIT);
        let (bytes, _) = self.encode_outcome(None, outcome, self.shared.clock.now(), true);
        let until = self.shared.clock.now() + WRITE_TIMEOUT;
        match self.shared.timers.within(until, conn.write(&bytes)).await {
            Some(Ok(())) => AfterRequest::Linger,
            _ => AfterRequest::Close,
        }
    }

    /// Ends the connection of a request that could not be read.
    async fn end_unread(&self, conn: &mut HttpConn, unread: Unread) -> AfterRequest {
        match unread {
            Unread::Gone => AfterRequest::Close,
            Unread::Refused(kind) => self.refuse_unread(conn, kind).await,
        }
    }

    fn log_unread(&self, kind: ErrorKind) {
        log::info!(why = kind.answer().name; "request refused before it was read completely");
        self.shared.metrics.count_decision(Decision::Refuse, kind.answer().name);
    }

    fn encode_outcome(
        &self,
        id: Option<&str>,
        outcome: Outcome,
        arrived: Instant,
        close: bool,
    ) -> (Vec<u8>, Body) {
        match outcome.result {
            Ok(Response { status, headers, body }) => {
                // A client would take a body for the beginning of the next response.
                let body = if has_body(status) { body } else { Body::default() };
                (encode_response_head(status, &headers, body.len(), close), body)
            }
            Err(failure) => {
                let mut headers = Headers::default();
                if let Some(id) = id {
                    headers.set(header::REQUEST_ID, id);
                }
                headers.set("Content-Type", "text/plain");
                let (status, text) = (failure.status(), failure.kind.answer().text);
                if status == 401 {
                    headers.set("WWW-Authenticate", "Bearer");
                }
                if status == 503 {
                    let remaining =
                        time_left(outcome.deadline.unwrap_or(arrived), self.shared.clock.now());
                    // If it is not known when the client stops waiting, only the expected wait
                    // bounds the result.
                    let remaining =
                        if remaining.is_zero() { failure.expected_wait * 3 } else { remaining };
                    let wait = retry_after(failure.expected_wait, remaining, rand::random());
                    headers.set("Retry-After", format!("{:.3}", wait.as_secs_f64()));
                }
                (encode_response(status, &headers, text.as_bytes(), close), Body::default())
            }
        }
    }
}

/// Waits for the end of the connection, and if `pipelines`, also for the next request.
async fn wait_for_next(conn: &mut HttpConn, pipelines: bool) -> NextInput {
    if pipelines && matches!(conn.wait_for_input().await, Ok(true)) {
        return NextInput::Request;
    }
    if !pipelines {
        conn.wait_for_close().await;
    }
    NextInput::Gone
}

/// Returns the version of a configuration, or 0 if there is none.
fn version_of(cfg: Option<&Config>) -> u64 {
    cfg.map_or(0, |cfg| cfg.version)
}
