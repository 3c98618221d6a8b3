//! Dispatch of a request to owners, with retries and hedging.
//!
//! A request is offered to owners in the order of their expected cost. An owner that can't start
//! it at once refuses it without running it. When all have refused it, the request waits briefly in
//! the queue of the owner with the shortest expected wait. Then the next round begins, until the
//! request starts or can't start in time any more.

use std::{
    future::Future,
    pin::{Pin, pin},
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    admission_queue::{OwnerState, PriorityClass},
    capacity_view::Need,
    crash_suspects,
    members::NodeRecord,
    placement::shortest_wait,
    retry_budget::RetryReason,
    upstream_capacity::UpstreamCapacity,
};
use oleandertiller_model::{Clock, ErrorKind, NodeName};
use oleandertiller_platform::header;

use super::{
    Ingress,
    attempts::{Attempts, InFlightGuard},
    outcome::{Failure, Outcome},
    ranking::{RankedOwner, RankedOwners},
    request::ClientRequest,
};
use crate::{
    mesh::{
        daemon::response_limits,
        deployment_state::time_left,
        frame,
        message::{End, OFFER_PATH, Offer, Reply, Response},
        metrics::{Admission, Decision, Dependency},
    },
    node::inner::MessageError,
};

/// Maximum number of owners that are offered a request in one round although they are known to have
/// no capacity for it.
const MAX_FULL_OWNERS_PER_ROUND: usize = 2;

/// Number of owners that refuse a request because a service that it would call is full, after which
/// no other is asked.
const MAX_CALLS_REFUSALS: usize = 2;

/// Minimum wait at one owner, so that a request is not withdrawn as soon as it waits.
const MIN_WAIT_PER_ROUND: Duration = Duration::from_millis(15);

/// Minimum time between the offers of two rounds, as an owner may refuse a waiting request at once.
const MIN_ROUND_TIME: Duration = Duration::from_millis(10);

/// Maximum wait at one owner, after which all owners are asked again.
const MAX_WAIT_PER_ROUND: Duration = Duration::from_millis(80);

/// Fraction of the latency objective after which a request may start on a slow upstream; before,
/// it goes only to owners at normal speed.
const ALLOW_SLOW_OBJECTIVE_FRACTION: f64 = 0.15;

/// Fraction of the latency objective after which a request that has not started is refused.
const MAX_WAIT_OBJECTIVE_FRACTION: f64 = 0.6;

/// Time between two checks of whether the hedge is due.
const HEDGE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// Fraction of the time until its deadline after which a nested call that has not started is
/// refused. Such a call waits longer than others because its refusal wastes the parent's work.
const NESTED_MAX_WAIT_FRACTION: f64 = 0.8;

/// Expected wait that clients are told when no owner has reported one.
const DEFAULT_EXPECTED_WAIT: Duration = Duration::from_millis(300);

/// Conditions under which owners may start a request.
#[derive(Clone, Copy)]
struct StartConditions {
    /// Whether it may start while the upstream is slow.
    allow_slow: bool,
    /// Priority class in the owner's queue.
    class: PriorityClass,
    /// Longest wait until its start, in all rounds.
    max_wait: Duration,
}

/// Outcome of one round of offers.
enum RoundOutcome {
    /// An owner sent the request to its upstream.
    Ended(NodeName, End),
    /// All owners refused the request: the states of those that lack capacity, and the last
    /// owner's reason.
    Refused(Vec<(Arc<NodeRecord>, OwnerState)>, ErrorKind),
}

impl<C: Clock> Ingress<C> {
    /// Runs a request to its final outcome.
    pub(super) async fn run_request(&self, request: &ClientRequest) -> Outcome {
        let now = self.shared.clock.now();
        {
            let mut deployment = self.shared.deployment();
            deployment.on_request(&request.service, now);
            if request.parent.as_ref().is_some_and(|parent| parent.is_retry) {
                deployment.count_retry(&request.service, now);
            }
        }
        let attempts = Attempts::default();
        // One draw for all attempts, so that a retry goes to the same version.
        let version_draw = rand::random();
        let primary = pin!(self.run_with_retries(request, &attempts, version_draw));
        let result = match request.is_idempotent() {
            true => self.run_hedged(request, &attempts, version_draw, primary).await,
            false => primary.await,
        };
        let state = attempts.lock();
        let result = result.map_err(|failure| Failure {
            not_run: failure.not_run && !state.may_have_run && state.in_flight.is_empty(),
            ..failure
        });
        Outcome { result, deadline: Some(request.deadline), hops: state.hops.clone() }
    }

