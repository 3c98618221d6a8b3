//! Errors for lines that cannot be parsed.

use oleandertiller_language::{kind::parse_attributes, nearest, parse};

/// Guards against errors that point at the wrong place or do not say what was expected.
#[test]
fn errors_point_at_the_fault() {
    let lines = [
        "",
        "shw zones",
        "show",
        "show zons",
        "show zones now",
        "show upstreams of Kettle",
        "show upstreams of kettle where zoen = khan-uul",
        "show upstreams where zone khan-uul",
        "show upstreams where state = colt",
        "zone khan-uul up",
        "rollout recipe v2 by 18:00",
        "rollout recipe to v2 by 25:00",
        "rollout recipe to v2 by tomorrow",
        "rollout recipe to v2 in 30 parsecs",
        "budget measuring 101%",
        "budget measuring 1",
        "explain refusal zone-outt",
        "operation 17",
        "put service recipe kind lookup = weight 5",
        "put service recipe kind lookup = idempotent, at most once",
        "put service recipe kind lookup = idempotent, wieght 5",
        "put service recipe kind a = idempotent; kind a = idempotent",
        "zone\u{1b}[31m khan-uul out",
    ];
    let text: Vec<_> = lines.iter().map(|line| parse(line).unwrap_err().to_string()).collect();
    insta::assert_snapshot!(text.join("\n\n"));
}

/// Guards against accepting attributes that are out of range.
#[test]
fn attributes_out_of_range_are_errors() {
    let texts = [
        "idempotent, weight 0",
        "idempotent, deadline 0ms",
        "idempotent, deadline 40s",
        "idempotent, objective 100.1%",
        "idempotent, deadline 999999999h",
        "idempotent idempotent",
    ];
    let name = "temper".into();
    let errors = texts.map(|text| parse_attributes(&name, text).unwrap_err().to_string());
    insta::assert_snapshot!(errors.join("\n\n"));
}

/// Guards against over-long lines, which would take long to parse.
#[test]
fn long_lines_are_refused() {
    let error = parse(&"a".repeat(100_000)).unwrap_err();
    assert!(error.message.contains("8192 bytes"));
    assert!(error.to_string().len() < 1_000);
}

/// Guards against suggesting words that are not similar to the one written.
#[test]
fn only_close_words_are_suggested() {
    assert_eq!(nearest("shw", ["show", "zone"]), Some("show"));
    assert_eq!(nearest("xyz", ["show", "zone"]), None);
    assert_eq!(nearest("", ["in"]), None);
    assert_eq!(nearest("zone", ["node", "zone"]), None);
}
