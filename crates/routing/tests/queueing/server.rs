//! An owner with its upstream in the queueing model.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use oleandertiller_model::{Lifecycle, LoadReport, Revision, VersionName};
use oleandertiller_routing::limit::Limiter;
use rand::{Rng, rngs::StdRng};

use super::scenario::{Fault, SERVICE_TIME, Scenario};

/// Requests in flight that a server can handle when it turns cold.
const COLD_CAPACITY_REQUESTS: f64 = 2.0;

/// Service time of a request that fails fast.
const FAST_FAILURE: Duration = Duration::from_micros(200);

#[derive(Debug)]
pub struct Server {
    pub limiter: Limiter,
    pub fault: Fault,
    pub fault_at: Duration,
    pub fault_end: Duration,
    pub slots: u32,
    pub sequence: u64,
    /// Indices of the requests that wait at the owner, by ticket.
    pub waiting: HashMap<u64, usize>,
    /// Requests started while more than the capacity was in flight.
    pub over_capacity: u64,
    pub started: u64,
    pub failed: u64,
}

impl Server {
    pub fn new(scenario: &Scenario, index: usize, start: Instant) -> Self {
        let mut limiter = Limiter::new(scenario.limit.clone());
        limiter.on_announce(Lifecycle::Serving, scenario.slots, false, start);
        let fault = if index == 0 { scenario.fault } else { Fault::None };
        Self {
            limiter,
            fault,
            fault_at: scenario.fault_at,
            fault_end: scenario.fault_end,
            slots: scenario.slots,
            sequence: 0,
            waiting: HashMap::new(),
            over_capacity: 0,
            started: 0,
            failed: 0,
        }
    }

    pub fn report(&mut self) -> LoadReport {
        self.sequence += 1;
        LoadReport {
            sequence: self.sequence,
            in_flight: self.limiter.in_flight(),
            limit: self.limiter.limit(),
            queued: self.limiter.queued(),
            queue_delay_us: self.limiter.queue_delay().as_micros() as u32,
            service_time_us: self.limiter.service_time().as_micros() as u32,
            lifecycle: self.limiter.lifecycle(),
            version: VersionName::from("v1"),
            revision: Revision(1),
        }
    }

    /// Starts a request; returns its service time and whether it succeeds.
    pub fn start(&mut self, rng: &mut StdRng, now: Duration) -> (Duration, bool) {
        // Half of the service time is fixed, the other half exponential.
        let varying = -(1.0 - rng.random::<f64>()).ln();
        let service_time = SERVICE_TIME.mul_f64(0.5 + 0.5 * varying);
        let failure_draw: f64 = rng.random();
        self.started += 1;
        if now < self.fault_at || now >= self.fault_end {
            return (service_time, true);
        }
        match self.fault {
            Fault::Slow(factor) => (service_time.mul_f64(factor), true),
            Fault::FailFast(share) if failure_draw < share => (FAST_FAILURE, false),
            Fault::TurnsCold { .. } | Fault::Restarts { .. }
                if f64::from(self.limiter.in_flight()) > self.capacity(now) =>
            {
                self.over_capacity += 1;
                (service_time, false)
            }
            _ => (service_time, true),
        }
    }

    fn capacity(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.fault_at).as_secs_f64();
        let slots = f64::from(self.slots);
        match self.fault {
            Fault::TurnsCold { warm_up } => {
                let grown = (since / warm_up.as_secs_f64()).min(1.0);
                COLD_CAPACITY_REQUESTS + (slots - COLD_CAPACITY_REQUESTS) * grown
            }
            Fault::Restarts { warm_up } if since < warm_up.as_secs_f64() => COLD_CAPACITY_REQUESTS,
            _ => slots,
        }
    }
}