    /// Waits for `primary`, and hedges the request once that takes too long.
    async fn run_hedged<F>(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        version_draw: f64,
        mut primary: Pin<&mut F>,
    ) -> Result<Response, Failure>
    where
        F: Future<Output = Result<Response, Failure>>,
    {
        let wait = self.shared.deployment().hedge_delay(&request.route);
        let slow = pin!(self.wait_until_slow(attempts, wait));
        if let Either::Left((result, _)) = select(primary.as_mut(), slow).await {
            return result;
        }
        let hedge = pin!(self.run_hedge(request, attempts, version_draw));
        match select(primary, hedge).await {
            Either::Left((Ok(response), _)) if response.status < 500 => Ok(response),
            Either::Left((result, hedge)) => hedge.await.map_or(result, Ok),
            Either::Right((Some(response), _)) => Ok(response),
            Either::Right((None, primary)) => primary.await,
        }
    }

    /// Waits until the last offer has been in flight for `wait`.
    async fn wait_until_slow(&self, attempts: &Attempts, wait: Duration) {
        loop {
            let now = self.shared.clock.now();
            let sent = attempts.lock().last_sent;
            let due = sent.map_or(now + wait, |sent| sent + wait);
            if due <= now && !attempts.lock().in_flight.is_empty() {
                return;
            }
            self.shared.timers.at(due.max(now + HEDGE_CHECK_INTERVAL)).await;
        }
    }

    /// Sends the hedged request to another owner that starts it at once; returns its response
    /// unless that is a server error.
    async fn run_hedge(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        version_draw: f64,
    ) -> Option<Response> {
        let now = self.shared.clock.now();
        if !attempts.lock().may_try_another_upstream(request) {
            return None;
        }
        // The budget comes first, so that no owner starts a request that the budget then forbids.
        if !self.shared.deployment().take_retry(&request.service, RetryReason::Slow, now) {
            self.shared.metrics.count_decision(Decision::Hedge, "no-budget");
            return None;
        }
        self.shared.metrics.count_decision(Decision::Hedge, "slow");
        attempts.record_hop(&self.shared.settings.node.name, "hedge");
        match self
            .ask_round(
                request,
                attempts,
                version_draw,
                StartConditions {
                    allow_slow: false,
                    class: PriorityClass::Hedge,
                    max_wait: Duration::ZERO,
                },
            )
            .await
        {
            RoundOutcome::Ended(_, End::Answered(response)) if response.status < 500 => {
                Some(response)
            }
            RoundOutcome::Ended(node, _) => {
                let mut state = attempts.lock();
                state.may_have_run = true;
                state.excluded.push(node);
                None
            }
            RoundOutcome::Refused(..) => None,
        }
    }

    /// Runs a request, with retries as far as the route and the retry budget allow.
    async fn run_with_retries(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        version_draw: f64,
    ) -> Result<Response, Failure> {
        let mut last_result: Option<Result<Response, Failure>> = None;
        loop {
            let (node, failed_result) =
                match self.place_request(request, attempts, version_draw).await {
                    (_, End::Answered(response)) if response.status < 500 => return Ok(response),
                    (node, End::Answered(response)) => (node, Ok(response)),
                    (_, End::NotRun { why, .. }) => {
                        let expected_wait =
                            attempts.lock().expected_wait.unwrap_or(DEFAULT_EXPECTED_WAIT);
                        let failure = Failure { kind: why, not_run: true, expected_wait };
                        return last_result.unwrap_or(Err(failure));
                    }
                    (node, End::Unknown(kind)) => (
                        node,
                        Err(Failure { kind, not_run: false, expected_wait: DEFAULT_EXPECTED_WAIT }),
                    ),
                };
            let may_try_another = {
                let mut state = attempts.lock();
                state.may_have_run = true;
                state.excluded.push(node);
                state.may_try_another_upstream(request)
            };
            let now = self.shared.clock.now();
            let may_retry = request.is_idempotent() && may_try_another && now < request.deadline;
            let retry = may_retry
                && self.shared.deployment().take_retry(
                    &request.service,
                    request.retry_reason(),
                    now,
                );
            if may_retry {
                let reason = if retry { "failed" } else { "no-budget" };
                self.shared.metrics.count_decision(Decision::Retry, reason);
            }
            // A server error of an upstream tells the client more than a lost connection.
            let failed_result = match last_result {
                Some(Ok(response)) if failed_result.is_err() => Ok(response),
                _ => failed_result,
            };
            if !retry {
                return failed_result;
            }
            last_result = Some(failed_result);
        }
    }

