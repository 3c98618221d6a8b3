//! Behaviour of mesh node processes towards clients, upstreams and operators, also under failure.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use oleandertiller_standin::{platform::Outage, proxy::ProxyFaults};

use crate::fleet::{Fleet, Response, STEP_TIMEOUT, StdoutReader, call, config, wait_for};

fn signature(response: &Response) -> Option<&str> {
    response.headers.get("Oleandertiller-Response-Signature")
}

/// Guards against requests that are not served or that reach the upstream changed.
#[test]
fn request_is_served_through_any_node() {
    block_on(async {
        let fleet = Fleet::start(3).await;
        for member in 0..3 {
            let id = format!("calm-{member}");
            let response = fleet.request(member, "GET", "/read/a?b=c&d=%20", &id).await.unwrap();
            assert_eq!(response.status, 200, "{response:?}");
            assert!(signature(&response).is_some() && response.body.starts_with(&id));
            let runs = fleet.members.iter().flat_map(|member| member.upstream.runs());
            let run = runs.into_iter().find(|run| run.id == id).unwrap();
            assert_eq!(run.target, "/read/a?b=c&d=%20");
            assert_eq!(run.caller.as_deref(), Some("kettle"));
            assert!(run.deadline_ms.is_some_and(|ms| ms <= 1_500), "{:?}", run.deadline_ms);
        }
        assert_eq!(fleet.request(0, "GET", "/nowhere/", "none").await.unwrap().status, 404);
        let metrics =
            call(fleet.members[0].metrics, "GET", "/metrics", "x", &[], &[]).await.unwrap();
        assert!(metrics.body.contains("oleandertiller_requests_total"), "{}", metrics.body);
    });
}

/// Guards against an unsafe request that is retried after its response was lost, and against a safe
/// one that fails although another upstream could serve it.
#[test]
fn only_safe_requests_are_retried_after_a_lost_response() {
    block_on(async {
        let fleet = Fleet::start(3).await;
        for member in &fleet.members {
            member.upstream.change(|behaviour| behaviour.loses_responses = true);
        }
        let response = fleet.request(0, "POST", "/release/1", "once").await.unwrap();
        assert_eq!(response.status, 502);
        assert_eq!(fleet.runs("once"), 1);
        fleet.members[1].upstream.change(|behaviour| behaviour.loses_responses = false);
        fleet.members[2].upstream.change(|behaviour| behaviour.loses_responses = false);
        let response = fleet.request(0, "GET", "/read/1", "again").await.unwrap();
        assert_eq!(response.status, 200);
        assert!(fleet.runs("again") <= 2);
        let lines = fleet.members[0].log_lines_of("once", "request ended").await;
        let ended = lines.iter().find(|line| line["event"] == "request ended").unwrap();
        assert_eq!(ended["why"], "connection-lost");
        assert!(ended["hops"].as_str().unwrap().contains("=connection-lost"));
    });
}

/// Guards against waiting for an upstream that hangs until the deadline while others could respond.
#[test]
fn hanging_upstream_does_not_delay_requests() {
    block_on(async {
        let fleet = Fleet::start(3).await;
        fleet.members[0].upstream.change(|behaviour| behaviour.hangs = true);
        for n in 0..6 {
            let started = Instant::now();
            let response = fleet.request(0, "GET", "/read/1", &format!("hang-{n}")).await.unwrap();
            assert_eq!(response.status, 200);
            assert!(started.elapsed() < Duration::from_millis(1_000), "{:?}", started.elapsed());
        }
    });
}

/// Guards against requests to an upstream after its drain was acknowledged, also when its node
/// restarts in between and when an older announcement arrives late.
#[test]
fn draining_upstream_gets_no_requests() {
    block_on(async {
        let mut fleet = Fleet::start(2).await;
        assert_eq!(fleet.members[0].announce("draining").await, 200);
        let before = fleet.members[0].upstream.runs().len();
        let late = br#"{"service":"kettle","address":"ADDR","zone":"z1","version":"v1","slots":4,
            "state":"ready","coldRemainingMs":0,"sequence":1,"born":1000}"#;
        let late = String::from_utf8_lossy(late)
            .replace("ADDR", &fleet.members[0].upstream.addr().to_string());
        fleet.members[0].put("/api/instances/i-0", late.as_bytes()).await;
        for n in 0..10 {
            let response =
                fleet.request(n % 2, "GET", "/read/1", &format!("leave-{n}")).await.unwrap();
            assert_eq!(response.status, 200);
        }
        fleet.members[0].kill();
        fleet.members[0].start(StdoutReader::Running);
        let end = Instant::now() + Duration::from_secs(5);
        while !fleet.members[0].is_ready().await {
            assert!(Instant::now() < end);
            task::sleep(Duration::from_millis(20)).await;
        }
        fleet.members[0].put("/api/instances/i-0", late.as_bytes()).await;
        for n in 0..10 {
            fleet.request(n % 2, "GET", "/read/1", &format!("anew-{n}")).await;
        }
        assert_eq!(fleet.members[0].upstream.runs().len(), before);
    });
}

