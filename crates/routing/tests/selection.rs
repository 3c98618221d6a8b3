//! Rules and properties of the choice of an owner.

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

/// A selector with a clock and random numbers of its own.
struct Fixture {
    selector: Selector,
    candidates: Vec<Candidate>,
    rng: StdRng,
    now: Instant,
}

impl Fixture {
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

    /// Chooses an owner without leaving the request in flight.
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

    fn count_picks(&mut self, node: &str, picks: u32) -> u32 {
        (0..picks).filter(|_| self.peek() == node.into()).count() as u32
    }

    fn apply_candidates(&mut self) {
        self.selector.set_candidates(self.candidates.clone(), self.now);
    }
}

proptest! {
    /// Guards against choosing an owner that was tried already, takes no new work or has another
    /// version, and against choosing none although one is left.
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
        for (index, (eligible, new, was_tried)) in states.into_iter().enumerate() {
            let node = format!("node-{index}");
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

/// Guards against unequal shares of requests for equal owners.
#[test]
fn equal_owners_share_equally() {
    for policy in POLICIES {
        let cfg = SelectionConfig { policy, ..SelectionConfig::default() };
        let mut fixture = Fixture::new(cfg, &["a", "b", "c", "d"]);
        for node in ["a", "b", "c", "d"] {
            fixture.probe(node, report(1));
        }
        let count = fixture.count_picks("a", 4_000);
        assert!((850..1_150).contains(&count), "{policy:?}: {count}");
    }
}

/// Guards against a burst to the owner that was idle in the last reports: own requests count before
/// any report covers them.
#[test]
fn own_unreported_requests_count() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b", "c"]);
    for node in ["b", "c"] {
        fixture.probe(node, LoadReport { in_flight: 2, ..report(1) });
    }
    fixture.probe("a", report(1));
    let mut counts = [0; 3];
    for _ in 0..11 {
        let node = fixture.pick().expect("a candidate");
        counts[(node.as_str().as_bytes()[0] - b'a') as usize] += 1;
    }
    assert_eq!(counts, [5, 3, 3]);
}

/// Guards against choosing a full or slow owner while a better one is known.
#[test]
fn loaded_and_slow_owners_are_passed_over() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b", "c"]);
    fixture.probe("a", report(1));
    fixture.end(&"a".into(), Outcome::Done, Some(report(2)));
    fixture.probe("b", LoadReport { in_flight: 6, queued: 4, ..report(1) });
    fixture.probe("c", LoadReport { service_time_us: 50_000, ..report(1) });
    assert_eq!(fixture.count_picks("a", 100), 100);
}

/// Guards against a server that attracts requests because it is idle after failing fast.
#[test]
fn failures_repel_and_the_penalty_decays() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    for sequence in 1..=3 {
        let idle = report(sequence);
        fixture.end(&"a".into(), Outcome::Unknown(ErrorKind::ConnectionLost), Some(idle.clone()));
        fixture.probe("b", LoadReport { in_flight: 5, ..idle });
    }
    assert_eq!(fixture.count_picks("a", 100), 0);
    fixture.now += Duration::from_secs(60);
    fixture.probe("a", report(4));
    fixture.probe("b", report(4));
    assert!(fixture.count_picks("a", 100) > 20);
}

/// Guards against a failure penalty for cancelled requests and for load shedding.
#[test]
fn neutral_outcomes_do_not_repel() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.probe("b", report(1));
    for sequence in 1..=20 {
        let outcome = Outcome::NotRun(ErrorKind::Overloaded);
        fixture.end(&"a".into(), outcome, Some(report(sequence)));
        fixture.end(&"a".into(), Outcome::Unknown(ErrorKind::Cancelled), None);
    }
    assert!(fixture.count_picks("a", 100) > 20);
}

/// Guards against a delayed report that overwrites a newer one.
#[test]
fn older_sequence_numbers_are_ignored() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.probe("b", LoadReport { in_flight: 3, ..report(1) });
    fixture.probe("a", LoadReport { in_flight: 6, ..report(9) });
    fixture.probe("a", report(8));
    assert_eq!(fixture.count_picks("a", 100), 0);
    fixture.probe("a", report(10));
    assert_eq!(fixture.count_picks("a", 100), 100);
}

