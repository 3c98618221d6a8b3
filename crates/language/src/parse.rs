//! Parser of statements.

use std::time::Duration;

use oleandertiller_model::{
    ErrorKind, KindName, NodeName, ServiceName, ServiceSpec, VersionName, ZoneName,
    intent::ZoneIntent,
};
use pest::{Parser, iterators::Pair};
use pest_derive::Parser;
use uuid::Uuid;

use crate::{
    due::Due,
    error::SyntaxError,
    kind::read_attributes,
    nearest::nearest,
    statement::{Command, Condition, Field, Query, STATES, Show, Statement},
    units::{parse_duration, parse_percent},
};

/// Longest line accepted, in bytes; bounds the time taken to parse a line.
pub const MAX_LINE_BYTES: usize = 8_192;

#[derive(Parser)]
#[grammar = "grammar.pest"]
#[grammar = "scenario.pest"]
pub(crate) struct Grammar;

/// Parses one line of the operators' language.
///
/// # Errors
///
/// Returns [`SyntaxError`] with the position of the error and what was expected there.
pub fn parse(line: &str) -> Result<Statement, SyntaxError> {
    check_length(line)?;
    let mut pairs = Grammar::parse(Rule::statement_line, line)
        .map_err(|error| SyntaxError::from_pest(line, &error))?;
    match pairs.next() {
        Some(pair) => statement(line, &pair),
        None => Err(SyntaxError::at(line, 0, line.len(), "not understood")),
    }
}

pub(crate) fn check_length(text: &str) -> Result<(), SyntaxError> {
    if text.len() <= MAX_LINE_BYTES {
        return Ok(());
    }
    let message = format!("the line is over {MAX_LINE_BYTES} bytes long");
    Err(SyntaxError::at(text, 0, 0, message))
}

fn statement(line: &str, pair: &Pair<'_, Rule>) -> Result<Statement, SyntaxError> {
    let query = match pair.as_rule() {
        Rule::help_line => return Ok(Statement::Help),
        Rule::show_plain | Rule::show_upstreams => Query::Show(show(line, pair)?),
        Rule::history => Query::History {
            of: child(pair, Rule::subject).map(|pair| pair.as_str().into()),
            last: match child(pair, Rule::count) {
                Some(_) => Some(count_of(line, pair)?),
                None => None,
            },
        },
        Rule::explain_rollout => Query::ExplainRollout(service_name(pair)),
        Rule::explain_refusal => Query::ExplainRefusal(refusal(line, pair)?),
        Rule::explain_upstream => Query::ExplainUpstream(node_name(pair)),
        Rule::operation_id => Query::Operation(operation(line, pair)?),
        _ => return command(line, pair).map(Statement::Command),
    };
    Ok(Statement::Query(query))
}

fn show(line: &str, pair: &Pair<'_, Rule>) -> Result<Show, SyntaxError> {
    let has = |rule| child(pair, rule).is_some();
    if pair.as_rule() == Rule::show_upstreams {
        let of = child(pair, Rule::service_name).map(|pair| ServiceName::new(pair.as_str()));
        return Ok(Show::Upstreams { of, conditions: conditions(line, pair)? });
    }
    if let Some(nodes) = child(pair, Rule::nodes) {
        return conditions(line, &nodes).map(Show::Nodes);
    }
    Ok(match () {
        () if has(Rule::kw_zones) => Show::Zones,
        () if has(Rule::kw_services) => Show::Services,
        () if has(Rule::kw_rollouts) => Show::Rollouts,
        () if has(Rule::kw_budget) => Show::Budget,
        () => Show::Revision,
    })
}

fn conditions(line: &str, pair: &Pair<'_, Rule>) -> Result<Vec<Condition>, SyntaxError> {
    let Some(conditions) = child(pair, Rule::conditions) else { return Ok(Vec::new()) };
    let conditions = conditions.into_inner().filter(|pair| pair.as_rule() == Rule::condition);
    conditions.map(|pair| condition(line, &pair)).collect()
}

fn condition(line: &str, pair: &Pair<'_, Rule>) -> Result<Condition, SyntaxError> {
    let field = pair.clone().into_inner().find_map(|part| match part.as_rule() {
        Rule::kw_zone => Some(Field::Zone),
        Rule::kw_state => Some(Field::State),
        Rule::kw_version => Some(Field::Version),
        _ => None,
    });
    let field = field.unwrap_or(Field::Node);
    let value = text_of(pair, Rule::value);
    if field == Field::State && !STATES.contains(&value.as_str()) {
        let message = format!("expected `{}`", STATES.join("`, `"));
        let at = child(pair, Rule::value).unwrap_or_else(|| pair.clone());
        return Err(error_at(line, &at, &message).with_suggestion(nearest(&value, STATES)));
    }
    Ok(Condition { field, value: value.into() })
}

