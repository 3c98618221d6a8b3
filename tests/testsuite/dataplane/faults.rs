//! Faulty clients, faulty upstreams, cancellation and deadlines.

use std::time::{Duration, Instant};

use async_std::{
    io::WriteExt,
    task::{self, block_on},
};
use oleandertiller_model::NodeName;

use super::fleet::*;

/// Checks the status, outcome and reason of an error answer.
fn assert_error(answer: &Message, status: u16, outcome: &str, reason: &str) {
    let found = (answer.status(), answer.header("x-outcome"), answer.header("x-reason"));
    assert_eq!(found, (status, outcome, reason), "{answer:?}");
}

/// Guards against panics, hangs and wrong answers for requests that are not valid HTTP.
#[test]
fn malformed_heads_are_answered() {
    block_on(async {
        let member = single(config("alone")).await;
        let address = member.node.client_addr();
        let malformed: [&[u8]; 14] = [
            b"garbage\r\n\r\n",
            b"\0\x01\x02\r\n\r\n",
            b"GET /kettle/temper HTTP/1.1\r\n\r\n",
            b"GET /kettle/temper HTTP/1.0\r\nhost: n\r\n\r\n",
            b"GET /kettle/temper HTTP/1.1\r\nhost: n\r\nx-a: \xc3\xa9\r\n\r\n",
            b"GET /kettle/temper HTTP/1.1\r\nhost: n\r\nx-a: \xff\r\n\r\n",
            b"GET /kettle/temper HTTP/1.1\r\nhost: :::\r\n\r\n",
            b"BREW /kettle/temper HTTP/1.1\r\nhost: n\r\n\r\n",
            b"GET /kettle/temper HTTP/1.1\r\nhost: n\r\ncontent-length: -1\r\n\r\n",
            b"GET /kettle/temper HTTP/1.1\r\nhost: n\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\n",
            b"POST /kettle/temper HTTP/1.1\r\nhost: n\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n",
            b"POST /kettle/temper HTTP/1.1\r\nhost: n\r\ntransfer-encoding: gzip\r\n\r\n",
            b"POST /kettle/temper HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n",
            b"GET /kettle/temper HTTP/1.1\r\nhost: n\r\nx-request-id: a b\r\n\r\n",
        ];
        for bytes in malformed {
            let answer = Client::connect(address).await.send_raw(bytes).await;
            let answer = answer.unwrap_or_else(|| panic!("no answer to {bytes:?}"));
            assert_error(&answer, 400, "not-run", "bad-request");
        }
        let mut client = Client::connect(address).await;
        assert_eq!(client.get("/kettle/temper").await.status(), 200);
        assert_eq!(member.upstream.record.runs(), 1);
    });
}

/// Guards against heads and bodies of unbounded size, also chunked bodies without a length.
#[test]
fn oversized_heads_and_bodies_are_refused() {
    block_on(async {
        let member = single(config("alone").with_body_max_bytes(1_000)).await;
        let address = member.node.client_addr();
        let long = format!("GET /kettle/temper?{} HTTP/1.1\r\nhost: n\r\n\r\n", "a".repeat(20_000));
        let answer = Client::connect(address).await.send_raw(long.as_bytes()).await.unwrap();
        assert_error(&answer, 431, "not-run", "head-too-large");
        let many = "x-a: b\r\n".repeat(200);
        let many = format!("GET /kettle/temper HTTP/1.1\r\nhost: n\r\n{many}\r\n");
        let answer = Client::connect(address).await.send_raw(many.as_bytes()).await.unwrap();
        assert_error(&answer, 431, "not-run", "head-too-large");
        let mut client = Client::connect(address).await;
        let answer = client.send("POST", "/kettle/temper", &[], &[b'x'; 1_001]).await;
        assert_error(&answer, 413, "not-run", "body-too-large");
        let chunks = format!("{:x}\r\n{}\r\n", 1_001, "x".repeat(1_001));
        let head = "POST /kettle/temper HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n";
        let answer =
            Client::connect(address).await.send_raw(format!("{head}{chunks}").as_bytes()).await;
        assert_error(&answer.unwrap(), 413, "not-run", "body-too-large");
        let huge =
            "POST /kettle/temper HTTP/1.1\r\nhost: n\r\ncontent-length: 99999999999999\r\n\r\n";
        let answer = Client::connect(address).await.send_raw(huge.as_bytes()).await.unwrap();
        assert_error(&answer, 413, "not-run", "body-too-large");
        let mut client = Client::connect(address).await;
        let answer = client.send("POST", "/kettle/temper", &[], &[b'x'; 1_000]).await;
        assert_eq!(answer.status(), 200);
        assert_eq!(member.upstream.record.runs(), 1);
    });
}

