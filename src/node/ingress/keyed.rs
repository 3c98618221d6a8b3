//! Requests with an idempotency key, of kinds that must run at most once.
//!
//! The key's keeper notes the key in its ledger before the request is handed on. For such a
//! request only the keeper may say that it was not run; any other refusal on the way is unknown,
//! since an earlier request with the same key may have run.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use async_std::task;
use bytes::Bytes;
use oleandertiller_model::{
    Clock, ErrorKind, IdempotencyKey, NodeName, Outcome,
    codec::PROTOCOL_VERSION,
    message::{CallHead, ReplyHead, Role},
};

use super::{Ingress, answer::Answer, request::Asked};
use crate::node::{
    accept::CountGuard,
    shared_ledger::{Decision, detached},
};

/// Pause before the keeper of a key is looked up again.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// Where the keeper of a key is.
enum Keeping {
    Here,
    At(NodeName, SocketAddr),
    Nowhere,
}

impl<C: Clock> Ingress<C> {
    /// Runs a request with a key through the key's keeper.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        asked: &Asked,
        call: &mut CallHead,
        body: &Bytes,
    ) -> Answer {
        let Some(key) = call.key else {
            return Answer::of_kind(ErrorKind::Internal);
        };
        loop {
            let answer = match self.keeper_of(asked, &key) {
                Keeping::Here => self.keep(call.clone(), asked.deadline, body.clone()).await,
                Keeping::At(node, address) => {
                    self.ask_keeper(asked, call, body, node, address).await
                }
                Keeping::Nowhere => None,
            };
            if let Some(answer) = answer {
                return answer;
            }
            // The keeper is being replaced or its node has not been heard of yet.
            if self.clock.now() + LOOK_AGAIN >= asked.deadline {
                return Answer::of_kind(ErrorKind::KeeperUnreachable);
            }
            task::sleep(LOOK_AGAIN).await;
        }
    }

    fn keeper_of(&self, asked: &Asked, key: &IdempotencyKey) -> Keeping {
        let view = self.view.load();
        let service = &asked.route.spec.name;
        let keeper = view.intent.keepers.get(service).and_then(|set| set.keeper_of(key));
        let Some(keeper) = keeper else { return Keeping::Nowhere };
        if keeper.node == self.cfg.name {
            return Keeping::Here;
        }
        let owners = view.owners.get(service);
        let info = owners.and_then(|owners| owners.iter().find(|o| o.node == keeper.node));
        match info {
            Some(info) => Keeping::At(info.node.clone(), info.inner),
            None => Keeping::Nowhere,
        }
    }

    /// Passes the request to its keeper; `None` when the keeper did not decide on it.
    async fn ask_keeper(
        &self,
        asked: &Asked,
        call: &mut CallHead,
        body: &Bytes,
        node: NodeName,
        address: SocketAddr,
    ) -> Option<Answer> {
        call.role = Role::Keeper;
        call.remaining = asked.deadline.saturating_duration_since(self.clock.now());
        let result = self.client.call(address, call, body, asked.deadline).await;
        call.role = Role::Owner;
        match result {
            Ok((reply, body)) if reply.outcome == Outcome::NotRun(ErrorKind::StaleIntent) => {
                let _ = body;
                None
            }
            Ok((reply, body)) => Some(answer_of(reply, body)),
            Err(Outcome::NotRun(_)) => {
                log::debug!("keeper {node} cannot be reached");
                None
            }
            Err(outcome) => Some(Answer::failure(outcome)),
        }
    }

    /// Decides on a request as its keeper and runs it; `None` when this node is not the keeper.
    async fn keep(
        self: &Arc<Self>,
        call: CallHead,
        deadline: Instant,
        body: Bytes,
    ) -> Option<Answer> {
        if !self.view.is_fresh(self.clock.now()) {
            // A keeper that was paused may have been replaced.
            return None;
        }
        let key = call.key?;
        match self.ledger.decide(key, deadline).await {
            Decision::Run => {
                let this = self.clone();
                Some(detached(async move { this.run_noted(call, deadline, body, key).await }).await)
            }
            Decision::Answer(answer) => Some(*answer),
            Decision::NotKeeper => None,
        }
    }

    async fn run_noted(
        self: Arc<Self>,
        mut call: CallHead,
        deadline: Instant,
        body: Bytes,
        key: IdempotencyKey,
    ) -> Answer {
        // A planned stop waits for this run even if its client has gone.
        let _active = CountGuard::new(&self.active);
        call.role = Role::Owner;
        let view = self.view.load();
        let route = self.routes.find(call.service.as_str(), &view, self.clock.now());
        let answer = match Asked::of_call(&call, route, deadline) {
            Ok(asked) => self.attempts(&asked, &mut call, &body).await,
            Err(kind) => Answer::of_kind(kind),
        };
        self.ledger.finish(&key, &answer);
        answer
    }

    /// Answers a call that another node has passed on to this keeper.
    pub async fn answer_as_keeper(
        self: &Arc<Self>,
        call: CallHead,
        deadline: Instant,
        body: Bytes,
    ) -> (ReplyHead, Bytes) {
        let request = call.request.clone();
        let answer = self.keep(call, deadline, body).await;
        let answer = answer.unwrap_or_else(|| Answer::of_kind(ErrorKind::StaleIntent));
        let mut load = self.owner.load();
        if let Some(version) = answer.version {
            load.version = version;
        }
        let head = ReplyHead {
            protocol: PROTOCOL_VERSION,
            request,
            outcome: answer.outcome,
            status: answer.status,
            content_type: answer.content_type,
            body_len: answer.body.len() as u64,
            // The keeper has told its own selector.
            service_time: Duration::ZERO,
            load,
        };
        (head, answer.body)
    }
}

fn answer_of(reply: ReplyHead, body: Bytes) -> Answer {
    Answer {
        outcome: reply.outcome,
        status: reply.status,
        content_type: reply.content_type,
        version: Some(reply.load.version),
        body,
    }
}
