//! One client request: keys, repeats and the check of its answer.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant, SystemTime};

use async_std::future::timeout;
use async_std::task;
use futures_util::future::join;
use oleandertiller_standin::answer::is_own;
use oleandertiller_standin::http::{Client, ClientReply};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use uuid::{NoContext, Timestamp, Uuid};

use super::Plan;
use crate::arrivals::Arrival;
use crate::stats::Ended;
use crate::workload::LoadKind;

/// Time past its deadline after which a client stops waiting for an answer.
const PATIENCE: Duration = Duration::from_millis(100);

/// Bits of a request id that tell the attempts of one request apart.
const ATTEMPT_BITS: u32 = 16;

/// Number of the first attempt.
const FIRST: u16 = 0;

/// Number of the attempt that is sent at the same time as the first; repeats follow.
const DUPLICATE: u16 = 1;

/// Connections to one address.
#[derive(Default)]
struct Peer {
    idle: Mutex<Vec<Client>>,
    in_flight: AtomicUsize,
}

/// Counts a request in flight until it is dropped.
struct InFlight<'a>(&'a AtomicUsize);

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// What came of one request and its repeats.
pub struct Answered {
    pub ended: Ended,
    pub repeats: u64,
    /// Ids of the attempts that were answered as not run.
    pub not_run: Vec<String>,
}

pub struct Caller {
    plan: Plan,
    peers: HashMap<SocketAddr, Peer>,
    turns: HashMap<&'static str, AtomicUsize>,
}

/// What is sent, the same for each repeat but for the request id.
struct Message {
    path: String,
    body: Vec<u8>,
    key: Option<String>,
    deadline: Duration,
}

impl Caller {
    pub fn new(plan: Plan) -> Self {
        let peers = plan.route.addrs().into_iter().map(|addr| (addr, Peer::default())).collect();
        let turns = plan.kinds.iter().map(|kind| (kind.service, AtomicUsize::new(0))).collect();
        Self { plan, peers, turns }
    }

    pub fn kind(&self, index: usize) -> &LoadKind {
        &self.plan.kinds[index]
    }

    /// Opens the connections before the first request, so that their cost is not measured.
    pub async fn open_connections(&self) {
        for (addr, peer) in &self.peers {
            for _ in 0..self.plan.connections {
                let Ok(client) = Client::connect(*addr).await else { break };
                peer.idle.lock().unwrap().push(client);
            }
        }
        // Upstreams take a moment to admit a connection.
        task::sleep(Duration::from_millis(20)).await;
    }

    /// Sends a request, with repeats where the plan has them, and returns how it ended.
    pub async fn request(&self, kind: &LoadKind, arrival: &Arrival, intended: Instant) -> Answered {
        let mut rng = StdRng::seed_from_u64(arrival.seed);
        let message = self.message(kind, arrival, &mut rng);
        let id = |attempt| request_id(self.plan.seed, arrival.number, attempt);
        let duplicated = kind.at_most_once && rng.random_bool(self.plan.duplicate_share);
        let mut answered = if duplicated {
            let ids = [id(FIRST), id(DUPLICATE)];
            self.twice(kind, &message, &ids, [rng.random(), rng.random()], intended).await
        } else {
            self.once(kind, &message, &id(FIRST), rng.random(), intended).await
        };
        for n in 0..self.plan.repeats {
            let open = matches!(answered.ended, Ended::Unknown(_) | Ended::NotRun(_));
            if !kind.at_most_once || !open {
                break;
            }
            let id = id(DUPLICATE + 1 + n as u16);
            let again = self.once(kind, &message, &id, rng.random(), Instant::now()).await;
            answered.repeats += 1;
            answered.ended = again.ended;
            answered.not_run.extend(again.not_run);
        }
        answered
    }

    async fn once(
        &self,
        kind: &LoadKind,
        message: &Message,
        id: &str,
        random: u64,
        start: Instant,
    ) -> Answered {
        let ended = self.attempt(kind, message, id.to_owned(), random, start).await;
        let not_run = matches!(ended, Ended::NotRun(_)).then(|| id.to_owned());
        Answered { ended, repeats: 0, not_run: not_run.into_iter().collect() }
    }

