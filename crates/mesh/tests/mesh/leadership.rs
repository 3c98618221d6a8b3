//! Which process leads the rollouts of a service.

use std::time::{Duration, Instant};

use oleandertiller_mesh::leadership::{Candidate, LeaderStep, Leadership, ProcessId};

fn process(node: &str, incarnation: u64, nonce: u64) -> ProcessId {
    ProcessId { node: node.into(), incarnation, nonce }
}

fn held_by(leader: ProcessId) -> Option<Leadership> {
    Some(Leadership { revision: 7, leader })
}

/// Guards against a leader that never leads because the answer to its write was lost.
#[test]
fn process_does_not_recognize_its_own_leadership() {
    let mut candidate = Candidate::new(process("a", 5, 1));
    let now = Instant::now();
    assert_eq!(candidate.step(None, 0, now), LeaderStep::TakeOver);
    let held = held_by(process("a", 5, 1));
    assert_eq!(candidate.step(held.as_ref(), 0, now), LeaderStep::Lead);
}

/// Guards against two leaders: an earlier process of the same node may still be writing.
#[test]
fn process_takes_the_leadership_of_an_earlier_one_for_its_own() {
    let mut candidate = Candidate::new(process("a", 5, 1));
    let now = Instant::now();
    for leader in [process("a", 4, 1), process("a", 5, 2), process("b", 5, 1)] {
        let held = held_by(leader);
        assert_eq!(candidate.step(held.as_ref(), 0, now), LeaderStep::Wait, "{held:?}");
    }
}

/// Guards against nodes that all write at once when the leader is lost, and against a service whose
/// first nodes do not take over.
#[test]
fn nodes_do_not_take_over_in_turn() {
    let now = Instant::now();
    for lesser_names in [0, 1, 7, 299] {
        let mut candidate = Candidate::new(process("n", 5, 1));
        let held = held_by(process("a", 4, 1));
        assert_eq!(candidate.step(held.as_ref(), lesser_names, now), LeaderStep::Wait);
        let lost = now + Duration::from_secs(9);
        let steps = (0..70_000)
            .step_by(50)
            .map(|ms| (ms, candidate.step(None, lesser_names, lost + Duration::from_millis(ms))));
        let first = steps.into_iter().find(|(_, step)| *step == LeaderStep::TakeOver);
        assert_eq!(first.map(|(ms, _)| ms), Some(lesser_names as u64 * 200));
    }
}
