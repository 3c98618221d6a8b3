//! The fleet's budget of repeats.

use std::time::{Duration, Instant};

use oleandertiller_mesh::budget::{BudgetConfig, RetryBudget};
use proptest::prelude::*;

const CFG: BudgetConfig = BudgetConfig { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };

proptest! {
    /// Guards against nodes that keep to their shares and together go over the fleet's bound, in
    /// any sliding window.
    #[test]
    fn the_fleet_keeps_to_the_bound(
        nodes in 1_usize..9,
        steps in prop::collection::vec((0_usize..9, 0_u64..400, any::<bool>()), 1..600),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut budgets = vec![RetryBudget::new(CFG); nodes];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (node, pause, repeat) in steps {
            now += Duration::from_millis(pause);
            let budget = &mut budgets[node % nodes];
            if repeat {
                if budget.try_take(nodes, now) {
                    repeats.push(now);
                }
            } else {
                budget.on_request(now);
                requests.push(now);
            }
        }
        for end in &repeats {
            let inside = |at: &&Instant| **at <= *end && *end - **at <= CFG.window;
            let allowed = requests.iter().filter(inside).count() as f64 * CFG.ratio + CFG.extra;
            let used = repeats.iter().filter(inside).count() as f64;
            prop_assert!(used <= allowed, "{used} of {allowed}");
        }
    }
}

/// Guards against a budget that never returns what has left its window.
#[test]
fn the_window_slides() {
    let start = Instant::now();
    let mut budget = RetryBudget::new(CFG);
    let first = (0..100).filter(|_| budget.try_take(1, start)).count();
    assert!(first > 0);
    assert!(!budget.try_take(1, start + Duration::from_secs(9)));
    assert!(budget.try_take(1, start + Duration::from_secs(11)));
}
