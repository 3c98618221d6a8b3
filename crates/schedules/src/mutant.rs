//! Mechanisms that a run can disable, to test that the checks detect it.

/// A mechanism that a run disables.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Probes are sent even when the measuring budget is used up.
    Budget,
    /// The owner does not limit a cold upstream.
    ColdLimit,
    /// A node accepts work even when its intent is stale.
    StaleCheck,
    /// Neither the ingress nor the owner checks whether a zone is out.
    ZoneCheck,
    /// The ids and lengths of answers are not checked.
    AnswerCheck,
    /// A refusal of the last attempt is returned although an earlier attempt may have run.
    EarlierUnknown,
    /// The failure answer of an earlier attempt is discarded.
    FailedAnswer,
    /// Every node acts as the keeper of every key, with an empty ledger.
    Ledger,
    /// The owner ignores that its upstream is draining.
    DrainCheck,
    /// A planned stop does not wait for work in flight.
    DrainWait,
    /// Nodes do not pull changes of the intent that they lack.
    IntentPull,
    /// The store writes without comparing versions.
    CompareAndSwap,
}
