//! Reads typed values from a parsed file and collects all errors.

use std::collections::HashMap;

use oleandertiller_language::{kind::parse_attributes, nearest};
use oleandertiller_model::{KindName, KindSpec, ServiceName, ServiceSpec, name};

use super::{
    error::{Problem, SettingsError},
    join_with_commas,
    source::{Entry, Source},
    table::{KIND_PREFIX, Key, OPERATORS, SERVICE_PREFIX},
    token::{MIN_TOKEN_CHARS, Operator, Token},
    value::{Allowed, SettingValue},
};

/// Parsed file, the keys that it may contain and the errors found so far.
pub(super) struct Reader {
    source: Source,
    keys: &'static [Key],
    errors: Vec<SettingsError>,
}

impl Reader {
    /// Creates a reader; checks that all lines could be parsed, and that sections and keys are
    /// known and no key is repeated.
    pub(super) fn new(source: Source, keys: &'static [Key]) -> Self {
        let mut reader = Self { source, keys, errors: Vec::new() };
        reader.check_lines();
        reader.check_sections();
        reader.check_keys();
        reader
    }

    /// Returns all errors by line, with operators' tokens redacted.
    pub(super) fn finish(self) -> Vec<SettingsError> {
        let tokens: Vec<_> = self
            .source
            .entries
            .iter()
            .filter(|entry| entry.section == OPERATORS && !entry.value.is_empty())
            .map(|entry| entry.value.clone())
            .collect();
        let mut errors = self.errors;
        errors.iter_mut().for_each(|error| error.redact_tokens(&tokens));
        errors.sort_by_key(|error| error.line.unwrap_or(usize::MAX));
        errors
    }

    /// Returns the value of a key of the table, or its default. A platform that fills in a template
    /// leaves a value empty that it does not have, so the default also applies to a key that is
    /// stated without a value, unless its type has a meaning for that.
    pub(super) fn value<T: SettingValue>(&mut self, section: &str, name: &str) -> Option<T> {
        let key = self.keys.iter().find(|key| key.section == section && key.name == name)?;
        let Some(entry) = self.entry(section, name) else {
            if key.default.is_none() {
                self.report_missing(key);
            }
            return T::parse(key.default?, &key.allowed);
        };
        let default = key.default.filter(|_| entry.value.is_empty());
        let value = T::parse(&entry.value, &key.allowed)
            .or_else(|| default.and_then(|default| T::parse(default, &key.allowed)));
        if value.is_none() {
            let suggestion = match key.allowed {
                Allowed::OneOf(words) => nearest(&entry.value, words.iter().copied()),
                _ => None,
            };
            self.reject_with_suggestion(section, name, &key.allowed.describe(), suggestion);
        }
        value
    }

    /// Reports that the value of a key in the file is not allowed.
    pub(super) fn reject(&mut self, section: &str, name: &str, allowed: &str) {
        self.reject_with_suggestion(section, name, allowed, None);
    }

    pub(super) fn reject_with_suggestion(
        &mut self,
        section: &str,
        name: &str,
        allowed: &str,
        suggestion: Option<&str>,
    ) {
        let entry = self.entry(section, name);
        let value = entry.map(|entry| entry.value.clone()).unwrap_or_default();
        self.errors.push(SettingsError {
            line: entry.map(|entry| entry.line),
            section: section.to_owned(),
            key: name.to_owned(),
            problem: Problem::Value(value),
            allowed: allowed.to_owned(),
            suggestion: suggestion.map(str::to_owned),
        });
    }

