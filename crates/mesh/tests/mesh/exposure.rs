//! Simulates rollouts with requests that take time and news that arrive late, and checks how many
//! requests a bad version gets.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    exposure::{Demand, ExposureLedger, ExposureLimit, Grant, OwnerExposure, RequestRate},
    rollout::{Assessor, Evidence, Finding, Phase, RolloutPlan, RolloutProgress, Step, next_step},
};
use oleandertiller_model::{NodeName, VersionName};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};

const EXPOSURE: ExposureLimit = ExposureLimit { share: 0.1, extra: 50.0 };

/// Time limit of the simulated rollouts, in seconds.
const TIME_LIMIT: f64 = 16.0;

/// Slots of each upstream, and how many of them the owners fill while others have capacity.
const SLOTS: (usize, usize) = (12, 9);

/// Interval between two assessments, in seconds.
const ASSESS_INTERVAL: f64 = 0.25;

/// Share of the time for which an upstream is slow, and the length of a slow period, in seconds.
const SLOW_SHARE: f64 = 0.35;
const SLOWNESS_PERIOD: f64 = 0.15;

/// Length of the burst, in seconds.
const BURST_LENGTH: f64 = 3.3;

/// When the new version fails a part of its requests.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Never,
    /// From a time after the order on, in seconds.
    From(f64),
    /// While more than half of the slots of its upstream are in use.
    UnderLoad,
    /// On one of the three routes only.
    OneRoute,
}

/// A simulated rollout.
#[derive(Clone, Copy, Debug)]
struct Rollout {
    fault: Fault,
    /// Part of the requests that fail when the fault shows.
    failing: f64,
    per_second: f64,
    /// Factor of the rate in a burst of [`BURST_LENGTH`].
    burst: f64,
    /// Start of the burst, in seconds after the order.
    burst_from: f64,
    /// Upstreams of the new version.
    upstreams: usize,
    /// Time until all nodes follow a new share.
    news_delay: f64,
    /// Time until all nodes follow a rollback.
    rollback_delay: f64,
    /// Period, in seconds after the order, in which the leader does nothing.
    leader_absent: (f64, f64),
    /// Period in which the leader cannot write to the store.
    store_silent: (f64, f64),
    /// Seconds after the order at which all owners of the new version restart.
    owners_restart: f64,
}

/// Outcome of a simulated rollout.
struct Outcome {
    phase: Option<Phase>,
    /// Requests that the new version got.
    new_requests: f64,
    /// Requests that it may get if it is bad.
    allowed: f64,
}

/// A request at an upstream of the new version, or at the old version.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Run {
    /// Time since the order.
    ends: Duration,
    upstream: Option<usize>,
    route: usize,
    time: Duration,
    failed: bool,
}

fn share_plan(share: f64) -> RolloutPlan {
    RolloutPlan {
        order_revision: 7,
        version: "v2".into(),
        phase: Phase::Running,
        share,
        started_ms: 0,
        reason: None,
        exposed: 0,
    }
}

/// The owners of the new version and of one old upstream, with the requests that they start.
struct Owners {
    started_at: Instant,
    new: Vec<OwnerExposure>,
    old: OwnerExposure,
    incarnation: u64,
}

const ORDER: u64 = 7;

impl Owners {
    fn new(count: usize, started_at: Instant) -> Self {
        let mut owner = OwnerExposure::default();
        owner.set_order(Some((ORDER, started_at)));
        Self { started_at, new: vec![owner.clone(); count], old: owner, incarnation: 1 }
    }

    fn at(&self, now: f64) -> Instant {
        self.started_at + Duration::from_secs_f64(now)
    }

    fn names(&self) -> Vec<(NodeName, u64)> {
        let name = |index| NodeName::new(format!("n{index:03}"));
        (0..self.new.len()).map(|index| (name(index), self.incarnation)).collect()
    }

    /// Delivers grants and collects the counts.
    fn report(&mut self, ledger: &mut ExposureLedger, demand: Option<Demand>, now: f64) {
        let (at, version) = (self.at(now), "v2".into());
        let names = self.names();
        if let Some(demand) = demand {
            for (owner, up_to) in self.new.iter_mut().zip(ledger.grant(&names, demand, at)) {
                if let Some(up_to) = up_to {
                    owner.on_grant(Grant { order_revision: ORDER, fence: 1, up_to }, at);
                }
            }
        }
        ledger.begin_round();
        for (name, owner) in names.into_iter().zip(&self.new) {
            ledger.on_counts(name, &owner.counts(at), ORDER, &version);
        }
        ledger.on_counts(("old".into(), 1), &self.old.counts(at), ORDER, &version);
    }

