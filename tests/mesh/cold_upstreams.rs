//! Requests to cold upstreams while their nodes lack facts that they need.

use std::time::{Duration, Instant};

use async_std::task::{self, block_on};
use oleandertiller_standin::proxy::ProxyFaults;

use crate::fleet::{Fleet, StdoutReader, call};

/// Most requests that a cold upstream may get in a second: one and a half times the rate of
/// [`crate::fleet::config`], and 5.
const MAX_PER_SECOND: usize = 12;

/// Guards against a cold upstream without a limit on its requests: its node has restarted while the
/// store is out of its reach and knows no configuration.
#[test]
fn cold_upstream_is_flooded_beside_a_node_without_configuration() {
    block_on(async {
        let mut fleet = Fleet::start_proxied(3).await;
        let cut = ProxyFaults { reset: true, ..ProxyFaults::default() };
        fleet.members[0].links.as_ref().unwrap().0.set_faults(cut);
        fleet.members[0].kill();
        fleet.members[0].start(StdoutReader::Running);
        let started = Instant::now();
        while fleet.members[0].announce_cold("ready", Duration::from_secs(20)).await != 200 {
            assert!(started.elapsed() < Duration::from_secs(5), "no heartbeat is acknowledged");
            task::sleep(Duration::from_millis(20)).await;
        }
        let end = Instant::now() + Duration::from_millis(2_500);
        let clients = (0..24).map(|client| {
            let ingress = fleet.members[1 + client % 2].ingress;
            task::spawn(async move {
                let mut n = 0;
                while Instant::now() < end {
                    let id = format!("cold-{client}-{n}");
                    let ids = [
                        ("Oleandertiller-Attempt-Id", id.as_str()),
                        ("Oleandertiller-Deadline-Milliseconds", "1000"),
                    ];
                    call(ingress, "GET", "/read/1", "shop.example", &ids, &[]).await;
                    n += 1;
                }
            })
        });
        for client in clients.collect::<Vec<_>>() {
            client.await;
        }
        let runs = fleet.members[0].upstream.runs();
        let in_second = |from: Instant| {
            let within = |at: Instant| at >= from && at - from < Duration::from_secs(1);
            runs.iter().filter(|run| within(run.started)).count()
        };
        let most = runs.iter().map(|run| in_second(run.started)).max().unwrap_or(0);
        assert!(most <= MAX_PER_SECOND, "{most} requests in a second");
        assert!(most > 0, "the upstream is not used at all");
    });
}