    /// Sends a request twice at the same time, as a client does that lost patience.
    async fn twice(
        &self,
        kind: &LoadKind,
        message: &Message,
        ids: &[String; 2],
        random: [u64; 2],
        start: Instant,
    ) -> Answered {
        let first = self.once(kind, message, &ids[0], random[0], start);
        let second = self.once(kind, message, &ids[1], random[1], start);
        let (first, second) = join(first, second).await;
        let not_run = [first.not_run, second.not_run].concat();
        // A wrong answer counts, whatever the other attempt brought.
        let second_counts = matches!(second.ended, Ended::Wrong(_))
            || !matches!(first.ended, Ended::Done | Ended::Wrong(_));
        let ended = if second_counts { second.ended } else { first.ended };
        Answered { ended, repeats: 1, not_run }
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
    ) -> Ended {
        let candidates = self.plan.route.candidates(kind.service);
        let in_flight = |addr| self.peers[&addr].in_flight.load(Ordering::Relaxed);
        let turn = &self.turns[kind.service];
        let Some(addr) = self.plan.route.choose(candidates, random, turn, in_flight) else {
            return Ended::NotRun("no-address".into());
        };
        let peer = &self.peers[&addr];
        peer.in_flight.fetch_add(1, Ordering::Relaxed);
        let _in_flight = InFlight(&peer.in_flight);
        let left = (start + message.deadline + PATIENCE).saturating_duration_since(Instant::now());
        let exchange = self.exchange(addr, peer, message, &id);
        match timeout(left, exchange).await {
            Ok(ended) => ended,
            Err(_) => Ended::Unknown("no-answer".into()),
        }
    }

    async fn exchange(&self, addr: SocketAddr, peer: &Peer, message: &Message, id: &str) -> Ended {
        self.travel().await;
        let idle = peer.idle.lock().unwrap().pop();
        let mut client = match idle {
            Some(client) => client,
            None => match Client::connect(addr).await {
                Ok(client) => client,
                Err(_) => return Ended::NotRun("connect-failed".into()),
            },
        };
        let deadline = message.deadline.as_millis().to_string();
        let mut headers = vec![("x-request-id", id), ("x-deadline-ms", deadline.as_str())];
        if let Some(key) = &message.key {
            headers.push(("idempotency-key", key.as_str()));
        }
        let reply = client.call("POST", &message.path, &headers, &message.body).await;
        self.travel().await;
        let Ok(reply) = reply else { return Ended::Unknown("connection".into()) };
        if !reply.closes() {
            peer.idle.lock().unwrap().push(client);
        }
        // A repeat is answered from the first run, whose id the body carries.
        check(&reply, id, &message.body, message.key.is_some())
    }

    async fn travel(&self) {
        if !self.plan.client_delay.is_zero() {
            task::sleep(self.plan.client_delay).await;
        }
    }
}

/// Judges an answer.
fn check(reply: &ClientReply, id: &str, body: &[u8], keyed: bool) -> Ended {
    if reply.header("x-request-id").is_some_and(|echoed| echoed != id) {
        return Ended::Wrong("other-id".into());
    }
    let reason = reply.header("x-reason").unwrap_or_default().to_owned();
    match (reply.header("x-outcome"), reply.status()) {
        (Some("not-run"), _) => Ended::NotRun(reason),
        (Some("unknown"), _) => Ended::Unknown(reason),
        (_, 200) => match whole(reply, id, body, keyed) {
            true => Ended::Done,
            false => Ended::Wrong("other-body".into()),
        },
        (_, status) => Ended::Failed(status.to_string()),
    }
}

fn whole(reply: &ClientReply, id: &str, body: &[u8], keyed: bool) -> bool {
    if is_own(id, body, &reply.body) {
        return true;
    }
    // The stored answer of the first attempt has the first id, of which this id is a repeat.
    let first = reply.body.split(|byte| *byte == b' ').next().unwrap_or_default();
    let Ok(first) = std::str::from_utf8(first) else { return false };
    keyed && base(first).is_some() && base(first) == base(id) && is_own(first, body, &reply.body)
}

/// Returns the id of an attempt, a UUID, since nodes take no other ids.
fn request_id(seed: u64, number: u64, attempt: u16) -> String {
    Uuid::from_u64_pair(seed, number << ATTEMPT_BITS | u64::from(attempt)).to_string()
}

/// Returns the part of an id that a request has in common with its repeats.
fn base(id: &str) -> Option<(u64, u64)> {
    let (seed, rest) = Uuid::try_parse(id).ok()?.as_u64_pair();
    Some((seed, rest >> ATTEMPT_BITS))
}

fn uuid_v7(rng: &mut StdRng) -> Uuid {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let stamp = Timestamp::from_unix(NoContext, now.as_secs(), now.subsec_nanos());
    let mut bytes = *Uuid::new_v7(stamp).as_bytes();
    // The random part follows the seed; the time must be the real one for the ledger's rules.
    rng.fill(&mut bytes[9..]);
    Uuid::from_bytes(bytes)
}
