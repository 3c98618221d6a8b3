//! Single rules of the judge and the controller, each with the smallest case that needs it.

use std::time::{Duration, Instant};

use oleandertiller_model::{
    Action, NodeName, ServiceName,
    intent::{PPM, RolloutPhase},
};
use oleandertiller_rollout::{
    Arm, Attempt, Controller, ControllerConfig, Judge, Proposal, ServerId, ServiceLoad, Tally,
    Verdict, Veto, VetoNotice,
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use crate::simulation::control::{Store, service, wall};

/// Load that the new servers can carry at any share.
const LOW_LOAD: ServiceLoad = ServiceLoad { new_limit: 50.0, in_flight: 10.0 };

/// Adds requests to four servers; `failed` percent fail and `slow` percent take four times as long.
fn add_requests(
    tally: &mut Tally,
    arm: Arm,
    requests: u32,
    failed: u32,
    slow: u32,
    rng: &mut StdRng,
) {
    let first = if arm == Arm::New { 100 } else { 0 };
    for _ in 0..requests {
        let server = ServerId(first + rng.random_range(0..4));
        for kind in 0..3 {
            let draw = rng.random_range(0..100);
            let millis = if draw < failed + slow { 80 } else { 20 };
            let attempt = match draw < failed {
                true => Attempt::Failed,
                false => Attempt::Done(Duration::from_millis(millis)),
            };
            tally.record(server, arm, kind, attempt);
        }
    }
}

fn judge() -> Judge {
    let names = ["temper", "status", "lookup"].map(std::sync::Arc::from);
    Judge::new(Default::default(), names)
}

/// Returns a window with, for each version, requests, percent failed and percent slow.
fn window(seed: u64, old: (u32, u32, u32), new: (u32, u32, u32)) -> Tally {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut tally = Tally::default();
    add_requests(&mut tally, Arm::Old, old.0, old.1, old.2, &mut rng);
    add_requests(&mut tally, Arm::New, new.0, new.1, new.2, &mut rng);
    tally
}

fn is_bad(judge: &Judge) -> bool {
    matches!(judge.verdict(), Verdict::Bad(_))
}

/// Guards against evidence from earlier good minutes that hides a later regression.
#[test]
fn good_minutes_do_not_delay_a_later_verdict() {
    let mut judge = judge();
    for seed in 0..1_000 {
        judge.observe(&window(seed, (300, 1, 5), (100, 1, 5)));
    }
    assert_eq!(judge.verdict(), Verdict::Proved);
    let found = (1..=5).find(|seed| {
        judge.observe(&window(*seed, (300, 1, 5), (100, 20, 5)));
        is_bad(&judge)
    });
    assert!(found.is_some(), "no finding within the 5 s of invariant 4");
}

/// Guards against a verdict on a single burst, however large.
#[test]
fn one_window_makes_no_verdict() {
    let mut judge = judge();
    judge.observe(&window(1, (300, 1, 5), (100, 1, 5)));
    judge.observe(&window(2, (1_000, 0, 5), (1_000, 100, 0)));
    assert!(!is_bad(&judge));
}

/// Guards against a bad verdict on a version that is slower only because its servers carry more
/// load than the old ones.
#[test]
fn a_version_with_most_traffic_is_compared_with_the_old_one_under_full_load() {
    let mut judge = judge();
    for seed in 0..100 {
        judge.observe(&window(seed, (500, 1, 9), (100, 1, 9)));
    }
    for seed in 0..200 {
        judge.observe(&window(seed, (100, 1, 3), (400, 1, 9)));
    }
    assert!(!is_bad(&judge), "{:?}", judge.verdict());
    for seed in 0..10 {
        judge.observe(&window(seed, (100, 1, 3), (400, 1, 60)));
    }
    assert!(is_bad(&judge));
}

/// Guards against a hold without a judgement because the old version has no traffic.
#[test]
fn a_hold_is_judged_by_the_old_versions_past() {
    let mut judge = judge();
    for seed in 0..50 {
        judge.observe(&window(seed, (300, 1, 5), (100, 1, 5)));
    }
    for seed in 0..5 {
        judge.observe(&window(seed, (0, 0, 0), (400, 20, 5)));
    }
    assert!(is_bad(&judge));
}

/// A store, a node with its controller, and a clock.
struct Setup {
    origin: Instant,
    at: f64,
    store: Store,
    controller: Controller,
    sequence: u64,
}

impl Setup {
    fn new() -> Self {
        let origin = Instant::now();
        let cfg = ControllerConfig::default();
        let controller = Controller::new(cfg, NodeName::new("node-0"), service(), origin);
        Self { origin, at: 0.0, store: Store::new(300.0), controller, sequence: 0 }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_secs_f64(self.at)
    }

    fn confirm(&mut self) {
        let now = self.now();
        self.controller.on_rollout(Some(self.store.rollout()), now, now);
    }

    /// Advances the clock by a second and returns what the controller proposes.
    fn propose(&mut self) -> Option<Proposal> {
        self.at += 1.0;
        self.controller.tick(LOW_LOAD, self.now(), wall(self.at))
    }

    fn report(&mut self, new: (u32, u32, u32)) {
        self.sequence += 1;
        let tally = window(self.sequence, (300, 1, 5), new);
        let report = tally.report("kettle".into(), "ingress-0".into(), self.sequence);
        self.controller.on_report(&report, self.now());
    }

    /// Runs for some seconds with the store up.
    fn run(&mut self, seconds: usize, new: (u32, u32, u32)) {
        for _ in 0..seconds {
            self.confirm();
            self.report(new);
            if let Some(proposed) = self.propose() {
                assert!(self.store.write(proposed.action, self.at));
            }
        }
        self.confirm();
    }
}

/// Guards against writes that change nothing.
#[test]
fn a_held_rollout_writes_nothing() {
    let mut setup = Setup::new();
    // Without requests to the new version there is no proof.
    let no_requests = (0, 0, 0);
    setup.run(60, no_requests);
    assert_eq!(setup.store.rollout().share_ppm, 50_000);
    let revision = setup.store.intent.revision;
    setup.run(60, no_requests);
    assert_eq!(setup.store.intent.revision, revision);
}

/// Guards against a controller that acts after its lease, and a finding that needs the lease.
#[test]
fn without_the_store_a_controller_stops_and_its_finding_remains() {
    let mut setup = Setup::new();
    setup.run(20, (20, 1, 5));
    assert!(setup.controller.leads(setup.now()).is_some());
    setup.at += 4.0;
    assert_eq!(setup.controller.leads(setup.now()), None);
    assert_eq!(setup.controller.finding(), None);
    for _ in 0..10 {
        setup.report((100, 50, 5));
        assert_eq!(setup.propose(), None);
    }
    let finding = setup.controller.finding().expect("a finding");
    assert_eq!(finding.version.as_str(), "v2");
    setup.confirm();
    let proposed = setup.propose().expect("a step");
    assert!(setup.store.write(proposed.action, setup.at));
    assert_eq!(setup.store.rollout().phase, RolloutPhase::RolledBack);
}

/// Guards against a node that lost the race for the rollout and acts under the winner's token.
#[test]
fn the_loser_of_a_race_does_not_lead() {
    let mut setup = Setup::new();
    setup.confirm();
    let proposed = std::iter::from_fn(|| Some(setup.propose())).take(3).flatten().next();
    assert!(matches!(proposed.expect("a take-over").action, Action::TakeRollout { .. }));
    let service = ServiceName::new("kettle");
    assert!(setup.store.write(Action::TakeRollout { service, node: "node-9".into() }, setup.at));
    setup.confirm();
    assert_eq!(setup.controller.leads(setup.now()), None);
}

/// Guards against a restarted node that acts under the token of its earlier process.
#[test]
fn a_restarted_node_takes_over_anew() {
    let mut setup = Setup::new();
    setup.run(10, (3, 0, 5));
    let fence = setup.controller.leads(setup.now()).expect("leads");
    let cfg = ControllerConfig::default();
    setup.controller = Controller::new(cfg, NodeName::new("node-0"), service(), setup.now());
    setup.confirm();
    assert_eq!(setup.controller.leads(setup.now()), None);
    setup.run(10, (3, 0, 5));
    assert!(setup.controller.leads(setup.now()).expect("leads again") > fence);
}

/// Guards against a completion without a long enough hold, and one that an outage prevents.
#[test]
fn a_hold_that_ended_by_its_time_completes_after_an_outage() {
    let mut setup = Setup::new();
    let good = (100, 1, 5);
    while setup.store.rollout().phase != RolloutPhase::Holding {
        setup.run(1, good);
        assert!(setup.at < 200.0, "{:?}", setup.store.rollout());
    }
    setup.at = 320.0;
    setup.confirm();
    setup.propose().map(|proposed| setup.store.write(proposed.action, setup.at));
    let rollout = setup.store.rollout();
    assert_eq!((rollout.phase, rollout.share_ppm), (RolloutPhase::Completed, PPM));
    assert!(rollout.reason.contains("recorded 21 s after"), "{}", rollout.reason);
}

/// Guards against a new controller without evidence that keeps most traffic on the new version.
#[test]
fn a_new_controller_lowers_a_large_share_until_it_has_proof() {
    let mut setup = Setup::new();
    let good = (100, 1, 5);
    while setup.store.rollout().phase != RolloutPhase::Holding {
        setup.run(1, good);
        assert!(setup.at < 200.0, "{:?}", setup.store.rollout());
    }
    let cfg = ControllerConfig::default();
    setup.controller = Controller::new(cfg, NodeName::new("node-0"), service(), setup.now());
    setup.run(10, (0, 0, 0));
    let rollout = setup.store.rollout();
    assert_eq!((rollout.phase, rollout.share_ppm), (RolloutPhase::Advancing, 500_000));
}

/// Guards against an ingress whose own evidence is too weak and that ignores a finding.
#[test]
fn an_ingress_adopts_a_finding() {
    let store = Store::new(300.0);
    let rollout = store.rollout();
    let mut veto = Veto::new(rollout, &service());
    let (version, started) = (rollout.to.clone(), rollout.started);
    veto.on_finding(&VetoNotice { version, started, reason: "test".into() });
    assert!(veto.is_in_force());
}