pub(crate) fn command(line: &str, pair: &Pair<'_, Rule>) -> Result<Command, SyntaxError> {
    Ok(match pair.as_rule() {
        Rule::zone_set => {
            let out = child(pair, Rule::kw_out).is_some();
            let intent = if out { ZoneIntent::Out } else { ZoneIntent::In };
            Command::Zone(zone_name(pair), intent)
        }
        Rule::rollout_start => Command::Rollout {
            service: service_name(pair),
            to: version_name(pair),
            due: due(line, pair)?,
        },
        Rule::cancel_rollout => Command::CancelRollout(service_name(pair)),
        Rule::budget_measuring => Command::BudgetMeasuring(percent_of(line, pair)?),
        _ => Command::PutService(service_spec(line, pair)?),
    })
}

fn due(line: &str, pair: &Pair<'_, Rule>) -> Result<Due, SyntaxError> {
    if let Some(clock) = child(pair, Rule::clock_time) {
        return Due::parse_clock(clock.as_str())
            .ok_or_else(|| error_at(line, &clock, "no such time of day"));
    }
    if let Some(date) = child(pair, Rule::date_time) {
        return Due::parse_date_time(date.as_str())
            .ok_or_else(|| error_at(line, &date, "no such date and time"));
    }
    duration_of(line, pair).map(Due::In)
}

fn service_spec(line: &str, pair: &Pair<'_, Rule>) -> Result<ServiceSpec, SyntaxError> {
    let mut spec = ServiceSpec::new(text_of(pair, Rule::service_name).as_str(), Vec::new());
    for clause in pair.clone().into_inner().filter(|pair| pair.as_rule() == Rule::kind_clause) {
        let name = KindName::new(text_of(&clause, Rule::kind_name));
        if spec.kind(name.as_str()).is_some() {
            return Err(error_at(line, &clause, "the kind is stated twice"));
        }
        if let Some(attributes) = child(&clause, Rule::attributes) {
            spec.kinds.push(read_attributes(line, &name, &attributes)?);
        }
    }
    Ok(spec)
}

fn refusal(line: &str, pair: &Pair<'_, Rule>) -> Result<ErrorKind, SyntaxError> {
    let reason = text_of(pair, Rule::reason);
    let known = ErrorKind::ALL.iter().find(|kind| kind.answer().name == reason);
    known.copied().ok_or_else(|| {
        let names = ErrorKind::ALL.iter().map(|kind| kind.answer().name);
        let at = child(pair, Rule::reason).unwrap_or_else(|| pair.clone());
        error_at(line, &at, "no such refusal reason").with_suggestion(nearest(&reason, names))
    })
}

fn operation(line: &str, pair: &Pair<'_, Rule>) -> Result<Uuid, SyntaxError> {
    let id = Uuid::parse_str(&text_of(pair, Rule::operation));
    id.map_err(|_| error_at(line, pair, "not an operation id"))
}

pub(crate) fn service_name(pair: &Pair<'_, Rule>) -> ServiceName {
    ServiceName::new(text_of(pair, Rule::service_name))
}

pub(crate) fn zone_name(pair: &Pair<'_, Rule>) -> ZoneName {
    ZoneName::new(text_of(pair, Rule::zone_name))
}

pub(crate) fn version_name(pair: &Pair<'_, Rule>) -> VersionName {
    VersionName::new(text_of(pair, Rule::version_name))
}

pub(crate) fn node_name(pair: &Pair<'_, Rule>) -> NodeName {
    NodeName::new(text_of(pair, Rule::node_name))
}

/// Returns the first direct child of the given rule.
pub(crate) fn child<'i>(pair: &Pair<'i, Rule>, rule: Rule) -> Option<Pair<'i, Rule>> {
    pair.clone().into_inner().find(|part| part.as_rule() == rule)
}

/// Returns the text of a child that the grammar requires.
pub(crate) fn text_of(pair: &Pair<'_, Rule>, rule: Rule) -> String {
    child(pair, rule).map(|part| part.as_str().to_owned()).unwrap_or_default()
}

pub(crate) fn count_of(source: &str, pair: &Pair<'_, Rule>) -> Result<u32, SyntaxError> {
    value_of(source, pair, Rule::count, |text| text.parse().ok(), "the number is too large")
}

pub(crate) fn duration_of(source: &str, pair: &Pair<'_, Rule>) -> Result<Duration, SyntaxError> {
    value_of(source, pair, Rule::duration, parse_duration, "the time is too long")
}

pub(crate) fn percent_of(source: &str, pair: &Pair<'_, Rule>) -> Result<u32, SyntaxError> {
    value_of(source, pair, Rule::percent, parse_percent, "the share is over 100%")
}

/// Converts the child of the given rule; the grammar checks its form but not its range.
fn value_of<T>(
    source: &str,
    pair: &Pair<'_, Rule>,
    rule: Rule,
    read: impl Fn(&str) -> Option<T>,
    message: &str,
) -> Result<T, SyntaxError> {
    let value = child(pair, rule).unwrap_or_else(|| pair.clone());
    read(value.as_str()).ok_or_else(|| error_at(source, &value, message))
}

/// Creates an error that points at `pair`.
pub(crate) fn error_at(source: &str, pair: &Pair<'_, Rule>, message: &str) -> SyntaxError {
    let span = pair.as_span();
    let end = span.start() + span.as_str().trim_end().len();
    SyntaxError::at(source, span.start(), end, message)
}