/// Guards against announcements that are malformed, or come from another upstream, but change the
/// known state of the upstream.
#[test]
fn invalid_announcements_are_rejected() {
    block_on(async {
        let fleet = Fleet::start(1).await;
        let bodies: [&[u8]; 5] = [
            b"\xff\xfe",
            b"{}",
            br#"{"service":"kettle","address":"127.0.0.1:1","zone":"z","version":"v","slots":1,"state":"ready","coldRemainingMs":0,"sequence":99,"born":9999}"#,
            br#"{"service":"other","address":"127.0.0.1:1","zone":"z","version":"v","slots":1,"state":"ready","coldRemainingMs":0,"sequence":99,"born":9999}"#,
            br#"{"service":"kettle","address":7,"zone":"z","version":"v","slots":1,"state":"odd","sequence":99}"#,
        ];
        for body in bodies {
            assert_eq!(fleet.members[0].put("/api/instances/i-9", body).await, 400);
        }
        assert_eq!(fleet.request(0, "GET", "/read/1", "still").await.unwrap().status, 200);
    });
}

/// Guards against a graceful shutdown that cuts off a request in flight or never finishes.
#[test]
fn graceful_shutdown_finishes_running_requests() {
    block_on(async {
        let mut fleet = Fleet::start(2).await;
        for member in &fleet.members {
            member
                .upstream
                .change(|behaviour| behaviour.service_time = Duration::from_millis(1_000));
        }
        let ingress = fleet.members[0].ingress;
        let pending = task::spawn(async move {
            let ids = [("Oleandertiller-Attempt-Id", "stop-1")];
            call(ingress, "POST", "/release/1", "shop.example", &ids, &[]).await
        });
        wait_for("start of the request", || (fleet.runs("stop-1") == 1).then_some(())).await;
        fleet.members[0].signal("TERM");
        let response = pending.await.expect("the response is complete");
        assert_eq!(response.status, 200);
        assert!(!fleet.members[0].is_ready().await);
        let status = fleet.members[0].wait_for_exit(Duration::from_secs(6)).await;
        assert!(status.success(), "{status}");
        assert_eq!(fleet.runs("stop-1"), 1);
    });
}

/// Guards against restarted nodes that cannot serve until their upstreams, which kept running,
/// announce themselves again.
#[test]
fn restarted_nodes_use_known_upstreams() {
    block_on(async {
        let mut fleet = Fleet::start(3).await;
        for member in &mut fleet.members {
            member.kill();
        }
        // An upstream that fails its health check gets no requests before its next announcement.
        fleet.members[2].upstream.change(|behaviour| behaviour.unhealthy = true);
        for member in &mut fleet.members {
            member.start(StdoutReader::Running);
        }
        let end = Instant::now() + STEP_TIMEOUT;
        for member in &fleet.members {
            while !member.is_ready().await {
                assert!(Instant::now() < end, "{} is not ready", member.name);
                task::sleep(Duration::from_millis(10)).await;
            }
        }
        // The nodes check the health of their upstreams before they learn of each other.
        task::sleep(Duration::from_millis(300)).await;
        for n in 0..9 {
            let id = format!("restarted-{n}");
            let response = fleet.request(n % 3, "GET", "/read/1", &id).await.unwrap();
            assert_eq!(response.status, 200, "{id}");
        }
        assert!(fleet.members[2].upstream.runs().is_empty());
        assert_eq!(fleet.members[2].announce("ready").await, 200);
    });
}

/// Guards against a node that adopts the upstream of another node from a record of another writer.
#[test]
fn upstream_of_another_node_is_not_adopted() {
    block_on(async {
        let mut fleet = Fleet::start(2).await;
        fleet.members[0].kill();
        let mut record = fleet.store.get("mesh/nodes/node-0").unwrap();
        let other = fleet.store.get("mesh/nodes/node-1").unwrap();
        record["upstream"] = other["upstream"].clone();
        fleet.store.put("mesh/nodes/node-0", &record);
        fleet.members[0].start(StdoutReader::Running);
        let end = Instant::now() + STEP_TIMEOUT;
        while !fleet.members[0].is_ready().await {
            assert!(Instant::now() < end, "not ready");
            task::sleep(Duration::from_millis(10)).await;
        }
        // Log lines are written in batches.
        task::sleep(Duration::from_millis(500)).await;
        let health_check_event = "upstream of an earlier process looked at";
        assert!(!fleet.members[0].log_events().iter().any(|event| event == health_check_event));
    });
}

