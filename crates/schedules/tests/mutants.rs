//! Guards against checks that notice nothing: with a mechanism switched off, the schedules must
//! show a breach of the invariant that it stands for.

use oleandertiller_schedules::{Invariant, Mutant, Options, run};

/// Seeds within which a breach must be seen.
const SEEDS: u64 = 600;

fn is_seen(mutant: Mutant, invariant: Invariant) {
    let options = Options { mutant: Some(mutant), ..Options::default() };
    for seed in 0..SEEDS {
        let report = run(seed, options);
        if let Some(seen) = report.violations.iter().find(|v| v.invariant == invariant) {
            println!("{mutant:?}: seed {seed}: {seen}");
            return;
        }
    }
    panic!("{mutant:?} was not noticed within {SEEDS} schedules");
}

macro_rules! seen {
    ($($name:ident: $mutant:ident => $invariant:ident;)*) => {
        $(#[test]
        fn $name() {
            is_seen(Mutant::$mutant, Invariant::$invariant);
        })*
    };
}

seen! {
    ignored_budget: Budget => Measuring;
    no_cold_limit: ColdLimit => ColdServer;
    no_zone_check: ZoneCheck => ZoneOut;
    no_stale_check: StaleCheck => ZoneOut;
    no_answer_check: AnswerCheck => OwnAnswer;
    forgotten_doubt: EarlierDoubt => NotRun;
    forgotten_failure: FailedAnswer => NotRun;
    no_ledger: Ledger => AtMostOnce;
    no_drain_check: DrainCheck => Leaving;
    no_wait_at_stop: DrainWait => PlannedStop;
    no_intent_pull: IntentPull => Configuration;
    no_compare_and_swap: CompareAndSwap => Configuration;
}
