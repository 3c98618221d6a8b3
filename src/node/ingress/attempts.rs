//! Attempts at owners, with retries within the deadline and the retry budget.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use oleandertiller_model::{
    Clock, ErrorKind, LoadReport, NodeName, Outcome, RequestId, Safety,
    codec::PROTOCOL_VERSION,
    message::{CallHead, ReplyHead, Role},
};
use oleandertiller_routing::outcome::may_retry;

use super::{Ingress, answer::Answer, request::ClientRequest, route::PickedOwner};

/// Lowest HTTP status that counts as a failure of the upstream.
const MIN_FAILURE_STATUS: u16 = 500;

impl<C: Clock> Ingress<C> {
    /// Runs an accepted request until it has an answer.
    pub(super) async fn run(
        self: &Arc<Self>,
        req: &ClientRequest,
        request: RequestId,
        body: Bytes,
    ) -> Answer {
        let mut call = self.call_head(req, request);
        if req.is_keyed() {
            return self.run_keyed(req, &mut call, &body).await;
        }
        self.run_attempts(req, &mut call, &body).await
    }

    pub(super) async fn run_attempts(
        &self,
        req: &ClientRequest,
        call: &mut CallHead,
        body: &Bytes,
    ) -> Answer {
        let safety = req.spec().safety;
        let mut tried: Vec<NodeName> = Vec::new();
        let mut last = Answer::of_kind(ErrorKind::NoUpstream);
        let mut first_unknown: Option<ErrorKind> = None;
        let mut failure_answer: Option<Answer> = None;
        // One draw for all attempts, so that retries stay with the same version.
        let draw = rand::random();
        loop {
            let now = self.clock.now();
            if now >= req.deadline {
                break;
            }
            if !tried.is_empty() && !self.take_retry(now) {
                break;
            }
            let Some(picked) = req.route.pick(req.kind, &tried, draw, now) else { break };
            tried.push(picked.owner.node.clone());
            last = self.run_attempt(req, call, body, picked).await;
            if let Outcome::Unknown(kind) = last.outcome {
                first_unknown.get_or_insert(kind);
            }
            if !is_retryable(&last, safety) {
                break;
            }
            if last.outcome == Outcome::Done {
                failure_answer = Some(last.clone());
            }
        }
        if tried.is_empty() && self.clock.now() >= req.deadline {
            last = Answer::of_kind(ErrorKind::DeadlineExceeded);
        }
        final_answer(last, first_unknown, failure_answer)
    }

    async fn run_attempt(
        &self,
        req: &ClientRequest,
        call: &mut CallHead,
        body: &Bytes,
        picked: PickedOwner<'_>,
    ) -> Answer {
        let result = self.call_owner(req, call, body, &picked.owner.node).await;
        let now = self.clock.now();
        match result {
            Ok((reply, body)) => {
                let answer = Answer {
                    outcome: reply.outcome,
                    status: reply.status,
                    content_type: reply.content_type,
                    version: Some(reply.load.version.clone()),
                    body,
                };
                finish(picked, &answer, Some((reply.load, reply.service_time)), now);
                answer
            }
            Err(outcome) => {
                let answer = Answer::failure(outcome);
                finish(picked, &answer, None, now);
                answer
            }
        }
    }

    async fn call_owner(
        &self,
        req: &ClientRequest,
        call: &mut CallHead,
        body: &Bytes,
        node: &NodeName,
    ) -> Result<(ReplyHead, Bytes), Outcome> {
        if *node == self.cfg.name {
            return Ok(self.owner.run(call, req.deadline, body).await);
        }
        let address = req.route.address(node).ok_or(Outcome::NotRun(ErrorKind::NoUpstream))?;
        call.remaining = req.deadline.saturating_duration_since(self.clock.now());
        self.client.call(address, call, body, req.deadline).await
    }

    fn take_retry(&self, now: Instant) -> bool {
        let taken = self.budgets().extra.try_take(now);
        let counter = if taken { &self.metrics.retries } else { &self.metrics.retries_refused };
        counter.inc();
        taken
    }

    fn call_head(&self, req: &ClientRequest, request: RequestId) -> CallHead {
        CallHead {
            protocol: PROTOCOL_VERSION,
            request,
            role: Role::Owner,
            service: req.route.spec.name.clone(),
            kind: req.spec().name.clone(),
            method: req.method.to_owned(),
            path: req.path.clone(),
            content_type: req.content_type.clone(),
            remaining: req.deadline.saturating_duration_since(self.clock.now()),
            depth: req.depth,
            key: req.key.as_ref().map(|(key, _)| *key),
            key_text: req.key.as_ref().map(|(_, text)| text.clone()),
            revision: req.route.intent.revision,
        }
    }
}

/// Reports the end of an attempt to the selector. A failure status is passed to the client, but
/// counts as a failure here, so that an upstream that fails fast does not attract requests.
fn finish(
    picked: PickedOwner<'_>,
    answer: &Answer,
    owner_report: Option<(LoadReport, Duration)>,
    now: Instant,
) {
    let failed = answer.outcome == Outcome::Done && answer.status >= MIN_FAILURE_STATUS;
    let outcome = if failed { Outcome::Unknown(ErrorKind::Internal) } else { answer.outcome };
    picked.finish(outcome, owner_report, now);
}

fn is_retryable(answer: &Answer, safety: Safety) -> bool {
    if answer.outcome == Outcome::Done {
        return answer.status >= MIN_FAILURE_STATUS && safety == Safety::Idempotent;
    }
    may_retry(answer.outcome, safety)
}

/// Returns the answer after all attempts. An earlier answer with a failure status is returned if
/// the last attempt brought no answer. If an earlier attempt may have run the request, a refusal of
/// the last one becomes an unknown outcome.
fn final_answer(
    mut last: Answer,
    first_unknown: Option<ErrorKind>,
    failure_answer: Option<Answer>,
) -> Answer {
    if let (Outcome::NotRun(_) | Outcome::Unknown(_), Some(answer)) = (last.outcome, failure_answer)
    {
        return answer;
    }
    if let (Outcome::NotRun(_), Some(kind)) = (last.outcome, first_unknown) {
        last.outcome = Outcome::Unknown(kind);
    }
    last
}
