//! Finds an owner for a request and sees it through.
//!
//! The owners are asked in the order of their expected cost and hand the request back, unrun, if
//! they cannot start it now. When all have done so, the request waits at the best of them, a little
//! at a time, until a slot or a calm moment comes or until waiting makes no sense any more.

use std::{
    future::Future,
    pin::{Pin, pin},
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    admission_queue::{OwnerState, PriorityClass},
    members::NodeRecord,
    placement::{shortest_wait, sort_by_cost},
    rollout::AllowedVersions,
};
use oleandertiller_model::{Clock, ErrorKind, NodeName, codec};

use super::{
    Ingress,
    outcome::{Failure, Outcome},
    request::Asked,
    tried::{At, Progress, Tried},
};
use crate::mesh::{
    deployment_state::time_left,
    message::{End, OFFER_PATH, Offer, Reply, Response},
    metrics::{Decision, Dependency},
};

/// Owners that are asked in one round.
const ROUND_OWNERS: usize = 6;

/// How long a request waits at one owner before all are asked again.
const ROUND_WAIT: Duration = Duration::from_millis(80);

/// Part of the objective after which a request starts also at a slow moment.
const CALM_PART: f64 = 0.15;

/// Part of the objective after which a request that has not started is refused.
const PATIENCE_PART: f64 = 0.6;

/// Time between two looks at whether an owner has had the request for long.
const HEDGE_LOOK: Duration = Duration::from_millis(20);

/// Part of its time after which a call of the local upstream that has not started is refused; the
/// work of its parent is lost then.
const NESTED_PATIENCE_PART: f64 = 0.8;

/// Wait that is named when nothing is known of the next free slot.
const UNKNOWN_WAIT: Duration = Duration::from_millis(300);

/// How a request may start.
#[derive(Clone, Copy)]
struct Start {
    /// Also at a slow moment.
    any_moment: bool,
    /// What it is worth.
    value: PriorityClass,
}

/// What came of asking the owners once.
enum Round {
    /// An owner took the request.
    Ended(NodeName, End),
    /// All handed it back; their states, and why the last did.
    HandedBack(Vec<(Arc<NodeRecord>, OwnerState)>, ErrorKind),
}

impl<C: Clock> Ingress<C> {
    /// Serves a request to its end.
    pub(super) async fn run(&self, asked: &Asked) -> Outcome {
        let now = self.shared.clock.now();
        {
            let mut deployment = self.shared.deployment();
            deployment.on_request(&asked.service, now);
            if asked.parent.as_ref().is_some_and(|parent| parent.is_retry) {
                deployment.count_retry(&asked.service, now);
            }
        }
        let tried = Tried::default();
        // One draw for all attempts, so that a repeat stays with the version that was picked.
        let draw = rand::random();
        let first = pin!(self.attempts(asked, &tried, draw));
        let result = match asked.is_repeatable() {
            true => self.hedged(asked, &tried, draw, first).await,
            false => first.await,
        };
        let progress = tried.lock();
        let result = result.map_err(|failure| Failure {
            not_run: failure.not_run && !progress.ran && progress.at.is_empty(),
            ..failure
        });
        Outcome { result, deadline: Some(asked.deadline), hops: progress.hops.clone() }
    }

    /// Waits for the first attempts, and for a second owner once the first takes long.
    async fn hedged<F>(
        &self,
        asked: &Asked,
        tried: &Tried,
        draw: f64,
        mut first: Pin<&mut F>,
    ) -> Result<Response, Failure>
    where
        F: Future<Output = Result<Response, Failure>>,
    {
        let wait = self.shared.deployment().hedge_delay(&asked.route);
        let slow = pin!(self.slow(tried, wait));
        if let Either::Left((result, _)) = select(first.as_mut(), slow).await {
            return result;
        }
        let second = pin!(self.second(asked, tried, draw));
        match select(first, second).await {
            Either::Left((Ok(answer), _)) if answer.status < 500 => Ok(answer),
            Either::Left((result, second)) => second.await.map_or(result, Ok),
            Either::Right((Some(answer), _)) => Ok(answer),
            Either::Right((None, first)) => first.await,
        }
    }

