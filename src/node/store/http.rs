//! Client of the store's HTTP interface.

use std::{
    net::SocketAddr,
    sync::{Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_h1::client;
use async_std::{future::timeout, net::TcpStream};
use oleandertiller_fleet::{StoreAnswer, StoreCall, store::StoreItem};
use serde::Deserialize;
use serde_json::Value;
use tide::http::{Method, Request, Response, StatusCode, Url};

use super::Store;

/// Largest number of idle connections: one each for the zone entry, the watch and a command.
const MAX_IDLE_CONNECTIONS: usize = 3;

/// Longest idle time after which a connection is reused. The store may have closed an older one.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// Client of the store over HTTP/1.1 with keep-alive connections.
pub struct HttpStore {
    address: SocketAddr,
    connect_timeout: Duration,
    call_timeout: Duration,
    idle: Mutex<Vec<IdleConnection>>,
}

struct IdleConnection {
    stream: TcpStream,
    since: Instant,
}

/// One key in the answer to a read of a prefix.
#[derive(Deserialize)]
struct Item {
    key: String,
    version: u64,
    value: Value,
}

#[derive(Deserialize)]
struct Lease {
    id: u64,
}

impl HttpStore {
    /// Creates a client without connections.
    pub fn new(address: SocketAddr, connect_timeout: Duration, call_timeout: Duration) -> Self {
        Self { address, connect_timeout, call_timeout, idle: Mutex::default() }
    }

    async fn connect(&self) -> Option<TcpStream> {
        if let Some(stream) = self.take_idle() {
            return Some(stream);
        }
        let opened = timeout(self.connect_timeout, TcpStream::connect(self.address)).await;
        let stream = opened.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(stream)
    }

    fn take_idle(&self) -> Option<TcpStream> {
        let mut idle = self.lock();
        idle.retain(|conn| conn.since.elapsed() < MAX_IDLE_TIME);
        idle.pop().map(|conn| conn.stream)
    }

    fn put_idle(&self, stream: TcpStream) {
        let mut idle = self.lock();
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection { stream, since: Instant::now() });
        }
    }

    async fn exchange(&self, stream: TcpStream, call: &StoreCall) -> Option<StoreAnswer> {
        let request = request(self.address, call)?;
        let mut response = client::connect(stream.clone(), request).await.ok()?;
        let content_length = response.len();
        let body = response.body_string().await.ok()?;
        if content_length.is_some_and(|len| len != body.len()) {
            return None;
        }
        let closes = response.header("connection").is_some_and(|v| v.as_str() == "close");
        if !closes {
            self.put_idle(stream);
        }
        answer(call, &response, body)
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IdleConnection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Store for HttpStore {
    async fn call(&self, call: &StoreCall) -> StoreAnswer {
        let Some(stream) = self.connect().await else { return StoreAnswer::NotSent };
        let wait = match call {
            StoreCall::Watch { timeout, .. } => self.call_timeout + *timeout,
            _ => self.call_timeout,
        };
        match timeout(wait, self.exchange(stream, call)).await {
            Ok(Some(answer)) => answer,
            _ => {
                // The other idle connections have probably failed as well.
                self.lock().clear();
                StoreAnswer::Lost
            }
        }
    }
}

/// Encodes a call as a request. Keys are names, digits and slashes, which need no escaping.
fn request(address: SocketAddr, call: &StoreCall) -> Option<Request> {
    let (method, path, body) = match call {
        StoreCall::Get { key } => (Method::Get, format!("kv/{key}"), None),
        StoreCall::List { prefix } => (Method::Get, format!("kv?prefix={prefix}"), None),
        StoreCall::Put { key, value, if_version, lease } => {
            let lease = lease.map(|id| format!("&lease={id}")).unwrap_or_default();
            (Method::Put, format!("kv/{key}?if-version={if_version}{lease}"), Some(value))
        }
        StoreCall::Watch { key, after, timeout } => {
            let timeout = timeout.as_millis();
            (Method::Get, format!("watch/{key}?after={after}&timeout-ms={timeout}"), None)
        }
        StoreCall::GrantLease { ttl } => {
            (Method::Post, format!("lease?ttl-ms={}", ttl.as_millis()), None)
        }
        StoreCall::RenewLease { lease } => (Method::Post, format!("lease/{lease}/renew"), None),
        StoreCall::DropLease { lease } => (Method::Delete, format!("lease/{lease}"), None),
    };
    let url = Url::parse(&format!("http://{address}/v1/{path}")).ok()?;
    let mut request = Request::new(method, url);
    if let Some(value) = body {
        request.set_body(value.as_str());
    }
    Some(request)
}

/// Decodes the response to a call; `None` when it is not a valid answer to the call.
fn answer(call: &StoreCall, response: &Response, body: String) -> Option<StoreAnswer> {
    let version = || response.header("x-version")?.as_str().parse().ok();
    match (call, response.status()) {
        (StoreCall::Get { .. } | StoreCall::Watch { .. }, StatusCode::Ok) => {
            Some(StoreAnswer::Found { version: version()?, value: body })
        }
        (StoreCall::Watch { .. }, StatusCode::NoContent) => Some(StoreAnswer::Unchanged),
        (StoreCall::List { .. }, StatusCode::Ok) => items(&body).map(StoreAnswer::Listed),
        (StoreCall::Put { .. }, StatusCode::Ok) => {
            Some(StoreAnswer::Written { version: version()? })
        }
        (StoreCall::Put { .. }, StatusCode::Conflict) => Some(StoreAnswer::Conflict),
        (StoreCall::GrantLease { .. }, StatusCode::Ok) => {
            let lease: Lease = serde_json::from_str(&body).ok()?;
            Some(StoreAnswer::Granted { lease: lease.id })
        }
        (StoreCall::RenewLease { .. } | StoreCall::DropLease { .. }, StatusCode::Ok) => {
            Some(StoreAnswer::LeaseDone)
        }
        (_, StatusCode::NotFound) => Some(StoreAnswer::Absent),
        _ => None,
    }
}

fn items(body: &str) -> Option<Vec<StoreItem>> {
    let items: Vec<Item> = serde_json::from_str(body).ok()?;
    let items = items.into_iter().map(|item| StoreItem {
        key: item.key,
        version: item.version,
        value: item.value.to_string(),
    });
    Some(items.collect())
}
