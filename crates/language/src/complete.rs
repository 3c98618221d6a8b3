//! Help text and completion for interactive use.

use crate::{
    error::SyntaxError,
    parse::{Grammar, Rule},
};
use pest::Parser;

/// All statements, one per line, each with a short description.
pub const HELP: &str = "\
show zones                               zones, and whether they are in service
show upstreams [of SERVICE] [where ...]  upstreams and their load
show services                            services and their request kinds
show nodes [where ...]                   nodes
show rollouts                            rollouts and where they stand
show budget                              measuring budget and what is spent
show revision                            revision of the configuration in force
history [of NAME] [last N]               what the system has done
explain rollout SERVICE                  why a rollout stands where it does
explain refusal REASON                   what a refusal means and what to do
explain upstream NODE                    why an upstream gets the load it gets
operation ID                             what became of a command
zone ZONE out                            takes a zone out of service
zone ZONE in                             brings a zone back
rollout SERVICE to VERSION by 18:00      starts a rollout, due by a time (UTC)
rollout SERVICE to VERSION in 30m        starts a rollout, due after a time
cancel rollout SERVICE                   rolls back
budget measuring 1%                      sets the share of calls for measuring
put service SERVICE kind KIND = ...      adds or replaces a service
help                                     this list

where: zone|state|version|node = VALUE, joined by `and`
kind:  weight N, idempotent | at most once, internal, deadline 50ms, max-deadline 1s, objective 99.9%
";

/// A word that matches no keyword, so that the parser reports all keywords that it expects.
const NON_KEYWORD: &str = "\u{1}";

/// Returns the keywords that can complete the last, unfinished word of `prefix`.
///
/// The first value is the byte offset at which that word starts.
pub fn complete(prefix: &str) -> (usize, Vec<String>) {
    let start = prefix.rfind([' ', '\t']).map_or(0, |space| space + 1);
    let (done, word) = prefix.split_at(start);
    let line = format!("{done}{NON_KEYWORD}");
    let Err(error) = Grammar::parse(Rule::statement_line, &line) else {
        return (start, Vec::new());
    };
    let expected = SyntaxError::expected_keywords(&error, done.len());
    let keywords = expected.into_iter().filter(|keyword| keyword.starts_with(word)).collect();
    (start, keywords)
}
