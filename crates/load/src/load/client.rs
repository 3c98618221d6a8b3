//! Sends client requests with their idempotency keys and repeats, and classifies the answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime};

use async_std::future::timeout;
use async_std::task;
use futures_util::future::join;
use oleandertiller_standin::answer::is_expected_body;
use oleandertiller_standin::http::{Client, ClientReply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::{NoContext, Timestamp, Uuid};

use super::Plan;
use crate::arrivals::Arrival;
use crate::stats::Outcome;
use crate::workload::LoadKind;

/// Time that a client waits for an answer after the deadline of the request.
const ANSWER_GRACE: Duration = Duration::from_millis(100);

/// Number of low bits of a request id that hold the number of the attempt.
const ATTEMPT_BITS: u32 = 16;

/// Number of the first attempt.
const FIRST_ATTEMPT: u16 = 0;

/// Number of the attempt sent concurrently with the first; repeats have higher numbers.
const DUPLICATE_ATTEMPT: u16 = 1;

/// Idle connections to one address, and the number of requests in flight to it.
#[derive(Default)]
struct Destination {
    idle: Mutex<Vec<Client>>,
    in_flight: AtomicUsize,
}

/// Counts a request in flight until it is dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Result of one request and its repeats.
pub struct RequestResult {
    pub outcome: Outcome,
    pub repeats: u64,
    /// Ids of the attempts that were answered as not run.
    pub not_run: Vec<String>,
}

/// Sends the requests of a plan.
pub struct LoadClient {
    plan: Plan,
    destinations: HashMap<SocketAddr, Destination>,
    round_robin: HashMap<&'static str, AtomicUsize>,
}

/// Content of a request; its attempts differ only in the request id.
struct Message {
    path: String,
    body: Vec<u8>,
    key: Option<String>,
    deadline: Duration,
}

impl LoadClient {
    pub fn new(plan: Plan) -> Self {
        let destinations =
            plan.route.addrs().into_iter().map(|addr| (addr, Destination::default())).collect();
        let round_robin =
            plan.kinds.iter().map(|kind| (kind.service, AtomicUsize::new(0))).collect();
        Self { plan, destinations, round_robin }
    }

    pub fn kind(&self, index: usize) -> &LoadKind {
        &self.plan.kinds[index]
    }

    /// Opens the connections before the first request, so that measurements exclude their cost.
    pub async fn open_connections(&self) {
        for (addr, destination) in &self.destinations {
            for _ in 0..self.plan.connections {
                let Ok(client) = Client::connect(*addr).await else { break };
                destination.idle.lock().unwrap().push(client);
            }
        }
        // Upstreams need some time to accept a connection.
        task::sleep(Duration::from_millis(20)).await;
    }

    /// Sends a request and the repeats that the plan asks for, and returns the final outcome.
    pub async fn request(
        &self,
        kind: &LoadKind,
        arrival: &Arrival,
        intended: Instant,
    ) -> RequestResult {
        let mut rng = StdRng::seed_from_u64(arrival.seed);
        let message = self.message(kind, arrival, &mut rng);
        let id = |attempt| request_id(self.plan.seed, arrival.number, attempt);
        let duplicate = kind.at_most_once && rng.random_bool(self.plan.duplicate_share);
        let mut result = if duplicate {
            let ids = [id(FIRST_ATTEMPT), id(DUPLICATE_ATTEMPT)];
            self.send_duplicated(kind, &message, &ids, [rng.random(), rng.random()], intended).await
        } else {
            self.send_once(kind, &message, &id(FIRST_ATTEMPT), rng.random(), intended).await
        };
        for n in 0..self.plan.repeats {
            let unresolved = matches!(result.outcome, Outcome::Unknown(_) | Outcome::NotRun(_));
            if !kind.at_most_once || !unresolved {
                break;
            }
            let id = id(DUPLICATE_ATTEMPT + 1 + n as u16);
            let again = self.send_once(kind, &message, &id, rng.random(), Instant::now()).await;
            result.repeats += 1;
            result.outcome = again.outcome;
            result.not_run.extend(again.not_run);
        }
        result
    }

    async fn send_once(
        &self,
        kind: &LoadKind,
        message: &Message,
        id: &str,
        random: u64,
        start: Instant,
    ) -> RequestResult {
        let outcome = self.attempt(kind, message, id.to_owned(), random, start).await;
        let not_run = matches!(outcome, Outcome::NotRun(_)).then(|| id.to_owned());
        RequestResult { outcome, repeats: 0, not_run: not_run.into_iter().collect() }
    }

    /// Sends a request twice at the same time, as from a client that submits it twice.
    async fn send_duplicated(
        &self,
        kind: &LoadKind,
        message: &Message,
        ids: &[String; 2],
        random: [u64; 2],
        start: Instant,
    ) -> RequestResult {
        let first = self.send_once(kind, message, &ids[0], random[0], start);
        let second = self.send_once(kind, message, &ids[1], random[1], start);
        let (first, second) = join(first, second).await;
        let not_run = [first.not_run, second.not_run].concat();
        // A wrong answer takes precedence over any outcome of the other attempt.
        let use_second = matches!(second.outcome, Outcome::Wrong(_))
            || !matches!(first.outcome, Outcome::Done | Outcome::Wrong(_));
        let outcome = if use_second { second.outcome } else { first.outcome };
        RequestResult { outcome, repeats: 1, not_run }
    }

    fn message(&self, kind: &LoadKind, arrival: &Arrival, rng: &mut StdRng) -> Message {
        let mut body = vec![0; self.plan.body_bytes];
        rng.fill(&mut body[..]);
        let key = kind.at_most_once.then(|| match arrival.number % 2 {
            0 => uuid_v7(rng).to_string(),
            _ => format!("order-{:x}-{}", self.plan.seed, arrival.number),
        });
        let path = self.plan.route.path(kind.service, kind.kind);
        Message { path, body, key, deadline: kind.deadline }
    }

    async fn attempt(
        &self,
        kind: &LoadKind,
        message: &Message,
        id: String,
        random: u64,
        start: Instant,
    ) -> Outcome {
        let candidates = self.plan.route.candidates(kind.service);
        let in_flight = |addr| self.destinations[&addr].in_flight.load(Ordering::Relaxed);
        let next_index = &self.round_robin[kind.service];
        let Some(addr) = self.plan.route.choose(candidates, random, next_index, in_flight) else {
            return Outcome::NotRun("no-address".into());
        };
        let destination = &self.destinations[&addr];
        destination.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlightGuard(&destination.in_flight);
        let remaining =
            (start + message.deadline + ANSWER_GRACE).saturating_duration_since(Instant::now());
        let exchange = self.exchange(addr, destination, message, &id);
        match timeout(remaining, exchange).await {
            Ok(outcome) => outcome,
            Err(_) => Outcome::Unknown("no-answer".into()),
        }
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        destination: &Destination,
        message: &Message,
        id: &str,
    ) -> Outcome {
        self.simulate_network_delay().await;
        let idle = destination.idle.lock().unwrap().pop();
        let mut client = match idle {
            Some(client) => client,
            None => match Client::connect(addr).await {
                Ok(client) => client,
                Err(_) => return Outcome::NotRun("connect-failed".into()),
            },
        };
        let deadline = message.deadline.as_millis().to_string();
        let mut headers = vec![("x-request-id", id), ("x-deadline-ms", deadline.as_str())];
        if let Some(key) = &message.key {
            headers.push(("idempotency-key", key.as_str()));
        }
        let reply = client.call("POST", &message.path, &headers, &message.body).await;
        self.simulate_network_delay().await;
        let Ok(reply) = reply else { return Outcome::Unknown("connection".into()) };
        if !reply.closes() {
            destination.idle.lock().unwrap().push(client);
        }
        // A repeat gets the stored answer of the first run, whose body holds the id of that run.
        classify(&reply, id, &message.body, message.key.is_some())
    }

    async fn simulate_network_delay(&self) {
        if !self.plan.client_delay.is_zero() {
            task::sleep(self.plan.client_delay).await;
        }
    }
}

/// Returns the outcome that an answer reports, after checking that it belongs to the request.
fn classify(reply: &ClientReply, id: &str, body: &[u8], keyed: bool) -> Outcome {
    if reply.header("x-request-id").is_some_and(|echoed| echoed != id) {
        return Outcome::Wrong("other-id".into());
    }
    let reason = reply.header("x-reason").unwrap_or_default().to_owned();
    match (reply.header("x-outcome"), reply.status()) {
        (Some("not-run"), _) => Outcome::NotRun(reason),
        (Some("unknown"), _) => Outcome::Unknown(reason),
        (_, 200) => match is_expected_answer(reply, id, body, keyed) {
            true => Outcome::Done,
            false => Outcome::Wrong("other-body".into()),
        },
        (_, status) => Outcome::Failed(status.to_string()),
    }
}

/// Returns whether the body is the complete answer to the request with this id or, if it has a key,
/// to another attempt of it.
fn is_expected_answer(reply: &ClientReply, id: &str, body: &[u8], keyed: bool) -> bool {
    if is_expected_body(id, body, &reply.body) {
        return true;
    }
    // The stored answer may hold the id of another attempt of the same request.
    let answer_id = reply.body.split(|byte| *byte == b' ').next().unwrap_or_default();
    let Ok(answer_id) = std::str::from_utf8(answer_id) else { return false };
    keyed
        && request_part(answer_id).is_some()
        && request_part(answer_id) == request_part(id)
        && is_expected_body(answer_id, body, &reply.body)
}

/// Returns the id of an attempt as a UUID, which differs only in its low bits from the ids of the
/// request's other attempts.
fn request_id(seed: u64, number: u64, attempt: u16) -> String {
    Uuid::from_u64_pair(seed, number << ATTEMPT_BITS | u64::from(attempt)).to_string()
}

/// Returns the part of an id that all attempts of a request have in common.
fn request_part(id: &str) -> Option<(u64, u64)> {
    let (seed, rest) = Uuid::try_parse(id).ok()?.as_u64_pair();
    Some((seed, rest >> ATTEMPT_BITS))
}

fn uuid_v7(rng: &mut StdRng) -> Uuid {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let timestamp = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
    let mut bytes = *Uuid::new_v7(timestamp).as_bytes();
    // The random part comes from the seeded generator, but the time must be the real one, since the
    // ledger checks the age of keys.
    rng.fill(&mut bytes[9..]);
    Uuid::from_bytes(bytes)
}
