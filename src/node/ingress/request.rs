//! Validation of a client's request against the intent.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{
    ErrorKind, IdempotencyKey, KindSpec, RequestId, Safety, message::CallHead,
};
use tide::http::{Method, Request, headers::CONTENT_LENGTH};
use uuid::Builder;

use super::route::ServiceRoute;

/// Methods that are passed on to upstreams.
pub const METHODS: [&str; 5] = ["GET", "POST", "PUT", "PATCH", "DELETE"];

/// A request whose head is valid and names a known service and kind.
pub struct ClientRequest {
    /// Service that is called.
    pub route: Arc<ServiceRoute>,
    /// Index of the kind in the service's specification.
    pub kind: usize,
    /// When it must be answered.
    pub deadline: Instant,
    /// Number of calls above this one in its call chain.
    pub depth: u8,
    /// HTTP method, as passed to the upstream.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// `content-type` of the body.
    pub content_type: Option<String>,
    /// Idempotency key, parsed and as sent.
    pub key: Option<(IdempotencyKey, String)>,
}

impl ClientRequest {
    /// Returns the kind that is called.
    pub fn spec(&self) -> &KindSpec {
        &self.route.spec.kinds[self.kind]
    }

    /// Returns whether the request must be recorded in a ledger before it is run.
    pub fn is_keyed(&self) -> bool {
        self.key.is_some() && self.spec().safety == Safety::AtMostOnce
    }

    /// Rebuilds a request that another node has forwarded.
    ///
    /// # Errors
    ///
    /// Returns an error if this node does not know the service or the kind.
    pub fn from_call(
        call: &CallHead,
        route: Option<Arc<ServiceRoute>>,
        deadline: Instant,
    ) -> Result<Self, ErrorKind> {
        let route = route.ok_or(ErrorKind::UnknownService)?;
        let kind = route.kind(call.kind.as_str()).ok_or(ErrorKind::UnknownKind)?;
        Ok(Self {
            route,
            kind,
            deadline,
            depth: call.depth,
            method: METHODS.into_iter().find(|method| *method == call.method).unwrap_or("POST"),
            path: call.path.clone(),
            content_type: call.content_type.clone(),
            key: call.key.zip(call.key_text.clone()),
        })
    }
}

/// How the body of a request is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its `content-length`, in bytes.
    Length(usize),
    /// By chunked transfer coding.
    Chunked,
}

/// Returns the request's id: the client's, or a new one.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] when the client's id is too long or not visible ASCII.
pub fn request_id(req: &Request) -> Result<RequestId, ErrorKind> {
    match single_header(req, "x-request-id")? {
        Some(text) => RequestId::parse(text).ok_or(ErrorKind::BadRequest),
        None => Ok(Builder::from_random_bytes(rand::random()).into_uuid().into()),
    }
}

/// Checks how the body is delimited.
///
/// # Errors
///
/// Returns [`ErrorKind::BadRequest`] for framings that servers interpret differently, and
/// [`ErrorKind::BodyTooLarge`] for a length over `max`.
pub fn body_framing(req: &Request, max: usize) -> Result<BodyFraming, ErrorKind> {
    if let Some(coding) = single_header(req, "transfer-encoding")? {
        let chunked = coding.eq_ignore_ascii_case("chunked");
        return if chunked { Ok(BodyFraming::Chunked) } else { Err(ErrorKind::BadRequest) };
    }
    let length = single_header(req, CONTENT_LENGTH.as_str())?;
    let length = length.map_or(Ok(0), str::parse::<usize>).map_err(|_| ErrorKind::BadRequest)?;
    if length <= max { Ok(BodyFraming::Length(length)) } else { Err(ErrorKind::BodyTooLarge) }
}

/// Checks the head of a request that arrived at `now`.
///
/// # Errors
///
/// Returns the kind of the first error found.
pub fn parse(
    req: &Request,
    find: impl Fn(&str) -> Option<Arc<ServiceRoute>>,
    now: Instant,
    max_depth: u8,
) -> Result<ClientRequest, ErrorKind> {
    let method = match req.method() {
        Method::Get => "GET",
        Method::Post => "POST",
        Method::Put => "PUT",
        Method::Patch => "PATCH",
        Method::Delete => "DELETE",
        _ => return Err(ErrorKind::BadRequest),
    };
    let url = req.url();
    let mut segments = url.path().trim_start_matches('/').splitn(3, '/');
    let service = segments.next().unwrap_or_default();
    let kind_name = segments.next().unwrap_or_default();
    let route = find(service).ok_or(ErrorKind::UnknownService)?;
    let kind = route.kind(kind_name).ok_or(ErrorKind::UnknownKind)?;
    let spec = &route.spec.kinds[kind];
    let depth = depth(req, max_depth)?;
    if spec.internal && depth == 0 {
        return Err(ErrorKind::UnknownKind);
    }
    let deadline = now + deadline(req, spec)?;
    let key = key(req, service, kind_name)?;
    let path = match url.query() {
        Some(query) => format!("{}?{query}", url.path()),
        None => url.path().to_owned(),
    };
    let content_type = single_header(req, "content-type")?.map(str::to_owned);
    Ok(ClientRequest { route, kind, deadline, depth, method, path, content_type, key })
}

fn single_header<'a>(req: &'a Request, name: &str) -> Result<Option<&'a str>, ErrorKind> {
    let Some(values) = req.header(name) else { return Ok(None) };
    if values.iter().count() > 1 {
        return Err(ErrorKind::BadRequest);
    }
    Ok(Some(values.last().as_str()))
}

fn deadline(req: &Request, spec: &KindSpec) -> Result<Duration, ErrorKind> {
    let Some(text) = single_header(req, "x-deadline-ms")? else { return Ok(spec.deadline) };
    if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
        return Err(ErrorKind::BadDeadline);
    }
    // Too many digits for a `u64` mean a number beyond any maximum.
    let millis = text.parse::<u64>().unwrap_or(u64::MAX);
    if millis == 0 {
        return Err(ErrorKind::BadDeadline);
    }
    Ok(Duration::from_millis(millis).min(spec.max_deadline))
}

fn depth(req: &Request, max: u8) -> Result<u8, ErrorKind> {
    let Some(text) = single_header(req, "x-call-depth")? else { return Ok(0) };
    let depth: u64 = text.parse().map_err(|_| ErrorKind::BadRequest)?;
    let depth = u8::try_from(depth).unwrap_or(u8::MAX);
    if depth > max { Err(ErrorKind::DepthExceeded) } else { Ok(depth) }
}

fn key(
    req: &Request,
    service: &str,
    kind: &str,
) -> Result<Option<(IdempotencyKey, String)>, ErrorKind> {
    let Some(text) = single_header(req, "idempotency-key")? else { return Ok(None) };
    let scope = format!("{service}/{kind}");
    let key = IdempotencyKey::parse(&scope, text).ok_or(ErrorKind::BadRequest)?;
    Ok(Some((key, text.to_owned())))
}