/// Guards against connections held by clients that never finish a request, and against a request
/// that is run with a part of its body.
#[test]
fn slow_and_half_sent_requests_are_not_run() {
    block_on(async {
        let short = Duration::from_millis(100);
        let cfg = config("alone").with_head_timeout(short).with_body_timeout(short);
        let member = single(cfg).await;
        let address = member.node.client_addr();
        let answer =
            Client::connect(address).await.send_raw(b"GET /kettle/temper HT").await.unwrap();
        assert_error(&answer, 408, "not-run", "slow-client");
        let half = b"POST /kettle/temper HTTP/1.1\r\nhost: n\r\ncontent-length: 10\r\n\r\nhalf";
        let answer = Client::connect(address).await.send_raw(half).await.unwrap();
        assert_error(&answer, 408, "not-run", "slow-client");
        let mut client = Client::connect(address).await;
        (&client.stream).write_all(half).await.unwrap();
        client.stream.shutdown(std::net::Shutdown::Write).unwrap();
        let answer = client.read().await.unwrap();
        assert_error(&answer, 400, "not-run", "bad-request");
        assert_eq!(member.upstream.record.runs(), 0);
    });
}

/// Guards against idle connections that are never closed.
#[test]
fn idle_connections_are_closed() {
    block_on(async {
        let cfg = config("alone").with_idle_timeout(Duration::from_millis(100));
        let member = single(cfg).await;
        let mut client = Client::connect(member.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.status(), 200);
        assert!(client.read().await.is_none());
    });
}

/// Guards against requests of unknown services or kinds that reach an owner, and internal kinds
/// that clients can call.
#[test]
fn unknown_names_are_refused() {
    block_on(async {
        let member = single(config("alone")).await;
        let mut client = Client::connect(member.node.client_addr()).await;
        let cases = [
            ("/", "unknown-service"),
            ("/nothing/temper", "unknown-service"),
            ("/kettle", "unknown-kind"),
            ("/kettle/nothing", "unknown-kind"),
            ("/kettle/../../etc/passwd", "unknown-service"),
            ("/kettle/calibrate", "unknown-kind"),
        ];
        for (path, reason) in cases {
            let answer = client.get(path).await;
            assert_error(&answer, 404, "not-run", reason);
        }
        let nested = [("x-call-depth", "1")];
        assert_eq!(client.send("GET", "/kettle/calibrate", &nested, b"").await.status(), 200);
        assert_eq!(member.upstream.record.runs(), 1);
    });
}

/// Guards against deadlines that overflow, that are ignored, or that are read as other values.
#[test]
fn deadlines_are_validated_and_capped() {
    block_on(async {
        let member = single(config("alone")).await;
        let mut client = Client::connect(member.node.client_addr()).await;
        for text in ["0", "-1", "soon", "1.5", "+7", ""] {
            let answer =
                client.send("GET", "/kettle/temper", &[("x-deadline-ms", text)], b"").await;
            assert_error(&answer, 400, "not-run", "bad-deadline");
        }
        for text in ["18446744073709551615", "99999999999999999999999999"] {
            let answer =
                client.send("GET", "/kettle/temper", &[("x-deadline-ms", text)], b"").await;
            assert_eq!(answer.status(), 200);
            let seen = member.upstream.record.last_request.lock().unwrap().clone();
            let left: u64 = seen.header("x-deadline-ms").parse().unwrap();
            assert!(left <= 30_000, "{left} ms left");
        }
        let deep = [("x-call-depth", "99999999999")];
        let answer = client.send("GET", "/kettle/temper", &deep, b"").await;
        assert_error(&answer, 508, "not-run", "depth-exceeded");
    });
}