/// Guards against using reports of a previous incarnation for a restarted node. Their sequence
/// numbers may be higher than those of the new reports.
#[test]
fn reports_of_another_incarnation_are_dropped() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.probe("b", LoadReport { in_flight: 3, ..report(1) });
    fixture.probe("a", report(1_000));
    let sent = fixture.now;
    fixture.now += MS * 10;
    fixture.candidates[0].incarnation = 2;
    fixture.apply_candidates();
    // The answer to a request that was sent before the restart.
    fixture.now += MS * 10;
    let (node, elapsed) = ("a".into(), fixture.now - sent);
    let old = Some(report(1_001));
    fixture.selector.on_end(&node, Outcome::Done, elapsed, old, fixture.now);
    // Its first new report says that it is full; the older one must not hide that.
    fixture.now += Duration::from_secs(20);
    fixture.probe("a", LoadReport { in_flight: 6, ..report(1) });
    fixture.probe("b", LoadReport { in_flight: 3, ..report(2) });
    assert_eq!(fixture.count_picks("a", 100), 0);
}

/// Guards against choosing by an outdated report that says that the owner is idle.
#[test]
fn old_reports_count_as_unknown() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b", "c"]);
    fixture.probe("a", report(1));
    fixture.now += Duration::from_secs(1);
    fixture.probe("b", LoadReport { in_flight: 2, ..report(1) });
    fixture.probe("c", LoadReport { in_flight: 3, ..report(1) });
    assert_eq!(fixture.count_picks("a", 100), 0);
    assert_eq!(fixture.selector.probe_target(fixture.now).map(|c| c.node), Some("a".into()));
}

/// Guards against probes while load is known, or again before an answer can have arrived.
#[test]
fn only_owners_of_unknown_load_are_probed() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.probe("a", report(1));
    let target = |fixture: &mut Fixture| fixture.selector.probe_target(fixture.now).map(|c| c.node);
    assert_eq!(target(&mut fixture), Some("b".into()));
    assert_eq!(target(&mut fixture), None);
    fixture.probe("b", report(1));
    fixture.now += MS * 200;
    assert_eq!(target(&mut fixture), None);
    fixture.now += MS * 400;
    assert!(target(&mut fixture).is_some());
}

/// Guards against wasting probes on a returning owner that gets hardly any requests yet.
#[test]
fn returning_owners_are_probed_once_their_ramp_admits_requests() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a"]);
    fixture.probe("a", report(1));
    fixture.candidates.push(candidate("b"));
    fixture.selector.set_candidates(fixture.candidates.clone(), fixture.now);
    assert_eq!(fixture.selector.probe_target(fixture.now), None);
    fixture.now += SelectionConfig::default().zone_ramp / 2;
    fixture.probe("a", report(2));
    assert_eq!(fixture.selector.probe_target(fixture.now).map(|c| c.node), Some("b".into()));
}

/// Guards against needless calls to other zones, and against a zone cost that outweighs a wait.
#[test]
fn own_zone_is_preferred_at_equal_load() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.candidates[1].zone = "khan-uul".into();
    fixture.apply_candidates();
    fixture.probe("a", report(1));
    fixture.probe("b", report(1));
    assert_eq!(fixture.count_picks("a", 100), 100);
    fixture.probe("a", LoadReport { in_flight: 6, ..report(2) });
    assert_eq!(fixture.count_picks("a", 100), 0);
}

/// Guards against a returning owner that gets its full share at once, or never.
#[test]
fn returning_candidate_ramps_up() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.candidates[0].eligible = false;
    fixture.apply_candidates();
    fixture.candidates[0].eligible = true;
    fixture.apply_candidates();
    let mut share = |after: u64| {
        let start = fixture.now;
        fixture.now += Duration::from_secs(after);
        for node in ["a", "b"] {
            fixture.probe(node, report(after + 1));
        }
        let count = fixture.count_picks("a", 2_000);
        fixture.now = start;
        count
    };
    let (start, middle, end) = (share(0), share(5), share(11));
    assert!(start < 100, "{start}");
    assert!((350..650).contains(&middle), "{middle}");
    assert!((850..1_150).contains(&end), "{end}");
}

