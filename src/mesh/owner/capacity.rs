//! What the owner learns of the upstream's capacity from its runs.

use std::time::Instant;

use oleandertiller_mesh::{
    admission_queue::{OwnerState, PriorityClass},
    upstream_capacity::RunStart,
    zone_capacity::ZoneReport,
};
use oleandertiller_model::Clock;

use super::{Inner, Owner, RunningRequest};
use crate::mesh::message::{End, Offer};

/// Slowness of the upstream, in percent of the usual service time, from which the start of a run
/// counts as in a slow period and its time tells nothing of the slots. Near its limit, an upstream
/// may report up to about twice the usual time.
const SLOW_PERIOD_PERCENT: u32 = 250;

impl Inner {
    /// Applies a change of the number of running requests to the learnt capacity.
    pub(super) fn on_running_changed(&mut self, now: Instant) {
        let slots = self.upstream.latest().map_or(0, |latest| latest.slots);
        self.knee.on_running(self.running.len() as u32, self.queue.soft_limit(), now);
        let useful = self.knee.useful_slots(slots, now);
        if self.queue.useful_slots().min(slots) != useful {
            log::info!(slots = slots, useful = useful; "useful slots of the upstream changed");
        }
        self.queue.set_useful_slots(useful);
    }
}

impl<C: Clock> Owner<C> {
    /// Returns the requests per second that fill the upstream's slots.
    pub fn full_rate(&self) -> f64 {
        self.lock().queue.full_rate()
    }

    /// Returns the state that is sent with the reply to an offer.
    pub fn state(&self, offer: &Offer) -> OwnerState {
        self.state_for(offer.class, offer.rank)
    }

    /// Returns the state for requests of a class and rank.
    pub fn state_for(&self, class: PriorityClass, rank: u32) -> OwnerState {
        self.lock().queue.state(class, rank, self.clock.now())
    }

    /// Returns what this node knows of the room of zones for the service of an offer.
    pub(super) fn zone_reports(&self, offer: &Offer) -> Vec<ZoneReport> {
        let deployment = self.deployment();
        let zones = deployment.zone_capacity(&offer.service);
        zones.map(|zones| zones.reports(self.clock.now())).unwrap_or_default()
    }

    /// Records the start of a run; `None` if its time will tell nothing of the capacity.
    pub(super) fn on_start(&self, run: RunningRequest, now: Instant) -> Option<RunStart> {
        let mut inner = self.lock();
        inner.running.push(run);
        inner.on_running_changed(now);
        let usual_speed = inner.queue.slowness() < SLOW_PERIOD_PERCENT && !inner.queue.is_cold(now);
        usual_speed.then(|| inner.knee.start(now))
    }

    /// Records the time of a run that was answered. The time of one that made calls depends on
    /// other upstreams as well.
    pub(super) fn on_run_end(&self, offer: &Offer, start: Option<RunStart>, end: &End) {
        let (Some(start), End::Answered(response)) = (start, end) else { return };
        let mut inner = self.lock();
        let made_calls = inner.running.iter().any(|run| run.id == offer.id && run.made_calls);
        if response.status < 500 && !made_calls {
            inner.knee.on_run(&offer.route, start, self.clock.now());
        }
    }
}
