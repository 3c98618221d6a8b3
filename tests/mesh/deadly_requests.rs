//! Requests that end the upstreams that run them.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use oleandertiller_standin::platform::Outage;

use crate::fleet::{Fleet, STEP_TIMEOUT, StdoutReader};

const DEADLY: &str = "/read/deadly";

/// Starts the upstreams again that have ended, and announces them.
async fn restart_upstreams(fleet: &mut Fleet, generation: usize) {
    for (index, member) in fleet.members.iter_mut().enumerate() {
        if member.upstream.has_ended() {
            member.upstream.restart(&format!("i-{index}-{generation}")).await.unwrap();
            assert_eq!(member.announce("ready").await, 200);
        }
    }
}

fn deadly_runs(fleet: &Fleet) -> usize {
    let runs = fleet.members.iter().flat_map(|member| member.upstream.runs());
    runs.filter(|run| run.target == DEADLY).count()
}

/// Guards against a request that ends one upstream after the other, at whichever node it comes again,
/// also while the store is away and after a restart of the node that saw it.
#[test]
fn request_that_ends_upstreams_reaches_few_of_them() {
    block_on(async {
        let mut fleet = Fleet::start(5).await;
        for member in &fleet.members {
            member.upstream.change(|behaviour| behaviour.ends_on = Some(DEADLY.to_owned()));
        }
        fleet.store.set_outage(Outage::Silent);
        for n in 0..12 {
            fleet.request(n % 5, "GET", DEADLY, &format!("deadly-{n}")).await;
            let fine = fleet.request((n + 1) % 5, "GET", "/read/fine", &format!("fine-{n}")).await;
            assert_eq!(fine.unwrap().status, 200, "an innocent request");
            task::sleep(Duration::from_millis(100)).await;
            restart_upstreams(&mut fleet, n).await;
        }
        let runs = deadly_runs(&fleet);
        assert!((3..=4).contains(&runs), "{runs} runs");
        fleet.store.set_outage(Outage::None);
        fleet.members[0].kill();
        fleet.members[0].start(StdoutReader::Running);
        let end = Instant::now() + STEP_TIMEOUT;
        while !fleet.members[0].is_ready().await || fleet.members[0].announce("ready").await != 200
        {
            assert!(Instant::now() < end, "not ready");
            task::sleep(Duration::from_millis(20)).await;
        }
        task::sleep(Duration::from_secs(2)).await;
        for n in 0..5 {
            let response = fleet.request(n, "GET", DEADLY, &format!("again-{n}")).await.unwrap();
            assert_eq!(response.status, 503);
            assert!(response.headers.get("Retry-After").is_some());
        }
        assert_eq!(deadly_runs(&fleet), runs);
    });
}