    /// Ends once an owner has had the request for `wait`.
    async fn slow(&self, tried: &Tried, wait: Duration) {
        loop {
            let now = self.shared.clock.now();
            let sent = tried.lock().sent;
            let due = sent.map_or(now + wait, |sent| sent + wait);
            if due <= now && !tried.lock().at.is_empty() {
                return;
            }
            self.shared.timers.at(due.max(now + HEDGE_LOOK)).await;
        }
    }

    /// Has a second owner run the request, if one takes it at once; returns a good answer only.
    async fn second(&self, asked: &Asked, tried: &Tried, draw: f64) -> Option<Response> {
        let now = self.shared.clock.now();
        if !tried.lock().may_reach_another(asked) {
            return None;
        }
        // The budget is asked first, so that an owner's consent is not wasted.
        if !self.shared.deployment().take_retry(&asked.service, now) {
            self.shared.metrics.decided(Decision::Hedge, "no-budget");
            return None;
        }
        self.shared.metrics.decided(Decision::Hedge, "slow");
        tried.note(&self.shared.settings.node.name, "hedge");
        match self
            .round(asked, tried, draw, Start { any_moment: false, value: PriorityClass::Hedge })
            .await
        {
            Round::Ended(_, End::Answered(answer)) if answer.status < 500 => Some(answer),
            Round::Ended(node, _) => {
                let mut progress = tried.lock();
                progress.ran = true;
                progress.excluded.push(node);
                None
            }
            Round::HandedBack(..) => None,
        }
    }

    /// Has owners run a request until one answers, as often as it may be repeated.
    async fn attempts(&self, asked: &Asked, tried: &Tried, draw: f64) -> Result<Response, Failure> {
        let mut last: Option<Result<Response, Failure>> = None;
        loop {
            let (node, failed) = match self.place(asked, tried, draw).await {
                (_, End::Answered(answer)) if answer.status < 500 => return Ok(answer),
                (node, End::Answered(answer)) => (node, Ok(answer)),
                (_, End::NotRun { why, .. }) => {
                    let expected = tried.lock().expected.unwrap_or(UNKNOWN_WAIT);
                    let failure = Failure { kind: why, not_run: true, expected };
                    return last.unwrap_or(Err(failure));
                }
                (node, End::Unknown(kind)) => {
                    (node, Err(Failure { kind, not_run: false, expected: UNKNOWN_WAIT }))
                }
            };
            let another = {
                let mut progress = tried.lock();
                progress.ran = true;
                progress.excluded.push(node);
                progress.may_reach_another(asked)
            };
            let now = self.shared.clock.now();
            let sense = asked.is_repeatable() && another && now < asked.deadline;
            let again = sense && self.shared.deployment().take_retry(&asked.service, now);
            if sense {
                let reason = if again { "failed" } else { "no-budget" };
                self.shared.metrics.decided(Decision::Repeat, reason);
            }
            // An upstream's own failure says more than a lost connection.
            let failed = match last {
                Some(Ok(answer)) if failed.is_err() => Ok(answer),
                _ => failed,
            };
            if !again {
                return failed;
            }
            last = Some(failed);
        }
    }

    /// Finds an owner that takes the request.
    async fn place(&self, asked: &Asked, tried: &Tried, draw: f64) -> (NodeName, End) {
        let objective = asked.route.objective;
        let calm_until = asked.arrived + objective.mul_f64(CALM_PART);
        let patience = match asked.parent {
            Some(_) => time_left(asked.deadline, asked.arrived).mul_f64(NESTED_PATIENCE_PART),
            None => objective.mul_f64(PATIENCE_PART),
        };
        let end = (asked.arrived + patience).min(asked.deadline);
        loop {
            let now = self.shared.clock.now();
            let start = Start { any_moment: now >= calm_until, value: self.value(asked, now) };
            let (states, why) = match self.round(asked, tried, draw, start).await {
                Round::Ended(node, end) => return (node, end),
                Round::HandedBack(states, why) => (states, why),
            };
            let now = self.shared.clock.now();
            let none = self.shared.settings.node.name.clone();
            if now >= end || states.is_empty() {
                return (none, End::NotRun { why, arrived: false });
            }
            let pairs: Vec<_> =
                states.iter().enumerate().map(|(index, (_, state))| (index, *state)).collect();
            let Some(best) = shortest_wait(&pairs) else {
                return (none, End::NotRun { why, arrived: false });
            };
            let record = states[best].0.clone();
            // Nobody can start it in time.
            if states[best].1.expected_wait > time_left(end, now) {
                tried.lock().expected = Some(states[best].1.expected_wait);
                return (none, End::NotRun { why: ErrorKind::Overloaded, arrived: false });
            }
            let max_wait = ROUND_WAIT.min(time_left(end, now));
            self.shared.metrics.decided(Decision::Wait, why.answer().name);
            let offer = self.offer_for(asked, tried, &record, max_wait, start);
            if let Some(ended) = self.ask(asked, tried, &record, offer).await {
                return ended;
            }
        }
    }