    /// Returns the operators and their tokens.
    pub(super) fn operators(&mut self) -> Vec<Operator> {
        let mut operators: Vec<Operator> = Vec::new();
        for entry in self.section(OPERATORS) {
            if !name::is_valid(&entry.key) {
                // The key is not shown: it is the token when name and token are swapped.
                let error = SettingsError { key: String::new(), ..token_error(&entry) };
                let allowed = format!("NAME = TOKEN, where NAME is {}", Allowed::Name.describe());
                self.errors.push(SettingsError { allowed, ..error });
                continue;
            }
            let Some(token) = Token::new(&entry.value) else {
                self.errors.push(token_error(&entry));
                continue;
            };
            if operators.iter().any(|operator| operator.token == token) {
                let allowed = "a token that no other operator has".to_owned();
                self.errors.push(SettingsError { allowed, ..token_error(&entry) });
                continue;
            }
            operators.push(Operator { name: entry.key.as_str().into(), token });
        }
        operators
    }

    /// Returns the services of all `[service NAME]` sections.
    pub(super) fn services(&mut self) -> Vec<ServiceSpec> {
        let mut services: Vec<ServiceSpec> = Vec::new();
        for (section, line) in self.source.sections.clone() {
            let Some(service) = declared_service(&section) else { continue };
            if services.iter().any(|known| known.name.as_str() == service) {
                continue;
            }
            let allowed = match name::is_valid(service) {
                true if self.section(&section).is_empty() => "at least one `kind NAME = ...`",
                true => "",
                false => &Allowed::Name.describe(),
            };
            if !allowed.is_empty() {
                let problem = Problem::Value(service.to_owned());
                self.errors.push(section_error(&section, line, problem, allowed));
            }
            let kinds = self.section(&section);
            let kinds = kinds.iter().filter_map(|entry| self.kind(entry)).collect();
            services.push(ServiceSpec { name: ServiceName::new(service), kinds });
        }
        services
    }

    fn kind(&mut self, entry: &Entry) -> Option<KindSpec> {
        let kind = entry.key.strip_prefix(KIND_PREFIX).map(str::trim)?;
        let found = || Problem::Value(entry.value.clone());
        if !name::is_valid(kind) {
            let allowed = format!("`kind NAME`, where NAME is {}", Allowed::Name.describe());
            self.errors.push(entry_error(entry, found(), allowed));
            return None;
        }
        match parse_attributes(&KindName::new(kind), &entry.value) {
            Ok(kind) => Some(kind),
            Err(error) => {
                let allowed = format!("at character {}: {}", error.column, error.message);
                let error = SettingsError {
                    suggestion: error.suggestion,
                    ..entry_error(entry, found(), allowed)
                };
                self.errors.push(error);
                None
            }
        }
    }

    fn entry(&self, section: &str, key: &str) -> Option<&Entry> {
        self.source.entries.iter().find(|entry| entry.section == section && entry.key == key)
    }

    fn section(&self, section: &str) -> Vec<Entry> {
        let entries = self.source.entries.iter().filter(|entry| entry.section == section);
        entries.cloned().collect()
    }

    fn report_missing(&mut self, key: &Key) {
        self.errors.push(SettingsError {
            line: None,
            section: key.section.to_owned(),
            key: key.name.to_owned(),
            problem: Problem::Missing,
            allowed: key.allowed.describe(),
            suggestion: None,
        });
    }

    fn check_lines(&mut self) {
        // The line itself is not shown: it may contain a token.
        let allowed = "`[SECTION]`, `KEY = VALUE`, or a comment after `#` or `;`";
        let lines = self.source.unparsed.iter();
        let errors = lines
            .map(|(section, line)| section_error(section, *line, Problem::Unreadable, allowed));
        self.errors.extend(errors);
    }

    fn check_sections(&mut self) {
        for (section, line) in &self.source.sections {
            if !is_known_section(self.keys, section) {
                let known = known_sections(self.keys);
                let allowed = format!("{}, service NAME", join_with_commas(known.iter().copied()));
                let mut error = section_error(section, *line, Problem::UnknownSection, &allowed);
                error.suggestion = nearest(section, known).map(str::to_owned);
                self.errors.push(error);
            }
        }
    }

