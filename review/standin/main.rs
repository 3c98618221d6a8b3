//! Plays one case of the review: `mesh-review CASE FOLDER`, with `TROUBLE=0` without the disruption.
//! Exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case couldn't run.

mod deployment;
mod http;
mod json;
mod record;
mod server;
mod store;

use std::{io, path::Path, process::ExitCode, thread, time::Duration};

use deployment::{Clients, Deployment};
use record::Record;
use server::{Server, State};

/// `drainMs`.
const DRAIN: Duration = Duration::from_secs(2);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(folder)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: mesh-review CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let play = || match case.as_str() {
        "foreign-heartbeat" => foreign_heartbeat(Path::new(folder), trouble),
        "cold-restart" => cold_restart(Path::new(folder), trouble),
        "lost-leader-answer" => lost_leader_answer(Path::new(folder), trouble),
        _ => Err(io::Error::other("unknown case")),
    };
    let played = std::panic::catch_unwind(play);
    match played.unwrap_or_else(|_| Err(io::Error::other("a stand-in panicked"))) {
        Ok((broken, text)) => {
            println!("{}: {text}", if broken { "broken" } else { "held" });
            ExitCode::from(u8::from(broken))
        }
        Err(error) => {
            eprintln!("the case couldn't run: {error}");
            ExitCode::from(2)
        }
    }
}

fn pause(seconds: f64) {
    thread::sleep(Duration::from_secs_f64(seconds));
}

/// DRAIN after a heartbeat of another writer that lacks a field.
fn foreign_heartbeat(folder: &Path, trouble: bool) -> io::Result<(bool, String)> {
    let record = Record::create(&folder.join("record.txt"))?;
    let deployment = Deployment::start(&["a", "b"], "kettle", 5.3, record.clone())?;
    let servers = deployment.start_servers("kettle", 6, Duration::from_millis(100))?;
    let leaving = &servers[0];
    let nodes: Vec<_> = deployment.machines.iter().map(|machine| machine.outbound()).collect();
    let clients = Clients::start(&nodes, 20, &record);
    pause(3.0);
    if trouble {
        // Another writer: `coldRemainingMs` is missing, and `sequence` is its own.
        let body = format!(
            "{{\"service\":\"kettle\",\"address\":\"{}\",\"zone\":\"a\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"sequence\":900,\"born\":{}}}",
            deployment.machines[0].port(8145),
            leaving.born()
        );
        let start = format!("PUT /api/instances/{} HTTP/1.1", leaving.id());
        let headers = [("Host", "x"), ("Content-Type", "application/json")];
        let control = deployment.machines[0].control();
        let answer =
            http::call(control, &start, &headers, body.as_bytes(), Duration::from_secs(1))?;
        record.line(&format!(
            "heartbeat of another writer, without a field: answered {}",
            answer.status()
        ));
    }
    pause(3.0);
    leaving.set_state(State::Draining);
    leaving.beat("a");
    pause(7.0);
    leaving.end();
    pause(1.5);
    let outcomes = clients.stop();
    let Some(acked) = leaving.leaving_acked() else {
        return Err(io::Error::other("no acknowledgement of draining"));
    };
    let late: Vec<_> = leaving.runs().into_iter().filter(|(at, _)| *at > acked + DRAIN).collect();
    let lost = outcomes.iter().filter(|outcome| !outcome.is_safe && outcome.status != 200).count();
    record.line(&format!("draining acknowledged at {} ms", record.ms(acked)));
    for (at, id) in &late {
        record.line(&format!("late: {id} reached {} at {} ms", leaving.id(), record.ms(*at)));
    }
    let text = format!(
        "{} requests reached {} later than 2 s after the acknowledgement of draining; it ended with {} running; \
         {lost} of {} unsafe requests without success",
        late.len(),
        leaving.id(),
        leaving.cut(),
        outcomes.iter().filter(|outcome| !outcome.is_safe).count()
    );
    Ok((!late.is_empty(), text))
}

