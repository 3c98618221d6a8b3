//! The client port: reads requests, sends them to an owner and returns its answers.

pub mod answer;
mod attempts;
pub mod budgets;
mod keyed;
mod probe;
pub mod request;
pub mod route;

use std::{
    io,
    pin::{Pin, pin},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use async_channel::{Receiver, Recv};
use async_h1::server;
use async_std::net::{TcpListener, TcpStream};
use bytes::Bytes;
use futures_util::{
    AsyncReadExt,
    future::{Either, select},
};
use oleandertiller_model::{Clock, ErrorKind, RequestId, ServiceName, VersionName};
use tide::http::Request;

use self::{
    answer::Answer,
    budgets::Budgets,
    request::{BodyFraming, ClientRequest, body_framing, parse, request_id},
    route::{RouteBuilder, Routes},
};
use crate::node::{
    accept::{CountGuard, accept},
    config::NodeConfig,
    conn::Conn,
    inner::client::InnerClient,
    metrics::Metrics,
    owner::Owner,
    rollout::monitor::RolloutMonitor,
    shared_ledger::SharedLedger,
    timer::Timers,
    view::ViewCell,
};

/// The client port of a node.
pub struct Ingress<C> {
    cfg: Arc<NodeConfig>,
    clock: C,
    view: ViewCell,
    timers: Timers,
    metrics: Metrics,
    owner: Arc<Owner<C>>,
    client: Arc<InnerClient<C>>,
    ledger: Arc<SharedLedger<C>>,
    routes: Routes,
    budgets: Mutex<Budgets>,
    connections: AtomicUsize,
    in_flight: AtomicUsize,
}

/// Where the client port sends requests.
pub struct Destinations<C> {
    /// Owner of the local upstream.
    pub owner: Arc<Owner<C>>,
    /// Connections to other nodes.
    pub client: Arc<InnerClient<C>>,
    /// Ledger of the node's service.
    pub ledger: Arc<SharedLedger<C>>,
}

/// What happens to a connection after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AfterAnswer {
    KeepAlive,
    Close,
    /// Close after unread input has been discarded.
    Linger,
}

/// What the ingress needs from the head of a request.
struct CheckedHead {
    id: RequestId,
    framing: BodyFraming,
    client_req: Result<ClientRequest, ErrorKind>,
    intent_is_fresh: bool,
    expects_continue: bool,
    close: bool,
}

impl<C: Clock> Ingress<C> {
    /// Creates the client port of a node.
    pub fn new(
        cfg: Arc<NodeConfig>,
        clock: C,
        view: ViewCell,
        timers: Timers,
        metrics: Metrics,
        destinations: Destinations<C>,
    ) -> Self {
        let Destinations { owner, client, ledger } = destinations;
        let selection = cfg.selection.clone();
        let builder = RouteBuilder { selection, zone: cfg.zone.clone(), metrics: metrics.clone() };
        let budgets = Budgets::new(cfg.retry, clock.now());
        Self {
            cfg,
            clock,
            view,
            timers,
            metrics,
            owner,
            client,
            ledger,
            routes: Routes::new(builder),
            budgets: Mutex::new(budgets),
            connections: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
        }
    }

    /// Accepts connections until the stop channel is closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Receiver<()>) {
        let serve = |stream, _| self.clone().serve_connection(stream, stop.clone());
        accept(listener, stop.clone(), serve).await;
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the version of a service that this node calls while no rollout is under way.
    pub fn serving_version(&self, service: &ServiceName) -> Option<VersionName> {
        let route = self.routes.find(service.as_str(), &self.view.load(), self.clock.now())?;
        route.versions.serving().cloned()
    }

    /// Returns the monitors of the rollouts of the services that have been called.
    pub fn rollout_monitors(&self) -> Vec<Arc<RolloutMonitor>> {
        let routes = self.routes.all();
        routes.values().filter_map(|route| route.versions.monitor().cloned()).collect()
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, stop: Receiver<()>) {
        let _connection = CountGuard::new(&self.connections);
        let Ok(conn) = Conn::new(stream) else { return };
        if self.connections.load(Ordering::Relaxed) > self.cfg.max_client_connections {
            let _ = self.reject(&conn, None, ErrorKind::Overloaded).await;
            return;
        }
        let mut stopped = pin!(stop.recv());
        loop {
            match self.serve_request(&conn, stopped.as_mut()).await {
                Ok(AfterAnswer::KeepAlive) => {}
                Ok(AfterAnswer::Linger) => return self.linger(&conn).await,
                Ok(AfterAnswer::Close) | Err(_) => return,
            }
        }
    }

