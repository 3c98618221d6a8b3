//! Requests that succeed, refusals of new work, and planned stops.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use oleandertiller_model::{Lifecycle, NodeName, ZoneName, intent::ZoneIntent};

use super::fleet::*;

const REQUEST_ID: &str = "3f1c6e0a-7d1b-4d57-9d0e-0d6c6f4f2a11";

/// Guards against parts of a request that are lost or changed on the way through two nodes.
#[test]
fn a_request_passes_through_two_nodes() {
    block_on(async {
        for id in [REQUEST_ID, "order/17:A"] {
            pass_through_two_nodes("POST", id).await;
        }
        for method in ["PUT", "PATCH", "DELETE"] {
            pass_through_two_nodes(method, REQUEST_ID).await;
        }
    });
}

async fn pass_through_two_nodes(method: &str, id: &str) {
    let (ingress, owner) = pair().await;
    let mut client = Client::connect(ingress.node.client_addr()).await;
    let headers = [
        ("x-request-id", id),
        ("idempotency-key", "k-1"),
        ("content-type", "text/x-test"),
        ("x-call-depth", "2"),
    ];
    let answer = client.send(method, "/kettle/temper/7?a=b", &headers, b"warm").await;
    assert_eq!((answer.status(), answer.text().as_str()), (200, "warm"));
    assert_eq!(answer.header("x-outcome"), "done");
    assert_eq!(answer.header("x-request-id"), id);
    assert_eq!(answer.header("x-upstream-version"), "v1");
    assert_eq!(answer.header("content-type"), "text/plain");
    let seen = owner.upstream.record.last_request.lock().unwrap().clone();
    assert_eq!(seen.start_line, format!("{method} /temper/7?a=b HTTP/1.1"));
    assert_eq!(seen.header("x-request-id"), id);
    assert_eq!(seen.header("idempotency-key"), "k-1");
    assert_eq!(seen.header("content-type"), "text/x-test");
    assert_eq!(seen.header("x-call-depth"), "3");
    let left: u64 = seen.header("x-deadline-ms").parse().unwrap();
    assert!((1..=1_000).contains(&left), "{left} ms left");
    assert_eq!(ingress.upstream.record.runs(), 0);
}

/// Guards against calls from a node to its own inner port.
#[test]
fn the_ingress_does_not_call_its_own_node_over_the_inner_port() {
    block_on(async {
        let member = Member::start(config("alone")).await;
        // A call over the inner port would fail on this address.
        let mut info = member.info();
        info.inner = "127.0.0.1:1".parse().unwrap();
        set_owners(&[&member], vec![info]);
        let mut client = Client::connect(member.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.status(), 200);
    });
}

/// Guards against Nagle's algorithm on any of the three connections: it delays each answer by 40 ms
/// from the second request on a connection.
#[test]
fn keep_alive_answers_are_not_delayed() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let mut times = Vec::new();
        for size in [0, 10, 4_000, 20_000].into_iter().cycle().take(40) {
            let started = Instant::now();
            let answer = client.send("POST", "/kettle/temper", &[], &vec![b'x'; size]).await;
            times.push(started.elapsed());
            assert_eq!((answer.status(), answer.body.len()), (200, size));
        }
        times.sort();
        assert!(times[30] < Duration::from_millis(20), "{times:?}");
        let opened = owner.upstream.record.connections.load(std::sync::atomic::Ordering::SeqCst);
        assert_eq!(opened, 1, "the connection to the upstream is reused");
    });
}

/// Guards against bodies that do not fit one frame or one flow-control window.
#[test]
fn large_bodies_pass_whole() {
    block_on(async {
        let (ingress, _owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let body: Vec<u8> = (0..1 << 20).map(|i| (i % 251) as u8).collect();
        for _ in 0..3 {
            let answer = client.send("POST", "/kettle/temper", &[], &body).await;
            assert_eq!(answer.status(), 200);
            assert!(answer.body == body);
        }
    });
}

/// Guards against lost chunks in either direction, and bytes left over from chunked bodies.
#[test]
fn chunked_bodies_are_read_whole() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let head = "POST /kettle/temper HTTP/1.1\r\nhost: n\r\ntransfer-encoding: chunked\r\n\r\n";
        for _ in 0..2 {
            let request = format!("{head}3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            assert_eq!(client.send_raw(request.as_bytes()).await.unwrap().text(), "abcde");
            assert_eq!(client.get("/kettle/temper?chunked").await.text(), "hello world");
        }
        let opened = owner.upstream.record.connections.load(std::sync::atomic::Ordering::SeqCst);
        assert_eq!(opened, 1);
    });
}

