//! A model of a fleet whose clients ask for more than its upstreams can run. Ingresses use their
//! view of the capacity and owners their queues as in a node; messages take no time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    admission_queue::{
        Admission, AdmissionQueue, AdmissionRequest, ColdRate, Dequeued, PriorityClass, Ticket,
        UpstreamLoad,
    },
    capacity_view::{CapacityView, Need, Size, Verdict},
    placement::shortest_wait,
    retry_after::retry_after,
    sender_share::SenderId,
};
use oleandertiller_model::{NodeName, ServiceName, ZoneName};
use rand::{Rng, SeedableRng, rngs::StdRng, seq::SliceRandom};

const STEP: Duration = Duration::from_millis(2);

/// Requests of one route.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    pub rank: u32,
    pub per_second: f64,
    pub work: Duration,
    pub objective: Duration,
    pub deadline: Duration,
    /// Whether they are nested calls, whose parents fail with them.
    pub nested: bool,
}

/// A fleet and its load.
#[derive(Clone, Debug)]
pub struct Crowd {
    pub upstreams: usize,
    pub slots: u32,
    pub ingresses: usize,
    /// Requests per second to each upstream while it is cold, which it is throughout.
    pub cold_rate: Option<f64>,
    pub loads: Vec<Load>,
    /// Share of all requests that arrive at the first ingress, or none if all get the same number.
    pub first_ingress_share: Option<f64>,
    pub duration: Duration,
    /// Whether ingresses use their view of the capacity.
    pub use_view: bool,
}

/// What the clients of a route got.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    pub requests: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused_again: u32,
    pub offers: u32,
    /// Requests through the first ingress, and how many of them were answered.
    pub first_ingress: (u32, u32),
}

