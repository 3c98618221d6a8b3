//! Tests that the exploration visits every state and finds the shortest way to a violation.

use oleandertiller_explore::{Model, Step, digest, explore};

/// A counter that may grow by one or two up to `top`, and must not reach `forbidden`.
struct Counter {
    top: u32,
    forbidden: u32,
}

impl Model for Counter {
    type State = u32;
    type Event = u32;

    fn initial(&self) -> Vec<u32> {
        vec![0]
    }

    fn steps(&self, state: &u32) -> Vec<Step<Self>> {
        let steps = [1, 2].into_iter().filter(|step| state + step <= self.top);
        steps.map(|step| (step, Ok(state + step))).collect()
    }

    fn fingerprint(&self, state: &u32) -> u128 {
        digest(state)
    }

    fn check(&self, state: &u32) -> Result<(), String> {
        if *state == self.forbidden { Err("forbidden".into()) } else { Ok(()) }
    }
}

/// Guards against an exploration that stops early and reports no violation.
#[test]
fn visits_every_state() {
    let report = explore(&Counter { top: 10, forbidden: 99 }, 1_000);
    assert!(report.complete && report.violation.is_none());
    assert_eq!(report.states, 11);
}

/// Guards against traces that are longer than needed or don't lead to the violation.
#[test]
fn finds_the_shortest_trace() {
    let report = explore(&Counter { top: 10, forbidden: 5 }, 1_000);
    let trace = report.violation.expect("the forbidden state is reachable").trace;
    assert_eq!(trace.len(), 3);
    assert_eq!(trace.iter().sum::<u32>(), 5);
}

/// A model whose only event violates an invariant by itself.
struct Broken;

impl Model for Broken {
    type State = u32;
    type Event = &'static str;

    fn initial(&self) -> Vec<u32> {
        vec![0]
    }

    fn steps(&self, _: &u32) -> Vec<Step<Self>> {
        vec![("answer", Err("the answer is wrong".into()))]
    }

    fn fingerprint(&self, state: &u32) -> u128 {
        digest(state)
    }

    fn check(&self, _: &u32) -> Result<(), String> {
        Ok(())
    }
}

/// Guards against missing an invariant that an event violates and no state does.
#[test]
fn reports_events_that_violate_an_invariant() {
    let violation = explore(&Broken, 10).violation.expect("the event is a violation");
    assert_eq!(
        (violation.message.as_str(), violation.trace),
        ("the answer is wrong", vec!["answer"])
    );
}
