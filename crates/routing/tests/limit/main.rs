//! Tests of the owner's limiter: single rules, and properties over any order of events.

mod properties;
mod rules;

use std::time::{Duration, Instant};

use oleandertiller_model::Lifecycle;
use oleandertiller_routing::limit::{AdmissionRequest, LimitConfig, Limiter};

const MS: Duration = Duration::from_millis(1);

fn serving(cfg: LimitConfig, slots: u32, now: Instant) -> Limiter {
    let mut limiter = Limiter::new(cfg);
    limiter.on_announce(Lifecycle::Serving, slots, false, now);
    limiter
}

fn request(ticket: u64, now: Instant) -> AdmissionRequest {
    AdmissionRequest { ticket, weight: 1, depth: 0, deadline: now + Duration::from_secs(10) }
}
