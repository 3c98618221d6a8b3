//! Simulated upstreams that can be slow, fail fast, turn cold, drain and restart.

use std::{cell::Cell, rc::Rc, time::Duration};

use oleandertiller_model::Lifecycle;

use crate::{
    driver::{Call, node::Node},
    executor::{Receiver, SIMULATION_PROCESS, TaskId, is_clearing, oneshot},
    simulation::Simulation,
};

/// One-way latency between an owner and its upstream.
pub(crate) const LOCAL_LATENCY: Duration = Duration::from_micros(100);

/// Largest number of requests that a cold upstream serves at once; any above it fail.
pub(crate) const MAX_IN_FLIGHT_COLD: u32 = 1;

/// The upstream of a node.
pub(crate) struct Upstream {
    pub slots: u32,
    /// Id of the running instance, incremented by each restart.
    pub instance: Cell<u64>,
    pub up: Cell<bool>,
    pub lifecycle: Cell<Lifecycle>,
    /// Whether it is cold without having announced it.
    pub unannounced_cold: Cell<bool>,
    pub in_flight: Cell<u32>,
    /// Factor by which the service time is multiplied.
    pub slowdown: Cell<u32>,
    /// Shares of requests that fail fast, and whose answer has a wrong id, is truncated or lost.
    pub fail_share: Cell<f64>,
    pub wrong_id_share: Cell<f64>,
    pub truncated_share: Cell<f64>,
    pub lost_share: Cell<f64>,
}

/// An answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamAnswer {
    pub id: u64,
    pub status: u16,
    pub token: u64,
    pub complete: bool,
}

/// A request in flight at an upstream; dropping it closes the connection and so cancels it.
pub(crate) struct Exchange {
    sim: Rc<Simulation>,
    task: TaskId,
    pub answer: Receiver<UpstreamAnswer>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !is_clearing() {
            self.sim.executor.abort(self.task);
        }
    }
}

/// Counts a request as in flight at one instance of an upstream, given by its index, until dropped.
struct InFlightGuard(Rc<Simulation>, usize, u64);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let upstream = &self.0.upstreams[self.1];
        if upstream.instance.get() == self.2 {
            upstream.in_flight.set(upstream.in_flight.get() - 1);
        }
    }
}

impl Upstream {
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            instance: Cell::new(1),
            up: Cell::new(true),
            lifecycle: Cell::new(Lifecycle::Serving),
            unannounced_cold: Cell::new(false),
            in_flight: Cell::new(0),
            slowdown: Cell::new(1),
            fail_share: Cell::new(0.0),
            wrong_id_share: Cell::new(0.0),
            truncated_share: Cell::new(0.0),
            lost_share: Cell::new(0.0),
        }
    }

    /// Starts a new instance; the requests that run at the old one are lost.
    pub fn restart(&self, lifecycle: Lifecycle) {
        self.instance.set(self.instance.get() + 1);
        self.in_flight.set(0);
        self.up.set(true);
        self.lifecycle.set(lifecycle);
        self.unannounced_cold.set(false);
    }

    pub fn stop(&self) {
        self.restart(Lifecycle::Absent);
        self.up.set(false);
    }

    fn is_cold(&self) -> bool {
        self.unannounced_cold.get() || self.lifecycle.get() == Lifecycle::Cold
    }
}

/// Sends a request to the upstream of a node.
pub(crate) fn exchange(node: &Node, call: &Call) -> Exchange {
    let sim = node.sim.clone();
    let (tx, answer) = oneshot(&sim.executor);
    let (index, call) = (node.index, call.clone());
    let task_sim = sim.clone();
    let task = sim.executor.spawn(SIMULATION_PROCESS, async move {
        if let Some(answer) = serve(task_sim, index, call).await {
            tx.send(answer);
        }
    });
    Exchange { sim, task, answer }
}

/// Runs a request at an upstream; returns `None` if the answer is lost.
async fn serve(sim: Rc<Simulation>, index: usize, call: Call) -> Option<UpstreamAnswer> {
    let upstream = &sim.upstreams[index];
    let instance = upstream.instance.get();
    upstream.in_flight.set(upstream.in_flight.get() + 1);
    let _in_flight = InFlightGuard(sim.clone(), index, instance);
    sim.checks.borrow_mut().on_request_start(&sim, index, &call);
    let overloaded = upstream.is_cold() && upstream.in_flight.get() > MAX_IN_FLIGHT_COLD;
    let failed = overloaded || sim.chance(upstream.fail_share.get());
    let micros = if failed { 300 } else { sim.draw(1_000..12_000) };
    let cold_factor = if upstream.is_cold() { 3 } else { 1 };
    sim.executor
        .sleep(Duration::from_micros(micros * u64::from(upstream.slowdown.get() * cold_factor)))
        .await;
    if upstream.instance.get() != instance || sim.chance(upstream.lost_share.get()) {
        return None;
    }
    let mut answer = UpstreamAnswer {
        id: call.id,
        status: if failed { 500 } else { 200 },
        token: call.token,
        complete: true,
    };
    if sim.chance(upstream.wrong_id_share.get()) {
        answer = UpstreamAnswer { id: call.id + 1, token: call.token + 1, ..answer };
    }
    if sim.chance(upstream.truncated_share.get()) {
        answer.complete = false;
    }
    Some(answer)
}

/// Sends the announcement of an upstream to its node.
pub(crate) fn announce(sim: &Rc<Simulation>, index: usize) {
    let upstream = &sim.upstreams[index];
    let Some(node) = sim.node(index).filter(|_| upstream.up.get()) else { return };
    let (instance, lifecycle) = (upstream.instance.get(), upstream.lifecycle.get());
    let process = node.process;
    sim.executor.spawn_in(
        LOCAL_LATENCY,
        process,
        async move { node.announce(instance, lifecycle) },
    );
}

/// Announces an upstream once a second.
pub(crate) async fn send_heartbeats(sim: Rc<Simulation>, index: usize) {
    sim.executor.sleep(sim.draw_millis(0..300)).await;
    loop {
        announce(&sim, index);
        sim.executor.sleep(Duration::from_secs(1)).await;
    }
}
