//! Writing the intent: submits one command to the store and determines how it ended.

use std::{
    fmt,
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use oleandertiller_model::{Action, Change, Intent, Revision, intent::ChangeError};
use rand::Rng;
use uuid::Uuid;

use super::{
    base::{base_key, parse_base, write_base},
    head::{HEAD_KEY, Head},
    replica::{ApplyOutcome, Replica},
};
use crate::store::{Backoff, Step, StoreAnswer, StoreCall};

/// Limit of the wait after the first failed store call.
const MAX_FIRST_RETRY_WAIT: Duration = Duration::from_millis(50);

/// Limit of the wait after any failed store call.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(1);

/// Why a command was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum NotAccepted {
    /// The action does not apply to the current document.
    Refused(Refusal),
    /// Writes of other commands came first until the deadline.
    Contention,
    /// The store could not be reached and nothing was written.
    StoreUnavailable,
    /// The store holds a head or a base document that cannot be used.
    StoreCorrupt,
}

/// Why an action does not apply to the current document: a [`ChangeError`] without the revision
/// check.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// The zone, service, rollout or keeper does not exist.
    NotFound,
    /// A rollout of the service is still under way.
    RolloutUnderWay,
    /// The rollout has ended.
    RolloutEnded,
    /// The fencing token is not the current one.
    StaleFence,
    /// The keeper has another incarnation.
    OtherIncarnation,
    /// A value is out of its range.
    OutOfRange,
    /// Any other reason.
    Other,
}

/// How a command ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CommandOutcome {
    /// It is in the document and made this revision.
    Accepted(Revision),
    /// It is not in the document and never will be.
    NotAccepted(NotAccepted),
    /// The outcome could not be determined in time; the operation id can be queried later.
    Unknown(Uuid),
}

impl From<ChangeError> for Refusal {
    fn from(err: ChangeError) -> Self {
        match err {
            ChangeError::NotFound => Self::NotFound,
            ChangeError::RolloutUnderWay => Self::RolloutUnderWay,
            ChangeError::RolloutEnded => Self::RolloutEnded,
            ChangeError::StaleFence => Self::StaleFence,
            ChangeError::OtherIncarnation => Self::OtherIncarnation,
            ChangeError::OutOfRange => Self::OutOfRange,
            ChangeError::WrongRevision => Self::Other,
        }
    }
}

/// A write whose answer was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UncertainWrite {
    /// Version of the head that the write expected.
    version: u64,
    /// Revision that the write creates if it takes effect.
    revision: Revision,
}

/// What the command does next or waits for.
#[derive(Clone, PartialEq, Eq)]
enum Stage {
    ReadHead,
    ReadBase { head: Head, version: u64 },
    WriteBase { head: Head, version: u64 },
    WriteHead { head: Head, version: u64 },
    Ended,
}

/// One command in progress.
///
/// At most one write of the head is uncertain at any time. It is resolved before any other outcome
/// is returned: either the same operation is written again at the same expected version, or a read
/// shows a higher version. Then the write can no longer take effect, and the change that created
/// its revision shows whether it did.
#[derive(Clone)]
pub struct Command {
    operation: Uuid,
    author: Arc<str>,
    /// Wall-clock time that the change records.
    at: SystemTime,
    action: Action,
    deadline: Instant,
    replica: Replica,
    stage: Stage,
    uncertain: Option<UncertainWrite>,
    /// Whether the store answered a write of the head without accepting it.
    contended: bool,
    backoff: Backoff,
}

/// Shows revisions in place of documents, which may be large.
impl fmt::Debug for Stage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (name, head, version) = match self {
            Self::ReadHead => return f.write_str("ReadHead"),
            Self::Ended => return f.write_str("Ended"),
            Self::ReadBase { head, version } => ("ReadBase", head, version),
            Self::WriteBase { head, version } => ("WriteBase", head, version),
            Self::WriteHead { head, version } => ("WriteHead", head, version),
        };
        write!(f, "{name}({} base {} at version {version})", head.revision, head.base)
    }
}

impl fmt::Debug for Command {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Command")
            .field("operation", &self.operation)
            .field("replica", &self.replica)
            .field("stage", &self.stage)
            .field("uncertain", &self.uncertain)
            .field("contended", &self.contended)
            .finish_non_exhaustive()
    }
}

