//! Upstreams that answer before they have read the request, and break off.

use std::time::Duration;

use async_std::task::block_on;
use bytes::Bytes;
use oleandertiller::mesh::{
    body::BodyLimits,
    http::{Headers, HttpConn, encode_request_head},
    upstream::{Exchange, ExchangeError, PooledConn, exchange},
};
use oleandertiller_model::ErrorKind;
use oleandertiller_standin::{
    http::{RawAnswer, RawRest},
    platform::{MeshUpstream, answer_with_reset},
};
use serde_json::json;

use crate::fleet::{Fleet, Response, call, config};

/// Length of an upload that no socket takes at once, in bytes.
const UPLOAD_BYTES: usize = 16 << 20;

/// Time for which the upload is blocked before the reset.
const RESET_DELAY: Duration = Duration::from_millis(150);

fn early_response(framing: &str, body: &str) -> RawAnswer {
    answer_with_reset(framing, body, RESET_DELAY)
}

async fn upload_to(answer: RawAnswer) -> Result<Exchange, ExchangeError> {
    send_to(answer, UPLOAD_BYTES).await
}

/// Sends a request with a body of `len` bytes to an upstream that answers with `answer`.
async fn send_to(answer: RawAnswer, len: usize) -> Result<Exchange, ExchangeError> {
    let upstream = MeshUpstream::start(([127, 0, 0, 1], 0).into(), "i-0", 4).await.unwrap();
    upstream.change(|behaviour| behaviour.raw_answer = Some(answer));
    let conn = HttpConn::connect(upstream.addr()).await.unwrap();
    let mut headers = Headers::default();
    headers.set("Host", "x");
    headers.set("Oleandertiller-Attempt-Id", "a");
    let head = encode_request_head("POST", "/", &headers, len);
    let body = [Bytes::from(vec![b'x'; len])];
    let pooled = PooledConn { conn, reused: false };
    exchange(pooled, &head, &body, "a", &BodyLimits::unaccounted(1 << 20)).await
}

/// Guards against a response that counts as complete although its connection was reset while the
/// request was still being written: the failed write hides the reset from the reader.
#[test]
fn response_ends_with_a_reset_of_the_upload() {
    block_on(async {
        let truncated = ExchangeError { why: ErrorKind::TruncatedAnswer, response_started: true };
        for framing in ["", "Connection: close\r\n"] {
            let answer = early_response(framing, "part of the body");
            let result = upload_to(answer.clone()).await;
            let result = result.map(|exchange| exchange.response.body.to_vec());
            assert_eq!(result, Err(truncated), "{framing:?}");
            // The request was written completely.
            assert_eq!(send_to(answer.clone(), 0).await.map(drop), Err(truncated), "{framing:?}");
            // The reset arrives together with the part, or instead of it.
            let at_once = RawAnswer { rest: RawRest::Reset(Duration::ZERO), ..answer };
            assert!(upload_to(at_once).await.is_err(), "{framing:?}");
        }
        let short = "Content-Length: 90\r\n";
        assert!(upload_to(early_response(short, "part of the body")).await.is_err());
        // A response whose framing shows that it is complete counts.
        let length = early_response("Content-Length: 4\r\n", "whole");
        let length = RawAnswer { head: length.head[..length.head.len() - 1].to_vec(), ..length };
        let chunks = early_response("Transfer-Encoding: chunked\r\n", "4\r\nwhol\r\n0\r\n\r\n");
        for whole in [length, chunks] {
            let exchange = upload_to(whole).await.unwrap();
            assert_eq!(exchange.response.body.to_vec(), b"whol");
            assert!(exchange.conn.is_none(), "the connection is not reused");
        }
    });
}

/// Guards against a part of a response that reaches a client as a complete one, from the upstream of
/// its own node and from another one; a request that may be repeated is served by the other upstream.
#[test]
fn part_of_a_response_reaches_the_client() {
    block_on(async {
        let mut cfg = config(3, None);
        cfg["limits"]["maxBodyBytes"] = json!(UPLOAD_BYTES);
        for rule in cfg["listeners"][0]["ruleSet"].as_array_mut().unwrap() {
            rule["action"]["timeoutMs"] = json!(8_000);
            rule["targetLatencyMs"] = json!(6_000);
        }
        let fleet = Fleet::start_limited(2, "memory-mb = 160\n", &cfg).await;
        for n in 0..30 {
            // They earn the retry budget for the repeated requests below.
            let id = format!("before-{n}");
            assert_eq!(fleet.request(n % 2, "GET", "/read/1", &id).await.unwrap().status, 200);
        }
        let upload = vec![b'x'; UPLOAD_BYTES];
        let send = async |path: &str, id: &str| -> Option<Response> {
            let ids = [
                ("Oleandertiller-Attempt-Id", id),
                ("Oleandertiller-Deadline-Milliseconds", "8000"),
            ];
            call(fleet.members[0].ingress, "POST", path, "shop.example", &ids, &upload).await
        };
        for faulty in [0, 1] {
            let answer = early_response("", "part of the body");
            fleet.members[faulty]
                .upstream
                .change(|behaviour| behaviour.raw_answer = Some(answer.clone()));
            let mut statuses = Vec::new();
            for n in 0..4 {
                let unsafe_id = format!("unsafe-{faulty}-{n}");
                let response = send("/release/1", &unsafe_id).await.unwrap();
                assert!(!response.body.contains("part"), "{unsafe_id}: {response:?}");
                statuses.push(response.status);
                let safe_id = format!("safe-{faulty}-{n}");
                let response = send("/read/1", &safe_id).await.unwrap();
                assert_eq!(response.status, 200, "{safe_id}");
                assert_eq!(response.body, format!("{safe_id} by i-{}", 1 - faulty));
            }
            assert!(statuses.iter().all(|status| [200, 502].contains(status)), "{statuses:?}");
            fleet.members[faulty].upstream.change(|behaviour| behaviour.raw_answer = None);
        }
    });
}
