//! Event loop of the queueing model: clients, ingress nodes, owners and upstreams of one service.

use std::{
    cmp::Reverse,
    collections::BinaryHeap,
    time::{Duration, Instant},
};

use oleandertiller_model::{ErrorKind, Lifecycle, LoadReport, NodeName, Outcome, ZoneName};
use oleandertiller_routing::{
    budget::Budget,
    limit::{Admission, AdmissionRequest, Completion, Decisions},
    outcome::may_retry,
    selection::{Candidate, Selector},
};
use rand::{Rng, SeedableRng, rngs::StdRng};

use super::{
    scenario::{Fault, KINDS, Scenario},
    server::Server,
};

const ZONES: [&str; 3] = ["bayangol", "sukhbaatar", "khan-uul"];
const SAME_ZONE_DELAY: Duration = Duration::from_micros(200);
const OTHER_ZONE_DELAY: Duration = Duration::from_micros(1_500);
const TICK_INTERVAL: Duration = Duration::from_millis(5);
const MEASURING_SHARE_PPM: u32 = 10_000;

/// How one request ended.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub kind: usize,
    pub arrived: Duration,
    /// Time to a correct answer within the deadline.
    pub answered: Option<Duration>,
}

/// Result of one run.
#[derive(Debug)]
pub struct Run {
    pub records: Vec<Record>,
    pub over_capacity: u64,
    pub probes: u64,
    /// For each second, each server's requests started and failed so far and its limit.
    pub trace: Vec<Vec<(u64, u64, u32)>>,
}

#[derive(Debug)]
struct Request {
    kind: usize,
    ingress: usize,
    arrived: Duration,
    tried: Vec<NodeName>,
    sent: Duration,
}

#[derive(Debug)]
enum Event {
    Arrive,
    AtOwner { req: usize, server: usize },
    Finish { req: usize, server: usize, completion: Completion, outcome: Outcome },
    Reply { req: usize, server: usize, outcome: Outcome, load: LoadReport },
    ProbeAtOwner { ingress: usize, server: usize },
    ProbeReply { ingress: usize, server: usize, load: LoadReport },
    Tick,
    Announce(Lifecycle, bool),
}

struct Ingress {
    selector: Selector,
    retries: Budget,
    measuring: Budget,
}

pub struct Model {
    scenario: Scenario,
    base: Instant,
    now: Duration,
    schedule: BinaryHeap<Reverse<(Duration, u64)>>,
    events: Vec<Option<Event>>,
    ingress: Vec<Ingress>,
    servers: Vec<Server>,
    requests: Vec<Request>,
    arrival_rng: StdRng,
    service_rng: StdRng,
    selection_rng: StdRng,
    run: Run,
    traced_seconds: u64,
}

fn node(server: usize) -> NodeName {
    NodeName::from(format!("node-{server}").as_str())
}

fn server_of(node: &NodeName) -> usize {
    node.as_str()["node-".len()..].parse().expect("made by `node`")
}

fn zone(index: usize) -> ZoneName {
    ZoneName::from(ZONES[index % ZONES.len()])
}

fn one_way_delay(ingress: usize, server: usize) -> Duration {
    let same = ingress % ZONES.len() == server % ZONES.len();
    if same { SAME_ZONE_DELAY } else { OTHER_ZONE_DELAY }
}

impl Model {
    pub fn run(scenario: Scenario) -> Run {
        let base = Instant::now();
        let candidates: Vec<_> = (0..scenario.servers)
            .map(|server| Candidate {
                node: node(server),
                incarnation: 1,
                zone: zone(server),
                version: "v1".into(),
                eligible: true,
            })
            .collect();
        let ingress = (0..scenario.ingress_nodes)
            .map(|index| {
                let mut selector = Selector::new(scenario.selection.clone(), zone(index));
                selector.set_ingress_nodes(scenario.ingress_nodes as u32);
                selector.set_candidates(candidates.clone(), base);
                Ingress {
                    selector,
                    retries: Budget::for_retries(base),
                    measuring: Budget::for_measuring(MEASURING_SHARE_PPM, base),
                }
            })
            .collect();
        let seeded = |stream| StdRng::seed_from_u64(scenario.seed * 1_000 + stream);
        let mut model = Self {
            base,
            now: Duration::ZERO,
            schedule: BinaryHeap::new(),
            events: Vec::new(),
            ingress,
            servers: (0..scenario.servers)
                .map(|index| Server::new(&scenario, index, base))
                .collect(),
            requests: Vec::new(),
            arrival_rng: seeded(0),
            service_rng: seeded(1),
            selection_rng: seeded(2),
            run: Run { records: Vec::new(), over_capacity: 0, probes: 0, trace: Vec::new() },
            traced_seconds: 0,
            scenario,
        };
        model.run_events();
        model.run
    }

