//! The times of a planned stop.

use std::time::{Duration, Instant};

use oleandertiller_mesh::stop::StopSchedule;
use proptest::prelude::*;

/// Guards against a request that is taken although it cannot end before the process exits.
#[test]
fn stopping_node_takes_a_request_that_lasts_too_long() {
    let start = Instant::now();
    let schedule = StopSchedule::new(start, Duration::from_secs(6));
    let may_take = |at: f64, usual: f64| {
        schedule.may_take(Duration::from_secs_f64(usual), start + Duration::from_secs_f64(at))
    };
    assert!(may_take(0.1, 4.5));
    assert!(may_take(2.5, 2.0));
    assert!(!may_take(1.5, 4.5));
    assert!(!may_take(2.9, 2.5));
    assert!(!may_take(3.1, 0.1));
}

proptest! {
    /// Guards against times that fit only one time until the kill.
    #[test]
    fn times_of_a_stop_are_out_of_order(
        kill_ms in 100_u64..120_000,
        at_ms in 0_u64..120_000,
        usual_ms in 0_u64..20_000,
    ) {
        let start = Instant::now();
        let kill = Duration::from_millis(kill_ms);
        let schedule = StopSchedule::new(start, kill);
        prop_assert!(start < schedule.admit_until());
        prop_assert!(schedule.admit_until() <= schedule.refuse_from());
        prop_assert!(schedule.refuse_from() < schedule.exit_at());
        prop_assert!(schedule.exit_at() < start + kill);
        let (at, usual) = (Duration::from_millis(at_ms), Duration::from_millis(usual_ms));
        if schedule.may_take(usual, start + at) {
            prop_assert!(start + at + usual <= schedule.exit_at());
        }
    }
}
