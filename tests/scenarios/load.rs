//! Open-loop load drawn from a seed, by clients that repeat at-most-once requests.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime},
};

use async_std::{future::timeout, task};
use oleandertiller_bench::{
    arrivals::{Arrival, Arrivals, Profile},
    workload::{Deployment, LoadKind},
};
use oleandertiller_language::scenario::Load;
use oleandertiller_standin::{answer::is_expected_body, http::Client, http::ClientReply};
use rand::{Rng, SeedableRng, rngs::StdRng};
use uuid::{NoContext, Timestamp, Uuid};
use xxhash_rust::xxh3::xxh3_128;

/// Deadline that clients send.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time that a client waits for an answer after the deadline of the request.
const ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Wait before a client repeats a request that was not run or whose outcome is unknown.
const REPEAT_DELAY: Duration = Duration::from_millis(150);

/// Maximum number of repeats by one client; moving on after a refused connection does not count.
const MAX_REPEATS: usize = 3;

/// Share of requests with a key that two clients send at the same time.
const DUPLICATE_SHARE: f64 = 0.2;

/// Share of requests with a key that are repeated up to 5 s after their end, whatever the answer.
const LATE_REPEAT_SHARE: f64 = 0.4;

/// Share of at-most-once requests that have no key; clients do not repeat these.
const KEYLESS_SHARE: f64 = 0.2;

/// How an attempt ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    Done,
    /// An error answer, with its HTTP status.
    Failed(u16),
    /// An answer that says that the request was not run, with its reason.
    NotRun(String),
    /// An answer that leaves open whether the request ran, with its reason.
    Unknown(String),
    /// An answer that belongs to another request or is incomplete.
    Wrong(String),
    /// The connection could not be opened.
    Refused,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer in time.
    Silent,
}

/// One attempt to send a request to a node.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub kind: &'static LoadKind,
    pub key: Option<String>,
    pub node: usize,
    /// Times since the start of the load.
    pub started_at: Duration,
    pub ended_at: Duration,
    pub outcome: Outcome,
}

/// Results of the requests of all clients.
#[derive(Default)]
pub struct ClientResults {
    pub attempts: Vec<Attempt>,
    /// Kind of each offered request, and whether it was answered successfully within the deadline.
    pub offered: Vec<(&'static LoadKind, bool)>,
}

/// Clients, with their idle connections to each node.
pub struct Clients {
    seed: u32,
    nodes: Vec<SocketAddr>,
    start: Instant,
    idle: Vec<Mutex<Vec<Client>>>,
    pub results: Mutex<ClientResults>,
}

/// A request; its attempts differ only in the request id.
struct Message {
    number: u64,
    kind: &'static LoadKind,
    key: Option<String>,
    body: Vec<u8>,
    /// Ids of all attempts; the answer to a repeat holds the id of the attempt that ran.
    ids: Mutex<Vec<String>>,
}

impl Clients {
    pub fn new(seed: u32, nodes: Vec<SocketAddr>, start: Instant) -> Self {
        let idle = nodes.iter().map(|_| Mutex::default()).collect();
        Self { seed, nodes, start, idle, results: Mutex::default() }
    }

    /// Applies one phase of the load, and returns when its last request has ended.
    pub async fn run(self: Arc<Self>, load: Load, phase: u64) {
        let started = Instant::now();
        let profile = Profile::Constant(load.per_second.into());
        let seed = u64::from(self.seed) + (phase << 32);
        let kinds = Deployment::Tuul.kinds();
        let mut requests = Vec::new();
        for arrival in Arrivals::new(seed, profile, load.lasting, kinds) {
            let wait = (started + arrival.at).saturating_duration_since(Instant::now());
            task::sleep(wait).await;
            let clients = self.clone();
            requests.push(task::spawn(async move { clients.request(arrival, phase).await }));
        }
        for request in requests {
            request.await;
        }
    }

    async fn request(&self, arrival: Arrival, phase: u64) {
        let mut rng = StdRng::seed_from_u64(arrival.seed);
        let kind = &Deployment::Tuul.kinds()[arrival.kind];
        let mut body = vec![0; 64];
        rng.fill(&mut body[..]);
        let number = (phase << 32) + arrival.number;
        let keyed = kind.at_most_once && !rng.random_bool(KEYLESS_SHARE);
        let key = keyed.then(|| self.idempotency_key(number, &mut rng));
        let message = Message { number, kind, key, body, ids: Mutex::default() };
        let started = Instant::now();
        let good = match message.key {
            Some(_) => self.send_with_key(&message, &mut rng).await,
            None => self.send(&message, 0, &mut rng).await == Outcome::Done,
        };
        let in_time = started.elapsed() <= DEADLINE;
        self.results.lock().unwrap().offered.push((kind, good && in_time));
        if message.key.is_some() && rng.random_bool(LATE_REPEAT_SHARE) {
            task::sleep(Duration::from_millis(rng.random_range(500..5_000))).await;
            self.send(&message, 20, &mut rng).await;
        }
    }