impl Command {
    /// Creates a command on the intent known so far; it ends at `deadline` or one store call
    /// after it.
    ///
    /// The same `operation` may be submitted again, also at another node, to learn its outcome, as
    /// long as fewer than 1,024 changes were accepted in between.
    pub fn new(
        operation: Uuid,
        author: impl Into<Arc<str>>,
        at: SystemTime,
        action: Action,
        replica: &Replica,
        deadline: Instant,
    ) -> Self {
        Self {
            operation,
            author: author.into(),
            at,
            action,
            deadline,
            replica: replica.clone(),
            stage: Stage::ReadHead,
            uncertain: None,
            contended: false,
            backoff: Backoff::new(MAX_FIRST_RETRY_WAIT, MAX_RETRY_WAIT),
        }
    }

    /// Returns the operation id.
    pub fn operation(&self) -> Uuid {
        self.operation
    }

    /// Returns the intent as this command last saw it; after acceptance it includes the change,
    /// so that the node can adopt and spread it at once.
    pub fn replica(&self) -> &Replica {
        &self.replica
    }

    /// Returns the first store call.
    pub fn start(&mut self) -> Step<CommandOutcome> {
        self.stage = Stage::ReadHead;
        self.current_call()
    }

    /// Continues after a [`Step::Wait`].
    pub fn wake(&mut self, now: Instant) -> Step<CommandOutcome> {
        if now >= self.deadline { self.give_up() } else { self.current_call() }
    }

