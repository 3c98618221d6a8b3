//! The invariants of design section 1.2, checked against what really happens in the world.
//!
//! Invariant 4 (rollouts) is left out; rollouts are checked apart.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    time::{Duration, Instant},
};

use oleandertiller_fleet::{
    Head,
    intent::HEAD_KEY,
    store::{StoreAnswer, StoreCall},
};
use oleandertiller_model::{
    Action, Change, Lifecycle, Outcome, Revision, Safety, intent::ZoneIntent,
};

use crate::{
    glue::{Call, Reply, node::Node},
    upstream::COLD_BEARS,
    violation::{Invariant, Violation},
    world::World,
};

/// Time after which a zone that is out, or a leaving upstream, gets no new work.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

/// Time in which an accepted configuration is in force on reachable nodes.
const IN_FORCE_AFTER: Duration = Duration::from_secs(5);

/// The same after the end of a partition.
const IN_FORCE_AFTER_CUT: Duration = Duration::from_secs(11);

/// Measuring calls that may be made in one burst, in millionths.
const BURST_MICRO: i64 = 5_000_000;

/// A change that is in the store.
struct Commit {
    change: Change,
    accepted: Option<Instant>,
    /// Running processes that have it in force.
    knowers: u32,
    /// Since when each node has been able to talk to one of them, or is one of them.
    exposed: Vec<Option<Instant>>,
    reported: u32,
}

/// Use of a node's measuring budget, in millionths of a call.
#[derive(Clone, Copy, Default)]
struct Measured {
    excess: i64,
    least: i64,
}

/// What the checks remember.
pub(crate) struct Checks {
    pub violations: Vec<Violation>,
    commits: Vec<Commit>,
    runs: HashMap<u64, u32>,
    operation_runs: HashMap<u64, Vec<Instant>>,
    told_not_run: HashSet<u64>,
    in_force: Vec<Revision>,
    measured: Vec<Measured>,
    /// Since when each node has nobody to talk to.
    alone: Vec<Option<Instant>>,
    /// End of the last pause, cut or start of each node.
    disturbed: Vec<Instant>,
    leaving: Vec<Option<Instant>>,
    pub answered: HashMap<&'static str, u64>,
    pub probes: u64,
}

impl Checks {
    pub fn new(nodes: usize) -> Self {
        Self {
            violations: Vec::new(),
            commits: Vec::new(),
            runs: HashMap::new(),
            operation_runs: HashMap::new(),
            told_not_run: HashSet::new(),
            in_force: vec![Revision(0); nodes],
            measured: vec![Measured::default(); nodes],
            alone: vec![None; nodes],
            disturbed: vec![Instant::now(); nodes],
            leaving: vec![None; nodes],
            answered: HashMap::new(),
            probes: 0,
        }
    }

    fn report(&mut self, world: &World, invariant: Invariant, text: String) {
        world.trace(|| format!("VIOLATION of {invariant:?}: {text}"));
        self.violations.push(Violation { invariant, at: world.exec.elapsed(), text });
    }

    /// Invariant 10: what is in the store stays there.
    pub fn on_store(&mut self, world: &World, call: &StoreCall, answer: &StoreAnswer) {
        let StoreCall::Put { key, value, .. } = call else { return };
        if key != HEAD_KEY || !matches!(answer, StoreAnswer::Written { .. }) {
            return;
        }
        let Ok(head) = Head::parse(value) else { return };
        for change in &head.changes {
            let known = self.commits.get(change.revision.0 as usize - 1);
            if known.is_some_and(|known| known.change.operation != change.operation) {
                let text = format!("{} was overwritten in the store", change.revision);
                return self.report(world, Invariant::Configuration, text);
            }
        }
        let missing = head.changes.iter().filter(|c| c.revision.0 as usize > self.commits.len());
        let missing: Vec<_> = missing.cloned().collect();
        for change in missing {
            world.trace(|| format!("{} in the store: {:?}", change.revision, change.action));
            self.add_commit(change, world);
        }
    }

    pub fn add_commit(&mut self, change: Change, world: &World) {
        let exposed = vec![None; world.size()];
        self.commits.push(Commit { change, accepted: None, knowers: 0, exposed, reported: 0 });
    }

    /// Notes that an operator was told that a change is accepted.
    pub fn on_accepted(&mut self, world: &World, revision: Revision, operation: uuid::Uuid) {
        let found = self.commits.get_mut(revision.0 as usize - 1);
        match found.filter(|commit| commit.change.operation == operation) {
            Some(commit) => commit.accepted = Some(world.now()),
            None => {
                let text = format!("{revision} was accepted and is not in the store");
                self.report(world, Invariant::Configuration, text);
            }
        }
        self.reassess(world);
    }

    /// Notes that an operator was told that a change is not accepted and never will be.
    pub fn on_not_accepted(&mut self, world: &World, operation: uuid::Uuid) {
        if self.commits.iter().any(|commit| commit.change.operation == operation) {
            let text = format!("{operation} was not accepted and is in the store");
            self.report(world, Invariant::Configuration, text);
        }
    }