    fn restart(&mut self, now: f64) {
        self.incarnation += 1;
        let mut owner = OwnerExposure::default();
        owner.set_order(Some((ORDER, self.at(now))));
        self.new.fill(owner);
    }
}

/// The upstreams of the new version, each with its running requests and whether it is slow now.
struct Upstreams {
    running: Vec<usize>,
    slow: Vec<bool>,
    drawn_at: f64,
}

impl Upstreams {
    fn new(count: usize) -> Self {
        Self { running: vec![0; count], slow: vec![false; count], drawn_at: 0.0 }
    }

    /// Draws which upstreams are slow, as the owners then refuse.
    fn draw_slowness(&mut self, now: f64, rng: &mut StdRng) {
        if now >= self.drawn_at + SLOWNESS_PERIOD {
            self.drawn_at = now;
            self.slow.fill_with(|| rng.random_bool(SLOW_SHARE));
        }
    }

    /// Returns the upstream that gets a request: the first with a free slot while the version has
    /// a share, the least loaded one of the ingress's zone once it has all requests.
    fn pick(&self, share: f64, rng: &mut StdRng) -> usize {
        let accepts = |at: &usize| !self.slow[*at] && self.running[*at] < SLOTS.1;
        let all = 0..self.running.len();
        let zone = match rng.random_range(0..100) {
            0..45 => 0,
            45..65 => 1,
            _ => 2,
        };
        let in_zone = |at: &usize| share < 1.0 || at * 3 / self.running.len() == zone;
        let least_loaded = |of: &mut dyn Iterator<Item = usize>| {
            of.min_by_key(|at| if share < 1.0 { 0 } else { self.running[*at] })
        };
        least_loaded(&mut all.clone().filter(accepts).filter(in_zone))
            .or_else(|| least_loaded(&mut all.clone().filter(accepts)))
            .unwrap_or_else(|| rng.random_range(all))
    }
}