    /// Offers a request to owners, in rounds, until one runs it or it can't be started in time.
    async fn place_request(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        version_draw: f64,
    ) -> (NodeName, End) {
        let objective = request.route.objective;
        let allow_slow_from = request.arrived + objective.mul_f64(ALLOW_SLOW_OBJECTIVE_FRACTION);
        let max_wait = match request.parent {
            Some(_) => {
                time_left(request.deadline, request.arrived).mul_f64(NESTED_MAX_WAIT_FRACTION)
            }
            None => objective.mul_f64(MAX_WAIT_OBJECTIVE_FRACTION),
        };
        let wait_end = (request.arrived + max_wait).min(request.deadline);
        let now = self.shared.clock.now();
        let (class, _) = self.priority_class(request, now);
        if let Some(wait) = self.refuse_early(request, class, time_left(wait_end, now), now) {
            attempts.lock().expected_wait = Some(wait);
            let end = End::NotRun { why: ErrorKind::Overloaded, arrived: false };
            return (self.shared.settings.node.name.clone(), end);
        }
        loop {
            let now = self.shared.clock.now();
            let (class, class_until) = self.priority_class(request, now);
            let conditions = StartConditions {
                allow_slow: now >= allow_slow_from,
                class,
                max_wait: time_left(wait_end, now),
            };
            let (states, why) =
                match self.ask_round(request, attempts, version_draw, conditions).await {
                    RoundOutcome::Ended(node, end) => return (node, end),
                    RoundOutcome::Refused(states, why) => (states, why),
                };
            let now = self.shared.clock.now();
            let this_node = self.shared.settings.node.name.clone();
            if now >= wait_end || states.is_empty() {
                return (this_node, End::NotRun { why, arrived: false });
            }
            let indexed_states: Vec<_> =
                states.iter().enumerate().map(|(index, (_, state))| (index, *state)).collect();
            let Some(best) = shortest_wait(&indexed_states, time_left(wait_end, now)) else {
                return (this_node, End::NotRun { why, arrived: false });
            };
            let record = states[best].0.clone();
            // No owner is expected to start it in time.
            if states[best].1.expected_wait > time_left(wait_end, now) {
                attempts.lock().expected_wait = Some(states[best].1.expected_wait);
                return (this_node, End::NotRun { why: ErrorKind::Overloaded, arrived: false });
            }
            if self.is_revoked(request) {
                let why = ErrorKind::UnknownApiKey;
                return (this_node, End::NotRun { why, arrived: false });
            }
            let round_wait = MAX_WAIT_PER_ROUND.min(time_left(wait_end, now));
            // Its class must not be out of date while it waits: it would take the capacity of those
            // that can still be in time.
            let round_wait = round_wait.min(time_left(class_until, now).max(MIN_WAIT_PER_ROUND));
            self.shared.metrics.count_decision(Decision::Wait, why.answer().name);
            self.shared.metrics.count_admission(
                &request.route.name,
                request.rank,
                Admission::Wait,
                why.answer().name,
            );
            let offer = self.new_offer(request, attempts, &record, round_wait, conditions);
            if let Some(ended) = self.offer_with_wait(request, attempts, &record, offer).await {
                return ended;
            }
            self.shared.timers.at((now + MIN_ROUND_TIME).min(wait_end)).await;
        }
    }

