//! Probes of node processes within the measuring budget.

use std::time::{Duration, Instant};

use async_std::task;
use oleandertiller_routing::budget::MEASURING_BURST_TOKENS;

use crate::{
    processes::{Fleet, NodeOptions, NodeProcess, call, wait_until},
    rollouts::load::Load,
};

/// Time after which a zone that was taken out of service gets no new work.
const ZONE_OUT_TARGET: Duration = Duration::from_secs(3);

/// Time within which a zone that was brought back gets work again.
const ZONE_RETURN_TARGET: Duration = Duration::from_secs(10);

/// Pause between two requests of the low serial load.
const PAUSE: Duration = Duration::from_millis(50);

/// Interval between two samples of the budget.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(200);

/// Number of samples of the budget under each share.
const SAMPLE_COUNT: usize = 30;

fn node_options() -> [NodeOptions; 3] {
    [
        NodeOptions::new("a-1", "zone-a", "kettle"),
        NodeOptions::new("b-1", "zone-b", "kettle"),
        NodeOptions::new("b-2", "zone-b", "kettle"),
    ]
}

/// Counters of the measuring budget, as `show budget` returns them.
#[derive(Clone, Copy, Debug)]
struct BudgetCounters {
    calls: u64,
    earned: f64,
    probes: u64,
    bytes: u64,
    refused: u64,
}

async fn budget_counters(node: &NodeProcess) -> BudgetCounters {
    let (_, answer) = node.ask("show budget").await;
    let row = &answer["rows"][0];
    let count =
        |name: &str| row[name].as_u64().unwrap_or_else(|| panic!("no counter {name} in {answer}"));
    BudgetCounters {
        calls: count("calls"),
        earned: row["probes-earned"].as_f64().unwrap(),
        probes: count("probes"),
        bytes: count("probe-bytes"),
        refused: count("probes-refused"),
    }
}

/// Samples the budget of a node and checks every window between two samples.
async fn check_windows(node: &NodeProcess, share: f64) -> Vec<BudgetCounters> {
    let mut samples: Vec<BudgetCounters> = Vec::new();
    for _ in 0..SAMPLE_COUNT {
        let end = budget_counters(node).await;
        for start in &samples {
            let (calls, probes) = (end.calls - start.calls, end.probes - start.probes);
            let allowed = calls as f64 * share + MEASURING_BURST_TOKENS;
            assert!(probes as f64 <= allowed, "{probes} probes for {calls} calls at share {share}");
        }
        samples.push(end);
        task::sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

/// Guards against more probes in any window than the operators allow, against a changed share that
/// has no effect, and against counters that are missing from `show budget` or the metrics.
#[test]
fn probes_stay_within_the_budget_in_every_window() {
    task::block_on(async {
        let fleet = Fleet::start(&node_options()).await;
        let node = &fleet.nodes[0];
        let load = Load::start_with(&fleet.nodes[..1], "/kettle/temper", 1);
        let samples = check_windows(node, 0.01).await;
        let last = samples[samples.len() - 1];
        assert!(last.earned <= last.calls as f64 * 0.01 + 1e-6, "{last:?}");
        assert!(last.probes > 0 && last.bytes > 0, "{last:?}");
        assert!(last.refused > 0, "the budget was never empty: {last:?}");
        node.command("budget measuring 3%").await;
        check_windows(node, 0.03).await;
        node.command("budget measuring 0%").await;
        // No tokens are added any more, so only those left in the bucket can be spent.
        task::sleep(SAMPLE_INTERVAL).await;
        check_windows(node, 0.0).await;
        let metrics = call(node.operator, "GET", "/metrics", &[], "").await;
        let metrics = String::from_utf8(metrics.body).unwrap();
        for name in ["probes_total", "probe_bytes_total", "probes_refused_total"] {
            assert!(
                metrics.contains(&format!("oleandertiller_{name} ")),
                "no metric {name} in\n{metrics}"
            );
        }
        load.stop_without_failures().await;
    });
}

/// Sends one request, which must succeed, and pauses.
async fn send_and_pause(node: &NodeProcess) {
    let reply = node.get("/kettle/temper").await;
    assert_eq!(reply.status(), 200, "{:?}\n{}", reply.header("x-reason"), node.log());
    task::sleep(PAUSE).await;
}

/// Guards against a returning zone that gets no work because its load is unknown, and whose load
/// stays unknown because it gets no work. The requests enter at a node of another service in the
/// zone: a node of this service would know the load of its own upstream without asking.
#[test]
fn a_zone_returns_under_low_serial_load() {
    task::block_on(async {
        let mut node_options = node_options().to_vec();
        node_options.push(NodeOptions::new("b-3", "zone-b", "recipe"));
        let fleet = Fleet::start(&node_options).await;
        let caller = &fleet.nodes[3];
        let runs =
            || async { fleet.nodes[1].record().await.run + fleet.nodes[2].record().await.run };
        fleet.nodes[0].command("zone zone-b out").await;
        let out_since = Instant::now();
        while out_since.elapsed() < ZONE_OUT_TARGET * 2 {
            send_and_pause(caller).await;
        }
        let before = runs().await;
        fleet.nodes[1].command("zone zone-b in").await;
        let returned = || async {
            send_and_pause(caller).await;
            runs().await > before
        };
        wait_until(ZONE_RETURN_TARGET, "zone-b gets work again", returned, caller).await;
    });
}