    async fn serve_request(
        self: &Arc<Self>,
        conn: &Conn,
        stopped: Pin<&mut Recv<'_, ()>>,
    ) -> io::Result<AfterAnswer> {
        let idle_end = self.clock.now() + self.cfg.idle_timeout;
        let waiting = pin!(conn.wait_input());
        let input = select(waiting, stopped);
        if !matches!(self.timers.within(idle_end, input).await, Some(Either::Left((Ok(true), _)))) {
            return Ok(AfterAnswer::Close);
        }
        let _in_flight = CountGuard::new(&self.in_flight);
        conn.begin_head(self.cfg.head_max_bytes);
        let head_end = self.clock.now() + self.cfg.head_timeout;
        let decoded = self.timers.within(head_end, server::decode(conn.clone())).await;
        conn.end_head();
        match decoded {
            // The second part would only read the rest of the body after the answer.
            Some(Ok(Some((req, _rest)))) => self.handle_request(conn, req).await,
            Some(Ok(None)) => Ok(AfterAnswer::Close),
            Some(Err(_)) => {
                let kind = conn.head_error().unwrap_or(ErrorKind::BadRequest);
                self.reject(conn, None, kind).await
            }
            None => self.reject(conn, None, ErrorKind::SlowClient).await,
        }
    }