/// Guards against a fleet that stops serving while its store is down, and against records that are
/// not back within 2 s of its return.
#[test]
fn store_outage_does_not_interrupt_service() {
    block_on(async {
        let fleet = Fleet::start(3).await;
        for outage in [Outage::Silent, Outage::Busy, Outage::Reset] {
            fleet.store.set_outage(outage);
            let end = Instant::now() + Duration::from_millis(4_500);
            let mut n = 0;
            while Instant::now() < end {
                let id = format!("{outage:?}-{n}");
                let response = fleet.request(n % 3, "GET", "/read/1", &id).await.unwrap();
                assert_eq!(response.status, 200, "{outage:?}");
                n += 1;
                task::sleep(Duration::from_millis(100)).await;
            }
            assert!(fleet.store.keys("mesh/nodes/").is_empty(), "leases have not expired");
            fleet.store.set_outage(Outage::None);
            let returned = Instant::now();
            wait_for("node records", || (fleet.store.keys("mesh/nodes/").len() == 3).then_some(()))
                .await;
            assert!(returned.elapsed() < Duration::from_secs(2), "{:?}", returned.elapsed());
        }
    });
}

/// Waits until a node serves a route, at most 2 s from the write of the configuration.
async fn wait_for_route(
    fleet: &Fleet,
    member: usize,
    prefix: &str,
    written: Instant,
    situation: &str,
) {
    let mut n = 0;
    loop {
        let id = format!("{situation}-{member}-{n}");
        let response = fleet.request(member, "GET", &format!("{prefix}x"), &id).await;
        if response.is_some_and(|response| response.status == 200) {
            return;
        }
        assert!(
            written.elapsed() < Duration::from_secs(2),
            "{situation}: node {member} does not serve the new route after 2 s"
        );
        n += 1;
        task::sleep(Duration::from_millis(50)).await;
    }
}

/// Returns the sum of a counter over all members, for the series whose labels contain `labels`.
async fn counter_sum(fleet: &Fleet, name: &str, labels: &str) -> f64 {
    let mut sum = 0.0;
    for member in &fleet.members {
        let metrics = call(member.metrics, "GET", "/metrics", "x", &[], &[]).await.unwrap();
        let found =
            metrics.body.lines().filter(|line| line.starts_with(name) && line.contains(labels));
        sum +=
            found.map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap()).sum::<f64>();
    }
    sum
}

/// Guards against a watch request to the store by every node for each change.
#[test]
fn change_takes_one_store_watch_per_zone() {
    block_on(async {
        let fleet = Fleet::start(4).await;
        task::sleep(Duration::from_millis(1_500)).await;
        let calls = "oleandertiller_calls_total";
        let before = counter_sum(&fleet, calls, "call=\"watch\"").await;
        for version in [5, 6, 7] {
            let prefix = format!("/new-{version}/");
            fleet.store.put("op/config", &config(version, Some(&prefix)));
            let written = Instant::now();
            for member in 0..4 {
                wait_for_route(&fleet, member, &prefix, written, "calm").await;
            }
        }
        let watches = counter_sum(&fleet, calls, "call=\"watch\"").await - before;
        assert!(watches <= 4.0, "{watches} watches for 3 changes at 4 nodes");
        let decisions = "oleandertiller_decisions_total";
        assert!(counter_sum(&fleet, decisions, "decision=\"run\"").await >= 12.0);
    });
}

/// Guards against nodes that keep waiting for changes from a node that is killed or paused.
#[test]
fn changes_arrive_when_their_source_is_down() {
    block_on(async {
        for disturbance in ["killed", "paused"] {
            let mut fleet = Fleet::start(3).await;
            task::sleep(Duration::from_millis(1_500)).await;
            match disturbance {
                "killed" => fleet.members[0].kill(),
                _ => fleet.members[0].signal("STOP"),
            }
            fleet.store.put("op/config", &config(5, Some("/new-5/")));
            let written = Instant::now();
            for member in 1..3 {
                wait_for_route(&fleet, member, "/new-5/", written, disturbance).await;
            }
        }
    });
}

