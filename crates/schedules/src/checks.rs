//! Checks of the invariants of design section 1.2 against the state of the simulation.
//!
//! Invariant 4 (rollouts) is not checked here; rollouts have tests of their own.

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
    driver::{Call, Reply, node::Node},
    simulation::Simulation,
    upstream::MAX_IN_FLIGHT_COLD,
    violation::{Invariant, Violation},
};

/// Time after which a zone that is out, or a leaving upstream, gets no new requests.
const NO_NEW_WORK_AFTER: Duration = Duration::from_secs(3);

/// Time in which an accepted change is in force at reachable nodes.
const IN_FORCE_AFTER: Duration = Duration::from_secs(5);

/// The same for nodes that were started, paused or partitioned since.
const IN_FORCE_AFTER_DISRUPTION: Duration = Duration::from_secs(11);

/// Probes that may be sent in one burst, in millionths.
const PROBE_BURST_MICRO: i64 = 5_000_000;

/// A change that is in the store.
struct Commit {
    change: Change,
    /// Time at which an operator was told that it is accepted.
    accepted: Option<Instant>,
    /// Bit mask of the nodes whose running process has it in force.
    applied_by: u32,
    /// Time since which each node has it in force or is connected to a process that has.
    informed_since: Vec<Option<Instant>>,
    /// Bit mask of the nodes for which a violation was reported.
    reported: u32,
}

/// Use of a node's measuring budget, in millionths of a probe.
#[derive(Clone, Copy, Default)]
struct MeasuringUse {
    /// Probes sent beyond what calls have earned; negative while calls earned more.
    excess_micro: i64,
    /// Lowest value so far.
    min_excess_micro: i64,
}

