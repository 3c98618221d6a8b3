//! Loss and return of a zone of a larger fleet.

use oleandertiller_fleet::measure::loss::{LossCase, LossKind, LossOutcome, run_loss_case};

/// A fleet of 200 nodes in 17 zones, of which one is cut off for 30 s.
fn zone_of_200(seed: u64) -> LossOutcome {
    let case = LossCase { heal_limit_s: 30, ..LossCase::zone(200, 12) };
    run_loss_case(&case, seed)
}

/// Guards against verdicts of nodes that know too little of the outage yet: all nodes adopt them,
/// and the members come back only when a ping to failed members reaches them. Before such a
/// verdict needed an answer of the zone, these seeds had 76 failures outside and 109 in the zone.
#[test]
fn a_lost_zone_is_unreachable_and_not_failed() {
    let results: Vec<LossOutcome> = (1..=3).map(zone_of_200).collect();
    assert!(results.iter().all(|loss| loss.failures_lost == 0), "{results:?}");
    assert!(results.iter().all(|loss| loss.failures_outside == 0), "{results:?}");
    assert!(results.iter().all(|loss| loss.unselected.is_some()), "{results:?}");
}

/// Guards against full datagrams to all members of a zone that returns: before rumours had a
/// budget, a returning node sent up to 107,263 bytes in a second.
#[test]
fn the_return_of_a_zone_is_bounded_in_bytes() {
    let result = zone_of_200(1);
    assert!(result.peak_bytes < 40_000, "{result:?}");
    assert!(result.peak_bytes_returning < 40_000, "{result:?}");
    assert!(result.healed.is_some(), "{result:?}");
}

/// Guards against nodes that restart together and end the transfer of the table early, since they
/// took a page from another one that was still transferring it.
#[test]
fn nodes_that_restart_together_get_the_whole_table() {
    let zone = LossCase::zone(300, 40);
    let case =
        LossCase { lost_zones: 0, kind: LossKind::Crash, outage_s: 30, heal_limit_s: 20, ..zone };
    let results: Vec<LossOutcome> = (1..=3).map(|seed| run_loss_case(&case, seed)).collect();
    assert!(results.iter().all(|loss| loss.healed.is_some()), "{results:?}");
}
