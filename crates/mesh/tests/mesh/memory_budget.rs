//! The memory budget under random loads.

use std::time::{Duration, Instant};

use oleandertiller_mesh::memory_budget::{
    Activity, ClientState, Holder, MemoryBudget, Share, least_active, longest_stalled,
    max_client_connections,
};
use proptest::prelude::*;

proptest! {
    /// Guards against an account that exceeds its bound, leaves small holders nothing, or loses
    /// memory, whatever is reserved and released.
    #[test]
    fn bound_is_never_exceeded(
        memory_mb in 1_usize..600,
        steps in prop::collection::vec((0..4_usize, 0..3_usize, any::<bool>(), 0..40_000_000_usize), 0..200),
    ) {
        let mut budget = MemoryBudget::for_process(memory_mb * 1_000_000);
        let mut held: Vec<(Holder, usize)> = Vec::new();
        for (index, share, release, bytes) in steps {
            let holder = Holder::ALL[index];
            let share = [Share::Whole, Share::Small, Share::Bulk][share];
            if release && !held.is_empty() {
                let (holder, bytes) = held.swap_remove(bytes % held.len());
                budget.release(holder, bytes);
            } else if budget.try_reserve(holder, share, bytes) {
                held.push((holder, bytes));
                prop_assert!(share != Share::Bulk || budget.held() <= budget.bulk_bound());
            }
            prop_assert!(budget.held() <= budget.bound());
            prop_assert_eq!(budget.held(), held.iter().map(|(_, bytes)| bytes).sum::<usize>());
        }
        for (holder, bytes) in held {
            budget.release(holder, bytes);
        }
        prop_assert_eq!(budget.held(), 0);
    }
}

/// Guards against a body of the size that operators allow that never fits on a small machine.
#[test]
fn largest_body_fits_on_a_small_machine() {
    let budget = MemoryBudget::for_process(160_000_000);
    assert!(budget.bulk_bound() / 10 * 9 >= 64 << 20, "{}", budget.bulk_bound());
}

/// Guards against closing a client that serves, waits for memory or holds nothing in place of the
/// one that keeps memory without sending.
#[test]
fn client_that_stalls_longest_is_closed() {
    let start = Instant::now();
    let client = |activity, ms, held| ClientState {
        activity,
        since: start + Duration::from_millis(ms),
        held,
    };
    let clients = [
        client(Activity::Serving, 0, 9),
        client(Activity::Paused, 1, 9),
        client(Activity::Reading, 2, 0),
        client(Activity::Reading, 4, 9),
        client(Activity::Reading, 3, 9),
        client(Activity::Idle, 2, 0),
    ];
    let now = start + Duration::from_secs(1);
    assert_eq!(longest_stalled(clients.into_iter().enumerate(), now), Some(4));
    assert_eq!(longest_stalled(clients.into_iter().enumerate(), start), None);
    assert_eq!(least_active(clients.into_iter().enumerate()), Some(1));
    assert_eq!(least_active([(0, clients[0])]), None);
}

/// Guards against client connections that leave no descriptors for other calls.
#[test]
fn descriptors_are_left_for_other_calls() {
    for descriptors in 64..10_000 {
        let left = descriptors - max_client_connections(descriptors);
        assert!(left >= descriptors / 4 && left < descriptors, "{descriptors}: {left}");
    }
}
