//! A discrete-event simulation of rollouts: servers of two versions, ingress nodes, nodes that can
//! control the rollout, and a store.

pub mod control;
pub mod fault;
pub mod ingress;
pub mod servers;

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, VecDeque},
    time::{Duration, Instant},
};

use oleandertiller_model::{
    Action, ServiceName,
    intent::{Rollout, RolloutPhase},
};
use oleandertiller_rollout::{
    Arm, Attempt, Availability, Choice, MAX_UNPROVED_SHARE_PPM, ServiceLoad, Verdict, split,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use rand_distr::{Distribution, Exp};

use control::{Node, Store, start, step_index, wall};
use fault::{ControlFault, Fault, Operators, Scenario};
use ingress::Ingress;
use servers::{KINDS, Server, choose, slow_bound};

const REQUESTS_PER_S: f64 = 300.0;
const CONTROL_INTERVAL_S: f64 = 0.25;
const CONTROL_FAULT_S: f64 = 20.0;
/// A version counts as shown to be bad when its fault has hit this many of the latest requests of a
/// kind. An answer of a slow version counts if it exceeds a good version's 95th percentile, but not
/// from a cold server, since a good version gives such answers then.
const SHOWN_FAULTY_REQUESTS: usize = 30;
/// Number of latest requests of a kind to the new version that are considered for this.
const SHOWN_LATEST_REQUESTS: usize = 300;
/// Seconds that a scenario continues after the rollout's end.
const AFTER_END_S: f64 = 20.0;

/// Measured results of a scenario.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub phase: Option<RolloutPhase>,
    pub reason: String,
    /// When the rollout ended, in seconds.
    pub ended: f64,
    pub requests: u64,
    /// Number of requests that the new version received.
    pub new: u64,
    /// Number of requests that the fault hit.
    pub faulty: u64,
    /// Number of all requests, and of those to the new version, at ingress nodes whose share was at
    /// most 5%.
    pub unproved: (u64, u64),
    /// When the version was shown to be bad, in seconds.
    pub shown: Option<f64>,
    /// When the last request went to the new version, in seconds.
    pub last_new: f64,
    pub refused: u64,
    pub max_share: u32,
    pub vetoes: usize,
    pub report_bytes: usize,
    pub violations: Vec<String>,
}

impl Outcome {
    /// Returns for how many seconds the version got requests after it was shown to be bad.
    pub fn exposed(&self) -> f64 {
        self.shown.map_or(0.0, |shown| (self.last_new - shown).max(0.0))
    }
}

/// The end of a request, ordered by time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Completion {
    at_us: u64,
    server: usize,
    ingress: usize,
    kind: u8,
    /// 0 failed, 1 done by a cold server, otherwise done.
    attempt: u8,
    latency_us: u64,
}

impl Completion {
    fn attempt(&self) -> Attempt {
        match self.attempt {
            0 => Attempt::Failed,
            1 => Attempt::DoneCold,
            _ => Attempt::Done(Duration::from_micros(self.latency_us)),
        }
    }
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    origin: Instant,
    store: Store,
    /// When the store comes back, in seconds.
    store_up_at: Option<f64>,
    nodes: Vec<Node>,
    ingresses: Vec<Ingress>,
    servers: Vec<Server>,
    running: BinaryHeap<Reverse<Completion>>,
    load: ServiceLoad,
    /// Rollout at the last check.
    last_rollout: Rollout,
    fault_begun: bool,
    operators_done: bool,
    /// Whether each of the latest requests to the new version showed its fault, by kind.
    latest_faulty: [VecDeque<bool>; KINDS.len()],
    outcome: Outcome,
}

