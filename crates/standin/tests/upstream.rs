//! HTTP interface of the upstream, described in section 14 of the design: responses, limits and the
//! record.

use std::time::{Duration, Instant};

use async_std::task;
use futures_util::future::join_all;
use oleandertiller_standin::answer::is_expected_body;
use oleandertiller_standin::http::{Client, ClientReply};
use oleandertiller_standin::{Upstream, UpstreamOptions};
use serde_json::{Value, json};

async fn start(options: UpstreamOptions) -> (Upstream, Client) {
    let upstream = Upstream::start(options).await.unwrap();
    let client = Client::connect(upstream.addr()).await.unwrap();
    (upstream, client)
}

async fn call(client: &mut Client, id: &str, kind: &str, body: &[u8]) -> ClientReply {
    client.call("POST", &format!("/{kind}"), &[("x-request-id", id)], body).await.unwrap()
}

/// Makes concurrent calls; returns the status codes.
async fn burst(upstream: &Upstream, kind: &'static str, count: usize) -> Vec<u16> {
    let addr = upstream.addr();
    let calls = (0..count).map(|n| async move {
        let mut client = Client::connect(addr).await.unwrap();
        call(&mut client, &format!("r{n}"), kind, b"").await.status()
    });
    join_all(calls).await
}

/// Guards against a response without the id of its request, or with the body for another request.
#[test]
fn response_has_request_id_version_and_expected_body() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("kettle")).await;
        for n in 0..20 {
            let id = format!("id-{n}");
            let reply = call(&mut client, &id, "temper", id.as_bytes()).await;
            assert_eq!(reply.status(), 200);
            assert_eq!(reply.header("x-request-id"), Some(id.as_str()));
            assert_eq!(reply.header("x-upstream-version"), Some("v1"));
            assert!(is_expected_body(&id, id.as_bytes(), &reply.body));
            assert!(!is_expected_body("other", id.as_bytes(), &reply.body));
            assert!(!is_expected_body(&id, b"other", &reply.body));
        }
        upstream.close().await;
    });
}

/// Guards against Nagle's algorithm, which together with delayed acknowledgements adds over 40 ms
/// to each response on a keep-alive connection.
#[test]
fn keep_alive_responses_are_not_delayed() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.behaviour.other_ms = 0.0;
        let (upstream, mut client) = start(options).await;
        call(&mut client, "first", "none", b"body").await;
        let mut latencies = Vec::new();
        for n in 0..50 {
            let start = Instant::now();
            call(&mut client, &n.to_string(), "none", b"body").await;
            latencies.push(start.elapsed());
        }
        latencies.sort();
        assert!(latencies[25] < Duration::from_millis(20), "median {:?}", latencies[25]);
        upstream.close().await;
    });
}

/// Guards against an upstream that runs more requests concurrently than it has slots: 12 calls of
/// 50 ms need 4 rounds on 3 slots.
#[test]
fn requests_wait_for_a_free_slot() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.slots = 3;
        options.behaviour.sigma = 0.0;
        options.behaviour.other_ms = 50.0;
        let (upstream, _client) = start(options).await;
        let start = Instant::now();
        let statuses = burst(&upstream, "slow", 12).await;
        assert!(statuses.iter().all(|status| *status == 200));
        assert!(start.elapsed() >= Duration::from_millis(200), "{:?}", start.elapsed());
        assert_eq!(upstream.record().max_in_flight, 12);
        upstream.close().await;
    });
}

/// Guards against a request that continues after its client has disconnected, and against a request
/// cancelled in the queue that is counted as run.
#[test]
fn closed_connection_cancels_the_request() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.slots = 1;
        options.behaviour.other_ms = 5_000.0;
        let (upstream, client) = start(options).await;
        let addr = upstream.addr();
        let running = task::spawn(async move { call(&mut { client }, "a", "slow", b"").await });
        task::sleep(Duration::from_millis(100)).await;
        let queued = task::spawn(async move {
            let mut client = Client::connect(addr).await.unwrap();
            call(&mut client, "b", "slow", b"").await
        });
        task::sleep(Duration::from_millis(100)).await;
        // One after the other: the end of the running request would start the queued one.
        queued.cancel().await;
        wait_for_cancelled(&upstream, 1).await;
        running.cancel().await;
        wait_for_cancelled(&upstream, 2).await;
        let record = upstream.record();
        assert_eq!((record.cancelled, record.run, record.succeeded), (2, 1, 0));
        assert!(!record.requests.contains_key("b"));
        upstream.close().await;
    });
}

