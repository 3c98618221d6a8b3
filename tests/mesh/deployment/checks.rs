//! Checks of the users' rules, with their bounds and excuses.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use oleandertiller_standin::platform::Run;

use super::{
    SERVICES,
    load::Request,
    operator::{AcceptedConfig, COLD_PER_SECOND, Operator, Quality, ROLLOUT_TIME},
    schedule::{ColdTime, GRACE_TIME, PlannedStop, Schedule},
    timeline::{STABLE_WINDOW, Scope, Timeline},
};
use crate::fleet::Fleet;

/// `configDeadlineMs` of the users.
const CONFIG_DEADLINE: Duration = Duration::from_secs(2);

/// `rollbackMs` of the users.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);

/// `exposureShare` and `exposureSlack` of the users.
const EXPOSURE: (f64, f64) = (0.1, 50.0);

/// `coldOverage` and `coldSlack` of the users.
const COLD_EXCESS: (f64, f64) = (1.5, 5.0);

/// Number of bad answers after which a version is to be taken back.
const BAD_ANSWERS: usize = 50;

/// Returns the broken rules.
pub fn check(
    fleet: &Fleet,
    operator: &Operator,
    schedule: &Schedule,
    timeline: &Timeline,
    requests: &[Request],
) -> Vec<String> {
    let mut broken = check_config(&operator.configs(), timeline, requests);
    let runs_of = |version: &str| -> Vec<Run> {
        let members = fleet.members.iter();
        let members = members.filter(|m| m.service == SERVICES[0] && m.version == version);
        members.flat_map(|member| member.upstream.runs()).collect()
    };
    if let Some(order) = operator.order
        && order.quality != Quality::Good
    {
        let senders: HashMap<&str, &Request> =
            requests.iter().map(|request| (&*request.id, request)).collect();
        broken.extend(check_exposure(order.at, &runs_of("v1"), &runs_of("v2"), timeline, &senders));
    }
    for cold in schedule.cold_times() {
        broken.extend(check_cold(cold, &fleet.members[cold.node].upstream.runs(), timeline));
    }
    let all: Vec<Run> = fleet.members.iter().flat_map(|member| member.upstream.runs()).collect();
    broken.extend(check_runs(&all, requests));
    broken.extend(check_stops(schedule.stops(), &all, timeline, requests));
    broken
}

/// Checks that a configuration is in force at the nodes in touch in time, and none comes back.
fn check_config(
    configs: &[AcceptedConfig],
    timeline: &Timeline,
    requests: &[Request],
) -> Vec<String> {
    let mut broken = Vec::new();
    for request in requests.iter().filter(|request| request.is_probe) {
        // Versions that may be in force: the newest that had to be, and all later ones.
        let due = configs.iter().rposition(|cfg| cfg.at + CONFIG_DEADLINE < request.sent);
        let may_be_in_force = configs[due.unwrap_or(0)..]
            .iter()
            .filter(|cfg| cfg.at <= request.ended)
            .map(|cfg| cfg.added.contains(&request.prefix));
        let (mut served, mut refused) = (false, false);
        may_be_in_force
            .for_each(|has_route| if has_route { served = true } else { refused = true });
        let is_old = request.status == 404 && !refused || request.status == 200 && !served;
        if is_old && timeline.is_in_touch(request.node, request.sent) {
            broken.push(format!(
                "CONFIG: {} got {} for {} at node {} at {} ms, due was {:?}",
                request.id,
                request.status,
                request.prefix,
                request.node,
                timeline.ms(request.sent),
                due.map(|due| (configs[due].version, timeline.ms(configs[due].at)))
            ));
        }
    }
    broken
}

