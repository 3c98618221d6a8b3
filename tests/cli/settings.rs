//! Settings files are checked completely, and errors never show tokens.

use std::time::Duration;

use oleandertiller::settings::{Settings, Token, table::KEYS};
use oleandertiller_routing::{
    limit::{LimitConfig, Reserve},
    selection::Policy,
};
use proptest::{collection::vec, prelude::*, sample::select};

pub const TUUL: &str = include_str!("../../examples/settings/tuul.ini");
const TRUNKWORKS: &str = include_str!("../../examples/settings/trunkworks.ini");

/// Only the keys that have no default.
const MINIMAL: &str = "[node]\nname = n\nzone = z\nservice = s\n[listen]\nclient = 0.0.0.0:1\n\
    inner = 127.0.0.1:2\ngossip = 127.0.0.1:2\noperator = 127.0.0.1:3\n\
    [store]\naddress = 127.0.0.1:4\n";

fn errors(text: &str) -> String {
    let errors = Settings::parse(text).unwrap_err();
    errors.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
}

/// Guards against examples that a node would refuse.
#[test]
fn examples_are_accepted() {
    let tuul = Settings::parse(TUUL).unwrap();
    assert_eq!(tuul.services.len(), 2);
    assert_eq!(tuul.limits.max_queue_wait, Duration::from_millis(100));
    assert_eq!(tuul.selection.config().other_zone_cost, Duration::from_micros(1_500));
    let temper = tuul.services[1].kind("temper").unwrap();
    assert_eq!((temper.weight, temper.deadline), (10, Duration::from_millis(50)));
    let trunkworks = Settings::parse(TRUNKWORKS).unwrap();
    assert_eq!(trunkworks.ledger.window, Duration::from_secs(300));
    assert_eq!(trunkworks.limits.reserve, Reserve::Always);
}

/// Guards against defaults in the table of keys that their own key does not allow.
#[test]
fn defaults_are_allowed() {
    let settings = Settings::parse(MINIMAL).unwrap_or_else(|_| panic!("{}", errors(MINIMAL)));
    assert_eq!(settings.node.threads, 2);
    assert_eq!(settings.selection.policy, Policy::ExpectedWait);
    assert!(settings.peers.seeds.is_empty());
    assert!(settings.peers.routes.is_empty());
    assert_eq!(settings.limits.config().max_queued, 256);
    assert_eq!(settings.limits.config(), LimitConfig::default());
}

/// Guards against a `reserve` that is read but not passed to the owner's limiter.
#[test]
fn the_reserve_reaches_the_limiter() {
    let words = [
        ("always", Reserve::Always),
        ("while-used", Reserve::WhileUsed),
        ("never", Reserve::Never),
    ];
    for (word, reserve) in words {
        let text = format!("{MINIMAL}[limits]\nreserve = {word}\n");
        assert_eq!(Settings::parse(&text).unwrap().limits.config().reserve, reserve);
    }
}

/// Guards against a route whose addresses are swapped, or an incomplete one that is accepted.
#[test]
fn routes_lead_from_a_peer_to_its_relay() {
    let with = |routes: &str| format!("{MINIMAL}\n[peers]\nroutes = {routes}\n");
    let settings = Settings::parse(&with("127.0.0.1:1 via 127.0.0.1:2")).unwrap();
    let address = |port| std::net::SocketAddr::from(([127, 0, 0, 1], port));
    assert_eq!(settings.peers.routes, [(address(1), address(2))]);
    assert!(Settings::parse(&with("127.0.0.1:1 via")).is_err());
    assert!(Settings::parse(&with("127.0.0.1:1, 127.0.0.1:2")).is_err());
}

/// Guards against a key that is declared twice, of which one would be ignored.
#[test]
fn keys_are_unique() {
    for (index, key) in KEYS.iter().enumerate() {
        let same = |other: &&oleandertiller::settings::table::Key| {
            (other.section, other.name) == (key.section, key.name)
        };
        assert_eq!(KEYS[..index].iter().find(same).map(|key| key.name), None);
    }
}

/// Guards against a check that stops at the first error, or points at the wrong line.
#[test]
fn all_errors_are_reported_at_once() {
    let text = "\
stray = 1
[node]
name = Kettle One
zone = khan-uul
servcie = kettle
threads = 0
[listen]
client = 0.0.0.0:7400
inner = 0.0.0.0:7401
gossip = 127.0.0.1:0
operator = localhost:7403
[stoer]
address = 127.0.0.1:7300
[peers]
seeds = 127.0.0.1:1, nowhere
[limits]
cold-limit = +1
cold-limit = 2
reserve = 60%
no value here
[selection]
policy = expected-weight
candidates = 99999999999999999999
[log]
level = INFO
[retries]
share = 60%
[service kettle]
kind temper = weight 10, deadline 50ms
kind status = idempotent, deadlin 50ms
knid calibrate = idempotent
[service Recipe]
[service empty]
";
    insta::assert_snapshot!(errors(text));
}

