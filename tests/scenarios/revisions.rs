//! Checks of the configuration revision in force at the nodes.

use std::time::Duration;

use crate::run::{Run, UnreachableCause};

/// Time in which an accepted configuration is in force on every reachable node.
const REACHABLE_TARGET: Duration = Duration::from_secs(5);

/// Time after the end of a network partition in which an accepted configuration is in force on a
/// node that was partitioned.
const HEALED_TARGET: Duration = Duration::from_secs(11);

/// Describes each sample in which a node had an older revision than before.
pub fn regressions(run: &Run) -> Vec<String> {
    let samples = run.samples.revisions.lock().unwrap();
    let mut highest = vec![(0, Duration::ZERO); run.fleet.members.len()];
    let mut regressions = Vec::new();
    for (at, node, revision) in samples.iter() {
        let (max, since) = highest[*node];
        if *revision < max {
            let name = &run.fleet.members[*node].name;
            regressions
                .push(format!("{name} had r{revision} at {at:?}, after r{max} at {since:?}"));
        } else if *revision > max {
            highest[*node] = (*revision, *at);
        }
    }
    regressions
}

/// Describes each node at which an accepted command was not in force in time.
pub fn late_commands(run: &Run) -> Vec<String> {
    let accepted: Vec<_> = {
        let history = run.history.lock().unwrap();
        let commands = history.commands.iter().filter(|command| command.result == "accepted");
        commands.filter_map(|command| Some((command.answered_at, command.revision?))).collect()
    };
    let mut late = Vec::new();
    for (at, revision) in accepted {
        for node in 0..run.fleet.members.len() {
            let Some(by) = deadline(run, node, at) else { continue };
            late.extend(outdated_at(run, node, revision, by));
        }
    }
    late
}

/// Returns when a command accepted at `accepted_at` must be in force at a node; `None` if the node
/// was unreachable until the end of the run.
fn deadline(run: &Run, node: usize, accepted_at: Duration) -> Option<Duration> {
    let history = run.history.lock().unwrap();
    let mut by = accepted_at + REACHABLE_TARGET;
    for period in history.unreachable.iter().filter(|period| period.node == node) {
        let ends_before = period.to.is_some_and(|to| to <= accepted_at);
        if ends_before || period.from > by {
            continue;
        }
        let target = if period.cause == UnreachableCause::Partitioned {
            HEALED_TARGET
        } else {
            REACHABLE_TARGET
        };
        by = by.max(period.to? + target);
    }
    Some(by)
}

/// Describes a node that had an older revision than `revision` in its first sample from `by` on;
/// `None` also if the run ended before such a sample.
fn outdated_at(run: &Run, node: usize, revision: u64, by: Duration) -> Option<String> {
    let samples = run.samples.revisions.lock().unwrap();
    let mut later = samples.iter().filter(|(at, of, _)| *of == node && *at >= by);
    let (at, _, sampled) = later.next()?;
    let name = &run.fleet.members[node].name;
    (*sampled < revision)
        .then(|| format!("{name} had r{sampled} at {at:?}; r{revision} was due by {by:?}"))
}

/// Checks that all nodes reachable at `by` had the same revision in their first sample from then
/// on, at least that of the last accepted command.
pub fn check_same_by(run: &Run, by: Duration) -> Result<(), String> {
    let accepted = {
        let history = run.history.lock().unwrap();
        let commands = history.commands.iter().filter(|command| command.answered_at <= by);
        commands.filter_map(|command| command.revision).max().unwrap_or(0)
    };
    let mut sampled = Vec::new();
    for (node, member) in run.fleet.members.iter().enumerate() {
        let history = run.history.lock().unwrap();
        let mut periods = history.unreachable.iter().filter(|period| period.node == node);
        if periods.any(|period| period.from <= by && period.to.is_none_or(|to| to > by)) {
            continue;
        }
        drop(history);
        let samples = run.samples.revisions.lock().unwrap();
        let first = samples.iter().find(|(at, of, _)| *of == node && *at >= by);
        let Some((_, _, revision)) = first else {
            return Err(format!("no revision of {} was sampled after {by:?}", member.name));
        };
        sampled.push((member.name.as_str(), *revision));
    }
    let newest = sampled.iter().map(|(_, revision)| *revision).max().unwrap_or(0);
    let same = sampled.iter().all(|(_, revision)| *revision == newest) && newest >= accepted;
    same.then_some(())
        .ok_or(format!("the last accepted revision is r{accepted}, the nodes had {sampled:?}"))
}
