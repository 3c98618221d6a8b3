//! HTTP client for the operator port of a node.

use std::{net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use tide::http::{Method, Request, Url};

/// Timeout of a request. Within this time a node learns the outcome of a command from the store, or
/// answers that it is unknown.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(15);

/// Response of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct OperatorResponse {
    /// HTTP status.
    pub status: u16,
    /// Response body.
    pub body: String,
}

impl OperatorResponse {
    /// Returns whether the status is a success.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Request to the operator port of a node.
#[derive(Clone, Debug)]
pub(super) struct OperatorRequest<'a> {
    pub method: Method,
    pub path: &'a str,
    pub token: Option<&'a str>,
    pub json: bool,
    pub body: &'a str,
}

impl OperatorRequest<'_> {
    /// Sends the request and returns the response.
    ///
    /// # Errors
    ///
    /// Returns a message that names the node when it sends no response in time.
    pub async fn send(&self, node: SocketAddr) -> Result<OperatorResponse, String> {
        match timeout(RESPONSE_TIMEOUT, self.exchange(node)).await {
            Ok(res) => res.map_err(|error| format!("node {node}: {error}")),
            Err(_) => Err(format!("node {node}: no answer in {} s", RESPONSE_TIMEOUT.as_secs())),
        }
    }

    async fn exchange(&self, node: SocketAddr) -> Result<OperatorResponse, String> {
        let stream = TcpStream::connect(node).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let req = self.request(node)?;
        let mut res = async_h1::connect(stream, req).await.map_err(|error| error.to_string())?;
        let body = res.body_string().await.map_err(|error| error.to_string())?;
        Ok(OperatorResponse { status: u16::from(res.status()), body })
    }

    fn request(&self, node: SocketAddr) -> Result<Request, String> {
        let url = Url::parse(&format!("http://{node}{}", self.path));
        let url = url.map_err(|error| error.to_string())?;
        let mut req = Request::new(self.method, url);
        if let Some(token) = self.token {
            req.insert_header("authorization", format!("Bearer {token}"));
        }
        req.insert_header("accept", if self.json { "application/json" } else { "text/plain" });
        req.insert_header("connection", "close");
        if !self.body.is_empty() {
            req.set_body(self.body);
        }
        Ok(req)
    }
}