/// Guards against dropping the input of a pipelined request or taking it for a disconnect.
#[test]
fn pipelined_requests_are_answered_in_order() {
    block_on(async {
        let (ingress, _owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let request_with = |body: &str| {
            let len = body.len();
            format!(
                "POST /kettle/temper HTTP/1.1\r\nhost: n\r\ncontent-length: {len}\r\n\r\n{body}"
            )
        };
        let all = [request_with("first"), request_with("second"), request_with("third")].concat();
        assert_eq!(client.send_raw(all.as_bytes()).await.unwrap().text(), "first");
        assert_eq!(client.read().await.unwrap().text(), "second");
        assert_eq!(client.read().await.unwrap().text(), "third");
    });
}

/// Guards against a client that waits forever for `100 Continue`.
#[test]
fn expectation_is_answered_before_the_body() {
    block_on(async {
        let (ingress, _owner) = pair().await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let head = "POST /kettle/temper HTTP/1.1\r\nhost: n\r\nexpect: 100-continue\r\n\
                    content-length: 3\r\n\r\n";
        assert_eq!(client.send_raw(head.as_bytes()).await.unwrap().status(), 100);
        assert_eq!(client.send_raw(b"abc").await.unwrap().text(), "abc");
    });
}

/// Guards against a planned stop that interrupts a request in flight, and against one that accepts
/// new work.
#[test]
fn a_planned_stop_finishes_requests_and_refuses_new_ones() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let record = owner.upstream.record.clone();
        let address = ingress.node.client_addr();
        let slow = task::spawn(async move {
            Client::connect(address).await.get("/kettle/temper?sleep=300").await
        });
        eventually("the request is at the upstream", || record.runs() == 1).await;
        let stop = task::spawn(owner.node.close());
        task::sleep(Duration::from_millis(50)).await;
        let mut client = Client::connect(address).await;
        let refused = client.get("/kettle/temper").await;
        assert_eq!((refused.status(), refused.header("x-reason")), (503, "draining"));
        assert_eq!(refused.header("x-outcome"), "not-run");
        let answer = slow.await;
        assert_eq!((answer.status(), answer.header("x-outcome")), (200, "done"));
        stop.await;
        let refused = client.get("/kettle/temper").await;
        assert_eq!(refused.header("x-outcome"), "not-run");
        assert_eq!(refused.header("x-reason"), "connect-failed");
        assert_eq!((record.runs(), record.cancelled()), (1, 0));
        ingress.node.close().await;
    });
}

/// Guards against an ingress that disconnects clients before their answers when it stops, and a
/// stop that waits for idle connections.
#[test]
fn an_ingress_stops_after_its_answers() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let record = owner.upstream.record.clone();
        let address = ingress.node.client_addr();
        let mut idle = Client::connect(address).await;
        assert_eq!(idle.get("/kettle/temper").await.status(), 200);
        let slow = task::spawn(async move {
            Client::connect(address).await.get("/kettle/temper?sleep=200").await
        });
        eventually("the request is at the upstream", || record.runs() == 2).await;
        let started = Instant::now();
        ingress.node.close().await;
        assert_eq!(slow.await.status(), 200);
        assert!(started.elapsed() < Duration::from_secs(5));
        assert!(idle.read().await.is_none(), "idle connections are closed");
    });
}

/// Guards against nested calls of the local upstream being refused while it finishes its requests.
#[test]
fn a_draining_node_still_passes_nested_calls_on() {
    block_on(async {
        let (ingress, _owner) = pair().await;
        ingress.node.drain();
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let nested = client.send("GET", "/kettle/temper", &[("x-call-depth", "1")], b"").await;
        assert_eq!(nested.status(), 200);
        let mut client = Client::connect(ingress.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.header("x-reason"), "draining");
    });
}

/// Guards against new work for an upstream that is draining, cold or not announced.
#[test]
fn announcements_decide_whether_work_is_accepted() {
    block_on(async {
        let member = single(config("alone")).await;
        let mut client = Client::connect(member.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.status(), 200);
        assert_eq!(member.announce("draining").await, 204);
        let refused = client.get("/kettle/temper").await;
        assert_eq!(refused.header("x-reason"), "draining");
        assert_eq!(member.announce("bored").await, 400);
        assert_eq!(member.upstream.record.runs(), 1);

        let cfg = config("late").with_announce_timeout(Duration::from_millis(100));
        let late = single(cfg).await;
        task::sleep(Duration::from_millis(200)).await;
        let mut client = Client::connect(late.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.header("x-reason"), "no-upstream");
    });
}