/// Guards against values that are allowed alone but conflict with another key.
#[test]
fn keys_are_checked_against_each_other() {
    let text = MINIMAL.replace("operator = 127.0.0.1:3", "operator = 127.0.0.1:2");
    assert_eq!(
        errors(&text),
        "line 9: [listen] operator: found `127.0.0.1:2`; allowed: an address that no other \
         listener uses"
    );
    let wildcard = MINIMAL.replace("operator = 127.0.0.1:3", "operator = 127.0.0.1:1");
    assert!(errors(&wildcard).contains("[listen] operator"));
    // Reported together with errors of other sections.
    let both = errors(&text.replace("zone = z", "zone = Z"));
    assert_eq!(both.lines().count(), 2, "{both}");
    let text = TUUL.replace("service = kettle\n", "service = ketle\n");
    assert_eq!(
        errors(&text),
        "line 6: [node] service: found `ketle`; did you mean `kettle`?; allowed: one of the \
         services of this file: recipe, kettle"
    );
}

/// Guards against tokens that reach logs, consoles or bug reports through errors or debug output.
#[test]
fn tokens_are_never_shown() {
    const SECRET: &str = "s3cr3t-of-the-shift-lead";
    let text = format!("{MINIMAL}[operators]\nlead = {SECRET}\n");
    let settings = Settings::parse(&text).unwrap();
    assert!(!format!("{settings:?}").contains("s3cr3t"));
    let mistakes = [
        format!("[operators]\nlead = {SECRET}\nother = {SECRET}\n"),
        format!("[operators]\n{SECRET}X = lead\n"),
        format!("[operators]\n{SECRET}\n"),
        format!("[operators]\nlead {SECRET}\n"),
        format!("[operators]\nLead = {SECRET}\n"),
        "[operators]\nlead = s3cr3t\n".to_owned(),
        "[operators]\nlead = s3cr3t with spaces in it\n".to_owned(),
        format!("[operator]\nlead = {SECRET}\n"),
        format!("[operators]\nlead = {SECRET}\n[log]\nlevel = {SECRET}\n{SECRET} = 1\n"),
    ];
    for text in mistakes {
        let errors = errors(&format!("{MINIMAL}{text}"));
        assert!(!errors.contains("s3cr3t"), "{errors}");
    }
}

/// Guards against a token that matches another with the same prefix or length.
#[test]
fn tokens_match_only_themselves() {
    let token = Token::new("0123456789abcdef").unwrap();
    assert!(token.matches("0123456789abcdef"));
    assert!(!token.matches("0123456789abcdeX"));
    assert!(!token.matches("0123456789abcde"));
    assert!(!token.matches("0123456789abcdef0"));
    assert!(!token.matches(""));
    assert_eq!(Token::new("0123456789abcde"), None);
}

/// Guards against values, such as tokens, that lose quotes or backslashes.
#[test]
fn values_are_taken_literally() {
    for token in
        [r"0123456789abcde\", r"0123\\56789\n\x41", "\"0123456789abcd\"", "'0123;#56789abcd'"]
    {
        let settings = Settings::parse(&format!("{MINIMAL}[operators]\nlead = {token}\n"));
        assert!(
            settings.is_ok_and(|settings| settings.operators[0].token.matches(token)),
            "{token}"
        );
    }
}

/// Guards against a kind that is stated twice in different spacing, of which one would be ignored.
#[test]
fn keys_that_differ_in_spacing_are_the_same() {
    let text = format!("{MINIMAL}[service s]\nkind a = idempotent\nkind  a = at most once\n");
    assert_eq!(errors(&text), "line 14: [service s] kind a: stated before, on line 13");
}

/// Generates lines of the example, lines of INI syntax, and lines of any characters.
fn line() -> impl Strategy<Value = String> {
    let known: Vec<_> = TUUL.lines().map(str::to_owned).collect();
    let words = vec!["[", "]", "node", "service", "kind", "=", ":", "\\", "\"", "'", "\r", ";"];
    prop_oneof![
        4 => select(known),
        1 => vec(select(words), 0..6).prop_map(|words| words.join(" ")),
        1 => "\\PC{0,30}",
        1 => any::<String>(),
    ]
}

proptest! {
    /// Guards against settings that panic instead of being reported.
    #[test]
    fn no_settings_panic(lines in vec(line(), 0..50)) {
        if let Err(errors) = Settings::parse(&lines.join("\n")) {
            prop_assert!(!errors.is_empty());
            let _: Vec<_> = errors.iter().map(ToString::to_string).collect();
        }
    }

    /// Guards against a token that is shown by a combination of errors.
    #[test]
    fn no_mix_of_errors_shows_a_token(before in vec(line(), 0..10), after in vec(line(), 0..10)) {
        let secret = "operators-0wn-t0ken";
        let (before, after) = (before.join("\n"), after.join("\n"));
        let text = format!("{before}\n[operators]\nlead = {secret}\n{secret}!\n{after}");
        if let Err(errors) = Settings::parse(&text) {
            for error in errors {
                prop_assert!(!error.to_string().contains(secret), "{}", error);
            }
        }
    }
}
