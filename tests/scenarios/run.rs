//! One run of a script: starts the fleet, applies the load and executes the steps.

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::task;
use oleandertiller_language::{
    Command,
    scenario::{Behaviour, Event, Fault, Scenario, StoreEvent},
};
use oleandertiller_model::intent::ZoneIntent;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};

use crate::{
    fleet::Fleet,
    load::Clients,
    samples::{Samples, sample},
};

/// Time for which sampling continues after the load, to see requests that run late.
const POST_LOAD_TIME: Duration = Duration::from_millis(500);

/// Time limit for a restarted node to have a current configuration.
const RESTART_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a node was unreachable for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnreachableCause {
    /// The process was killed or shut down.
    Stopped,
    Paused,
    Partitioned,
}

/// A period in which a node was unreachable for the others.
#[derive(Clone, Copy, Debug)]
pub struct UnreachablePeriod {
    pub node: usize,
    pub cause: UnreachableCause,
    pub from: Duration,
    /// `None` if it lasts until the end of the run.
    pub to: Option<Duration>,
}

/// An operator's command and its answer.
#[derive(Clone, Debug)]
pub struct IssuedCommand {
    pub command: Command,
    pub node: String,
    pub answered_at: Duration,
    pub result: String,
    pub revision: Option<u64>,
}

/// Events of a run, for the checks and their messages; times are since the start of the load.
#[derive(Default)]
pub struct History {
    pub unreachable: Vec<UnreachablePeriod>,
    pub commands: Vec<IssuedCommand>,
    /// Node and time of each drain of an upstream or graceful shutdown of a node.
    pub drains: Vec<(usize, Duration)>,
    /// Nodes whose process did not exit in time after SIGTERM.
    pub shutdown_timeouts: Vec<String>,
    /// Progress messages, each with its time.
    pub notes: Vec<String>,
}

/// A run of a script, shared by its tasks.
pub struct Run {
    pub scenario: Scenario,
    pub fleet: Fleet,
    pub clients: Arc<Clients>,
    pub history: Mutex<History>,
    pub samples: Arc<Samples>,
    pub start: Instant,
    /// Set when sampling must stop.
    pub finished: AtomicBool,
}

/// Kills the processes of a run when it is dropped, also while tasks still hold the run.
pub struct RunGuard(pub Arc<Run>);

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.0.finished.store(true, Ordering::Relaxed);
        self.0.fleet.kill_all();
    }
}

impl Run {
    /// Runs a script to its end.
    pub async fn execute(scenario: Scenario) -> RunGuard {
        let fleet = Fleet::start(&scenario).expect("the fleet starts");
        let start = Instant::now();
        let nodes = fleet.members.iter().map(|member| member.node.client).collect();
        let clients = Arc::new(Clients::new(scenario.seed, nodes, start));
        let history = Mutex::new(History::default());
        let samples = Arc::default();
        let finished = AtomicBool::new(false);
        let run = Self { scenario, fleet, clients, history, samples, start, finished };
        let guard = RunGuard(Arc::new(run));
        let run = guard.0.clone();
        let sampler = task::spawn(sample(run.clone()));
        let steps = task::spawn(run.clone().execute_steps());
        for (phase, load) in run.scenario.loads.iter().enumerate() {
            run.clients.clone().run(*load, phase as u64).await;
        }
        steps.await;
        task::sleep(POST_LOAD_TIME).await;
        run.finished.store(true, Ordering::Relaxed);
        sampler.await;
        guard
    }

