//! Checks of the guarantees, from what clients and upstreams recorded.

use std::{
    collections::{HashMap, HashSet},
    time::{Duration, Instant},
};

use super::{
    clients::{DEADLINE, FinishedRequest},
    extra_faults::Need,
    faults::Drain,
};
use crate::fleet::Fleet;

/// Time after an acknowledged drain during which requests may still arrive.
const DRAIN_GRACE: Duration = Duration::from_millis(2_500);

/// Most upstreams that one request may reach, as its route allows.
const MAX_ATTEMPTS: usize = 2;

/// Statuses that guarantee that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// Checks all guarantees.
///
/// # Errors
///
/// Returns a description of the first violation.
pub fn check(fleet: &Fleet, finished: &[FinishedRequest], drains: &[Drain]) -> Result<(), String> {
    let mut runs: HashMap<String, usize> = HashMap::new();
    let sent: HashSet<&str> = finished.iter().map(|request| &*request.id).collect();
    for (node, member) in fleet.members.iter().enumerate() {
        for run in member.upstream.runs() {
            let remaining = run.deadline_ms.map_or(Duration::MAX, Duration::from_millis);
            if sent.contains(&*run.id) && remaining > DEADLINE {
                return Err(format!(
                    "{} reached an upstream with deadline {remaining:?}, over that of its client",
                    run.id
                ));
            }
            let late = |drain: &&Drain| {
                drain.node == node
                    && run.started > drain.from + DRAIN_GRACE
                    && run.started < drain.to
            };
            if let Some(drain) = drains.iter().find(late) {
                return Err(format!("{} reached node {node} after {drain:?}", run.id));
            }
            *runs.entry(run.id).or_default() += 1;
        }
    }
    for FinishedRequest { id, repeatable, behind_close, response } in finished {
        let ran = runs.get(id).copied().unwrap_or(0);
        if *behind_close && ran > 0 {
            return Err(format!("{id} ran although a response ahead of it closed the connection"));
        }
        let max_runs = if *repeatable { MAX_ATTEMPTS } else { 1 };
        if ran > max_runs {
            return Err(format!("{id} ran {ran} times, more than allowed"));
        }
        let Some(response) = response else { continue };
        if !repeatable && NOT_RUN_STATUSES.contains(&response.status) && ran > 0 {
            return Err(format!("{id} was refused with status {} but ran", response.status));
        }
        let echoed = response.headers.get("Oleandertiller-Attempt-Id");
        if echoed.is_some_and(|echoed| echoed != id) {
            return Err(format!("{id} got the response of another request: {response:?}"));
        }
        let signature = response.headers.get("Oleandertiller-Response-Signature");
        if response.status == 200 {
            let instance = signature.and_then(|signature| signature.strip_prefix("signed-"));
            if instance.is_none_or(|instance| response.body != format!("{id} by {instance}")) {
                return Err(format!(
                    "{id} got the response of another request or upstream: {response:?}"
                ));
            }
        }
    }
    Ok(())
}

/// Span over which the users count the requests to an upstream in need.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Time after which the limit of an upstream in need binds all nodes.
const LIMIT_GRACE: Duration = Duration::from_secs(3);

/// Checks that an upstream in need gets at most half more than it accepts, and 5 requests.
///
/// # Errors
///
/// Returns a description of the window with the most requests if there are too many.
pub fn check_limit(fleet: &Fleet, need: &Need) -> Result<(), String> {
    let binds = need.from + LIMIT_GRACE..need.to;
    let runs = fleet.members[need.node].upstream.runs();
    let starts: Vec<Instant> =
        runs.iter().map(|run| run.started).filter(|at| binds.contains(at)).collect();
    let in_window = |first: usize| {
        starts[first..].iter().take_while(|at| **at < starts[first] + LIMIT_WINDOW).count()
    };
    let most = (0..starts.len()).map(in_window).max().unwrap_or(0);
    let allowed = 1.5 * need.per_second * LIMIT_WINDOW.as_secs_f64() + 5.0;
    if most as f64 > allowed {
        return Err(format!("{most} requests in 4 s, {allowed} allowed, by {need:?}"));
    }
    Ok(())
}
