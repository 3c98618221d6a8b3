//! Behaviour that is set at start and changed by `POST /admin/behaviour`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Mean service times in milliseconds of the kinds of both deployments.
const SERVICE_MS: [(&str, f64); 10] = [
    ("temper", 2.0),
    ("status", 3.0),
    ("calibrate", 1.0),
    ("lookup", 2.0),
    ("release", 4.0),
    ("browse", 4.0),
    ("book", 5.0),
    ("wear", 30.0),
    ("dates", 4.0),
    ("size", 1.0),
];

/// How an upstream behaves.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Behaviour {
    /// Connections kept open; further ones are closed at once.
    pub max_connections: usize,
    /// Time that a new connection takes before its first request is read.
    pub connect_ms: f64,
    /// Mean service time by kind.
    pub service_ms: BTreeMap<String, f64>,
    /// Mean service time of other kinds.
    pub other_ms: f64,
    /// Shape of the log-normal service time; 0 makes it constant.
    pub sigma: f64,
    /// Least length of an answer.
    pub answer_bytes: usize,
    /// Requests waiting for a slot above which it sheds load.
    pub queue_limit: u32,
    /// Share of requests that it sheds without running them.
    pub shed_share: f64,
    /// Factor on all service times.
    pub slow_factor: f64,
    /// Share of requests that fail after their service time.
    pub fail_share: f64,
    /// Whether requests fail at once, without using a slot.
    pub fail_fast: bool,
    /// Whether it announces `draining`. Requests are still run, and counted.
    pub draining: bool,
    /// Whether its zone is out of service; only the record uses it.
    pub zone_out: bool,
    /// Whether it announces itself.
    pub announcing: bool,
    /// Cold start.
    pub cold: ColdStart,
    /// Fault of a bad version.
    pub bad: Option<BadVersionFault>,
    /// Faults of `/health`.
    pub health: ReportFault,
    /// Faults of `/load`.
    pub load: ReportFault,
    /// Pauses that a noisy neighbour causes.
    pub pauses: Option<Pauses>,
    /// Calls to other services while serving.
    pub nested: Vec<NestedCall>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            max_connections: 250,
            connect_ms: 1.0,
            service_ms: SERVICE_MS.map(|(kind, ms)| (kind.to_owned(), ms)).into(),
            other_ms: 1.0,
            sigma: 0.4,
            answer_bytes: 200,
            queue_limit: 1_000,
            shed_share: 0.0,
            slow_factor: 1.0,
            fail_share: 0.0,
            fail_fast: false,
            draining: false,
            zone_out: false,
            announcing: true,
            cold: ColdStart::default(),
            bad: None,
            health: ReportFault::default(),
            load: ReportFault::default(),
            pauses: None,
            nested: Vec::new(),
        }
    }
}

impl Behaviour {
    /// Returns the default behaviour of a service: `lending` calls `stock`/`size`.
    pub fn for_service(service: &str) -> Self {
        let nested = match service {
            "lending" => {
                vec![
                    NestedCall::new("browse", "stock", "size"),
                    NestedCall::new("book", "stock", "size"),
                ]
            }
            _ => Vec::new(),
        };
        Self { nested, ..Self::default() }
    }

    /// Returns the mean service time of a kind, in milliseconds.
    pub fn mean_ms(&self, kind: &str) -> f64 {
        self.service_ms.get(kind).copied().unwrap_or(self.other_ms)
    }

    /// Returns this behaviour with the given fields replaced.
    ///
    /// # Errors
    ///
    /// Names the first unknown field or value of the wrong type.
    pub fn merged(&self, fields: Map<String, Value>) -> Result<Self, serde_json::Error> {
        let mut all = serde_json::to_value(self)?;
        if let Value::Object(present) = &mut all {
            present.extend(fields);
        }
        serde_json::from_value(all)
    }
}

/// Cold start: the number of requests in flight that it can handle grows to the slots.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStart {
    /// Requests in flight that it can handle at the start of its warm-up.
    #[serde(rename = "bearable")]
    pub initial_capacity: u32,
    /// Successful requests after which the work half of the warm-up is complete.
    pub warm_calls: u64,
    /// Time after which the other half is complete.
    pub warm_ms: u64,
    /// Factor on service times above its capacity while cold.
    pub slow_factor: f64,
    /// Share of requests that fail above its capacity while cold.
    pub fail_share: f64,
}

impl Default for ColdStart {
    fn default() -> Self {
        Self {
            initial_capacity: 1,
            warm_calls: 200,
            warm_ms: 5_000,
            slow_factor: 20.0,
            fail_share: 0.5,
        }
    }
}

/// Fault of a bad version. It acts while every condition that is set holds.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BadVersionFault {
    /// Time from the setting of the fault to its beginning.
    pub after_ms: u64,
    /// Least number in flight.
    pub from_in_flight: u32,
    /// The one kind affected.
    pub kind: Option<String>,
    /// Share of requests that fail.
    pub fail_share: f64,
    /// Factor on service times.
    pub slow_factor: f64,
}

impl Default for BadVersionFault {
    fn default() -> Self {
        Self { after_ms: 0, from_in_flight: 0, kind: None, fail_share: 0.0, slow_factor: 1.0 }
    }
}

/// How a report endpoint misleads.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportFault {
    /// Age of the state that it reports.
    pub lag_ms: u64,
    /// Reports an idle, healthy server whatever the state.
    pub always_good: bool,
    /// Reports an overloaded, unhealthy server whatever the state.
    pub always_bad: bool,
}

impl Default for ReportFault {
    fn default() -> Self {
        Self { lag_ms: 500, always_good: false, always_bad: false }
    }
}

/// Pauses in which no request makes progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// Interval from the start of one pause to the next.
    pub every_ms: u64,
    /// Length of a pause.
    pub for_ms: u64,
}

/// A call to another service while a request is being served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// Kind of the request that makes the call.
    pub on: String,
    /// Service called.
    pub service: String,
    /// Kind called.
    pub kind: String,
    /// Share of requests that make the call.
    #[serde(default = "whole")]
    pub share: f64,
    /// Call depth from which no further call is made.
    #[serde(default = "chain_limit")]
    pub max_depth: u32,
}

/// Longest call chain at the target size of the design.
fn chain_limit() -> u32 {
    12
}

fn whole() -> f64 {
    1.0
}

impl NestedCall {
    /// Creates a call made by every request of kind `on`.
    pub fn new(on: &str, service: &str, kind: &str) -> Self {
        Self {
            on: on.into(),
            service: service.into(),
            kind: kind.into(),
            share: whole(),
            max_depth: chain_limit(),
        }
    }
}

/// Whether an upstream that turns cold says so.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TurnCold {
    /// As after a restart: new instance id and state `cold`.
    Announced,
    /// Without warning: same instance id and state `serving`.
    Silent,
}

/// Body of `POST /admin/behaviour`: fields to change, and commands.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
pub struct Command {
    /// Turns cold again.
    pub turn_cold: Option<TurnCold>,
    /// Forgets the record.
    #[serde(default)]
    pub reset_record: bool,
    /// Fields of [`Behaviour`].
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}
