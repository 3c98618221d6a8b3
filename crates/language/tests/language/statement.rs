//! Parsing and printing of statements, and their conversion to changes.

use std::time::{Duration, SystemTime};

use crate::strategies;
use oleandertiller_language::{
    ActionContext, ActionError, Command, Due, Statement, complete::complete, parse,
};
use oleandertiller_model::{
    Action, Intent, Revision, ServiceSpec, VersionName,
    intent::{Rollout, RolloutPhase, ZoneIntent},
};
use proptest::prelude::*;

/// Guards against statements of the guide that the grammar does not accept.
#[test]
fn statements_of_the_guide_parse() {
    let lines = [
        "show zones",
        "show upstreams",
        "show upstreams of kettle where zone = khan-uul and state = cold",
        "show services",
        "show nodes",
        "show nodes where zone = bayangol",
        "show rollouts",
        "show budget",
        "show revision",
        "history",
        "history of recipe",
        "history last 20",
        "history of recipe last 20",
        "explain rollout recipe",
        "explain refusal zone-out",
        "explain upstream kettle-2",
        "operation 0192f0c4-7d3a-7c11-9d5e-2f6b1c0a9e77",
        "zone khan-uul out",
        "zone khan-uul in",
        "rollout recipe to v2 by 18:00",
        "rollout recipe to v2 by 2026-12-04T18:00Z",
        "rollout recipe to v2 in 30m",
        "cancel rollout recipe",
        "budget measuring 1%",
        "help",
    ];
    for line in lines {
        let statement = parse(line).unwrap_or_else(|error| panic!("{error}"));
        assert_eq!(statement.to_string(), line);
    }
}

/// Guards against attributes that `put service` drops or changes.
#[test]
fn put_service_reads_all_attributes() {
    let line = "put service recipe kind lookup = weight 5, idempotent, deadline 50ms, \
                max-deadline 1s, objective 99.9%; kind release = at most once, internal";
    let Ok(Statement::Command(Command::PutService(service))) = parse(line) else {
        panic!("not a service: {:?}", parse(line));
    };
    let (lookup, release) = (&service.kinds[0], &service.kinds[1]);
    assert_eq!((lookup.weight, lookup.objective_ppm), (5, 999_000));
    assert_eq!(lookup.deadline, Duration::from_millis(50));
    assert_eq!(lookup.max_deadline, Duration::from_secs(1));
    assert_eq!(release.safety, oleandertiller_model::Safety::AtMostOnce);
    assert!(release.internal);
}

fn intent_with_recipe() -> Intent {
    let mut intent = Intent::default();
    intent.services.insert("recipe".into(), ServiceSpec::new("recipe", Vec::new()));
    intent
}

fn action(line: &str, cx: ActionContext<'_>) -> Result<Action, ActionError> {
    match parse(line) {
        Ok(Statement::Command(command)) => command.action(cx),
        other => panic!("not a command: {other:?}"),
    }
}

/// Guards against a zone command that sets the opposite state.
#[test]
fn zone_commands_map_to_the_state_named() {
    let intent = Intent::default();
    let cx = ActionContext { intent: &intent, announced: None, now: SystemTime::UNIX_EPOCH };
    let out = Action::SetZone("khan-uul".into(), ZoneIntent::Out);
    assert_eq!(action("zone khan-uul out", cx), Ok(out));
    let back = Action::SetZone("khan-uul".into(), ZoneIntent::In);
    assert_eq!(action("zone khan-uul in", cx), Ok(back));
}

