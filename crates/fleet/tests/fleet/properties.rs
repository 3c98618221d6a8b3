//! Random faults over a simulated network of agents, readers and writers of the intent.
//! `FLEET_CASES` sets the number of cases; CI runs few.

use std::time::{Duration, Instant, UNIX_EPOCH};

use oleandertiller_fleet::{
    Command, CommandOutcome, Step, StoreAnswer, Watcher,
    measure::network::{Links, Network},
    membership::PRUNE_AFTER,
};
use oleandertiller_model::{Action, Revision};
use proptest::prelude::*;
use rand::{Rng, SeedableRng, rngs::StdRng};
use uuid::Uuid;

use crate::{
    membership::{assert_converged, fleet},
    store::MemoryStore,
};

const NODES: usize = 12;
const ZONES: usize = 3;
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after a partition within which an accepted configuration must be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(11);

fn cases() -> u32 {
    std::env::var("FLEET_CASES").map_or(12, |text| text.parse().expect("a number"))
}

/// One fault or command; each takes at least a second.
#[derive(Clone, Debug)]
enum Input {
    /// Seconds without an input.
    Quiet(u8),
    /// Share of lost datagrams and pulls, in percent.
    Loss(u8),
    /// Side of the partition of each node: bit `node % 8`.
    Partition(u8),
    Heal,
    /// Node and seconds.
    Pause(usize, u8),
    Restart(usize),
    StoreDown(bool),
    /// Number of store calls.
    LoseAnswers(u8),
    Command(usize),
    RacingCommands(usize, usize),
}

fn input() -> impl Strategy<Value = Input> {
    prop_oneof![
        3 => (1u8..10).prop_map(Input::Quiet),
        1 => (0u8..60).prop_map(Input::Loss),
        1 => any::<u8>().prop_map(Input::Partition),
        1 => Just(Input::Heal),
        1 => (0..NODES, 1u8..20).prop_map(|(node, secs)| Input::Pause(node, secs)),
        1 => (0..NODES).prop_map(Input::Restart),
        1 => any::<bool>().prop_map(Input::StoreDown),
        1 => (0u8..4).prop_map(Input::LoseAnswers),
        3 => (0..NODES).prop_map(Input::Command),
        1 => (0..NODES, 0..NODES).prop_map(|(a, b)| Input::RacingCommands(a, b)),
    ]
}

/// A simulated network of nodes that share one store, with the results of their commands.
struct SimulatedFleet {
    network: Network,
    store: MemoryStore,
    store_down: bool,
    /// Number of store calls from now on whose answers are lost; such a call takes effect or not.
    lose_answers: u8,
    rng: StdRng,
    commands: Vec<(Uuid, CommandOutcome)>,
    /// Revision of each node at the last check.
    revisions: Vec<Revision>,
    /// Number of checks at which a node served, summed over the nodes.
    serving_observations: u64,
}

impl SimulatedFleet {
    fn new(seed: u64) -> Self {
        let links = Links { duplication: 0.05, max_delay: ms(40), ..Links::default() };
        let mut sim = Self {
            network: fleet(NODES, ZONES, links, seed),
            store: MemoryStore::default(),
            store_down: false,
            lose_answers: 0,
            rng: StdRng::seed_from_u64(seed),
            commands: Vec::new(),
            revisions: vec![Revision(0); NODES],
            serving_observations: 0,
        };
        sim.run(Duration::from_secs(15));
        sim
    }

    fn apply(&mut self, input: Input) {
        match input {
            Input::Quiet(secs) => self.run(Duration::from_secs(secs.into())),
            Input::Loss(percent) => self.network.links.loss = f64::from(percent) / 100.0,
            Input::Partition(mask) => {
                for (n, node) in self.network.nodes.iter_mut().enumerate() {
                    node.group = u32::from(mask >> (n % 8)) & 1;
                }
            }
            Input::Heal => self.heal(),
            Input::Pause(node, secs) => {
                self.network.pause(node, Duration::from_secs(secs.into()));
            }
            Input::Restart(node) => {
                self.revisions[node] = Revision(0);
                self.network.restart(node);
            }
            Input::StoreDown(down) => self.store_down = down,
            Input::LoseAnswers(count) => self.lose_answers = count,
            Input::Command(node) => self.run_commands(&[node]),
            Input::RacingCommands(a, b) => self.run_commands(&[a, b]),
        }
        self.run(Duration::from_secs(1));
    }

    fn heal(&mut self) {
        for node in &mut self.network.nodes {
            node.group = 0;
        }
    }

