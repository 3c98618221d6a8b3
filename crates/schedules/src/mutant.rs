//! Mechanisms that a run can switch off, to show that the checks notice.

/// A mechanism that is switched off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mutant {
    /// Probes are sent without asking the measuring budget.
    Budget,
    /// The owner does not limit a cold upstream.
    ColdLimit,
    /// A node serves however old its knowledge is.
    StaleCheck,
    /// Neither ingress nor owner looks at the zones of the intent.
    ZoneCheck,
    /// Ids and lengths of answers are not compared.
    AnswerCheck,
    /// A refusal of the last attempt is passed on although an earlier attempt may have run.
    EarlierDoubt,
    /// The failure answer of an earlier attempt is forgotten.
    FailedAnswer,
    /// Every node answers for a key as if it were its keeper with an empty ledger.
    Ledger,
    /// The owner ignores that its upstream drains.
    DrainCheck,
    /// A planned stop does not wait for work in flight.
    DrainWait,
    /// Nodes do not pull changes that they lack.
    IntentPull,
    /// The store writes without comparing versions.
    CompareAndSwap,
}
