//! What the owner's limiter must always hold.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use oleandertiller_model::{ErrorKind, Lifecycle};
use oleandertiller_routing::limit::{
    Adaptation, Admission, Ask, Decision, Decisions, Ended, LimitConfig, Limiter, Reserve,
};
use proptest::prelude::*;

const MS: Duration = Duration::from_millis(1);

fn serving(cfg: LimitConfig, slots: u32, now: Instant) -> Limiter {
    let mut limiter = Limiter::new(cfg);
    limiter.on_announce(Lifecycle::Serving, slots, false, now);
    limiter
}

fn ask(ticket: u64, now: Instant) -> Ask {
    Ask { ticket, weight: 1, depth: 0, deadline: now + Duration::from_secs(10) }
}

/// Runs `rounds` successes of `latency`, as many at once as the limiter admits.
fn warm_up(limiter: &mut Limiter, now: &mut Instant, rounds: u32, latency: Duration) {
    for round in 0..rounds {
        run_round(limiter, now, u64::from(round) << 20, Ended::Success(latency), latency);
    }
}

/// Fills the limiter, then ends all requests the same way; returns how many ran.
fn run_round(
    limiter: &mut Limiter,
    now: &mut Instant,
    first: u64,
    ended: Ended,
    took: Duration,
) -> u32 {
    let mut running = 0;
    let deeper = |ticket| Ask { depth: 1, ..ask(ticket, *now) };
    while limiter.in_flight() < limiter.limit() {
        assert_eq!(limiter.ask(deeper(first + u64::from(running)), *now), Admission::Run);
        running += 1;
    }
    *now += took;
    for _ in 0..running {
        assert!(limiter.release(ended, *now).is_empty());
    }
    running
}

#[derive(Clone, Debug)]
enum Step {
    Ask { weight: u32, depth: u8, deadline_ms: u64 },
    Success(u64),
    Failure(u64),
    Ignored,
    Withdraw(usize),
    Wait(u64),
    Announce(Lifecycle, u32, bool),
}

fn step() -> impl Strategy<Value = Step> {
    let lifecycle = prop_oneof![
        Just(Lifecycle::Absent),
        Just(Lifecycle::Cold),
        Just(Lifecycle::Serving),
        Just(Lifecycle::Serving),
        Just(Lifecycle::Draining),
    ];
    prop_oneof![
        12 => (1_u32..12, 0_u8..12, 0_u64..700).prop_map(|(weight, depth, deadline_ms)| {
            Step::Ask { weight, depth, deadline_ms }
        }),
        8 => (1_u64..40).prop_map(Step::Success),
        2 => (0_u64..40).prop_map(Step::Failure),
        1 => Just(Step::Ignored),
        1 => (0_usize..64).prop_map(Step::Withdraw),
        4 => (0_u64..50).prop_map(Step::Wait),
        1 => (lifecycle, 0_u32..16, any::<bool>())
            .prop_map(|(state, slots, restarted)| Step::Announce(state, slots, restarted)),
    ]
}

fn config() -> impl Strategy<Value = LimitConfig> {
    let reserve =
        prop_oneof![Just(Reserve::Always), Just(Reserve::WhileUsed), Just(Reserve::Never)];
    let adaptation = prop_oneof![Just(Adaptation::Aimd), Just(Adaptation::Gradient)];
    (1_u32..4, 0_u64..600, 0_usize..20, reserve, adaptation).prop_map(
        |(cold_limit, wait, max_queued, reserve, adaptation)| LimitConfig {
            cold_limit,
            max_queue_wait: MS * wait as u32,
            max_queued,
            reserve,
            adaptation,
        },
    )
}

/// A limiter with a record of what it has decided.
struct Checked {
    limiter: Limiter,
    cfg: LimitConfig,
    announced: (Lifecycle, u32),
    now: Instant,
    /// Tickets that wait, with when they began to and their deadline.
    waiting: BTreeMap<u64, (Instant, Instant)>,
    running: u32,
    decided: HashSet<u64>,
}

