//! An upstream that fails its requests immediately while its health checks stay good.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};

use crate::fleet::{Fleet, call};

/// Sends a request every 20 ms through the nodes in turn; returns the number of responses with
/// status 200 and of all requests.
async fn send(fleet: &Fleet, name: &str, time: Duration) -> (usize, usize) {
    let started = Instant::now();
    let mut pending = Vec::new();
    while started.elapsed() < time {
        let n = pending.len();
        let (ingress, id) = (fleet.members[n % fleet.members.len()].ingress, format!("{name}-{n}"));
        pending.push(task::spawn(async move {
            let ids = [
                ("Oleandertiller-Attempt-Id", id.as_str()),
                ("Oleandertiller-Deadline-Milliseconds", "3000"),
            ];
            call(ingress, "GET", "/read/1", "shop.example", &ids, &[]).await
        }));
        task::sleep(Duration::from_millis(20)).await;
    }
    let sent = pending.len();
    let mut served = 0;
    for response in pending {
        served += usize::from(response.await.is_some_and(|response| response.status == 200));
    }
    (served, sent)
}

/// Guards against an upstream that attracts requests because it fails them immediately, and against
/// one that stays without requests after its recovery.
#[test]
fn fast_failures_attract_requests() {
    block_on(async {
        let fleet = Fleet::start(3).await;
        for member in &fleet.members {
            member.upstream.change(|behaviour| behaviour.service_time = Duration::from_millis(60));
        }
        fleet.members[0].upstream.change(|behaviour| {
            behaviour.service_time = Duration::from_millis(1);
            behaviour.status = 500;
        });
        send(&fleet, "learn", Duration::from_secs(1)).await;
        let before = fleet.members[0].upstream.runs().len();
        let (served, sent) = send(&fleet, "fails", Duration::from_secs(4)).await;
        let failed = fleet.members[0].upstream.runs().len() - before;
        assert!(failed * 10 <= sent, "{failed} of {sent} requests reached the failing upstream");
        assert!(served * 100 >= sent * 95, "{served} of {sent} requests served");
        fleet.members[0].upstream.change(|behaviour| {
            behaviour.service_time = Duration::from_millis(60);
            behaviour.status = 200;
        });
        send(&fleet, "recovers", Duration::from_secs(8)).await;
        let before = fleet.members[0].upstream.runs().len();
        let (_, sent) = send(&fleet, "recovered", Duration::from_secs(4)).await;
        let runs = fleet.members[0].upstream.runs().len() - before;
        assert!(runs * 10 >= sent, "{runs} of {sent} requests reached the recovered upstream");
        let lines = fleet.members[0].log_events();
        let changes = lines.iter().filter(|line| line.contains("share of failed runs")).count();
        assert!((1..=4).contains(&changes), "{changes} lines of the changes");
    });
}
