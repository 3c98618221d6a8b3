//! Attempts at owners, with retries within the deadline and the budget.

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

use super::{Ingress, answer::Answer, request::Asked, route::Picked};

/// Lowest status that counts as a failure of the upstream.
const FAILURE_STATUS: u16 = 500;

impl<C: Clock> Ingress<C> {
    /// Runs an accepted request until it has an answer.
    pub(super) async fn run(
        self: &Arc<Self>,
        asked: &Asked,
        request: RequestId,
        body: Bytes,
    ) -> Answer {
        let mut call = self.call_head(asked, request);
        if asked.is_keyed() {
            return self.run_keyed(asked, &mut call, &body).await;
        }
        self.attempts(asked, &mut call, &body).await
    }

    pub(super) async fn attempts(
        &self,
        asked: &Asked,
        call: &mut CallHead,
        body: &Bytes,
    ) -> Answer {
        let safety = asked.spec().safety;
        let mut tried: Vec<NodeName> = Vec::new();
        let mut last = Answer::of_kind(ErrorKind::NoUpstream);
        let mut doubt: Option<ErrorKind> = None;
        let mut failed: Option<Answer> = None;
        // One draw for all attempts, so that retries stay with the version that was picked.
        let draw = rand::random();
        loop {
            let now = self.clock.now();
            if now >= asked.deadline {
                break;
            }
            if !tried.is_empty() && !self.take_retry(now) {
                break;
            }
            let Some(picked) = asked.route.pick(asked.kind, &tried, draw, now) else { break };
            tried.push(picked.owner.node.clone());
            last = self.attempt(asked, call, body, picked).await;
            if let Outcome::Unknown(kind) = last.outcome {
                doubt.get_or_insert(kind);
            }
            if !is_retryable(&last, safety) {
                break;
            }
            if last.outcome == Outcome::Done {
                failed = Some(last.clone());
            }
        }
        if tried.is_empty() && self.clock.now() >= asked.deadline {
            last = Answer::of_kind(ErrorKind::DeadlineExceeded);
        }
        settle(last, doubt, failed)
    }

    async fn attempt(
        &self,
        asked: &Asked,
        call: &mut CallHead,
        body: &Bytes,
        picked: Picked<'_>,
    ) -> Answer {
        let result = self.ask_owner(asked, call, body, &picked.owner.node).await;
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
                end(picked, &answer, Some((reply.load, reply.service_time)), now);
                answer
            }
            Err(outcome) => {
                let answer = Answer::failure(outcome);
                end(picked, &answer, None, now);
                answer
            }
        }
    }

    async fn ask_owner(
        &self,
        asked: &Asked,
        call: &mut CallHead,
        body: &Bytes,
        node: &NodeName,
    ) -> Result<(ReplyHead, Bytes), Outcome> {
        if *node == self.cfg.name {
            return Ok(self.owner.run(call, asked.deadline, body).await);
        }
        let address = asked.route.address(node).ok_or(Outcome::NotRun(ErrorKind::NoUpstream))?;
        call.remaining = asked.deadline.saturating_duration_since(self.clock.now());
        self.client.call(address, call, body, asked.deadline).await
    }

    fn take_retry(&self, now: Instant) -> bool {
        let taken = self.budgets().extra.try_take(now);
        let counter = if taken { &self.metrics.retries } else { &self.metrics.retries_refused };
        counter.inc();
        taken
    }

    fn call_head(&self, asked: &Asked, request: RequestId) -> CallHead {
        CallHead {
            protocol: PROTOCOL_VERSION,
            request,
            role: Role::Owner,
            service: asked.route.spec.name.clone(),
            kind: asked.spec().name.clone(),
            method: asked.method.to_owned(),
            path: asked.path.clone(),
            content_type: asked.content_type.clone(),
            remaining: asked.deadline.saturating_duration_since(self.clock.now()),
            depth: asked.depth,
            key: asked.key.as_ref().map(|(key, _)| *key),
            key_text: asked.key.as_ref().map(|(_, text)| text.clone()),
            revision: asked.route.intent.revision,
        }
    }
}

/// Tells the selector about an attempt. A failure status is a whole answer for the client, but
/// must not make an upstream that fails fast look good.
fn end(picked: Picked<'_>, answer: &Answer, owner: Option<(LoadReport, Duration)>, now: Instant) {
    let failed = answer.outcome == Outcome::Done && answer.status >= FAILURE_STATUS;
    let outcome = if failed { Outcome::Unknown(ErrorKind::Internal) } else { answer.outcome };
    picked.end(outcome, owner, now);
}

fn is_retryable(answer: &Answer, safety: Safety) -> bool {
    if answer.outcome == Outcome::Done {
        return answer.status >= FAILURE_STATUS && safety == Safety::Idempotent;
    }
    may_retry(answer.outcome, safety)
}

/// Returns the answer after all attempts. A refusal of the last attempt does not prove that the
/// request was not run when an earlier attempt ran it, whose answer is then given, or may have.
fn settle(mut last: Answer, doubt: Option<ErrorKind>, failed: Option<Answer>) -> Answer {
    if let (Outcome::NotRun(_) | Outcome::Unknown(_), Some(failed)) = (last.outcome, failed) {
        return failed;
    }
    if let (Outcome::NotRun(_), Some(kind)) = (last.outcome, doubt) {
        last.outcome = Outcome::Unknown(kind);
    }
    last
}
