//! Handling of one request.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::future::timeout;

use super::behaviour::{Behaviour, Command, NestedCall, ReportFault};
use super::state::{LoadSample, State};
use crate::answer::{expected_body, nested_id};
use crate::http::{Call, Handler, Method, Pool, Response, StatusCode, json, text};

/// Time after which an upstream that drains or whose zone is out must get no new work.
const GRACE: Duration = Duration::from_secs(3);

pub struct Requests {
    state: Arc<State>,
    node: Option<Pool>,
}

/// What is known of a request when it arrives.
struct Arrival {
    id: String,
    key: Option<String>,
    kind: String,
    deadline: Option<Instant>,
    depth: u32,
    at: Instant,
    in_flight: u32,
    /// Whether it exceeds what the upstream can handle while cold.
    excess: bool,
}

/// How work ended.
enum Ended {
    Done,
    Failed(&'static str),
}

impl Requests {
    pub fn new(state: Arc<State>) -> Self {
        let node = state.options.calls_through.map(Pool::new);
        Self { state, node }
    }

    fn change(&self, body: &[u8]) -> Response {
        let command: Command = match serde_json::from_slice(body) {
            Ok(command) => command,
            Err(e) => return text(StatusCode::BadRequest, e.to_string()),
        };
        let merged = match self.state.present().merged(command.fields) {
            Ok(merged) => merged,
            Err(e) => return text(StatusCode::BadRequest, e.to_string()),
        };
        self.state.change(|b| *b = merged);
        if let Some(how) = command.turn_cold {
            self.state.turn_cold(how);
        }
        if command.reset_record {
            self.state.note(|r| *r = Default::default());
        }
        json(&self.state.behaviour())
    }

    fn record(&self, call: &Call) -> Response {
        let record = self.state.record();
        match call.query("summary") {
            Some(_) => json(&record.summary()),
            None => json(&record),
        }
    }

    fn health(&self) -> Response {
        let sample = reported(&self.state, &self.state.present().health);
        if sample.healthy {
            text(StatusCode::Ok, "healthy")
        } else {
            text(StatusCode::ServiceUnavailable, "unhealthy")
        }
    }

    async fn run(&self, call: Call) -> Response {
        let behaviour = self.state.present();
        let mut in_flight = InFlight::enter(&self.state);
        let arrival = self.arrive(&call, &behaviour, in_flight.count);
        let mut res = self.answer(&arrival, &behaviour, &call.body).await;
        in_flight.answered = true;
        res.insert_header("x-request-id", arrival.id.as_str());
        res.insert_header("x-upstream-version", self.state.options.version.as_str());
        res
    }

    fn arrive(&self, call: &Call, behaviour: &Behaviour, in_flight: u32) -> Arrival {
        let at = Instant::now();
        let millis = call.header("x-deadline-ms").and_then(|v| v.parse::<f64>().ok());
        let deadline = millis.map(|ms| at + Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1_000.0));
        let slots = self.state.options.slots;
        let cold_capacity =
            self.state.life.lock().unwrap().cold_capacity(&behaviour.cold, slots, at);
        let arrival = Arrival {
            id: call.header("x-request-id").unwrap_or_default().to_owned(),
            key: call.header("idempotency-key").map(str::to_owned),
            kind: call.path().split('/').next().unwrap_or_default().to_owned(),
            deadline,
            depth: call.header("x-call-depth").and_then(|v| v.parse().ok()).unwrap_or(0),
            at,
            in_flight,
            excess: cold_capacity.is_some_and(|capacity| in_flight > capacity),
        };
        self.state.note(|r| {
            r.received += 1;
            r.max_depth = r.max_depth.max(arrival.depth);
            r.max_in_flight = r.max_in_flight.max(in_flight);
            let Some(capacity) = cold_capacity else { return };
            r.max_in_flight_cold = r.max_in_flight_cold.max(in_flight);
            r.max_cold_excess = r.max_cold_excess.max(in_flight.saturating_sub(capacity));
            r.cold_excess += u64::from(arrival.excess);
        });
        arrival
    }