    /// Handles the answer to the last call.
    pub fn answer(
        &mut self,
        answer: StoreAnswer,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Step<CommandOutcome> {
        if matches!(answer, StoreAnswer::NotSent | StoreAnswer::Lost) {
            return self.call_failed(&answer, now, rng);
        }
        match std::mem::replace(&mut self.stage, Stage::Ended) {
            Stage::ReadHead => self.head_read(answer, now),
            Stage::ReadBase { head, version } => self.base_read(answer, head, version, now),
            Stage::WriteBase { head, version } => self.write_head(&head, version),
            Stage::WriteHead { head, version } => {
                self.head_written(&answer, head, version, now, rng)
            }
            Stage::Ended => self.give_up(),
        }
    }

    /// Returns the call of the current stage.
    fn current_call(&self) -> Step<CommandOutcome> {
        let call = match &self.stage {
            Stage::ReadHead | Stage::Ended => StoreCall::Get { key: HEAD_KEY.into() },
            Stage::ReadBase { head, .. } => StoreCall::Get { key: base_key(head.base) },
            Stage::WriteBase { head, .. } => StoreCall::Put {
                key: base_key(head.revision),
                value: write_base(self.replica.intent()),
                if_version: 0,
                lease: None,
            },
            Stage::WriteHead { head, version } => StoreCall::Put {
                key: HEAD_KEY.into(),
                value: head.to_json(),
                if_version: *version,
                lease: None,
            },
        };
        Step::Call(call)
    }

    fn call_failed(
        &mut self,
        answer: &StoreAnswer,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Step<CommandOutcome> {
        if let (Stage::WriteHead { head, version }, StoreAnswer::Lost) = (&self.stage, answer) {
            self.uncertain = Some(UncertainWrite { version: *version, revision: head.revision });
        }
        if now >= self.deadline {
            return self.give_up();
        }
        let wait = self.backoff.next_wait(rng);
        Step::Wait((now + wait).min(self.deadline))
    }

    fn head_read(&mut self, answer: StoreAnswer, now: Instant) -> Step<CommandOutcome> {
        let (head, version) = match answer {
            StoreAnswer::Found { version, value } => match Head::parse(&value) {
                Ok(head) => (head, version),
                Err(_) => return self.end_corrupt(),
            },
            StoreAnswer::Absent => (Head::default(), 0),
            _ => return self.end_corrupt(),
        };
        // A head behind the intent in force means that the store lost data. Further writes would
        // create a second history with the same revisions.
        if head.revision < self.replica.revision() {
            return self.end_corrupt();
        }
        self.backoff.reset();
        match self.replica.apply_head(&head) {
            ApplyOutcome::Gap => {
                self.stage = Stage::ReadBase { head, version };
                self.current_call()
            }
            ApplyOutcome::Contradiction => self.end_corrupt(),
            _ => self.decide(head, version, now),
        }
    }

    fn base_read(
        &mut self,
        answer: StoreAnswer,
        head: Head,
        version: u64,
        now: Instant,
    ) -> Step<CommandOutcome> {
        let StoreAnswer::Found { value, .. } = answer else { return self.end_corrupt() };
        let Ok(doc) = parse_base(&value, head.base) else { return self.end_corrupt() };
        self.replica.apply_document(doc);
        match self.replica.apply_head(&head) {
            ApplyOutcome::Gap | ApplyOutcome::Contradiction => self.end_corrupt(),
            _ => self.decide(head, version, now),
        }
    }

    /// Returns the next step once the replica is at the head's revision: ends the command if its
    /// outcome is known, and otherwise submits it.
    fn decide(&mut self, head: Head, version: u64, now: Instant) -> Step<CommandOutcome> {
        if let Some(revision) = self.replica.intent().revision_of(self.operation) {
            return self.end(CommandOutcome::Accepted(revision));
        }
        if let Some(uncertain) = self.uncertain.filter(|uncertain| version > uncertain.version) {
            if !self.recent_covers(uncertain.revision) {
                return self.end(CommandOutcome::Unknown(self.operation));
            }
            self.uncertain = None;
        }
        if now >= self.deadline {
            return self.give_up();
        }
        self.evaluate(head, version)
    }

    /// Returns whether the document still lists the operation that created `revision`.
    fn recent_covers(&self, revision: Revision) -> bool {
        let oldest = self.replica.intent().recent.front();
        oldest.is_some_and(|(_, oldest)| *oldest <= revision)
    }

    /// Applies the change to a copy of the document, and writes it if it applies.
    fn evaluate(&mut self, head: Head, version: u64) -> Step<CommandOutcome> {
        let mut trial = Intent::clone(self.replica.intent());
        match trial.apply(&self.change(&head)) {
            Ok(()) if head.is_base_due() => {
                self.stage = Stage::WriteBase { head, version };
                self.current_call()
            }
            Ok(()) => self.write_head(&head, version),
            // If a write at this version is uncertain, the same evaluation has succeeded before. So
            // a refusal always means that nothing was or will be written.
            Err(err) => {
                let refused = NotAccepted::Refused(err.into());
                self.end(CommandOutcome::NotAccepted(refused))
            }
        }
    }

    fn change(&self, head: &Head) -> Change {
        Change {
            revision: head.revision.next(),
            operation: self.operation,
            author: self.author.clone(),
            at: self.at,
            action: self.action.clone(),
        }
    }

    fn write_head(&mut self, head: &Head, version: u64) -> Step<CommandOutcome> {
        let base = if head.is_base_due() { head.revision } else { head.base };
        let head = head.with_change(self.change(head), base);
        self.stage = Stage::WriteHead { head, version };
        self.current_call()
    }

    fn head_written(
        &mut self,
        answer: &StoreAnswer,
        head: Head,
        version: u64,
        now: Instant,
        rng: &mut impl Rng,
    ) -> Step<CommandOutcome> {
        if matches!(answer, StoreAnswer::Written { .. }) {
            self.replica.apply_head(&head);
            return self.end(CommandOutcome::Accepted(head.revision));
        }
        if *answer != StoreAnswer::Conflict {
            // An unexpected kind of answer does not show whether the write took effect.
            self.uncertain = Some(UncertainWrite { version, revision: head.revision });
        }
        self.contended = true;
        self.stage = Stage::ReadHead;
        if now >= self.deadline {
            return self.give_up();
        }
        let wait = self.backoff.next_wait(rng);
        Step::Wait((now + wait).min(self.deadline))
    }

    /// Ends the command because the store holds a value that cannot be used.
    fn end_corrupt(&mut self) -> Step<CommandOutcome> {
        match self.uncertain {
            Some(_) => self.end(CommandOutcome::Unknown(self.operation)),
            None => self.end(CommandOutcome::NotAccepted(NotAccepted::StoreCorrupt)),
        }
    }

    fn give_up(&mut self) -> Step<CommandOutcome> {
        let reason =
            if self.contended { NotAccepted::Contention } else { NotAccepted::StoreUnavailable };
        match self.uncertain {
            Some(_) => self.end(CommandOutcome::Unknown(self.operation)),
            None => self.end(CommandOutcome::NotAccepted(reason)),
        }
    }

    fn end(&mut self, outcome: CommandOutcome) -> Step<CommandOutcome> {
        self.stage = Stage::Ended;
        Step::Done(outcome)
    }
}
