//! The ports for the upstream's announcements, for the platform's question whether the node takes
//! clients, and for metrics.

use std::{
    pin::pin,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_std::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use oleandertiller_mesh::upstream::Stage;
use oleandertiller_model::Clock;
use oleandertiller_platform::{READY_PATH, heartbeat};

use super::{
    daemon::Shared,
    http::{Headers, HttpConn, RequestHead, encode_response, request_framing},
};
use crate::node::accept::accept;

/// Largest head of a request, in bytes.
const HEAD_MAX_BYTES: usize = 16 << 10;

/// Largest body of a request, in bytes; an announcement has a few hundred.
const BODY_MAX_BYTES: usize = 64 << 10;

/// Time after which a connection without requests is closed: several announcements.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time in which one message is read or written.
const MESSAGE_TIME: Duration = Duration::from_secs(2);

/// Longest time for which the answer to a leaving upstream waits for the store to know of it: the
/// upstream takes an answer within a second.
const RECORD_TIME: Duration = Duration::from_millis(300);

/// Time between two looks at whether the record has been written.
const RECORD_LOOK: Duration = Duration::from_millis(10);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves one of the small ports.
pub struct ControlPort<C: Clock> {
    shared: Arc<Shared<C>>,
}

impl<C: Clock> ControlPort<C> {
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
                log::info!(error:% = error; "connection lost before its first message");
                return;
            }
        };
        let timers = &self.shared.timers;
        loop {
            let idle_end = self.shared.clock.now() + IDLE_TIME;
            if !timers.within(idle_end, has_input(&mut conn, &stop)).await.unwrap_or(false) {
                return;
            }
            let end = self.shared.clock.now() + MESSAGE_TIME;
            let Some(Some((head, body))) = timers.within(end, read(&mut conn)).await else {
                let bytes = encode_response(400, &Headers::default(), &[], true);
                // The caller has sent no request that could be answered better.
                timers.within(end + MESSAGE_TIME, conn.write(&bytes)).await;
                return;
            };
            let (status, kind, text) = self.answer(&head, &body).await;
            let mut headers = Headers::default();
            headers.set("Content-Type", kind);
            let bytes = encode_response(status, &headers, text.as_bytes(), head.close);
            let end = self.shared.clock.now() + MESSAGE_TIME;
            let written = timers.within(end, conn.write(&bytes)).await;
            if head.close || !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    }

    async fn answer(&self, head: &RequestHead, body: &[u8]) -> (u16, &'static str, String) {
        const JSON: &str = "application/json";
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET", READY_PATH) => {
                (if self.shared.is_ready() { 200 } else { 503 }, JSON, "{}".into())
            }
            ("GET", METRICS_PATH) => {
                let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                (200, kind, self.shared.metrics.encode())
            }
            (method, path) => match path.strip_prefix(heartbeat::PATH_PREFIX) {
                Some(id) if method == "PUT" => (self.announced(id, body).await, JSON, "{}".into()),
                Some(id) if method == "DELETE" => (self.left(id, body).await, JSON, "{}".into()),
                _ => (404, JSON, "{}".into()),
            },
        }
    }

    async fn announced(&self, id: &str, body: &[u8]) -> u16 {
        let announcement = match heartbeat::read(id, body) {
            Ok(announcement) => announcement,
            Err(error) => {
                log::info!(upstream = id, error:% = error; "announcement not readable");
                return 400;
            }
        };
        let settings = &self.shared.settings.node;
        if announcement.address != settings.upstream
            || !self.shared.accepts_service(&announcement.service)
        {
            log::info!(upstream = id, address:% = announcement.address, service = announcement.service.as_str();
                "announcement of another upstream passed over");
            return 400;
        }
        let leaving = announcement.stage != Stage::Serving;
        self.shared.owner.on_announcement(announcement);
        if leaving {
            self.wait_until_stored().await;
        }
        200
    }

    async fn left(&self, id: &str, body: &[u8]) -> u16 {
        if self.shared.owner.on_leave(id, heartbeat::read_leave(body)) {
            self.wait_until_stored().await;
        }
        200
    }

    /// Waits until the store knows what the upstream has said, but not for long: a process that
    /// starts anew beside a leaving upstream must not use it again.
    async fn wait_until_stored(&self) {
        self.shared.record_changed();
        let end = self.shared.clock.now() + RECORD_TIME;
        while !self.shared.is_record_stored() && self.now() < end {
            self.shared.timers.at(self.now() + RECORD_LOOK).await;
        }
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}

/// Waits for input; returns `false` at the end of the connection or when the ports are closed.
pub async fn has_input(conn: &mut HttpConn, stop: &Receiver<()>) -> bool {
    matches!(
        select(pin!(conn.wait_for_input()), pin!(stop.recv())).await,
        Either::Left((Ok(true), _))
    )
}

async fn read(conn: &mut HttpConn) -> Option<(RequestHead, Vec<u8>)> {
    let head = conn.read_request(HEAD_MAX_BYTES).await.ok()?;
    let framing = request_framing(&head.headers).ok()?;
    let body = conn.read_body(framing, BODY_MAX_BYTES).await.ok()?;
    Some((head, body))
}

impl<C: Clock> Shared<C> {
    /// Returns whether the node takes clients.
    pub fn is_ready(&self) -> bool {
        !self.stopping.load(Ordering::Relaxed) && self.config().is_some()
    }
}
