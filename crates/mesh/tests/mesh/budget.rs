//! The fleet's budget of repeats.

use std::time::{Duration, Instant};

use oleandertiller_mesh::budget::{RetryBudget, RetryBudgetConfig};
use proptest::prelude::*;

const CFG: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };

proptest! {
    /// Guards against nodes that keep to their shares and together go over the fleet's bound, in
    /// any sliding window.
    #[test]
    fn the_fleet_keeps_to_the_bound(
        nodes in 1_usize..9,
        steps in prop::collection::vec((0_usize..9, 0_u64..400, 0_u8..21), 1..600),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut budgets = vec![RetryBudget::new(CFG, start); nodes];
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        for (node, pause, action) in steps {
            now += Duration::from_millis(pause);
            let budget = &mut budgets[node % nodes];
            match action {
                0..10 => {
                    if budget.try_take(nodes, now) {
                        repeats.push(now);
                    }
                }
                10..20 => {
                    budget.on_request(now);
                    requests.push(now);
                }
                // A process is stopped and started anew.
                _ => *budget = RetryBudget::new(CFG, now),
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
    let start = Instant::now() + CFG.window;
    let mut budget = RetryBudget::new(CFG, start - CFG.window);
    let first = (0..100).filter(|_| budget.try_take(1, start)).count();
    assert!(first > 0);
    assert!(!budget.try_take(1, start + Duration::from_secs(9)));
    assert!(budget.try_take(1, start + Duration::from_secs(11)));
}

/// Guards against calls of repeated runs that are not counted and so go beyond the bound.
#[test]
fn what_cannot_be_withheld_is_counted() {
    let start = Instant::now() + CFG.window;
    let mut budget = RetryBudget::new(CFG, start - CFG.window);
    for _ in 0..56 {
        budget.take_unchecked(start);
    }
    assert!(!budget.try_take(1, start));
}
