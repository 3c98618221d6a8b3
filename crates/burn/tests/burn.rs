//! Classification of outcomes, burn rates, time windows and merging of reports.

use std::time::{Duration, Instant};

use oleandertiller_burn::{
    Cause, FleetReport, KindReport, NodeReport, Recorder, WindowReport, recorder::REPORT_WINDOWS,
};
use oleandertiller_model::{ErrorKind, Outcome};
use proptest::prelude::*;

/// Guards against service failures that are not counted, and client errors that are.
#[test]
fn every_error_kind_is_classified() {
    for kind in ErrorKind::ALL {
        let cause = Cause::of(kind.outcome(), 0);
        let client_error = (400..=499).contains(&kind.answer().status)
            && *kind != ErrorKind::KeyInProgress
            || *kind == ErrorKind::DepthExceeded;
        assert_eq!(cause.is_none(), client_error, "{kind}");
    }
}

/// Guards against upstream failures that count as correct answers.
#[test]
fn a_failure_status_is_bad() {
    assert_eq!(Cause::of(Outcome::Done, 200), None);
    assert_eq!(Cause::of(Outcome::Done, 404), None);
    assert_eq!(Cause::of(Outcome::Done, 500), Some(Cause::UpstreamFailure));
}

/// Guards against a wrong burn rate: 2% failures at an objective of 99% burn twice as fast as
/// allowed.
#[test]
fn burn_rate_is_relative_to_the_objective() {
    let mut window = WindowReport { total: 1_000, ..WindowReport::default() };
    window.bad[Cause::Overload.index()] = 20;
    assert!((window.burn_rate(990_000) - 2.0).abs() < 1e-9);
    assert!((window.allowed(990_000) - 10.0).abs() < 1e-9);
    assert_eq!(window.burn_rate(1_000_000), f64::INFINITY);
}

/// Guards against requests that stay in a window for too long or leave it too early.
#[test]
fn windows_forget_old_requests() {
    let start = Instant::now();
    let mut recorder = Recorder::new(start);
    recorder.record(Outcome::NotRun(ErrorKind::Overloaded), 0, start);
    for window in REPORT_WINDOWS {
        let inside = start + window - Duration::from_secs(10);
        let outside = start + window + Duration::from_secs(10);
        assert_eq!(recorder.window(window, inside).bad_total(), 1, "{window:?}");
        assert_eq!(recorder.window(window, outside).total, 0, "{window:?}");
    }
}

/// Guards against counting a node twice when it is asked twice.
#[test]
fn a_node_is_merged_once() {
    let kind = KindReport {
        objective_ppm: 999_000,
        windows: vec![WindowReport { seconds: 300, total: 5, ..WindowReport::default() }],
        series: Vec::new(),
    };
    let node = NodeReport {
        node: "kettle-1".into(),
        since_seconds: 7,
        services: [("kettle".into(), [("temper".into(), kind)].into())].into(),
    };
    let mut fleet = FleetReport::default();
    fleet.merge(&node);
    fleet.merge(&node);
    assert_eq!(fleet.services["kettle"]["temper"].windows[0].total, 5);
}

proptest! {
    /// Guards against mixing old and new slices after the ring buffer wraps around.
    #[test]
    fn windows_count_exactly(offsets in prop::collection::vec(0_u64..60_000, 1..200)) {
        let start = Instant::now();
        let mut sorted = offsets.clone();
        sorted.sort_unstable();
        let mut recorder = Recorder::new(start);
        for offset in &sorted {
            recorder.record(Outcome::Done, 200, start + Duration::from_secs(*offset));
        }
        let newest = *sorted.last().expect("not empty");
        let now = start + Duration::from_secs(newest);
        for window in REPORT_WINDOWS {
            let slices = window.as_secs() / 10;
            let expected = sorted.iter().filter(|o| *o / 10 + slices > newest / 10).count();
            prop_assert_eq!(recorder.window(window, now).total, expected as u64);
        }
    }
}
