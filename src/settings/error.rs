//! Errors in settings.

use std::fmt;

/// Longest part of a value, section or key shown in an error, in characters.
const MAX_SHOWN_CHARS: usize = 80;

/// One error in a settings file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// Line number from 1; `None` when a key or section is missing.
    pub line: Option<usize>,
    /// Section, empty before the first one.
    pub section: String,
    /// Key, empty when the error concerns the whole section or line.
    pub key: String,
    /// What is wrong.
    pub problem: Problem,
    /// Description of what is allowed; empty when there is nothing to add.
    pub allowed: String,
    /// Known section, key or value that was probably meant.
    pub suggestion: Option<String>,
}

/// What is wrong with a key, section or line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Problem {
    /// The value is not allowed.
    Value(String),
    /// The value is not allowed, and is not shown since it may be a token.
    HiddenValue,
    /// The key or section is missing.
    Missing,
    /// The key is not known.
    UnknownKey,
    /// The section is not known.
    UnknownSection,
    /// The key is repeated.
    Repeated {
        /// Line of the first occurrence.
        first: usize,
    },
    /// The line cannot be parsed.
    Unreadable,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        let section = match self.section.as_str() {
            "" => String::new(),
            section => format!("[{}]", printable(section)),
        };
        let place = format!("{section} {}", printable(&self.key));
        if !place.trim().is_empty() {
            write!(f, "{}: ", place.trim())?;
        }
        write!(f, "{}", self.problem)?;
        if let Some(word) = &self.suggestion {
            write!(f, "; did you mean `{word}`?")?;
        }
        match self.allowed.is_empty() {
            true => Ok(()),
            false => write!(f, "; allowed: {}", self.allowed),
        }
    }
}

impl std::error::Error for SettingsError {}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Value(value) => write!(f, "found `{}`", printable(value)),
            Self::HiddenValue => f.write_str("the value found is not shown here"),
            Self::Missing => f.write_str("missing"),
            Self::UnknownKey => f.write_str("unknown key"),
            Self::UnknownSection => f.write_str("unknown section"),
            Self::Repeated { first } => write!(f, "stated before, on line {first}"),
            Self::Unreadable => f.write_str("cannot be read"),
        }
    }
}

/// Escapes control characters, which a terminal would interpret, and truncates long text.
fn printable(text: &str) -> String {
    let mut shown: String = text.chars().take(MAX_SHOWN_CHARS).flat_map(escape).collect();
    if text.chars().nth(MAX_SHOWN_CHARS).is_some() {
        shown.push_str("...");
    }
    shown
}

fn escape(c: char) -> Vec<char> {
    if c.is_control() { c.escape_default().collect() } else { vec![c] }
}
