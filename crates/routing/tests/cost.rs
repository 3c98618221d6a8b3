//! Prints the time that one decision takes; run with `--release --ignored --nocapture`.

use std::time::{Duration, Instant};

use oleandertiller_model::{Lifecycle, LoadReport, Outcome, Revision};
use oleandertiller_routing::{
    limit::{Admission, AdmissionRequest, Completion, LimitConfig, Limiter, Reserve},
    selection::{Candidate, SelectionConfig, Selector},
};
use rand::{SeedableRng, rngs::StdRng};

const ROUNDS: u32 = 1_000_000;

fn print_per_round(operation: &str, took: Duration) {
    println!("{operation}: {:.0} ns", took.as_nanos() as f64 / f64::from(ROUNDS));
}

/// Prints the time of choosing an owner and recording the end of the request, by number of owners.
#[test]
#[ignore = "prints times and asserts nothing"]
fn pick_and_end() {
    for count in [4, 7, 9, 100] {
        let mut now = Instant::now();
        let mut selector = Selector::new(SelectionConfig::default(), "bayangol".into());
        let candidate = |index: u32| Candidate {
            node: format!("node-{index}").as_str().into(),
            incarnation: 1,
            zone: "bayangol".into(),
            version: "v1".into(),
            eligible: true,
        };
        selector.set_candidates((0..count).map(candidate).collect(), now);
        let mut rng = StdRng::seed_from_u64(1);
        let mut report = LoadReport {
            sequence: 0,
            in_flight: 2,
            limit: 6,
            queued: 0,
            queue_delay_us: 0,
            service_time_us: 10_000,
            lifecycle: Lifecycle::Serving,
            version: "v1".into(),
            revision: Revision(1),
        };
        let start = Instant::now();
        for _ in 0..ROUNDS {
            now += Duration::from_micros(100);
            report.sequence += 1;
            let chosen = selector.pick(&mut rng, &[], None, now).expect("a candidate");
            let load = Some(report.clone());
            selector.on_end(&chosen.node, Outcome::Done, Duration::ZERO, load, now);
        }
        print_per_round(&format!("pick and end, {count} owners"), start.elapsed());
    }
}

/// Prints the time of admitting a request and releasing its slot, without and with 200 waiting
/// requests.
#[test]
#[ignore = "prints times and asserts nothing"]
fn admit_and_release() {
    let now = Instant::now();
    let cfg = LimitConfig { reserve: Reserve::Never, ..LimitConfig::default() };
    let mut limiter = Limiter::new(cfg);
    limiter.on_announce(Lifecycle::Serving, 6, false, now);
    let deadline = now + Duration::from_secs(60);
    let request = |ticket, weight| AdmissionRequest { ticket, weight, depth: 0, deadline };
    let success = Completion::Success(Duration::from_millis(1));
    let start = Instant::now();
    for ticket in 0..u64::from(ROUNDS) {
        assert_eq!(limiter.admit(request(ticket, 1), now), Admission::Run);
        limiter.release(success, now);
    }
    print_per_round("admit and release", start.elapsed());
    let first = u64::from(ROUNDS);
    for ticket in first..first + 201 {
        limiter.admit(request(ticket, 1), now);
    }
    let start = Instant::now();
    for ticket in 0..u64::from(ROUNDS) {
        limiter.admit(request(first * 2 + ticket, 2), now);
        limiter.release(success, now);
    }
    print_per_round(&format!("admit and release, {} waiting", limiter.queued()), start.elapsed());
}
