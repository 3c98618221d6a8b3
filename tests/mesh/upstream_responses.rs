//! Responses of faulty upstreams.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::{
    io::WriteExt,
    net::{TcpListener, TcpStream},
    task::{self, block_on},
};
use bytes::Bytes;
use futures_util::AsyncReadExt;
use oleandertiller::{
    mesh::{
        body::{Body, BodyLimits},
        frame,
        http::{Headers, HttpConn, encode_request, encode_response},
        message::{End, OFFER_PATH, Offer, Reply},
        upstream::{Exchange, ExchangeError, PooledConn, exchange, request_health},
    },
    node::{
        inner::{InnerHandler, client::InnerClient, server::InnerServer},
        timer::Timers,
    },
};
use oleandertiller_model::{
    SystemClock, codec,
    message::{CallHead, ReplyHead},
};
use serde::de::DeserializeOwned;
use serde_json::json;

use crate::fleet::Fleet;

/// Opens a connection whose peer answers the first requests with `responses`, one each, and then
/// closes it.
async fn connect_to(responses: Vec<Vec<u8>>) -> HttpConn {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    task::spawn(async move {
        let (mut stream, _): (TcpStream, _) = listener.accept().await.unwrap();
        for response in responses {
            let mut request = [0; 4_096];
            if stream.read(&mut request).await.unwrap_or(0) == 0 {
                return;
            }
            stream.write_all(&response).await.unwrap();
        }
    });
    HttpConn::connect(address).await.unwrap()
}

async fn request_on(conn: HttpConn, reused: bool, id: &str) -> Result<Exchange, ExchangeError> {
    let mut headers = Headers::default();
    headers.set("Host", "x");
    let pooled = PooledConn { conn, reused };
    let limits = BodyLimits::unaccounted(1 << 20);
    exchange(pooled, &encode_request("GET", "/", &headers, &[]), &[], id, &limits).await
}

async fn request(conn: HttpConn, id: &str) -> Result<Exchange, ExchangeError> {
    request_on(conn, false, id).await
}

const HEAD: &str = "HTTP/1.1 200 OK\r\nOleandertiller-Attempt-Id: a\r\n\
                    Oleandertiller-Response-Signature: s\r\n";

/// Guards against a time from a faulty upstream that is too large for the clock.
#[test]
fn idle_time_without_end_is_bounded() {
    block_on(async {
        let head = format!("{HEAD}Keep-Alive: timeout={}\r\nContent-Length: 0\r\n\r\n", u64::MAX);
        let conn = connect_to(vec![head.into_bytes(), Vec::new()]).await;
        let (_, idle) = request(conn, "a").await.unwrap().conn.unwrap();
        assert!(idle <= Duration::from_secs(24 * 3_600), "{idle:?}");
    });
}
/// Guards against a response that is passed on as complete although the upstream stopped in the middle
/// of it, whatever its framing.
#[test]
fn response_cut_short_is_not_complete() {
    block_on(async {
        let length = format!("{HEAD}Content-Length: 5\r\n\r\nhello");
        let chunked = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n");
        let until_close = format!("{HEAD}Connection: close\r\n\r\nhello");
        for (whole, first_undetectable) in
            [(&length, usize::MAX), (&chunked, usize::MAX), (&until_close, until_close.len() - 5)]
        {
            for cut in 0..whole.len().min(first_undetectable) {
                let conn = connect_to(vec![whole.as_bytes()[..cut].to_vec()]).await;
                assert!(request(conn, "a").await.is_err(), "{:?}", &whole[..cut]);
            }
            let conn = connect_to(vec![whole.clone().into_bytes()]).await;
            assert_eq!(request(conn, "a").await.unwrap().response.body.to_vec(), b"hello");
        }
    });
}

