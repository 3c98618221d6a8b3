//! Outage and recovery of a zone in a larger fleet.

use oleandertiller_fleet::measure::loss::{LossCase, LossKind, LossOutcome, run_loss_case};

/// Simulates a fleet of 200 nodes in 17 zones, one of which is cut off for 30 s.
fn zone_of_200(seed: u64) -> LossOutcome {
    let case = LossCase { heal_limit_s: 30, ..LossCase::zone(200, 12) };
    run_loss_case(&case, seed)
}

/// Guards against nodes that declare members failed before they know about the outage of the zone.
/// All nodes adopt such a decision, and the members return only when a ping to failed members
/// reaches them. When the decision did not yet need an answer from the zone, these seeds had 76
/// failures outside the zone and 109 inside.
#[test]
fn a_lost_zone_is_unreachable_and_not_failed() {
    let results: Vec<LossOutcome> = (1..=3).map(zone_of_200).collect();
    assert!(results.iter().all(|loss| loss.failures_lost == 0), "{results:?}");
    assert!(results.iter().all(|loss| loss.failures_outside == 0), "{results:?}");
    assert!(results.iter().all(|loss| loss.unselected.is_some()), "{results:?}");
}

/// Guards against full datagrams to all members of a recovering zone: before rumours had a budget,
/// a recovering node sent up to 107,263 bytes in a second.
#[test]
fn the_return_of_a_zone_is_bounded_in_bytes() {
    let result = zone_of_200(1);
    assert!(result.peak_bytes < 40_000, "{result:?}");
    assert!(result.peak_bytes_returning < 40_000, "{result:?}");
    assert!(result.healed.is_some(), "{result:?}");
}

/// Guards against nodes that restart together and end the table transfer early, because they
/// accept a page from another node whose own transfer is still running.
#[test]
fn nodes_that_restart_together_get_the_whole_table() {
    let zone = LossCase::zone(300, 40);
    let case =
        LossCase { lost_zones: 0, kind: LossKind::Crash, outage_s: 30, heal_limit_s: 20, ..zone };
    let results: Vec<LossOutcome> = (1..=3).map(|seed| run_loss_case(&case, seed)).collect();
    assert!(results.iter().all(|loss| loss.healed.is_some()), "{results:?}");
}
