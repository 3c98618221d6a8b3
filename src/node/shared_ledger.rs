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

/// Pause between two looks at a key that is being run or not yet handed over.
const POLL: Duration = Duration::from_millis(5);

/// Largest body of a stored answer, in bytes. Repeats of a request with a larger answer are told
/// that the outcome is unknown, since the ledger holds every answer for its whole window.
const STORED_BODY_MAX: usize = 16 << 10;

/// The answer of the first run of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// `content-type` of the body.
    pub content_type: Option<String>,
    /// Version of the upstream that ran it.
    pub version: Option<VersionName>,
    /// The body.
    pub body: Arc<[u8]>,
}

impl StoredAnswer {
    fn from_answer(answer: &Answer) -> Option<Self> {
        (answer.body.len() <= STORED_BODY_MAX).then(|| Self {
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

/// What a keeper does with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Run it; [`SharedLedger::finish`] must follow.
    Run,
    /// Answer with this.
    Answer(Box<Answer>),
    /// This node is not the key's keeper.
    NotKeeper,
}

/// The ledger behind its lock.
pub struct SharedLedger<C> {
    clock: C,
    ledger: Mutex<Ledger<StoredAnswer>>,
}

impl<C: Clock> SharedLedger<C> {
    /// Creates an empty ledger for the keeper `me`.
    pub fn new(cfg: LedgerConfig, me: Keeper, clock: C) -> Self {
        Self { clock, ledger: Mutex::new(Ledger::new(cfg, me)) }
    }

    /// Decides on a request; waits at most until `deadline` for a run of the same key or for
    /// handovers.
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
            if now + POLL >= deadline {
                return answer(Answer::of_kind(wait_failure));
            }
            task::sleep(POLL).await;
        }
    }

    /// Notes how a run has ended.
    pub fn finish(&self, key: &IdempotencyKey, answer: &Answer) {
        let finished = match answer.outcome {
            Outcome::Done => {
                StoredAnswer::from_answer(answer).map_or(RunOutcome::Unknown, RunOutcome::Done)
            }
            Outcome::NotRun(_) => RunOutcome::NotRun,
            Outcome::Unknown(_) => RunOutcome::Unknown,
        };
        self.lock().finish(key, finished);
    }

    /// Puts a keeper set in force.
    pub fn apply_set(&self, set: &KeeperSet) {
        let mut ledger = self.lock();
        if set.epoch > ledger.keeper_set().epoch {
            ledger.apply_keeper_set(set.clone());
        }
    }

    /// Returns whether `epoch` is in force here and every holder has handed over.
    pub fn handover_is_complete(&self, epoch: u64) -> bool {
        let ledger = self.lock();
        ledger.keeper_set().epoch == epoch && ledger.missing_handovers().is_empty()
    }

    /// Returns the holders that must still hand over.
    pub fn missing(&self) -> Vec<Keeper> {
        self.lock().missing_handovers()
    }

    /// Answers a pull of a member.
    pub fn hand_over(&self, pull: &LedgerPull) -> Option<Handover<StoredAnswer>> {
        self.lock().hand_over(&pull.to, pull.epoch, self.clock.now())
    }

    /// Takes a handover over.
    pub fn take_over(&self, handover: Handover<StoredAnswer>) {
        self.lock().take_over(handover, self.clock.now());
    }

    /// Returns whether every member has taken over from this leaving keeper.
    pub fn leave_is_complete(&self) -> bool {
        self.lock().leave_is_complete()
    }

    /// Returns the number of entries.
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

/// Runs `work` to its end even if the caller goes away.
///
/// A client that loses its connection repeats the request, and then wants the answer of this run.
pub async fn run_detached<T: Send + 'static>(work: impl Future<Output = T> + Send + 'static) -> T {
    task::spawn(work).await
}