    async fn handle_request(
        self: &Arc<Self>,
        conn: &Conn,
        mut req: Request,
    ) -> io::Result<AfterAnswer> {
        let head = match self.check_head(&req) {
            Ok(head) => head,
            Err(kind) => return self.reject(conn, None, kind).await,
        };
        let client_req = match self.check_admission(&head) {
            Ok(()) => head.client_req,
            Err(kind) => Err(self.record_refusal(&head, kind)),
        };
        if client_req.is_err() && head.expects_continue {
            return self
                .reject(conn, Some(&head.id), client_req.err().unwrap_or(ErrorKind::Internal))
                .await;
        }
        if head.expects_continue {
            conn.write_message(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), &[]).await?;
        }
        let body_end = self.clock.now() + self.cfg.body_timeout;
        let read = read_body(conn, &mut req, head.framing, self.cfg.body_max_bytes);
        let body = match self.timers.within(body_end, read).await {
            Some(Ok(body)) => body,
            Some(Err(kind)) => return self.reject(conn, Some(&head.id), kind).await,
            None => return self.reject(conn, Some(&head.id), ErrorKind::SlowClient).await,
        };
        let answer = match client_req {
            Ok(client_req) => {
                match self.run_while_connected(conn, &client_req, head.id.clone(), body).await {
                    Some(answer) => answer,
                    None => return Ok(AfterAnswer::Close),
                }
            }
            Err(kind) => {
                self.metrics.count_rejected(kind.outcome());
                Answer::of_kind(kind)
            }
        };
        let close = head.close || self.owner.is_draining();
        self.write(conn, answer, Some(&head.id), close).await?;
        Ok(if close { AfterAnswer::Close } else { AfterAnswer::KeepAlive })
    }

    /// Parses the head of a request and checks its limits.
    fn check_head(&self, req: &Request) -> Result<CheckedHead, ErrorKind> {
        let now = self.clock.now();
        // Checked before the view is loaded: once fresh again, the view holds the newer intent.
        let intent_is_fresh = self.view.is_fresh(now);
        let view = self.view.load();
        let header_is = |name: &str, value: &str| {
            req.header(name).is_some_and(|v| v.last().as_str().eq_ignore_ascii_case(value))
        };
        Ok(CheckedHead {
            id: request_id(req)?,
            framing: body_framing(req, self.cfg.body_max_bytes)?,
            client_req: parse(
                req,
                |name| self.routes.find(name, &view, now),
                now,
                self.cfg.max_depth,
            ),
            intent_is_fresh,
            expects_continue: header_is("expect", "100-continue"),
            close: header_is("connection", "close"),
        })
    }

    /// Checks whether the node accepts new work of the request's depth.
    fn check_admission(&self, head: &CheckedHead) -> Result<(), ErrorKind> {
        // A draining node still serves the calls that its upstream makes for requests in flight.
        let depth = head.client_req.as_ref().map_or(0, |client_req| client_req.depth);
        if depth == 0 && self.owner.is_draining() {
            return Err(ErrorKind::Draining);
        }
        // While the intent is stale, nested calls are served only for requests accepted earlier.
        // Without such a request, the depth is an unproven claim of the client.
        if head.intent_is_fresh || depth > 0 && self.owner.is_busy() {
            return Ok(());
        }
        Err(ErrorKind::StaleIntent)
    }

    /// Records a refused request and returns the kind of error for its answer. A request with a
    /// key may have run before, which only the key's keeper knows.
    fn record_refusal(&self, head: &CheckedHead, kind: ErrorKind) -> ErrorKind {
        let Ok(client_req) = &head.client_req else { return kind };
        let kind = if client_req.is_keyed() { ErrorKind::KeeperUnreachable } else { kind };
        client_req.route.metrics[client_req.kind].burn.record(kind.outcome(), 0, self.clock.now());
        kind
    }

    /// Runs a request while its client stays connected; cancels it and returns `None` otherwise.
    async fn run_while_connected(
        self: &Arc<Self>,
        conn: &Conn,
        client_req: &ClientRequest,
        id: RequestId,
        body: Bytes,
    ) -> Option<Answer> {
        let started = self.clock.now();
        self.budgets().on_call();
        self.metrics.ingress_in_flight.inc();
        let work = self.run(client_req, id, body);
        let disconnected = async {
            self.timers.at(started + DISCONNECT_WATCH_DELAY).await;
            conn.closed().await;
        };
        let completed = match select(pin!(work), pin!(disconnected)).await {
            Either::Left((answer, _)) => Some(answer),
            Either::Right(_) => None,
        };
        self.metrics.ingress_in_flight.dec();
        let outcome = completed.as_ref().map_or(ErrorKind::Cancelled.outcome(), |a| a.outcome);
        let now = self.clock.now();
        let metrics = &client_req.route.metrics[client_req.kind];
        metrics.count(outcome, now.saturating_duration_since(started).as_secs_f64());
        metrics.burn.record(outcome, completed.as_ref().map_or(0, |a| a.status), now);
        completed
    }

    /// Answers a request whose body was not read to its end, after which the connection must close.
    async fn reject(
        &self,
        conn: &Conn,
        id: Option<&RequestId>,
        kind: ErrorKind,
    ) -> io::Result<AfterAnswer> {
        self.metrics.count_rejected(kind.outcome());
        self.write(conn, Answer::of_kind(kind), id, true).await?;
        Ok(AfterAnswer::Linger)
    }

    async fn write(
        &self,
        conn: &Conn,
        answer: Answer,
        id: Option<&RequestId>,
        close: bool,
    ) -> io::Result<()> {
        let (head, body) = answer.encode(id, close);
        let end = self.clock.now() + self.cfg.body_timeout;
        let written = self.timers.within(end, conn.write_message(head, &body)).await;
        written.unwrap_or(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Discards input for a while, because closing a connection with unread input resets it and
    /// can destroy an answer in transit.
    async fn linger(&self, conn: &Conn) {
        let end = self.clock.now() + LINGER_TIME;
        self.timers.within(end, conn.discard(MAX_LINGER_BYTES)).await;
    }

    fn budgets(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Time after which the connection of an unanswered request is watched for a client disconnect.
/// Watching costs two system calls, and most requests are answered sooner.
const DISCONNECT_WATCH_DELAY: Duration = Duration::from_millis(5);

/// Longest time for which unread input is discarded before a connection is closed.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Largest amount of unread input that is discarded before a connection is closed, in bytes.
const MAX_LINGER_BYTES: usize = 4 << 20;

/// Reads the whole body, so that no request is run with an incomplete one.
async fn read_body(
    conn: &Conn,
    req: &mut Request,
    framing: BodyFraming,
    max: usize,
) -> Result<Bytes, ErrorKind> {
    match framing {
        BodyFraming::Length(0) => Ok(Bytes::new()),
        BodyFraming::Length(len) => {
            conn.read_body(len).await.map(Bytes::from).map_err(|_| ErrorKind::BadRequest)
        }
        BodyFraming::Chunked => {
            let mut body = Vec::new();
            let mut reader = req.take_body().into_reader().take(max as u64 + 1);
            let read = reader.read_to_end(&mut body).await;
            read.map_err(|_| ErrorKind::BadRequest)?;
            if body.len() > max { Err(ErrorKind::BodyTooLarge) } else { Ok(body.into()) }
        }
    }
}