/// FAILBACK after the restart of a node that the store turns away.
fn cold_restart(folder: &Path, trouble: bool) -> io::Result<(bool, String)> {
    const COLD_PER_S: f64 = 5.3;
    let record = Record::create(&folder.join("record.txt"))?;
    let mut deployment = Deployment::start(&["a", "a", "a"], "kettle", COLD_PER_S, record.clone())?;
    let servers = deployment.start_servers("kettle", 6, Duration::from_millis(100))?;
    let nodes: Vec<_> = deployment.machines[1..].iter().map(|machine| machine.outbound()).collect();
    let clients = Clients::start(&nodes, 55, &record);
    pause(3.0);
    if trouble {
        deployment.store.refuse(0, true);
        record.line("the store turns the first machine away");
        pause(0.5);
        deployment.machines[0].kill();
        pause(0.3);
        deployment.machines[0].start()?;
        record.line("the node of the first machine was killed and started again");
    }
    pause(2.5);
    servers[0].set_cold(Duration::from_secs(6), "a");
    pause(5.5);
    deployment.store.refuse(0, false);
    record.line("the store serves the first machine again");
    pause(1.0);
    let outcomes = clients.stop();
    let bound = COLD_PER_S * 1.5 + 5.0;
    let (most, at) = busiest_second(&servers[0], &outcomes);
    if let Some(at) = at {
        record.line(&format!(
            "the second with most requests to {} begins at {} ms",
            servers[0].id(),
            record.ms(at)
        ));
    }
    let failed = outcomes.iter().filter(|outcome| outcome.status != 200 && outcome.status != 503);
    let text = format!(
        "{most} requests reached the cold server in one second, the bound is {bound}; its end cut off {}; \
         {} requests without success or a refusal",
        servers[0].cut(),
        failed.count()
    );
    Ok((most as f64 > bound, text))
}

/// Returns the largest number of requests that were sent and reached a cold server within one second.
fn busiest_second(
    server: &Server,
    outcomes: &[deployment::Outcome],
) -> (usize, Option<std::time::Instant>) {
    let Some((from, until)) = server.cold_time() else { return (0, None) };
    let sent =
        |id: &str| outcomes.iter().find(|outcome| outcome.id == id).map(|outcome| outcome.sent);
    let mut runs: Vec<_> = server.runs();
    runs.retain(|(at, _)| (from..until).contains(at));
    let second = Duration::from_secs(1);
    let count = |start: std::time::Instant| {
        let inside = |(at, id): &&(std::time::Instant, String)| {
            (start..start + second).contains(at) && sent(id).is_some_and(|sent| sent >= start)
        };
        runs.iter().filter(inside).count()
    };
    let starts = runs.iter().filter_map(|(_, id)| sent(id)).filter(|sent| *sent >= from);
    let busiest = starts.map(|start| (count(start), start)).max();
    busiest.map_or((0, None), |(most, start)| (most, Some(start)))
}

/// An order that is never carried out, after one answer of the store was lost.
fn lost_leader_answer(folder: &Path, trouble: bool) -> io::Result<(bool, String)> {
    const SERVICE: &str = "kettle";
    const TIME: f64 = 16.0;
    let record = Record::create(&folder.join("record.txt"))?;
    let deployment = Deployment::start(&["a", "b", "a", "b"], SERVICE, 5.3, record.clone())?;
    let work = Duration::from_millis(60);
    let mut servers = deployment.start_versions(SERVICE, 6, work, 0, &["v1", "v1"])?;
    let nodes: Vec<_> = deployment.machines.iter().map(|machine| machine.outbound()).collect();
    let clients = Clients::start(&nodes, 10, &record);
    pause(2.0);
    servers.extend(deployment.start_versions(SERVICE, 6, work, 2, &["v2", "v2"])?);
    if trouble {
        deployment.store.lose_answer_of("mesh/lead/");
    }
    let order =
        format!("{{\"service\":\"{SERVICE}\",\"targetVersion\":\"v2\",\"durationS\":{TIME}}}");
    deployment.store.put(&format!("op/rollout/{SERVICE}"), &order);
    record.line(&format!("the operator orders: {order}"));
    let status_key = format!("status/rollout/{SERVICE}");
    let mut last = None;
    for _ in 0..((TIME + 14.0) * 4.0) as u32 {
        pause(0.25);
        let status = deployment.store.get(&status_key);
        if status != last {
            record.line(&format!("status: {}", status.as_deref().unwrap_or("none")));
            last = status;
        }
    }
    if trouble && deployment.store.has_answer_to_lose() {
        return Err(io::Error::other("no answer was lost"));
    }
    for key in deployment.store.keys("mesh/lead/") {
        record.line(&format!("{key}: {}", deployment.store.get(&key).unwrap_or_default()));
    }
    clients.stop();
    let status = last.unwrap_or_else(|| "none".to_owned());
    let ended = status.contains("completed") || status.contains("rolled_back");
    Ok((!ended, format!("14 s after the deadline of the order the status is {status}")))
}
