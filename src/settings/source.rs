//! Syntax of a settings file: its sections and entries with their line numbers.

use ini::{Ini, ParseOption};

/// One `key = value` line.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub section: String,
    pub key: String,
    pub value: String,
    pub line: usize,
}

/// Sections and entries of a file, and the lines that cannot be parsed.
#[derive(Clone, Debug, Default)]
pub(super) struct Source {
    /// Name and line number of each section header.
    pub sections: Vec<(String, usize)>,
    pub entries: Vec<Entry>,
    /// Section and line number of each line that cannot be parsed.
    pub unparsed: Vec<(String, usize)>,
}

enum Line {
    Blank,
    Section(String),
    Entry(String, String),
}

impl Source {
    /// Parses the text line by line.
    ///
    /// `rust-ini` keeps no line numbers and stops at the first error, so it is given one line at a
    /// time. Values that span lines are not part of the format.
    pub(super) fn parse(text: &str) -> Self {
        let mut source = Self::default();
        let mut section = String::new();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            match parse_line(text.trim()) {
                Some(Line::Blank) => {}
                Some(Line::Section(name)) => {
                    section.clone_from(&name);
                    source.sections.push((name, line));
                }
                Some(Line::Entry(key, value)) => {
                    source.entries.push(Entry { section: section.clone(), key, value, line });
                }
                None => source.unparsed.push((section.clone(), line)),
            }
        }
        source
    }
}

fn parse_line(text: &str) -> Option<Line> {
    // Tokens may contain quotes and backslashes, so neither is interpreted.
    let opt = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let ini = Ini::load_from_str_opt(text, opt).ok()?;
    let mut entries = ini.general_section().iter();
    let section = ini.sections().flatten().next();
    match (section, entries.next(), entries.next()) {
        (None, None, _) if text.is_empty() || text.starts_with([';', '#']) => Some(Line::Blank),
        (None, Some((key, value)), None) => Some(Line::Entry(collapse(key), value.to_owned())),
        (Some(name), None, _) if text.ends_with(']') => Some(Line::Section(collapse(name))),
        _ => None,
    }
}

/// Replaces each run of whitespace by one space, so that `kind  a` and `kind a` are one key.
fn collapse(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
