//! What the choice of an owner must always hold.

use std::time::{Duration, Instant};

use oleandertiller_model::{
    ErrorKind, Lifecycle, LoadReport, NodeName, Outcome, Revision, VersionName,
};
use oleandertiller_routing::selection::{Candidate, Policy, SelectionConfig, Selector};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};

const MS: Duration = Duration::from_millis(1);
const POLICIES: [Policy; 4] =
    [Policy::ExpectedWait, Policy::Random, Policy::RoundRobin, Policy::LeastInFlight];

fn candidate(node: &str) -> Candidate {
    Candidate {
        node: node.into(),
        incarnation: 1,
        zone: "bayangol".into(),
        version: "v1".into(),
        eligible: true,
    }
}

fn report(sequence: u64) -> LoadReport {
    LoadReport {
        sequence,
        in_flight: 0,
        limit: 6,
        queued: 0,
        queue_delay_us: 0,
        service_time_us: 10_000,
        lifecycle: Lifecycle::Serving,
        version: "v1".into(),
        revision: Revision(1),
    }
}

/// A selector over `a`, `b` and so on, with its own clock and random numbers.
struct Bench {
    selector: Selector,
    candidates: Vec<Candidate>,
    rng: StdRng,
    now: Instant,
}

impl Bench {
    fn new(cfg: SelectionConfig, nodes: &[&str]) -> Self {
        let now = Instant::now();
        let candidates: Vec<_> = nodes.iter().map(|node| candidate(node)).collect();
        let mut selector = Selector::new(cfg, "bayangol".into());
        selector.set_candidates(candidates.clone(), now);
        Self { selector, candidates, rng: StdRng::seed_from_u64(1), now }
    }

    fn pick(&mut self) -> Option<NodeName> {
        self.selector.pick(&mut self.rng, &[], None, self.now).map(|chosen| chosen.node)
    }

    /// Picks without leaving the request in flight.
    fn peek(&mut self) -> NodeName {
        let node = self.pick().expect("a candidate");
        self.end(&node, Outcome::Unknown(ErrorKind::Cancelled), None);
        node
    }

    fn end(&mut self, node: &NodeName, outcome: Outcome, load: Option<LoadReport>) {
        self.selector.on_end(node, outcome, Duration::ZERO, load, self.now);
    }

    fn probe(&mut self, node: &str, load: LoadReport) {
        self.selector.on_probe(&node.into(), Some(load), self.now);
    }

    fn count(&mut self, node: &str, picks: u32) -> u32 {
        (0..picks).filter(|_| self.peek() == node.into()).count() as u32
    }

    fn announce(&mut self) {
        self.selector.set_candidates(self.candidates.clone(), self.now);
    }
}

proptest! {
    /// Guards against a request that is sent to an owner that was tried already, takes no new
    /// work or has another version; and against none being chosen although one is left.
    #[test]
    fn only_allowed_owners_are_chosen(
        states in prop::collection::vec((any::<bool>(), any::<bool>(), any::<bool>()), 0..20),
        policy in 0_usize..4,
        by_version in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let cfg = SelectionConfig { policy: POLICIES[policy], ..SelectionConfig::default() };
        let now = Instant::now();
        let mut selector = Selector::new(cfg, "bayangol".into());
        let mut rng = StdRng::seed_from_u64(seed);
        let (mut candidates, mut tried) = (Vec::new(), Vec::new());
        for (at, (eligible, new, was_tried)) in states.into_iter().enumerate() {
            let node = format!("node-{at}");
            let version = VersionName::from(if new { "v2" } else { "v1" });
            if was_tried {
                tried.push(NodeName::from(node.as_str()));
            }
            candidates.push(Candidate { version, eligible, ..candidate(&node) });
        }
        selector.set_candidates(candidates.clone(), now);
        let wanted = VersionName::from("v2");
        let version = by_version.then_some(&wanted);
        let allowed = |c: &Candidate| {
            c.eligible && !tried.contains(&c.node) && version.is_none_or(|v| c.version == *v)
        };
        for _ in 0..20 {
            match selector.pick(&mut rng, &tried, version, now) {
                Some(chosen) => prop_assert!(allowed(&chosen)),
                None => prop_assert!(!candidates.iter().any(allowed)),
            }
        }
    }
}

/// Guards against equal owners that do not get equal shares.
#[test]
fn equal_owners_share_equally() {
    for policy in POLICIES {
        let cfg = SelectionConfig { policy, ..SelectionConfig::default() };
        let mut bench = Bench::new(cfg, &["a", "b", "c", "d"]);
        for node in ["a", "b", "c", "d"] {
            bench.probe(node, report(1));
        }
        let count = bench.count("a", 4_000);
        assert!((850..1_150).contains(&count), "{policy:?}: {count}");
    }
}

