//! Probes out of the measuring budget, on nodes as processes.

use std::time::{Duration, Instant};

use async_std::task;
use oleandertiller_routing::budget::MEASURING_BURST_TOKENS;

use crate::{
    processes::{Fleet, NodeProcess, Plan, call, wait_until},
    rollouts::load::Load,
};

/// Time after which a zone that was taken out gets no new work.
const ZONE_OUT_TARGET: Duration = Duration::from_secs(3);

/// Time in which a zone that returns gets work again.
const RETURN_TARGET: Duration = Duration::from_secs(10);

/// Pause between two requests of the low load.
const PAUSE: Duration = Duration::from_millis(50);

/// Interval between two looks at the budget.
const SAMPLE: Duration = Duration::from_millis(200);

/// Looks at the budget under each share.
const SAMPLES: usize = 30;

fn plans() -> [Plan; 3] {
    [
        Plan::new("a-1", "zone-a", "kettle"),
        Plan::new("b-1", "zone-b", "kettle"),
        Plan::new("b-2", "zone-b", "kettle"),
    ]
}

/// What `show budget` tells.
#[derive(Clone, Copy, Debug)]
struct Cost {
    calls: u64,
    earned: f64,
    probes: u64,
    bytes: u64,
    refused: u64,
}

async fn cost(node: &NodeProcess) -> Cost {
    let (_, answer) = node.ask("show budget").await;
    let row = &answer["rows"][0];
    let count = |name: &str| row[name].as_u64().unwrap_or_else(|| panic!("{name}: {answer}"));
    Cost {
        calls: count("calls"),
        earned: row["probes-earned"].as_f64().unwrap(),
        probes: count("probes"),
        bytes: count("probe-bytes"),
        refused: count("probes-refused"),
    }
}

/// Looks at the budget of a node at intervals and checks every window between two looks.
async fn check_windows(node: &NodeProcess, share: f64) -> Vec<Cost> {
    let mut looks: Vec<Cost> = Vec::new();
    for _ in 0..SAMPLES {
        let end = cost(node).await;
        for start in &looks {
            let (calls, probes) = (end.calls - start.calls, end.probes - start.probes);
            let allowed = calls as f64 * share + MEASURING_BURST_TOKENS;
            assert!(probes as f64 <= allowed, "{probes} for {calls} calls at {share}");
        }
        looks.push(end);
        task::sleep(SAMPLE).await;
    }
    looks
}

/// Guards against probes that cost more than the operators allow in any window, a share that is
/// not followed, and cost that is not shown.
#[test]
fn probes_stay_within_the_budget_in_every_window() {
    task::block_on(async {
        let fleet = Fleet::start(&plans()).await;
        let node = &fleet.nodes[0];
        let load = Load::start_with(&fleet.nodes[..1], "/kettle/temper", 1);
        let looks = check_windows(node, 0.01).await;
        let last = looks[looks.len() - 1];
        assert!(last.earned <= last.calls as f64 * 0.01 + 1e-6, "{last:?}");
        assert!(last.probes > 0 && last.bytes > 0, "{last:?}");
        assert!(last.refused > 0, "the budget was never empty: {last:?}");
        node.command("budget measuring 3%").await;
        check_windows(node, 0.03).await;
        node.command("budget measuring 0%").await;
        // Nothing is earned any more, so the rest of the bucket is all that can be spent.
        task::sleep(SAMPLE).await;
        check_windows(node, 0.0).await;
        let metrics = call(node.operator, "GET", "/metrics", &[], "").await;
        let metrics = String::from_utf8(metrics.body).unwrap();
        for name in ["probes_total", "probe_bytes_total", "probes_refused_total"] {
            assert!(metrics.contains(&format!("oleandertiller_{name} ")), "{name}\n{metrics}");
        }
        load.stop_all_done().await;
    });
}

/// Sends one request and pauses.
async fn serial(node: &NodeProcess) {
    let reply = node.get("/kettle/temper").await;
    assert_eq!(reply.status(), 200, "{:?}\n{}", reply.header("x-reason"), node.log());
    task::sleep(PAUSE).await;
}

/// Guards against a returning zone that gets no work because nobody knows its load, and nobody
/// learns its load without work. The calls come through a node of another service in the zone, which
/// has no load of its own to know without asking.
#[test]
fn a_zone_returns_under_low_serial_load() {
    task::block_on(async {
        let mut plans = plans().to_vec();
        plans.push(Plan::new("b-3", "zone-b", "recipe"));
        let fleet = Fleet::start(&plans).await;
        let caller = &fleet.nodes[3];
        let runs =
            || async { fleet.nodes[1].record().await.run + fleet.nodes[2].record().await.run };
        fleet.nodes[0].command("zone zone-b out").await;
        let out = Instant::now();
        while out.elapsed() < ZONE_OUT_TARGET * 2 {
            serial(caller).await;
        }
        let before = runs().await;
        fleet.nodes[1].command("zone zone-b in").await;
        let returned = || async {
            serial(caller).await;
            runs().await > before
        };
        wait_until(RETURN_TARGET, "zone-b gets work again", returned, caller).await;
    });
}