    /// Sends a request with a key, in some cases from two clients; returns whether one of them got
    /// a successful answer.
    async fn send_with_key(&self, message: &Message, rng: &mut StdRng) -> bool {
        let mut duplicate_rng = StdRng::seed_from_u64(rng.random());
        let is_duplicated = rng.random_bool(DUPLICATE_SHARE);
        let first = self.send_until_known(message, 0, rng);
        if is_duplicated {
            let second = self.send_until_known(message, 10, &mut duplicate_rng);
            let (first, second) = futures_util::future::join(first, second).await;
            first || second
        } else {
            first.await
        }
    }

    /// Sends a request, and repeats it with the same key at random nodes until its outcome is
    /// known.
    async fn send_until_known(
        &self,
        message: &Message,
        first_round: usize,
        rng: &mut StdRng,
    ) -> bool {
        for repeat in 0..=MAX_REPEATS {
            match self.send(message, first_round + repeat, rng).await {
                Outcome::Done => return true,
                Outcome::Failed(_) | Outcome::Wrong(_) => return false,
                _ => task::sleep(REPEAT_DELAY).await,
            }
        }
        false
    }

    /// Sends a request to a random node, or to the next one that accepts connections. Attempts are
    /// numbered from `round * 10`, so that the rounds of a message use different request ids.
    async fn send(&self, message: &Message, round: usize, rng: &mut StdRng) -> Outcome {
        let first = rng.random_range(0..self.nodes.len());
        for turn in 0..self.nodes.len() {
            let node = (first + turn) % self.nodes.len();
            let outcome = self.attempt(message, round * 10 + turn, node).await;
            if outcome != Outcome::Refused {
                return outcome;
            }
        }
        Outcome::Refused
    }

    async fn attempt(&self, message: &Message, number: usize, node: usize) -> Outcome {
        let name = format!("{}-{}-{number}", self.seed, message.number);
        let id = Uuid::from_u128(xxh3_128(name.as_bytes())).to_string();
        message.ids.lock().unwrap().push(id.clone());
        let started_at = self.start.elapsed();
        let work = timeout(DEADLINE + ANSWER_GRACE, self.exchange(message, &id, node));
        let outcome = work.await.unwrap_or(Outcome::Silent);
        let attempt = Attempt {
            id,
            kind: message.kind,
            key: message.key.clone(),
            node,
            started_at,
            ended_at: self.start.elapsed(),
            outcome: outcome.clone(),
        };
        self.results.lock().unwrap().attempts.push(attempt);
        outcome
    }

    async fn exchange(&self, message: &Message, id: &str, node: usize) -> Outcome {
        let idle = self.idle[node].lock().unwrap().pop();
        let mut client = match idle {
            Some(client) => client,
            None => match Client::connect(self.nodes[node]).await {
                Ok(client) => client,
                Err(_) => return Outcome::Refused,
            },
        };
        let deadline = DEADLINE.as_millis().to_string();
        let mut headers = vec![("x-request-id", id), ("x-deadline-ms", &deadline)];
        headers.extend(message.key.as_deref().map(|key| ("idempotency-key", key)));
        let path = format!("/{}/{}", message.kind.service, message.kind.kind);
        let Ok(reply) = client.call("POST", &path, &headers, &message.body).await else {
            return Outcome::Broken;
        };
        if !reply.closes() {
            self.idle[node].lock().unwrap().push(client);
        }
        message.classify(&reply, id)
    }

    /// Returns a key: a UUIDv7, or a text from which a keeper cannot tell its age.
    fn idempotency_key(&self, number: u64, rng: &mut StdRng) -> String {
        if number % 2 == 1 {
            return format!("order-{}-{number}", self.seed);
        }
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let timestamp = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
        let mut bytes = *Uuid::new_v7(timestamp).as_bytes();
        rng.fill(&mut bytes[9..]);
        Uuid::from_bytes(bytes).to_string()
    }
}

impl Message {
    /// Returns the outcome that an answer reports, after checking that it belongs to the request.
    fn classify(&self, reply: &ClientReply, id: &str) -> Outcome {
        if reply.header("x-request-id").is_some_and(|echoed| echoed != id) {
            return Outcome::Wrong("other id".into());
        }
        let reason = reply.header("x-reason").unwrap_or_default().to_owned();
        match (reply.header("x-outcome"), reply.status()) {
            (Some("not-run"), _) => Outcome::NotRun(reason),
            (Some("unknown"), _) => Outcome::Unknown(reason),
            (_, 200) if self.is_expected_answer(reply, id) => Outcome::Done,
            (_, 200) => Outcome::Wrong("other body".into()),
            (_, status) => Outcome::Failed(status),
        }
    }

    /// Returns whether the body is the complete answer to the request with this id or, if it has a
    /// key, to another attempt of it.
    fn is_expected_answer(&self, reply: &ClientReply, id: &str) -> bool {
        if is_expected_body(id, &self.body, &reply.body) {
            return true;
        }
        let answer_id = reply.body.split(|byte| *byte == b' ').next().unwrap_or_default();
        let Ok(answer_id) = std::str::from_utf8(answer_id) else { return false };
        let is_known = self.ids.lock().unwrap().iter().any(|id| id == answer_id);
        self.key.is_some() && is_known && is_expected_body(answer_id, &self.body, &reply.body)
    }
}
