//! The ledger of this node's service, shared by the client port, the inner port and the keeper
//! service.

use std::{
    future::Future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use async_std::task;
use bytes::Bytes;
use oleandertiller_model::{
    Clock, ErrorKind, IdempotencyKey, Outcome, VersionName,
    intent::{Keeper, KeeperSet},
    message::LedgerPull,
};
use oleandertiller_routing::ledger::{Claim, Handover, Ledger, LedgerConfig, RunOutcome};
use serde::{Deserialize, Serialize};

use super::ingress::answer::Answer;

/// Interval at which a key is polled that is in progress or whose handover is pending.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Largest body of a stored answer, in bytes. The ledger holds each answer for its whole window, so
/// larger ones are not stored; repeats of their requests are answered with an unknown outcome.
const MAX_STORED_BODY_BYTES: usize = 16 << 10;

/// The answer to the first run of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoredAnswer {
    /// HTTP status of the upstream's answer.
    pub status: u16,
    /// `content-type` of the body.
    pub content_type: Option<String>,
    /// Version of the upstream that ran the request.
    pub version: Option<VersionName>,
    /// Body of the upstream's answer.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    fn from_answer(answer: &Answer) -> Option<Self> {
        (answer.body.len() <= MAX_STORED_BODY_BYTES).then(|| Self {
            status: answer.status,
            content_type: answer.content_type.clone(),
            version: answer.version.clone(),
            body: answer.body[..].into(),
        })
    }

    fn into_answer(self) -> Answer {
        Answer {
            outcome: Outcome::Done,
            status: self.status,
            content_type: self.content_type,
            version: self.version,
            body: Bytes::copy_from_slice(&self.body),
        }
    }
}

/// Decision of a keeper on a request with a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it; [`SharedLedger::finish`] must follow.
    Run,
    /// Answer without running it.
    Answer(Box<Answer>),
    /// This node is not the key's keeper.
    NotKeeper,
}

/// A [`Ledger`] behind a lock, with waiting for runs and handovers.
pub struct SharedLedger<C> {
    clock: C,
    ledger: Mutex<Ledger<StoredAnswer>>,
}

impl<C: Clock> SharedLedger<C> {
    /// Creates an empty ledger for the keeper `local`.
    pub fn new(cfg: LedgerConfig, local: Keeper, clock: C) -> Self {
        Self { clock, ledger: Mutex::new(Ledger::new(cfg, local)) }
    }

    /// Decides on a request, after waiting for a run of the same key or for handovers until
    /// `deadline` at the latest.
    pub async fn decide(&self, key: IdempotencyKey, deadline: Instant) -> Decision {
        loop {
            let now = self.clock.now();
            let claim = self.lock().claim(key, now, self.clock.wall());
            let wait_failure = match claim {
                Claim::Run => return Decision::Run,
                Claim::Replay(stored) => return answer(stored.into_answer()),
                Claim::Refuse(kind) => return answer(Answer::of_kind(kind)),
                Claim::NotKeeper => return Decision::NotKeeper,
                Claim::InProgress => ErrorKind::KeyInProgress,
                Claim::Pending => ErrorKind::KeyInDoubt,
            };
            if now + POLL_INTERVAL >= deadline {
                return answer(Answer::of_kind(wait_failure));
            }
            task::sleep(POLL_INTERVAL).await;
        }
    }

    /// Records how a run has ended.
    pub fn finish(&self, key: &IdempotencyKey, answer: &Answer) {
        let run_outcome = match answer.outcome {
            Outcome::Done => {
                StoredAnswer::from_answer(answer).map_or(RunOutcome::Unknown, RunOutcome::Done)
            }
            Outcome::NotRun(_) => RunOutcome::NotRun,
            Outcome::Unknown(_) => RunOutcome::Unknown,
        };
        self.lock().finish(key, run_outcome);
    }

    /// Applies a keeper set if it is newer than the one in force.
    pub fn apply_keeper_set(&self, keeper_set: &KeeperSet) {
        let mut ledger = self.lock();
        if keeper_set.epoch > ledger.keeper_set().epoch {
            ledger.apply_keeper_set(keeper_set.clone());
        }
    }

    /// Returns whether `epoch` is in force here and every holder has handed its entries over.
    pub fn handover_is_complete(&self, epoch: u64) -> bool {
        let ledger = self.lock();
        ledger.keeper_set().epoch == epoch && ledger.missing_handovers().is_empty()
    }

    /// Returns the holders whose handover is still missing.
    pub fn missing_handovers(&self) -> Vec<Keeper> {
        self.lock().missing_handovers()
    }

    /// Returns the entries that a member of the keeper set pulls; `None` if they cannot be handed
    /// over yet.
    pub fn hand_over(&self, pull: &LedgerPull) -> Option<Handover<StoredAnswer>> {
        self.lock().hand_over(&pull.to, pull.epoch, self.clock.now())
    }

    /// Adds the entries of a handover to the ledger.
    pub fn take_over(&self, handover: Handover<StoredAnswer>) {
        self.lock().take_over(handover, self.clock.now());
    }

    /// Returns whether every member has taken over the entries of this leaving keeper.
    pub fn leave_is_complete(&self) -> bool {
        self.lock().leave_is_complete()
    }

    /// Returns the number of entries in the ledger.
    pub fn entries(&self) -> usize {
        self.lock().len()
    }

    fn lock(&self) -> MutexGuard<'_, Ledger<StoredAnswer>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn answer(answer: Answer) -> Decision {
    Decision::Answer(Box::new(answer))
}

/// Runs `work` to its end even if the returned future is dropped.
///
/// A client that loses its connection repeats the request, which is answered from this run.
pub async fn detached<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> T {
    task::spawn(work).await
}