/// Follows a schedule and collects the violations of invariants.
pub(crate) struct Checks {
    pub violations: Vec<Violation>,
    commits: Vec<Commit>,
    /// Number of runs at upstreams, by request id.
    runs: HashMap<u64, u32>,
    /// Times at which runs started at upstreams, by operation.
    operation_runs: HashMap<u64, Vec<Instant>>,
    /// Ids of requests that were answered `not-run`.
    answered_not_run: HashSet<u64>,
    /// Revision of the intent that is in force at each node.
    in_force: Vec<Revision>,
    measuring: Vec<MeasuringUse>,
    /// Time since which each node has reached neither another node nor the store.
    isolated: Vec<Option<Instant>>,
    /// Time of the last start, or end of a pause or partition, of each node.
    last_disruption: Vec<Instant>,
    /// Time since which each node or its upstream is leaving.
    leaving_since: Vec<Option<Instant>>,
    /// Number of answers to clients, by outcome.
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
            answered_not_run: HashSet::new(),
            in_force: vec![Revision(0); nodes],
            measuring: vec![MeasuringUse::default(); nodes],
            isolated: vec![None; nodes],
            last_disruption: vec![Instant::now(); nodes],
            leaving_since: vec![None; nodes],
            answered: HashMap::new(),
            probes: 0,
        }
    }

    fn report(&mut self, sim: &Simulation, invariant: Invariant, text: String) {
        sim.trace(|| format!("VIOLATION of {invariant:?}: {text}"));
        self.violations.push(Violation { invariant, at: sim.executor.elapsed(), text });
    }

    /// Checks invariant 10: a change in the store is never overwritten.
    pub fn on_store_answer(&mut self, sim: &Simulation, call: &StoreCall, answer: &StoreAnswer) {
        let StoreCall::Put { key, value, .. } = call else { return };
        if key != HEAD_KEY || !matches!(answer, StoreAnswer::Written { .. }) {
            return;
        }
        let Ok(head) = Head::parse(value) else { return };
        for change in &head.changes {
            let known = self.commits.get(change.revision.0 as usize - 1);
            if known.is_some_and(|known| known.change.operation != change.operation) {
                let text = format!("{} was overwritten in the store", change.revision);
                return self.report(sim, Invariant::Configuration, text);
            }
        }
        let added = head.changes.iter().filter(|c| c.revision.0 as usize > self.commits.len());
        let added: Vec<_> = added.cloned().collect();
        for change in added {
            sim.trace(|| format!("{} in the store: {:?}", change.revision, change.action));
            self.add_commit(change, sim);
        }
    }

    /// Adds a change that is now in the store.
    pub fn add_commit(&mut self, change: Change, sim: &Simulation) {
        let informed_since = vec![None; sim.node_count()];
        self.commits.push(Commit {
            change,
            accepted: None,
            applied_by: 0,
            informed_since,
            reported: 0,
        });
    }

    /// Records that an operator was told that a change is accepted.
    pub fn on_accepted(&mut self, sim: &Simulation, revision: Revision, operation: uuid::Uuid) {
        let found = self.commits.get_mut(revision.0 as usize - 1);
        match found.filter(|commit| commit.change.operation == operation) {
            Some(commit) => commit.accepted = Some(sim.now()),
            None => {
                let text = format!("{revision} was accepted and is not in the store");
                self.report(sim, Invariant::Configuration, text);
            }
        }
        self.update_reachability(sim);
    }

    /// Checks that a change is not in the store when an operator was told that it is not accepted
    /// and never will be.
    pub fn on_not_accepted(&mut self, sim: &Simulation, operation: uuid::Uuid) {
        if self.commits.iter().any(|commit| commit.change.operation == operation) {
            let text = format!("{operation} was not accepted and is in the store");
            self.report(sim, Invariant::Configuration, text);
        }
    }

    /// Checks invariant 10: the revision in force at a node never decreases.
    pub fn on_intent(&mut self, sim: &Simulation, node: &Node, revision: Revision) {
        let index = node.index;
        if revision < self.in_force[index] {
            let text = format!("node {index} reverted from {} to {revision}", self.in_force[index]);
            self.report(sim, Invariant::Configuration, text);
        }
        self.in_force[index] = revision;
        let agent = node.agent.borrow();
        let last = agent.replica().intent().recent.back().map(|(operation, _)| *operation);
        let stored = self.commits.get(revision.0 as usize - 1).map(|c| c.change.operation);
        if last != stored {
            let text = format!("node {index} has a {revision} that differs from the store's");
            self.report(sim, Invariant::Configuration, text);
        }
        for commit in self.commits.iter_mut().take(revision.0 as usize) {
            commit.applied_by |= 1 << index;
        }
        self.update_reachability(sim);
    }

    /// Records that a node's process started or ended.
    pub fn on_process_change(&mut self, sim: &Simulation, index: usize) {
        self.in_force[index] = Revision(0);
        self.measuring[index] = MeasuringUse::default();
        self.leaving_since[index] = None;
        for commit in &mut self.commits {
            commit.applied_by &= !(1 << index);
        }
        self.on_disruption_end(sim, index);
        self.update_reachability(sim);
    }

    /// Records the end of a disruption (pause, partition or restart) of a node.
    pub fn on_disruption_end(&mut self, sim: &Simulation, index: usize) {
        self.last_disruption[index] = sim.now();
    }

    /// Recomputes which nodes can reach each other; to be called after each change of that.
    pub fn update_reachability(&mut self, sim: &Simulation) {
        let now = sim.now();
        let node_count = sim.node_count();
        let net = sim.net.borrow();
        let running: Vec<bool> =
            (0..node_count).map(|n| sim.is_up(n) && !sim.is_paused(n)).collect();
        let store = sim.store.borrow();
        let store_healthy = !store.down && store.delay.is_zero() && store.lost_answer_share == 0.0;
        let reachable_masks: Vec<u32> = (0..node_count)
            .map(|n| {
                let peers =
                    (0..node_count).filter(|k| *k != n && running[*k] && net.connects(n, *k));
                peers.fold(0, |mask, k| mask | 1 << k)
            })
            .collect();
        let track_since = |since: &mut Option<Instant>, holds: bool| match holds {
            true => *since = since.or(Some(now)),
            false => *since = None,
        };
        for (n, mask) in reachable_masks.iter().enumerate() {
            let isolated = *mask == 0 && !(store_healthy && net.reaches_store(n));
            track_since(&mut self.isolated[n], sim.is_up(n) && isolated);
        }
        for commit in self.commits.iter_mut().filter(|commit| commit.accepted.is_some()) {
            for (n, mask) in reachable_masks.iter().enumerate() {
                let knows = commit.applied_by >> n & 1 == 1 || commit.applied_by & mask != 0;
                track_since(&mut commit.informed_since[n], sim.is_up(n) && knows);
            }
        }
    }

    /// Checks invariant 10: accepted changes are in force in time; called every 100 ms.
    ///
    /// A node counts as reachable while it is connected to a running process that has the change:
    /// if the store is down and all processes that had the change have ended or are cut off, no
    /// one could pass it on. [`IN_FORCE_AFTER_DISRUPTION`] holds for a node that was paused, cut
    /// off or started since.
    pub fn check_in_force(&mut self, sim: &Simulation) {
        let now = sim.now();
        let mut late = Vec::new();
        for (at, commit) in self.commits.iter_mut().enumerate() {
            let Some(accepted) = commit.accepted else { continue };
            for n in 0..sim.node_count() {
                let knows = commit.applied_by >> n & 1 == 1 || commit.reported >> n & 1 == 1;
                let Some(since) = commit.informed_since[n].filter(|_| !knows) else { continue };
                if sim.is_paused(n) {
                    continue;
                }
                let undisturbed = self.last_disruption[n] <= accepted;
                let limit = if undisturbed { IN_FORCE_AFTER } else { IN_FORCE_AFTER_DISRUPTION };
                if now > since.max(accepted).max(self.last_disruption[n]) + limit {
                    commit.reported |= 1 << n;
                    late.push(format!("r{} is not in force at node {n} after {limit:?}", at + 1));
                }
            }
        }
        for text in late {
            self.report(sim, Invariant::Configuration, text);
        }
    }

    /// Records a call, which earns `share_ppm` millionths of a probe.
    pub fn on_call(&mut self, index: usize, share_ppm: u32) {
        let measuring = &mut self.measuring[index];
        measuring.excess_micro -= i64::from(share_ppm);
        measuring.min_excess_micro = measuring.min_excess_micro.min(measuring.excess_micro);
    }

    /// Checks invariant 1: no window has more probes than its calls earned plus one burst.
    pub fn on_probe(&mut self, sim: &Simulation, index: usize) {
        self.probes += 1;
        let measuring = &mut self.measuring[index];
        measuring.excess_micro += 1_000_000;
        if measuring.excess_micro - measuring.min_excess_micro > PROBE_BURST_MICRO {
            let over = (measuring.excess_micro - measuring.min_excess_micro) / 1_000_000;
            let text = format!("node {index} sent {over} probes beyond what its calls earned");
            self.report(sim, Invariant::Measuring, text);
        }
    }

    /// Records that an upstream or its node begins to leave.
    pub fn on_leaving(&mut self, sim: &Simulation, index: usize) {
        self.leaving_since[index] = self.leaving_since[index].or(Some(sim.now()));
    }

    /// Records that an upstream that had left is back.
    pub fn on_returned(&mut self, index: usize) {
        self.leaving_since[index] = None;
    }

    /// Checks invariants 2, 3, 6, 7 and 8 when a request starts at an upstream.
    pub fn on_request_start(&mut self, sim: &Rc<Simulation>, index: usize, call: &Call) {
        sim.trace(|| format!("request {} starts at upstream {index}", call.id));
        *self.runs.entry(call.id).or_default() += 1;
        self.operation_runs.entry(call.operation).or_default().push(sim.now());
        self.check_at_most_once(sim, call);
        if self.answered_not_run.contains(&call.id) {
            let text = format!("request {} runs after it was answered not-run", call.id);
            self.report(sim, Invariant::NotRun, text);
        }
        self.check_cold(sim, index, call);
        self.check_zone(sim, index, call);
        let late = |since: Instant| sim.now() > since + NO_NEW_WORK_AFTER;
        if self.leaving_since[index].is_some_and(late) {
            let text = format!("request {} starts at leaving upstream {index}", call.id);
            self.report(sim, Invariant::Leaving, text);
        }
    }

    fn check_at_most_once(&mut self, sim: &Simulation, call: &Call) {
        if sim.services[call.service].kinds[call.kind].safety != Safety::AtMostOnce {
            return;
        }
        let runs = self.operation_runs.get(&call.operation).map_or(0, Vec::len);
        if runs > 1 {
            let text = format!("operation {} runs for the {runs}th time", call.operation);
            self.report(sim, Invariant::AtMostOnce, text);
        }
    }

    fn check_cold(&mut self, sim: &Rc<Simulation>, index: usize, call: &Call) {
        let upstream = &sim.upstreams[index];
        let Some(node) = sim.node(index) else { return };
        let owner = node.owner.borrow();
        // The owner may have admitted the request before it knew that the upstream is cold.
        let known = owner.cold_since.is_some_and(|since| call.granted >= since);
        let announced = owner.instance() == Some(upstream.instance.get());
        let cold = upstream.lifecycle.get() == Lifecycle::Cold;
        let in_flight = upstream.in_flight.get();
        if cold && known && announced && in_flight > MAX_IN_FLIGHT_COLD {
            let text = format!("{in_flight} requests in flight at cold upstream {index}");
            self.report(sim, Invariant::ColdUpstream, text);
        }
    }

    /// A node, paused or not, must obey a zone command once it has been connected for 3 s to a
    /// process that has it, or has reached nobody for 3 s, which it must detect by itself. Nodes
    /// that are cut off together without the command may continue, see design section 6.
    fn check_zone(&mut self, sim: &Simulation, index: usize, call: &Call) {
        let zone = &sim.node_specs[index].zone;
        let is_for_zone =
            |commit: &&Commit| matches!(&commit.change.action, Action::SetZone(z, _) if z == zone);
        let Some(commit) = self.commits.iter().rfind(is_for_zone) else { return };
        let is_out = matches!(commit.change.action, Action::SetZone(_, ZoneIntent::Out));
        let Some(accepted) = commit.accepted.filter(|_| is_out) else { return };
        let late = |since: Instant| sim.now() > since.max(accepted) + NO_NEW_WORK_AFTER;
        if commit.informed_since[index].is_some_and(late) || self.isolated[index].is_some_and(late)
        {
            let text = format!(
                "request {} starts at node {index} in {zone}, which is out by {}",
                call.id, commit.change.revision
            );
            self.report(sim, Invariant::ZoneOut, text);
        }
    }

    /// Checks invariants 5 and 6 when a client gets the answer to a request sent at `sent`.
    pub fn on_answer(&mut self, sim: &Simulation, call: &Call, sent: Instant, reply: &Reply) {
        sim.trace(|| format!("request {} is answered {:?}", call.id, reply.outcome));
        *self.answered.entry(reply.outcome.label()).or_default() += 1;
        match reply.outcome {
            Outcome::Done if reply.token != call.token || !reply.complete => {
                let text = format!(
                    "request {} got the answer to another request or an incomplete one",
                    call.id
                );
                self.report(sim, Invariant::OwnAnswer, text);
            }
            Outcome::NotRun(kind) => {
                self.answered_not_run.insert(call.id);
                let ran = self.runs.contains_key(&call.id);
                let earlier = self.operation_runs.get(&call.operation);
                // Later runs may belong to a repeat of the same operation.
                let earlier = earlier.is_some_and(|runs| runs.iter().any(|run| *run < sent));
                if ran || earlier {
                    let text = format!("request {} is answered not-run ({kind}) but ran", call.id);
                    self.report(sim, Invariant::NotRun, text);
                }
            }
            _ => {}
        }
    }

    /// Checks invariant 9 at the end of a planned stop.
    pub fn on_stopped(&mut self, sim: &Simulation, node: &Node) {
        let left = node.work_in_flight();
        if left > 0 {
            let text = format!("node {} stops with {left} requests in flight", node.index);
            self.report(sim, Invariant::PlannedStop, text);
        }
    }
}