/// Checks that a bad version gets few requests, and none once it has given enough bad answers.
fn check_exposure(
    ordered: Instant,
    old: &[Run],
    new: &[Run],
    timeline: &Timeline,
    senders: &HashMap<&str, &Request>,
) -> Vec<String> {
    let in_time = |run: &&Run| run.started >= ordered && run.started <= ordered + ROLLOUT_TIME;
    let from_node_in_touch = |run: &&Run| {
        let sender = senders.get(&*run.id);
        sender.is_some_and(|sender| timeline.is_in_touch(sender.node, sender.sent))
    };
    let all = old.iter().chain(new).filter(in_time).count() as f64;
    let exposed = new.iter().filter(in_time).filter(from_node_in_touch).count() as f64;
    let (share, slack) = EXPOSURE;
    let mut broken = Vec::new();
    if exposed > share * all + slack {
        broken.push(format!("EXPOSURE: {exposed} of {all} requests reached a bad version"));
    }
    let mut bad: Vec<Instant> = new.iter().filter_map(|run| run.bad_at).collect();
    bad.sort();
    let late = new.iter().filter(from_node_in_touch).filter(|run| {
        let since = timeline.unstable_before(run.started);
        let mut counted = bad.iter().filter(|at| since.is_none_or(|since| **at > since));
        let enough = counted.nth(BAD_ANSWERS - 1);
        let sent = senders.get(&*run.id).map_or(run.started, |sender| sender.sent);
        enough.is_some_and(|at| sent > *at + ROLLBACK_TIME)
    });
    let late = late.count();
    if late > 0 {
        broken
            .push(format!("EXPOSURE: {late} requests to a bad version that had to be taken back"));
    }
    broken
}

/// Checks the requests to a cold upstream.
fn check_cold(cold: &ColdTime, runs: &[Run], timeline: &Timeline) -> Option<String> {
    let (ratio, slack) = COLD_EXCESS;
    let bound = COLD_PER_SECOND * ratio + slack;
    let starts: Vec<Instant> = runs.iter().map(|run| run.started).collect();
    let from = starts.iter().filter(|at| **at >= cold.from && **at + STABLE_WINDOW / 3 <= cold.to);
    let in_second = |from: &Instant| {
        let within = |at: &&Instant| **at >= *from && **at < *from + Duration::from_secs(1);
        starts.iter().filter(within).count()
    };
    let (most, at) = from.map(|at| (in_second(at), *at)).max()?;
    (most as f64 > bound).then(|| {
        format!("FAILBACK: {most} requests in a second to {cold:?} from {} ms", timeline.ms(at))
    })
}

/// Checks that a request which must not be repeated runs once, and not at all if it is refused.
fn check_runs(runs: &[Run], requests: &[Request]) -> Vec<String> {
    let mut counts: HashMap<&str, usize> = HashMap::new();
    runs.iter().for_each(|run| *counts.entry(&run.id).or_default() += 1);
    let mut broken = Vec::new();
    for Request { id, status, .. } in requests.iter().filter(|request| request.is_unsafe) {
        let count = counts.get(&**id).copied().unwrap_or(0);
        if count > 1 {
            broken.push(format!("TWICE: {id} ran {count} times"));
        }
        if [408, 421, 429, 503].contains(status) && count > 0 {
            broken.push(format!("REFUSED: {id} was refused with {status} and ran"));
        }
    }
    broken
}

/// Checks that no request that a stopping node has passed on ends without an answer.
fn check_stops(
    stops: &[PlannedStop],
    runs: &[Run],
    timeline: &Timeline,
    requests: &[Request],
) -> Vec<String> {
    let mut broken = Vec::new();
    for stop in stops {
        let kill = stop.at + GRACE_TIME;
        let cut = requests.iter().filter(|request| {
            request.node == stop.node
                && request.written
                && request.status == 0
                && (stop.at..kill + Duration::from_secs(1)).contains(&request.ended)
                && !timeline.is_disturbed(Scope::Store, STABLE_WINDOW, request.ended)
                && runs.iter().any(|run| run.id == request.id)
        });
        // A disturbance of the node before its stop is no planned work.
        let before = stop.at - Duration::from_millis(1);
        if timeline.is_disturbed(Scope::Node(stop.node), STABLE_WINDOW, before) {
            continue;
        }
        broken.extend(cut.map(|request| {
            format!("LOST: {} at {stop:?}, sent at {} ms", request.id, timeline.ms(request.sent))
        }));
    }
    broken
}

/// Returns what was played, in one line.
pub fn summary(requests: &[Request], operator: &Operator) -> String {
    let mut statuses: std::collections::BTreeMap<u16, usize> = Default::default();
    requests.iter().for_each(|request| *statuses.entry(request.status).or_default() += 1);
    let quality = operator.order.map(|order| order.quality);
    format!(
        "{} configurations, rollout of {quality:?} ended {:?}, statuses {statuses:?}",
        operator.configs().len(),
        operator.rollout_state(),
    )
}
