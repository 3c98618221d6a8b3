//! Parser of scenario scripts.

use std::time::Duration;

use oleandertiller_model::KindName;
use pest::{Parser, iterators::Pair};

use super::{
    Behaviour, Comparison, Count, Event, Expectation, Fault, Load, Place, Scenario, Share, Step,
    StoreEvent,
};
use crate::{
    error::SyntaxError,
    parse::{
        Grammar, Rule, check_length, child, command, count_of, duration_of, error_at, node_name,
        percent_of, service_name, text_of, version_name, zone_name,
    },
    units::{Factor, parse_duration},
};

/// Parses a whole script.
///
/// # Errors
///
/// Returns one [`SyntaxError`] for each line in error.
pub fn parse(script: &str) -> Result<Scenario, Vec<SyntaxError>> {
    let mut builder = ScenarioBuilder::default();
    let mut errors = Vec::new();
    for (index, line) in script.lines().enumerate() {
        let content = line.trim();
        if content.is_empty() || content.starts_with('#') {
            continue;
        }
        if let Err(error) = builder.read_line(line) {
            errors.push(error.with_line(index + 1));
        }
    }
    if !errors.is_empty() {
        // A header line in error would also be reported as missing.
        return Err(errors);
    }
    builder.build().map_err(|error| vec![error.with_line(script.lines().count().max(1))])
}

/// The parts of a scenario that have been parsed so far.
#[derive(Default)]
struct ScenarioBuilder {
    title: Option<String>,
    fleet: Option<(Place, u32)>,
    loads: Vec<Load>,
    steps: Vec<Step>,
    expectations: Vec<Expectation>,
}

impl ScenarioBuilder {
    /// Parses a line and adds its content.
    fn read_line(&mut self, line: &str) -> Result<(), SyntaxError> {
        check_length(line)?;
        let mut pairs = Grammar::parse(Rule::scenario_line, line)
            .map_err(|error| SyntaxError::from_pest(line, &error))?;
        let Some(pair) = pairs.next() else { return Ok(()) };
        match pair.as_rule() {
            Rule::scenario_header if self.title.is_some() => {
                return Err(error_at(line, &pair, "a script holds one scenario"));
            }
            Rule::scenario_header => {
                let title = text_of(&pair, Rule::title);
                self.title = Some(title.trim_matches('"').to_owned());
            }
            Rule::fleet_line if self.fleet.is_some() => {
                return Err(error_at(line, &pair, "the fleet is stated twice"));
            }
            Rule::fleet_line => {
                let name = text_of(&pair, Rule::fleet_name).into();
                self.fleet = Some((name, count_of(line, &pair)?));
            }
            Rule::load_line => {
                if let Some(pair) = child(&pair, Rule::load) {
                    self.loads.push(load(line, &pair)?);
                }
            }
            Rule::at_line => self.steps.push(step(line, &pair)?),
            _ => self.expectations.push(expectation(line, &pair)?),
        }
        Ok(())
    }

    fn build(self) -> Result<Scenario, SyntaxError> {
        let missing = |what| SyntaxError::at("", 0, 0, what);
        let title =
            self.title.ok_or_else(|| missing("the line `scenario \"TITLE\"` is missing"))?;
        let (fleet, seed) =
            self.fleet.ok_or_else(|| missing("the line `fleet NAME seed NUMBER` is missing"))?;
        let Self { loads, steps, expectations, .. } = self;
        Ok(Scenario { title, fleet, seed, loads, steps, expectations })
    }
}

fn load(line: &str, pair: &Pair<'_, Rule>) -> Result<Load, SyntaxError> {
    Ok(Load { per_second: count_of(line, pair)?, lasting: duration_of(line, pair)? })
}

fn step(line: &str, pair: &Pair<'_, Rule>) -> Result<Step, SyntaxError> {
    let is_keyword = |rule| {
        let keywords = [Rule::kw_at, Rule::kw_and, Rule::kw_the, Rule::kw_same, Rule::kw_time];
        rule == Rule::duration || keywords.contains(&rule)
    };
    let events = pair.clone().into_inner().filter(|part| !is_keyword(part.as_rule()));
    let events = events.map(|part| event(line, &part)).collect::<Result<_, _>>()?;
    Ok(Step { at: duration_of(line, pair)?, events })
}

fn event(line: &str, pair: &Pair<'_, Rule>) -> Result<Event, SyntaxError> {
    Ok(match pair.as_rule() {
        Rule::kill_node => Event::Kill(node_name(pair)),
        Rule::pause_node => Event::Pause(node_name(pair), duration_of(line, pair)?),
        Rule::restart_node => Event::Restart(node_name(pair)),
        Rule::stop_node => Event::Stop(node_name(pair)),
        Rule::start_upstreams => Event::Start {
            count: count_of(line, pair)?,
            service: service_name(pair),
            version: version_name(pair),
        },
        Rule::drain_upstream => Event::Drain(node_name(pair)),
        Rule::upstream_becomes => Event::Upstream(node_name(pair), behaviour(line, pair)?),
        Rule::bad_version => Event::BadVersion {
            version: version_name(pair),
            service: service_name(pair),
            fault: read_fault(line, pair)?,
            on: child(pair, Rule::kind_name).map(|kind| KindName::new(kind.as_str())),
            after: optional_duration(line, pair)?,
        },
        Rule::store_becomes => Event::Store(store(line, pair)?),
        Rule::cut_link => {
            let (to, from) = places(pair);
            Event::Cut { from, to, lasting: optional_duration(line, pair)? }
        }
        Rule::heal_link => {
            let (one, other) = places(pair);
            Event::Heal(one, other)
        }
        Rule::delay_link => delay(line, pair)?,
        Rule::load => Event::Load(load(line, pair)?),
        _ => Event::Command(command(line, pair)?),
    })
}

