//! Stand-in for the platform's receiver of usage reports; it records broken rules.

use std::{
    collections::BTreeMap,
    future::pending,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use serde_json::Value;
use tide::http::{Response, StatusCode};

use crate::http::{Call, Handler, Server, text};

/// How the endpoint handles the calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum UsageFault {
    /// It executes and answers them.
    #[default]
    None,
    /// It executes them after this time, and answers none.
    Late(Duration),
    /// It neither executes nor answers them.
    Lost,
}

/// An executed call.
#[derive(Clone, Debug)]
pub struct UsageCall {
    /// Node that sent it.
    pub holder: String,
    /// Its fencing token.
    pub token: u64,
    /// Window that it reports.
    pub window: u64,
    /// Reported requests by tenant.
    pub counts: BTreeMap<String, u64>,
    /// When it was executed.
    pub at: Instant,
    /// Whether its token was not too low.
    pub accepted: bool,
}

#[derive(Default)]
struct State {
    fault: UsageFault,
    calls: Vec<UsageCall>,
    /// Raw body of the first accepted report of each window.
    bodies: BTreeMap<u64, Vec<u8>>,
    broken: Vec<String>,
}

impl State {
    fn execute(&mut self, call: &Call) -> StatusCode {
        let header = |name| call.header(name).unwrap_or("").to_owned();
        let body: Value = serde_json::from_slice(&call.body).unwrap_or_default();
        let (Some(window), Some(counts), Ok(token)) = (
            body["window"].as_u64(),
            body["counts"].as_object(),
            header("Oleandertiller-Fencing-Token").parse(),
        ) else {
            self.broken.push("malformed report".to_owned());
            return StatusCode::BadRequest;
        };
        let holder = header("Oleandertiller-Lease-Holder");
        let highest = self.calls.iter().map(|call| call.token).max().unwrap_or(0);
        let accepted = token >= highest;
        let other = |call: &&UsageCall| call.token == token && call.holder != holder;
        if let Some(other) = self.calls.iter().find(other) {
            self.broken.push(format!("{holder} and {} share the token {token}", other.holder));
        }
        let counts = counts.iter().map(|(tenant, n)| (tenant.clone(), n.as_u64().unwrap_or(0)));
        let counts = counts.collect();
        self.calls.push(UsageCall { holder, token, window, counts, at: Instant::now(), accepted });
        if !accepted {
            return StatusCode::Conflict;
        }
        let first = self.bodies.entry(window).or_insert_with(|| call.body.clone());
        if *first != call.body {
            self.broken.push(format!("two different reports of window {window}"));
        }
        StatusCode::Ok
    }
}

/// A running endpoint.
pub struct UsageEndpoint {
    state: Arc<Mutex<State>>,
    server: Server,
}

impl UsageEndpoint {
    /// Starts an endpoint.
    ///
    /// # Errors
    ///
    /// Returns the error if the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> io::Result<Self> {
        let state = Arc::default();
        let server = Server::start(addr, Arc::new(RequestHandler(Arc::clone(&state)))).await?;
        Ok(Self { state, server })
    }

    /// Returns the bound address.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets how the next calls are handled.
    pub fn set_fault(&self, fault: UsageFault) {
        lock(&self.state).fault = fault;
    }

    /// Returns the executed calls in order.
    pub fn calls(&self) -> Vec<UsageCall> {
        lock(&self.state).calls.clone()
    }

    /// Returns the broken rules.
    pub fn broken(&self) -> Vec<String> {
        lock(&self.state).broken.clone()
    }
}

struct RequestHandler(Arc<Mutex<State>>);

impl Handler for RequestHandler {
    async fn handle(&self, call: Call) -> Option<Response> {
        if call.path() != "usage" {
            return Some(text(StatusCode::NotFound, "no such endpoint"));
        }
        let fault = lock(&self.0).fault;
        match fault {
            UsageFault::None => Some(text(lock(&self.0).execute(&call), "")),
            UsageFault::Lost => pending().await,
            UsageFault::Late(time) => {
                let state = self.0.clone();
                // The caller may close the connection, which ends this handler.
                task::spawn(async move {
                    task::sleep(time).await;
                    lock(&state).execute(&call);
                });
                pending().await
            }
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
