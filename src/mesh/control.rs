//! HTTP endpoints for the local upstream's heartbeats, the platform's readiness check, and metrics.

use std::{
    pin::pin,
    sync::Arc,
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

/// Maximum size of a request head, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Maximum size of a request body, in bytes; a heartbeat has a few hundred.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Time after which an idle connection is closed; several heartbeat intervals.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout of reading or writing one message.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum time for which the response to a leaving upstream waits for the record's write; the
/// upstream expects a response within a second.
const MAX_RECORD_WAIT: Duration = Duration::from_millis(300);

/// Interval at which to check whether the record has been written.
const RECORD_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Path from which the operators' monitoring reads the metrics.
const METRICS_PATH: &str = "/metrics";

/// Serves heartbeats, readiness checks and metrics, on any number of ports.
pub struct ControlServer<C: Clock> {
    shared: Arc<Shared<C>>,
}

impl<C: Clock> ControlServer<C> {
    /// Creates a server.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        Self { shared }
    }

    /// Accepts connections until the stop channel is closed.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: Receiver<()>) {
        let serve = |stream, _| self.clone().serve_connection(stream, stop.clone());
        accept(listener, stop.clone(), serve).await;
    }

    async fn serve_connection(self: Arc<Self>, stream: TcpStream, stop: Receiver<()>) {
        let mut conn = match HttpConn::new(stream) {
            Ok(conn) => conn,
            Err(error) => {
                log::info!(error:% = error; "connection closed before its first request");
                return;
            }
        };
        let timers = &self.shared.timers;
        loop {
            let idle_deadline = self.shared.clock.now() + IDLE_TIMEOUT;
            if !timers.within(idle_deadline, has_input(&mut conn, &stop)).await.unwrap_or(false) {
                return;
            }
            let deadline = self.shared.clock.now() + MESSAGE_TIMEOUT;
            let Some(Some((head, body))) = timers.within(deadline, read_request(&mut conn)).await
            else {
                let bytes = encode_response(400, &Headers::default(), &[], true);
                // The connection is closed next, so a write error makes no difference.
                timers.within(deadline + MESSAGE_TIMEOUT, conn.write(&bytes)).await;
                return;
            };
            let (status, content_type, text) = self.respond(&head, &body).await;
            let mut headers = Headers::default();
            headers.set("Content-Type", content_type);
            let bytes = encode_response(status, &headers, text.as_bytes(), head.close);
            let deadline = self.shared.clock.now() + MESSAGE_TIMEOUT;
            let written = timers.within(deadline, conn.write(&bytes)).await;
            if head.close || !matches!(written, Some(Ok(()))) {
                return;
            }
        }
    }

    async fn respond(&self, head: &RequestHead, body: &[u8]) -> (u16, &'static str, String) {
        const JSON: &str = "application/json";
        let path = head.target.split('?').next().unwrap_or_default();
        match (head.method.as_str(), path) {
            ("GET", READY_PATH) => {
                (if self.shared.is_ready() { 200 } else { 503 }, JSON, "{}".into())
            }
            ("GET", METRICS_PATH) => {
                self.shared.metrics.set_memory(&self.shared.memory);
                let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
                (200, content_type, self.shared.metrics.encode())
            }
            (method, path) => match path.strip_prefix(heartbeat::PATH_PREFIX) {
                Some(id) if method == "PUT" => {
                    (self.on_heartbeat(id, body).await, JSON, "{}".into())
                }
                Some(id) if method == "DELETE" => {
                    (self.on_leave(id, body).await, JSON, "{}".into())
                }
                _ => (404, JSON, "{}".into()),
            },
        }
    }

    async fn on_heartbeat(&self, id: &str, body: &[u8]) -> u16 {
        let announcement = match heartbeat::read(id, body) {
            Ok(announcement) => announcement,
            Err(error) => {
                log::info!(upstream = id, error:% = error; "malformed heartbeat rejected");
                return 400;
            }
        };
        let settings = &self.shared.settings.node;
        if announcement.address != settings.upstream
            || !self.shared.accepts_service(&announcement.service)
        {
            log::info!(upstream = id, address:% = announcement.address,
                service = announcement.service.as_str();
                "heartbeat of an unexpected upstream rejected");
            return 400;
        }
        let leaving = announcement.stage != Stage::Serving;
        self.shared.owner.on_announcement(announcement);
        if leaving {
            self.wait_until_stored().await;
        }
        200
    }

    async fn on_leave(&self, id: &str, body: &[u8]) -> u16 {
        self.shared.owner.on_leave(id, heartbeat::read_leave(body));
        self.wait_until_stored().await;
        200
    }

    /// Waits up to [`MAX_RECORD_WAIT`] until the store holds the upstream's new stage and its
    /// departure: if this node restarts while the upstream is leaving, it must not use the upstream
    /// again.
    async fn wait_until_stored(&self) {
        self.shared.record_changed();
        let deadline = self.shared.clock.now() + MAX_RECORD_WAIT;
        while !self.shared.is_record_stored() && self.now() < deadline {
            self.shared.timers.at(self.now() + RECORD_POLL_INTERVAL).await;
        }
    }

    fn now(&self) -> Instant {
        self.shared.clock.now()
    }
}

/// Waits for input; returns `false` when the connection or the `stop` channel is closed.
pub async fn has_input(conn: &mut HttpConn, stop: &Receiver<()>) -> bool {
    matches!(
        select(pin!(conn.wait_for_input()), pin!(stop.recv())).await,
        Either::Left((Ok(true), _))
    )
}

async fn read_request(conn: &mut HttpConn) -> Option<(RequestHead, Vec<u8>)> {
    let head = conn.read_request(MAX_HEAD_BYTES).await.ok()?;
    let framing = request_framing(&head.headers).ok()?;
    let body = conn.read_body(framing, MAX_BODY_BYTES).await.ok()?;
    Some((head, body))
}

impl<C: Clock> Shared<C> {
    /// Returns whether the node accepts clients.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.config().is_some()
    }
}