    /// Runs in steps of one second, with the first two nodes as watchers of the store.
    fn run(&mut self, duration: Duration) {
        let mut left = duration;
        while left > Duration::ZERO {
            let slice = left.min(Duration::from_secs(1));
            self.network.run(slice);
            left -= slice;
            for node in [0, 1] {
                self.read_store(node);
            }
            self.check_revisions();
        }
    }

    fn call(&mut self, call: &oleandertiller_fleet::StoreCall) -> StoreAnswer {
        if self.store_down {
            return StoreAnswer::NotSent;
        }
        if self.lose_answers > 0 {
            self.lose_answers -= 1;
            if self.rng.random::<bool>() {
                self.store.call(call);
            }
            return StoreAnswer::Lost;
        }
        self.store.call(call)
    }

    fn read_store(&mut self, node: usize) {
        let now = self.network.now;
        let mut replica = self.network.nodes[node].agent.replica().clone();
        let mut watcher = Watcher::once(now);
        let mut step = watcher.wake(now);
        while let Step::Call(call) = step {
            let answer = self.call(&call);
            let (event, next) = watcher.answer(answer, &mut replica, now, &mut self.rng);
            if let Some(event) = event {
                self.network.with(node, |agent, now| agent.adopt_replica(&replica, now));
                self.network.with(node, |agent, now| agent.watcher_event(event, now));
            }
            step = next;
        }
    }

    /// Runs one command on each given node, with their store calls interleaved at random.
    fn run_commands(&mut self, nodes: &[usize]) {
        let now = self.network.now;
        let mut running: Vec<_> = nodes
            .iter()
            .map(|node| {
                let operation = Uuid::from_u128(self.rng.random());
                let action = Action::SetMeasuring(self.rng.random_range(0..2_000_000));
                let replica = self.network.nodes[*node].agent.replica();
                let deadline = now + COMMAND_TIMEOUT;
                let mut command =
                    Command::new(operation, "test", UNIX_EPOCH, action, replica, deadline);
                let step = command.start();
                (*node, command, step, now)
            })
            .collect();
        while !running.is_empty() {
            let i = self.rng.random_range(0..running.len());
            let (node, mut command, step, mut at) = running.swap_remove(i);
            let next = match step {
                Step::Call(call) => {
                    let answer = self.call(&call);
                    at += ms(20);
                    command.answer(answer, at, &mut self.rng)
                }
                Step::Wait(until) => {
                    at = at.max(until);
                    command.wake(at)
                }
                Step::Done(outcome) => {
                    self.commands.push((command.operation(), outcome));
                    if matches!(outcome, CommandOutcome::Accepted(_)) {
                        let replica = command.replica().clone();
                        self.network.with(node, |agent, now| agent.adopt_replica(&replica, now));
                    }
                    continue;
                }
            };
            running.push((node, command, next, at));
        }
    }

    /// Runs commands until one is accepted.
    fn run_until_accepted(&mut self, node: usize) {
        let before = self.store.history.len();
        while self.store.history.len() == before {
            self.run_commands(&[node]);
        }
    }

    fn check_revisions(&mut self) {
        for (n, node) in self.network.nodes.iter().enumerate() {
            let revision = node.agent.replica().revision();
            assert!(revision >= self.revisions[n], "node {n} went back to {revision}");
            self.revisions[n] = revision;
            self.serving_observations += u64::from(node.agent.freshness().stale().is_none());
        }
    }

    /// Asserts that the store's history confirms every answer to an operator.
    fn check_commands(&self) {
        assert_eq!(self.store.fault, None);
        for (operation, outcome) in &self.commands {
            let committed = self.store.history.iter().position(|id| id == operation);
            let committed = committed.map(|at| Revision(at as u64 + 1));
            match outcome {
                CommandOutcome::Accepted(reported) => assert_eq!(committed, Some(*reported)),
                CommandOutcome::NotAccepted(_) => assert_eq!(committed, None),
                CommandOutcome::Unknown(id) => assert_eq!(id, operation),
            }
        }
    }