fn simulate(rollout: &Rollout, seed: u64) -> Outcome {
    let mut rng = StdRng::seed_from_u64(seed);
    let routes: [Arc<str>; 3] = ["look".into(), "book".into(), "dates".into()];
    let (old, new): (VersionName, VersionName) = ("v1".into(), "v2".into());
    let mut evidence = Evidence::default();
    let mut upstreams = Upstreams::new(rollout.upstreams);
    let mut owners = Owners::new(rollout.upstreams, Instant::now());
    let (mut ledger, mut demand) = (ExposureLedger::default(), None);
    let (mut assessor, mut request_rate) = (Assessor::default(), RequestRate::default());
    let mut runs: BinaryHeap<Reverse<Run>> = BinaryHeap::new();
    // The share that the nodes follow, the one that the leader has set, and when they follow it.
    let (mut share, mut set_share, mut follow_at) = (0.0, 0.0, f64::INFINITY);
    let (mut phase, mut restarted) = (None, false);
    let (mut new_requests, mut all_requests, mut now, mut assess_at) = (0.0, 0.0, 0.0, 0.3);
    while now < TIME_LIMIT {
        let in_burst = (0.0..BURST_LENGTH).contains(&(now - rollout.burst_from));
        let burst = if in_burst { rollout.burst } else { 1.0 };
        now -= rng.random::<f64>().max(1e-9).ln() / (rollout.per_second * burst);
        while let Some(Reverse(run)) =
            runs.peek().copied().filter(|run| run.0.ends.as_secs_f64() <= now)
        {
            runs.pop();
            if let Some(upstream) = run.upstream {
                upstreams.running[upstream] -= 1;
            }
            let version = if run.upstream.is_some() { &new } else { &old };
            let time = (!run.failed).then_some(run.time);
            evidence.record(version, &routes[run.route], time);
        }
        if now >= follow_at {
            (share, follow_at) = (set_share, f64::INFINITY);
        }
        if now >= rollout.owners_restart && !restarted {
            restarted = true;
            owners.restart(now);
        }
        all_requests += 1.0;
        let route = match rng.random_range(0..10) {
            0..6 => 0,
            6..8 => 1,
            _ => 2,
        };
        upstreams.draw_slowness(now, &mut rng);
        let at = owners.at(now);
        let needs_grant = phase != Some(Phase::Completed);
        let mut upstream = rng.random_bool(share).then(|| upstreams.pick(share, &mut rng));
        upstream =
            upstream.filter(|upstream| owners.new[*upstream].try_start(&new, needs_grant, at));
        if upstream.is_none() {
            owners.old.try_start(&old, false, at);
        }
        let faulty = upstream.is_some_and(|upstream| match rollout.fault {
            Fault::Never => false,
            Fault::From(from) => now >= from,
            Fault::UnderLoad => upstreams.running[upstream] * 2 > SLOTS.0,
            Fault::OneRoute => route == 1,
        });
        let failed = rng.random_bool(if faulty { rollout.failing } else { 0.004 });
        let time = Duration::from_secs_f64(rng.random_range(0.12..0.32));
        if let Some(upstream) = upstream {
            new_requests += 1.0;
            upstreams.running[upstream] += 1;
        }
        let ends = Duration::from_secs_f64(now) + time;
        runs.push(Reverse(Run { ends, upstream, route, time, failed }));
        let in_period = |(from, to): (f64, f64)| (from..to).contains(&now);
        if now < assess_at || phase.is_some() || in_period(rollout.leader_absent) {
            continue;
        }
        owners.report(&mut ledger, demand, now);
        let plan = share_plan(set_share);
        let finding = assessor.assess(&evidence, &plan, at);
        let counts = ledger.counts();
        let progress = RolloutProgress {
            elapsed: Duration::from_secs_f64(now),
            time_limit: Duration::from_secs_f64(TIME_LIMIT),
            new_is_serving: true,
            at_full_share: assessor.at_full_share(at),
            suspect: finding == Finding::Suspect,
            recent_answers: assessor.recent_answers(),
            requests_per_second: request_rate.record(counts.all, Duration::from_secs_f64(now), at),
            upstream_per_second: SLOTS.0 as f64 / 0.22,
            old_running: runs.iter().filter(|run| run.0.upstream.is_none()).count() as u32,
            counts,
            committed: ledger.committed(),
            exposure: EXPOSURE,
        };
        let step = next_step(&plan, &finding, &progress);
        let share_to_grant = if let Step::Share(next) = step { next } else { set_share };
        let is_bad = matches!(finding, Finding::Bad(_));
        demand = progress.requests_per_second.filter(|_| !is_bad).map(|per_second| Demand {
            share: share_to_grant,
            per_second,
            room: progress.grantable(share_to_grant),
        });
        assess_at = now
            + match progress.completion_in().as_secs_f64() {
                left if left > 0.0 => ASSESS_INTERVAL.min(left),
                _ => ASSESS_INTERVAL,
            };
        if in_period(rollout.store_silent) {
            continue;
        }
        match step {
            Step::Stay => {}
            Step::Share(next) => (set_share, follow_at) = (next, now + rollout.news_delay),
            Step::Complete => {
                phase = Some(Phase::Completed);
                (set_share, follow_at) = (1.0, now + rollout.news_delay);
            }
            Step::RollBack(_) => {
                phase = Some(Phase::RolledBack);
                (set_share, follow_at) = (0.0, now + rollout.rollback_delay);
            }
        }
    }
    let allowed = EXPOSURE.share * all_requests + EXPOSURE.extra;
    Outcome { phase, new_requests, allowed }
}

/// A service of seven upstreams at 68 requests per second, with a burst in the middle. Nodes follow
/// the store's changes after half a second.
const LENDING_DESK: Rollout = Rollout {
    fault: Fault::UnderLoad,
    failing: 0.5,
    per_second: 68.0,
    burst: 1.8,
    burst_from: 7.7,
    upstreams: 7,
    news_delay: 0.5,
    rollback_delay: 0.2,
    leader_absent: NEVER,
    store_silent: NEVER,
    owners_restart: f64::INFINITY,
};

const NEVER: (f64, f64) = (0.0, 0.0);

/// Guards against a bad version that passes its test on one upstream and then gets all requests
/// until its failures show: it must not get more than the operators allow.
#[test]
fn bad_version_stays_within_the_exposure_while_news_are_late() {
    for fault in [Fault::UnderLoad, Fault::From(0.0), Fault::From(5.0), Fault::OneRoute] {
        let rollout = Rollout { fault, ..LENDING_DESK };
        for seed in 0..200 {
            let Outcome { phase, new_requests, allowed } = simulate(&rollout, seed);
            assert!(new_requests <= allowed, "{fault:?}: {new_requests} of {allowed}, seed {seed}");
            assert_eq!(phase, Some(Phase::RolledBack), "{fault:?}, seed {seed}");
        }
    }
}

