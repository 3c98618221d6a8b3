//! Requests with an idempotency key, of kinds that must run at most once.
//!
//! The key's keeper records the key in its ledger before it sends the request to an owner. Only the
//! keeper may answer that such a request was not run; after any other refusal the outcome is
//! unknown, since an earlier request with the same key may have run.

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

use super::{Ingress, answer::Answer, request::ClientRequest};
use crate::node::{
    accept::CountGuard,
    shared_ledger::{Decision, detached},
};

/// Pause before the keeper of a key is looked up again after it did not decide.
const KEEPER_LOOKUP_INTERVAL: Duration = Duration::from_millis(20);

/// Where the keeper of a key runs.
enum KeeperSite {
    Local,
    Remote(NodeName, SocketAddr),
    Unknown,
}

impl<C: Clock> Ingress<C> {
    /// Runs a request with a key through the key's keeper.
    pub(super) async fn run_keyed(
        self: &Arc<Self>,
        req: &ClientRequest,
        call: &mut CallHead,
        body: &Bytes,
    ) -> Answer {
        let Some(key) = call.key else {
            return Answer::of_kind(ErrorKind::Internal);
        };
        loop {
            let answer = match self.keeper_of(req, &key) {
                KeeperSite::Local => self.run_once(call.clone(), req.deadline, body.clone()).await,
                KeeperSite::Remote(node, address) => {
                    self.forward_to_keeper(req, call, body, node, address).await
                }
                KeeperSite::Unknown => None,
            };
            if let Some(answer) = answer {
                return answer;
            }
            // The keeper is being replaced, or its node is not yet known here.
            if self.clock.now() + KEEPER_LOOKUP_INTERVAL >= req.deadline {
                return Answer::of_kind(ErrorKind::KeeperUnreachable);
            }
            task::sleep(KEEPER_LOOKUP_INTERVAL).await;
        }
    }

    fn keeper_of(&self, req: &ClientRequest, key: &IdempotencyKey) -> KeeperSite {
        let view = self.view.load();
        let service = &req.route.spec.name;
        let keeper = view.intent.keepers.get(service).and_then(|set| set.keeper_of(key));
        let Some(keeper) = keeper else { return KeeperSite::Unknown };
        if keeper.node == self.cfg.name {
            return KeeperSite::Local;
        }
        let owners = view.owners.get(service);
        let info = owners.and_then(|owners| owners.iter().find(|o| o.node == keeper.node));
        match info {
            Some(info) => KeeperSite::Remote(info.node.clone(), info.inner),
            None => KeeperSite::Unknown,
        }
    }

    /// Forwards the request to its keeper; returns `None` when the keeper did not decide on it.
    async fn forward_to_keeper(
        &self,
        req: &ClientRequest,
        call: &mut CallHead,
        body: &Bytes,
        node: NodeName,
        address: SocketAddr,
    ) -> Option<Answer> {
        call.role = Role::Keeper;
        call.remaining = req.deadline.saturating_duration_since(self.clock.now());
        let result = self.client.call(address, call, body, req.deadline).await;
        call.role = Role::Owner;
        match result {
            Ok((reply, body)) if reply.outcome == Outcome::NotRun(ErrorKind::StaleIntent) => {
                let _ = body;
                None
            }
            Ok((reply, body)) => Some(answer_from_reply(reply, body)),
            Err(Outcome::NotRun(_)) => {
                log::debug!(
                    "keeper {node} did not run the request; looking up the key's keeper again"
                );
                None
            }
            Err(outcome) => Some(Answer::failure(outcome)),
        }
    }

    /// Decides on a request as its keeper and runs it; returns `None` when this node is not the
    /// keeper or cannot be sure of it.
    async fn run_once(
        self: &Arc<Self>,
        call: CallHead,
        deadline: Instant,
        body: Bytes,
    ) -> Option<Answer> {
        if !self.view.is_fresh(self.clock.now()) {
            // This keeper may have been replaced, for example while its process was paused.
            return None;
        }
        let key = call.key?;
        match self.ledger.decide(key, deadline).await {
            Decision::Run => {
                let this = self.clone();
                Some(detached(async move { this.run_claim(call, deadline, body, key).await }).await)
            }
            Decision::Answer(answer) => Some(*answer),
            Decision::NotKeeper => None,
        }
    }

    async fn run_claim(
        self: Arc<Self>,
        mut call: CallHead,
        deadline: Instant,
        body: Bytes,
        key: IdempotencyKey,
    ) -> Answer {
        // A planned stop waits for this run even if its client has disconnected.
        let _in_flight = CountGuard::new(&self.in_flight);
        call.role = Role::Owner;
        let view = self.view.load();
        let route = self.routes.find(call.service.as_str(), &view, self.clock.now());
        let answer = match ClientRequest::from_call(&call, route, deadline) {
            Ok(req) => self.run_attempts(&req, &mut call, &body).await,
            Err(kind) => Answer::of_kind(kind),
        };
        self.ledger.finish(&key, &answer);
        answer
    }

    /// Answers a call that another node has forwarded to this keeper.
    pub async fn answer_as_keeper(
        self: &Arc<Self>,
        call: CallHead,
        deadline: Instant,
        body: Bytes,
    ) -> (ReplyHead, Bytes) {
        let request = call.request.clone();
        let answer = self.run_once(call, deadline, body).await;
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
            // The keeper has already reported it to its own selector.
            service_time: Duration::ZERO,
            load,
        };
        (head, answer.body)
    }
}

fn answer_from_reply(reply: ReplyHead, body: Bytes) -> Answer {
    Answer {
        outcome: reply.outcome,
        status: reply.status,
        content_type: reply.content_type,
        version: Some(reply.load.version),
        body,
    }
}
