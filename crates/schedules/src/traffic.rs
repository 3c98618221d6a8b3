//! Clients that send random requests and repeat those with an idempotency key.

use std::{rc::Rc, time::Duration};

use oleandertiller_model::{IdempotencyKey, Outcome, Safety};
use uuid::Builder;

use crate::{
    driver::{
        Call, Reply,
        inner::{Caller, request},
    },
    executor::WORLD_PROCESS,
    world::World,
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

fn key(world: &World, service: usize, kind: usize, number: u64) -> Option<IdempotencyKey> {
    let spec = &world.services[service];
    let scope = format!("{}/{}", spec.name, spec.kinds[kind].name);
    let opaque = world.chance(0.4);
    let text = match opaque {
        true => format!("order-{number}"),
        false => {
            let wall =
                world.executor.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let skew = world.draw(0..2 * MAX_CLIENT_SKEW_MS);
            let created = wall.as_millis() as u64 + skew - MAX_CLIENT_SKEW_MS;
            let mut bytes = [0; 10];
            bytes[2..].copy_from_slice(&number.to_be_bytes());
            Builder::from_unix_timestamp_millis(created, &bytes).into_uuid().to_string()
        }
    };
    IdempotencyKey::parse(&scope, &text)
}

fn operation(world: &World) -> Operation {
    let service = world.draw(0..world.services.len() as u64) as usize;
    let kinds = &world.services[service].kinds;
    let kind = world.draw(0..kinds.len() as u64) as usize;
    let at_most_once = kinds[kind].safety == Safety::AtMostOnce;
    let number = world.id();
    let keyed = at_most_once && world.chance(0.9);
    let key = if keyed { key(world, service, kind, number) } else { None };
    let depth = u8::from(kinds[kind].internal);
    Operation { number, service, kind, key, at_most_once, depth }
}

/// Runs one client until the schedule ends.
pub(crate) async fn client(world: Rc<World>, think_time: Duration) {
    loop {
        world.executor.sleep(think_time.mul_f64(world.draw(100..1_900) as f64 / 1_000.0)).await;
        let operation = operation(&world);
        let work = perform(world.clone(), operation.clone());
        world.executor.spawn(WORLD_PROCESS, work);
        if operation.key.is_some() && world.chance(0.2) {
            // A concurrent duplicate, sent to a node that is drawn independently.
            world.executor.spawn(WORLD_PROCESS, perform(world.clone(), operation));
        }
    }
}

async fn perform(world: Rc<World>, operation: Operation) {
    let repeats = if operation.key.is_some() { MAX_REPEATS } else { 0 };
    for _ in 0..=repeats {
        let done = attempt(&world, &operation).await;
        // Some clients repeat a request although it was answered.
        if done && !world.chance(0.1) {
            return;
        }
        world.executor.sleep(world.draw_millis(1..600)).await;
    }
}

/// Sends a request to a random node; returns whether it succeeded.
async fn attempt(world: &Rc<World>, operation: &Operation) -> bool {
    let to = world.draw(0..world.node_count() as u64) as usize;
    let id = if operation.at_most_once && operation.key.is_none() {
        operation.number
    } else {
        world.id()
    };
    let time = match world.chance(0.1) {
        true => world.draw_millis(2_000..8_000),
        false => world.draw_millis(30..1_000),
    };
    let client_timeout =
        if world.chance(0.1) { time / 4 } else { time + Duration::from_millis(20) };
    let sent = world.now();
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
    world.trace(|| {
        let kind = &world.services[call.service].kinds[call.kind].name;
        let key = if call.key.is_some() { " with a key" } else { "" };
        format!("request {id}: operation {}, {kind}{key}, at node {to}", operation.number)
    });
    let sent_call = call.clone();
    let serve = move |node: Rc<crate::driver::Node>| async move {
        let call = Call { deadline: node.world.now() + time, ..sent_call };
        node.answer_client(call).await
    };
    let reply: Result<Reply, Outcome> =
        request(world, Caller::CLIENT, to, sent + client_timeout, serve).await;
    let Ok(reply) = reply else { return false };
    world.checks.borrow_mut().on_answer(world, &call, sent, &reply);
    reply.outcome == Outcome::Done && reply.status < 500
}
