//! One run of a script: starts the fleet, sends the load and carries the steps out.

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
    watch::{Samples, watch},
};

/// Time that is watched after the load, so that late runs are seen.
const AFTERMATH: Duration = Duration::from_millis(500);

/// Time in which a node that was started again takes work.
const RESTART_TIMEOUT: Duration = Duration::from_secs(10);

/// Why a node did not hear the others for a while.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Why {
    Ended,
    Paused,
    Cut,
}

/// A time in which a node did not hear the others; without an end, until the end of the run.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    pub node: usize,
    pub why: Why,
    pub from: Duration,
    pub to: Option<Duration>,
}

/// An operator's command and its answer.
#[derive(Clone, Debug)]
pub struct Given {
    pub command: Command,
    pub node: String,
    pub answered: Duration,
    pub result: String,
    pub revision: Option<u64>,
}

/// What happened, for the checks and the messages of failed ones.
#[derive(Default)]
pub struct Facts {
    pub absences: Vec<Absence>,
    pub given: Vec<Given>,
    /// Node and time of each drain or planned stop.
    pub leaving: Vec<(usize, Duration)>,
    /// Nodes that did not end in time after SIGTERM.
    pub not_stopped: Vec<String>,
    pub notes: Vec<String>,
}

pub struct Run {
    pub scenario: Scenario,
    pub fleet: Fleet,
    pub clients: Arc<Clients>,
    pub facts: Mutex<Facts>,
    pub samples: Arc<Samples>,
    pub start: Instant,
    pub over: AtomicBool,
}

/// A run whose processes are ended on drop, also while tasks still hold the run.
pub struct Running(pub Arc<Run>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.over.store(true, Ordering::Relaxed);
        self.0.fleet.end();
    }
}

