//! Attributes of a request kind, in the syntax of the settings file and `put service`.

use std::{collections::HashSet, time::Duration};

use oleandertiller_model::{KindName, KindSpec, Safety};
use pest::{Parser, iterators::Pair};

use crate::{
    error::SyntaxError,
    parse::{Grammar, Rule, check_length, count_of, duration_of, error_at, percent_of},
    units::{print_duration, print_percent},
};

/// Parses attributes such as `weight 10, idempotent, deadline 50ms, objective 99.9%`.
///
/// Either `idempotent` or `at most once` is required, since a wrong default would run requests
/// twice.
///
/// # Errors
///
/// Returns [`SyntaxError`] with the position of the error.
pub fn parse_attributes(name: &KindName, text: &str) -> Result<KindSpec, SyntaxError> {
    check_length(text)?;
    let mut pairs = Grammar::parse(Rule::attributes_line, text)
        .map_err(|error| SyntaxError::from_pest(text, &error))?;
    match pairs.next() {
        Some(pair) => read_attributes(text, name, &pair),
        None => Err(SyntaxError::at(text, 0, text.len(), "not understood")),
    }
}

/// Prints the attributes so that they parse to the same kind.
pub fn print_attributes(kind: &KindSpec) -> String {
    let mut parts = vec![format!("weight {}", kind.weight)];
    parts.push(match kind.safety {
        Safety::Idempotent => "idempotent".to_owned(),
        Safety::AtMostOnce => "at most once".to_owned(),
    });
    if kind.internal {
        parts.push("internal".to_owned());
    }
    parts.push(format!("deadline {}", print_duration(kind.deadline)));
    parts.push(format!("max-deadline {}", print_duration(kind.max_deadline)));
    parts.push(format!("objective {}", print_percent(kind.objective_ppm)));
    parts.join(", ")
}

pub(crate) fn read_attributes(
    source: &str,
    name: &KindName,
    attributes: &Pair<'_, Rule>,
) -> Result<KindSpec, SyntaxError> {
    let mut kind = KindSpec::new(name.as_str());
    let mut seen = HashSet::new();
    let stated = attributes.clone().into_inner().filter(|pair| pair.as_rule() != Rule::comma);
    for pair in stated {
        let rule = match pair.as_rule() {
            // `at most once` and `idempotent` exclude each other, so they count as one attribute.
            Rule::at_most_once => Rule::idempotent,
            rule => rule,
        };
        if !seen.insert(rule) {
            return Err(error_at(source, &pair, "stated twice or contradicted"));
        }
        set_attribute(source, &mut kind, &pair)?;
    }
    if !seen.contains(&Rule::idempotent) {
        return Err(error_at(source, attributes, "state `idempotent` or `at most once`"));
    }
    if kind.deadline > kind.max_deadline {
        return Err(error_at(
            source,
            attributes,
            "`deadline` is over `max-deadline` (30s if unsaid)",
        ));
    }
    Ok(kind)
}

fn set_attribute(
    source: &str,
    kind: &mut KindSpec,
    pair: &Pair<'_, Rule>,
) -> Result<(), SyntaxError> {
    match pair.as_rule() {
        Rule::weight => {
            kind.weight = count_of(source, pair)?;
            if kind.weight == 0 {
                return Err(error_at(source, pair, "the weight must be at least 1"));
            }
        }
        Rule::at_most_once => kind.safety = Safety::AtMostOnce,
        Rule::internal => kind.internal = true,
        Rule::deadline => kind.deadline = positive_duration(source, pair)?,
        Rule::max_deadline => kind.max_deadline = positive_duration(source, pair)?,
        Rule::objective => kind.objective_ppm = percent_of(source, pair)?,
        _ => kind.safety = Safety::Idempotent,
    }
    Ok(())
}

fn positive_duration(source: &str, pair: &Pair<'_, Rule>) -> Result<Duration, SyntaxError> {
    match duration_of(source, pair)? {
        Duration::ZERO => Err(error_at(source, pair, "the time must be more than zero")),
        duration => Ok(duration),
    }
}