/// Guards against a rollout whose old version, used for a rollback, did not carry the traffic.
#[test]
fn rollout_starts_from_the_version_in_place_after_the_last_one() {
    let mut intent = intent_with_recipe();
    let announced = VersionName::new("v1");
    let now = SystemTime::UNIX_EPOCH;
    let from = |intent: &Intent, announced| {
        let cx = ActionContext { intent, announced, now };
        action("rollout recipe to v9 in 30m", cx).map(|action| match action {
            Action::StartRollout { from, .. } => from,
            other => panic!("not a rollout: {other:?}"),
        })
    };
    assert_eq!(from(&intent, Some(&announced)), Ok("v1".into()));
    assert_eq!(from(&intent, None), Err(ActionError::UnknownVersion("recipe".into())));
    for (phase, expected) in [(RolloutPhase::Completed, "v3"), (RolloutPhase::RolledBack, "v2")] {
        let rollout = Rollout {
            from: "v2".into(),
            to: "v3".into(),
            started: now,
            deadline: now,
            phase,
            share_ppm: 0,
            controller: None,
            fence: Revision(1),
            reason: "".into(),
        };
        intent.rollouts.insert("recipe".into(), rollout);
        assert_eq!(from(&intent, Some(&announced)), Ok(expected.into()));
    }
}

/// Guards against starting rollouts that cannot be completed or change nothing.
#[test]
fn impossible_rollouts_are_errors() {
    let intent = intent_with_recipe();
    let announced = VersionName::new("v1");
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
    let cx = ActionContext { intent: &intent, announced: Some(&announced), now };
    let past = action("rollout recipe to v2 by 2020-01-01T00:00Z", cx);
    assert_eq!(past, Err(ActionError::BadTime));
    assert_eq!(action("rollout recipe to v2 in 0s", cx), Err(ActionError::BadTime));
    let same = action("rollout recipe to v1 in 1h", cx);
    assert_eq!(same, Err(ActionError::SameVersion("v1".into())));
    let unknown = action("rollout kettle to v2 in 1h", cx);
    assert_eq!(unknown, Err(ActionError::UnknownService("kettle".into())));
}

/// Guards against a time of day already past that is resolved to today.
#[test]
fn time_of_day_is_its_next_occurrence() {
    let noon = SystemTime::UNIX_EPOCH + Duration::from_secs(12 * 3_600);
    let hours = |hours: u64| Some(SystemTime::UNIX_EPOCH + Duration::from_secs(hours * 3_600));
    assert_eq!(Due::parse_clock("18:00").and_then(|due| due.resolve(noon)), hours(18));
    assert_eq!(Due::parse_clock("12:00").and_then(|due| due.resolve(noon)), hours(36));
    assert_eq!(Due::parse_clock("06:00").and_then(|due| due.resolve(noon)), hours(30));
}

/// Guards against completions that the grammar does not allow at that place.
#[test]
fn completion_offers_what_can_follow() {
    assert_eq!(complete("show u"), (5, vec!["upstreams".to_owned()]));
    assert_eq!(complete("zone khan-uul "), (14, vec!["in".to_owned(), "out".to_owned()]));
    assert_eq!(complete("explain r").1, ["refusal", "rollout"]);
    assert_eq!(complete("nonsense x").1, Vec::<String>::new());
    assert!(complete("").1.contains(&"show".to_owned()));
}

proptest! {
    /// Guards against statements printed by `history` that cannot be entered again.
    #[test]
    fn print_then_parse_gives_the_same_statement(statement in strategies::statement()) {
        let line = statement.to_string();
        let parsed = parse(&line);
        prop_assert_eq!(parsed.map_err(|error| error.to_string()), Ok(statement));
    }

    /// Guards against panics in the node, which parses input from the operator port.
    #[test]
    fn no_input_panics(line in "\\PC{0,80}") {
        if let Err(error) = parse(&line) {
            let _ = error.to_string();
        }
        let _ = complete(&line);
    }

    /// Same, with lines made of keywords, which get further into the parser.
    #[test]
    fn no_mix_of_words_panics(line in strategies::words()) {
        if let Err(error) = parse(&line) {
            prop_assert!(error.column <= line.chars().count() + 1);
            let _ = error.to_string();
        }
        let _ = complete(&line);
    }
}
