//! Merging, encoding and size of the evidence.

use std::time::Duration;

use oleandertiller_model::{NodeName, ServiceName, codec};
use oleandertiller_rollout::{
    Arm, Attempt, Report, ServerId, Tally,
    evidence::{LATENCY_BUCKETS, MAX_REPORT_BYTES_PER_S, WINDOW, latency_bucket, report_interval},
};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, LogNormal};

type Event = (u32, u8, Option<u32>);

fn event() -> impl Strategy<Value = Event> {
    (0u32..6, 0u8..3, prop::option::weighted(0.9, 0u32..40_000_000))
}

fn tally(events: &[Event]) -> Tally {
    let mut tally = Tally::default();
    for (server, kind, micros) in events {
        let arm = if *server < 3 { Arm::Old } else { Arm::New };
        let done = |micros: u32| Attempt::Done(Duration::from_micros(u64::from(micros)));
        tally.record(ServerId(*server), arm, *kind, micros.map_or(Attempt::Failed, done));
    }
    tally
}

fn report(tally: &Tally) -> Report {
    tally.report(ServiceName::new("kettle"), NodeName::new("ingress-1"), 1)
}

fn sums(tally: &Tally) -> Vec<(ServerId, u64, u64, u64)> {
    let sum = |counts: &[_], field: fn(&_) -> u64| counts.iter().map(field).sum();
    let row = |(id, server): (ServerId, &oleandertiller_rollout::evidence::ServerTally)| {
        let failed = sum(&server.kinds, |counts| counts.failed);
        (
            id,
            sum(&server.kinds, |counts| counts.attempts),
            failed,
            sum(&server.kinds, |c| c.timed()),
        )
    };
    tally.servers().map(row).collect()
}

proptest! {
    /// Guards against counts that change on the way to the controller.
    #[test]
    fn reports_carry_all_counts(events in prop::collection::vec(event(), 0..200)) {
        let before = tally(&events);
        let encoded = codec::encode(&report(&before));
        let decoded: Report = codec::decode(&encoded).unwrap();
        let mut after = Tally::default();
        after.merge_report(&decoded);
        prop_assert_eq!(sums(&after), sums(&before));
    }

    /// Guards against a result that depends on the order in which reports arrive.
    #[test]
    fn merging_is_independent_of_order(
        one in prop::collection::vec(event(), 0..100),
        other in prop::collection::vec(event(), 0..100),
    ) {
        let (mut forward, mut reverse) = (tally(&one), tally(&other));
        forward.merge(&tally(&other));
        reverse.merge(&tally(&one));
        prop_assert_eq!(sums(&forward), sums(&reverse));
    }

    /// Guards against a slower answer in a lower bucket.
    #[test]
    fn buckets_grow_with_latency(one in 0u64..60_000_000, other in 0u64..60_000_000) {
        let bucket = |micros| latency_bucket(Duration::from_micros(micros));
        prop_assert!(bucket(one.min(other)) <= bucket(one.max(other)));
        prop_assert!(bucket(one) < LATENCY_BUCKETS);
    }
}

/// Returns the encoded size in bytes of a window with `calls` calls of 3 kinds to 8 servers.
fn encoded_bytes(calls: usize) -> usize {
    let mut rng = StdRng::seed_from_u64(calls as u64);
    let spread = LogNormal::new(0.0, 0.4).unwrap();
    let mut tally = Tally::default();
    for _ in 0..calls {
        let server = rng.random_range(0..8u32);
        let arm = if server < 4 { Arm::Old } else { Arm::New };
        // Hashes of names use all 32 bits and take 5 bytes encoded.
        let id = ServerId(server.wrapping_add(1).wrapping_mul(0x9e37_79b9));
        let latency = Duration::from_secs_f64(0.03 * spread.sample(&mut rng));
        tally.record(id, arm, rng.random_range(0..3), Attempt::Done(latency));
    }
    codec::encode(&report(&tally)).len()
}

/// Guards against evidence that takes more than half of a controller's budget of 24 KB/s.
#[test]
fn two_hundred_callers_fit_into_the_budget() {
    const CALLERS: usize = 200;
    // At the target size a server answers 94 calls/s; with 8 servers, each of 200 callers makes 4.
    for calls in [1, 4, 10, 100] {
        let (mut interval, mut bytes) = (WINDOW, encoded_bytes(calls));
        for _ in 0..10 {
            interval = report_interval(CALLERS, bytes);
            bytes = encoded_bytes(calls * interval.as_secs() as usize);
        }
        let rate = (CALLERS * bytes) as f64 / interval.as_secs_f64();
        let every = interval.as_secs();
        println!("{calls} calls/s: {bytes} bytes every {every} s, {rate:.0} bytes/s in all");
        assert!(rate <= MAX_REPORT_BYTES_PER_S as f64, "{calls} calls/s: {rate} bytes/s");
    }
}