/// Guards against a burst that goes to the owner that was idle in the last reports: own requests
/// count before any report covers them.
#[test]
fn own_unreported_requests_count() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b", "c"]);
    for node in ["b", "c"] {
        bench.probe(node, LoadReport { in_flight: 2, ..report(1) });
    }
    bench.probe("a", report(1));
    let mut counts = [0; 3];
    for _ in 0..11 {
        let node = bench.pick().expect("a candidate");
        counts[(node.as_str().as_bytes()[0] - b'a') as usize] += 1;
    }
    assert_eq!(counts, [5, 3, 3]);
}

/// Guards against full and slow owners that are chosen while a better one is known.
#[test]
fn loaded_and_slow_owners_are_passed_over() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b", "c"]);
    bench.probe("a", report(1));
    bench.end(&"a".into(), Outcome::Done, Some(report(2)));
    bench.probe("b", LoadReport { in_flight: 6, queued: 4, ..report(1) });
    bench.probe("c", LoadReport { service_time_us: 50_000, ..report(1) });
    assert_eq!(bench.count("a", 100), 100);
}

/// Guards against a server that attracts requests because its failures free it early.
#[test]
fn failures_repel_and_the_penalty_decays() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    for sequence in 1..=3 {
        let idle = report(sequence);
        bench.end(&"a".into(), Outcome::Unknown(ErrorKind::ConnectionLost), Some(idle.clone()));
        bench.probe("b", LoadReport { in_flight: 5, ..idle });
    }
    assert_eq!(bench.count("a", 100), 0);
    bench.now += Duration::from_secs(60);
    bench.probe("a", report(4));
    bench.probe("b", report(4));
    assert!(bench.count("a", 100) > 20);
}

/// Guards against cancellations and refusals about the request that count against the owner.
#[test]
fn neutral_outcomes_do_not_repel() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.probe("b", report(1));
    for sequence in 1..=20 {
        let outcome = Outcome::NotRun(ErrorKind::Overloaded);
        bench.end(&"a".into(), outcome, Some(report(sequence)));
        bench.end(&"a".into(), Outcome::Unknown(ErrorKind::Cancelled), None);
    }
    assert!(bench.count("a", 100) > 20);
}

/// Guards against a late report that overwrites a newer one.
#[test]
fn older_sequence_numbers_are_ignored() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.probe("b", LoadReport { in_flight: 3, ..report(1) });
    bench.probe("a", LoadReport { in_flight: 6, ..report(9) });
    bench.probe("a", report(8));
    assert_eq!(bench.count("a", 100), 0);
    bench.probe("a", report(10));
    assert_eq!(bench.count("a", 100), 100);
}

/// Guards against a restarted node that is judged by the reports of its previous life, whose
/// sequence numbers may be higher than its own.
#[test]
fn reports_of_another_incarnation_are_dropped() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.probe("b", LoadReport { in_flight: 3, ..report(1) });
    bench.probe("a", report(1_000));
    let sent = bench.now;
    bench.now += MS * 10;
    bench.candidates[0].incarnation = 2;
    bench.announce();
    // The answer to a request that was sent before the restart.
    bench.now += MS * 10;
    let (node, elapsed) = ("a".into(), bench.now - sent);
    let old = Some(report(1_001));
    bench.selector.on_end(&node, Outcome::Done, elapsed, old, bench.now);
    // A full owner by its first report of this life; the old numbers must not hide it.
    bench.now += Duration::from_secs(20);
    bench.probe("a", LoadReport { in_flight: 6, ..report(1) });
    bench.probe("b", LoadReport { in_flight: 3, ..report(2) });
    assert_eq!(bench.count("a", 100), 0);
}

/// Guards against old load that decides: an idle report past its age must not beat a fresh one.
#[test]
fn old_reports_count_as_unknown() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b", "c"]);
    bench.probe("a", report(1));
    bench.now += Duration::from_secs(1);
    bench.probe("b", LoadReport { in_flight: 2, ..report(1) });
    bench.probe("c", LoadReport { in_flight: 3, ..report(1) });
    assert_eq!(bench.count("a", 100), 0);
    assert_eq!(bench.selector.probe_target(bench.now).map(|c| c.node), Some("a".into()));
}

/// Guards against probes that are sent while load is known, or again before an answer can arrive.
#[test]
fn probes_are_named_only_for_unknown_load() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.probe("a", report(1));
    let target = |bench: &mut Bench| bench.selector.probe_target(bench.now).map(|c| c.node);
    assert_eq!(target(&mut bench), Some("b".into()));
    assert_eq!(target(&mut bench), None);
    bench.probe("b", report(1));
    bench.now += MS * 200;
    assert_eq!(target(&mut bench), None);
    bench.now += MS * 400;
    assert!(target(&mut bench).is_some());
}

/// Guards against probes that are spent on a returning owner before its ramp admits requests.
#[test]
fn returning_owners_are_probed_once_their_ramp_admits_requests() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a"]);
    bench.probe("a", report(1));
    bench.candidates.push(candidate("b"));
    bench.selector.set_candidates(bench.candidates.clone(), bench.now);
    assert_eq!(bench.selector.probe_target(bench.now), None);
    bench.now += SelectionConfig::default().zone_ramp / 2;
    bench.probe("a", report(2));
    assert_eq!(bench.selector.probe_target(bench.now).map(|c| c.node), Some("b".into()));
}

