//! Properties of the split, the veto, the controller and the stored rollout.

use std::time::{Duration, Instant, SystemTime};

use oleandertiller_model::{
    Action, NodeName, Revision, ServiceName,
    intent::{PPM, Rollout, RolloutPhase},
};
use oleandertiller_rollout::{
    Arm, Attempt, Availability, Choice, Controller, ControllerConfig, MAX_UNPROVED_SHARE_PPM,
    ServerId, ServiceLoad, Tally, Verdict, Veto, VetoNotice, split,
};
use proptest::prelude::*;

use crate::simulation::control::{Store, service, start, wall};

fn phase() -> impl Strategy<Value = RolloutPhase> {
    prop_oneof![
        Just(RolloutPhase::Advancing),
        Just(RolloutPhase::Holding),
        Just(RolloutPhase::Completed),
        Just(RolloutPhase::RolledBack),
    ]
}

fn rollout(phase: RolloutPhase, share_ppm: u32) -> Rollout {
    Rollout { phase, share_ppm, ..Store::new(300.0).rollout().clone() }
}

fn availability() -> impl Strategy<Value = Availability> {
    (any::<bool>(), any::<bool>()).prop_map(|(old, new)| Availability { old, new })
}

fn step(fence: Revision, phase: RolloutPhase, share_ppm: u32) -> Action {
    let service = ServiceName::new("kettle");
    Action::StepRollout { service, fence, phase, share_ppm, reason: "test".into() }
}

proptest! {
    /// Guards against requests to a version after a veto or a rollback.
    #[test]
    fn no_request_goes_to_a_vetoed_or_rolled_back_version(
        share in 0..=PPM, open in any::<bool>(), availability in availability(), draw in any::<u64>(),
    ) {
        let phase = if open { RolloutPhase::Advancing } else { RolloutPhase::RolledBack };
        let choice = split::pick(&rollout(phase, share), open, availability, draw);
        prop_assert_ne!(choice, Choice::New);
    }

    /// Guards against a larger share before the proof when the old version has no server available.
    #[test]
    fn an_unproved_version_gets_its_share_only(
        share in 0..=MAX_UNPROVED_SHARE_PPM, availability in availability(), draw in any::<u64>(),
    ) {
        let choice = split::pick(&rollout(RolloutPhase::Advancing, share), false, availability, draw);
        let drawn = (u128::from(draw) * u128::from(PPM)) >> 64;
        prop_assert!(choice != Choice::New || drawn < u128::from(share));
    }

    /// Guards against picking a version that has no server available.
    #[test]
    fn a_picked_version_is_available(
        phase in phase(), share in 0..=PPM, vetoed in any::<bool>(),
        availability in availability(), draw in any::<u64>(),
    ) {
        match split::pick(&rollout(phase, share), vetoed, availability, draw) {
            Choice::Old => prop_assert!(availability.old),
            Choice::New => prop_assert!(availability.new),
            Choice::Neither => prop_assert!(!availability.old || !availability.new),
        }
    }

    /// Guards against a stale fencing token that changes the rollout, and changes after its end.
    #[test]
    fn stale_fences_and_ends_change_nothing(
        steps in prop::collection::vec((0u64..8, phase(), 0..=PPM, 0u8..4), 1..30),
    ) {
        let mut store = Store::new(300.0);
        for (fence, phase, share, kind) in steps {
            let before = store.intent.clone();
            let (fence, service) = (Revision(fence), ServiceName::new("kettle"));
            let node = NodeName::new("node-1");
            let action = match kind {
                0 => Action::TakeRollout { service, node },
                _ => step(fence, phase, share),
            };
            let accepted = store.write(action, 1.0);
            let open = !before.rollouts["kettle"].phase.is_final();
            if kind != 0 && (before.rollouts["kettle"].fence != fence || !open) {
                prop_assert!(!accepted);
            }
            if !open || !accepted {
                prop_assert_eq!(&store.intent, &before);
            }
            prop_assert!(store.rollout().phase.allows_share(store.rollout().share_ppm));
        }
    }

    /// Guards against a veto that ends when the version answers well for a while.
    #[test]
    fn a_veto_stays(good in 0usize..500) {
        let rollout = rollout(RolloutPhase::Advancing, 50_000);
        let mut veto = Veto::new(&rollout, &service());
        for server in 0..8 {
            veto.observe(ServerId(server % 2), Arm::New, 0, Attempt::Failed, 2);
        }
        prop_assert!(veto.is_in_force());
        for _ in 0..good {
            veto.observe(ServerId(0), Arm::New, 0, Attempt::Done(Duration::from_millis(20)), 2);
        }
        prop_assert!(veto.is_in_force());
    }

    /// Guards against a controller that raises the share over 5% without a proof, acts without its
    /// lease, or proposes steps with another node's fencing token, under any evidence and faults.
    #[test]
    fn proposals_keep_to_proof_lease_and_fence(events in prop::collection::vec(event(), 1..120)) {
        let mut run = Run::new();
        for event in events {
            run.apply(event)?;
        }
    }
}