/// Guards against choosing none when all candidates are early in their ramp.
#[test]
fn a_lone_returning_candidate_is_chosen() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a"]);
    fixture.candidates[0].eligible = false;
    fixture.apply_candidates();
    assert_eq!(fixture.pick(), None);
    fixture.candidates[0].eligible = true;
    fixture.apply_candidates();
    assert_eq!(fixture.peek(), "a".into());
}

/// Guards against one ingress node sending a cold owner more than its reported limit.
#[test]
fn cold_candidate_gets_no_more_than_its_limit() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    for limit in 1..4 {
        let cold = LoadReport { limit, lifecycle: Lifecycle::Cold, ..report(u64::from(limit)) };
        fixture.probe("a", cold);
        fixture.probe("b", LoadReport { in_flight: 6, queued: 20, ..report(u64::from(limit)) });
        let to_cold = |node: &NodeName| *node == "a".into();
        let sent: Vec<_> = (0..200).filter_map(|_| fixture.pick()).filter(to_cold).collect();
        assert!(sent.len() <= limit as usize, "{} of {limit}", sent.len());
        fixture.now += MS * 20;
        for node in sent {
            fixture.end(&node, Outcome::Unknown(ErrorKind::Cancelled), None);
        }
    }
}

/// Guards against a burst to a new candidate before its first report.
#[test]
fn joined_candidate_gets_one_request_before_its_first_report() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.candidates.push(candidate("c"));
    fixture.apply_candidates();
    fixture.now += Duration::from_secs(20);
    for node in ["a", "b"] {
        fixture.probe(node, LoadReport { in_flight: 6, queued: 20, ..report(1) });
    }
    let joined = (0..200).filter(|_| fixture.pick() == Some("c".into())).count();
    assert_eq!(joined, 1);
}

/// Guards against sending all requests to the one owner whose load is known, however loaded, while
/// the measuring budget allows no probes of the others.
#[test]
fn unknown_owners_relieve_a_loaded_one() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b", "c"]);
    for node in ["a", "b", "c"] {
        fixture.probe(node, report(1));
    }
    fixture.end(&"a".into(), Outcome::Done, Some(report(2)));
    fixture.now += Duration::from_secs(1);
    fixture.probe("a", LoadReport { in_flight: 6, queued: 6, ..report(3) });
    assert_eq!(fixture.count_picks("a", 100), 0);
}

/// Guards against a cold owner that is never used, and so never warms up, while others are idle.
#[test]
fn idle_cold_candidate_still_gets_requests() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a", "b"]);
    fixture.probe("a", LoadReport { limit: 1, lifecycle: Lifecycle::Cold, ..report(1) });
    fixture.probe("b", report(1));
    assert!(fixture.count_picks("a", 200) > 0);
}

/// Guards against a panic on an answer from a node that is no longer a candidate.
#[test]
fn unknown_nodes_are_ignored() {
    let mut fixture = Fixture::new(SelectionConfig::default(), &["a"]);
    fixture.end(&"gone".into(), Outcome::Done, Some(report(1)));
    assert_eq!(fixture.pick(), Some("a".into()));
}

/// Guards against baseline policies that do not do what their names say.
#[test]
fn baseline_policies_do_what_their_names_say() {
    let cfg = |policy| SelectionConfig { policy, ..SelectionConfig::default() };
    let mut fixture = Fixture::new(cfg(Policy::RoundRobin), &["a", "b", "c"]);
    let turns: Vec<_> = (0..6).filter_map(|_| fixture.pick()).collect();
    assert_eq!(turns[..3], turns[3..]);
    let mut fixture = Fixture::new(cfg(Policy::LeastInFlight), &["a", "b", "c"]);
    let mut first: Vec<_> = (0..3).filter_map(|_| fixture.pick()).collect();
    first.sort();
    assert_eq!(first, ["a", "b", "c"].map(NodeName::from));
    fixture.end(&"b".into(), Outcome::Done, None);
    assert_eq!(fixture.pick(), Some("b".into()));
}
