//! Finds an owner for a request and sees it through.
//!
//! The owners are asked in the order of their expected cost and hand the request back, unrun, if
//! they cannot start it now. When all have done so, the request waits at the best of them, a little
//! at a time, until a slot or a calm moment comes or until waiting makes no sense any more.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    gate::OwnerState,
    members::Record,
    placement::{order, where_to_wait},
    rollout::Admission,
};
use oleandertiller_model::{Clock, ErrorKind, NodeName, codec};

use super::{Ingress, request::Asked};
use crate::mesh::{
    message::{Answer, End, OFFER_PATH, Offer, Reply},
    state::left,
};

/// Owners that are asked in one round.
const ROUND_OWNERS: usize = 6;

/// How long a request waits at one owner before all are asked again.
const ROUND_WAIT: Duration = Duration::from_millis(80);

/// Part of the objective after which a request starts also at a slow moment.
const CALM_PART: f64 = 0.15;

/// Part of the objective after which a request that has not started is refused.
const PATIENCE_PART: f64 = 0.6;

/// Wait that is named when nothing is known of the next free slot.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// Why a request has no answer of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Failure {
    /// Why.
    pub kind: ErrorKind,
    /// Whether it has certainly not run.
    pub not_run: bool,
    /// When there may be room for it.
    pub expected: Duration,
}

/// How a request ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The answer of an upstream, or why there is none.
    pub result: Result<Answer, Failure>,
    /// When the client stops waiting, if it is known.
    pub deadline: Option<Instant>,
    /// The owners that were asked and what they said, for the log.
    pub hops: String,
}

impl Outcome {
    /// Makes the outcome of a request that was not passed on.
    pub fn refused(kind: ErrorKind, expected: Duration) -> Self {
        let failure = Failure { kind, not_run: true, expected };
        Self { result: Err(failure), deadline: None, hops: String::new() }
    }

    /// Returns the status for the client and the reason for logs.
    pub fn status_and_reason(&self) -> (u16, &'static str) {
        match &self.result {
            Ok(answer) => (answer.status, "answered"),
            Err(Failure { kind, not_run: true, .. }) => match kind.answer().status {
                502..=504 => (503, kind.answer().name),
                status => (status, kind.answer().name),
            },
            Err(Failure { kind, .. }) => match kind.answer().status {
                503 => (502, kind.answer().name),
                status => (status, kind.answer().name),
            },
        }
    }
}

/// What has been tried for one request.
#[derive(Default)]
struct Tried {
    /// Upstreams that the request has reached.
    arrivals: u32,
    /// Whether it may have run.
    ran: bool,
    /// Owners that are not asked again.
    excluded: Vec<NodeName>,
    hops: String,
}

impl Tried {
    fn note(&mut self, node: &NodeName, what: &str) {
        if !self.hops.is_empty() {
            self.hops.push(' ');
        }
        self.hops.push_str(node.as_str());
        self.hops.push('=');
        self.hops.push_str(what);
    }
}

/// What came of asking the owners once.
enum Round {
    /// An owner took the request.
    Ended(NodeName, End),
    /// All handed it back; their states, and why the last did.
    HandedBack(Vec<(Arc<Record>, OwnerState)>, ErrorKind),
}

impl<C: Clock> Ingress<C> {
    /// Serves a request to its end.
    pub(super) async fn run(&self, asked: &Asked) -> Outcome {
        let now = self.shared.clock.now();
        self.shared.world().on_request(&asked.service, now);
        let mut tried = Tried::default();
        // One draw for all attempts, so that a repeat stays with the version that was picked.
        let draw = rand::random();
        let mut last: Option<Result<Answer, Failure>> = None;
        let result = loop {
            let failed = match self.place(asked, &mut tried, draw).await {
                (_, End::Answered(answer)) if answer.status < 500 => break Ok(answer),
                (node, End::Answered(answer)) => (node, Ok(answer)),
                (_, End::NotRun { why, .. }) => {
                    let failure = Failure { kind: why, not_run: true, expected: UNKNOWN_WAIT };
                    break last.unwrap_or(Err(failure));
                }
                (node, End::Unknown(kind)) => {
                    (node, Err(Failure { kind, not_run: false, expected: UNKNOWN_WAIT }))
                }
            };
            let (node, failed) = failed;
            tried.ran = true;
            tried.excluded.push(node);
            let now = self.shared.clock.now();
            let again = asked.is_repeatable()
                && tried.arrivals < asked.route.attempts
                && now < asked.deadline
                && self.shared.world().take_repeat(&asked.service, now);
            // An upstream's own failure says more than a lost connection.
            if !(matches!(last, Some(Ok(_))) && failed.is_err()) {
                last = Some(failed);
            }
            if !again {
                break last.unwrap_or_else(|| unreachable_failure());
            }
        };
        let result =
            result.map_err(|failure| Failure { not_run: failure.not_run && !tried.ran, ..failure });
        Outcome { result, deadline: Some(asked.deadline), hops: tried.hops }
    }

