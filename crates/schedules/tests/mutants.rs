//! Guards against checks that detect nothing: with a mechanism disabled, some schedule must violate
//! the invariant that the mechanism protects.

use oleandertiller_schedules::{Invariant, Mutant, Options, run};

/// Number of schedules of which one must show a violation.
const SCHEDULES: u64 = 600;

fn assert_detected(mutant: Mutant, invariant: Invariant) {
    let options = Options { mutant: Some(mutant), ..Options::default() };
    for seed in 0..SCHEDULES {
        let report = run(seed, options);
        if let Some(detected) = report.violations.iter().find(|v| v.invariant == invariant) {
            println!("{mutant:?}: seed {seed}: {detected}");
            return;
        }
    }
    panic!("{mutant:?} was not detected within {SCHEDULES} schedules");
}

macro_rules! detected {
    ($($name:ident: $mutant:ident => $invariant:ident;)*) => {
        $(#[test]
        fn $name() {
            assert_detected(Mutant::$mutant, Invariant::$invariant);
        })*
    };
}

detected! {
    no_measuring_budget: Budget => Measuring;
    no_cold_limit: ColdLimit => ColdUpstream;
    no_zone_check: ZoneCheck => ZoneOut;
    no_stale_check: StaleCheck => ZoneOut;
    no_answer_check: AnswerCheck => OwnAnswer;
    no_earlier_unknown: EarlierUnknown => NotRun;
    no_failed_answer: FailedAnswer => NotRun;
    no_ledger: Ledger => AtMostOnce;
    no_drain_check: DrainCheck => Leaving;
    no_drain_wait: DrainWait => PlannedStop;
    no_intent_pull: IntentPull => Configuration;
    no_compare_and_swap: CompareAndSwap => Configuration;
}
