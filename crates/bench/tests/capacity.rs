//! Tests of the measurements of `bench capacity`.

use oleandertiller_bench::capacity::document::{MAX_VALUE_BYTES, keepers_over_limit, measure};
use oleandertiller_bench::capacity::sample::DocumentSize;
use oleandertiller_bench::capacity::store::{StoreCase, run};
use oleandertiller_bench::capacity::{calls, ledger};

/// Guards against a limit of keepers that is wrong by one or found with another document than the
/// one that `measure` measures.
#[test]
fn the_limit_of_keepers_is_the_first_size_over_the_value_limit() {
    let size = DocumentSize { services: 1_900, kinds: 1, keepers: 0, rollouts: 0 };
    let over = keepers_over_limit(size, 200_000).expect("200,000 keepers are over the limit");
    let bytes = |keepers| measure(DocumentSize { keepers, ..size }).base_bytes;
    assert!(bytes(over) > MAX_VALUE_BYTES);
    assert!(bytes(over - 1) <= MAX_VALUE_BYTES);
}

/// Guards against an intent document of the target fleet that is too large for the store.
#[test]
fn the_target_document_is_below_the_value_limit() {
    let size = DocumentSize { services: 1_900, kinds: 3, keepers: 17_000, rollouts: 190 };
    let bytes = measure(size).base_bytes;
    assert!(bytes <= MAX_VALUE_BYTES, "{bytes}");
}

/// Guards against a handover that does not hold the joining keeper's share, which is a fifth of the
/// 2,000 entries.
#[test]
fn a_joining_keeper_gets_its_share() {
    let row = ledger::measure(2_000, 4);
    assert!((300..500).contains(&row.moved), "{row:?}");
    assert!(row.handover_bytes > row.moved * 128, "{row:?}");
}

/// Guards against a reply head that is measured without its load report, and a call head without
/// its key.
#[test]
fn a_reply_holds_its_load_report() {
    let bytes = calls::measure_call_bytes();
    assert!(bytes.load_report < bytes.reply_head, "{bytes:?}");
    assert!(bytes.call_head < bytes.keyed_call_head, "{bytes:?}");
}

/// Guards against a simulated fleet that does not acquire its entries again after an outage of the
/// store, so that too few calls are counted.
#[test]
fn entries_are_held_again_after_an_outage() {
    let case = StoreCase {
        nodes: 170,
        zones: 17,
        run_s: 400,
        outage_at_s: Some(150),
        outage_s: 60,
        holders_lost_at_s: None,
        starting_nodes: 20,
    };
    let row = run(&case, 1);
    assert!(row.entries_held_s.is_some(), "{row:?}");
    assert!(row.steady_writes > 10.0, "{row:?}");
    assert_eq!(run(&case, 1).peak_reads, row.peak_reads, "the same seed gives the same results");
}