/// Guards against needless crossings between zones, and against a zone cost that outweighs a wait.
#[test]
fn own_zone_is_preferred_at_equal_load() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.candidates[1].zone = "khan-uul".into();
    bench.announce();
    bench.probe("a", report(1));
    bench.probe("b", report(1));
    assert_eq!(bench.count("a", 100), 100);
    bench.probe("a", LoadReport { in_flight: 6, ..report(2) });
    assert_eq!(bench.count("a", 100), 0);
}

/// Guards against a returning zone that gets its full share at once, or never.
#[test]
fn returning_candidate_ramps_up() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.candidates[0].eligible = false;
    bench.announce();
    bench.candidates[0].eligible = true;
    bench.announce();
    let mut share = |after: u64| {
        let start = bench.now;
        bench.now += Duration::from_secs(after);
        for node in ["a", "b"] {
            bench.probe(node, report(after + 1));
        }
        let count = bench.count("a", 2_000);
        bench.now = start;
        count
    };
    let (start, middle, end) = (share(0), share(5), share(11));
    assert!(start < 100, "{start}");
    assert!((350..650).contains(&middle), "{middle}");
    assert!((850..1_150).contains(&end), "{end}");
}

/// Guards against candidates that are all ramping and then all refused.
#[test]
fn a_lone_returning_candidate_is_chosen() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a"]);
    bench.candidates[0].eligible = false;
    bench.announce();
    assert_eq!(bench.pick(), None);
    bench.candidates[0].eligible = true;
    bench.announce();
    assert_eq!(bench.peek(), "a".into());
}

/// Guards against a cold owner that is sent more than its reported limit by one ingress node.
#[test]
fn cold_candidate_gets_what_its_limit_bears() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    for limit in 1..4 {
        let cold = LoadReport { limit, lifecycle: Lifecycle::Cold, ..report(u64::from(limit)) };
        bench.probe("a", cold);
        bench.probe("b", LoadReport { in_flight: 6, queued: 20, ..report(u64::from(limit)) });
        let to_cold = |node: &NodeName| *node == "a".into();
        let sent: Vec<_> = (0..200).filter_map(|_| bench.pick()).filter(to_cold).collect();
        assert!(sent.len() <= limit as usize, "{} of {limit}", sent.len());
        bench.now += MS * 20;
        for node in sent {
            bench.end(&node, Outcome::Unknown(ErrorKind::Cancelled), None);
        }
    }
}

/// Guards against a candidate that has just joined and gets a burst before its first report.
#[test]
fn joined_candidate_gets_one_request_before_its_first_report() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.candidates.push(candidate("c"));
    bench.announce();
    bench.now += Duration::from_secs(20);
    for node in ["a", "b"] {
        bench.probe(node, LoadReport { in_flight: 6, queued: 20, ..report(1) });
    }
    let joined = (0..200).filter(|_| bench.pick() == Some("c".into())).count();
    assert_eq!(joined, 1);
}

/// Guards against one known owner that keeps all requests, however loaded, because the load of the
/// others is not known and no probe is paid for.
#[test]
fn unknown_owners_relieve_a_loaded_one() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b", "c"]);
    for node in ["a", "b", "c"] {
        bench.probe(node, report(1));
    }
    bench.end(&"a".into(), Outcome::Done, Some(report(2)));
    bench.now += Duration::from_secs(1);
    bench.probe("a", LoadReport { in_flight: 6, queued: 6, ..report(3) });
    assert_eq!(bench.count("a", 100), 0);
}

/// Guards against a cold owner that is never used, and so never warms up, while others are idle.
#[test]
fn idle_cold_candidate_still_gets_requests() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a", "b"]);
    bench.probe("a", LoadReport { limit: 1, lifecycle: Lifecycle::Cold, ..report(1) });
    bench.probe("b", report(1));
    assert!(bench.count("a", 200) > 0);
}

/// Guards against an answer for a node that has left.
#[test]
fn unknown_nodes_are_ignored() {
    let mut bench = Bench::new(SelectionConfig::default(), &["a"]);
    bench.end(&"gone".into(), Outcome::Done, Some(report(1)));
    assert_eq!(bench.pick(), Some("a".into()));
}

/// Guards against baselines that are not what they are called.
#[test]
fn baselines_do_what_they_say() {
    let cfg = |policy| SelectionConfig { policy, ..SelectionConfig::default() };
    let mut bench = Bench::new(cfg(Policy::RoundRobin), &["a", "b", "c"]);
    let turns: Vec<_> = (0..6).filter_map(|_| bench.pick()).collect();
    assert_eq!(turns[..3], turns[3..]);
    let mut bench = Bench::new(cfg(Policy::LeastInFlight), &["a", "b", "c"]);
    let mut first: Vec<_> = (0..3).filter_map(|_| bench.pick()).collect();
    first.sort();
    assert_eq!(first, ["a", "b", "c"].map(NodeName::from));
    bench.end(&"b".into(), Outcome::Done, None);
    assert_eq!(bench.pick(), Some("b".into()));
}