    /// Invariant 10: the revision in force at a node never goes back.
    pub fn on_intent(&mut self, world: &World, node: &Node, revision: Revision) {
        let index = node.index;
        if revision < self.in_force[index] {
            let text =
                format!("node {index} went back from {} to {revision}", self.in_force[index]);
            self.report(world, Invariant::Configuration, text);
        }
        self.in_force[index] = revision;
        let agent = node.agent.borrow();
        let last = agent.replica().intent().recent.back().map(|(operation, _)| *operation);
        let stored = self.commits.get(revision.0 as usize - 1).map(|c| c.change.operation);
        if last != stored {
            let text = format!("node {index} has another {revision} than the store");
            self.report(world, Invariant::Configuration, text);
        }
        for commit in self.commits.iter_mut().take(revision.0 as usize) {
            commit.knowers |= 1 << index;
        }
        self.reassess(world);
    }

    /// Notes that a node's process started or ended.
    pub fn on_process(&mut self, world: &World, index: usize) {
        self.in_force[index] = Revision(0);
        self.measured[index] = Measured::default();
        self.leaving[index] = None;
        for commit in &mut self.commits {
            commit.knowers &= !(1 << index);
        }
        self.disturb(world, index);
        self.reassess(world);
    }

    /// Notes the end of a pause or a cut of a node.
    pub fn disturb(&mut self, world: &World, index: usize) {
        self.disturbed[index] = world.now();
    }

    /// Works out who can talk to whom; to be called after every change of that.
    pub fn reassess(&mut self, world: &World) {
        let now = world.now();
        let size = world.size();
        let net = world.net.borrow();
        let talks: Vec<bool> = (0..size).map(|n| world.is_up(n) && !world.is_paused(n)).collect();
        let store = world.store.borrow();
        let store_well = !store.down && store.delay.is_zero() && store.loses == 0.0;
        let masks: Vec<u32> = (0..size)
            .map(|n| {
                let peers = (0..size).filter(|k| *k != n && talks[*k] && net.connects(n, *k));
                peers.fold(0, |mask, k| mask | 1 << k)
            })
            .collect();
        let mark = |since: &mut Option<Instant>, holds: bool| match holds {
            true => *since = since.or(Some(now)),
            false => *since = None,
        };
        for (n, mask) in masks.iter().enumerate() {
            let alone = *mask == 0 && !(store_well && net.reaches_store(n));
            mark(&mut self.alone[n], world.is_up(n) && alone);
        }
        for commit in self.commits.iter_mut().filter(|commit| commit.accepted.is_some()) {
            for (n, mask) in masks.iter().enumerate() {
                let knows = commit.knowers >> n & 1 == 1 || commit.knowers & mask != 0;
                mark(&mut commit.exposed[n], world.is_up(n) && knows);
            }
        }
    }

    /// Invariant 10: accepted changes are in force in time; called every 100 ms.
    ///
    /// A node counts as reachable while it can talk both ways to a running process that has the
    /// change: where only processes that ended or are cut off had it and the store is down, nobody
    /// could tell the node. A node that was paused, cut off or started since has the time after a
    /// cut.
    pub fn sample(&mut self, world: &World) {
        let now = world.now();
        let mut late = Vec::new();
        for (at, commit) in self.commits.iter_mut().enumerate() {
            let Some(accepted) = commit.accepted else { continue };
            for n in 0..world.size() {
                let knows = commit.knowers >> n & 1 == 1 || commit.reported >> n & 1 == 1;
                let Some(since) = commit.exposed[n].filter(|_| !knows) else { continue };
                if world.is_paused(n) {
                    continue;
                }
                let quiet = self.disturbed[n] <= accepted;
                let limit = if quiet { IN_FORCE_AFTER } else { IN_FORCE_AFTER_CUT };
                if now > since.max(accepted).max(self.disturbed[n]) + limit {
                    commit.reported |= 1 << n;
                    late.push(format!("r{} is not in force at node {n} after {limit:?}", at + 1));
                }
            }
        }
        for text in late {
            self.report(world, Invariant::Configuration, text);
        }
    }

    pub fn on_call(&mut self, index: usize, share_ppm: u32) {
        let measured = &mut self.measured[index];
        measured.excess -= i64::from(share_ppm);
        measured.least = measured.least.min(measured.excess);
    }

    /// Invariant 1: in no window are there more probes than its calls pay for and one burst.
    pub fn on_probe(&mut self, world: &World, index: usize) {
        self.probes += 1;
        let measured = &mut self.measured[index];
        measured.excess += 1_000_000;
        if measured.excess - measured.least > BURST_MICRO {
            let over = (measured.excess - measured.least) / 1_000_000;
            let text = format!("node {index} sent {over} probes that no calls paid for");
            self.report(world, Invariant::Measuring, text);
        }
    }

