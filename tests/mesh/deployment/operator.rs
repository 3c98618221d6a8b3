//! The operator: changes of the configuration, and rollouts of good and bad versions.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use rand::{Rng, rngs::StdRng};
use serde_json::{Value, json};

use super::{SERVICES, schedule::Schedule, timeline::Timeline};
use crate::fleet::Fleet;

/// Requests per second that a cold upstream tolerates.
pub const COLD_PER_SECOND: f64 = 5.3;

/// Time until the deadline of a rollout.
pub const ROLLOUT_TIME: Duration = Duration::from_secs(14);

/// Number of added routes that a configuration keeps.
const KEPT_ROUTES: u64 = 2;

/// How a version is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quality {
    Good,
    Failing,
    Slow,
}

/// A configuration that the store has acknowledged.
#[derive(Clone, Debug)]
pub struct AcceptedConfig {
    pub version: u64,
    pub at: Instant,
    /// Prefixes of the routes that were added and are still there.
    pub added: Vec<String>,
}

/// A rollout that the operator has ordered.
#[derive(Clone, Copy, Debug)]
pub struct Order {
    pub at: Instant,
    pub quality: Quality,
}

pub struct Operator {
    timeline: Timeline,
    configs: Arc<Mutex<Vec<AcceptedConfig>>>,
    next_change: Duration,
    order_at: Duration,
    pub order: Option<Order>,
    state: Option<String>,
}

fn config(version: u64, added: &[String]) -> Value {
    let rule = |name: &str, kind: &str, prefix: &str, service: &str| {
        json!({
            "name": name, "kind": kind, "targetLatencyMs": 600, "priority": 1,
            "match": { "pathPrefix": prefix },
            "action": { "service": service, "timeoutMs": 2000, "retryAttempts": 2 },
        })
    };
    let mut rules = Vec::new();
    for service in SERVICES {
        rules.push(rule(&format!("read-{service}"), "safe", &format!("/read-{service}/"), service));
        let prefix = format!("/release-{service}/");
        rules.push(rule(&format!("release-{service}"), "unsafe", &prefix, service));
    }
    rules.extend(added.iter().map(|prefix| rule(prefix, "safe", prefix, SERVICES[1])));
    let clusters = SERVICES.map(|name| {
        json!({ "name": name, "healthCheckPath": "/health", "connectionLimit": 200,
            "protocol": "h1", "tls": false, "coldStartS": 3.0, "coldPerS": COLD_PER_SECOND })
    });
    json!({
        "version": version,
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000 },
        "listeners": [{ "host": "shop.example", "ruleSet": rules }],
        "clusters": clusters,
    })
}

impl Operator {
    pub fn new(timeline: Timeline) -> Self {
        let first = AcceptedConfig { version: 3, at: Instant::now(), added: Vec::new() };
        Self {
            timeline,
            configs: Arc::new(Mutex::new(vec![first])),
            next_change: Duration::from_secs(4),
            order_at: Duration::from_secs(6),
            order: None,
            state: None,
        }
    }

    pub fn first_config(&self) -> Value {
        config(3, &[])
    }

    /// Returns the configurations so far, for the probes.
    pub fn shared_configs(&self) -> Arc<Mutex<Vec<AcceptedConfig>>> {
        self.configs.clone()
    }

    pub fn configs(&self) -> Vec<AcceptedConfig> {
        self.configs.lock().unwrap().clone()
    }

    /// Returns the state that the last rollout was last seen in.
    pub fn rollout_state(&self) -> Option<&str> {
        self.state.as_deref()
    }

    /// Does what is due: changes the configuration or orders a rollout.
    pub fn advance(&mut self, fleet: &Fleet, rng: &mut StdRng, schedule: &mut Schedule) {
        let now = self.timeline.elapsed();
        if now >= self.next_change {
            self.change_config(fleet, rng);
            self.next_change = now + Duration::from_millis(rng.random_range(300..3_500));
        }
        if now >= self.order_at && self.order.is_none() {
            self.order_rollout(fleet, rng, schedule);
        }
        let status = fleet.store.get(&format!("status/rollout/{}", SERVICES[0]));
        let state = status.and_then(|status| status["state"].as_str().map(str::to_owned));
        if state != self.state {
            self.timeline.note(format!("rollout is {state:?}"));
            self.state = state;
        }
    }

    fn change_config(&mut self, fleet: &Fleet, rng: &mut StdRng) {
        let mut configs = self.configs.lock().unwrap();
        let last = configs.last().unwrap();
        let version = last.version + rng.random_range(1..4);
        let mut added = last.added.clone();
        added.push(format!("/added-{version}/"));
        while added.len() as u64 > KEPT_ROUTES {
            added.remove(0);
        }
        fleet.store.put("op/config", &config(version, &added));
        self.timeline.note(format!("version {version} of the configuration, {added:?}"));
        configs.push(AcceptedConfig { version, at: Instant::now(), added });
    }

    fn order_rollout(&mut self, fleet: &Fleet, rng: &mut StdRng, schedule: &mut Schedule) {
        let qualities = [Quality::Good, Quality::Failing, Quality::Failing, Quality::Slow];
        let quality = qualities[rng.random_range(0..qualities.len())];
        for member in fleet.members.iter().filter(|member| member.version == "v2") {
            member.upstream.change(|behaviour| match quality {
                Quality::Good => {}
                Quality::Failing => behaviour.failure_share = 0.5,
                Quality::Slow => behaviour.slow_share = 0.5,
            });
        }
        schedule.announce_new();
        let order = json!({ "service": SERVICES[0], "targetVersion": "v2",
            "durationS": ROLLOUT_TIME.as_secs() });
        fleet.store.put(&format!("op/rollout/{}", SERVICES[0]), &order);
        self.timeline.note(format!("rollout of a version that is {quality:?}"));
        self.order = Some(Order { at: Instant::now(), quality });
    }
}
