//! Requests on one connection whose clients do not wait for the responses.

use std::collections::BTreeMap;

use oleandertiller_mesh::pipeline::{
    AfterResponse, Concurrency, Pipeline, PipelineLimits, Position, concurrency,
};
use proptest::prelude::*;

const LIMITS: PipelineLimits = PipelineLimits { requests: 4, bytes: 1_000 };

/// Guards against requests behind one that may run only once that are read before it is answered, and
/// against such a request that is started beside others.
#[test]
fn request_that_runs_alone_is_started_beside_others() {
    let mut pipeline = Pipeline::new(LIMITS);
    let first = pipeline.on_read(Concurrency::Concurrent, 100, false);
    assert_eq!(concurrency(false, Some(0), pipeline.room()), Concurrency::Alone);
    pipeline.on_read(Concurrency::Alone, 100, false);
    assert!(!pipeline.is_alone() && !pipeline.may_read());
    pipeline.on_ended(first, 10);
    assert!(!pipeline.is_alone(), "the response ahead is not written yet");
    assert_eq!(pipeline.take_response(), Some((first, AfterResponse::Continue)));
    assert!(pipeline.is_alone() && !pipeline.may_read());
    assert_eq!(pipeline.take_response(), None);
}

/// Guards against bodies that are read ahead although they do not fit, or may grow without end.
#[test]
fn large_body_is_read_ahead() {
    let mut pipeline = Pipeline::new(LIMITS);
    pipeline.on_read(Concurrency::Concurrent, 600, false);
    assert_eq!(concurrency(true, Some(400), pipeline.room()), Concurrency::Concurrent);
    assert_eq!(concurrency(true, Some(401), pipeline.room()), Concurrency::Alone);
    assert_eq!(concurrency(true, None, pipeline.room()), Concurrency::Alone);
}

/// Guards against a planned stop that drops requests in flight, reads more, or leaves the connection
/// open.
#[test]
fn stop_drops_what_is_read() {
    let mut pipeline = Pipeline::new(LIMITS);
    let first = pipeline.on_read(Concurrency::Concurrent, 100, false);
    let second = pipeline.on_read(Concurrency::Concurrent, 100, false);
    pipeline.stop_reading();
    assert!(!pipeline.may_read());
    pipeline.on_ended(second, 10);
    assert_eq!(pipeline.take_response(), None, "the response ahead is not ready");
    pipeline.on_ended(first, 10);
    assert_eq!(pipeline.take_response(), Some((first, AfterResponse::Continue)));
    assert_eq!(pipeline.take_response(), Some((second, AfterResponse::Close)));
    assert!(!pipeline.may_read());
}

#[derive(Clone, Debug)]
enum Step {
    Read { idempotent: bool, body: Option<u64>, last: bool },
    Refuse { close: bool },
    End { which: usize, bytes: usize },
    Write,
    Stop,
}

fn step() -> impl Strategy<Value = Step> {
    let body = prop::option::weighted(0.9, 0_u64..600);
    prop_oneof![
        6 => (prop::bool::weighted(0.8), body, prop::bool::weighted(0.05))
            .prop_map(|(idempotent, body, last)| Step::Read { idempotent, body, last }),
        1 => prop::bool::weighted(0.3).prop_map(|close| Step::Refuse { close }),
        6 => (any::<usize>(), 0_usize..600).prop_map(|(which, bytes)| Step::End { which, bytes }),
        5 => Just(Step::Write),
        1 => prop::bool::weighted(0.1).prop_map(|stop| if stop { Step::Stop } else { Step::Write }),
    ]
}

proptest! {
    /// Guards against a load of pipelined requests that is answered out of order or twice, exceeds
    /// the bounds, runs a request beside one that runs alone, or continues behind a close.
    #[test]
    fn pipelined_load_breaks_a_rule(steps in prop::collection::vec(step(), 0..200)) {
        let mut pipeline = Pipeline::new(LIMITS);
        // Unanswered requests, and whether they run alone.
        let mut unanswered: BTreeMap<Position, bool> = BTreeMap::new();
        let mut running: Vec<Position> = Vec::new();
        let (mut last_written, mut ending, mut closed) = (None, false, false);
        for step in steps {
            match step {
                Step::Read { idempotent, body, last } if pipeline.may_read() => {
                    prop_assert!(!ending && unanswered.len() < LIMITS.requests);
                    prop_assert!(!unanswered.values().any(|alone| *alone), "read beyond one");
                    let concurrency = concurrency(idempotent, body, pipeline.room());
                    let alone = concurrency == Concurrency::Alone;
                    prop_assert!(alone || idempotent);
                    let bytes = if alone { 0 } else { body.unwrap() as usize };
                    prop_assert!(pipeline.bytes() + bytes <= LIMITS.bytes || bytes == 0);
                    let position = pipeline.on_read(concurrency, bytes, last);
                    unanswered.insert(position, alone);
                    ending |= last;
                    if !alone {
                        running.push(position);
                    }
                }
                Step::Refuse { close } if pipeline.may_read() => {
                    ending |= close;
                    let after = if close { AfterResponse::Close } else { AfterResponse::Continue };
                    unanswered.insert(pipeline.on_refused(after), false);
                }
                Step::End { which, bytes } if !running.is_empty() => {
                    pipeline.on_ended(running.swap_remove(which % running.len()), bytes);
                }
                Step::Write if pipeline.is_alone() => {
                    // It is served by itself, and a new window begins behind it.
                    prop_assert_eq!(unanswered.len(), 1);
                    prop_assert!(running.is_empty());
                    (pipeline, last_written) = (Pipeline::new(LIMITS), None);
                    unanswered.clear();
                    closed = ending;
                    if closed {
                        pipeline.stop_reading();
                    }
                }
                Step::Write => {
                    let first = unanswered.keys().next().copied();
                    if let Some((position, after)) = pipeline.take_response() {
                        prop_assert!(!closed, "written behind a close");
                        prop_assert_eq!(Some(position), first, "not in order");
                        prop_assert!(!running.contains(&position) && last_written < Some(position));
                        unanswered.remove(&position);
                        last_written = Some(position);
                        closed = after == AfterResponse::Close;
                        prop_assert_eq!(closed, ending && unanswered.is_empty());
                    }
                }
                Step::Stop => {
                    ending = true;
                    pipeline.stop_reading();
                }
                _ => {}
            }
            prop_assert_eq!(pipeline.len(), unanswered.len());
        }
        // Whatever was read is answered once everything has ended.
        for position in running {
            pipeline.on_ended(position, 0);
        }
        while pipeline.take_response().is_some() {}
        prop_assert!(pipeline.is_empty() || pipeline.is_alone() && pipeline.len() == 1);
        prop_assert!(!pipeline.is_empty() || pipeline.bytes() == 0);
    }
}