/// Guards against an answer after the deadline, and an upstream that keeps working on it.
#[test]
fn a_late_upstream_is_cancelled_at_the_deadline() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let started = Instant::now();
        let answer = client.get("/kettle/quick?sleep=3000").await;
        assert_error(&answer, 504, "unknown", "upstream-timeout");
        let elapsed = started.elapsed();
        assert!(elapsed < Duration::from_millis(1_000), "answered after {elapsed:?}");
        let record = owner.upstream.record.clone();
        eventually("the upstream is cancelled", || record.cancelled() == 1).await;
    });
}

/// Guards against work for a client that has disconnected, through one node and through two.
#[test]
fn a_disconnect_of_the_client_cancels_the_request_at_the_upstream() {
    block_on(async {
        let (ingress, owner) = pair().await;
        for (node, cancelled) in [(&ingress.node, 1), (&owner.node, 2)] {
            let client = Client::connect(node.client_addr()).await;
            let request = b"GET /kettle/temper?sleep=5000 HTTP/1.1\r\nhost: n\r\n\r\n";
            (&client.stream).write_all(request).await.unwrap();
            let record = owner.upstream.record.clone();
            eventually("the request runs", || record.runs() == cancelled).await;
            drop(client);
            eventually("the upstream is cancelled", || record.cancelled() == cancelled).await;
            eventually("the slot is free", || owner.node.owner().load().in_flight == 0).await;
        }
    });
}

/// Guards against passing on answers to another request, truncated answers and malformed answers.
#[test]
fn wrong_answers_are_never_passed_on() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let cases = [
            ("other-id", 502, "mismatched-answer"),
            ("no-id", 502, "mismatched-answer"),
            ("cut", 502, "truncated-answer"),
            ("no-length", 502, "truncated-answer"),
            ("hang-up", 502, "connection-lost"),
            ("garbage", 502, "connection-lost"),
            ("non-ascii", 502, "connection-lost"),
        ];
        for (action, status, reason) in cases {
            let runs = owner.upstream.record.runs();
            let path = format!("/kettle/release?{action}");
            let answer = client.send("POST", &path, &[], b"body").await;
            assert_error(&answer, status, "unknown", reason);
            assert_eq!(owner.upstream.record.runs(), runs + 1, "{action} ran once");
        }
        assert_eq!(client.get("/kettle/temper").await.status(), 200);
    });
}

/// Guards against stray bytes after an answer being read as the next answer.
#[test]
fn stray_bytes_close_the_connection_to_the_upstream() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        for _ in 0..5 {
            assert_eq!(client.get("/kettle/release?stray").await.status(), 200);
        }
        let opened = owner.upstream.record.connections.load(std::sync::atomic::Ordering::SeqCst);
        assert_eq!(opened, 5);
    });
}

/// Guards against writing a request to a connection that the upstream has closed: its outcome would
/// be unknown although a new connection could be opened.
#[test]
fn closed_idle_connections_are_not_used() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        for _ in 0..10 {
            assert_eq!(client.get("/kettle/release?close").await.status(), 200);
            // Time for the close to arrive, which follows the answer.
            task::sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(owner.upstream.record.runs(), 10);
    });
}

/// Guards against the outcome "unknown" for a request whose connection to the upstream never
/// opened, and against a refusal that hides that the upstream is unreachable.
#[test]
fn a_request_to_an_unreachable_upstream_is_not_run() {
    block_on(async {
        let member = single(config("alone")).await;
        announce(&member.node, "127.0.0.1:1".parse().unwrap(), "serving").await;
        let mut client = Client::connect(member.node.client_addr()).await;
        let answer = client.get("/kettle/release").await;
        assert_error(&answer, 502, "not-run", "connect-failed");
    });
}

