//! The pages of the guide match the program.

use std::{env, fs, path::PathBuf};

use oleandertiller::settings;
use oleandertiller_language::{GRAMMAR, SCENARIO_GRAMMAR, advice, complete::HELP, parse, scenario};

fn page(name: &str) -> PathBuf {
    [env!("CARGO_MANIFEST_DIR"), "guide", name].iter().collect()
}

/// Compares a generated page with the committed one, after rewriting it if `UPDATE_GUIDE` is set.
fn check_generated(name: &str, generated: &str) {
    let path = page(name);
    if env::var_os("UPDATE_GUIDE").is_some() {
        fs::write(&path, generated).unwrap();
    }
    let committed = fs::read_to_string(&path).unwrap_or_default();
    assert!(committed == generated, "guide/{name} is out of date; run with UPDATE_GUIDE=1");
}

/// Guards against a settings page that lags behind the table of keys.
#[test]
fn settings_page_is_current() {
    check_generated("settings.md", &settings::guide::page());
}

/// Guards against a page on mesh settings that lags behind their table of keys.
#[test]
fn mesh_settings_page_is_current() {
    check_generated("mesh-settings.md", &settings::guide::mesh_page());
}

/// Guards against an errors page that lags behind the table of error kinds.
#[test]
fn errors_page_is_current() {
    check_generated("errors.md", &advice::page());
}

/// Returns the fenced code blocks of a page that are marked with a language.
fn blocks<'a>(text: &'a str, language: &str) -> Vec<&'a str> {
    let start = format!("```{language}\n");
    text.split(start.as_str()).skip(1).filter_map(|rest| rest.split("\n```").next()).collect()
}

/// Guards against a language page that shows another grammar, or examples that do not parse.
#[test]
fn language_page_is_current() {
    let text = fs::read_to_string(page("language.md")).unwrap();
    for part in [GRAMMAR, SCENARIO_GRAMMAR, HELP] {
        assert!(text.contains(part.trim_end()), "guide/language.md lacks {part}");
    }
    let operators = blocks(&text, "operators").join("\n");
    let lines: Vec<_> = operators.lines().collect();
    assert!(lines.len() > 10);
    for line in lines {
        parse(line).unwrap_or_else(|error| panic!("{error}"));
    }
    let scripts = blocks(&text, "scenario");
    assert!(!scripts.is_empty());
    for script in scripts {
        scenario::parse(script).unwrap_or_else(|errors| panic!("{errors:?}"));
    }
}

/// Guards against pages missing from the table of contents, and dead links in it.
#[test]
fn summary_names_every_page() {
    let summary = fs::read_to_string(page("SUMMARY.md")).unwrap();
    let mut pages = fs::read_dir(page("")).unwrap().map(|entry| entry.unwrap().file_name());
    assert!(pages.all(|name| {
        name == "SUMMARY.md" || summary.contains(&format!("({})", name.to_string_lossy()))
    }));
    for link in summary.split("](").skip(1).filter_map(|rest| rest.split(')').next()) {
        assert!(page(link).exists(), "{link}");
    }
}
