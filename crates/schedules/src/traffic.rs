//! Clients that send random requests and repeat those with an idempotency key.

use std::{rc::Rc, time::Duration};

use oleandertiller_model::{IdempotencyKey, Outcome, Safety};
use uuid::Builder;

use crate::{
    driver::{
        Call, Reply,
        inner::{Caller, request},
    },
    executor::SIMULATION_PROCESS,
    simulation::Simulation,
};

/// Largest number of times that a client repeats one request.
const MAX_REPEATS: u64 = 3;

/// Largest difference between the clock of a client and those of the nodes, in milliseconds; less
/// than `clock_skew`.
const MAX_CLIENT_SKEW_MS: u64 = 400;

/// An operation that a client requests, possibly several times.
#[derive(Clone)]
struct Operation {
    number: u64,
    service: usize,
    kind: usize,
    key: Option<IdempotencyKey>,
    at_most_once: bool,
    depth: u8,
}

/// Returns a key that is drawn as opaque text or as a UUIDv7 with the time of a skewed clock.
fn draw_key(sim: &Simulation, service: usize, kind: usize, number: u64) -> Option<IdempotencyKey> {
    let spec = &sim.services[service];
    let scope = format!("{}/{}", spec.name, spec.kinds[kind].name);
    let opaque = sim.chance(0.4);
    let text = match opaque {
        true => format!("order-{number}"),
        false => {
            let wall =
                sim.executor.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let skew = sim.draw(0..2 * MAX_CLIENT_SKEW_MS);
            let created = wall.as_millis() as u64 + skew - MAX_CLIENT_SKEW_MS;
            let mut bytes = [0; 10];
            bytes[2..].copy_from_slice(&number.to_be_bytes());
            Builder::from_unix_timestamp_millis(created, &bytes).into_uuid().to_string()
        }
    };
    IdempotencyKey::parse(&scope, &text)
}

fn draw_operation(sim: &Simulation) -> Operation {
    let service = sim.draw(0..sim.services.len() as u64) as usize;
    let kinds = &sim.services[service].kinds;
    let kind = sim.draw(0..kinds.len() as u64) as usize;
    let at_most_once = kinds[kind].safety == Safety::AtMostOnce;
    let number = sim.next_id();
    let keyed = at_most_once && sim.chance(0.9);
    let key = if keyed { draw_key(sim, service, kind, number) } else { None };
    let depth = u8::from(kinds[kind].internal);
    Operation { number, service, kind, key, at_most_once, depth }
}

/// Runs one client until the schedule ends.
pub(crate) async fn client(sim: Rc<Simulation>, think_time: Duration) {
    loop {
        sim.executor.sleep(think_time.mul_f64(sim.draw(100..1_900) as f64 / 1_000.0)).await;
        let operation = draw_operation(&sim);
        let work = perform(sim.clone(), operation.clone());
        sim.executor.spawn(SIMULATION_PROCESS, work);
        if operation.key.is_some() && sim.chance(0.2) {
            // A concurrent duplicate, sent to a node that is drawn independently.
            sim.executor.spawn(SIMULATION_PROCESS, perform(sim.clone(), operation));
        }
    }
}

/// Sends a request, and repeats one with a key until it succeeds, sometimes also after that.
async fn perform(sim: Rc<Simulation>, operation: Operation) {
    let repeats = if operation.key.is_some() { MAX_REPEATS } else { 0 };
    for _ in 0..=repeats {
        let done = attempt(&sim, &operation).await;
        // Some clients repeat a request although it was answered.
        if done && !sim.chance(0.1) {
            return;
        }
        sim.executor.sleep(sim.draw_millis(1..600)).await;
    }
}

/// Sends a request to a random node; returns whether it succeeded.
async fn attempt(sim: &Rc<Simulation>, operation: &Operation) -> bool {
    let to = sim.draw(0..sim.node_count() as u64) as usize;
    let id = if operation.at_most_once && operation.key.is_none() {
        operation.number
    } else {
        sim.next_id()
    };
    let time = match sim.chance(0.1) {
        true => sim.draw_millis(2_000..8_000),
        false => sim.draw_millis(30..1_000),
    };
    let client_timeout = if sim.chance(0.1) { time / 4 } else { time + Duration::from_millis(20) };
    let sent = sim.now();
    let call = Call {
        id,
        service: operation.service,
        kind: operation.kind,
        token: operation.number,
        operation: operation.number,
        key: operation.key,
        deadline: sent + time,
        depth: operation.depth,
        granted: sent,
    };
    sim.trace(|| {
        let kind = &sim.services[call.service].kinds[call.kind].name;
        let key = if call.key.is_some() { " with a key" } else { "" };
        format!("request {id}: operation {}, {kind}{key}, at node {to}", operation.number)
    });
    let sent_call = call.clone();
    let serve = move |node: Rc<crate::driver::Node>| async move {
        let call = Call { deadline: node.sim.now() + time, ..sent_call };
        node.answer_client(call).await
    };
    let reply: Result<Reply, Outcome> =
        request(sim, Caller::CLIENT, to, sent + client_timeout, serve).await;
    let Ok(reply) = reply else { return false };
    sim.checks.borrow_mut().on_answer(sim, &call, sent, &reply);
    reply.outcome == Outcome::Done && reply.status < 500
}