    async fn answer(&self, arrival: &Arrival, behaviour: &Behaviour, body: &[u8]) -> Response {
        let waiting = arrival.in_flight.saturating_sub(self.state.options.slots);
        if waiting > behaviour.queue_limit || self.state.chance(behaviour.shed_share) {
            self.state.note(|r| r.shed += 1);
            return refused(StatusCode::ServiceUnavailable, "overloaded");
        }
        if behaviour.fail_fast {
            self.begin(arrival);
            self.state.note(|r| r.failed += 1);
            return text(StatusCode::InternalServerError, "failing");
        }
        let Ok(slot) = until(arrival.deadline, self.state.slot()).await else {
            self.state.note(|r| r.expired += 1);
            return refused(StatusCode::GatewayTimeout, "deadline-exceeded");
        };
        self.begin(arrival);
        let ended = until(arrival.deadline, self.serve(arrival, behaviour)).await;
        drop(slot);
        self.finish(ended, arrival, behaviour, body)
    }

    /// Counts the request as run.
    fn begin(&self, arrival: &Arrival) {
        let (draining, zone_out) = {
            let life = self.state.life.lock().unwrap();
            (life.draining_since, life.zone_out_since)
        };
        let since =
            |from: Option<Instant>| from.and_then(|from| arrival.at.checked_duration_since(from));
        let late = |from: Option<Instant>| since(from).is_some_and(|age| age > GRACE);
        let record_ids = self.state.options.record_ids;
        self.state.note(|r| {
            r.run += 1;
            *r.kinds.entry(arrival.kind.clone()).or_default() += 1;
            if record_ids {
                *r.requests.entry(arrival.id.clone()).or_default() += 1;
            }
            if let Some(key) = &arrival.key {
                *r.keys.entry(key.clone()).or_default() += 1;
            }
            r.run_draining += u64::from(since(draining).is_some());
            r.run_draining_late += u64::from(late(draining));
            r.run_zone_out += u64::from(since(zone_out).is_some());
            r.run_zone_out_late += u64::from(late(zone_out));
        });
    }

    async fn serve(&self, arrival: &Arrival, behaviour: &Behaviour) -> Ended {
        let (mut fail_share, mut factor) = (behaviour.fail_share, behaviour.slow_factor);
        if let Some(bad) = behaviour.bad.as_ref().filter(|bad| self.acts(bad, arrival)) {
            fail_share = fail_share.max(bad.fail_share);
            factor *= bad.slow_factor;
        }
        if arrival.excess {
            fail_share = fail_share.max(behaviour.cold.fail_share);
            factor *= behaviour.cold.slow_factor;
        }
        for nested in behaviour.nested.iter().filter(|n| n.on == arrival.kind) {
            if !self.call_nested(nested, arrival).await {
                return Ended::Failed("nested call failed");
            }
        }
        let mean_ms = behaviour.mean_ms(&arrival.kind) * factor;
        let time = self.state.service_time(mean_ms, behaviour.sigma);
        self.state.work(time, behaviour.pauses.as_ref()).await;
        match self.state.chance(fail_share) {
            true => Ended::Failed("failed"),
            false => Ended::Done,
        }
    }

    fn acts(&self, bad: &super::BadVersionFault, arrival: &Arrival) -> bool {
        let since = self.state.life.lock().unwrap().bad_since;
        since.elapsed() >= Duration::from_millis(bad.after_ms)
            && arrival.in_flight >= bad.from_in_flight
            && bad.kind.as_ref().is_none_or(|kind| *kind == arrival.kind)
    }