/// Guards against retrying an at-most-once request after an unknown outcome, and against not
/// retrying an idempotent one.
#[test]
fn unknown_outcomes_are_retried_only_for_idempotent_kinds() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let other = Member::start(config("other")).await;
        let mut second = other.info();
        second.node = NodeName::from("other");
        set_owners(&[&ingress, &owner, &other], vec![owner.info(), second]);
        task::sleep(Duration::from_millis(1_100)).await;
        let runs = || owner.upstream.record.runs() + other.upstream.record.runs();
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let answer = client.get("/kettle/release?hang-up").await;
        assert_error(&answer, 502, "unknown", "connection-lost");
        assert_eq!(runs(), 1);
        let answer = client.get("/kettle/temper?hang-up").await;
        assert_error(&answer, 502, "unknown", "connection-lost");
        assert_eq!(runs(), 3);
        let answer = client.get("/kettle/temper?status=500").await;
        assert_eq!((answer.status(), answer.header("x-outcome")), (500, "done"));
        assert_eq!(runs(), 5);
        let answer = client.get("/kettle/release?status=500").await;
        assert_eq!((answer.status(), answer.header("x-outcome")), (500, "done"));
        assert_eq!(runs(), 6);
    });
}

/// Guards against retries that amplify an overload: without retry budget there are none.
#[test]
fn retries_stay_within_the_budget() {
    block_on(async {
        let mut cfg = config("ingress");
        cfg.retry.per_second = 0.0;
        cfg.retry.share_ppm = 100_000;
        let ingress = Member::start(cfg).await;
        let owner = Member::start(config("owner")).await;
        let other = Member::start(config("other")).await;
        set_owners(&[&ingress, &owner, &other], vec![owner.info(), other.info()]);
        let mut client = Client::connect(ingress.node.client_addr()).await;
        for _ in 0..50 {
            client.get("/kettle/temper?hang-up").await;
        }
        let runs = owner.upstream.record.runs() + other.upstream.record.runs();
        assert!((51..=55).contains(&runs), "{runs} runs for 50 requests");
    });
}

/// Guards against closing the connection before the client has read why its request was refused.
#[test]
fn a_refused_upload_still_gets_its_answer() {
    block_on(async {
        let member = single(config("alone").with_body_max_bytes(1_000)).await;
        for _ in 0..10 {
            let mut client = Client::connect(member.node.client_addr()).await;
            let answer = client.send("POST", "/kettle/temper", &[], &vec![b'x'; 500_000]).await;
            assert_error(&answer, 413, "not-run", "body-too-large");
        }
    });
}

/// Guards against queued requests that stay in the queue when a slot becomes free or their client
/// disconnects.
#[test]
fn queued_requests_get_the_slots_that_become_free() {
    block_on(async {
        let member = single(config("alone")).await;
        announce_slots(&member.node, member.upstream.address, "serving", 3).await;
        let address = member.node.client_addr();
        let request = b"GET /kettle/temper?sleep=100 HTTP/1.1\r\nhost: n\r\n\r\n";
        let mut clients = Vec::new();
        for _ in 0..8 {
            let client = Client::connect(address).await;
            (&client.stream).write_all(request).await.unwrap();
            clients.push(client);
        }
        task::sleep(Duration::from_millis(50)).await;
        let load = member.node.owner().load();
        // Some of the slots are reserved for nested calls.
        assert_eq!(load.in_flight + load.queued, 8, "{load:?}");
        assert!((1..=3).contains(&load.in_flight), "{load:?}");
        // Both running and queued requests lose their clients.
        clients.remove(7);
        clients.remove(4);
        clients.remove(1);
        clients.remove(0);
        for mut client in clients {
            assert_eq!(client.read().await.unwrap().status(), 200);
        }
        eventually("no request is left", || !member.node.owner().is_busy()).await;
        assert!(member.upstream.record.cancelled() >= 1);
    });
}
