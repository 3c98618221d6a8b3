//! Properties of the limiter over any order of events.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    time::{Duration, Instant},
};

use oleandertiller_model::Lifecycle;
use oleandertiller_routing::limit::{
    Adaptation, Admission, AdmissionRequest, Completion, Decision, Decisions, LimitConfig, Limiter,
    Reserve,
};
use proptest::prelude::*;

use super::{MS, serving};

#[derive(Clone, Debug)]
enum Step {
    Admit { weight: u32, depth: u8, deadline_ms: u64 },
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
            Step::Admit { weight, depth, deadline_ms }
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

/// A limiter whose decisions are checked against a model of its requests.
struct CheckedLimiter {
    limiter: Limiter,
    cfg: LimitConfig,
    announced: (Lifecycle, u32),
    now: Instant,
    /// Waiting tickets, each with the start of its wait and its deadline.
    waiting: BTreeMap<u64, (Instant, Instant)>,
    running: u32,
    decided: HashSet<u64>,
}

impl CheckedLimiter {
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

    fn apply(&mut self, ticket: u64, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Admit { weight, depth, deadline_ms } => {
                let deadline = self.now + MS * deadline_ms as u32;
                let in_flight = self.limiter.in_flight();
                match self
                    .limiter
                    .admit(AdmissionRequest { ticket, weight, depth, deadline }, self.now)
                {
                    Admission::Run => {
                        prop_assert!(in_flight < self.limiter.limit());
                        self.decided.insert(ticket);
                        self.start()?;
                    }
                    Admission::Wait => {
                        self.waiting.insert(ticket, (self.now, deadline));
                    }
                    Admission::Refuse(kind) => prop_assert!(kind.answer().not_run),
                }
            }
            Step::Success(ms) => self.end(Completion::Success(MS * ms as u32))?,
            Step::Failure(ms) => self.end(Completion::Failure(MS * ms as u32))?,
            Step::Ignored => self.end(Completion::Ignored)?,
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

    fn end(&mut self, completion: Completion) -> Result<(), TestCaseError> {
        if self.running == 0 {
            return Ok(());
        }
        self.running -= 1;
        let decisions = self.limiter.release(completion, self.now);
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

    /// Expires waits and checks that no request waits beyond its bound.
    fn expire(&mut self) -> Result<(), TestCaseError> {
        let decisions = self.limiter.expire(self.now);
        self.decide(decisions)?;
        for (ticket, (since, deadline)) in &self.waiting {
            let ends = (*since + self.cfg.max_queue_wait).min(*deadline);
            prop_assert!(ends > self.now, "{ticket} still waits");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(512))]

    /// Guards against a limit above the slots or the cold limit, a request with two decisions or
    /// none, and a wait beyond its bound, over any order of events.
    #[test]
    fn invariants_hold_over_any_order_of_events(
        cfg in config(),
        steps in prop::collection::vec(step(), 1..250),
    ) {
        let mut checked = CheckedLimiter::new(cfg);
        for (ticket, step) in steps.iter().enumerate() {
            checked.apply(ticket as u64, step)?;
            if matches!(step, Step::Wait(_)) {
                checked.expire()?;
            }
        }
        checked.now += Duration::from_secs(1);
        checked.expire()?;
        prop_assert!(checked.waiting.is_empty(), "lost: {:?}", checked.waiting);
    }

    /// Guards against a deadlock of nested calls through one service that hold all slots and wait
    /// for each other: every chain of calls must end within its deadline, whatever its depth.
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
        // Each chain requests one more slot while it holds those of its callers, down to its depth.
        // A refusal makes it release all of its slots.
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
                match limiter.admit(AdmissionRequest { ticket, weight: 1, depth, deadline }, now) {
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
                        for decision in limiter.release(Completion::Success(MS), now) {
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
                        decisions.extend(limiter.release(Completion::Ignored, now));
                    }
                }
            }
        }
        prop_assert!(ended.iter().all(|ended| *ended), "still open after {:?}", now - start);
        prop_assert_eq!(limiter.queued(), 0);
    }
}
