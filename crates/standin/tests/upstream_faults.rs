//! Cold start, draining, bad versions, false reports and nested calls of the upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::join_all;
use oleandertiller_standin::http::{Call, Client, Handler, Method, Response, Server, StatusCode};
use oleandertiller_standin::upstream::{BadVersionFault, ColdStart, NestedCall, Pauses, TurnCold};
use oleandertiller_standin::{Upstream, UpstreamOptions};
use serde_json::{Value, json};

async fn start(options: UpstreamOptions) -> (Upstream, Client) {
    let upstream = Upstream::start(options).await.unwrap();
    let client = Client::connect(upstream.addr()).await.unwrap();
    (upstream, client)
}

async fn call(client: &mut Client, kind: &str) -> u16 {
    let path = format!("/{kind}");
    client.call("GET", &path, &[("x-request-id", "r")], &[]).await.unwrap().status()
}

/// Makes concurrent calls; returns the status codes.
async fn burst(upstream: &Upstream, kind: &'static str, count: usize) -> Vec<u16> {
    let addr = upstream.addr();
    let calls = (0..count).map(|_| async move {
        let mut client = Client::connect(addr).await.unwrap();
        call(&mut client, kind).await
    });
    join_all(calls).await
}

async fn admin(client: &mut Client, body: Value) -> u16 {
    let body = body.to_string();
    client.call("POST", "/admin/behaviour", &[], body.as_bytes()).await.unwrap().status()
}

/// Guards against a cold upstream that handles full load, or that does not count the requests above
/// its capacity.
#[test]
fn cold_upstream_fails_above_its_capacity() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.warm = false;
        options.behaviour.cold = ColdStart {
            initial_capacity: 2,
            fail_share: 1.0,
            slow_factor: 2.0,
            ..ColdStart::default()
        };
        let (upstream, mut client) = start(options).await;
        upstream.change(|b| b.other_ms = 200.0);
        assert_eq!(call(&mut client, "x").await, 200);
        let statuses = burst(&upstream, "x", 6).await;
        assert!(statuses.contains(&500));
        let record = upstream.record();
        assert_eq!(record.max_in_flight_cold, 6);
        assert_eq!(record.max_cold_excess, 4);
        assert_eq!(record.cold_excess, 4);
        upstream.close().await;
    });
}

/// Guards against a warm-up that does not end, or that ends after its time without any requests.
#[test]
fn warm_up_takes_requests_and_time() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.warm = false;
        options.behaviour.cold = ColdStart { warm_calls: 20, warm_ms: 200, ..ColdStart::default() };
        // Long enough that the requests of a burst overlap on a busy machine.
        options.behaviour.service_ms.insert("slow".into(), 100.0);
        let (upstream, mut client) = start(options).await;
        task::sleep(Duration::from_millis(250)).await;
        burst(&upstream, "slow", 6).await;
        assert!(upstream.record().max_cold_excess > 0, "warm without any requests");
        for _ in 0..25 {
            call(&mut client, "x").await;
        }
        let before = upstream.record().cold_excess;
        burst(&upstream, "slow", 6).await;
        assert_eq!(
            upstream.record().cold_excess,
            before,
            "still cold after the requests and the time"
        );
        upstream.close().await;
    });
}

/// Guards against an upstream that keeps its full capacity after it was made cold.
#[test]
fn admin_request_makes_the_upstream_cold() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("kettle")).await;
        burst(&upstream, "wear", 6).await;
        assert_eq!(upstream.record().cold_excess, 0);
        assert_eq!(admin(&mut client, json!({"turn_cold": "silent"})).await, 200);
        burst(&upstream, "wear", 6).await;
        assert!(upstream.record().cold_excess > 0);
        upstream.close().await;
    });
}

/// Stand-in for a node; collects the announcements.
#[derive(Default)]
struct Node(Mutex<Vec<Value>>);

impl Handler for Node {
    async fn handle(&self, call: Call) -> Option<Response> {
        assert_eq!((call.head.method(), call.path()), (Method::Post, "announce"));
        self.0.lock().unwrap().push(serde_json::from_slice(&call.body).unwrap());
        Some(Response::new(StatusCode::NoContent))
    }
}

/// Guards against announcements with a wrong field or at a wrong interval, and against changes of
/// state that are announced only after the interval.
#[test]
fn announces_its_state() {
    task::block_on(async {
        let node = Arc::new(Node::default());
        let free = SocketAddr::from(([127, 0, 0, 1], 0));
        let server = Server::start(free, node.clone()).await.unwrap();
        let mut options = UpstreamOptions::new("kettle");
        options.announce_to = Some(server.addr());
        let (upstream, _client) = start(options).await;
        task::sleep(Duration::from_millis(1_500)).await;
        upstream.turn_cold(TurnCold::Announced);
        task::sleep(Duration::from_millis(200)).await;
        upstream.drain();
        task::sleep(Duration::from_millis(200)).await;
        let announcements = node.0.lock().unwrap().clone();
        let states: Vec<_> = announcements.iter().map(|a| a["state"].as_str().unwrap()).collect();
        assert_eq!(states, ["serving", "serving", "cold", "draining"]);
        let expected = json!({
            "service": "kettle", "version": "v1", "instance": announcements[0]["instance"],
            "address": upstream.addr().to_string(), "slots": 6, "state": "serving",
        });
        assert_eq!(announcements[0], expected);
        assert_eq!(announcements[1]["instance"], announcements[0]["instance"]);
        assert_ne!(
            announcements[2]["instance"], announcements[1]["instance"],
            "a restart must change the instance id"
        );
        upstream.close().await;
        server.close().await;
    });
}