    /// Finds an owner that takes the request.
    async fn place(&self, asked: &Asked, tried: &mut Tried, draw: f64) -> (NodeName, End) {
        let objective = asked.route.objective;
        let calm_until = asked.arrived + objective.mul_f64(CALM_PART);
        let patience_end = asked.arrived + objective.mul_f64(PATIENCE_PART);
        loop {
            let now = self.shared.clock.now();
            let any_moment = now >= calm_until;
            let (states, why) = match self.round(asked, tried, draw, any_moment).await {
                Round::Ended(node, end) => return (node, end),
                Round::HandedBack(states, why) => (states, why),
            };
            let now = self.shared.clock.now();
            let none = self.shared.settings.node.name.clone();
            let end = patience_end.min(asked.deadline);
            if now >= end || states.is_empty() {
                return (none, End::NotRun { why, arrived: false });
            }
            let pairs: Vec<_> =
                states.iter().enumerate().map(|(index, (_, state))| (index, *state)).collect();
            let Some(best) = where_to_wait(&pairs) else {
                return (none, End::NotRun { why, arrived: false });
            };
            let record = states[best].0.clone();
            let patience = ROUND_WAIT.min(left(end, now));
            let offer = self.offer_for(asked, &record, patience, any_moment);
            if let Some(ended) = self.ask(asked, tried, &record, offer).await {
                return ended;
            }
        }
    }

    /// Asks the owners in turn, none of which lets the request wait.
    async fn round(&self, asked: &Asked, tried: &mut Tried, draw: f64, any_moment: bool) -> Round {
        let owners = self.owners(asked, tried, draw);
        let mut states = Vec::new();
        let mut why = ErrorKind::NoUpstream;
        for record in owners.into_iter().take(ROUND_OWNERS) {
            if self.shared.clock.now() >= asked.deadline {
                return Round::HandedBack(states, ErrorKind::DeadlineExceeded);
            }
            let offer = self.offer_for(asked, &record, Duration::ZERO, any_moment);
            match self.send(&record, &offer, asked.deadline).await {
                Ok(Reply { end: End::NotRun { why: kind, arrived: false }, state }) => {
                    tried.note(&record.node, kind.answer().name);
                    why = kind;
                    if matches!(kind, ErrorKind::Overloaded | ErrorKind::Cold) {
                        states.push((record, state));
                    }
                }
                Ok(Reply { end, .. }) => {
                    if let Some((node, end)) = self.taken(asked, tried, &record, end) {
                        return Round::Ended(node, end);
                    }
                }
                Err(kind) => {
                    tried.note(&record.node, kind.answer().name);
                    why = kind;
                }
            }
        }
        Round::HandedBack(states, why)
    }

    async fn ask(
        &self,
        asked: &Asked,
        tried: &mut Tried,
        record: &Arc<Record>,
        offer: Offer,
    ) -> Option<(NodeName, End)> {
        match self.send(record, &offer, asked.deadline).await {
            Ok(Reply { end: End::NotRun { why, arrived: false }, .. }) | Err(why) => {
                tried.note(&record.node, why.answer().name);
                None
            }
            Ok(Reply { end, .. }) => self.taken(asked, tried, record, end),
        }
    }

    /// Takes note of a request that has reached an upstream; returns `None` when the upstream has
    /// refused it and another may be asked.
    fn taken(
        &self,
        asked: &Asked,
        tried: &mut Tried,
        record: &Arc<Record>,
        end: End,
    ) -> Option<(NodeName, End)> {
        tried.arrivals += 1;
        match end {
            End::NotRun { why, .. } => {
                tried.note(&record.node, "refused-by-upstream");
                tried.excluded.push(record.node.clone());
                let now = self.shared.clock.now();
                let again = self.shared.world().take_repeat(&asked.service, now);
                (!again).then(|| (record.node.clone(), End::NotRun { why, arrived: true }))
            }
            End::Answered(answer) => {
                tried.note(&record.node, "answered");
                Some((record.node.clone(), End::Answered(answer)))
            }
            End::Unknown(kind) => {
                tried.note(&record.node, kind.answer().name);
                Some((record.node.clone(), End::Unknown(kind)))
            }
        }
    }

