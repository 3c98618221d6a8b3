//! What a client asks for.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::config::{Config, RetrySafety, Route};
use oleandertiller_model::{ErrorKind, ServiceName};
use oleandertiller_platform::header;

use super::version_of;
use crate::mesh::{
    http::{Headers, RequestHead},
    owner::Parent,
};

/// Longest time for which a client waits.
const DEADLINE_MAX: Duration = Duration::from_secs(3_600);

/// A request that the configuration allows.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Id of the client's attempt.
    pub id: Arc<str>,
    /// The request that the local upstream runs and for which it makes this call.
    pub parent: Option<Parent>,
    /// Its route.
    pub route: Arc<Route>,
    /// Version of the configuration that chose the route.
    pub config: u64,
    /// Service that is to run it.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Headers for the upstream.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// When its first byte was seen.
    pub arrived: Instant,
    /// Time that the client has left when the request arrives, if it says.
    pub named: Option<Duration>,
    /// When it must have its final answer: the client's deadline or the route's time-out.
    pub deadline: Instant,
}

/// Why a request is not served, and what is known of it.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Why.
    pub kind: ErrorKind,
    /// Id of the client's attempt, if it has one.
    pub id: Option<Arc<str>>,
    /// The host that it names.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Version of the configuration.
    pub config: u64,
}

impl Asked {
    /// Reads a request; `caller` is the service of this instance.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be served.
    pub fn read(
        head: RequestHead,
        body: Vec<u8>,
        arrived: Instant,
        cfg: Option<&Config>,
        caller: &ServiceName,
    ) -> Result<Self, Refusal> {
        let id: Option<Arc<str>> = head.headers.get(header::REQUEST_ID).map(Arc::from);
        let host = head.headers.get("host").unwrap_or("").to_owned();
        let path = head.target.split('?').next().unwrap_or_default();
        let named = head.headers.get(header::DEADLINE);
        let named = named.map(|text| header::read_millis(text).ok_or(ErrorKind::BadDeadline));
        let found = cfg
            .ok_or(ErrorKind::StaleIntent)
            .and_then(|cfg| cfg.route(&host, path).ok_or(ErrorKind::UnknownService));
        let checked = match (id, found, named.transpose()) {
            (Some(id), Ok(route), Ok(named)) if path.starts_with('/') => {
                let service = route.pick_service(rand::random()).cloned();
                service
                    .map(|service| (id, route.clone(), service, named))
                    .ok_or(ErrorKind::NoUpstream)
            }
            (None, ..) | (_, Ok(_), Ok(_)) => Err(ErrorKind::BadRequest),
            (_, Err(kind), _) | (.., Err(kind)) => Err(kind),
        };
        let (id, route, service, named) = match checked {
            Ok(checked) => checked,
            Err(kind) => {
                let id = head.headers.get(header::REQUEST_ID).map(Arc::from);
                let config = version_of(cfg);
                return Err(Refusal { kind, id, host, target: head.target, config });
            }
        };
        let time = named.unwrap_or(route.timeout).min(route.timeout).min(DEADLINE_MAX);
        let mut headers = head.headers;
        headers.remove_hop_by_hop();
        headers.remove("content-length");
        headers.remove("expect");
        for name in header::RESERVED {
            headers.remove(name);
        }
        headers.set(header::CALLER_SERVICE, caller.as_str());
        Ok(Self {
            id,
            parent: None,
            route,
            config: version_of(cfg),
            service,
            method: head.method,
            target: head.target,
            headers,
            body,
            arrived,
            named,
            deadline: arrived + time,
        })
    }

    /// Returns whether the request may run more than once.
    pub fn is_repeatable(&self) -> bool {
        self.route.retry_safety == RetrySafety::Idempotent
    }
}
