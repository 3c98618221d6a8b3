//! Tests of the measured parts behind `bench capacity`, at small sizes.

use oleandertiller_bench::capacity::document::{VALUE_MAX_BYTES, keepers_over_limit, measure};
use oleandertiller_bench::capacity::sample::DocumentSize;
use oleandertiller_bench::capacity::store::{StoreCase, run};
use oleandertiller_bench::capacity::{calls, ledger};

/// Guards against a limit that belongs to another document than the measured one.
#[test]
fn the_limit_of_keepers_is_the_first_size_over_the_value_limit() {
    let size = DocumentSize { services: 1_900, kinds: 1, keepers: 0, rollouts: 0 };
    let over = keepers_over_limit(size, 200_000).expect("200,000 keepers are over the limit");
    let bytes = |keepers| measure(DocumentSize { keepers, ..size }).base_bytes;
    assert!(bytes(over) > VALUE_MAX_BYTES);
    assert!(bytes(over - 1) <= VALUE_MAX_BYTES);
}

/// Guards against a target document that no node could write to the store.
#[test]
fn the_target_document_is_below_the_value_limit() {
    let size = DocumentSize { services: 1_900, kinds: 3, keepers: 17_000, rollouts: 190 };
    let bytes = measure(size).base_bytes;
    assert!(bytes <= VALUE_MAX_BYTES, "{bytes}");
}

/// Guards against a handover that does not hold the share of the keeper that joins.
#[test]
fn a_joining_keeper_gets_its_share() {
    let row = ledger::measure(2_000, 4);
    assert!((300..500).contains(&row.moved), "{row:?}");
    assert!(row.handover_bytes > row.moved * 128, "{row:?}");
}

/// Guards against a report that is not counted as part of the answer that carries it.
#[test]
fn a_reply_holds_its_load_report() {
    let bytes = calls::call_bytes();
    assert!(bytes.load_report < bytes.reply_head, "{bytes:?}");
    assert!(bytes.call_head < bytes.keyed_call_head, "{bytes:?}");
}

/// Guards against a fleet that does not take its entries again after an outage of the store, which
/// would make its calls look few.
#[test]
fn entries_are_held_again_after_an_outage() {
    let case = StoreCase {
        nodes: 170,
        zones: 17,
        seconds: 400,
        down_at: Some(150),
        down_s: 60,
        holders_lost_at: None,
        starting: 20,
    };
    let row = run(&case, 1);
    assert!(row.entries_held_s.is_some(), "{row:?}");
    assert!(row.steady_writes > 10.0, "{row:?}");
    assert_eq!(run(&case, 1).peak_reads, row.peak_reads, "the same seed gives the same figures");
}