    /// Returns the owners that may be asked, the best first.
    fn owners(&self, asked: &Asked, tried: &Tried, draw: f64) -> Vec<Arc<Record>> {
        let now = self.shared.clock.now();
        let settings = &self.shared.settings.node;
        let world = self.shared.world();
        let mut owners = world.owners(&asked.service, now);
        owners.retain(|(candidate, _)| !tried.excluded.contains(&candidate.node));
        if let Admission::Share(version, share) = world.admission(&asked.service) {
            let is_new = |record: &Record| {
                record.upstream.as_ref().is_some_and(|upstream| upstream.version == version)
            };
            let new = draw < share;
            let wanted: Vec<_> =
                owners.iter().filter(|(_, record)| is_new(record) == new).cloned().collect();
            // Without an upstream of the new version the old one serves, and not the reverse,
            // unless the old version has none left.
            if !wanted.is_empty() {
                owners = wanted;
            }
        }
        drop(world);
        let mut candidates: Vec<_> =
            owners.iter().map(|(candidate, _)| candidate.clone()).collect();
        order(&mut candidates, &settings.name, &settings.zone, now, &mut rand::rng());
        let record = |node: &NodeName| {
            owners.iter().find(|(candidate, _)| candidate.node == *node).map(|(_, r)| r.clone())
        };
        candidates.iter().filter_map(|candidate| record(&candidate.node)).collect()
    }

    fn offer_for(
        &self,
        asked: &Asked,
        record: &Record,
        patience: Duration,
        any_moment: bool,
    ) -> Offer {
        let version = record.upstream.as_ref().map(|upstream| upstream.version.clone());
        Offer {
            id: asked.id.clone(),
            node: record.node.clone(),
            service: asked.service.clone(),
            version: version.unwrap_or_else(|| "".into()),
            route: asked.route.name.clone(),
            repeat: asked.route.repeat,
            rank: asked.route.rank,
            method: asked.method.clone(),
            target: asked.target.clone(),
            headers: asked.headers.clone(),
            body: asked.body.clone(),
            remaining: left(asked.deadline, self.shared.clock.now()),
            patience,
            any_moment,
        }
    }

    /// Sends an offer to an owner; an error says that it has certainly not run.
    async fn send(
        &self,
        record: &Record,
        offer: &Offer,
        deadline: Instant,
    ) -> Result<Reply, ErrorKind> {
        let shared = &self.shared;
        shared.world().on_sent(&record.node);
        let _back = Back { ingress: self, node: &record.node };
        if record.node == shared.settings.node.name {
            let reply = shared.owner.offer(offer).await;
            self.note_state(&record.node, Some(reply.state));
            return Ok(reply);
        }
        let message = codec::encode(offer);
        let answer = shared.client.request(record.inner, OFFER_PATH, message, deadline).await;
        let now = shared.clock.now();
        let decoded = answer.map(|bytes| codec::decode::<Reply>(&bytes));
        let unknown = |kind| Reply { end: End::Unknown(kind), state: NO_STATE };
        match decoded {
            Ok(Ok(reply)) => {
                self.note_state(&record.node, Some(reply.state));
                Ok(reply)
            }
            Ok(Err(_)) => Ok(unknown(ErrorKind::PeerProtocol)),
            Err(oleandertiller_model::Outcome::NotRun(kind)) => {
                let times = shared.world().members.on_failure(&record.node, now);
                log::info!(id = &*offer.id, peer = record.node.as_str(), times = times,
                    why = kind.answer().name; "peer not reached");
                Err(kind)
            }
            Err(outcome) => {
                let kind = outcome.kind().unwrap_or(ErrorKind::Internal);
                if now < deadline {
                    shared.world().members.on_failure(&record.node, now);
                }
                Ok(unknown(kind))
            }
        }
    }

    fn note_state(&self, node: &NodeName, state: Option<OwnerState>) {
        let now = self.shared.clock.now();
        if let Some(state) = state {
            self.shared.world().on_state(node, state, now);
        }
    }
}

/// State of an owner that has not told it.
const NO_STATE: OwnerState =
    OwnerState { running: 0, waiting: 0, slots: 0, slowness: 100, expected: Duration::ZERO };

/// A request on its way to an owner; counted back when it is dropped.
struct Back<'a, C: Clock> {
    ingress: &'a Ingress<C>,
    node: &'a NodeName,
}

impl<C: Clock> Drop for Back<'_, C> {
    fn drop(&mut self) {
        self.ingress.shared.world().on_back(self.node);
    }
}

/// The failure that stands for a missing one.
fn unreachable_failure() -> Result<Answer, Failure> {
    Err(Failure { kind: ErrorKind::Internal, not_run: false, expected: UNKNOWN_WAIT })
}