    /// Returns the priority class of a request that would start now, and until when it is that.
    fn priority_class(&self, request: &ClientRequest, now: Instant) -> (PriorityClass, Instant) {
        if request.parent.is_some() {
            return (PriorityClass::Nested, request.deadline);
        }
        let mut deployment = self.shared.deployment();
        let waited = request
            .client_timeout
            .map_or(Duration::ZERO, |remaining| deployment.waited(&request.route.name, remaining));
        let expected_latency = now.saturating_duration_since(request.arrived)
            + waited
            + deployment.expected_answer_time(&request.route, &request.service, now);
        match request.route.objective.checked_sub(expected_latency) {
            Some(left) => (PriorityClass::Timely, now + left),
            None => (PriorityClass::Late, request.deadline),
        }
    }

    /// Offers a request to one owner after the other, without waiting at any of them.
    async fn ask_round(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        version_draw: f64,
        conditions: StartConditions,
    ) -> RoundOutcome {
        let RankedOwners { mut preferred, mut fallback, max_offers } =
            self.rank_owners(request, attempts, version_draw, conditions.class);
        let mut states = Vec::new();
        let mut why = ErrorKind::NoUpstream;
        let (mut asked, mut full_owners, mut calls_refusals) = (0, 0, 0);
        while asked < max_offers {
            let Some(RankedOwner { record, refusing }) = preferred.next() else { break };
            if self.is_revoked(request) {
                return RoundOutcome::Refused(Vec::new(), ErrorKind::UnknownApiKey);
            }
            if let Some(state) = refusing {
                why = ErrorKind::Overloaded;
                states.push((record, state));
                continue;
            }
            if self.is_full(request, &record, conditions) {
                full_owners += 1;
                if full_owners > MAX_FULL_OWNERS_PER_ROUND {
                    continue;
                }
            }
            asked += 1;
            if self.shared.clock.now() >= request.deadline {
                return RoundOutcome::Refused(states, ErrorKind::DeadlineExceeded);
            }
            let offer = self.new_offer(request, attempts, &record, Duration::ZERO, conditions);
            match self.send_offer(&record, attempts, &offer, request.deadline).await {
                Ok(Reply { end: End::NotRun { why: kind, arrived: false }, state, .. }) => {
                    attempts.record_hop(&record.node, kind.answer().name);
                    why = kind;
                    match kind {
                        // The same service is full for the other owners as well.
                        ErrorKind::Overloaded if !state.calls_wait.is_zero() => {
                            calls_refusals += 1;
                            if calls_refusals >= MAX_CALLS_REFUSALS {
                                attempts.lock().expected_wait = Some(state.calls_wait);
                                return RoundOutcome::Refused(Vec::new(), kind);
                            }
                        }
                        ErrorKind::Overloaded | ErrorKind::Cold => states.push((record, state)),
                        ErrorKind::CrashesUpstreams => {
                            attempts.lock().expected_wait = Some(crash_suspects::MIN_PAUSE);
                            return RoundOutcome::Refused(Vec::new(), kind);
                        }
                        // The other owners of the version are likely to refuse as well.
                        ErrorKind::VersionVetoed => {
                            if let Some(owners) = fallback.take() {
                                preferred = owners;
                            }
                        }
                        _ => {}
                    }
                }
                Ok(reply) => {
                    if let Some((node, end)) =
                        self.on_reached_upstream(request, attempts, &record, reply)
                    {
                        return RoundOutcome::Ended(node, end);
                    }
                }
                Err(kind) => {
                    attempts.record_hop(&record.node, kind.answer().name);
                    why = kind;
                }
            }
        }
        RoundOutcome::Refused(states, why)
    }

    /// Returns whether an owner is known to have no capacity for a request.
    fn is_full(
        &self,
        request: &ClientRequest,
        record: &NodeRecord,
        conditions: StartConditions,
    ) -> bool {
        let priority = (conditions.class, request.rank);
        let need = Need {
            service: &request.service,
            route: &request.route.name,
            priority,
            max_wait: conditions.max_wait,
        };
        let now = self.shared.clock.now();
        self.shared.deployment().capacity.is_full(&record.node, &need, now)
    }

    /// Offers a request to an owner where it may wait; returns `None` if it is refused.
    async fn offer_with_wait(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        record: &Arc<NodeRecord>,
        offer: Offer,
    ) -> Option<(NodeName, End)> {
        match self.send_offer(record, attempts, &offer, request.deadline).await {
            Ok(Reply { end: End::NotRun { why, arrived: false }, .. }) | Err(why) => {
                attempts.record_hop(&record.node, why.answer().name);
                None
            }
            Ok(reply) => self.on_reached_upstream(request, attempts, record, reply),
        }
    }