/// Guards against nodes that believe their source that nothing has changed, while it has lost the
/// store without noticing.
#[test]
fn source_without_the_store_hides_changes() {
    block_on(async {
        let fleet = Fleet::start_proxied(3).await;
        let store_link = &fleet.members[0].links.as_ref().unwrap().0;
        let faults = [
            ProxyFaults { freeze: true, ..ProxyFaults::default() },
            ProxyFaults { lose_down: true, ..ProxyFaults::default() },
        ];
        let mut version = 3;
        // The time until the source notices depends on the time of its next renewal.
        for round in 0..6 {
            store_link.set_faults(faults[round % 2].clone());
            task::sleep(Duration::from_millis(30)).await;
            version += 2;
            let prefix = format!("/new-{version}/");
            fleet.store.put("op/config", &config(version, Some(&prefix)));
            let written = Instant::now();
            for member in 1..3 {
                wait_for_route(&fleet, member, &prefix, written, &format!("round {round}")).await;
            }
            store_link.set_faults(ProxyFaults::default());
            task::sleep(Duration::from_millis(2_700 + 170 * round as u64)).await;
        }
    });
}

/// Guards against a configuration that takes more than 2 s to apply, also right after a silent
/// outage of the store and after the store dropped its history.
#[test]
fn configuration_is_applied_in_time() {
    block_on(async {
        let fleet = Fleet::start(2).await;
        let mut version = 3;
        for disturbance in ["calm", "silent", "forgotten"] {
            if disturbance == "silent" {
                fleet.store.set_outage(Outage::Silent);
                task::sleep(Duration::from_millis(2_500)).await;
                fleet.store.set_outage(Outage::None);
            }
            if disturbance == "forgotten" {
                fleet.store.compact_history();
            }
            version += 2;
            let prefix = format!("/new-{version}/");
            fleet.store.put("op/config", &config(version, Some(&prefix)));
            let written = Instant::now();
            for member in 0..2 {
                wait_for_route(&fleet, member, &prefix, written, disturbance).await;
            }
        }
        fleet.store.put("op/config", &serde_json::json!({"version": 99, "listeners": "odd"}));
        task::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(fleet.request(0, "GET", "/read/1", "kept").await.unwrap().status, 200);
    });
}

/// Guards against an evacuated zone that still gets requests, and one that does not return.
#[test]
fn evacuated_zone_gets_no_requests() {
    block_on(async {
        let fleet = Fleet::start(2).await;
        fleet.store.put("op/evacuate/z1", &serde_json::json!({}));
        task::sleep(Duration::from_secs(2)).await;
        let response = fleet.request(0, "GET", "/read/1", "out").await.unwrap();
        assert_eq!(response.status, 503);
        assert!(response.headers.get("Retry-After").is_some());
        assert_eq!(fleet.runs("out"), 0);
        let lines = fleet.members[0].log_lines_of("out", "request ended").await;
        assert_eq!(lines.last().unwrap()["why"], "no-upstream");
        assert!(
            fleet.members[0].log_events().iter().any(|event| event == "zone is out of service")
        );
        fleet.store.remove("op/evacuate/z1");
        task::sleep(Duration::from_secs(2)).await;
        assert_eq!(fleet.request(0, "GET", "/read/1", "in").await.unwrap().status, 200);
    });
}

/// Guards against a request that keeps running after its client disconnected.
#[test]
fn request_is_cancelled_when_its_client_disconnects() {
    block_on(async {
        let fleet = Fleet::start(2).await;
        for member in &fleet.members {
            member.upstream.change(|behaviour| behaviour.service_time = Duration::from_secs(3));
        }
        let ingress = fleet.members[0].ingress;
        let pending = task::spawn(async move {
            let ids = [("Oleandertiller-Attempt-Id", "gone-1")];
            call(ingress, "GET", "/read/1", "shop.example", &ids, &[]).await
        });
        wait_for("start of the request", || (fleet.runs("gone-1") == 1).then_some(())).await;
        pending.cancel().await;
        let disconnected = Instant::now();
        let running =
            || fleet.members.iter().map(|member| member.upstream.running()).sum::<usize>();
        wait_for("end of the running requests", || (running() == 0).then_some(())).await;
        assert!(
            disconnected.elapsed() < Duration::from_millis(500),
            "{:?}",
            disconnected.elapsed()
        );
    });
}

/// Guards against a node that blocks because nobody reads its log output.
#[test]
fn stalled_log_reader_does_not_block_the_node() {
    block_on(async {
        let fleet = Fleet::start_with(1, StdoutReader::Stalled).await;
        for n in 0..1_500 {
            let id = format!("stall-{n}-{}", "x".repeat(200));
            assert_eq!(fleet.request(0, "GET", "/nowhere/", &id).await.unwrap().status, 404);
        }
        assert_eq!(fleet.request(0, "GET", "/read/1", "last").await.unwrap().status, 200);
    });
}
