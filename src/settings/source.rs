//! A settings file as a list of entries with their lines.

use ini::{Ini, ParseOption};

/// One `key = value`.
#[derive(Clone, Debug)]
pub(super) struct Entry {
    pub section: String,
    pub key: String,
    pub value: String,
    pub line: usize,
}

/// The entries of a file, and the lines that cannot be read.
#[derive(Clone, Debug, Default)]
pub(super) struct Source {
    pub sections: Vec<(String, usize)>,
    pub entries: Vec<Entry>,
    /// Section and line.
    pub unreadable: Vec<(String, usize)>,
}

enum Line {
    Blank,
    Section(String),
    Entry(String, String),
}

impl Source {
    /// Reads the text line by line.
    ///
    /// `rust-ini` keeps no line numbers and stops at the first error, so that it is given one line
    /// at a time. Values that span lines are not part of the format.
    pub(super) fn read(text: &str) -> Self {
        let mut source = Self::default();
        let mut section = String::new();
        for (index, text) in text.lines().enumerate() {
            let line = index + 1;
            match read_line(text.trim()) {
                Some(Line::Blank) => {}
                Some(Line::Section(name)) => {
                    section.clone_from(&name);
                    source.sections.push((name, line));
                }
                Some(Line::Entry(key, value)) => {
                    source.entries.push(Entry { section: section.clone(), key, value, line });
                }
                None => source.unreadable.push((section.clone(), line)),
            }
        }
        source
    }
}

fn read_line(text: &str) -> Option<Line> {
    // Tokens may hold quotes and backslashes, which therefore stand for themselves.
    let opt = ParseOption { enabled_quote: false, enabled_escape: false, ..Default::default() };
    let ini = Ini::load_from_str_opt(text, opt).ok()?;
    let mut entries = ini.general_section().iter();
    let section = ini.sections().flatten().next();
    match (section, entries.next(), entries.next()) {
        (None, None, _) if text.is_empty() || text.starts_with([';', '#']) => Some(Line::Blank),
        (None, Some((key, value)), None) => Some(Line::Entry(squeeze(key), value.to_owned())),
        (Some(name), None, _) if text.ends_with(']') => Some(Line::Section(squeeze(name))),
        _ => None,
    }
}

/// Replaces each run of white space by one space, so that `kind  a` and `kind a` are one key.
fn squeeze(text: &str) -> String {
    text.split_whitespace().collect::<Vec<_>>().join(" ")
}
