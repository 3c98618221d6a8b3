//! The fleet-wide retry budget.

use std::time::{Duration, Instant};

use oleandertiller_mesh::retry_budget::{RetryBudget, RetryBudgetConfig, RetryReason};
use proptest::prelude::*;

const CFG: RetryBudgetConfig =
    RetryBudgetConfig { ratio: 0.2, extra: 56.0, window: Duration::from_secs(10) };

proptest! {
    /// Guards against nodes that stay within their shares but together exceed the fleet's bound in
    /// some sliding window.
    #[test]
    fn fleet_stays_within_the_bound(
        nodes in 1_usize..9,
        steps in prop::collection::vec((0_usize..9, 0_u64..400, 0_u8..21), 1..600),
    ) {
        let start = Instant::now();
        let mut now = start;
        let mut budgets = vec![RetryBudget::new(CFG, start); nodes];
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        for (node, pause, action) in steps {
            now += Duration::from_millis(pause);
            let budget = &mut budgets[node % nodes];
            match action {
                0..10 => {
                    if budget.try_take(RetryReason::NestedFailed, nodes, now) {
                        retries.push(now);
                    }
                }
                10..20 => {
                    budget.on_request(now);
                    requests.push(now);
                }
                // The process restarts.
                _ => *budget = RetryBudget::new(CFG, now),
            }
        }
        for end in &retries {
            let inside = |at: &&Instant| **at <= *end && *end - **at <= CFG.window;
            let allowed = requests.iter().filter(inside).count() as f64 * CFG.ratio + CFG.extra;
            let used = retries.iter().filter(inside).count() as f64;
            prop_assert!(used <= allowed, "{used} of {allowed}");
        }
    }
}

/// Guards against a budget that still counts retries which have left its window.
#[test]
fn retries_outside_the_window_do_not_count() {
    let start = Instant::now() + CFG.window;
    let mut budget = RetryBudget::new(CFG, start - CFG.window);
    let first = (0..100).filter(|_| budget.try_take(RetryReason::NestedFailed, 1, start)).count();
    assert!(first > 0);
    assert!(!budget.try_take(RetryReason::NestedFailed, 1, start + Duration::from_secs(9)));
    assert!(budget.try_take(RetryReason::NestedFailed, 1, start + Duration::from_secs(11)));
}

/// Guards against hedges that leave no retries for refused requests, and against requests of clients
/// that leave none for nested calls, while these need some.
#[test]
fn hedges_and_clients_leave_retries_for_others() {
    let start = Instant::now() + CFG.window;
    let mut budget = RetryBudget::new(CFG, start - CFG.window);
    assert!(budget.try_take(RetryReason::Slow, 1, start));
    let hedges = (0..100).filter(|_| budget.try_take(RetryReason::Slow, 1, start)).count();
    assert!(hedges > 0 && !budget.try_take(RetryReason::NestedFailed, 1, start), "none needed any");
    let mut budget = RetryBudget::new(CFG, start - CFG.window);
    assert!(budget.try_take(RetryReason::NestedFailed, 1, start));
    let mut take = |reason| (0..100).filter(|_| budget.try_take(reason, 1, start)).count();
    assert!(take(RetryReason::Slow) > 0);
    assert!(take(RetryReason::Failed) > 0);
    assert!(take(RetryReason::NestedFailed) > 0);
    assert_eq!(take(RetryReason::Failed) + take(RetryReason::Slow), 0);
}

/// Guards against calls of retried requests that are not counted and so exceed the bound.
#[test]
fn unchecked_retries_are_counted() {
    let start = Instant::now() + CFG.window;
    let mut budget = RetryBudget::new(CFG, start - CFG.window);
    for _ in 0..56 {
        budget.take_unchecked(start);
    }
    assert!(!budget.try_take(RetryReason::NestedFailed, 1, start));
}