/// Guards against a record that mixes up requests that arrive within the grace period of 3 s and
/// after it.
#[test]
fn requests_after_the_grace_period_are_counted() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("kettle")).await;
        call(&mut client, "x").await;
        admin(&mut client, json!({"draining": true, "zone_out": true})).await;
        call(&mut client, "x").await;
        task::sleep(Duration::from_millis(3_100)).await;
        call(&mut client, "x").await;
        let record = upstream.record();
        assert_eq!((record.run, record.run_draining, record.run_draining_late), (3, 2, 1));
        assert_eq!((record.run_zone_out, record.run_zone_out_late), (2, 1));
        upstream.close().await;
    });
}

/// Guards against a fault of a bad version that acts although one of its conditions does not hold.
#[test]
fn bad_version_fault_depends_on_kind_time_and_load() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("lending");
        let kind = Some("book".to_owned());
        options.behaviour.bad = Some(BadVersionFault {
            after_ms: 400,
            kind,
            fail_share: 1.0,
            ..BadVersionFault::default()
        });
        let (upstream, mut client) = start(options).await;
        assert_eq!(call(&mut client, "book").await, 200);
        task::sleep(Duration::from_millis(450)).await;
        assert_eq!(call(&mut client, "book").await, 500);
        assert_eq!(call(&mut client, "browse").await, 200);
        let loaded = json!({"bad": {"from_in_flight": 3, "fail_share": 1.0}});
        assert_eq!(admin(&mut client, loaded).await, 200);
        assert_eq!(call(&mut client, "book").await, 200);
        assert!(burst(&upstream, "wear", 6).await.contains(&500));
        upstream.close().await;
    });
}

/// Guards against a response that says `not-run` although the request ran, and against one to a
/// shed request that does not say so.
#[test]
fn only_shed_requests_are_reported_as_not_run() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("kettle")).await;
        upstream.change(|b| b.shed_share = 1.0);
        let shed = client.call("GET", "/x", &[("x-request-id", "s")], &[]).await.unwrap();
        assert_eq!((shed.status(), shed.header("x-outcome")), (503, Some("not-run")));
        upstream.change(|b| (b.shed_share, b.fail_fast) = (0.0, true));
        let failed = client.call("GET", "/x", &[("x-request-id", "f")], &[]).await.unwrap();
        assert_eq!((failed.status(), failed.header("x-outcome")), (500, None));
        let record = upstream.record();
        assert_eq!((record.shed, record.run, record.failed), (1, 1, 1));
        upstream.close().await;
    });
}

/// Guards against reports that show the current state in spite of a lag, or the true state in spite
/// of `always_good`.
#[test]
fn reports_can_be_delayed_or_false() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("kettle")).await;
        task::sleep(Duration::from_millis(100)).await;
        upstream.change(|b| b.fail_fast = true);
        let health = client.call("GET", "/health", &[], &[]).await.unwrap();
        assert_eq!(health.status(), 200, "reports lag by 500 ms");
        task::sleep(Duration::from_millis(700)).await;
        let health = client.call("GET", "/health", &[], &[]).await.unwrap();
        assert_eq!(health.status(), 503);
        admin(&mut client, json!({"health": {"always_good": true}})).await;
        let health = client.call("GET", "/health", &[], &[]).await.unwrap();
        assert_eq!(health.status(), 200);
        upstream.close().await;
    });
}

/// Guards against pauses during which requests make progress.
#[test]
fn pauses_delay_requests() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("kettle")).await;
        upstream.change(|b| b.pauses = Some(Pauses { every_ms: 300, for_ms: 200 }));
        let mut longest = Duration::ZERO;
        for _ in 0..40 {
            let start = Instant::now();
            call(&mut client, "x").await;
            longest = longest.max(start.elapsed());
            task::sleep(Duration::from_millis(7)).await;
        }
        assert!(longest >= Duration::from_millis(100), "{longest:?}");
        upstream.close().await;
    });
}

/// Guards against a chain of nested calls that loses its depth or its deadline, or does not end.
#[test]
fn nested_calls_pass_depth_and_deadline() {
    task::block_on(async {
        // The upstream calls itself: it takes `/chain/hop` for a request of the kind `chain`.
        // Its address has to be known before it starts, so a temporary upstream finds a free port.
        let temporary = Upstream::start(UpstreamOptions::new("probe")).await.unwrap();
        let addr = temporary.addr();
        temporary.close().await;
        let mut options = UpstreamOptions::new("chain");
        options.listen = addr;
        options.calls_through = Some(addr);
        options.slots = 20;
        options.behaviour.nested = vec![NestedCall::new("chain", "chain", "hop")];
        let (upstream, mut client) = start(options).await;
        let headers = [("x-request-id", "r"), ("x-deadline-ms", "5000")];
        let reply = client.call("GET", "/chain/hop", &headers, &[]).await.unwrap();
        assert_eq!(reply.status(), 200);
        let record = upstream.record();
        assert_eq!((record.max_depth, record.run, record.nested), (12, 13, 12));
        upstream.change(|b| b.other_ms = 60.0);
        let headers = [("x-request-id", "s"), ("x-deadline-ms", "300")];
        let reply = client.call("GET", "/chain/hop", &headers, &[]).await.unwrap();
        assert_ne!(reply.status(), 200, "13 calls of 60 ms take longer than 300 ms");
        upstream.close().await;
    });
}

/// Guards against a misspelt field that is ignored, so that a test runs without the intended fault.
#[test]
fn unknown_fields_of_behaviour_are_rejected() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("kettle")).await;
        assert_eq!(admin(&mut client, json!({"slow_facter": 2.0})).await, 400);
        assert_eq!(admin(&mut client, json!({"slow_factor": 2.0})).await, 200);
        assert_eq!(upstream.behaviour().slow_factor, 2.0);
        upstream.close().await;
    });
}
