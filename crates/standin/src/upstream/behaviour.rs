//! Behaviour of an upstream, set at its start and changed by `POST /admin/behaviour`.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

/// Mean service times, in milliseconds, of the request kinds of both example deployments.
const MEAN_SERVICE_MS: [(&str, f64); 10] = [
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
    /// Maximum number of open connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Delay of a new connection before its first request is read, in milliseconds.
    pub connect_ms: f64,
    /// Mean service time by request kind, in milliseconds.
    pub service_ms: BTreeMap<String, f64>,
    /// Mean service time of all other request kinds, in milliseconds.
    pub other_ms: f64,
    /// Sigma of the log-normal distribution of service times; 0 makes them constant.
    pub sigma: f64,
    /// Minimum size of a response body.
    pub answer_bytes: usize,
    /// Maximum number of requests waiting for a slot; further ones are shed.
    pub queue_limit: u32,
    /// Share of requests that it sheds, from 0 to 1.
    pub shed_share: f64,
    /// Factor applied to all service times.
    pub slow_factor: f64,
    /// Share of requests that fail after their service time.
    pub fail_share: f64,
    /// Whether requests fail immediately, without using a slot.
    pub fail_fast: bool,
    /// Whether it announces `draining`. It still runs requests and counts them.
    pub draining: bool,
    /// Whether its zone is out of service; affects only the record.
    pub zone_out: bool,
    /// Whether it announces itself.
    pub announcing: bool,
    /// How it behaves while cold.
    pub cold: ColdStart,
    /// Fault of a bad version, if it runs one.
    pub bad: Option<BadVersionFault>,
    /// Faults of `/health`.
    pub health: ReportFault,
    /// Faults of `/load`.
    pub load: ReportFault,
    /// Pauses as caused by a noisy neighbour.
    pub pauses: Option<Pauses>,
    /// Nested calls that it makes while it serves requests.
    pub nested: Vec<NestedCall>,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            max_connections: 250,
            connect_ms: 1.0,
            service_ms: MEAN_SERVICE_MS.map(|(kind, ms)| (kind.to_owned(), ms)).into(),
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
    /// Returns the default behaviour of a service: `lending` makes nested calls to `stock`/`size`.
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

    /// Returns the mean service time of a request kind, in milliseconds.
    pub fn mean_ms(&self, kind: &str) -> f64 {
        self.service_ms.get(kind).copied().unwrap_or(self.other_ms)
    }

    /// Returns this behaviour with the given fields replaced.
    ///
    /// # Errors
    ///
    /// Returns an error that names the first unknown field or the first value of the wrong type.
    pub fn merged(&self, fields: Map<String, Value>) -> Result<Self, serde_json::Error> {
        let mut merged = serde_json::to_value(self)?;
        if let Value::Object(current) = &mut merged {
            current.extend(fields);
        }
        serde_json::from_value(merged)
    }
}

/// Cold start, in which the number of requests in flight that it can handle grows to the slots.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ColdStart {
    /// Number of requests in flight that it can handle at the start of the warm-up.
    #[serde(rename = "bearable")]
    pub initial_capacity: u32,
    /// Number of successful requests after which half of the warm-up is complete.
    pub warm_calls: u64,
    /// Time after which the other half is complete, in milliseconds.
    pub warm_ms: u64,
    /// Factor applied to the service times of requests that exceed the capacity.
    pub slow_factor: f64,
    /// Share of the requests exceeding the capacity that fail.
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

/// Fault of a bad version, which affects a request if all conditions hold.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct BadVersionFault {
    /// Condition: time since the fault was set, in milliseconds.
    pub after_ms: u64,
    /// Condition: minimum number of requests in flight.
    pub from_in_flight: u32,
    /// Condition: request kind; `None` for all kinds.
    pub kind: Option<String>,
    /// Share of affected requests that fail.
    pub fail_share: f64,
    /// Factor applied to the service times of affected requests.
    pub slow_factor: f64,
}

impl Default for BadVersionFault {
    fn default() -> Self {
        Self { after_ms: 0, from_in_flight: 0, kind: None, fail_share: 0.0, slow_factor: 1.0 }
    }
}

/// Fault of an endpoint that reports the state of the upstream.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ReportFault {
    /// Age of the reported state, in milliseconds.
    pub lag_ms: u64,
    /// Whether it always reports an idle, healthy server.
    pub always_good: bool,
    /// Whether it always reports an overloaded, unhealthy server.
    pub always_bad: bool,
}

impl Default for ReportFault {
    fn default() -> Self {
        Self { lag_ms: 500, always_good: false, always_bad: false }
    }
}

/// Periodic pauses, during which no request makes progress.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pauses {
    /// Interval between the starts of two pauses, in milliseconds.
    pub every_ms: u64,
    /// Duration of a pause, in milliseconds.
    pub for_ms: u64,
}

/// A nested call: a call to another service while a request is served.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NestedCall {
    /// Kind of the requests that make the call.
    pub on: String,
    /// Called service.
    pub service: String,
    /// Kind of the call.
    pub kind: String,
    /// Share of those requests that make the call.
    #[serde(default = "whole")]
    pub share: f64,
    /// Maximum depth of a chain of nested calls.
    #[serde(default = "chain_limit")]
    pub max_depth: u32,
}

/// Default of [`NestedCall::max_depth`]: the longest call chain at the target size of the design.
fn chain_limit() -> u32 {
    12
}

/// Default of [`NestedCall::share`].
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

/// Whether an upstream that becomes cold again announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TurnCold {
    /// Like after a restart: with a new instance id and the state `cold`.
    Announced,
    /// Without an announcement: with the same instance id and the state `serving`.
    Silent,
}

/// Body of `POST /admin/behaviour`: commands, and the fields to change.
#[derive(Clone, Debug, Default)]
#[derive(Deserialize)]
pub struct Command {
    /// Makes the upstream cold again.
    pub turn_cold: Option<TurnCold>,
    /// Whether the record is reset.
    #[serde(default)]
    pub reset_record: bool,
    /// Fields of [`Behaviour`] to change.
    #[serde(flatten)]
    pub fields: Map<String, Value>,
}