    fn run_events(&mut self) {
        self.schedule_at(Duration::ZERO, Event::Arrive);
        self.schedule_at(Duration::ZERO, Event::Tick);
        if let Fault::Restarts { warm_up } = self.scenario.fault {
            let at = self.scenario.fault_at;
            self.schedule_at(at, Event::Announce(Lifecycle::Cold, true));
            self.schedule_at(at + warm_up, Event::Announce(Lifecycle::Serving, false));
        }
        while let Some(Reverse((at, id))) = self.schedule.pop() {
            self.now = at;
            let event = self.events[id as usize].take().expect("each event is handled once");
            self.handle(event);
        }
        self.run.over_capacity = self.servers.iter().map(|server| server.over_capacity).sum();
    }

    fn schedule_at(&mut self, at: Duration, event: Event) {
        self.schedule.push(Reverse((at, self.events.len() as u64)));
        self.events.push(Some(event));
    }

    fn schedule_after(&mut self, delay: Duration, event: Event) {
        self.schedule_at(self.now + delay, event);
    }

    fn instant(&self) -> Instant {
        self.base + self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AtOwner { req, server } => self.at_owner(req, server),
            Event::Finish { req, server, completion, outcome } => {
                self.finish(req, server, completion, outcome)
            }
            Event::Reply { req, server, outcome, load } => self.reply(req, server, outcome, load),
            Event::ProbeAtOwner { ingress, server } => {
                let load = self.servers[server].report();
                let reply = Event::ProbeReply { ingress, server, load };
                self.schedule_after(one_way_delay(ingress, server), reply);
            }
            Event::ProbeReply { ingress, server, load } => {
                let now = self.instant();
                self.ingress[ingress].selector.on_probe(&node(server), Some(load), now);
            }
            Event::Tick => self.tick(),
            Event::Announce(lifecycle, restarted) => {
                let now = self.instant();
                let slots = self.scenario.slots;
                self.servers[0].limiter.on_announce(lifecycle, slots, restarted, now);
            }
        }
    }

    fn arrive(&mut self) {
        if self.now >= self.scenario.end {
            return;
        }
        let drawn: u32 = self.arrival_rng.random_range(0..100);
        let ingress = self.arrival_rng.random_range(0..self.scenario.ingress_nodes);
        let gap = -(1.0 - self.arrival_rng.random::<f64>()).ln() / self.scenario.rate(self.now);
        self.schedule_after(Duration::from_secs_f64(gap), Event::Arrive);
        let mut below = 0;
        let kind = KINDS.iter().position(|kind| {
            below += kind.percent;
            drawn < below
        });
        let kind = kind.expect("percentages add up to 100");
        let req = self.requests.len();
        let arrived = self.now;
        self.requests.push(Request { kind, ingress, arrived, tried: Vec::new(), sent: arrived });
        self.run.records.push(Record { kind, arrived, answered: None });
        self.ingress[ingress].retries.on_call();
        self.ingress[ingress].measuring.on_call();
        self.send(req);
    }

    fn deadline(&self, req: usize) -> Duration {
        self.requests[req].arrived + KINDS[self.requests[req].kind].deadline
    }

    fn send(&mut self, req: usize) {
        let now = self.instant();
        let request = &mut self.requests[req];
        let selector = &mut self.ingress[request.ingress].selector;
        let Some(chosen) = selector.pick(&mut self.selection_rng, &request.tried, None, now) else {
            return;
        };
        request.sent = self.now;
        let server = server_of(&chosen.node);
        request.tried.push(chosen.node);
        let delay = one_way_delay(request.ingress, server);
        self.schedule_after(delay, Event::AtOwner { req, server });
    }

    fn at_owner(&mut self, req: usize, server: usize) {
        let now = self.instant();
        let kind = KINDS[self.requests[req].kind];
        let deadline = self.base + self.deadline(req);
        let request =
            AdmissionRequest { ticket: req as u64, weight: kind.weight, depth: 0, deadline };
        match self.servers[server].limiter.admit(request, now) {
            Admission::Run => self.start(req, server),
            Admission::Wait => {
                self.servers[server].waiting.insert(request.ticket, req);
            }
            Admission::Refuse(kind) => self.answer(req, server, Outcome::NotRun(kind)),
        }
    }

    fn start(&mut self, req: usize, server: usize) {
        let (service_time, correct) = self.servers[server].start(&mut self.service_rng, self.now);
        let left = self.deadline(req).saturating_sub(self.now);
        let (took, completion, outcome) = if service_time > left {
            (
                left,
                self.servers[server].limiter.classify_timeout(left),
                Outcome::Unknown(ErrorKind::UpstreamTimeout),
            )
        } else if correct {
            (service_time, Completion::Success(service_time), Outcome::Done)
        } else {
            let lost = Outcome::Unknown(ErrorKind::ConnectionLost);
            (service_time, Completion::Failure(service_time), lost)
        };
        self.schedule_after(took, Event::Finish { req, server, completion, outcome });
    }

    fn finish(&mut self, req: usize, server: usize, completion: Completion, outcome: Outcome) {
        let now = self.instant();
        if matches!(completion, Completion::Failure(_)) {
            self.servers[server].failed += 1;
        }
        let decisions = self.servers[server].limiter.release(completion, now);
        self.decide(server, decisions);
        self.answer(req, server, outcome);
    }

    fn decide(&mut self, server: usize, decisions: Decisions) {
        for decision in decisions {
            let req = self.servers[server].waiting.remove(&decision.ticket);
            let req = req.expect("a decision is for a waiting request");
            match decision.admission {
                Admission::Run => self.start(req, server),
                Admission::Refuse(kind) => self.answer(req, server, Outcome::NotRun(kind)),
                Admission::Wait => unreachable!("a decision ends the wait"),
            }
        }
    }

    fn answer(&mut self, req: usize, server: usize, outcome: Outcome) {
        let load = self.servers[server].report();
        let delay = one_way_delay(self.requests[req].ingress, server);
        self.schedule_after(delay, Event::Reply { req, server, outcome, load });
    }

    fn reply(&mut self, req: usize, server: usize, outcome: Outcome, load: LoadReport) {
        let now = self.instant();
        let request = &self.requests[req];
        let ingress = &mut self.ingress[request.ingress];
        let elapsed = self.now - request.sent;
        ingress.selector.on_end(&node(server), outcome, elapsed, Some(load), now);
        let in_time = self.now <= self.deadline(req);
        let safety = KINDS[self.requests[req].kind].safety;
        if outcome == Outcome::Done && in_time {
            self.run.records[req].answered = Some(self.now - self.requests[req].arrived);
            return;
        }
        let ingress = &mut self.ingress[self.requests[req].ingress];
        if in_time && may_retry(outcome, safety) && ingress.retries.try_take(now) {
            self.send(req);
        }
    }

    fn tick(&mut self) {
        let now = self.instant();
        for server in 0..self.servers.len() {
            let decisions = self.servers[server].limiter.expire(now);
            self.decide(server, decisions);
        }
        for index in 0..self.ingress.len() {
            let ingress = &mut self.ingress[index];
            let Some(target) = ingress.selector.probe_target(now) else { continue };
            if ingress.measuring.try_take(now) {
                self.run.probes += 1;
                let server = server_of(&target.node);
                let probe = Event::ProbeAtOwner { ingress: index, server };
                self.schedule_after(one_way_delay(index, server), probe);
            }
        }
        if self.now.as_secs() >= self.traced_seconds {
            self.traced_seconds += 1;
            let row = |s: &Server| (s.started, s.failed, s.limiter.limit());
            self.run.trace.push(self.servers.iter().map(row).collect());
        }
        let waiting = self.servers.iter().any(|server| !server.waiting.is_empty());
        if waiting || self.now < self.scenario.end {
            self.schedule_after(TICK_INTERVAL, Event::Tick);
        }
    }
}
