//! Request handling of an upstream.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use async_std::future::timeout;

use super::behaviour::{Behaviour, Command, NestedCall, ReportFault};
use super::state::{LoadSample, State};
use crate::answer::{expected_body, nested_id};
use crate::http::{Call, Handler, Method, Pool, Response, StatusCode, json, text};

/// Time within which an upstream may still get requests after it started to drain or its zone went
/// out of service.
const GRACE_PERIOD: Duration = Duration::from_secs(3);

/// Handles the requests of clients and the admin calls.
pub struct RequestHandler {
    state: Arc<State>,
    /// Connections to the node, for nested calls.
    node: Option<Pool>,
}

/// A request, and the conditions at its arrival.
struct Arrival {
    id: String,
    key: Option<String>,
    kind: String,
    deadline: Option<Instant>,
    depth: u32,
    at: Instant,
    /// Number of requests in flight, including this one.
    in_flight: u32,
    /// Whether it exceeds the capacity of the cold upstream.
    exceeds_cold_capacity: bool,
}

/// Outcome of the work on a request.
enum WorkOutcome {
    Succeeded,
    Failed(&'static str),
}

impl RequestHandler {
    pub fn new(state: Arc<State>) -> Self {
        let node = state.options.calls_through.map(Pool::new);
        Self { state, node }
    }

