//! Reading the intent: follows the head in the store.

use std::time::{Duration, Instant};

use oleandertiller_model::Revision;
use rand::Rng;

use super::{
    base::{base_key, parse_base},
    head::{HEAD_KEY, Head},
    replica::{ApplyOutcome, Replica},
};
use crate::store::{Backoff, Step, StoreAnswer, StoreCall, TokenBucket};

/// Maximum time for which one watch waits at the store. It is below the isolation timeout of 3 s,
/// so that a watcher that reaches only the store still serves; 34 watchers make 17 calls/s.
pub const WATCH_TIMEOUT: Duration = Duration::from_secs(2);

/// Limit of the wait after the first failed read.
const MAX_FIRST_RETRY_WAIT: Duration = Duration::from_millis(200);

/// Limit of the wait after any failed read.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);

/// Sustained rate of store calls of one watcher, per second.
const CALLS_PER_SECOND: f64 = 2.0;

/// Number of store calls that a watcher may make at once; changes come in bursts.
const MAX_CALL_BURST: f64 = 8.0;

/// What a watcher has learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WatcherEvent {
    /// The store was read: its head was at `revision` at some time after `requested_at`, and the
    /// replica is up to date with it.
    Confirmed {
        /// Revision of the head.
        revision: Revision,
        /// When the read was requested.
        requested_at: Instant,
    },
    /// The store holds a head or a base document that cannot be used.
    Corrupt,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Stage {
    ReadHead,
    WatchHead,
    ReadBase(Head),
}

/// Follows `intent/head`: reads it once, then watches it.
#[derive(Clone, Debug)]
pub struct Watcher {
    /// Whether the watcher is done after the first confirmation.
    once: bool,
    /// Version of the head's key at the last read.
    version: u64,
    /// Revision of the head at the last read.
    revision: Revision,
    stage: Stage,
    requested_at: Instant,
    /// When the last read or watch of the head was requested.
    head_requested_at: Instant,
    backoff: Backoff,
    bucket: TokenBucket,
}

impl Watcher {
    /// Creates a watcher that follows the head until it is dropped.
    pub fn new(now: Instant) -> Self {
        Self {
            once: false,
            version: 0,
            revision: Revision(0),
            stage: Stage::ReadHead,
            requested_at: now,
            head_requested_at: now,
            backoff: Backoff::new(MAX_FIRST_RETRY_WAIT, MAX_RETRY_WAIT),
            bucket: TokenBucket::new(CALLS_PER_SECOND, MAX_CALL_BURST, now),
        }
    }

    /// Creates a watcher that is done after the first confirmation: for a node that starts or is
    /// stale and holds no entry that makes it a watcher of its zone.
    pub fn once(now: Instant) -> Self {
        Self { once: true, ..Self::new(now) }
    }

    /// Returns what the watcher does next, for logs.
    pub fn stage_name(&self) -> &'static str {
        match self.stage {
            Stage::ReadHead => "read",
            Stage::WatchHead => "watch",
            Stage::ReadBase(_) => "base",
        }
    }

    /// Starts, or continues after a [`Step::Wait`].
    pub fn wake(&mut self, now: Instant) -> Step<()> {
        if let Err(at) = self.bucket.take(now) {
            return Step::Wait(at);
        }
        self.requested_at = now;
        if !matches!(self.stage, Stage::ReadBase(_)) {
            self.head_requested_at = now;
        }
        Step::Call(match &self.stage {
            Stage::ReadHead => StoreCall::Get { key: HEAD_KEY.into() },
            Stage::ReadBase(head) => StoreCall::Get { key: base_key(head.base) },
            Stage::WatchHead => StoreCall::Watch {
                key: HEAD_KEY.into(),
                after: self.version,
                timeout: WATCH_TIMEOUT,
            },
        })
    }

    /// Handles the answer to the last call: brings `replica` up to date, and returns what was
    /// learned and the next step.
    pub fn answer(
        &mut self,
        answer: StoreAnswer,
        replica: &mut Replica,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Option<WatcherEvent>, Step<()>) {
        let stage = std::mem::replace(&mut self.stage, Stage::ReadHead);
        match (stage, answer) {
            (Stage::ReadBase(head), StoreAnswer::Found { value, .. }) => {
                let Ok(doc) = parse_base(&value, head.base) else { return self.corrupt(now, rng) };
                replica.apply_document(doc);
                self.apply(head, replica, now, rng)
            }
            (Stage::ReadBase(_), StoreAnswer::Absent) => self.corrupt(now, rng),
            (_, StoreAnswer::Found { version, value }) => {
                let Ok(head) = Head::parse(&value) else { return self.corrupt(now, rng) };
                self.version = version;
                self.apply(head, replica, now, rng)
            }
            // There is no head before the first command; the document is empty then.
            (_, StoreAnswer::Absent) => {
                self.version = 0;
                self.confirm(Revision(0), now)
            }
            (Stage::WatchHead, StoreAnswer::Unchanged) => self.confirm(self.revision, now),
            _ => (None, self.retry(now, rng)),
        }
    }

    fn apply(
        &mut self,
        head: Head,
        replica: &mut Replica,
        now: Instant,
        rng: &mut impl Rng,
    ) -> (Option<WatcherEvent>, Step<()>) {
        match replica.apply_head(&head) {
            ApplyOutcome::Gap if head.base > replica.revision() => {
                self.stage = Stage::ReadBase(head);
                (None, self.wake(now))
            }
            ApplyOutcome::Gap | ApplyOutcome::Contradiction => self.corrupt(now, rng),
            _ => self.confirm(head.revision, now),
        }
    }

    fn confirm(&mut self, revision: Revision, now: Instant) -> (Option<WatcherEvent>, Step<()>) {
        self.revision = revision;
        self.backoff.reset();
        self.stage = Stage::WatchHead;
        let event = WatcherEvent::Confirmed { revision, requested_at: self.head_requested_at };
        let step = if self.once { Step::Done(()) } else { self.wake(now) };
        (Some(event), step)
    }

    /// Reports an unusable value of the store, and reads the head again after a wait.
    fn corrupt(&mut self, now: Instant, rng: &mut impl Rng) -> (Option<WatcherEvent>, Step<()>) {
        (Some(WatcherEvent::Corrupt), self.retry(now, rng))
    }

    fn retry(&mut self, now: Instant, rng: &mut impl Rng) -> Step<()> {
        self.stage = Stage::ReadHead;
        Step::Wait(now + self.backoff.next_wait(rng))
    }
}
