//! Exhaustive exploration of the agreement. The mutants show that the checks see the faults that
//! they are there for. `FLEET_EXPLORE_FAULTS` sets the number of lost answers.

use crate::{
    agreement::{Agreement, Mutant},
    explorer::{Explored, explore},
};

fn explore_all(model: &Agreement) -> Explored {
    let explored = explore(model, 10_000_000);
    let explored = explored.unwrap_or_else(|found| panic!("{found:#?}"));
    println!("start {}, faults {}: {explored:?}", model.start, model.faults);
    explored
}

/// Returns the number of lost answers; CI explores one.
fn faults() -> Option<u8> {
    let text = std::env::var("FLEET_EXPLORE_FAULTS").ok()?;
    Some(text.parse().expect("a number"))
}

/// Guards against every order of two commands, faults and reads at the first changes.
#[test]
fn agreement_holds_from_an_empty_store() {
    let model = Agreement::new(Mutant::None, 0, faults().unwrap_or(1));
    assert!(explore_all(&model).states > 1_000);
}

/// Guards against faults between the write of a base document and of the head that refers to it.
#[test]
fn agreement_holds_across_a_base_document() {
    let mut model = Agreement::new(Mutant::None, 64, faults().unwrap_or(1));
    if faults().is_none() {
        // Heads of 64 changes are slow to handle; the other test explores the second reader.
        (model.reads, model.pulls) = (1, 0);
    }
    assert!(explore_all(&model).states > 1_000);
}

fn assert_caught(mutant: Mutant, expected: &str) {
    let found = explore(&Agreement::new(mutant, 0, 2), 2_000_000);
    let found = found.expect_err("the mutant must be caught");
    assert!(found.fault.contains(expected), "{found:#?}");
}

/// Shows that the exploration sees a reader that applies old changes.
#[test]
fn a_reader_without_revision_check_is_caught() {
    assert_caught(Mutant::ReaderTakesAnything, "went back");
}

/// Shows that the exploration sees a false "not accepted" after a lost answer.
#[test]
fn a_writer_that_trusts_a_lost_answer_is_caught() {
    assert_caught(Mutant::LostMeansNotWritten, "says NotAccepted");
}

/// Shows that the exploration sees an accepted change that is overwritten.
#[test]
fn a_writer_without_compare_and_swap_is_caught() {
    assert_caught(Mutant::NoCompareAndSwap, "follows");
}

/// Shows that the exploration sees a conflict with the writer's own delayed write.
#[test]
fn a_writer_that_ends_at_a_conflict_is_caught() {
    assert_caught(Mutant::ConflictMeansNotAccepted, "says NotAccepted");
}