    fn check_keys(&mut self) {
        let mut first = HashMap::new();
        for entry in &self.source.entries {
            // The unknown section is reported already.
            if !is_known_section(self.keys, &entry.section) && !entry.section.is_empty() {
                continue;
            }
            if let Some(error) = unknown_key(self.keys, entry) {
                self.errors.push(error);
                continue;
            }
            let line = *first.entry((&entry.section, &entry.key)).or_insert(entry.line);
            if line != entry.line {
                let mut error =
                    entry_error(entry, Problem::Repeated { first: line }, String::new());
                if entry.section == OPERATORS && !name::is_valid(&entry.key) {
                    error.key.clear();
                }
                self.errors.push(error);
            }
        }
    }
}

impl SettingsError {
    /// Removes operators' tokens, which an error contains when they stand in the wrong place.
    fn redact_tokens(&mut self, tokens: &[String]) {
        let has_token = |text: &str| tokens.iter().any(|token| contains_token(text, token));
        if matches!(&self.problem, Problem::Value(value) if has_token(value)) {
            self.problem = Problem::HiddenValue;
        }
        for text in [&mut self.section, &mut self.key] {
            if has_token(text) {
                text.clear();
            }
        }
    }
}

/// Minimum length of a token to search for within other text; shorter ones occur by chance.
const MIN_SEARCHED_TOKEN_BYTES: usize = 8;

/// Returns whether `text` is the token, or contains one that is long enough to search for.
fn contains_token(text: &str, token: &str) -> bool {
    text == token || (token.len() >= MIN_SEARCHED_TOKEN_BYTES && text.contains(token))
}

/// Returns the name of the service that a section declares.
fn declared_service(section: &str) -> Option<&str> {
    section.strip_prefix(SERVICE_PREFIX).map(str::trim)
}

/// Returns the sections of the table and `[operators]`.
fn known_sections(keys: &[Key]) -> Vec<&'static str> {
    let mut sections: Vec<_> = keys.iter().map(|key| key.section).collect();
    sections.dedup();
    sections.push(OPERATORS);
    sections
}

fn is_known_section(keys: &[Key], section: &str) -> bool {
    declared_service(section).is_some() || known_sections(keys).contains(&section)
}

/// Returns the error of a key that its section does not have, or `None` for a known key.
fn unknown_key(keys: &[Key], entry: &Entry) -> Option<SettingsError> {
    if entry.section == OPERATORS {
        return None;
    }
    if declared_service(&entry.section).is_some() {
        let known = entry.key.starts_with(KIND_PREFIX);
        let allowed = "kind NAME".to_owned();
        return (!known).then(|| entry_error(entry, Problem::UnknownKey, allowed));
    }
    let keys = || keys.iter().filter(|key| key.section == entry.section).map(|key| key.name);
    if keys().any(|key| key == entry.key) {
        return None;
    }
    let allowed = match entry.section.is_empty() {
        true => "keys only after a `[SECTION]`".to_owned(),
        false => join_with_commas(keys()),
    };
    let suggestion = nearest(&entry.key, keys()).map(str::to_owned);
    Some(SettingsError { suggestion, ..entry_error(entry, Problem::UnknownKey, allowed) })
}

fn entry_error(entry: &Entry, problem: Problem, allowed: String) -> SettingsError {
    SettingsError {
        line: Some(entry.line),
        section: entry.section.clone(),
        key: entry.key.clone(),
        problem,
        allowed,
        suggestion: None,
    }
}

fn section_error(section: &str, line: usize, problem: Problem, allowed: &str) -> SettingsError {
    SettingsError {
        line: Some(line),
        section: section.to_owned(),
        key: String::new(),
        problem,
        allowed: allowed.to_owned(),
        suggestion: None,
    }
}

/// Returns the error of an operator's line, without its value.
fn token_error(entry: &Entry) -> SettingsError {
    let allowed = format!("a token of at least {MIN_TOKEN_CHARS} visible ASCII characters");
    entry_error(entry, Problem::HiddenValue, allowed)
}
