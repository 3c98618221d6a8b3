//! Parsing and printing of scenario scripts, and their errors.

use crate::strategies;
use oleandertiller_language::scenario::{self, Event};
use proptest::prelude::*;

const SCRIPT: &str = r#"
# The example of the guide.
scenario "a zone leaves while the store is down"
  fleet tuul seed 7
  load 400 per second for 20 seconds
  at 3s zone khan-uul out
  at 4s store down
  at 5s zone bayangol out and at the same time zone bayangol in
  at 8s kill node kettle-2
  at 8s restart node kettle-4
  at 9s pause node kettle-3 for 2s
  at 9s stop node recipe-2
  at 9s drain upstream recipe-3
  at 10s upstream recipe-1 slow 5x
  at 10s upstream recipe-1 fails 2.5%
  at 10s upstream recipe-1 fails fast
  at 10s upstream recipe-1 cold again
  at 11s start 2 upstreams of recipe with version v2
  at 11s version v2 of recipe fails 20% on release after 3s
  at 12s cut khan-uul from bayangol for 3s
  at 12s cut khan-uul from sukhbaatar
  at 13s heal khan-uul from sukhbaatar
  at 13s delay khan-uul to bayangol by 50ms for 1s
  at 14s store slow 200ms
  at 14s store loses 3 answers
  at 15s store up
  expect no new work in zone khan-uul after 6s
  expect run twice = 0
  expect wrong answers = 0
  expect false not-run = 0
  expect cut by stop = 0
  expect over cold limit = 0
  expect goodput of temper >= 99%
  expect p99 of temper < 50ms
  expect measuring <= 1%
  expect rollout recipe rolled back by 18s
  expect same revision everywhere by 20s
"#;

/// Guards against events and expectations that the grammar does not accept.
#[test]
fn example_parses_completely() {
    let scenario = scenario::parse(SCRIPT).unwrap();
    assert_eq!(scenario.steps.len(), 21);
    assert_eq!(scenario.expectations.len(), 11);
    assert_eq!(scenario.loads.len(), 1);
    let racing = &scenario.steps[2];
    assert!(matches!(racing.events[..], [Event::Command(_), Event::Command(_)]));
    assert_eq!(scenario::parse(&scenario.to_string()), Ok(scenario));
}

/// Guards against reporting only the first error of a script.
#[test]
fn all_faults_are_reported() {
    let script = "scenario \"faults\"\n  fleet tuul seed x\n  lod 400 per second for 20s\n\
                  at 3s kil node kettle-2\n  at 4s store dwn\n  at 5s upstream r-1 slow 5\n\
                  at 5s zone khan-uul out and at the same tim zone khan-uul in\n\
                  expect run thrice = 0\n  expect goodput = 101%\n";
    let errors = scenario::parse(script).unwrap_err();
    let text: Vec<_> =
        errors.iter().map(|error| format!("line {}:\n{error}\n", error.line)).collect();
    insta::assert_snapshot!(text.join("\n"));
}

/// Guards against scripts without a header that run with default values.
#[test]
fn header_is_mandatory() {
    let message = |script| scenario::parse(script).unwrap_err()[0].message.clone();
    assert_eq!(message(""), "the line `scenario \"TITLE\"` is missing");
    assert_eq!(message("scenario \"x\""), "the line `fleet NAME seed NUMBER` is missing");
    let twice = "scenario \"x\"\nfleet tuul seed 1\nfleet tuul seed 2";
    assert_eq!(message(twice), "the fleet is stated twice");
}

proptest! {
    /// Guards against a script, as printed by a failing run, that cannot be run again.
    #[test]
    fn print_then_parse_gives_the_same_scenario(scenario in strategies::scenario()) {
        let script = scenario.to_string();
        prop_assert_eq!(scenario::parse(&script), Ok(scenario));
    }

    /// Guards against scripts that make the parser panic instead of returning errors.
    #[test]
    fn no_script_panics(lines in prop::collection::vec(
        prop_oneof![strategies::words(), "\\PC{0,40}"], 0..5,
    )) {
        if let Err(errors) = scenario::parse(&lines.join("\n")) {
            let _: Vec<_> = errors.iter().map(ToString::to_string).collect();
        }
    }
}
