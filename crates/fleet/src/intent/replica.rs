//! The intent in force at one node, with the changes that lead to it.

use std::{collections::VecDeque, fmt, sync::Arc};

use oleandertiller_model::{
    Change, Intent, Revision,
    message::{IntentPull, IntentPush},
};

use super::head::{Head, MAX_TAIL_CHANGES};

/// How a [`Replica`] handled the changes or the document offered to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The revision in force has grown.
    Advanced,
    /// Nothing was new.
    Unchanged,
    /// Changes between the revision in force and the offered ones are missing.
    Gap,
    /// The change of the next revision does not apply to the document in force.
    Contradiction,
}

/// Holds the intent in force. Its revision never decreases.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct Replica {
    intent: Arc<Intent>,
    tail: VecDeque<Change>,
}

/// Shows the revision and the last operation in place of the document, which may be large.
impl fmt::Debug for Replica {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let last = self.intent.recent.back().map(|(operation, _)| operation);
        write!(f, "Replica({} {last:?} tail {})", self.revision(), self.tail.len())
    }
}

impl Replica {
    /// Creates a replica of the empty document.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the document in force.
    pub fn intent(&self) -> &Arc<Intent> {
        &self.intent
    }

    /// Returns the revision in force.
    pub fn revision(&self) -> Revision {
        self.intent.revision
    }

    /// Returns the recent changes, oldest first, ending with the revision in force.
    pub fn tail(&self) -> impl DoubleEndedIterator<Item = &Change> {
        self.tail.iter()
    }

    /// Returns the change that made `revision`, if it is in the tail.
    pub fn change(&self, revision: Revision) -> Option<&Change> {
        let first = self.tail.front()?.revision.0;
        self.tail.get(revision.0.checked_sub(first)? as usize)
    }

    /// Applies the change if it is the next one.
    pub fn apply_change(&mut self, change: &Change) -> ApplyOutcome {
        if change.revision <= self.revision() {
            return ApplyOutcome::Unchanged;
        }
        if change.revision != self.revision().next() {
            return ApplyOutcome::Gap;
        }
        if Arc::make_mut(&mut self.intent).apply(change).is_err() {
            return ApplyOutcome::Contradiction;
        }
        self.tail.push_back(change.clone());
        if self.tail.len() > MAX_TAIL_CHANGES {
            self.tail.pop_front();
        }
        ApplyOutcome::Advanced
    }

    /// Applies those of the consecutive `changes` that are new.
    pub fn apply_changes<'a>(
        &mut self,
        changes: impl IntoIterator<Item = &'a Change>,
    ) -> ApplyOutcome {
        let mut result = ApplyOutcome::Unchanged;
        for change in changes {
            match self.apply_change(change) {
                ApplyOutcome::Unchanged => {}
                ApplyOutcome::Advanced => result = ApplyOutcome::Advanced,
                stop => return stop,
            }
        }
        result
    }

    /// Adopts a whole document if it is newer.
    pub fn apply_document(&mut self, doc: Arc<Intent>) -> ApplyOutcome {
        if doc.revision <= self.revision() {
            return ApplyOutcome::Unchanged;
        }
        self.intent = doc;
        self.tail.clear();
        ApplyOutcome::Advanced
    }

    /// Applies the new changes of a head; [`ApplyOutcome::Gap`] means that its base document is
    /// needed.
    pub fn apply_head(&mut self, head: &Head) -> ApplyOutcome {
        if head.revision <= self.revision() {
            return ApplyOutcome::Unchanged;
        }
        match head.changes_after(self.revision()) {
            Some(changes) => self.apply_changes(changes),
            None => ApplyOutcome::Gap,
        }
    }

    /// Applies a peer's answer to a pull.
    pub fn apply_push(&mut self, push: IntentPush) -> ApplyOutcome {
        match push {
            IntentPush::Current => ApplyOutcome::Unchanged,
            IntentPush::Changes(changes) => self.apply_changes(&changes),
            IntentPush::Document(doc) => self.apply_document(Arc::new(*doc)),
        }
    }

    /// Answers a peer's pull.
    pub fn serve(&self, pull: IntentPull) -> IntentPush {
        if pull.have >= self.revision() {
            return IntentPush::Current;
        }
        let missing = (self.revision().0 - pull.have.0) as usize;
        match self.tail.len().checked_sub(missing) {
            Some(skip) => IntentPush::Changes(self.tail.iter().skip(skip).cloned().collect()),
            None => IntentPush::Document(Box::new(Intent::clone(&self.intent))),
        }
    }
}
