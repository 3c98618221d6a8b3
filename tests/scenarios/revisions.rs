//! Checks of the configuration in force at the nodes.

use std::time::Duration;

use crate::run::{Run, Why};

/// Time in which an accepted configuration is in force on every reachable node.
const REACHABLE_TARGET: Duration = Duration::from_secs(5);

/// Time in which it is in force after the end of a network partition.
const HEALED_TARGET: Duration = Duration::from_secs(11);

/// Returns nodes that went back to an older revision.
pub fn never_back(run: &Run) -> Vec<String> {
    let samples = run.samples.revisions.lock().unwrap();
    let mut highest = vec![(0, Duration::ZERO); run.fleet.members.len()];
    let mut found = Vec::new();
    for (at, node, revision) in samples.iter() {
        let (most, since) = highest[*node];
        if *revision < most {
            let name = &run.fleet.members[*node].name;
            found.push(format!("{name} at r{revision} at {at:?}, after r{most} at {since:?}"));
        } else if *revision > most {
            highest[*node] = (*revision, *at);
        }
    }
    found
}

/// Returns nodes at which an accepted command was not in force in time.
pub fn in_force(run: &Run) -> Vec<String> {
    let accepted: Vec<_> = {
        let facts = run.facts.lock().unwrap();
        let given = facts.given.iter().filter(|given| given.result == "accepted");
        given.filter_map(|given| Some((given.answered, given.revision?))).collect()
    };
    let mut found = Vec::new();
    for (at, revision) in accepted {
        for node in 0..run.fleet.members.len() {
            let Some(by) = due(run, node, at) else { continue };
            found.extend(behind(run, node, revision, by));
        }
    }
    found
}

/// Returns when a node must have what was accepted at a time; `None` when it did not hear the
/// others until the end of the run.
fn due(run: &Run, node: usize, accepted: Duration) -> Option<Duration> {
    let facts = run.facts.lock().unwrap();
    let mut by = accepted + REACHABLE_TARGET;
    for absence in facts.absences.iter().filter(|absence| absence.node == node) {
        let ends_before = absence.to.is_some_and(|to| to <= accepted);
        if ends_before || absence.from > by {
            continue;
        }
        let grace = if absence.why == Why::Cut { HEALED_TARGET } else { REACHABLE_TARGET };
        by = by.max(absence.to? + grace);
    }
    Some(by)
}

/// Describes a node that was behind a revision at a time. What the run did not last to see is not
/// judged.
fn behind(run: &Run, node: usize, revision: u64, by: Duration) -> Option<String> {
    let samples = run.samples.revisions.lock().unwrap();
    let mut later = samples.iter().filter(|(at, of, _)| *of == node && *at >= by);
    let (at, _, found) = later.next()?;
    let name = &run.fleet.members[node].name;
    (*found < revision).then(|| format!("{name} at r{found} at {at:?}, r{revision} was due {by:?}"))
}

/// Checks that all nodes that run and are not cut off had the same, newest revision by a time.
pub fn same_by(run: &Run, by: Duration) -> Result<(), String> {
    let accepted = {
        let facts = run.facts.lock().unwrap();
        let given = facts.given.iter().filter(|given| given.answered <= by);
        given.filter_map(|given| given.revision).max().unwrap_or(0)
    };
    let mut seen = Vec::new();
    for (node, member) in run.fleet.members.iter().enumerate() {
        let facts = run.facts.lock().unwrap();
        let mut absences = facts.absences.iter().filter(|absence| absence.node == node);
        if absences.any(|a| a.from <= by && a.to.is_none_or(|to| to > by)) {
            continue;
        }
        drop(facts);
        let samples = run.samples.revisions.lock().unwrap();
        let first = samples.iter().find(|(at, of, _)| *of == node && *at >= by);
        let Some((_, _, revision)) = first else {
            return Err(format!("{} shows no revision after {by:?}", member.name));
        };
        seen.push((member.name.as_str(), *revision));
    }
    let newest = seen.iter().map(|(_, revision)| *revision).max().unwrap_or(0);
    let same = seen.iter().all(|(_, revision)| *revision == newest) && newest >= accepted;
    same.then_some(()).ok_or(format!("accepted r{accepted}; {seen:?}"))
}