impl Outcome {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.requests.max(1))
    }

    pub fn served_share(&self) -> f64 {
        f64::from(self.in_time + self.late) / f64::from(self.requests.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Pending {
    load: usize,
    ingress: usize,
    /// When its client sent it first, and when it sent this attempt.
    sent: Instant,
    arrived: Instant,
    next: Instant,
    returned: bool,
    decided: bool,
}

struct Model {
    crowd: Crowd,
    rng: StdRng,
    service: ServiceName,
    routes: Vec<Arc<str>>,
    nodes: Vec<NodeName>,
    zones: Vec<ZoneName>,
    size: Size,
    queues: Vec<AdmissionQueue>,
    slowness: Vec<f64>,
    views: Vec<CapacityView>,
    ends: BinaryHeap<Reverse<(Instant, usize, Duration)>>,
    pending: Vec<Pending>,
    waiting: HashMap<(usize, Ticket), Pending>,
    results: Vec<Outcome>,
}

/// Runs a crowd and returns the result of each load.
pub fn run(crowd: &Crowd, seed: u64) -> Vec<Outcome> {
    let start = Instant::now();
    let mut queues = vec![AdmissionQueue::default(); crowd.upstreams];
    for queue in &mut queues {
        queue.set_capacity(crowd.slots, None);
        if let Some(rate) = crowd.cold_rate {
            queue.set_cold_limit(crowd.duration, ColdRate::Limited(rate), start);
        }
    }
    let zones: Vec<ZoneName> =
        (0..crowd.upstreams).map(|index| format!("zone-{}", index % 3).as_str().into()).collect();
    let mut owners = BTreeMap::new();
    for zone in &zones {
        *owners.entry(zone.clone()).or_default() += 1;
    }
    let mut model = Model {
        zones,
        size: Size { owners, senders: crowd.ingresses },
        rng: StdRng::seed_from_u64(seed),
        service: "service".into(),
        routes: (0..crowd.loads.len()).map(|index| format!("route-{index}").into()).collect(),
        nodes: (0..crowd.ingresses.max(crowd.upstreams))
            .map(|index| format!("node-{index}").as_str().into())
            .collect(),
        queues,
        slowness: vec![1.0; crowd.upstreams],
        views: vec![CapacityView::default(); crowd.ingresses],
        ends: BinaryHeap::new(),
        pending: Vec::new(),
        waiting: HashMap::new(),
        results: vec![Outcome::default(); crowd.loads.len()],
        crowd: crowd.clone(),
    };
    let (mut now, mut drawn_at) = (start, None);
    while now < start + crowd.duration {
        if drawn_at.is_none_or(|at| now >= at + Duration::from_millis(150)) {
            drawn_at = Some(now);
            let rng = &mut model.rng;
            model.slowness.fill_with(|| if rng.random_bool(0.25) { 5.0 } else { 1.0 });
        }
        model.step(now);
        now += STEP;
    }
    model.results
}

impl Model {
    fn work_factor(&self) -> f64 {
        if self.crowd.cold_rate.is_some() { 2.0 } else { 1.0 }
    }

    fn step(&mut self, now: Instant) {
        for owner in 0..self.queues.len() {
            let slowness = Some((100.0 * self.slowness[owner] * self.work_factor()) as u32);
            self.queues[owner].on_load(UpstreamLoad { slowness, ..UpstreamLoad::default() }, now);
        }
        while self.ends.peek().is_some_and(|end| end.0.0 <= now) {
            let Some(Reverse((_, owner, took))) = self.ends.pop() else { break };
            self.queues[owner].release(Some(took));
        }
        for owner in 0..self.queues.len() {
            self.dequeue(owner, now);
        }
        for load in 0..self.crowd.loads.len() {
            let mut expected = self.crowd.loads[load].per_second * STEP.as_secs_f64();
            while expected > 0.0 {
                if self.rng.random_bool(expected.min(1.0)) {
                    self.arrive(load, now);
                }
                expected -= 1.0;
            }
        }
        for request in std::mem::take(&mut self.pending) {
            match request.next <= now {
                true => self.place(request, now),
                false => self.pending.push(request),
            }
        }
    }

    fn arrive(&mut self, load: usize, now: Instant) {
        let ingresses = self.crowd.ingresses;
        let ingress = match self.crowd.first_ingress_share {
            Some(share) if self.rng.random_bool(share) => 0,
            Some(_) => self.rng.random_range(1..ingresses),
            None => self.rng.random_range(0..ingresses),
        };
        self.results[load].requests += 1;
        self.results[load].first_ingress.0 += u32::from(ingress == 0);
        self.pending.push(Pending {
            load,
            ingress,
            sent: now,
            arrived: now,
            next: now,
            returned: false,
            decided: false,
        });
    }

    fn dequeue(&mut self, owner: usize, now: Instant) {
        while let Some(dequeued) = self.queues[owner].dequeue(now) {
            match dequeued {
                Dequeued::Run(ticket) => {
                    self.queues[owner].confirm(ticket);
                    if let Some(request) = self.waiting.remove(&(owner, ticket)) {
                        self.start(request, owner, now);
                    }
                }
                Dequeued::Refuse(ticket, _) => {
                    if let Some(request) = self.waiting.remove(&(owner, ticket)) {
                        self.learn(&request, owner, now);
                        self.pending.push(request);
                    }
                }
            }
        }
    }

    fn start(&mut self, request: Pending, owner: usize, now: Instant) {
        let load = self.crowd.loads[request.load];
        let work = load.work.mul_f64(self.work_factor() * self.slowness[owner]);
        self.ends.push(Reverse((now + work, owner, work)));
        let took = now + work - request.sent;
        let result = &mut self.results[request.load];
        result.in_time += u32::from(took <= load.objective);
        result.late += u32::from(took > load.objective && took <= load.deadline);
        result.first_ingress.1 += u32::from(request.ingress == 0 && took <= load.deadline);
    }

    fn class(&self, request: &Pending, now: Instant) -> PriorityClass {
        let load = self.crowd.loads[request.load];
        let expected = now - request.sent + load.work.mul_f64(self.work_factor());
        match (load.nested, expected > load.objective) {
            (true, _) => PriorityClass::Nested,
            (false, true) => PriorityClass::Late,
            (false, false) => PriorityClass::Timely,
        }
    }

    fn learn(&mut self, request: &Pending, owner: usize, now: Instant) {
        let priority = (self.class(request, now), self.crowd.loads[request.load].rank);
        let state = self.queues[owner].state(priority.0, priority.1, now);
        let node = (&self.nodes[owner], &self.zones[owner]);
        self.views[request.ingress].on_state(&self.service, node, priority, state, now);
    }

    fn place(&mut self, mut request: Pending, now: Instant) {
        let load = self.crowd.loads[request.load];
        let class = self.class(&request, now);
        let remaining = (request.sent + load.deadline).saturating_duration_since(now);
        let wait_end = match load.nested {
            true => request.sent + load.deadline.mul_f64(0.8),
            false => request.arrived + load.objective.mul_f64(0.6),
        };
        let max_wait = wait_end.saturating_duration_since(now);
        let (service, route) = (self.service.clone(), self.routes[request.load].clone());
        let priority = (class, load.rank);
        let need = Need { service: &service, route: &route, priority, max_wait };
        if !request.decided && self.crowd.use_view && !load.nested {
            let draw = self.rng.random();
            let view = &mut self.views[request.ingress];
            if let Verdict::Refuse { expected_wait, .. } = view.decide(&need, &self.size, now, draw)
            {
                return self.refuse(request, expected_wait, remaining, now);
            }
        }
        request.decided = true;
        let mut owners: Vec<usize> = (0..self.queues.len()).collect();
        owners.shuffle(&mut self.rng);
        let (mut states, mut full, mut asked) = (Vec::new(), 0, 0);
        for owner in owners {
            if asked == 6 {
                break;
            }
            let view = &self.views[request.ingress];
            if self.crowd.use_view && view.is_full(&self.nodes[owner], &need, now) {
                full += 1;
                if full > 2 {
                    continue;
                }
            }
            asked += 1;
            if self.admit(&request, owner, now, now) == Admission::Run {
                return self.start(request, owner, now);
            }
            self.learn(&request, owner, now);
            states.push((owner, self.queues[owner].state(class, load.rank, now)));
        }
        let Some(best) = shortest_wait(&states, max_wait) else { return };
        let (_, state) = states.iter().find(|(owner, _)| *owner == best).unwrap();
        if state.expected_wait >= max_wait {
            return self.refuse(request, state.expected_wait, remaining, now);
        }
        let late_from = (request.sent + load.objective)
            .checked_sub(load.work.mul_f64(self.work_factor()))
            .unwrap_or(now)
            .max(now + Duration::from_millis(15));
        let until = wait_end.min(now + Duration::from_millis(80));
        let until = if class == PriorityClass::Timely { until.min(late_from) } else { until };
        match self.admit(&request, best, until, now) {
            Admission::Run => self.start(request, best, now),
            Admission::Wait(ticket) => drop(self.waiting.insert((best, ticket), request)),
            Admission::Refuse(_) => {
                request.next = now + Duration::from_millis(10);
                self.pending.push(request);
            }
        }
    }

    fn admit(
        &mut self,
        request: &Pending,
        owner: usize,
        until: Instant,
        now: Instant,
    ) -> Admission {
        let load = self.crowd.loads[request.load];
        self.results[request.load].offers += 1;
        let admission_request = AdmissionRequest {
            rank: load.rank,
            deadline: request.sent + load.deadline,
            wait_until: until,
            allow_slow: now - request.arrived >= load.objective.mul_f64(0.15),
            class: self.class(request, now),
            at_most_once: false,
            sender: SenderId::new(&self.nodes[request.ingress]),
        };
        self.queues[owner].admit(admission_request, now)
    }

    fn refuse(&mut self, request: Pending, wait: Duration, remaining: Duration, now: Instant) {
        if request.returned || self.crowd.loads[request.load].nested {
            self.results[request.load].refused_again += u32::from(request.returned);
            return;
        }
        let at = now + retry_after(wait, remaining, self.rng.random());
        self.pending.push(Pending {
            arrived: at,
            next: at,
            returned: true,
            decided: false,
            ..request
        });
    }
}