/// Runs a scenario until shortly after its rollout's end, or until a minute after its deadline.
pub fn run(scenario: Scenario) -> Outcome {
    let mut simulation = Simulation::new(scenario);
    let gap = Exp::new(REQUESTS_PER_S).unwrap();
    let (mut arrival, mut step, mut steps) = (0.0f64, 0.0f64, 0u64);
    let restarted = if let Operators::Race { at, .. } = scenario.operators { at } else { 0.0 };
    let end = scenario.deadline + restarted + 60.0;
    loop {
        let completion =
            simulation.running.peek().map_or(f64::MAX, |next| next.0.at_us as f64 / 1e6);
        let at = arrival.min(step).min(completion);
        let is_over =
            simulation.outcome.phase.is_some() && at > simulation.outcome.ended + AFTER_END_S;
        if at > end || is_over {
            return simulation.outcome;
        }
        if at == completion {
            simulation.complete();
        } else if at == step {
            simulation.control(at, steps % 4 == 3);
            (step, steps) = (step + CONTROL_INTERVAL_S, steps + 1);
        } else {
            simulation.arrive(at);
            arrival += gap.sample(&mut simulation.rng);
        }
    }
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let origin = Instant::now();
        let store = Store::new(scenario.deadline);
        let last_rollout = store.rollout().clone();
        let old = (0..4).map(Server::old);
        let new = (0..scenario.new_servers).map(|index| Server::new(index, &scenario));
        Self {
            origin,
            store_up_at: None,
            nodes: (0..3).map(|index| Node::new(index, origin)).collect(),
            ingresses: (0..3).map(|index| Ingress::new(index, &last_rollout, &mut rng)).collect(),
            servers: old.chain(new).collect(),
            running: BinaryHeap::new(),
            load: ServiceLoad::default(),
            fault_begun: false,
            operators_done: false,
            latest_faulty: Default::default(),
            outcome: Outcome::default(),
            scenario,
            rng,
            store,
            last_rollout,
        }
    }

    fn now(&self, at: f64) -> Instant {
        self.origin + Duration::from_secs_f64(at)
    }

    fn arrive(&mut self, at: f64) {
        let ingress = self.rng.random_range(0..self.ingresses.len());
        let kind = self.draw_kind();
        let available =
            |arm| self.servers.iter().any(|server| server.arm == arm && server.accepts_requests());
        let availability = Availability { old: available(Arm::Old), new: available(Arm::New) };
        let node = &self.ingresses[ingress];
        let choice = node.pick(availability, &mut self.rng);
        let share = split::share_ppm(&node.rollout, node.veto.is_in_force());
        self.outcome.requests += 1;
        let arm = match choice {
            Choice::Old => Arm::Old,
            Choice::New => Arm::New,
            Choice::Neither => {
                self.outcome.refused += 1;
                return;
            }
        };
        if node.rollout.share_ppm <= MAX_UNPROVED_SHARE_PPM {
            self.outcome.unproved.0 += 1;
            self.outcome.unproved.1 += u64::from(arm == Arm::New);
        }
        if arm == Arm::New && share == 0 {
            self.outcome.violations.push(format!("new version picked at share 0 at {at:.2} s"));
        }
        let server = choose(&self.servers, arm, &mut self.rng)
            .expect("a server of the picked version accepts requests");
        self.send(at, ingress, server, kind);
    }

    fn send(&mut self, at: f64, ingress: usize, server: usize, kind: u8) {
        let fault = self.scenario.fault;
        let started = self.servers[server].start(kind, fault, at, &mut self.rng);
        if self.servers[server].arm == Arm::New {
            self.outcome.new += 1;
            self.outcome.last_new = at;
        }
        self.outcome.faulty += u64::from(started.faulty);
        if self.servers[server].arm == Arm::New {
            let shows = match started.attempt {
                Attempt::Failed => started.faulty,
                Attempt::DoneCold => false,
                Attempt::Done(_) => started.faulty && started.seconds > slow_bound(kind),
            };
            self.record_shown(kind, shows, at + started.seconds);
        }
        let attempt = match started.attempt {
            Attempt::Failed => 0,
            Attempt::DoneCold => 1,
            Attempt::Done(_) => 2,
        };
        let at_us = ((at + started.seconds) * 1e6) as u64;
        let latency_us = (started.seconds * 1e6) as u64;
        let completion = Completion { at_us, server, ingress, kind, attempt, latency_us };
        self.running.push(Reverse(completion));
    }

    fn record_shown(&mut self, kind: u8, shows: bool, end: f64) {
        let latest_faulty = &mut self.latest_faulty[usize::from(kind)];
        latest_faulty.push_back(shows);
        if latest_faulty.len() > SHOWN_LATEST_REQUESTS {
            latest_faulty.pop_front();
        }
        let faulty = latest_faulty.iter().filter(|shows| **shows).count();
        if faulty >= SHOWN_FAULTY_REQUESTS && self.outcome.shown.is_none() {
            self.outcome.shown = Some(end);
        }
    }

    fn complete(&mut self) {
        let Some(Reverse(done)) = self.running.pop() else { return };
        let attempt = done.attempt();
        let server = &mut self.servers[done.server];
        server.finish(attempt);
        let new_servers = self.scenario.new_servers;
        let ingress = &mut self.ingresses[done.ingress];
        ingress.observe(server.id, server.arm, done.kind, attempt, new_servers);
    }

    fn draw_kind(&mut self) -> u8 {
        let mut draw: f64 = self.rng.random();
        for (index, (_, weight, _)) in KINDS.iter().enumerate() {
            draw -= weight;
            if draw <= 0.0 {
                return index as u8;
            }
        }
        0
    }

    fn control(&mut self, at: f64, reports: bool) {
        let now = self.now(at);
        self.measure_load();
        self.begin_control_fault(at);
        self.run_operators(at);
        for ingress in &mut self.ingresses {
            ingress.apply_pending(at);
        }
        if reports {
            self.report(now);
        }
        for index in 0..self.nodes.len() {
            self.nodes[index].step(&mut self.store, self.load, now, at);
            self.check_change(at, Some(index));
        }
        self.heartbeat(now);
    }

    fn measure_load(&mut self) {
        let new = self.servers.iter().filter(|server| server.arm == Arm::New);
        self.load.new_limit = new.map(|server| server.limit as f64).sum();
        let in_flight: usize = self.servers.iter().map(|server| server.in_flight).sum();
        self.load.in_flight += 0.05 * (in_flight as f64 - self.load.in_flight);
    }

    fn begin_control_fault(&mut self, at: f64) {
        if self.store_up_at.is_some_and(|end| at >= end) {
            self.store.down = false;
        }
        let Some((control_fault, step)) = self.scenario.control_fault else { return };
        if self.fault_begun
            || step_index(&self.last_rollout) < step
            || self.last_rollout.controller.is_none()
        {
            return;
        }
        self.fault_begun = true;
        if let Fault::Fails { from, .. } = &mut self.scenario.fault {
            *from = from.min(at);
        }
        let end = at + CONTROL_FAULT_S;
        if control_fault == ControlFault::StoreDown {
            self.store.down = true;
            self.store_up_at = Some(end);
            return;
        }
        let now = self.now(at);
        let named = self.nodes.iter_mut().find(|node| node.is_named(&self.last_rollout));
        named.expect("a node controls the rollout").inject(control_fault, end, self.load, now, at);
    }

    fn run_operators(&mut self, at: f64) {
        if self.operators_done {
            return;
        }
        let cancel = || Action::CancelRollout { service: ServiceName::new("kettle") };
        match self.scenario.operators {
            Operators::Cancel { at: due } if at >= due => {
                self.operators_done = true;
                self.store.write(cancel(), at);
            }
            Operators::Race { at: due, cancel_first } if at >= due => {
                self.operators_done = true;
                let open = !self.store.rollout().phase.is_final();
                if cancel_first {
                    self.store.write(cancel(), at);
                }
                let started = self.store.write(start("v3", due + self.scenario.deadline), at);
                if open && started != cancel_first {
                    self.outcome
                        .violations
                        .push("a second rollout started during an open one".into());
                }
                if !cancel_first {
                    self.store.write(cancel(), at);
                }
            }
            _ => return,
        }
        self.check_change(at, None);
    }

    fn report(&mut self, now: Instant) {
        let notices: Vec<_> = self.ingresses.iter().map(|i| i.veto.notice().cloned()).collect();
        for (index, ingress) in self.ingresses.iter_mut().enumerate() {
            let others = notices.iter().enumerate().filter(|(other, _)| *other != index);
            let peers = others.filter_map(|(_, notice)| notice.as_ref());
            ingress.veto.on_peer_vetoes(peers, notices.len());
            let report = ingress.report();
            let bytes = oleandertiller_model::codec::encode(&report).len();
            self.outcome.report_bytes = self.outcome.report_bytes.max(bytes);
            for node in &mut self.nodes {
                if let Some(finding) = node.report(&report, now) {
                    ingress.veto.on_finding(&finding);
                }
            }
        }
        self.outcome.vetoes =
            self.ingresses.iter().filter(|ingress| ingress.veto.is_in_force()).count();
    }

    fn heartbeat(&mut self, now: Instant) {
        let leads = |node: &Node| node.controller.leads(now).filter(|_| node.is_reachable());
        let fences: Vec<_> = self.nodes.iter().filter_map(leads).collect();
        for fence in fences {
            self.nodes.iter_mut().for_each(|node| node.receive_heartbeat(fence, now));
        }
    }

    /// Checks a change of the rollout and announces it to the ingress nodes.
    fn check_change(&mut self, at: f64, writer: Option<usize>) {
        let rollout = self.store.rollout().clone();
        if rollout == self.last_rollout {
            return;
        }
        let last_rollout = std::mem::replace(&mut self.last_rollout, rollout.clone());
        self.outcome.max_share = self.outcome.max_share.max(rollout.share_ppm);
        if last_rollout.phase.is_final() && last_rollout.to == rollout.to {
            self.outcome.violations.push(format!("the ended rollout changed at {at:.2} s"));
        }
        if self.store.down {
            self.outcome.violations.push(format!("a write while the store was down at {at:.2} s"));
        }
        let risen = rollout.share_ppm > last_rollout.share_ppm.max(MAX_UNPROVED_SHARE_PPM);
        if let (true, Some(writer)) = (risen, writer) {
            let verdict = self.nodes[writer].controller.judge().map(|judge| judge.verdict());
            if verdict != Some(Verdict::Proved) {
                self.outcome
                    .violations
                    .push(format!("share raised over 5% on verdict {verdict:?}"));
            }
        }
        if rollout.phase.is_final() {
            self.outcome.phase = Some(rollout.phase);
            self.outcome.reason = rollout.reason.to_string();
            self.outcome.ended = at;
            let late = wall(at) > rollout.deadline && !rollout.reason.contains("recorded");
            if rollout.phase == RolloutPhase::Completed && late {
                self.outcome.violations.push(format!("completed after the deadline at {at:.2} s"));
            }
        }
        self.ingresses.iter_mut().for_each(|ingress| ingress.announce(&rollout, at));
    }
}
