//! Open-loop load from a seed, with clients that repeat at-most-once requests.

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

/// Deadline that clients set.
const DEADLINE: Duration = Duration::from_millis(1_500);

/// Time after which a client stops waiting, past its deadline.
const PATIENCE: Duration = Duration::from_millis(500);

/// Pause before a client repeats a request whose outcome it does not know.
const REPEAT_PAUSE: Duration = Duration::from_millis(150);

/// Repeats by one client, those at other nodes after a refused connection left out.
const REPEATS: usize = 3;

/// Share of at-most-once requests that are sent to two nodes at the same time.
const TWIN_SHARE: f64 = 0.2;

/// Share of at-most-once requests that are repeated some seconds later, whatever the answer.
const LATE_SHARE: f64 = 0.4;

/// Share of at-most-once requests without a key; clients do not repeat these.
const KEYLESS_SHARE: f64 = 0.2;

/// How an attempt ended, as its client saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Ended {
    Done,
    Failed(u16),
    NotRun(String),
    Unknown(String),
    /// Not the whole answer to the client's own request.
    Wrong(String),
    /// The connection could not be opened.
    Refused,
    /// The connection broke after the request was sent.
    Broken,
    /// No answer in time.
    Silent,
}

/// One attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub id: String,
    pub kind: &'static LoadKind,
    pub key: Option<String>,
    pub node: usize,
    /// Times since the start of the load.
    pub begun: Duration,
    pub ended_at: Duration,
    pub ended: Ended,
}

/// What all clients saw.
#[derive(Default)]
pub struct Seen {
    pub attempts: Vec<Attempt>,
    /// Requests offered and answered well within the deadline, by kind and with its weight.
    pub offered: Vec<(&'static LoadKind, bool)>,
}

pub struct Clients {
    seed: u32,
    nodes: Vec<SocketAddr>,
    start: Instant,
    idle: Vec<Mutex<Vec<Client>>>,
    pub seen: Mutex<Seen>,
}

struct Message {
    request: u64,
    kind: &'static LoadKind,
    key: Option<String>,
    body: Vec<u8>,
    /// Ids of all attempts; a repeat is answered with the id of the first run.
    ids: Mutex<Vec<String>>,
}

impl Clients {
    pub fn new(seed: u32, nodes: Vec<SocketAddr>, start: Instant) -> Self {
        let idle = nodes.iter().map(|_| Mutex::default()).collect();
        Self { seed, nodes, start, idle, seen: Mutex::default() }
    }

