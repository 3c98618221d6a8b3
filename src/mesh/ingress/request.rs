//! Validation and routing of a client's request.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    config::{Config, RetrySafety, Route},
    retry_budget::RetryReason,
    tenants::{ApiKey, Tenant},
};
use oleandertiller_model::{ErrorKind, ServiceName};
use oleandertiller_platform::header;

use super::{access::check_access, version_of};
use crate::mesh::{
    body::Body,
    http::{Headers, RequestHead},
    owner::Parent,
};

/// Maximum time until a request's deadline, even if its route allows more: adding a longer one to
/// the clock could overflow.
const MAX_TIME_TO_DEADLINE: Duration = Duration::from_secs(3_600);

/// A request that is valid and has a route.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// Request id that the client gave this attempt.
    pub id: Arc<str>,
    /// The request that the local upstream is running and on whose behalf it makes this call.
    pub parent: Option<Parent>,
    /// Route that matches its host and path.
    pub route: Arc<Route>,
    /// Version of the configuration that the route comes from.
    pub config: u64,
    /// Service that the request is routed to.
    pub service: ServiceName,
    /// HTTP method, passed to the upstream unchanged.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Priority in queues, of its tenant or else of its route; 0 is the highest.
    pub rank: u32,
    /// Tenant whose key it carries, if any.
    pub tenant: Option<RequestTenant>,
    /// Headers for the upstream.
    pub headers: Headers,
    /// Complete body, without chunked coding.
    pub body: Body,
    /// When its first byte arrived.
    pub arrived: Instant,
    /// Time until the client stops waiting, as its deadline header states on arrival.
    pub client_timeout: Option<Duration>,
    /// When the final response is due, by the client's deadline and the route's timeout.
    pub deadline: Instant,
}

/// The tenant of a request and the key that tells it.
#[derive(Clone, Debug)]
pub struct RequestTenant {
    /// Name given by the operators.
    pub name: Arc<str>,
    /// Key, for another check when the configuration has changed.
    pub key: ApiKey,
}

/// Why a request is refused, and what is known about it.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// Error that is reported to the client.
    pub kind: ErrorKind,
    /// Request id that the client gave this attempt, if any.
    pub id: Option<Arc<str>>,
    /// Value of its `Host` header.
    pub host: String,
    /// Path and query.
    pub target: String,
    /// Version of the configuration in force.
    pub config: u64,
}

impl ClientRequest {
    /// Validates and routes a request; `caller` is the service of the local upstream, and `is_nested`
    /// tells whether that makes the request for one that it runs.
    ///
    /// # Errors
    ///
    /// Returns the reason if the request is malformed, has no route or service, or has no known API key
    /// where one is required.
    pub fn read(
        head: RequestHead,
        body: Body,
        arrived: Instant,
        cfg: Option<&Config>,
        caller: &ServiceName,
        is_nested: bool,
    ) -> Result<Self, Refusal> {
        let id: Option<Arc<str>> = head.headers.get(header::REQUEST_ID).map(Arc::from);
        let host = head.headers.get("host").unwrap_or("").to_owned();
        let path = head.target.split('?').next().unwrap_or_default();
        let client_timeout = head.headers.get(header::DEADLINE);
        let client_timeout =
            client_timeout.map(|text| header::read_millis(text).ok_or(ErrorKind::BadDeadline));
        let found = cfg
            .ok_or(ErrorKind::StaleIntent)
            .and_then(|cfg| cfg.route(&host, path).ok_or(ErrorKind::UnknownService));
        let checked = match (id, found, client_timeout.transpose()) {
            (Some(id), Ok(route), Ok(client_timeout)) if path.starts_with('/') => {
                let service = route.pick_service(rand::random()).cloned();
                service
                    .map(|service| (id, route.clone(), service, client_timeout))
                    .ok_or(ErrorKind::NoUpstream)
            }
            (None, ..) | (_, Ok(_), Ok(_)) => Err(ErrorKind::BadRequest),
            (_, Err(kind), _) | (.., Err(kind)) => Err(kind),
        };
        let checked = checked.and_then(|checked| {
            let access = check_access(cfg, &checked.1, &head.headers, is_nested)?;
            Ok((checked, access))
        });
        let ((id, route, service, client_timeout), tenant) = match checked {
            Ok(checked) => checked,
            Err(kind) => {
                let id = head.headers.get(header::REQUEST_ID).map(Arc::from);
                let config = version_of(cfg);
                return Err(Refusal { kind, id, host, target: head.target, config });
            }
        };
        let time =
            client_timeout.unwrap_or(route.timeout).min(route.timeout).min(MAX_TIME_TO_DEADLINE);
        let mut headers = head.headers;
        headers.remove_hop_by_hop();
        headers.remove("content-length");
        headers.remove("expect");
        for name in header::RESERVED {
            headers.remove(name);
        }
        headers.set(header::CALLER_SERVICE, caller.as_str());
        if cfg.is_some_and(|cfg| cfg.tenants.is_some()) {
            headers.remove(header::AUTHORIZATION);
        }
        if let Some((tenant, _)) = &tenant {
            headers.set(header::TENANT, &*tenant.name);
        }
        let rank = tenant.as_ref().and_then(|(tenant, _)| tenant.priority).unwrap_or(route.rank);
        let tenant =
            tenant.map(|(Tenant { name, .. }, key)| RequestTenant { name: name.clone(), key });
        Ok(Self {
            id,
            parent: None,
            route,
            config: version_of(cfg),
            service,
            method: head.method,
            target: head.target,
            rank,
            tenant,
            headers,
            body,
            arrived,
            client_timeout,
            deadline: arrived + time,
        })
    }

    /// Records the running request on whose behalf the request is made, if any. The request inherits
    /// its rank and remaining time: nobody waits for the answer after that, and the parent fails
    /// without it.
    pub fn set_parent(&mut self, parent: Option<Parent>) {
        if let Some(parent) = &parent {
            self.rank = parent.rank;
            self.deadline = self.deadline.min(parent.deadline);
        }
        self.parent = parent;
    }

    /// Returns why the request is refused although it is valid.
    pub fn refuse(self, kind: ErrorKind) -> Refusal {
        let host = self.headers.get("host").unwrap_or("").to_owned();
        Refusal { kind, id: Some(self.id), host, target: self.target, config: self.config }
    }

    /// Returns about how many bytes the request holds.
    pub fn size(&self) -> usize {
        self.target.len() + self.headers.size() + self.body.len()
    }

    /// Returns what a retry after a failure is for.
    pub fn retry_reason(&self) -> RetryReason {
        match self.parent {
            Some(_) => RetryReason::NestedFailed,
            None => RetryReason::Failed,
        }
    }

    /// Returns whether the request is idempotent, so that it may run more than once.
    pub fn is_idempotent(&self) -> bool {
        self.route.retry_safety == RetrySafety::Idempotent
    }
}