#[derive(Clone, Copy, Debug)]
enum Event {
    /// A second with this many requests and failures of the new version; the old version is good.
    Evidence {
        new: u8,
        failed: u8,
    },
    /// Seconds without a confirmation by the store.
    Silence(u8),
    Confirm,
    /// Another node takes over.
    TakenOver,
    /// An operator cancels the rollout.
    Cancel,
    /// An operator starts a rollout of another version.
    Restart,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        12 => (0u8..200, 0u8..3).prop_map(|(new, failed)| Event::Evidence { new, failed }),
        1 => (1u8..20).prop_map(Event::Silence),
        6 => Just(Event::Confirm),
        1 => Just(Event::TakenOver),
        1 => Just(Event::Cancel),
        1 => Just(Event::Restart),
    ]
}

struct Run {
    origin: Instant,
    at: f64,
    confirmed: Instant,
    store: Store,
    controller: Controller,
    sequence: u64,
}

impl Run {
    fn new() -> Self {
        let origin = Instant::now();
        let cfg = ControllerConfig::default();
        let controller = Controller::new(cfg, NodeName::new("node-0"), service(), origin);
        let (at, sequence, confirmed) = (0.0, 0, origin);
        Self { origin, at, confirmed, store: Store::new(300.0), controller, sequence }
    }

    fn now(&self) -> Instant {
        self.origin + Duration::from_secs_f64(self.at)
    }

    fn apply(&mut self, event: Event) -> Result<(), TestCaseError> {
        let kettle = ServiceName::new("kettle");
        match event {
            Event::Evidence { new, failed } => self.evidence(new, failed.min(new)),
            Event::Silence(seconds) => self.at += f64::from(seconds),
            Event::Confirm => self.confirm(),
            Event::TakenOver => {
                let action = Action::TakeRollout { service: kettle, node: "node-9".into() };
                self.store.write(action, self.at);
            }
            Event::Cancel => {
                self.store.write(Action::CancelRollout { service: kettle }, self.at);
            }
            Event::Restart => {
                self.store.write(start("v3", self.at + 300.0), self.at);
            }
        }
        self.at += 1.0;
        self.tick()
    }

    fn confirm(&mut self) {
        self.confirmed = self.now();
        let now = self.now();
        self.controller.on_rollout(Some(self.store.rollout()), now, now);
    }

    fn evidence(&mut self, new: u8, failed: u8) {
        self.confirm();
        self.sequence += 1;
        let mut tally = Tally::default();
        let done = |ms| Attempt::Done(Duration::from_millis(ms));
        for index in 0..u32::from(new) {
            let attempt = if index < u32::from(failed) { Attempt::Failed } else { done(20) };
            tally.record(ServerId(index % 3), Arm::New, (index % 3) as u8, attempt);
        }
        for index in 0..300 {
            let attempt = done(20 + 2 * u64::from(index % 30));
            tally.record(ServerId(100 + index % 4), Arm::Old, (index % 3) as u8, attempt);
        }
        let report = tally.report("kettle".into(), "ingress-0".into(), self.sequence);
        self.controller.on_report(&report, self.now());
    }