/// Guards against a version that shows its fault when it is too late to take it back: whenever that
/// is, it must not get more than the operators allow.
#[test]
fn version_that_turns_bad_late_stays_within_the_exposure() {
    let mut over = Vec::new();
    for tenths in (60..160).step_by(5) {
        let fault = Fault::From(f64::from(tenths) / 10.0);
        let rollout = Rollout { fault, burst_from: 10.0, ..LENDING_DESK };
        for seed in 0..20 {
            let Outcome { new_requests, allowed, .. } = simulate(&rollout, seed);
            if new_requests > allowed {
                over.push(format!("{fault:?}, seed {seed}: {new_requests} of {allowed}"));
            }
        }
    }
    assert!(over.is_empty(), "{} of 400 over the limit: {over:?}", over.len());
}

/// Guards against good versions that are rolled back or late.
#[test]
fn good_version_completes_while_news_are_late() {
    let rollout = Rollout { fault: Fault::Never, ..LENDING_DESK };
    let completed = (0..200).filter(|seed| {
        let outcome = simulate(&rollout, *seed);
        outcome.phase == Some(Phase::Completed)
    });
    assert!(completed.count() >= 190);
}

/// Guards against a version that is rolled back because too few requests show that it is good, at
/// the rates of a small service.
#[test]
fn good_version_of_a_small_service_completes() {
    let rollout = Rollout { fault: Fault::Never, per_second: 22.0, upstreams: 4, ..LENDING_DESK };
    for burst_from in [7.7, 12.5] {
        let rollout = Rollout { burst_from, ..rollout };
        let completed = (0..200).filter(|seed| {
            let outcome = simulate(&rollout, *seed);
            outcome.phase == Some(Phase::Completed)
        });
        assert!(completed.count() >= 190);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, ..ProptestConfig::default() })]

    /// Guards against a bound that holds at one size only: fleets of 8 to 300 nodes with news that
    /// take up to 0.8 s. The load is enough to fill one upstream: what fails only under a load that
    /// its service doesn't have can't be found.
    #[test]
    fn bad_version_stays_within_the_exposure_at_any_size(
        upstreams in 4_usize..150,
        utilization in 0.25_f64..0.35,
        burst in 1.0_f64..1.8,
        news_delay in 0.1_f64..0.8,
        rollback_delay in 0.1_f64..0.4,
        from_start in any::<bool>(),
        seed in any::<u64>(),
    ) {
        let fault = if from_start { Fault::From(0.0) } else { Fault::UnderLoad };
        let per_second = upstreams as f64 * SLOTS.0 as f64 / 0.22 * utilization;
        let rollout = Rollout {
            fault, per_second, burst, upstreams, news_delay, rollback_delay, ..LENDING_DESK
        };
        let outcome = simulate(&rollout, seed);
        prop_assert!(
            outcome.new_requests <= outcome.allowed,
            "{} of {}", outcome.new_requests, outcome.allowed
        );
    }

    /// Guards against a bound that one process keeps: the leader is absent, the store is silent or
    /// owners restart while the version turns bad.
    #[test]
    fn version_that_turns_bad_stays_within_the_exposure_under_faults(
        upstreams in 4_usize..150,
        utilization in 0.1_f64..0.35,
        burst in 1.0_f64..1.8,
        burst_from in 2.0_f64..14.0,
        bad_from in 0.0_f64..16.0,
        news_delay in 0.1_f64..0.8,
        absent_from in 2.0_f64..16.0,
        absent_for in 0.0_f64..4.0,
        silent_from in 2.0_f64..16.0,
        silent_for in 0.0_f64..6.0,
        owners_restart in 2.0_f64..20.0,
        seed in any::<u64>(),
    ) {
        let per_second = upstreams as f64 * SLOTS.0 as f64 / 0.22 * utilization;
        let rollout = Rollout {
            fault: Fault::From(bad_from),
            per_second,
            burst,
            burst_from,
            upstreams,
            news_delay,
            leader_absent: (absent_from, absent_from + absent_for),
            store_silent: (silent_from, silent_from + silent_for),
            owners_restart,
            ..LENDING_DESK
        };
        let outcome = simulate(&rollout, seed);
        prop_assert!(
            outcome.new_requests <= outcome.allowed,
            "{} of {}", outcome.new_requests, outcome.allowed
        );
    }
}