    /// Returns the time since the start of the load.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn execute_steps(self: Arc<Self>) {
        let mut rng = StdRng::seed_from_u64(self.scenario.seed.into());
        let mut pending = Vec::new();
        for (index, step) in self.scenario.steps.iter().enumerate() {
            task::sleep(step.at.saturating_sub(self.now())).await;
            let mut running = Vec::new();
            for event in step.events.iter().cloned() {
                let (run, random) = (self.clone(), rng.random::<u32>() as usize);
                let event = task::spawn(async move { run.execute_event(event, random).await });
                running.push(event);
            }
            for event in running {
                pending.extend(event.await);
            }
            self.note(format!("step {} done", index + 1));
        }
        for event in pending {
            event.await;
        }
    }

    /// Executes an event; returns a task if a part of it, such as the end of a pause, comes later.
    /// `random` selects the node that gets a command.
    async fn execute_event(
        self: Arc<Self>,
        event: Event,
        random: usize,
    ) -> Option<task::JoinHandle<()>> {
        match event {
            Event::Kill(node) => self.kill(self.fleet.index(node.as_str())),
            Event::Pause(node, lasting) => {
                let node = self.fleet.index(node.as_str());
                return Some(self.pause(node, lasting));
            }
            Event::Restart(node) => self.restart(self.fleet.index(node.as_str())).await,
            Event::Stop(node) => {
                let node = self.fleet.index(node.as_str());
                return Some(self.shut_down(node));
            }
            Event::Drain(node) => self.drain(self.fleet.index(node.as_str())).await,
            Event::Upstream(node, behaviour) => {
                let member = &self.fleet.members[self.fleet.index(node.as_str())];
                member.change_behaviour(&behaviour_fields(behaviour)).await;
            }
            Event::Store(event) => self.fleet.change_store_faults(&store_fault_fields(event)).await,
            Event::Cut { from, to, lasting } => return self.partition(&from, &to, lasting),
            Event::Heal(one, other) => self.heal(&one, &other),
            Event::Delay { from, to, by, lasting } => {
                self.fleet.links.set_delay(&from, &to, by.as_secs_f64() * 1_000.0);
                let end = lasting?;
                return Some(task::spawn(async move {
                    task::sleep(end).await;
                    self.fleet.links.set_delay(&from, &to, 0.0);
                }));
            }
            Event::Command(command) => self.issue_command(command, random).await,
            Event::Start { .. } | Event::BadVersion { .. } | Event::Load(_) => {
                panic!("this step is not supported by the runner: {event}")
            }
        }
        None
    }

    fn kill(&self, node: usize) {
        self.mark_unreachable(node, UnreachableCause::Stopped);
        self.fleet.members[node].kill();
    }

    fn pause(self: Arc<Self>, node: usize, lasting: Duration) -> task::JoinHandle<()> {
        self.mark_unreachable(node, UnreachableCause::Paused);
        self.fleet.members[node].signal("STOP");
        task::spawn(async move {
            task::sleep(lasting).await;
            self.fleet.members[node].signal("CONT");
            self.mark_reachable(node, UnreachableCause::Paused);
        })
    }

    /// Kills a node and starts it again, with a cold upstream.
    ///
    /// The stand-in for the upstream keeps running, so that its record covers both incarnations; it
    /// announces a new instance that is cold, as after a restart.
    async fn restart(&self, node: usize) {
        let member = &self.fleet.members[node];
        self.kill(node);
        member.change_behaviour(&json!({ "turn_cold": "announced" })).await;
        self.fleet.start_node(node).expect("the node starts again");
        let end = self.now() + RESTART_TIMEOUT;
        while member.revision().await.is_none() {
            if self.now() > end {
                return self
                    .note(format!("{} did not get ready in time after its restart", member.name));
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        self.mark_reachable(node, UnreachableCause::Stopped);
    }

    fn shut_down(self: Arc<Self>, node: usize) -> task::JoinHandle<()> {
        let member = &self.fleet.members[node];
        self.history.lock().unwrap().drains.push((node, self.now()));
        self.mark_unreachable(node, UnreachableCause::Stopped);
        member.signal("TERM");
        task::spawn(async move {
            let member = &self.fleet.members[node];
            let exited = member.wait_for_exit().await;
            self.note(format!("{} exited in time: {exited}", member.name));
            if !exited {
                self.history.lock().unwrap().shutdown_timeouts.push(member.name.clone());
            }
        })
    }

    async fn drain(&self, node: usize) {
        self.fleet.members[node].change_behaviour(&json!({ "draining": true })).await;
        self.history.lock().unwrap().drains.push((node, self.now()));
    }

    fn partition(
        self: Arc<Self>,
        one: &str,
        other: &str,
        lasting: Option<Duration>,
    ) -> Option<task::JoinHandle<()>> {
        self.fleet.links.set_partitioned(one, other, true);
        for node in self.fleet.links.isolated_nodes(one, other) {
            self.mark_unreachable(node, UnreachableCause::Partitioned);
        }
        let (one, other) = (one.to_owned(), other.to_owned());
        let lasting = lasting?;
        Some(task::spawn(async move {
            task::sleep(lasting).await;
            self.heal(&one, &other);
        }))
    }

    fn heal(&self, one: &str, other: &str) {
        self.fleet.links.set_partitioned(one, other, false);
        for node in self.fleet.links.isolated_nodes(one, other) {
            self.mark_reachable(node, UnreachableCause::Partitioned);
        }
    }

    /// Sends a command to a reachable node, selected by `random`. If it changes the state of a
    /// zone, the upstreams of the zone are told, so that they count requests that run late.
    async fn issue_command(&self, command: Command, random: usize) {
        let reachable: Vec<_> = {
            let history = self.history.lock().unwrap();
            let is_unreachable = |node: &usize| {
                history.unreachable.iter().any(|period| period.node == *node && period.to.is_none())
            };
            (0..self.fleet.members.len()).filter(|node| !is_unreachable(node)).collect()
        };
        let member = &self.fleet.members[reachable[random % reachable.len()]];
        let answer = member.ask(&command.to_string()).await.unwrap_or(Value::Null);
        let result = answer["result"].as_str().unwrap_or("no answer").to_owned();
        if let (Command::Zone(zone, intent), "accepted") = (&command, result.as_str()) {
            let fields = json!({ "zone_out": *intent == ZoneIntent::Out });
            for member in self.fleet.members.iter().filter(|m| m.zone == zone.as_str()) {
                member.change_behaviour(&fields).await;
            }
        }
        let issued = IssuedCommand {
            command,
            node: member.name.clone(),
            answered_at: self.now(),
            result,
            revision: answer["revision"].as_u64(),
        };
        self.history.lock().unwrap().commands.push(issued);
    }

    fn mark_unreachable(&self, node: usize, cause: UnreachableCause) {
        let period = UnreachablePeriod { node, cause, from: self.now(), to: None };
        self.history.lock().unwrap().unreachable.push(period);
    }

    fn mark_reachable(&self, node: usize, cause: UnreachableCause) {
        let now = self.now();
        let mut history = self.history.lock().unwrap();
        let is_open = |period: &&mut UnreachablePeriod| {
            period.node == node && period.cause == cause && period.to.is_none()
        };
        if let Some(period) = history.unreachable.iter_mut().find(is_open) {
            period.to = Some(now);
        }
    }

    fn note(&self, text: String) {
        let text = format!("{:6.2}s {text}", self.now().as_secs_f64());
        self.history.lock().unwrap().notes.push(text);
    }
}

/// Returns the fields of the body of `/admin/behaviour` that a behaviour changes.
fn behaviour_fields(behaviour: Behaviour) -> Value {
    match behaviour {
        Behaviour::Normal => json!({ "slow_factor": 1.0, "fail_share": 0.0, "fail_fast": false }),
        Behaviour::ColdAgain => json!({ "turn_cold": "silent" }),
        Behaviour::Faulty(Fault::Slow(factor)) => {
            json!({ "slow_factor": f64::from(factor.0) / 100.0 })
        }
        Behaviour::Faulty(Fault::Fails(ppm)) => json!({ "fail_share": f64::from(ppm) / 1e6 }),
        Behaviour::Faulty(Fault::FailsFast) => json!({ "fail_fast": true }),
    }
}

/// Returns the fields of the body of `/admin/faults` that an event changes.
fn store_fault_fields(event: StoreEvent) -> Value {
    match event {
        StoreEvent::Down => json!({ "down": true }),
        StoreEvent::Up => json!({ "down": false, "delay_ms": 0 }),
        StoreEvent::Slow(by) => json!({ "delay_ms": by.as_millis() as u64 }),
        StoreEvent::LosesAnswers(count) => json!({ "lose_answers": count }),
    }
}
