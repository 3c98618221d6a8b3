//! Clients: mixes of requests, with repeats of those that must run at most once.

use std::{rc::Rc, time::Duration};

use oleandertiller_model::{IdempotencyKey, Outcome, Safety};
use uuid::Builder;

use crate::{
    exec::WORLD,
    glue::{
        Call, Reply,
        inner::{From, ask},
    },
    world::World,
};

/// Most repeats of one request by its client.
const REPEATS: u64 = 3;

/// Largest difference between a client's clock and the nodes', in milliseconds; below
/// `clock_skew`.
const CLIENT_SKEW_MS: u64 = 400;

/// What a client wants done.
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
            let wall = world.exec.wall().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
            let skew = world.draw(0..2 * CLIENT_SKEW_MS);
            let created = wall.as_millis() as u64 + skew - CLIENT_SKEW_MS;
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

/// One client, until the schedule ends.
pub(crate) async fn client(world: Rc<World>, think: Duration) {
    loop {
        world.exec.sleep(think.mul_f64(world.draw(100..1_900) as f64 / 1_000.0)).await;
        let operation = operation(&world);
        let work = perform(world.clone(), operation.clone());
        world.exec.spawn(WORLD, work);
        if operation.key.is_some() && world.chance(0.2) {
            // The same request a second time at once, at another node.
            world.exec.spawn(WORLD, perform(world.clone(), operation));
        }
    }
}

async fn perform(world: Rc<World>, operation: Operation) {
    let repeats = if operation.key.is_some() { REPEATS } else { 0 };
    for _ in 0..=repeats {
        let done = attempt(&world, &operation).await;
        // Some clients repeat although they were answered.
        if done && !world.chance(0.1) {
            return;
        }
        world.exec.sleep(world.millis(1..600)).await;
    }
}

/// Sends a request to a random node; returns whether it was done.
async fn attempt(world: &Rc<World>, operation: &Operation) -> bool {
    let to = world.draw(0..world.size() as u64) as usize;
    let id = if operation.at_most_once && operation.key.is_none() {
        operation.number
    } else {
        world.id()
    };
    let time = match world.chance(0.1) {
        true => world.millis(2_000..8_000),
        false => world.millis(30..1_000),
    };
    let patience = if world.chance(0.1) { time / 4 } else { time + Duration::from_millis(20) };
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
    let asked = call.clone();
    let serve = move |node: Rc<crate::glue::Node>| async move {
        let call = Call { deadline: node.world.now() + time, ..asked };
        node.answer_client(call).await
    };
    let reply: Result<Reply, Outcome> = ask(world, From::CLIENT, to, sent + patience, serve).await;
    let Ok(reply) = reply else { return false };
    world.checks.borrow_mut().on_answer(world, &call, sent, &reply);
    reply.outcome == Outcome::Done && reply.status < 500
}