    /// Calls another service through the node and returns whether it answered with success.
    async fn call_nested(&self, nested: &NestedCall, arrival: &Arrival) -> bool {
        let Some(node) = &self.node else { return true };
        if arrival.depth >= nested.max_depth || !self.state.chance(nested.share) {
            return true;
        }
        let id = nested_id(&arrival.id, arrival.depth + 1);
        let depth = (arrival.depth + 1).to_string();
        let left = arrival.deadline.map(|at| at.saturating_duration_since(Instant::now()));
        let left = left.map(|left| left.as_millis().to_string());
        let mut headers = vec![("x-request-id", id.as_str()), ("x-call-depth", depth.as_str())];
        if let Some(left) = &left {
            headers.push(("x-deadline-ms", left.as_str()));
        }
        let path = format!("/{}/{}", nested.service, nested.kind);
        let reply = node.call("GET", &path, &headers, &[]).await;
        let ok = reply.is_ok_and(|reply| reply.status() == 200);
        self.state.note(|r| {
            r.nested += 1;
            r.nested_failed += u64::from(!ok);
        });
        ok
    }

    fn finish(
        &self,
        ended: Result<Ended, Expired>,
        arrival: &Arrival,
        behaviour: &Behaviour,
        body: &[u8],
    ) -> Response {
        match ended {
            Ok(Ended::Done) => {
                self.state.note(|r| r.succeeded += 1);
                self.state.life.lock().unwrap().served(&behaviour.cold, Instant::now());
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(expected_body(&arrival.id, body, behaviour.answer_bytes));
                res
            }
            Ok(Ended::Failed(why)) => {
                self.state.note(|r| r.failed += 1);
                text(StatusCode::InternalServerError, why)
            }
            Err(Expired) => {
                self.state.note(|r| r.expired += 1);
                text(StatusCode::GatewayTimeout, "deadline passed while running")
            }
        }
    }
}

impl Handler for Requests {
    async fn handle(&self, call: Call) -> Option<Response> {
        let post = call.head.method() == Method::Post;
        Some(match call.path() {
            "admin/behaviour" if post => self.change(&call.body),
            "admin/behaviour" => json(&self.state.behaviour()),
            "admin/record" => self.record(&call),
            "health" => self.health(),
            "load" => json(&reported(&self.state, &self.state.present().load)),
            _ => self.run(call).await,
        })
    }

    fn accepts_connection(&self, open: usize) -> bool {
        let admitted = open <= self.state.present().max_connections;
        self.state.note(|r| r.refused_connections += u64::from(!admitted));
        admitted
    }

    async fn on_connect(&self) {
        let time = Duration::from_secs_f64(self.state.present().connect_ms.max(0.0) / 1_000.0);
        self.state.work(time, None).await;
    }
}

/// The deadline passed.
struct Expired;

async fn until<T>(deadline: Option<Instant>, f: impl Future<Output = T>) -> Result<T, Expired> {
    let Some(deadline) = deadline else { return Ok(f.await) };
    let left = deadline.saturating_duration_since(Instant::now());
    timeout(left, f).await.map_err(|_| Expired)
}

/// Answers that a request was not run.
fn refused(status: StatusCode, reason: &str) -> Response {
    let mut res = text(status, reason);
    res.insert_header("x-outcome", "not-run");
    res.insert_header("x-reason", reason);
    res
}

fn reported(state: &State, fault: &ReportFault) -> LoadSample {
    let slots = state.options.slots;
    if fault.always_good {
        return LoadSample { in_flight: 0, slots, healthy: true };
    }
    if fault.always_bad {
        return LoadSample { in_flight: slots, slots, healthy: false };
    }
    state.sampled_before(Duration::from_millis(fault.lag_ms))
}

/// Counts a request as in flight; one dropped before its answer is a cancelled one.
struct InFlight<'a> {
    state: &'a State,
    /// Number in flight with this one when it arrived.
    count: u32,
    answered: bool,
}

impl<'a> InFlight<'a> {
    fn enter(state: &'a State) -> Self {
        let count = state.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        Self { state, count, answered: false }
    }
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.answered {
            self.state.note(|r| r.cancelled += 1);
        }
    }
}