/// Guards against work in a zone that is out of service, at the owner and at the ingress.
#[test]
fn a_zone_out_of_service_refuses_work() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let zone_out = |view: &mut oleandertiller::node::view::View| {
            let mut intent = intent();
            intent.zones.insert(ZoneName::from("khan-uul"), ZoneIntent::Out);
            view.intent = intent.into();
        };
        owner.view.update(zone_out);
        let mut client = Client::connect(ingress.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.header("x-reason"), "zone-out");
        ingress.view.update(zone_out);
        assert_eq!(client.get("/kettle/temper").await.header("x-reason"), "no-upstream");
        ingress.view.set_serve_until(None);
        assert_eq!(client.get("/kettle/temper").await.header("x-reason"), "stale-intent");
        assert_eq!(owner.upstream.record.runs(), 0);
    });
}

/// Guards against work on a view that is no longer confirmed, as after a pause, at the owner and at
/// the ingress.
#[test]
fn nothing_runs_after_the_view_has_become_stale() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let until = std::time::Instant::now() + Duration::from_millis(50);
        owner.view.set_serve_until(Some(until));
        task::sleep(Duration::from_millis(100)).await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        assert_eq!(client.get("/kettle/temper").await.header("x-reason"), "stale-intent");
        ingress.view.set_serve_until(Some(until));
        assert_eq!(client.get("/kettle/temper").await.header("x-reason"), "stale-intent");
        assert_eq!(owner.upstream.record.runs(), 0);
    });
}

/// Guards against a refusal that reaches the client while another owner has capacity.
#[test]
fn a_refusal_is_retried_at_another_owner() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut gone = owner.info();
        gone.node = NodeName::from("gone");
        gone.inner = "127.0.0.1:1".parse().unwrap();
        gone.lifecycle = Lifecycle::Serving;
        set_owners(&[&ingress], vec![gone, owner.info()]);
        // The retry budget starts empty and gains 10 tokens a second.
        task::sleep(Duration::from_millis(1_100)).await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        for _ in 0..8 {
            assert_eq!(client.get("/kettle/release").await.status(), 200);
        }
    });
}

/// Guards against an answer "not run" for a request that ran and failed, because the retry of the
/// failure was refused elsewhere.
#[test]
fn a_refused_retry_does_not_hide_that_the_request_ran() {
    block_on(async {
        let (ingress, owner) = pair().await;
        let mut gone = owner.info();
        gone.node = NodeName::from("gone");
        gone.inner = "127.0.0.1:1".parse().unwrap();
        gone.lifecycle = Lifecycle::Serving;
        // The cost of another zone makes this owner the second choice.
        gone.zone = ZoneName::from("elsewhere");
        set_owners(&[&ingress], vec![gone, owner.info()]);
        task::sleep(Duration::from_millis(1_100)).await;
        let mut client = Client::connect(ingress.node.client_addr()).await;
        let answer = client.get("/kettle/temper?status=500").await;
        assert_eq!(owner.upstream.record.runs(), 1);
        assert_eq!((answer.status(), answer.header("x-outcome")), (500, "done"));
    });
}

/// Guards against metrics that omit calls, outcomes or the budget.
#[test]
fn metrics_count_calls_by_kind_outcome_and_reason() {
    block_on(async {
        let member = single(config("alone")).await;
        let mut client = Client::connect(member.node.client_addr()).await;
        client.get("/kettle/temper").await;
        client.get("/kettle/temper?hang-up").await;
        client.get("/kettle/nothing").await;
        let mut operator = Client::connect(member.node.operator_addr()).await;
        let text = operator.get("/metrics").await.text();
        let calls = |kind: &str, outcome: &str, reason: &str| {
            let labels = format!("kind=\"{kind}\",outcome=\"{outcome}\",reason=\"{reason}\"");
            text.lines().any(|line| line.contains(&labels) && line.ends_with(" 1"))
        };
        assert!(calls("temper", "done", ""), "{text}");
        assert!(calls("temper", "unknown", "connection-lost"), "{text}");
        assert!(calls("", "not-run", "unknown-kind"), "{text}");
        assert_eq!(operator.get("/health").await.status(), 200);
    });
}