    fn stop_faults(&mut self) {
        self.heal();
        self.network.links = Links::default();
        self.store_down = false;
        self.lose_answers = 0;
        // Pauses last up to 20 s.
        self.run(Duration::from_secs(20));
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(), max_shrink_iters: 40, failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against views that do not converge, revisions that go back, accepted changes that are
    /// lost, and false answers to commands, under any mix of faults.
    #[test]
    fn views_converge_and_answers_are_true(
        seed in any::<u64>(),
        inputs in prop::collection::vec(input(), 5..40),
    ) {
        let mut sim = SimulatedFleet::new(seed);
        for input in inputs {
            sim.apply(input);
        }
        sim.check_commands();
        sim.stop_faults();
        sim.run(IN_FORCE_TIMEOUT);
        let accepted = Revision(sim.store.history.len() as u64);
        for node in &sim.network.nodes {
            prop_assert_eq!(node.agent.replica().revision(), accepted);
            prop_assert_eq!(node.agent.freshness().stale(), None);
        }
        // Each node pings one failed member every 10 s, and anti-entropy needs several exchanges.
        sim.run(Duration::from_secs(60));
        assert_converged(&sim.network);
        sim.check_commands();
        prop_assert!(sim.serving_observations > 0);
    }
}

/// Guards against a change that stays on one side of a partition. It must be in force everywhere
/// within 11 s after the partition ends, even if the store is down.
#[test]
fn a_change_crosses_a_healed_partition_without_the_store() {
    let mut sim = SimulatedFleet::new(77);
    for (n, node) in sim.network.nodes.iter_mut().enumerate() {
        node.group = u32::from(n % ZONES == 2);
    }
    sim.run(Duration::from_secs(30));
    sim.run_until_accepted(0);
    sim.store_down = true;
    sim.run(Duration::from_secs(60));
    let revision = |sim: &SimulatedFleet, n: usize| sim.network.nodes[n].agent.replica().revision();
    assert_eq!(revision(&sim, 1), Revision(1));
    assert_eq!(revision(&sim, 2), Revision(0));
    sim.heal();
    sim.run(IN_FORCE_TIMEOUT);
    assert!((0..NODES).all(|n| revision(&sim, n) == Revision(1)));
}

/// Guards against slow propagation in a healthy fleet, even if the store is down after it accepts
/// the change: a zone taken out of service must get no new work after 3 s.
#[test]
fn a_change_is_in_force_within_three_seconds() {
    let mut network = fleet(100, ZONES, Links { loss: 0.05, ..Links::default() }, 12);
    network.run(Duration::from_secs(60));
    let mut sim = SimulatedFleet { network, ..SimulatedFleet::new(12) };
    sim.run_until_accepted(50);
    sim.store_down = true;
    sim.network.run(Duration::from_secs(3));
    let late: Vec<_> = (0..100)
        .filter(|n| sim.network.nodes[*n].agent.replica().revision() < Revision(1))
        .collect();
    assert!(late.is_empty(), "late nodes: {late:?}");
}

/// Guards against a paused node that serves with an outdated intent after it resumes.
#[test]
fn a_resumed_node_does_not_serve_before_it_has_the_present_intent() {
    let mut sim = SimulatedFleet::new(13);
    sim.run_until_accepted(0);
    sim.run(Duration::from_secs(5));
    sim.network.pause(7, Duration::from_secs(8));
    sim.run(Duration::from_secs(1));
    sim.run_until_accepted(0);
    sim.store_down = true;
    sim.run(Duration::from_secs(6));
    let end = sim.network.now + Duration::from_secs(4);
    let mut served: Option<Instant> = None;
    while sim.network.now < end {
        sim.network.run(ms(10));
        let now = sim.network.now;
        let agent = &mut sim.network.nodes[7].agent;
        if agent.freshness_mut().check(now).is_ok() {
            assert_eq!(agent.replica().revision(), Revision(2));
            served.get_or_insert(now);
        }
    }
    assert!(served.is_some(), "the node serves again");
}

/// Guards against a fleet whose nodes wait for each other for ever after all were paused.
#[test]
fn a_fleet_that_was_paused_as_a_whole_serves_again() {
    let mut sim = SimulatedFleet::new(14);
    sim.run_until_accepted(0);
    sim.store_down = true;
    sim.run(Duration::from_secs(10));
    for n in 0..NODES {
        sim.network.pause(n, Duration::from_secs(30));
    }
    sim.network.run(Duration::from_secs(40));
    for node in &sim.network.nodes {
        assert_eq!(node.agent.freshness().stale(), None);
    }
}

/// Guards against sides of a long partition that stop serving after they prune each other's
/// records, or that do not reliably rejoin.
#[test]
fn both_sides_of_a_long_partition_serve_and_rejoin() {
    let mut sim = SimulatedFleet::new(15);
    sim.run_until_accepted(0);
    sim.run(Duration::from_secs(5));
    for (n, node) in sim.network.nodes.iter_mut().enumerate() {
        node.group = u32::from(n % ZONES == 2);
    }
    sim.run(PRUNE_AFTER + Duration::from_secs(60));
    assert!(sim.network.nodes.iter().all(|node| node.agent.freshness().stale().is_none()));
    sim.heal();
    sim.run(Duration::from_secs(90));
    assert_converged(&sim.network);
}