    /// Notes that an upstream or its node begins to leave.
    pub fn on_leaving(&mut self, world: &World, index: usize) {
        self.leaving[index] = self.leaving[index].or(Some(world.now()));
    }

    pub fn on_stays(&mut self, index: usize) {
        self.leaving[index] = None;
    }

    /// Invariants 2, 3, 6, 7 and 8: a request begins at an upstream.
    pub fn on_start(&mut self, world: &Rc<World>, index: usize, call: &Call) {
        world.trace(|| format!("request {} starts at upstream {index}", call.id));
        *self.runs.entry(call.id).or_default() += 1;
        self.operation_runs.entry(call.operation).or_default().push(world.now());
        self.check_once(world, call);
        if self.told_not_run.contains(&call.id) {
            let text = format!("request {} runs after it was answered not-run", call.id);
            self.report(world, Invariant::NotRun, text);
        }
        self.check_cold(world, index, call);
        self.check_zone(world, index, call);
        let late = |since: Instant| world.now() > since + NO_NEW_WORK_AFTER;
        if self.leaving[index].is_some_and(late) {
            let text = format!("request {} starts at leaving upstream {index}", call.id);
            self.report(world, Invariant::Leaving, text);
        }
    }

    fn check_once(&mut self, world: &World, call: &Call) {
        if world.services[call.service].kinds[call.kind].safety != Safety::AtMostOnce {
            return;
        }
        let runs = self.operation_runs.get(&call.operation).map_or(0, Vec::len);
        if runs > 1 {
            let text = format!("operation {} runs for the {runs}th time", call.operation);
            self.report(world, Invariant::AtMostOnce, text);
        }
    }

    fn check_cold(&mut self, world: &Rc<World>, index: usize, call: &Call) {
        let upstream = &world.upstreams[index];
        let Some(node) = world.node(index) else { return };
        let owner = node.owner.borrow();
        // A request that was let through before the owner could know is not the owner's fault.
        let known = owner.cold_since.is_some_and(|since| call.granted >= since);
        let announced = owner.instance() == Some(upstream.instance.get());
        let cold = upstream.lifecycle.get() == Lifecycle::Cold;
        let in_flight = upstream.in_flight.get();
        if cold && known && announced && in_flight > COLD_BEARS {
            let text = format!("{in_flight} requests in flight at cold upstream {index}");
            self.report(world, Invariant::ColdServer, text);
        }
    }

    /// A node is held to the command when for 3 s it has been able to talk to a process that has
    /// it, paused or not, or has been alone, which it must notice by itself. A node cut off with
    /// others none of which has the command may go on, see design section 6.
    fn check_zone(&mut self, world: &World, index: usize, call: &Call) {
        let zone = &world.places[index].zone;
        let is_of =
            |commit: &&Commit| matches!(&commit.change.action, Action::SetZone(z, _) if z == zone);
        let Some(commit) = self.commits.iter().rfind(is_of) else { return };
        let is_out = matches!(commit.change.action, Action::SetZone(_, ZoneIntent::Out));
        let Some(accepted) = commit.accepted.filter(|_| is_out) else { return };
        let late = |since: Instant| world.now() > since.max(accepted) + NO_NEW_WORK_AFTER;
        if commit.exposed[index].is_some_and(late) || self.alone[index].is_some_and(late) {
            let text = format!(
                "request {} starts at node {index} in {zone}, which is out by {}",
                call.id, commit.change.revision
            );
            self.report(world, Invariant::ZoneOut, text);
        }
    }

    /// Invariants 5 and 6: a client gets an answer to a request sent at `sent`.
    pub fn on_answer(&mut self, world: &World, call: &Call, sent: Instant, reply: &Reply) {
        world.trace(|| format!("request {} is answered {:?}", call.id, reply.outcome));
        *self.answered.entry(reply.outcome.label()).or_default() += 1;
        match reply.outcome {
            Outcome::Done if reply.token != call.token || !reply.whole => {
                let text = format!("request {} got another or incomplete answer", call.id);
                self.report(world, Invariant::OwnAnswer, text);
            }
            Outcome::NotRun(kind) => {
                self.told_not_run.insert(call.id);
                let ran = self.runs.contains_key(&call.id);
                let earlier = self.operation_runs.get(&call.operation);
                // Runs after the request was sent may belong to a repeat of the same operation.
                let earlier = earlier.is_some_and(|runs| runs.iter().any(|run| *run < sent));
                if ran || earlier {
                    let text = format!("request {} is answered not-run ({kind}) and ran", call.id);
                    self.report(world, Invariant::NotRun, text);
                }
            }
            _ => {}
        }
    }

    /// Invariant 9: a node ends as planned.
    pub fn on_stopped(&mut self, world: &World, node: &Node) {
        let left = node.in_work();
        if left > 0 {
            let text = format!("node {} stops with {left} requests in work", node.index);
            self.report(world, Invariant::PlannedStop, text);
        }
    }
}
