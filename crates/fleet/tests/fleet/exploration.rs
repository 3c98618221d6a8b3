//! Exhaustive exploration of the agreement model. Mutants prove that the checks detect the faults
//! they target. `FLEET_EXPLORE_FAULTS` sets the number of lost answers.

use oleandertiller_explore::explore;

use crate::agreement::{Agreement, Mutant};

/// Explores all states, and returns their number.
fn explore_all(model: &Agreement) -> usize {
    let report = explore(model, 10_000_000);
    assert!(report.violation.is_none(), "{:#?}", report.violation);
    assert!(report.complete, "more than {} states", report.states);
    println!("start {}, faults {}: {} states", model.start, model.faults, report.states);
    report.states
}

/// Returns the configured number of lost answers, or `None` for the default of one.
fn faults() -> Option<u8> {
    let text = std::env::var("FLEET_EXPLORE_FAULTS").ok()?;
    Some(text.parse().expect("a number"))
}

/// Covers every order of two commands, faults and reads from an empty store.
#[test]
fn agreement_holds_from_an_empty_store() {
    let model = Agreement::new(Mutant::None, 0, faults().unwrap_or(1));
    assert!(explore_all(&model) > 1_000);
}

/// Guards against faults between writing a base document and writing the head that refers to it.
#[test]
fn agreement_holds_across_a_base_document() {
    let mut model = Agreement::new(Mutant::None, 64, faults().unwrap_or(1));
    if faults().is_none() {
        // Heads of 64 changes are slow to process; the other test explores the second reader.
        (model.reads, model.pulls) = (1, 0);
    }
    assert!(explore_all(&model) > 1_000);
}

fn assert_caught(mutant: Mutant, expected: &str) {
    let report = explore(&Agreement::new(mutant, 0, 2), 2_000_000);
    let found = report.violation.expect("the mutant must be caught");
    assert!(found.message.contains(expected), "{found:#?}");
}

/// Proves that the exploration detects a reader that applies old changes.
#[test]
fn a_reader_without_revision_check_is_caught() {
    assert_caught(Mutant::NoRevisionCheck, "went back");
}

/// Proves that the exploration detects a false "not accepted" after a lost answer.
#[test]
fn a_writer_that_trusts_a_lost_answer_is_caught() {
    assert_caught(Mutant::LostMeansNotWritten, "says NotAccepted");
}

/// Proves that the exploration detects an accepted change that is overwritten.
#[test]
fn a_writer_without_compare_and_swap_is_caught() {
    assert_caught(Mutant::NoCompareAndSwap, "follows");
}

/// Proves that the exploration detects a conflict with the writer's own delayed write.
#[test]
fn a_writer_that_ends_at_a_conflict_is_caught() {
    assert_caught(Mutant::ConflictMeansNotAccepted, "says NotAccepted");
}