    /// Records that a request has reached an upstream; returns `None` if the upstream refused it
    /// and the retry budget allows another.
    fn on_reached_upstream(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        record: &Arc<NodeRecord>,
        reply: Reply,
    ) -> Option<(NodeName, End)> {
        let Reply { end, state, .. } = reply;
        attempts.lock().upstreams_reached += 1;
        match end {
            End::NotRun { why, .. } => {
                attempts.record_hop(&record.node, "refused-by-upstream");
                attempts.lock().excluded.push(record.node.clone());
                let now = self.shared.clock.now();
                let retry = self.shared.deployment().take_retry(
                    &request.service,
                    request.retry_reason(),
                    now,
                );
                if !retry {
                    attempts.lock().expected_wait = Some(state.expected_wait);
                }
                (!retry).then(|| (record.node.clone(), End::NotRun { why, arrived: true }))
            }
            End::Answered(response) => {
                attempts.record_hop(&record.node, "answered");
                Some((record.node.clone(), End::Answered(response)))
            }
            End::Unknown(kind) => {
                attempts.record_hop(&record.node, kind.answer().name);
                Some((record.node.clone(), End::Unknown(kind)))
            }
        }
    }

    fn new_offer(
        &self,
        request: &ClientRequest,
        attempts: &Attempts,
        record: &NodeRecord,
        max_wait: Duration,
        conditions: StartConditions,
    ) -> Offer {
        let version = record.upstream.as_ref().map(|upstream| upstream.version.clone());
        let version = version.unwrap_or_else(|| "".into());
        Offer {
            id: request.id.clone(),
            node: record.node.clone(),
            sender: self.shared.settings.node.name.clone(),
            service: request.service.clone(),
            rolling_out: self.shared.deployment().is_rolling_out(&request.service, &version),
            version,
            route: request.route.name.clone(),
            retry_safety: request.route.retry_safety,
            is_retry: attempts.is_retry(),
            rank: request.rank,
            tenant: request
                .tenant
                .as_ref()
                .filter(|_| !attempts.has_begun())
                .map(|t| t.name.clone()),
            method: request.method.clone(),
            target: request.target.clone(),
            headers: request.headers.clone(),
            body: request.body.clone(),
            remaining: time_left(request.deadline, self.shared.clock.now()),
            max_wait,
            allow_slow: conditions.allow_slow,
            class: conditions.class,
        }
    }