impl Run {
    /// Runs a script to its end.
    pub async fn of(scenario: Scenario) -> Running {
        let fleet = Fleet::start(&scenario).expect("the fleet starts");
        let start = Instant::now();
        let nodes = fleet.members.iter().map(|member| member.node.client).collect();
        let clients = Arc::new(Clients::new(scenario.seed, nodes, start));
        let facts = Mutex::new(Facts::default());
        let samples = Arc::default();
        let over = AtomicBool::new(false);
        let run = Self { scenario, fleet, clients, facts, samples, start, over };
        let running = Running(Arc::new(run));
        let run = running.0.clone();
        let watcher = task::spawn(watch(run.clone()));
        let steps = task::spawn(run.clone().steps());
        for (phase, load) in run.scenario.loads.iter().enumerate() {
            run.clients.clone().run(*load, phase as u64).await;
        }
        steps.await;
        task::sleep(AFTERMATH).await;
        run.over.store(true, Ordering::Relaxed);
        watcher.await;
        running
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    async fn steps(self: Arc<Self>) {
        let mut rng = StdRng::seed_from_u64(self.scenario.seed.into());
        let mut lasting = Vec::new();
        for (index, step) in self.scenario.steps.iter().enumerate() {
            task::sleep(step.at.saturating_sub(self.now())).await;
            let mut running = Vec::new();
            for event in step.events.iter().cloned() {
                let (run, random) = (self.clone(), rng.random::<u32>() as usize);
                let event = task::spawn(async move { run.event(event, random).await });
                running.push(event);
            }
            for event in running {
                lasting.extend(event.await);
            }
            self.note(format!("step {} done", index + 1));
        }
        for event in lasting {
            event.await;
        }
    }

    /// Carries an event out; what is to happen later is returned as a task.
    async fn event(self: Arc<Self>, event: Event, random: usize) -> Option<task::JoinHandle<()>> {
        match event {
            Event::Kill(node) => self.kill(self.fleet.index(node.as_str())),
            Event::Pause(node, lasting) => {
                let node = self.fleet.index(node.as_str());
                return Some(self.pause(node, lasting));
            }
            Event::Restart(node) => self.restart(self.fleet.index(node.as_str())).await,
            Event::Stop(node) => {
                let node = self.fleet.index(node.as_str());
                return Some(self.stop(node));
            }
            Event::Drain(node) => self.drain(self.fleet.index(node.as_str())).await,
            Event::Upstream(node, behaviour) => {
                let member = &self.fleet.members[self.fleet.index(node.as_str())];
                member.behave(&upstream_fields(behaviour)).await;
            }
            Event::Store(event) => self.fleet.store_faults(&store_fields(event)).await,
            Event::Cut { from, to, lasting } => return self.cut(&from, &to, lasting),
            Event::Heal(one, other) => self.heal(&one, &other),
            Event::Delay { from, to, by, lasting } => {
                self.fleet.links.set_delay(&from, &to, by.as_secs_f64() * 1_000.0);
                let end = lasting?;
                return Some(task::spawn(async move {
                    task::sleep(end).await;
                    self.fleet.links.set_delay(&from, &to, 0.0);
                }));
            }
            Event::Command(command) => self.command(command, random).await,
            Event::Start { .. } | Event::BadVersion { .. } | Event::Load(_) => {
                panic!("this step is not supported by the runner: {event}")
            }
        }
        None
    }

    fn kill(&self, node: usize) {
        self.absent(node, Why::Ended);
        self.fleet.members[node].kill();
    }

    fn pause(self: Arc<Self>, node: usize, lasting: Duration) -> task::JoinHandle<()> {
        self.absent(node, Why::Paused);
        self.fleet.members[node].signal("STOP");
        task::spawn(async move {
            task::sleep(lasting).await;
            self.fleet.members[node].signal("CONT");
            self.present(node, Why::Paused);
        })
    }

    /// Ends a node without notice and starts it again, with an upstream that is cold.
    ///
    /// The stand-in keeps running, so that its record covers both lives; it announces a new
    /// instance that is cold, as after a restart.
    async fn restart(&self, node: usize) {
        let member = &self.fleet.members[node];
        self.kill(node);
        member.behave(&json!({ "turn_cold": "announced" })).await;
        self.fleet.start_node(node).expect("the node starts again");
        let end = self.now() + RESTART_TIMEOUT;
        while member.revision().await.is_none() {
            if self.now() > end {
                return self.note(format!("{} did not get ready again", member.name));
            }
            task::sleep(Duration::from_millis(20)).await;
        }
        self.present(node, Why::Ended);
    }

    fn stop(self: Arc<Self>, node: usize) -> task::JoinHandle<()> {
        let member = &self.fleet.members[node];
        self.facts.lock().unwrap().leaving.push((node, self.now()));
        self.absent(node, Why::Ended);
        member.signal("TERM");
        task::spawn(async move {
            let member = &self.fleet.members[node];
            let stopped = member.stopped().await;
            self.note(format!("{} has ended: {stopped}", member.name));
            if !stopped {
                self.facts.lock().unwrap().not_stopped.push(member.name.clone());
            }
        })
    }

    async fn drain(&self, node: usize) {
        self.fleet.members[node].behave(&json!({ "draining": true })).await;
        self.facts.lock().unwrap().leaving.push((node, self.now()));
    }

    fn cut(
        self: Arc<Self>,
        one: &str,
        other: &str,
        lasting: Option<Duration>,
    ) -> Option<task::JoinHandle<()>> {
        self.fleet.links.set_cut(one, other, true);
        for node in self.fleet.links.isolated(one, other) {
            self.absent(node, Why::Cut);
        }
        let (one, other) = (one.to_owned(), other.to_owned());
        let lasting = lasting?;
        Some(task::spawn(async move {
            task::sleep(lasting).await;
            self.heal(&one, &other);
        }))
    }

    fn heal(&self, one: &str, other: &str) {
        self.fleet.links.set_cut(one, other, false);
        for node in self.fleet.links.isolated(one, other) {
            self.present(node, Why::Cut);
        }
    }

    /// Gives a command at a node that hears the others.
    async fn command(&self, command: Command, random: usize) {
        let heard: Vec<_> = {
            let facts = self.facts.lock().unwrap();
            let absent =
                |node: &usize| facts.absences.iter().any(|a| a.node == *node && a.to.is_none());
            (0..self.fleet.members.len()).filter(|node| !absent(node)).collect()
        };
        let member = &self.fleet.members[heard[random % heard.len()]];
        let answer = member.ask(&command.to_string()).await.unwrap_or(Value::Null);
        let result = answer["result"].as_str().unwrap_or("no answer").to_owned();
        if let (Command::Zone(zone, intent), "accepted") = (&command, result.as_str()) {
            let out = json!({ "zone_out": *intent == ZoneIntent::Out });
            for member in self.fleet.members.iter().filter(|m| m.zone == zone.as_str()) {
                member.behave(&out).await;
            }
        }
        let given = Given {
            command,
            node: member.name.clone(),
            answered: self.now(),
            result,
            revision: answer["revision"].as_u64(),
        };
        self.facts.lock().unwrap().given.push(given);
    }

    fn absent(&self, node: usize, why: Why) {
        let absence = Absence { node, why, from: self.now(), to: None };
        self.facts.lock().unwrap().absences.push(absence);
    }

    fn present(&self, node: usize, why: Why) {
        let now = self.now();
        let mut facts = self.facts.lock().unwrap();
        let open = |a: &&mut Absence| a.node == node && a.why == why && a.to.is_none();
        if let Some(absence) = facts.absences.iter_mut().find(open) {
            absence.to = Some(now);
        }
    }

    fn note(&self, text: String) {
        let text = format!("{:6.2}s {text}", self.now().as_secs_f64());
        self.facts.lock().unwrap().notes.push(text);
    }
}

fn upstream_fields(behaviour: Behaviour) -> Value {
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

fn store_fields(event: StoreEvent) -> Value {
    match event {
        StoreEvent::Down => json!({ "down": true }),
        StoreEvent::Up => json!({ "down": false, "delay_ms": 0 }),
        StoreEvent::Slow(by) => json!({ "delay_ms": by.as_millis() as u64 }),
        StoreEvent::LosesAnswers(count) => json!({ "lose_answers": count }),
    }
}
