//! A service whose clients ask for more than its upstreams can run.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};

use crate::fleet::{Fleet, Response, call};

/// Time that the clients of the test have, in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Sends requests to the members' ingresses in turn, one every `interval`, and returns the responses.
async fn send(fleet: &Fleet, name: &str, members: &[usize], time: Duration) -> Vec<Response> {
    let started = Instant::now();
    let mut pending = Vec::new();
    while started.elapsed() < time {
        let n = pending.len();
        let (ingress, id) =
            (fleet.members[members[n % members.len()]].ingress, format!("{name}-{n}"));
        pending.push(task::spawn(async move {
            let deadline = DEADLINE_MS.to_string();
            let ids = [
                ("Oleandertiller-Attempt-Id", id.as_str()),
                ("Oleandertiller-Deadline-Milliseconds", deadline.as_str()),
            ];
            call(ingress, "GET", "/read/1", "shop.example", &ids, &[]).await
        }));
        task::sleep(Duration::from_millis(8)).await;
    }
    let mut responses = Vec::new();
    for response in pending {
        responses.extend(response.await);
    }
    responses
}

async fn early_refusals(fleet: &Fleet, member: usize) -> u64 {
    let metrics = call(fleet.members[member].metrics, "GET", "/metrics", "x", &[], &[]).await;
    let text = metrics.map(|response| response.body).unwrap_or_default();
    let lines = text.lines().filter(|line| {
        line.starts_with("oleandertiller_admissions_total") && line.contains("refuse-early")
    });
    lines.filter_map(|line| line.rsplit(' ').next()?.parse::<u64>().ok()).sum()
}

/// Guards against requests that are all offered in vain while a service is full, against refusals
/// that go on when the crowd has gone, and against a node that stops refusing, or refuses all, once
/// a peer is lost in the middle.
#[test]
fn crowd_is_refused_early_also_after_the_loss_of_a_node() {
    block_on(async {
        let mut fleet = Fleet::start(5).await;
        for member in &fleet.members {
            member.upstream.change(|behaviour| behaviour.service_time = Duration::from_millis(400));
        }
        // 125 requests a second, for 20 slots of 400 ms.
        let crowd = send(&fleet, "crowd", &[0, 1], Duration::from_secs(3)).await;
        let before = early_refusals(&fleet, 0).await + early_refusals(&fleet, 1).await;
        assert!(before > 0, "no request was refused early");
        fleet.members[4].kill();
        let after_loss = send(&fleet, "loss", &[0, 1], Duration::from_secs(3)).await;
        let after = early_refusals(&fleet, 0).await + early_refusals(&fleet, 1).await;
        assert!(after > before, "no request was refused early after the loss of a node");
        for (responses, served_at_least) in [(&crowd, 60), (&after_loss, 40)] {
            let served = responses.iter().filter(|response| response.status == 200).count();
            assert!(served >= served_at_least, "{served} of {} served", responses.len());
        }
        for response in crowd.iter().chain(&after_loss).filter(|response| response.status == 503) {
            let wait = response.headers.get("Retry-After").expect("each refusal tells a time");
            let wait: f64 = wait.parse().unwrap();
            assert!(wait <= DEADLINE_MS as f64 / 3_000.0 + 0.001, "told to return after {wait} s");
        }
        task::sleep(Duration::from_millis(1_000)).await;
        for n in 0..10 {
            let response = fleet.request(n % 2, "GET", "/read/1", &format!("calm-{n}")).await;
            assert_eq!(response.unwrap().status, 200, "a request after the crowd");
        }
    });
}