    /// Returns what it is worth to start a request now.
    fn value(&self, asked: &Asked, now: Instant) -> PriorityClass {
        if asked.parent.is_some() {
            return PriorityClass::Nested;
        }
        let mut deployment = self.shared.deployment();
        let waited = asked
            .named
            .map_or(Duration::ZERO, |time_left| deployment.waited(&asked.route.name, time_left));
        let answered = now.saturating_duration_since(asked.arrived)
            + waited
            + deployment.mean_answer_time(&asked.route);
        if answered > asked.route.objective { PriorityClass::Late } else { PriorityClass::Timely }
    }

    /// Asks the owners in turn, none of which lets the request wait.
    async fn round(&self, asked: &Asked, tried: &Tried, draw: f64, start: Start) -> Round {
        let owners = self.owners(asked, tried, draw);
        let mut states = Vec::new();
        let mut why = ErrorKind::NoUpstream;
        for record in owners.into_iter().take(ROUND_OWNERS) {
            if self.shared.clock.now() >= asked.deadline {
                return Round::HandedBack(states, ErrorKind::DeadlineExceeded);
            }
            let offer = self.offer_for(asked, tried, &record, Duration::ZERO, start);
            match self.send(&record, tried, &offer, asked.deadline).await {
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
        tried: &Tried,
        record: &Arc<NodeRecord>,
        offer: Offer,
    ) -> Option<(NodeName, End)> {
        match self.send(record, tried, &offer, asked.deadline).await {
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
        tried: &Tried,
        record: &Arc<NodeRecord>,
        end: End,
    ) -> Option<(NodeName, End)> {
        tried.lock().arrivals += 1;
        match end {
            End::NotRun { why, .. } => {
                tried.note(&record.node, "refused-by-upstream");
                tried.lock().excluded.push(record.node.clone());
                let now = self.shared.clock.now();
                let again = self.shared.deployment().take_retry(&asked.service, now);
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
    fn owners(&self, asked: &Asked, tried: &Tried, draw: f64) -> Vec<Arc<NodeRecord>> {
        let now = self.shared.clock.now();
        let settings = &self.shared.settings.node;
        let deployment = self.shared.deployment();
        let mut owners = deployment.owners(&asked.service, now);
        {
            let Progress { excluded, at, .. } = &*tried.lock();
            owners
                .retain(|(owner, _)| !excluded.contains(&owner.node) && !at.contains(&owner.node));
        }
        if let AllowedVersions::Share(version, share) = deployment.allowed_versions(&asked.service)
        {
            let is_new = |record: &NodeRecord| {
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
            if new {
                // Some versions turn bad under load only, so that one upstream is filled after the
                // other, in the same order at all nodes.
                owners.sort_by(|(one, _), (other, _)| one.node.cmp(&other.node));
                return owners.into_iter().map(|(_, record)| record).collect();
            }
        }
        drop(deployment);
        let mut candidates: Vec<_> =
            owners.iter().map(|(candidate, _)| candidate.clone()).collect();
        sort_by_cost(&mut candidates, &settings.name, &settings.zone, now, &mut rand::rng());
        let record = |node: &NodeName| {
            owners.iter().find(|(candidate, _)| candidate.node == *node).map(|(_, r)| r.clone())
        };
        candidates.iter().filter_map(|candidate| record(&candidate.node)).collect()
    }

    fn offer_for(
        &self,
        asked: &Asked,
        tried: &Tried,
        record: &NodeRecord,
        max_wait: Duration,
        start: Start,
    ) -> Offer {
        let version = record.upstream.as_ref().map(|upstream| upstream.version.clone());
        Offer {
            id: asked.id.clone(),
            node: record.node.clone(),
            service: asked.service.clone(),
            version: version.unwrap_or_else(|| "".into()),
            route: asked.route.name.clone(),
            repeat: asked.route.retry_safety,
            is_retry: tried.is_again(),
            rank: asked.route.rank,
            method: asked.method.clone(),
            target: asked.target.clone(),
            headers: asked.headers.clone(),
            body: asked.body.clone(),
            remaining: time_left(asked.deadline, self.shared.clock.now()),
            max_wait,
            allow_slow: start.any_moment,
            class: start.value,
        }
    }

    /// Sends an offer to an owner; an error says that it has certainly not run.
    async fn send(
        &self,
        record: &NodeRecord,
        tried: &Tried,
        offer: &Offer,
        deadline: Instant,
    ) -> Result<Reply, ErrorKind> {
        let shared = &self.shared;
        let sent = shared.clock.now();
        shared.deployment().on_sent(&record.node);
        let _at = At::new(tried, &record.node, sent);
        let _back = Back { ingress: self, node: &record.node };
        if record.node == shared.settings.node.name {
            let reply = shared.owner.offer(offer).await;
            self.on_reply(&reply, offer, &record.node, sent);
            return Ok(reply);
        }
        let message = codec::encode(offer);
        let answer = shared.client.request(record.inner, OFFER_PATH, message, deadline).await;
        let now = shared.clock.now();
        let decoded = answer.map(|bytes| codec::decode::<Reply>(&bytes));
        let said = match &decoded {
            Ok(Ok(_)) => "answered",
            Ok(Err(_)) => "unreadable",
            Err(oleandertiller_model::Outcome::NotRun(_)) => "not-reached",
            Err(_) => "lost",
        };
        shared.metrics.record_call(
            Dependency::Peer,
            "offer",
            said,
            now.saturating_duration_since(sent),
        );
        let unknown = |kind| Reply { end: End::Unknown(kind), state: NO_STATE };
        match decoded {
            Ok(Ok(reply)) => {
                self.on_reply(&reply, offer, &record.node, sent);
                Ok(reply)
            }
            Ok(Err(_)) => Ok(unknown(ErrorKind::PeerProtocol)),
            Err(oleandertiller_model::Outcome::NotRun(kind)) => {
                let times = shared.deployment().members.on_failure(&record.node, now);
                log::info!(id = &*offer.id, peer = record.node.as_str(), times = times,
                    why = kind.answer().name,
                    ms = now.saturating_duration_since(sent).as_millis() as u64;
                    "peer not reached");
                Err(kind)
            }
            Err(outcome) => {
                let kind = outcome.kind().unwrap_or(ErrorKind::Internal);
                if now < deadline {
                    shared.deployment().members.on_failure(&record.node, now);
                }
                Ok(unknown(kind))
            }
        }
    }

    fn on_reply(&self, reply: &Reply, offer: &Offer, node: &NodeName, sent: Instant) {
        let now = self.shared.clock.now();
        let mut deployment = self.shared.deployment();
        deployment.on_state(node, reply.state, now);
        if matches!(&reply.end, End::Answered(answer) if answer.status < 500) {
            deployment.record_answer_time(&offer.route, now.saturating_duration_since(sent));
        }
    }
}

/// State of an owner that has not told it.
const NO_STATE: OwnerState =
    OwnerState { running: 0, waiting: 0, slots: 0, slowness: 100, expected_wait: Duration::ZERO };

/// A request on its way to an owner; counted back when it is dropped.
struct Back<'a, C: Clock> {
    ingress: &'a Ingress<C>,
    node: &'a NodeName,
}

impl<C: Clock> Drop for Back<'_, C> {
    fn drop(&mut self) {
        self.ingress.shared.deployment().on_returned(self.node);
    }
}