    fn tick(&mut self) -> Result<(), TestCaseError> {
        let (now, load) = (self.now(), ServiceLoad { new_limit: 50.0, in_flight: 10.0 });
        let leads = self.controller.leads(now);
        let Some(proposed) = self.controller.tick(load, now, wall(self.at)) else { return Ok(()) };
        let lease = ControllerConfig::default().lease;
        prop_assert!(
            now - self.confirmed <= lease,
            "proposal without a confirmation within the lease"
        );
        if let Action::StepRollout { fence, share_ppm, .. } = &proposed.action {
            prop_assert_eq!(Some(*fence), leads);
            let verdict = self.controller.judge().unwrap().verdict();
            let risen = *share_ppm > self.store.rollout().share_ppm.max(MAX_UNPROVED_SHARE_PPM);
            prop_assert!(!risen || verdict == Verdict::Proved, "{:?}", verdict);
        }
        if self.store.rollout().fence == proposed.seen_fence {
            self.store.write(proposed.action, self.at);
        }
        Ok(())
    }
}

/// Guards against a share that differs between ingress nodes, or for draws from hashes.
#[test]
fn the_share_holds_for_random_and_hashed_draws() {
    let rollout = rollout(RolloutPhase::Advancing, 50_000);
    let both = Availability { old: true, new: true };
    for node in 0..5 {
        let is_new = |index: &u32| {
            let draw = split::draw_for_request(&format!("request-{node}-{index}"));
            split::pick(&rollout, false, both, draw) == Choice::New
        };
        let new = (0..20_000).filter(is_new).count();
        // Five standard deviations of a binomial with mean 1,000.
        assert!(new.abs_diff(1_000) < 155, "node {node}: {new}");
    }
}

/// Guards against a veto because of one failing server, or of one caller's veto.
#[test]
fn one_server_or_one_peer_makes_no_veto() {
    let rollout = rollout(RolloutPhase::Advancing, 50_000);
    let mut veto = Veto::new(&rollout, &service());
    for _ in 0..100 {
        veto.observe(ServerId(1), Arm::New, 0, Attempt::Failed, 2);
    }
    assert!(!veto.is_in_force());
    let (version, started) = (rollout.to.clone(), rollout.started);
    let notice = VetoNotice { version, started, reason: "test".into() };
    veto.on_peer_vetoes([&notice].into_iter(), 5);
    assert!(!veto.is_in_force());
    let other = VetoNotice { started: SystemTime::UNIX_EPOCH, ..notice.clone() };
    veto.on_finding(&other);
    assert!(!veto.is_in_force(), "a finding on an earlier rollout");
    veto.on_peer_vetoes([&notice, &notice].into_iter(), 5);
    assert!(veto.is_in_force());
}

/// Guards against a verdict without data.
#[test]
fn without_data_nothing_is_known() {
    let names = ["temper"].map(std::sync::Arc::from);
    let mut judge = oleandertiller_rollout::Judge::new(Default::default(), names);
    for _ in 0..1_000 {
        judge.observe(&Tally::default());
    }
    assert!(matches!(judge.verdict(), Verdict::Undecided(_)));
}

/// Guards against a repeated report that counts again.
#[test]
fn a_repeated_report_counts_once() {
    let mut run = Run::new();
    for _ in 0..4 {
        run.confirm();
        run.at += 1.0;
        run.tick().unwrap();
    }
    run.confirm();
    assert!(run.controller.leads(run.now()).is_some());
    let mut tally = Tally::default();
    tally.record(ServerId(1), Arm::New, 0, Attempt::Failed);
    let report = tally.report("kettle".into(), "ingress-0".into(), 7);
    for _ in 0..3 {
        run.controller.on_report(&report, run.now());
    }
    run.at += 1.0;
    run.tick().unwrap();
    assert_eq!(run.controller.judge().unwrap().new_attempts("temper"), 1);
}
