//! Syntax errors with their position in the line.

use std::fmt;

use pest::error::{ErrorVariant, InputLocation};

use crate::{nearest::nearest, parse::Rule};

/// Longest part of a line shown in an error, in characters.
const MAX_SHOWN_CHARS: usize = 400;

/// A line that could not be parsed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SyntaxError {
    /// Number of the line in a script, from 1; 1 for a statement.
    pub line: usize,
    /// Column of the first character in error, from 1.
    pub column: usize,
    /// Number of characters in error, at least 1.
    pub width: usize,
    /// Text of the line.
    pub source: String,
    /// Description of the error.
    pub message: String,
    /// Keyword or value that was probably meant.
    pub suggestion: Option<String>,
}

impl SyntaxError {
    /// Creates an error for the bytes from `start` to `end` of `source`.
    pub(crate) fn at(source: &str, start: usize, end: usize, message: impl Into<String>) -> Self {
        let chars = |to: usize| source.get(..to).map_or(0, |text| text.chars().count());
        let (start, end) = (chars(start), chars(end));
        Self {
            line: 1,
            column: start + 1,
            width: end.saturating_sub(start).max(1),
            source: source.to_owned(),
            message: message.into(),
            suggestion: None,
        }
    }

    pub(crate) fn with_suggestion(mut self, suggestion: Option<&str>) -> Self {
        self.suggestion = suggestion.map(str::to_owned);
        self
    }

    pub(crate) fn with_line(mut self, line: usize) -> Self {
        self.line = line;
        self
    }

    /// Returns the keywords that were expected at byte `at`; empty if the error is before it.
    pub(crate) fn expected_keywords(error: &pest::error::Error<Rule>, at: usize) -> Vec<String> {
        let InputLocation::Pos(start) = error.location else { return Vec::new() };
        let ErrorVariant::ParsingError { positives, .. } = &error.variant else {
            return Vec::new();
        };
        if start != at {
            return Vec::new();
        }
        let inputs = expected_inputs(positives);
        inputs.iter().filter_map(|input| keyword(input)).map(str::to_owned).collect()
    }

    pub(crate) fn from_pest(source: &str, error: &pest::error::Error<Rule>) -> Self {
        let start = match error.location {
            InputLocation::Pos(start) | InputLocation::Span((start, _)) => start,
        };
        let word = word_at(source, start);
        let expected = match &error.variant {
            ErrorVariant::ParsingError { positives, .. } => expected_inputs(positives),
            ErrorVariant::CustomError { .. } => Vec::new(),
        };
        let keywords = expected.iter().filter_map(|input| keyword(input));
        let suggestion = nearest(word, keywords);
        let message = match expected.is_empty() {
            true => "not understood".to_owned(),
            false => format!("expected {}", join_alternatives(&expected)),
        };
        Self::at(source, start, start + word.len(), message).with_suggestion(suggestion)
    }
}