/// Guards against a request that is reported as not run because the upstream wrote the refusal of an
/// earlier one again on the connection.
#[test]
fn repeated_refusal_of_an_earlier_request_is_skipped() {
    block_on(async {
        let refusal =
            "HTTP/1.1 503 Busy\r\nOleandertiller-Not-Executed: 1\r\nContent-Length: 0\r\n";
        let answer_b = HEAD.replace("Id: a", "Id: b") + "Content-Length: 5\r\n\r\nhello";
        for stale in [
            format!("{refusal}\r\n"),
            format!("{refusal}Oleandertiller-Attempt-Id: a\r\n\r\n"),
            "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n".to_owned(),
        ] {
            let first = format!("{refusal}Oleandertiller-Attempt-Id: a\r\n\r\n");
            let second = stale.clone() + &answer_b;
            let conn = connect_to(vec![first.into_bytes(), second.into_bytes()]).await;
            let first = request(conn, "a").await.unwrap();
            assert_eq!(first.response.status, 503);
            let second = request_on(first.conn.unwrap().0, true, "b").await.unwrap();
            assert_eq!(second.response.status, 200, "after {stale:?}");
        }
        // On a new connection a refusal without an id can only mean this request.
        let conn = connect_to(vec![format!("{refusal}\r\n").into_bytes()]).await;
        assert_eq!(request(conn, "a").await.unwrap().response.status, 503);
    });
}

/// Status lines that are no response's: outside 200 to 599, a change of the protocol that nobody asked
/// for, and malformed ones.
const INVALID_STATUS_LINES: [&str; 9] = [
    "HTTP/1.1 000 Nothing",
    "HTTP/1.1 099 Low",
    "HTTP/1.1 101 Switching Protocols",
    "HTTP/1.1 600 High",
    "HTTP/1.1 999 Odd",
    "HTTP/1.1 20 Short",
    "HTTP/1.1 2000 Long",
    "HTTP/1.1 -20 Signed",
    "ICY 200 OK",
];

/// Guards against a response with an invalid status that counts as a complete one, of a request and
/// of a health check.
#[test]
fn response_with_an_invalid_status_is_accepted() {
    block_on(async {
        let mut accepted = Vec::new();
        for line in INVALID_STATUS_LINES {
            let whole =
                format!("{}Content-Length: 0\r\n\r\n", HEAD.replace("HTTP/1.1 200 OK", line));
            let conn = connect_to(vec![whole.clone().into_bytes()]).await;
            if request(conn, "a").await.is_ok() {
                accepted.push(format!("request: {line}"));
            }
            let mut conn = connect_to(vec![whole.into_bytes()]).await;
            let host = SocketAddr::from(([127, 0, 0, 1], 1));
            if request_health(&mut conn, "/health", host).await.is_ok() {
                accepted.push(format!("health check: {line}"));
            }
        }
        assert!(accepted.is_empty(), "{accepted:#?}");
    });
}

