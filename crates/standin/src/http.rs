//! HTTP/1.1 server loop and client for the stand-ins.
//!
//! Both sides set `TCP_NODELAY` and send head and body in one write: with Nagle's algorithm and
//! delayed acknowledgements a response on a keep-alive connection takes over 40 ms.

mod client;
mod server;

pub use client::{Client, ClientReply, Pool};
pub use server::{Call, Handler, RawAnswer, RawRest, Server, StatusLine, StopHandle};
pub use tide::http::{Method, Response, StatusCode};

/// Creates a response with status 200 and a JSON body.
pub fn json<T: serde::Serialize>(value: &T) -> Response {
    let mut res = Response::new(StatusCode::Ok);
    res.set_body(serde_json::to_vec(value).unwrap_or_default());
    res.insert_header("content-type", "application/json");
    res
}

/// Creates a response with a plain-text body.
pub fn text(status: StatusCode, body: impl Into<String>) -> Response {
    let mut res = Response::new(status);
    res.set_body(body.into());
    res
}
