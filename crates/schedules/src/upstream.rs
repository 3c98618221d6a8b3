//! Upstreams with slots that are slow, fail fast, turn cold, drain and restart.

use std::{cell::Cell, rc::Rc, time::Duration};

use oleandertiller_model::Lifecycle;

use crate::{
    exec::{Receiver, TaskId, WORLD, is_clearing, oneshot},
    glue::{Call, node::Node},
    world::World,
};

/// Time between the owner and its upstream.
pub(crate) const LOCAL: Duration = Duration::from_micros(100);

/// Requests that a cold upstream bears at once.
pub(crate) const COLD_BEARS: u32 = 1;

/// One upstream beside a node.
pub(crate) struct Upstream {
    pub slots: u32,
    pub instance: Cell<u64>,
    pub up: Cell<bool>,
    pub lifecycle: Cell<Lifecycle>,
    /// Cold without saying so.
    pub hidden_cold: Cell<bool>,
    pub in_flight: Cell<u32>,
    /// Factor of the service time.
    pub slow: Cell<u32>,
    /// Shares of requests that fail fast, and whose answer has a wrong id, is cut short or lost.
    pub fails: Cell<f64>,
    pub crossed: Cell<f64>,
    pub cut_short: Cell<f64>,
    pub lost: Cell<f64>,
}

/// Answer of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct UpstreamAnswer {
    pub id: u64,
    pub status: u16,
    pub token: u64,
    pub whole: bool,
}

/// A request at an upstream; dropping it closes the connection, which cancels the request.
pub(crate) struct Exchange {
    world: Rc<World>,
    task: TaskId,
    pub answer: Receiver<UpstreamAnswer>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if !is_clearing() {
            self.world.exec.abort(self.task);
        }
    }
}

struct InFlight(Rc<World>, usize, u64);

impl Drop for InFlight {
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
            hidden_cold: Cell::new(false),
            in_flight: Cell::new(0),
            slow: Cell::new(1),
            fails: Cell::new(0.0),
            crossed: Cell::new(0.0),
            cut_short: Cell::new(0.0),
            lost: Cell::new(0.0),
        }
    }

    /// Starts a new instance; what ran at the old one is lost with it.
    pub fn restart(&self, lifecycle: Lifecycle) {
        self.instance.set(self.instance.get() + 1);
        self.in_flight.set(0);
        self.up.set(true);
        self.lifecycle.set(lifecycle);
        self.hidden_cold.set(false);
    }

    pub fn stop(&self) {
        self.restart(Lifecycle::Absent);
        self.up.set(false);
    }

    fn is_cold(&self) -> bool {
        self.hidden_cold.get() || self.lifecycle.get() == Lifecycle::Cold
    }
}

/// Hands a request to the upstream of a node.
pub(crate) fn exchange(node: &Node, call: &Call) -> Exchange {
    let world = node.world.clone();
    let (tx, answer) = oneshot(&world.exec);
    let (index, call) = (node.index, call.clone());
    let in_world = world.clone();
    let task = world.exec.spawn(WORLD, async move {
        if let Some(answer) = serve(in_world, index, call).await {
            tx.send(answer);
        }
    });
    Exchange { world, task, answer }
}

async fn serve(world: Rc<World>, index: usize, call: Call) -> Option<UpstreamAnswer> {
    let upstream = &world.upstreams[index];
    let instance = upstream.instance.get();
    upstream.in_flight.set(upstream.in_flight.get() + 1);
    let _in_flight = InFlight(world.clone(), index, instance);
    world.checks.borrow_mut().on_start(&world, index, &call);
    let overloaded = upstream.is_cold() && upstream.in_flight.get() > COLD_BEARS;
    let failed = overloaded || world.chance(upstream.fails.get());
    let micros = if failed { 300 } else { world.draw(1_000..12_000) };
    let cold = if upstream.is_cold() { 3 } else { 1 };
    world.exec.sleep(Duration::from_micros(micros * u64::from(upstream.slow.get() * cold))).await;
    if upstream.instance.get() != instance || world.chance(upstream.lost.get()) {
        return None;
    }
    let mut answer = UpstreamAnswer {
        id: call.id,
        status: if failed { 500 } else { 200 },
        token: call.token,
        whole: true,
    };
    if world.chance(upstream.crossed.get()) {
        answer = UpstreamAnswer { id: call.id + 1, token: call.token + 1, ..answer };
    }
    if world.chance(upstream.cut_short.get()) {
        answer.whole = false;
    }
    Some(answer)
}

/// Sends the announcement of an upstream to its node.
pub(crate) fn announce(world: &Rc<World>, index: usize) {
    let upstream = &world.upstreams[index];
    let Some(node) = world.node(index).filter(|_| upstream.up.get()) else { return };
    let (instance, lifecycle) = (upstream.instance.get(), upstream.lifecycle.get());
    let process = node.process;
    world.exec.spawn_in(LOCAL, process, async move { node.announce(instance, lifecycle) });
}

/// Announces an upstream once a second.
pub(crate) async fn heartbeat(world: Rc<World>, index: usize) {
    world.exec.sleep(world.millis(0..300)).await;
    loop {
        announce(&world, index);
        world.exec.sleep(Duration::from_secs(1)).await;
    }
}