/// Guards against an invalid status that reaches a client, and against such a run that counts as
/// ended: an unsafe request is not repeated, a safe one is served by another upstream.
#[test]
fn invalid_status_of_an_upstream_reaches_the_client() {
    block_on(async {
        let mut wrong = Vec::new();
        for status in ["000", "099", "600", "999"] {
            let fleet = Fleet::start(2).await;
            // They earn the retry budget for the repeated requests below.
            for n in 0..30 {
                let id = format!("before-{status}-{n}");
                assert_eq!(fleet.request(n % 2, "GET", "/read/1", &id).await.unwrap().status, 200);
            }
            let line = format!("HTTP/1.1 {status} Odd");
            for member in &fleet.members {
                member.upstream.change(|behaviour| behaviour.status_line = Some(line.clone()));
            }
            let id = format!("once-{status}");
            let response = fleet.request(0, "POST", "/release/1", &id).await;
            let seen = response.map_or(0, |response| response.status);
            if (seen, fleet.runs(&id)) != (502, 1) {
                wrong.push(format!("unsafe, {status}: {seen} after {} runs", fleet.runs(&id)));
            }
            let (mut sent, mut runs) = (0, 0);
            for healthy in [1, 0] {
                let lines = [None, Some(line.clone())];
                for (n, member) in fleet.members.iter().enumerate() {
                    let line = lines[usize::from(n != healthy)].clone();
                    member.upstream.change(|behaviour| behaviour.status_line = line);
                }
                for n in 0..2 {
                    let id = format!("again-{status}-{healthy}-{n}");
                    let response = fleet.request(0, "GET", "/read/1", &id).await;
                    let seen = response.map_or(0, |response| response.status);
                    if seen != 200 || fleet.runs(&id) > 2 {
                        wrong.push(format!("safe, {status}: {seen} after {}", fleet.runs(&id)));
                    }
                    (sent, runs) = (sent + 1, runs + fleet.runs(&id));
                }
            }
            if runs <= sent {
                wrong
                    .push(format!("safe, {status}: {runs} runs of {sent} requests, none repeated"));
            }
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}

/// Guards against a connection that is reused although the body of a response without one may still
/// come, which then counts as the beginning of the next response.
#[test]
fn connection_with_a_forbidden_body_is_reused() {
    block_on(async {
        for (status, header, reused) in [
            ("204 No Content", "Content-Length: 0", true),
            ("204 No Content", "Content-Length: 5", false),
            ("304 Not Modified", "Transfer-Encoding: chunked", false),
            ("304 Not Modified", "X-None: 0", true),
        ] {
            let whole = format!("{}{header}\r\n\r\n", HEAD.replace("200 OK", status));
            let conn = connect_to(vec![whole.into_bytes(), Vec::new()]).await;
            let exchange = request(conn, "a").await.unwrap();
            assert!(exchange.response.body.is_empty());
            assert_eq!(exchange.conn.is_some(), reused, "{status}, {header}");
        }
        let written = encode_response(204, &Headers::default(), b"body", false);
        assert!(written.ends_with(b"\r\n\r\n"), "{written:?}");
    });
}

/// Decodes a message between nodes: the lengths of its head and body, then both.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> (T, Body) {
    let head = u32::from_le_bytes(bytes[..4].try_into().unwrap()) as usize;
    let (head, body) = bytes[12..].split_at(head);
    (codec::decode(head).unwrap(), Bytes::copy_from_slice(body).into())
}

/// A peer that passes offers on to another node and changes the status of the answers.
struct ChangingPeer {
    client: InnerClient<SystemClock>,
    /// Inner address of the other node, `node-1`.
    to: SocketAddr,
    status: u16,
}

impl InnerHandler for ChangingPeer {
    async fn call(&self, _: CallHead, _: Bytes) -> Option<(ReplyHead, Bytes)> {
        None
    }

    async fn control(&self, path: &str, body: Bytes) -> Option<Vec<u8>> {
        if path != OFFER_PATH {
            return None;
        }
        let (mut offer, _) = decode::<Offer>(&body);
        offer.node = "node-1".into();
        let deadline = Instant::now() + offer.remaining;
        let offer = frame::encode(&offer, &Body::default()).concat();
        let reply = self.client.request(self.to, OFFER_PATH, offer, deadline).await.ok()?;
        let (mut reply, body) = decode::<Reply>(&reply);
        if let End::Answered(response) = &mut reply.end {
            response.status = self.status;
        }
        Some(frame::encode(&reply, &body).concat())
    }
}

/// Guards against an invalid status in the reply of another node that reaches the client.
#[test]
fn invalid_status_from_a_peer_reaches_the_client() {
    block_on(async {
        let mut fleet = Fleet::start(2).await;
        let timers = Timers::default();
        task::spawn(timers.clone().drive(SystemClock));
        let record = fleet.store.get("mesh/nodes/node-1").unwrap();
        let to = record["inner"].as_str().unwrap().parse().unwrap();
        let mut wrong = Vec::new();
        for (n, status) in [0, 101, 600, 999].into_iter().enumerate() {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let mut changed = record.clone();
            changed["node"] = json!(format!("peer-{n}"));
            changed["inner"] = json!(listener.local_addr().unwrap());
            let client =
                InnerClient::new(SystemClock, timers.clone(), Duration::from_secs(1), 1 << 20);
            let peer = Arc::new(ChangingPeer { client, to, status });
            let (stop, stopped) = async_channel::bounded(1);
            task::spawn(Arc::new(InnerServer::new(peer, 1 << 20)).serve(listener, stopped));
            let key = format!("mesh/nodes/peer-{n}");
            fleet.store.put(&key, &changed);
            task::sleep(Duration::from_millis(1_500)).await;
            // Only the peer is left to ask for the first node, whose own upstream has left.
            if n == 0 {
                assert_eq!(fleet.members[0].announce("draining").await, 200);
            }
            let mut seen = Vec::new();
            for n in 0..6 {
                let id = format!("changed-{status}-{n}");
                let response = fleet.request(0, "POST", "/release/1", &id).await;
                seen.push(response.map_or(0, |response| response.status));
            }
            // Answers of the other node itself are 200.
            if !seen.contains(&502) || seen.iter().any(|status| ![200, 502].contains(status)) {
                wrong.push(format!("{status}: {seen:?}"));
            }
            fleet.store.remove(&key);
            stop.close();
        }
        assert!(wrong.is_empty(), "{wrong:#?}");
    });
}