impl fmt::Display for SyntaxError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Control characters could hide the error or send escape sequences to the terminal.
        let shown: String = self
            .source
            .chars()
            .take(MAX_SHOWN_CHARS)
            .map(|c| if c.is_control() { ' ' } else { c })
            .collect();
        let indent = (self.column - 1).min(MAX_SHOWN_CHARS);
        let width = self.width.min(MAX_SHOWN_CHARS + 1 - indent);
        writeln!(f, "{shown}")?;
        writeln!(f, "{}{}", " ".repeat(indent), "^".repeat(width))?;
        write!(f, "{}", self.message)?;
        match &self.suggestion {
            Some(word) => write!(f, "; did you mean `{word}`?"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for SyntaxError {}

/// Returns the word of `source` that starts at byte `start`.
fn word_at(source: &str, start: usize) -> &str {
    let rest = source.get(start..).unwrap_or_default();
    let ends = |c: char| c.is_whitespace() || ",;=".contains(c);
    let end = rest.find(ends).unwrap_or(rest.len());
    &rest[..end]
}

/// Joins `words` as "a, b or c".
fn join_alternatives(words: &[String]) -> String {
    match words {
        [] => String::new(),
        [word] => word.clone(),
        [first @ .., last] => format!("{} or {last}", first.join(", ")),
    }
}

/// Describes the inputs that the grammar expects for `rules`, sorted and without duplicates.
fn expected_inputs(rules: &[Rule]) -> Vec<String> {
    let mut inputs: Vec<_> = rules.iter().flat_map(|rule| describe(*rule)).collect();
    inputs.sort();
    inputs.dedup();
    inputs
}

/// Describes the input that the grammar expects for `rule`; keywords are in backquotes.
fn describe(rule: Rule) -> Vec<String> {
    let text = match rule {
        Rule::EOI => "the end of the line",
        Rule::service_name => "the name of a service",
        Rule::kind_name => "the name of a request kind",
        Rule::zone_name => "the name of a zone",
        Rule::version_name => "the name of a version",
        Rule::node_name => "the name of a node",
        Rule::fleet_name => "the name of a fleet",
        Rule::place => "the name of a zone or node",
        Rule::subject => "the name of a service, zone or node",
        Rule::value => "a value",
        Rule::reason => "the name of a refusal reason",
        Rule::operation => "an operation id",
        Rule::count => "a whole number",
        Rule::percent => "a share such as 1%",
        Rule::duration => "a time such as 50ms",
        Rule::clock_time => "a time of day such as 18:00",
        Rule::date_time => "a date and time such as 2026-12-04T18:00Z",
        Rule::factor => "a factor such as 5x",
        Rule::title => "a title in double quotes",
        Rule::comparison => "=, <, <=, > or >=",
        Rule::comma => "a comma",
        Rule::equals => "=",
        Rule::semicolon => "a semicolon",
        Rule::attributes => return keywords(&ATTRIBUTE_KEYWORDS),
        Rule::condition => return keywords(&["zone", "state", "version", "node"]),
        Rule::count_expected => return keywords(&["run", "wrong", "false", "cut", "over"]),
        Rule::share_expected => return keywords(&["goodput", "measuring"]),
        Rule::time_expected => return keywords(&["p99"]),
        Rule::no_new_work => return keywords(&["no"]),
        Rule::revision_expected => return keywords(&["same"]),
        Rule::upstream_becomes => return keywords(&["upstream"]),
        Rule::becomes_cold => return keywords(&["cold"]),
        Rule::becomes_normal => return keywords(&["normal"]),
        Rule::bad_version => return keywords(&["version"]),
        Rule::conditions => return keywords(&["where"]),
        Rule::at_most_once => return keywords(&["at"]),
        Rule::max_deadline => return keywords(&["max-deadline"]),
        Rule::kw_max_deadline => return keywords(&["max-deadline"]),
        Rule::kw_not_run => return keywords(&["not-run"]),
        Rule::store_slow => return keywords(&["slow"]),
        Rule::store_loses => return keywords(&["loses"]),
        other => return keywords(&[first_word(&format!("{other:?}"))]),
    };
    vec![text.to_owned()]
}

/// First keyword of each attribute of a request kind.
const ATTRIBUTE_KEYWORDS: [&str; 7] =
    ["weight", "idempotent", "at", "internal", "deadline", "max-deadline", "objective"];

/// Returns the keyword in a description by [`describe`], or `None` for any other description.
fn keyword(description: &str) -> Option<&str> {
    description.strip_prefix('`')?.strip_suffix('`')
}

fn keywords(words: &[&str]) -> Vec<String> {
    words.iter().map(|word| format!("`{word}`")).collect()
}

/// Returns the first keyword of a rule, which is the first word of the rule's name.
fn first_word(rule: &str) -> &str {
    let rule = rule.strip_prefix("kw_").unwrap_or(rule);
    rule.split('_').next().unwrap_or(rule)
}
