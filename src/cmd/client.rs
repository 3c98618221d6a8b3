//! HTTP client for the operator port of a node.

use std::{net::SocketAddr, time::Duration};

use async_std::{future::timeout, net::TcpStream};
use tide::http::{Method, Request, Url};

/// Longest wait for an answer. A node settles a command against the store within this time, or
/// answers that the outcome is unknown.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(15);

/// Answer of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Body as text.
    pub body: String,
}

impl Answer {
    /// Returns whether the node did what it was asked.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// A request to the operator port.
#[derive(Clone, Debug)]
pub(super) struct Call<'a> {
    pub method: Method,
    pub path: &'a str,
    pub token: Option<&'a str>,
    pub json: bool,
    pub body: &'a str,
}

impl Call<'_> {
    /// Sends the request and returns the answer.
    ///
    /// # Errors
    ///
    /// Returns one sentence when there is no answer.
    pub async fn send(&self, node: SocketAddr) -> Result<Answer, String> {
        match timeout(ANSWER_TIMEOUT, self.exchange(node)).await {
            Ok(answer) => answer.map_err(|error| format!("node {node}: {error}")),
            Err(_) => Err(format!("node {node}: no answer in {} s", ANSWER_TIMEOUT.as_secs())),
        }
    }

    async fn exchange(&self, node: SocketAddr) -> Result<Answer, String> {
        let stream = TcpStream::connect(node).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let req = self.request(node)?;
        let mut res = async_h1::connect(stream, req).await.map_err(|error| error.to_string())?;
        let body = res.body_string().await.map_err(|error| error.to_string())?;
        Ok(Answer { status: u16::from(res.status()), body })
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