impl Checked {
    fn new(cfg: LimitConfig) -> Self {
        let now = Instant::now();
        let limiter = serving(cfg.clone(), 8, now);
        let announced = (Lifecycle::Serving, 8);
        let (waiting, decided) = (BTreeMap::new(), HashSet::new());
        Self { limiter, cfg, announced, now, waiting, running: 0, decided }
    }

    fn start(&mut self) -> Result<(), TestCaseError> {
        self.running += 1;
        prop_assert!(self.announced.0.accepts_work(), "started while {:?}", self.announced);
        prop_assert!(self.running <= self.limiter.limit());
        Ok(())
    }

    fn decide(&mut self, decisions: Decisions) -> Result<(), TestCaseError> {
        for Decision { ticket, admission } in decisions {
            prop_assert!(self.waiting.remove(&ticket).is_some(), "{ticket} did not wait");
            prop_assert!(self.decided.insert(ticket), "{ticket} was decided twice");
            match admission {
                Admission::Run => self.start()?,
                Admission::Refuse(kind) => prop_assert!(kind.answer().not_run),
                Admission::Wait => prop_assert!(false, "a decision ends the wait"),
            }
        }
        Ok(())
    }

    fn take(&mut self, ticket: u64, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Ask { weight, depth, deadline_ms } => {
                let deadline = self.now + MS * deadline_ms as u32;
                let before = self.limiter.in_flight();
                match self.limiter.ask(Ask { ticket, weight, depth, deadline }, self.now) {
                    Admission::Run => {
                        prop_assert!(before < self.limiter.limit());
                        self.decided.insert(ticket);
                        self.start()?;
                    }
                    Admission::Wait => {
                        self.waiting.insert(ticket, (self.now, deadline));
                    }
                    Admission::Refuse(kind) => prop_assert!(kind.answer().not_run),
                }
            }
            Step::Success(ms) => self.end(Ended::Success(MS * ms as u32))?,
            Step::Failure(ms) => self.end(Ended::Failure(MS * ms as u32))?,
            Step::Ignored => self.end(Ended::Ignored)?,
            Step::Withdraw(nth) => {
                if let Some(ticket) = self.waiting.keys().copied().nth(nth) {
                    self.waiting.remove(&ticket);
                    self.limiter.withdraw(ticket);
                    self.decided.insert(ticket);
                }
            }
            Step::Wait(ms) => self.now += MS * ms as u32,
            Step::Announce(state, slots, restarted) => {
                self.announced = (state, slots);
                self.limiter.on_announce(state, slots, restarted, self.now);
            }
        }
        self.check()
    }

    fn end(&mut self, ended: Ended) -> Result<(), TestCaseError> {
        if self.running == 0 {
            return Ok(());
        }
        self.running -= 1;
        let decisions = self.limiter.release(ended, self.now);
        self.decide(decisions)
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let limit = self.limiter.limit();
        prop_assert_eq!(self.limiter.in_flight(), self.running);
        prop_assert!(limit <= self.announced.1, "limit {} above slots", limit);
        if self.limiter.lifecycle() == Lifecycle::Cold {
            prop_assert!(limit <= self.cfg.cold_limit, "limit {} while cold", limit);
        }
        prop_assert!(self.limiter.queued() as usize <= self.cfg.max_queued);
        Ok(())
    }

    /// Waiting requests whose time is up must come back from `expire`.
    fn expire(&mut self) -> Result<(), TestCaseError> {
        let decisions = self.limiter.expire(self.now);
        self.decide(decisions)?;
        for (ticket, (since, deadline)) in &self.waiting {
            let over = (*since + self.cfg.max_queue_wait).min(*deadline);
            prop_assert!(over > self.now, "{ticket} still waits");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a limit above the slots or the cold limit, a ticket with two decisions or
    /// none, a lost waiting request, and a wait beyond its bound, over any order of events.
    #[test]
    fn invariants_hold_over_any_order_of_events(
        cfg in config(),
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let mut checked = Checked::new(cfg);
        for (ticket, step) in steps.iter().enumerate() {
            checked.take(ticket as u64, step)?;
            if matches!(step, Step::Wait(_)) {
                checked.expire()?;
            }
        }
        checked.now += Duration::from_secs(1);
        checked.expire()?;
        prop_assert!(checked.waiting.is_empty(), "lost: {:?}", checked.waiting);
    }

    /// Guards against chains of calls through one service that hold all slots and wait for each
    /// other: every chain must end within its deadline whatever its depth.
    #[test]
    fn nested_calls_never_deadlock(
        slots in 1_u32..8,
        chains in prop::collection::vec(1_u8..=12, 1..40),
        reserve in prop_oneof![Just(Reserve::Always), Just(Reserve::WhileUsed)],
    ) {
        let cfg = LimitConfig { reserve, cold_limit: slots, ..LimitConfig::default() };
        let mut now = Instant::now();
        let mut limiter = serving(cfg, slots, now);
        let deadline = now + Duration::from_secs(5);
        // Each chain asks for one more slot while it holds the ones above, down to its depth;
        // refusals make it give all of its slots back.
        let mut held: Vec<u8> = vec![0; chains.len()];
        let mut ended = vec![false; chains.len()];
        let mut waiting: HashMap<u64, usize> = HashMap::new();
        let mut ticket = 0;
        let start = now;
        while ended.iter().any(|ended| !ended) && now < deadline {
            for chain in 0..chains.len() {
                if ended[chain] || waiting.values().any(|waits| *waits == chain) {
                    continue;
                }
                ticket += 1;
                let depth = held[chain];
                match limiter.ask(Ask { ticket, weight: 1, depth, deadline }, now) {
                    Admission::Run => held[chain] += 1,
                    Admission::Wait => {
                        waiting.insert(ticket, chain);
                        continue;
                    }
                    Admission::Refuse(_) => ended[chain] = true,
                }
                ended[chain] |= held[chain] > chains[chain];
                if ended[chain] {
                    for _ in 0..std::mem::take(&mut held[chain]) {
                        for decision in limiter.release(Ended::Success(MS), now) {
                            let chain = waiting.remove(&decision.ticket).expect("it waited");
                            match decision.admission {
                                Admission::Run => held[chain] += 1,
                                _ => ended[chain] = true,
                            }
                        }
                    }
                }
            }
            now += MS;
            let mut decisions: Vec<_> = limiter.expire(now).into_vec();
            while let Some(decision) = decisions.pop() {
                let chain = waiting.remove(&decision.ticket).expect("it waited");
                match decision.admission {
                    Admission::Run => held[chain] += 1,
                    _ => ended[chain] = true,
                }
                if ended[chain] {
                    for _ in 0..std::mem::take(&mut held[chain]) {
                        decisions.extend(limiter.release(Ended::Ignored, now));
                    }
                }
            }
        }
        prop_assert!(ended.iter().all(|ended| *ended), "still open after {:?}", now - start);
        prop_assert_eq!(limiter.queued(), 0);
    }
}

/// Guards against a start at full load before the first successes.
#[test]
fn starts_at_the_cold_limit_and_ramps_by_successes() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    assert_eq!(limiter.limit(), 1);
    warm_up(&mut limiter, &mut now, 8, MS * 10);
    assert_eq!(limiter.limit(), 1);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    assert_eq!(limiter.limit(), 12);
}