fn delay(line: &str, pair: &Pair<'_, Rule>) -> Result<Event, SyntaxError> {
    let (from, to) = places(pair);
    let mut times = pair.clone().into_inner().filter(|part| part.as_rule() == Rule::duration);
    let by = times.next().map_or(Ok(Duration::ZERO), |time| read_duration(line, &time))?;
    let lasting = times.next().map(|time| read_duration(line, &time)).transpose()?;
    Ok(Event::Delay { from, to, by, lasting })
}

fn behaviour(line: &str, pair: &Pair<'_, Rule>) -> Result<Behaviour, SyntaxError> {
    if child(pair, Rule::becomes_cold).is_some() {
        return Ok(Behaviour::ColdAgain);
    }
    if child(pair, Rule::becomes_normal).is_some() {
        return Ok(Behaviour::Normal);
    }
    read_fault(line, pair).map(Behaviour::Faulty)
}

fn read_fault(line: &str, pair: &Pair<'_, Rule>) -> Result<Fault, SyntaxError> {
    if let Some(slow) = child(pair, Rule::slow) {
        let factor = Factor::parse(&text_of(&slow, Rule::factor));
        let factor = factor.ok_or_else(|| error_at(line, &slow, "the factor is too large"))?;
        return Ok(Fault::Slow(factor));
    }
    match child(pair, Rule::fails) {
        Some(fails) => Ok(Fault::Fails(percent_of(line, &fails)?)),
        None => Ok(Fault::FailsFast),
    }
}

fn store(line: &str, pair: &Pair<'_, Rule>) -> Result<StoreEvent, SyntaxError> {
    if let Some(slow) = child(pair, Rule::store_slow) {
        return Ok(StoreEvent::Slow(duration_of(line, &slow)?));
    }
    if let Some(loses) = child(pair, Rule::store_loses) {
        return Ok(StoreEvent::LosesAnswers(count_of(line, &loses)?));
    }
    let down = child(pair, Rule::kw_down).is_some();
    Ok(if down { StoreEvent::Down } else { StoreEvent::Up })
}

fn places(pair: &Pair<'_, Rule>) -> (Place, Place) {
    let mut places = pair.clone().into_inner().filter(|part| part.as_rule() == Rule::place);
    let mut next = || places.next().map_or_else(Place::default, |place| place.as_str().into());
    (next(), next())
}

fn read_duration(line: &str, pair: &Pair<'_, Rule>) -> Result<Duration, SyntaxError> {
    parse_duration(pair.as_str()).ok_or_else(|| error_at(line, pair, "the time is too long"))
}

fn optional_duration(line: &str, pair: &Pair<'_, Rule>) -> Result<Option<Duration>, SyntaxError> {
    child(pair, Rule::duration).map(|time| read_duration(line, &time)).transpose()
}

fn expectation(line: &str, pair: &Pair<'_, Rule>) -> Result<Expectation, SyntaxError> {
    let Some(pair) = pair.clone().into_inner().find(|part| part.as_rule() != Rule::kw_expect)
    else {
        return Err(error_at(line, pair, "not understood"));
    };
    let pair = &pair;
    Ok(match pair.as_rule() {
        Rule::no_new_work => {
            let after = duration_of(line, pair)?;
            match child(pair, Rule::zone_name) {
                Some(_) => Expectation::NoNewWorkInZone(zone_name(pair), after),
                None => Expectation::NoNewWorkOnUpstream(node_name(pair), after),
            }
        }
        Rule::count_expected => {
            Expectation::Count(expected_count(pair), comparison(pair), count_of(line, pair)?)
        }
        Rule::share_expected => {
            Expectation::Share(expected_share(pair), comparison(pair), percent_of(line, pair)?)
        }
        Rule::time_expected => {
            let kind = KindName::new(text_of(pair, Rule::kind_name));
            Expectation::P99(kind, comparison(pair), duration_of(line, pair)?)
        }
        Rule::rollout_expected => {
            let completed = child(pair, Rule::kw_completed).is_some();
            Expectation::Rollout(service_name(pair), completed, duration_of(line, pair)?)
        }
        _ => Expectation::SameRevision(duration_of(line, pair)?),
    })
}

fn expected_count(pair: &Pair<'_, Rule>) -> Count {
    let counts = [
        (Rule::run_twice, Count::RunTwice),
        (Rule::wrong_answers, Count::WrongAnswers),
        (Rule::false_not_run, Count::FalseNotRun),
        (Rule::cut_by_stop, Count::CutByStop),
    ];
    let found = counts.iter().find(|(rule, _)| child(pair, *rule).is_some());
    found.map_or(Count::OverColdLimit, |(_, count)| *count)
}

fn expected_share(pair: &Pair<'_, Rule>) -> Share {
    match child(pair, Rule::goodput) {
        Some(goodput) => {
            let kind = child(&goodput, Rule::kind_name);
            Share::Goodput(kind.map(|kind| KindName::new(kind.as_str())))
        }
        None => Share::Measuring,
    }
}

fn comparison(pair: &Pair<'_, Rule>) -> Comparison {
    match text_of(pair, Rule::comparison).as_str() {
        "<" => Comparison::Less,
        "<=" => Comparison::AtMost,
        ">" => Comparison::More,
        ">=" => Comparison::AtLeast,
        _ => Comparison::Equal,
    }
}