/// Waits until the upstream has noticed the close of `count` connections with a request.
async fn wait_for_cancelled(upstream: &Upstream, count: u64) {
    let deadline = Instant::now() + Duration::from_secs(2);
    while upstream.record().cancelled < count && Instant::now() < deadline {
        task::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(upstream.record().cancelled, count);
}

/// Guards against a deadline that is ignored while the request runs.
#[test]
fn request_stops_at_its_deadline() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.behaviour.other_ms = 5_000.0;
        let (upstream, mut client) = start(options).await;
        let headers = [("x-request-id", "a"), ("x-deadline-ms", "100")];
        let start = Instant::now();
        let reply = client.call("GET", "/slow", &headers, &[]).await.unwrap();
        assert_eq!(reply.status(), 504);
        assert_eq!(reply.header("x-outcome"), None, "the request was run");
        assert!(start.elapsed() < Duration::from_secs(2));
        assert_eq!(upstream.record().expired, 1);
        upstream.close().await;
    });
}

/// Guards against a request that expires in the queue but is run, or is not reported as `not-run`.
#[test]
fn request_that_expires_in_the_queue_is_not_run() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.slots = 1;
        options.behaviour.sigma = 0.0;
        options.behaviour.other_ms = 500.0;
        let (upstream, client) = start(options).await;
        let running = task::spawn(async move { call(&mut { client }, "a", "slow", b"").await });
        task::sleep(Duration::from_millis(100)).await;
        let mut client = Client::connect(upstream.addr()).await.unwrap();
        let headers = [("x-request-id", "b"), ("x-deadline-ms", "100")];
        let expired = client.call("GET", "/slow", &headers, &[]).await.unwrap();
        assert_eq!((expired.status(), expired.header("x-outcome")), (504, Some("not-run")));
        assert_eq!(running.await.status(), 200);
        task::sleep(Duration::from_millis(100)).await;
        let record = upstream.record();
        assert_eq!((record.run, record.expired), (1, 1));
        assert!(!record.requests.contains_key("b"));
        upstream.close().await;
    });
}

/// Guards against a queue that grows without limit.
#[test]
fn requests_above_the_queue_limit_are_shed() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.slots = 1;
        options.behaviour.other_ms = 200.0;
        options.behaviour.queue_limit = 2;
        let (upstream, _client) = start(options).await;
        let statuses = burst(&upstream, "slow", 6).await;
        assert_eq!(statuses.iter().filter(|status| **status == 503).count(), 3);
        let record = upstream.record();
        assert_eq!((record.shed, record.run), (3, 3));
        upstream.close().await;
    });
}

/// Guards against a record that does not count the second run of a key.
#[test]
fn runs_are_recorded_by_key() {
    task::block_on(async {
        let (upstream, mut client) = start(UpstreamOptions::new("recipe")).await;
        for (id, key) in [("a", "k1"), ("b", "k1"), ("c", "k2")] {
            let headers = [("x-request-id", id), ("idempotency-key", key)];
            client.call("POST", "/release", &headers, b"5 kg").await.unwrap();
        }
        let reply = client.call("GET", "/admin/record", &[], &[]).await.unwrap();
        let record: Value = serde_json::from_slice(&reply.body).unwrap();
        assert_eq!(record["keys"], json!({"k1": 2, "k2": 1}));
        assert_eq!(record["requests"], json!({"a": 1, "b": 1, "c": 1}));
        assert_eq!(upstream.record().repeated_keys(), [("k1".to_owned(), 2)].into());
        upstream.close().await;
    });
}

/// Guards against a connection limit that is not applied.
#[test]
fn connections_above_the_limit_are_closed() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.behaviour.max_connections = 2;
        let (upstream, mut first) = start(options).await;
        call(&mut first, "a", "temper", b"").await;
        let mut second = Client::connect(upstream.addr()).await.unwrap();
        call(&mut second, "b", "temper", b"").await;
        let mut third = Client::connect(upstream.addr()).await.unwrap();
        let refused = third.call("GET", "/temper", &[("x-request-id", "c")], &[]).await;
        assert!(refused.is_err());
        assert_eq!(upstream.record().refused_connections, 1);
        upstream.close().await;
    });
}

/// Guards against a log-normal distribution whose location parameter is confused with its mean.
#[test]
fn service_times_have_the_configured_mean() {
    task::block_on(async {
        let mut options = UpstreamOptions::new("kettle");
        options.behaviour.service_ms.insert("temper".into(), 5.0);
        let (upstream, mut client) = start(options).await;
        let start = Instant::now();
        for n in 0..100 {
            call(&mut client, &n.to_string(), "temper", b"").await;
        }
        // The sum of 100 service times with a mean of 5 ms and a relative deviation of 0.42 lies
        // between 400 and 600 ms, by over 4 standard deviations. The calls themselves add to it.
        assert!(start.elapsed() >= Duration::from_millis(400), "{:?}", start.elapsed());
        upstream.close().await;
    });
}