    /// Sends one phase of load, beginning now, and returns when its last request has ended.
    pub async fn run(self: Arc<Self>, load: Load, phase: u64) {
        let begun = Instant::now();
        let profile = Profile::Constant(load.per_second.into());
        let seed = u64::from(self.seed) + (phase << 32);
        let kinds = Deployment::Tuul.kinds();
        let mut requests = Vec::new();
        for arrival in Arrivals::new(seed, profile, load.lasting, kinds) {
            let wait = (begun + arrival.at).saturating_duration_since(Instant::now());
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
        let request = (phase << 32) + arrival.number;
        let keyed = kind.at_most_once && !rng.random_bool(KEYLESS_SHARE);
        let key = keyed.then(|| self.key(request, &mut rng));
        let message = Message { request, kind, key, body, ids: Mutex::default() };
        let begun = Instant::now();
        let good = match message.key {
            Some(_) => self.keyed(&message, &mut rng).await,
            None => self.somewhere(&message, 0, &mut rng).await == Ended::Done,
        };
        let in_time = begun.elapsed() <= DEADLINE;
        self.seen.lock().unwrap().offered.push((kind, good && in_time));
        if message.key.is_some() && rng.random_bool(LATE_SHARE) {
            task::sleep(Duration::from_millis(rng.random_range(500..5_000))).await;
            self.somewhere(&message, 20, &mut rng).await;
        }
    }

    /// Sends a request with a key, perhaps to two nodes; returns whether one answer was good.
    async fn keyed(&self, message: &Message, rng: &mut StdRng) -> bool {
        let mut twin = StdRng::seed_from_u64(rng.random());
        let has_twin = rng.random_bool(TWIN_SHARE);
        let first = self.persist(message, 0, rng);
        if has_twin {
            let second = self.persist(message, 10, &mut twin);
            let (first, second) = futures_util::future::join(first, second).await;
            first || second
        } else {
            first.await
        }
    }

    /// Repeats a request with the same key at other nodes until its outcome is known.
    async fn persist(&self, message: &Message, number: usize, rng: &mut StdRng) -> bool {
        for repeat in 0..=REPEATS {
            match self.somewhere(message, number + repeat, rng).await {
                Ended::Done => return true,
                Ended::Failed(_) | Ended::Wrong(_) => return false,
                _ => task::sleep(REPEAT_PAUSE).await,
            }
        }
        false
    }

    /// Sends a request to a node drawn at random, or to the next one that accepts connections.
    async fn somewhere(&self, message: &Message, number: usize, rng: &mut StdRng) -> Ended {
        let first = rng.random_range(0..self.nodes.len());
        for turn in 0..self.nodes.len() {
            let node = (first + turn) % self.nodes.len();
            let ended = self.attempt(message, number * 10 + turn, node).await;
            if ended != Ended::Refused {
                return ended;
            }
        }
        Ended::Refused
    }

    async fn attempt(&self, message: &Message, number: usize, node: usize) -> Ended {
        let name = format!("{}-{}-{number}", self.seed, message.request);
        let id = Uuid::from_u128(xxh3_128(name.as_bytes())).to_string();
        message.ids.lock().unwrap().push(id.clone());
        let begun = self.start.elapsed();
        let work = timeout(DEADLINE + PATIENCE, self.exchange(message, &id, node));
        let ended = work.await.unwrap_or(Ended::Silent);
        let attempt = Attempt {
            id,
            kind: message.kind,
            key: message.key.clone(),
            node,
            begun,
            ended_at: self.start.elapsed(),
            ended: ended.clone(),
        };
        self.seen.lock().unwrap().attempts.push(attempt);
        ended
    }

    async fn exchange(&self, message: &Message, id: &str, node: usize) -> Ended {
        let idle = self.idle[node].lock().unwrap().pop();
        let mut client = match idle {
            Some(client) => client,
            None => match Client::connect(self.nodes[node]).await {
                Ok(client) => client,
                Err(_) => return Ended::Refused,
            },
        };
        let deadline = DEADLINE.as_millis().to_string();
        let mut headers = vec![("x-request-id", id), ("x-deadline-ms", &deadline)];
        headers.extend(message.key.as_deref().map(|key| ("idempotency-key", key)));
        let path = format!("/{}/{}", message.kind.service, message.kind.kind);
        let Ok(reply) = client.call("POST", &path, &headers, &message.body).await else {
            return Ended::Broken;
        };
        if !reply.closes() {
            self.idle[node].lock().unwrap().push(client);
        }
        message.judge(&reply, id)
    }

    /// Makes a key: a UUIDv7, or one whose date a keeper cannot see.
    fn key(&self, request: u64, rng: &mut StdRng) -> String {
        if request % 2 == 1 {
            return format!("order-{}-{request}", self.seed);
        }
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let stamp = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
        let mut bytes = *Uuid::new_v7(stamp).as_bytes();
        rng.fill(&mut bytes[9..]);
        Uuid::from_bytes(bytes).to_string()
    }
}

impl Message {
    fn judge(&self, reply: &ClientReply, id: &str) -> Ended {
        if reply.header("x-request-id").is_some_and(|echoed| echoed != id) {
            return Ended::Wrong("other id".into());
        }
        let reason = reply.header("x-reason").unwrap_or_default().to_owned();
        match (reply.header("x-outcome"), reply.status()) {
            (Some("not-run"), _) => Ended::NotRun(reason),
            (Some("unknown"), _) => Ended::Unknown(reason),
            (_, 200) if self.is_own(reply, id) => Ended::Done,
            (_, 200) => Ended::Wrong("other body".into()),
            (_, status) => Ended::Failed(status),
        }
    }

    /// Returns whether the body is whole and answers this request. A repeat is answered from the
    /// first run, whose id the body carries.
    fn is_own(&self, reply: &ClientReply, id: &str) -> bool {
        if is_expected_body(id, &self.body, &reply.body) {
            return true;
        }
        let first = reply.body.split(|byte| *byte == b' ').next().unwrap_or_default();
        let Ok(first) = std::str::from_utf8(first) else { return false };
        let is_known = self.ids.lock().unwrap().iter().any(|id| id == first);
        self.key.is_some() && is_known && is_expected_body(first, &self.body, &reply.body)
    }
}