    fn change_behaviour(&self, body: &[u8]) -> Response {
        let command: Command = match serde_json::from_slice(body) {
            Ok(command) => command,
            Err(e) => return text(StatusCode::BadRequest, e.to_string()),
        };
        let merged = match self.state.current_behaviour().merged(command.fields) {
            Ok(merged) => merged,
            Err(e) => return text(StatusCode::BadRequest, e.to_string()),
        };
        self.state.change_behaviour(|b| *b = merged);
        if let Some(how) = command.turn_cold {
            self.state.turn_cold(how);
        }
        if command.reset_record {
            self.state.update_record(|r| *r = Default::default());
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
        let sample = reported_load(&self.state, &self.state.current_behaviour().health);
        if sample.healthy {
            text(StatusCode::Ok, "healthy")
        } else {
            text(StatusCode::ServiceUnavailable, "unhealthy")
        }
    }

    async fn run(&self, call: Call) -> Response {
        let behaviour = self.state.current_behaviour();
        let mut in_flight = InFlightGuard::enter(&self.state);
        let arrival = self.record_arrival(&call, &behaviour, in_flight.count);
        let mut res = self.respond(&arrival, &behaviour, &call.body).await;
        in_flight.responded = true;
        res.insert_header("x-request-id", arrival.id.as_str());
        res.insert_header("x-upstream-version", self.state.options.version.as_str());
        res
    }

    fn record_arrival(&self, call: &Call, behaviour: &Behaviour, in_flight: u32) -> Arrival {
        let at = Instant::now();
        let millis = call.header("x-deadline-ms").and_then(|v| v.parse::<f64>().ok());
        let deadline = millis.map(|ms| at + Duration::from_secs_f64(ms.clamp(0.0, 1e9) / 1_000.0));
        let slots = self.state.options.slots;
        let cold_capacity =
            self.state.lifecycle.lock().unwrap().cold_capacity(&behaviour.cold, slots, at);
        let arrival = Arrival {
            id: call.header("x-request-id").unwrap_or_default().to_owned(),
            key: call.header("idempotency-key").map(str::to_owned),
            kind: call.path().split('/').next().unwrap_or_default().to_owned(),
            deadline,
            depth: call.header("x-call-depth").and_then(|v| v.parse().ok()).unwrap_or(0),
            at,
            in_flight,
            exceeds_cold_capacity: cold_capacity.is_some_and(|capacity| in_flight > capacity),
        };
        self.state.update_record(|r| {
            r.received += 1;
            r.max_depth = r.max_depth.max(arrival.depth);
            r.max_in_flight = r.max_in_flight.max(in_flight);
            let Some(capacity) = cold_capacity else { return };
            r.max_in_flight_cold = r.max_in_flight_cold.max(in_flight);
            r.max_cold_excess = r.max_cold_excess.max(in_flight.saturating_sub(capacity));
            r.cold_excess += u64::from(arrival.exceeds_cold_capacity);
        });
        arrival
    }

    async fn respond(&self, arrival: &Arrival, behaviour: &Behaviour, body: &[u8]) -> Response {
        let waiting = arrival.in_flight.saturating_sub(self.state.options.slots);
        if waiting > behaviour.queue_limit || self.state.chance(behaviour.shed_share) {
            self.state.update_record(|r| r.shed += 1);
            return not_run_response(StatusCode::ServiceUnavailable, "overloaded");
        }
        if behaviour.fail_fast {
            self.record_run(arrival);
            self.state.update_record(|r| r.failed += 1);
            return text(StatusCode::InternalServerError, "failing");
        }
        let Ok(slot) = with_deadline(arrival.deadline, self.state.acquire_slot()).await else {
            self.state.update_record(|r| r.expired += 1);
            return not_run_response(StatusCode::GatewayTimeout, "deadline-exceeded");
        };
        self.record_run(arrival);
        let outcome = with_deadline(arrival.deadline, self.serve(arrival, behaviour)).await;
        drop(slot);
        self.finish(outcome, arrival, behaviour, body)
    }

    /// Counts the request as run.
    fn record_run(&self, arrival: &Arrival) {
        let (draining, zone_out) = {
            let lifecycle = self.state.lifecycle.lock().unwrap();
            (lifecycle.draining_since, lifecycle.zone_out_since)
        };
        let time_since =
            |from: Option<Instant>| from.and_then(|from| arrival.at.checked_duration_since(from));
        let is_late =
            |from: Option<Instant>| time_since(from).is_some_and(|age| age > GRACE_PERIOD);
        let record_ids = self.state.options.record_ids;
        self.state.update_record(|r| {
            r.run += 1;
            *r.kinds.entry(arrival.kind.clone()).or_default() += 1;
            if record_ids {
                *r.requests.entry(arrival.id.clone()).or_default() += 1;
            }
            if let Some(key) = &arrival.key {
                *r.keys.entry(key.clone()).or_default() += 1;
            }
            r.run_draining += u64::from(time_since(draining).is_some());
            r.run_draining_late += u64::from(is_late(draining));
            r.run_zone_out += u64::from(time_since(zone_out).is_some());
            r.run_zone_out_late += u64::from(is_late(zone_out));
        });
    }

    async fn serve(&self, arrival: &Arrival, behaviour: &Behaviour) -> WorkOutcome {
        let (mut fail_share, mut slow_factor) = (behaviour.fail_share, behaviour.slow_factor);
        if let Some(bad) =
            behaviour.bad.as_ref().filter(|bad| self.bad_version_affects(bad, arrival))
        {
            fail_share = fail_share.max(bad.fail_share);
            slow_factor *= bad.slow_factor;
        }
        if arrival.exceeds_cold_capacity {
            fail_share = fail_share.max(behaviour.cold.fail_share);
            slow_factor *= behaviour.cold.slow_factor;
        }
        for nested in behaviour.nested.iter().filter(|n| n.on == arrival.kind) {
            if !self.call_nested(nested, arrival).await {
                return WorkOutcome::Failed("nested call failed");
            }
        }
        let mean_ms = behaviour.mean_ms(&arrival.kind) * slow_factor;
        let time = self.state.service_time(mean_ms, behaviour.sigma);
        self.state.sleep(time, behaviour.pauses.as_ref()).await;
        match self.state.chance(fail_share) {
            true => WorkOutcome::Failed("failed"),
            false => WorkOutcome::Succeeded,
        }
    }

    /// Returns whether all conditions of a fault hold for a request.
    fn bad_version_affects(&self, bad: &super::BadVersionFault, arrival: &Arrival) -> bool {
        let bad_since = self.state.lifecycle.lock().unwrap().bad_since;
        bad_since.elapsed() >= Duration::from_millis(bad.after_ms)
            && arrival.in_flight >= bad.from_in_flight
            && bad.kind.as_ref().is_none_or(|kind| *kind == arrival.kind)
    }

    /// Makes a nested call through the node if one is due; returns false if it failed.
    async fn call_nested(&self, nested: &NestedCall, arrival: &Arrival) -> bool {
        let Some(node) = &self.node else { return true };
        if arrival.depth >= nested.max_depth || !self.state.chance(nested.share) {
            return true;
        }
        let id = nested_id(&arrival.id, arrival.depth + 1);
        let depth = (arrival.depth + 1).to_string();
        let remaining = arrival.deadline.map(|at| at.saturating_duration_since(Instant::now()));
        let remaining = remaining.map(|remaining| remaining.as_millis().to_string());
        let mut headers = vec![("x-request-id", id.as_str()), ("x-call-depth", depth.as_str())];
        if let Some(remaining) = &remaining {
            headers.push(("x-deadline-ms", remaining.as_str()));
        }
        let path = format!("/{}/{}", nested.service, nested.kind);
        let reply = node.call("GET", &path, &headers, &[]).await;
        let ok = reply.is_ok_and(|reply| reply.status() == 200);
        self.state.update_record(|r| {
            r.nested += 1;
            r.nested_failed += u64::from(!ok);
        });
        ok
    }

    fn finish(
        &self,
        outcome: Result<WorkOutcome, DeadlineExceeded>,
        arrival: &Arrival,
        behaviour: &Behaviour,
        body: &[u8],
    ) -> Response {
        match outcome {
            Ok(WorkOutcome::Succeeded) => {
                self.state.update_record(|r| r.succeeded += 1);
                self.state
                    .lifecycle
                    .lock()
                    .unwrap()
                    .record_success(&behaviour.cold, Instant::now());
                let mut res = Response::new(StatusCode::Ok);
                res.set_body(expected_body(&arrival.id, body, behaviour.answer_bytes));
                res
            }
            Ok(WorkOutcome::Failed(why)) => {
                self.state.update_record(|r| r.failed += 1);
                text(StatusCode::InternalServerError, why)
            }
            Err(DeadlineExceeded) => {
                self.state.update_record(|r| r.expired += 1);
                text(StatusCode::GatewayTimeout, "deadline passed while running")
            }
        }
    }
}

impl Handler for RequestHandler {
    async fn handle(&self, call: Call) -> Option<Response> {
        let post = call.head.method() == Method::Post;
        Some(match call.path() {
            "admin/behaviour" if post => self.change_behaviour(&call.body),
            "admin/behaviour" => json(&self.state.behaviour()),
            "admin/record" => self.record(&call),
            "health" => self.health(),
            "load" => json(&reported_load(&self.state, &self.state.current_behaviour().load)),
            _ => self.run(call).await,
        })
    }

