//! The operator port: announcements of the local upstream, health and metrics.

use std::{pin::pin, sync::Arc};

use async_channel::Receiver;
use async_h1::server::{ConnectionStatus, Server, ServerOptions};
use async_std::net::{TcpListener, TcpStream};
use futures_util::{
    AsyncReadExt,
    future::{Either, select},
};
use oleandertiller_model::{Clock, ErrorKind};
use serde_json::json;
use tide::{Request, Response, StatusCode};

use crate::node::{
    accept::accept,
    config::MAX_HEAD_BYTES,
    conn::Conn,
    metrics::Metrics,
    owner::{Owner, state::Announcement},
};

/// Largest announcement, in bytes.
const MAX_ANNOUNCEMENT_BYTES: u64 = 16 << 10;

/// Content type of the metrics: the OpenMetrics text format.
const METRICS_CONTENT_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// State that the routes of the operator port share.
pub struct OperatorState<C> {
    /// Owner of the local upstream.
    pub owner: Arc<Owner<C>>,
    /// Metrics of the node.
    pub metrics: Metrics,
}

impl<C> Clone for OperatorState<C> {
    fn clone(&self) -> Self {
        Self { owner: self.owner.clone(), metrics: self.metrics.clone() }
    }
}

/// Application of the operator port.
pub type OperatorApp<C> = tide::Server<OperatorState<C>>;

/// Creates the application with the routes of the data plane; the control services add theirs.
pub fn app<C: Clock>(owner: Arc<Owner<C>>, metrics: Metrics) -> OperatorApp<C> {
    let mut app = tide::with_state(OperatorState { owner, metrics });
    app.at("/announce").post(announce);
    app.at("/health").get(health);
    app.at("/metrics").get(render);
    app
}

async fn announce<C: Clock>(mut req: Request<OperatorState<C>>) -> tide::Result {
    let mut text = Vec::new();
    let body = req.take_body().into_reader();
    body.take(MAX_ANNOUNCEMENT_BYTES + 1).read_to_end(&mut text).await?;
    if text.len() as u64 > MAX_ANNOUNCEMENT_BYTES {
        return Ok(failure(ErrorKind::BodyTooLarge));
    }
    let Ok(announcement) = serde_json::from_slice::<Announcement>(&text) else {
        return Ok(failure(ErrorKind::BadRequest));
    };
    match req.state().owner.announce(announcement) {
        Ok(()) => Ok(Response::new(StatusCode::NoContent)),
        Err(kind) => Ok(failure(kind)),
    }
}

async fn health<C: Clock>(req: Request<OperatorState<C>>) -> tide::Result {
    let owner = &req.state().owner;
    let load = owner.load();
    let healthy = !owner.is_draining();
    let status = if healthy { StatusCode::Ok } else { StatusCode::ServiceUnavailable };
    let body = json!({
        "state": if healthy { "serving" } else { "draining" },
        "upstream": load.lifecycle,
        "version": load.version,
        "in-flight": load.in_flight,
        "limit": load.limit,
        "revision": load.revision,
    });
    Ok(Response::builder(status).body(body).build())
}

async fn render<C: Clock>(req: Request<OperatorState<C>>) -> tide::Result {
    let text = req.state().metrics.render();
    Ok(Response::builder(StatusCode::Ok).content_type(METRICS_CONTENT_TYPE).body(text).build())
}

fn failure(kind: ErrorKind) -> Response {
    let row = kind.answer();
    Response::builder(row.status).header("x-reason", row.name).body(row.text).build()
}

/// Accepts connections until the stop channel is closed.
pub async fn serve<C: Clock>(app: OperatorApp<C>, listener: TcpListener, stop: Receiver<()>) {
    let serve = |stream, _| serve_connection(app.clone(), stream, stop.clone());
    accept(listener, stop.clone(), serve).await;
}

async fn serve_connection<C: Clock>(app: OperatorApp<C>, stream: TcpStream, stop: Receiver<()>) {
    let Ok(conn) = Conn::new(stream) else { return };
    let answer = |req| {
        conn.end_head();
        let app = app.clone();
        async move { app.respond::<tide::http::Request, tide::http::Response>(req).await }
    };
    let mut server = Server::new(conn.clone(), answer).with_opts(ServerOptions::default());
    let mut stopped = pin!(stop.recv());
    loop {
        conn.begin_head(MAX_HEAD_BYTES);
        match select(pin!(server.accept_one()), &mut stopped).await {
            Either::Left((Ok(ConnectionStatus::KeepAlive), _)) => {}
            _ => return,
        }
    }
}