/// Guards against a limit that grows while the upstream says that it is cold.
#[test]
fn announced_cold_stays_at_the_cold_limit() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    limiter.on_announce(Lifecycle::Cold, 12, true, now);
    assert_eq!((limiter.limit(), limiter.lifecycle()), (1, Lifecycle::Cold));
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    assert_eq!(limiter.limit(), 1);
    limiter.on_announce(Lifecycle::Serving, 12, false, now);
    assert_eq!((limiter.limit(), limiter.lifecycle()), (1, Lifecycle::Serving));
}

/// Guards against slow answers of the cold state that become the baseline of the warm one, and so
/// hide a later rise of latency.
#[test]
fn cold_latency_is_not_the_warm_baseline() {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(LimitConfig::default());
    limiter.on_announce(Lifecycle::Cold, 6, true, now);
    warm_up(&mut limiter, &mut now, 100, MS * 50);
    limiter.on_announce(Lifecycle::Serving, 6, false, now);
    warm_up(&mut limiter, &mut now, 100, MS * 10);
    assert_eq!(limiter.limit(), 6);
    for round in 0..8 {
        let slower = Ended::Success(MS * 50);
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), slower, MS * 50);
    }
    assert_eq!(limiter.limit(), 1);
}

/// Guards against a restart that keeps the limit of the previous instance.
#[test]
fn restarted_instance_starts_cold_again() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    limiter.on_announce(Lifecycle::Serving, 12, true, now);
    assert_eq!(limiter.limit(), 1);
}

