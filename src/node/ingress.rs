//! The client port: reads requests, has them run by an owner, and answers.

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
    request::{Asked, BodyKind, body_kind, parse, request_id},
    route::{RouteMaker, Routes},
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
    clients: AtomicUsize,
    active: AtomicUsize,
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

/// Whether a connection carries another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    KeepAlive,
    Close,
    /// Close after input that was not read has been thrown away.
    Linger,
}

/// What the head of a request says about the request itself and its connection.
struct Head {
    id: RequestId,
    body: BodyKind,
    asked: Result<Asked, ErrorKind>,
    fresh: bool,
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
        routes_to: Destinations<C>,
    ) -> Self {
        let Destinations { owner, client, ledger } = routes_to;
        let selection = cfg.selection.clone();
        let maker = RouteMaker { selection, zone: cfg.zone.clone(), metrics: metrics.clone() };
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
            routes: Routes::new(maker),
            budgets: Mutex::new(budgets),
            clients: AtomicUsize::new(0),
            active: AtomicUsize::new(0),
        }
    }

    /// Accepts connections until the stop channel is closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Receiver<()>) {
        let serve = |stream, _| self.clone().connection(stream, stop.clone());
        accept(listener, stop.clone(), serve).await;
    }

    /// Returns the number of requests that are not answered yet.
    pub fn active(&self) -> usize {
        self.active.load(Ordering::Relaxed)
    }

    /// Returns the version of a service that this node calls while no rollout is under way.
    pub fn serving_version(&self, service: &ServiceName) -> Option<VersionName> {
        let route = self.routes.find(service.as_str(), &self.view.load(), self.clock.now())?;
        route.admission.serving().cloned()
    }

    /// Returns the monitors of the rollouts of the services that have been called.
    pub fn rollout_monitors(&self) -> Vec<Arc<RolloutMonitor>> {
        let routes = self.routes.all();
        routes.values().filter_map(|route| route.admission.monitor().cloned()).collect()
    }

    async fn connection(self: Arc<Self>, stream: TcpStream, stop: Receiver<()>) {
        let _client = CountGuard::new(&self.clients);
        let Ok(conn) = Conn::new(stream) else { return };
        if self.clients.load(Ordering::Relaxed) > self.cfg.max_clients {
            let _ = self.reject(&conn, None, ErrorKind::Overloaded).await;
            return;
        }
        let mut stopped = pin!(stop.recv());
        loop {
            match self.one_request(&conn, stopped.as_mut()).await {
                Ok(Next::KeepAlive) => {}
                Ok(Next::Linger) => return self.linger(&conn).await,
                Ok(Next::Close) | Err(_) => return,
            }
        }
    }

    async fn one_request(
        self: &Arc<Self>,
        conn: &Conn,
        stopped: Pin<&mut Recv<'_, ()>>,
    ) -> io::Result<Next> {
        let idle_end = self.clock.now() + self.cfg.idle_timeout;
        let waiting = pin!(conn.wait_input());
        let input = select(waiting, stopped);
        if !matches!(self.timers.within(idle_end, input).await, Some(Either::Left((Ok(true), _)))) {
            return Ok(Next::Close);
        }
        let _active = CountGuard::new(&self.active);
        conn.begin_head(self.cfg.head_max_bytes);
        let head_end = self.clock.now() + self.cfg.head_timeout;
        let decoded = self.timers.within(head_end, server::decode(conn.clone())).await;
        conn.end_head();
        match decoded {
            // The second part only reads what is left of the body after the answer.
            Some(Ok(Some((req, _rest)))) => self.request(conn, req).await,
            Some(Ok(None)) => Ok(Next::Close),
            Some(Err(_)) => {
                let kind = conn.fault().unwrap_or(ErrorKind::BadRequest);
                self.reject(conn, None, kind).await
            }
            None => self.reject(conn, None, ErrorKind::SlowClient).await,
        }
    }

    async fn request(self: &Arc<Self>, conn: &Conn, mut req: Request) -> io::Result<Next> {
        let head = match self.head(&req) {
            Ok(head) => head,
            Err(kind) => return self.reject(conn, None, kind).await,
        };
        let asked = match self.admit(&head) {
            Ok(()) => head.asked,
            Err(kind) => Err(self.refuse(&head, kind)),
        };
        if asked.is_err() && head.expects_continue {
            return self
                .reject(conn, Some(&head.id), asked.err().unwrap_or(ErrorKind::Internal))
                .await;
        }
        if head.expects_continue {
            conn.write_message(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec(), &[]).await?;
        }
        let body_end = self.clock.now() + self.cfg.body_timeout;
        let read = read_body(conn, &mut req, head.body, self.cfg.body_max_bytes);
        let body = match self.timers.within(body_end, read).await {
            Some(Ok(body)) => body,
            Some(Err(kind)) => return self.reject(conn, Some(&head.id), kind).await,
            None => return self.reject(conn, Some(&head.id), ErrorKind::SlowClient).await,
        };
        let answer = match asked {
            Ok(asked) => match self.run_until_gone(conn, &asked, head.id.clone(), body).await {
                Some(answer) => answer,
                None => return Ok(Next::Close),
            },
            Err(kind) => {
                self.metrics.count_rejected(kind.outcome());
                Answer::of_kind(kind)
            }
        };
        let close = head.close || self.owner.is_draining();
        self.write(conn, answer, Some(&head.id), close).await?;
        Ok(if close { Next::Close } else { Next::KeepAlive })
    }

    fn head(&self, req: &Request) -> Result<Head, ErrorKind> {
        let now = self.clock.now();
        // Asked before the view is loaded: once fresh again, the view holds the newer intent.
        let fresh = self.view.is_fresh(now);
        let view = self.view.load();
        let header_is = |name: &str, value: &str| {
            req.header(name).is_some_and(|v| v.last().as_str().eq_ignore_ascii_case(value))
        };
        Ok(Head {
            id: request_id(req)?,
            body: body_kind(req, self.cfg.body_max_bytes)?,
            asked: parse(req, |name| self.routes.find(name, &view, now), now, self.cfg.max_depth),
            fresh,
            expects_continue: header_is("expect", "100-continue"),
            close: header_is("connection", "close"),
        })
    }

    /// Checks whether the node takes new work.
    fn admit(&self, head: &Head) -> Result<(), ErrorKind> {
        // Calls of the local upstream for requests in flight are served to the end.
        let depth = head.asked.as_ref().map_or(0, |asked| asked.depth);
        if depth == 0 && self.owner.is_draining() {
            return Err(ErrorKind::Draining);
        }
        // The local upstream's calls belong to requests that were taken before; a depth without
        // such a request is a client's own claim.
        if head.fresh || depth > 0 && self.owner.is_busy() {
            return Ok(());
        }
        Err(ErrorKind::StaleIntent)
    }

    /// Counts a request that the node does not take and returns what is said of it. A request with
    /// a key may have run before, which only the key's keeper knows.
    fn refuse(&self, head: &Head, kind: ErrorKind) -> ErrorKind {
        let Ok(asked) = &head.asked else { return kind };
        let kind = if asked.is_keyed() { ErrorKind::KeeperUnreachable } else { kind };
        asked.route.metrics[asked.kind].burn.record(kind.outcome(), 0, self.clock.now());
        kind
    }

    /// Runs a request; drops it and returns `None` when the client goes.
    async fn run_until_gone(
        self: &Arc<Self>,
        conn: &Conn,
        asked: &Asked,
        id: RequestId,
        body: Bytes,
    ) -> Option<Answer> {
        let started = self.clock.now();
        self.budgets().on_call();
        self.metrics.ingress_in_flight.inc();
        let work = self.run(asked, id, body);
        let gone = async {
            self.timers.at(started + WATCH_AFTER).await;
            conn.closed().await;
        };
        let ended = match select(pin!(work), pin!(gone)).await {
            Either::Left((answer, _)) => Some(answer),
            Either::Right(_) => None,
        };
        self.metrics.ingress_in_flight.dec();
        let outcome = ended.as_ref().map_or(ErrorKind::Cancelled.outcome(), |a| a.outcome);
        let now = self.clock.now();
        let metrics = &asked.route.metrics[asked.kind];
        metrics.count(outcome, now.saturating_duration_since(started).as_secs_f64());
        metrics.burn.record(outcome, ended.as_ref().map_or(0, |a| a.status), now);
        ended
    }

    /// Answers a request whose end cannot be told, after which the connection is useless.
    async fn reject(
        &self,
        conn: &Conn,
        id: Option<&RequestId>,
        kind: ErrorKind,
    ) -> io::Result<Next> {
        self.metrics.count_rejected(kind.outcome());
        self.write(conn, Answer::of_kind(kind), id, true).await?;
        Ok(Next::Linger)
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

    /// Throws input away for a moment, because closing a connection with unread input resets it
    /// and can destroy the answer on its way.
    async fn linger(&self, conn: &Conn) {
        let end = self.clock.now() + LINGER_TIME;
        self.timers.within(end, conn.discard(LINGER_BYTES)).await;
    }

    fn budgets(&self) -> MutexGuard<'_, Budgets> {
        self.budgets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Age of a request from which its client's connection is watched. Watching costs two system calls,
/// and most requests are answered before their client can have lost interest.
const WATCH_AFTER: Duration = Duration::from_millis(5);

/// Longest time for which input is thrown away.
const LINGER_TIME: Duration = Duration::from_millis(500);

/// Most input that is thrown away, in bytes.
const LINGER_BYTES: usize = 4 << 20;

/// Reads the whole body, so that no request is run for a part of one.
async fn read_body(
    conn: &Conn,
    req: &mut Request,
    kind: BodyKind,
    max: usize,
) -> Result<Bytes, ErrorKind> {
    match kind {
        BodyKind::Length(0) => Ok(Bytes::new()),
        BodyKind::Length(len) => {
            conn.read_body(len).await.map(Bytes::from).map_err(|_| ErrorKind::BadRequest)
        }
        BodyKind::Chunked => {
            let mut body = Vec::new();
            let mut reader = req.take_body().into_reader().take(max as u64 + 1);
            let read = reader.read_to_end(&mut body).await;
            read.map_err(|_| ErrorKind::BadRequest)?;
            if body.len() > max { Err(ErrorKind::BodyTooLarge) } else { Ok(body.into()) }
        }
    }
}
