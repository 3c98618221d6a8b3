//! The value of the store key `intent/head`.

use oleandertiller_model::{Change, Revision};
use serde::{Deserialize, Serialize};

/// Store key of the head.
pub const HEAD_KEY: &str = "intent/head";

/// Maximum number of changes in the tail of a head, and the number of revisions between base
/// documents.
pub const MAX_TAIL_CHANGES: usize = 64;

/// Why a stored value cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeadError {
    /// The value is not JSON of the expected form.
    Malformed,
    /// The revisions within the value contradict each other.
    Inconsistent,
}

/// The latest accepted changes, and the base document that the older ones are part of.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Head {
    /// Current revision.
    pub revision: Revision,
    /// Revision of the last base document; 0 means the empty document.
    pub base: Revision,
    /// Last changes, oldest first, ending with the current revision.
    pub changes: Vec<Change>,
}

impl Head {
    /// Parses the value of [`HEAD_KEY`].
    ///
    /// # Errors
    ///
    /// Returns [`HeadError`] when the value is not a head, or its changes are not consecutive or do
    /// not lead from the base to the current revision.
    pub fn parse(value: &str) -> Result<Self, HeadError> {
        let head: Self = serde_json::from_str(value).map_err(|_| HeadError::Malformed)?;
        head.check()?;
        Ok(head)
    }

    /// Returns the head as JSON.
    ///
    /// # Panics
    ///
    /// Panics when a change cannot be serialized as JSON, which is a bug.
    pub fn to_json(&self) -> String {
        serde_json::to_string(self).expect("a head serializes as JSON")
    }

    /// Returns the head with one more change.
    pub fn with_change(&self, change: Change, base: Revision) -> Self {
        let mut changes = self.changes.clone();
        let revision = change.revision;
        changes.push(change);
        let excess = changes.len().saturating_sub(MAX_TAIL_CHANGES);
        changes.drain(..excess);
        Self { revision, base, changes }
    }

    /// Returns the changes after `revision`, or `None` when the tail does not reach back to it.
    pub fn changes_after(&self, revision: Revision) -> Option<&[Change]> {
        let missing = self.revision.0.checked_sub(revision.0)? as usize;
        let start = self.changes.len().checked_sub(missing)?;
        Some(&self.changes[start..])
    }

    /// Returns whether the next writer must write a base document first.
    pub fn is_base_due(&self) -> bool {
        self.revision.0 - self.base.0 >= MAX_TAIL_CHANGES as u64
    }

    fn check(&self) -> Result<(), HeadError> {
        let first = (self.revision.0 + 1).checked_sub(self.changes.len() as u64);
        let first = first.ok_or(HeadError::Inconsistent)?;
        let consecutive =
            self.changes.iter().zip(first..).all(|(change, rev)| change.revision.0 == rev);
        let reaches_base = self.base <= self.revision && first <= self.base.0 + 1;
        if consecutive && reaches_base && self.changes.len() <= MAX_TAIL_CHANGES {
            Ok(())
        } else {
            Err(HeadError::Inconsistent)
        }
    }
}