/// Guards against a cold return without an announcement that goes unnoticed: failures, and
/// latency, jump while no more is in flight than before.
#[test]
fn detects_that_an_upstream_is_cold_again() {
    for bad in [Ended::Failure(MS * 10), Ended::Success(MS * 100)] {
        let mut now = Instant::now();
        let mut limiter = serving(LimitConfig::default(), 6, now);
        warm_up(&mut limiter, &mut now, 400, MS * 10);
        for round in 0..8 {
            run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), bad, MS * 10);
            if limiter.lifecycle() == Lifecycle::Cold {
                break;
            }
        }
        assert_eq!((limiter.lifecycle(), limiter.limit()), (Lifecycle::Cold, 1), "{bad:?}");
    }
}

/// Guards against an upstream that stays at the cold limit after it has recovered.
#[test]
fn recovers_from_a_detected_cold_state() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 6, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    for round in 0..8 {
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), Ended::Failure(MS), MS);
    }
    assert_eq!(limiter.limit(), 1);
    warm_up(&mut limiter, &mut now, 1_000, MS * 10);
    assert_eq!((limiter.limit(), limiter.lifecycle()), (6, Lifecycle::Serving));
}

/// Guards against latency that rises by a moderate factor without a lower limit.
#[test]
fn limit_decreases_when_latency_rises() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    for round in 0..8 {
        let slower = Ended::Success(MS * 25);
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), slower, MS * 25);
    }
    assert!(limiter.limit() < 12, "{}", limiter.limit());
    assert_eq!(limiter.lifecycle(), Lifecycle::Serving);
}

/// Guards against fast failures that raise the limit or lower the reported service time.
#[test]
fn fast_failures_are_not_good_latency() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 12, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    let before = limiter.service_time();
    for round in 0..50 {
        let failure = Ended::Failure(Duration::from_micros(50));
        run_round(&mut limiter, &mut now, (1 << 40) + (round << 10), failure, MS);
    }
    assert_eq!(limiter.service_time(), before);
    assert_eq!(limiter.limit(), 1);
}

/// Guards against a queue in the order of arrival: heavier kinds go first, then the earlier
/// deadline.
#[test]
fn queue_is_ordered_by_weight_then_deadline() {
    let now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 1, now);
    assert_eq!(limiter.ask(ask(1, now), now), Admission::Run);
    let waits = [(2, 1, 900), (3, 10, 900), (4, 10, 500), (5, 1, 500)];
    for (ticket, weight, ms) in waits {
        let ask = Ask { ticket, weight, depth: 0, deadline: now + MS * ms };
        assert_eq!(limiter.ask(ask, now), Admission::Wait);
    }
    let mut order = Vec::new();
    for _ in 0..4 {
        order.extend(limiter.release(Ended::Success(MS), now).iter().map(|d| d.ticket));
    }
    assert_eq!(order, [4, 3, 5, 2]);
}