    /// Sends an offer to an owner.
    ///
    /// # Errors
    ///
    /// Returns the reason if the owner was not reached, so that the request has not run.
    async fn send_offer(
        &self,
        record: &NodeRecord,
        attempts: &Attempts,
        offer: &Offer,
        deadline: Instant,
    ) -> Result<Reply, ErrorKind> {
        let shared = &self.shared;
        let sent = shared.clock.now();
        shared.deployment().on_sent(&record.node);
        let _in_flight = InFlightGuard::new(attempts, &record.node, sent);
        let _in_flight_count = InFlightCountGuard { ingress: self, node: &record.node };
        if record.node == shared.settings.node.name {
            let reply = shared.owner.offer(offer).await;
            self.on_reply(&reply, offer, record, sent);
            return Ok(reply);
        }
        let parts = frame::encode(offer, &offer.body);
        let read = |mut stream| async move {
            match frame::read::<Reply>(&mut stream, &response_limits(&shared.memory)).await {
                Ok((mut reply, body)) => {
                    reply.set_body(body);
                    Ok(Ok(reply))
                }
                Err(MessageError::Malformed) => Ok(Err(MessageError::Malformed)),
                Err(error) => Err(error),
            }
        };
        let decoded =
            shared.client.exchange_parts(record.inner, OFFER_PATH, parts, deadline, read).await;
        let now = shared.clock.now();
        let call_outcome = match &decoded {
            Ok(Ok(_)) => "answered",
            Ok(Err(_)) => "unreadable",
            Err(oleandertiller_model::Outcome::NotRun(_)) => "not-reached",
            Err(_) => "lost",
        };
        shared.metrics.record_call(
            Dependency::Peer,
            "offer",
            call_outcome,
            now.saturating_duration_since(sent),
        );
        let unknown = |kind| Reply {
            end: End::Unknown(kind),
            state: UNKNOWN_STATE,
            held: Duration::ZERO,
            zones: Vec::new(),
        };
        match decoded {
            Ok(Ok(reply)) => {
                let reply = Reply { end: reply.end.with_valid_status(), ..reply };
                self.on_reply(&reply, offer, record, sent);
                Ok(reply)
            }
            Ok(Err(_)) => Ok(unknown(ErrorKind::PeerProtocol)),
            Err(oleandertiller_model::Outcome::NotRun(kind)) => {
                let times = shared.deployment().members.on_failure(&record.node, now);
                log::info!(id = &*offer.id, peer = record.node.as_str(), times = times,
                    why = kind.answer().name,
                    ms = now.saturating_duration_since(sent).as_millis() as u64;
                    "cannot reach peer to offer a request");
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

    fn on_reply(&self, reply: &Reply, offer: &Offer, record: &NodeRecord, sent: Instant) {
        let node = &record.node;
        let now = self.shared.clock.now();
        let mut deployment = self.shared.deployment();
        deployment.on_state(node, reply.state, now);
        let priority = (offer.class, offer.rank);
        let owner = (node, &record.zone);
        deployment.capacity.on_state(&offer.service, owner, priority, reply.state, now);
        match &reply.end {
            End::NotRun { why: ErrorKind::Overloaded, arrived: false } => {
                let wait = reply.state.calls_wait;
                if !wait.is_zero() {
                    deployment.capacity.on_calls(&offer.route, Some(wait), now);
                }
            }
            End::Answered(_) => deployment.capacity.on_calls(&offer.route, None, now),
            _ => {}
        }
        let elapsed = now.saturating_duration_since(sent);
        if let Some(late) = deployment.on_reply_time(node, elapsed, reply.held, now) {
            log::info!(peer = node.as_str(), late = late; "whether a peer answers late has changed");
        }
        let started = match reply.end {
            End::NotRun { arrived: false, why: ErrorKind::Overloaded | ErrorKind::Cold } => {
                Some(false)
            }
            End::NotRun { arrived: false, .. } => None,
            _ => Some(true),
        };
        // An offer that may wait, and a hedge, meet other conditions. The state of this node's own
        // owner is known.
        let tells = offer.max_wait.is_zero()
            && offer.class != PriorityClass::Hedge
            && *node != self.shared.settings.node.name;
        let started = started.filter(|_| tells).map(|started| (&record.zone, started));
        deployment.on_zones(&offer.service, started, &reply.zones, now);
        match &reply.end {
            End::Answered(response) => {
                let limited = response.headers.get(header::REQUEST_LIMIT).is_some();
                deployment.on_limited(node, limited, now);
                if let Some(upstream) = &record.upstream
                    && header::is_leaving(response.headers.get(header::LEAVING))
                    && deployment.on_leaving(node, &upstream.incarnation)
                {
                    log::info!(peer = node.as_str(), upstream = &*upstream.incarnation.id;
                        "upstream of a peer says in a response that it is leaving");
                }
            }
            End::NotRun { why: ErrorKind::Overloaded, .. } if reply.state.is_rate_bound() => {
                deployment.on_limited(node, true, now);
            }
            _ => {}
        }
        if matches!(&reply.end, End::Answered(response) if response.status < 500) {
            let time = now.saturating_duration_since(sent);
            deployment.record_answer_time(&offer.route, &offer.service, time, now);
        }
    }
}

/// State that is assumed for an owner whose reply was lost.
const UNKNOWN_STATE: OwnerState = OwnerState {
    running: 0,
    waiting: 0,
    slots: 0,
    slowness: 100,
    expected_wait: Duration::ZERO,
    capacity: UpstreamCapacity::UNKNOWN,
    starts_per_minute: 0,
    turned_away: None,
    calls_wait: Duration::ZERO,
};

/// Ends an offer in this node's count of requests in flight to its owner when it is dropped.
struct InFlightCountGuard<'a, C: Clock> {
    ingress: &'a Ingress<C>,
    node: &'a NodeName,
}

impl<C: Clock> Drop for InFlightCountGuard<'_, C> {
    fn drop(&mut self) {
        self.ingress.shared.deployment().on_ended(self.node);
    }
}
