//! Format of log lines.

use oleandertiller::telemetry::StateChange;

/// Guards against a name or reason that breaks a log line in two or imitates another field.
#[test]
fn state_changes_are_one_line() {
    let change = StateChange::new("zone khan-uul", "in", "out").with_why("a \"b\"\nto=\"in\"");
    let line = r#"what="zone khan-uul" from="in" to="out" why="a \"b\"\nto=\"in\"""#;
    assert_eq!(change.to_string(), line);
}