    fn accepts_connection(&self, open: usize) -> bool {
        let accepted = open <= self.state.current_behaviour().max_connections;
        self.state.update_record(|r| r.refused_connections += u64::from(!accepted));
        accepted
    }

    async fn on_connect(&self) {
        let time =
            Duration::from_secs_f64(self.state.current_behaviour().connect_ms.max(0.0) / 1_000.0);
        self.state.sleep(time, None).await;
    }
}

/// Error: the deadline has passed.
struct DeadlineExceeded;

/// Waits for `f` until the deadline, if there is one.
async fn with_deadline<T>(
    deadline: Option<Instant>,
    f: impl Future<Output = T>,
) -> Result<T, DeadlineExceeded> {
    let Some(deadline) = deadline else { return Ok(f.await) };
    let remaining = deadline.saturating_duration_since(Instant::now());
    timeout(remaining, f).await.map_err(|_| DeadlineExceeded)
}

/// Returns a response that says that the request was not run.
fn not_run_response(status: StatusCode, reason: &str) -> Response {
    let mut res = text(status, reason);
    res.insert_header("x-outcome", "not-run");
    res.insert_header("x-reason", reason);
    res
}

/// Returns the load that a report endpoint reports, given its fault.
fn reported_load(state: &State, fault: &ReportFault) -> LoadSample {
    let slots = state.options.slots;
    if fault.always_good {
        return LoadSample { in_flight: 0, slots, healthy: true };
    }
    if fault.always_bad {
        return LoadSample { in_flight: slots, slots, healthy: false };
    }
    state.delayed_sample(Duration::from_millis(fault.lag_ms))
}

/// Counts a request as in flight until dropped. If there is no response by then, the request was
/// cancelled.
struct InFlightGuard<'a> {
    state: &'a State,
    /// Number of requests in flight at the arrival of this one, including it.
    count: u32,
    responded: bool,
}

impl<'a> InFlightGuard<'a> {
    fn enter(state: &'a State) -> Self {
        let count = state.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        Self { state, count, responded: false }
    }
}

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.state.in_flight.fetch_sub(1, Ordering::Relaxed);
        if !self.responded {
            self.state.update_record(|r| r.cancelled += 1);
        }
    }
}