/// Guards against light requests that keep heavier ones out of a full queue.
#[test]
fn full_queue_sheds_the_lightest() {
    let now = Instant::now();
    let cfg = LimitConfig { max_queued: 2, ..LimitConfig::default() };
    let mut limiter = serving(cfg, 1, now);
    assert_eq!(limiter.ask(ask(1, now), now), Admission::Run);
    assert_eq!(limiter.ask(ask(2, now), now), Admission::Wait);
    assert_eq!(limiter.ask(ask(3, now), now), Admission::Wait);
    let heavy = Ask { weight: 10, ..ask(4, now) };
    assert_eq!(limiter.ask(heavy, now), Admission::Wait);
    assert_eq!(limiter.ask(ask(5, now), now), Admission::Refuse(ErrorKind::Overloaded));
    let refused: Vec<_> = limiter.expire(now).into_vec();
    let refusal = Admission::Refuse(ErrorKind::Overloaded);
    assert_eq!(refused, [Decision { ticket: 3, admission: refusal }]);
}

/// Guards against a request that waits although it cannot end in time any more.
#[test]
fn refuses_early_what_cannot_finish_in_time() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 1, now);
    warm_up(&mut limiter, &mut now, 50, MS * 100);
    assert_eq!(limiter.ask(ask(1 << 50, now), now), Admission::Run);
    let short = Ask { ticket: (1 << 50) + 1, weight: 1, depth: 0, deadline: now + MS * 150 };
    assert_eq!(limiter.ask(short, now), Admission::Refuse(ErrorKind::Overloaded));
}

/// Guards against a full house of requests from clients that leaves deeper calls no slot.
#[test]
fn reserve_is_kept_for_deeper_calls() {
    for slots in 2..=32 {
        let mut now = Instant::now();
        let mut limiter = serving(LimitConfig::default(), slots, now);
        warm_up(&mut limiter, &mut now, 2_000, MS * 10);
        assert_eq!(limiter.limit(), slots);
        let mut ticket = 1 << 50;
        while limiter.ask(ask(ticket, now), now) == Admission::Run {
            ticket += 1;
        }
        let deeper = Ask { depth: 1, ..ask(ticket + 1, now) };
        assert_eq!(limiter.ask(deeper, now), Admission::Run, "{slots} slots");
    }
}

/// Guards against refusals that do not say why: no upstream, draining, cold.
#[test]
fn refusals_name_the_state() {
    let now = Instant::now();
    let cfg = LimitConfig { max_queued: 0, ..LimitConfig::default() };
    let mut limiter = Limiter::new(cfg);
    assert_eq!(limiter.ask(ask(1, now), now), Admission::Refuse(ErrorKind::NoUpstream));
    limiter.on_announce(Lifecycle::Cold, 6, true, now);
    assert_eq!(limiter.ask(ask(2, now), now), Admission::Run);
    assert_eq!(limiter.ask(ask(3, now), now), Admission::Refuse(ErrorKind::Cold));
    limiter.on_announce(Lifecycle::Draining, 6, false, now);
    assert_eq!(limiter.ask(ask(4, now), now), Admission::Refuse(ErrorKind::Draining));
    let late = Ask { deadline: now, ..ask(5, now) };
    assert_eq!(limiter.ask(late, now), Admission::Refuse(ErrorKind::DeadlineExceeded));
}

/// Guards against requests that keep waiting at an upstream that is leaving.
#[test]
fn draining_refuses_those_that_wait() {
    let now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 1, now);
    assert_eq!(limiter.ask(ask(1, now), now), Admission::Run);
    assert_eq!(limiter.ask(ask(2, now), now), Admission::Wait);
    limiter.on_announce(Lifecycle::Draining, 1, false, now);
    let refusal = Admission::Refuse(ErrorKind::Draining);
    assert_eq!(limiter.expire(now).into_vec(), [Decision { ticket: 2, admission: refusal }]);
}

/// Guards against time-outs of requests that were started late and count against the upstream.
#[test]
fn short_time_outs_do_not_count_as_failures() {
    let mut now = Instant::now();
    let mut limiter = serving(LimitConfig::default(), 6, now);
    warm_up(&mut limiter, &mut now, 400, MS * 10);
    assert_eq!(limiter.timed_out(MS * 15), Ended::Ignored);
    assert_eq!(limiter.timed_out(MS * 250), Ended::Failure(MS * 250));
}
