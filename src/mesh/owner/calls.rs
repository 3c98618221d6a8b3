//! Nested calls: which running request makes them, and whether there is capacity for those that a
//! request is going to make.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{admission_queue::PriorityClass, capacity_view::Need};
use oleandertiller_model::{Clock, ServiceName};
use oleandertiller_platform::header::is_nested_id;

use super::Owner;
use crate::mesh::message::Offer;

/// Share of a request's remaining time for which its calls may wait. Afterwards their answers would
/// hardly be in time for its own.
const CALLS_WAIT_SHARE: f64 = 0.3;

/// A running request on whose behalf the upstream makes a nested call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Parent {
    /// Id of the request.
    pub id: Arc<str>,
    /// Whether another upstream may have run it already.
    pub is_retry: bool,
    /// Its rank.
    pub rank: u32,
    /// Time at which its client stops waiting.
    pub deadline: Instant,
}

impl<C: Clock> Owner<C> {
    /// Returns whether the upstream makes the request with `id` for one that it runs.
    pub fn is_nested_call(&self, id: &str) -> bool {
        self.lock().running.iter().any(|run| is_nested_id(id, &run.id))
    }

    /// Returns the running request on whose behalf the upstream sends the one with `id` to
    /// `service`.
    pub fn parent_of(&self, id: &str, service: &ServiceName) -> Option<Parent> {
        let (parent, route) = {
            let mut inner = self.lock();
            let run = inner.running.iter_mut().find(|run| is_nested_id(id, &run.id))?;
            run.made_calls = true;
            let (is_retry, rank, deadline) = (run.is_retry, run.rank, run.deadline);
            (Parent { id: run.id.clone(), is_retry, rank, deadline }, run.route.clone())
        };
        self.deployment().nested_calls.on_call(&route, service, self.clock.now());
        Some(parent)
    }

    /// Returns the expected wait for a service that the request would call, if that is known to
    /// have no capacity in time for its rank.
    pub(super) fn calls_wait(&self, offer: &Offer) -> Option<Duration> {
        let now = self.clock.now();
        let max_wait = offer.remaining.mul_f64(CALLS_WAIT_SHARE);
        let deployment = self.deployment();
        let services = deployment.nested_calls.services(&offer.route);
        let waits = services.filter_map(|service| {
            let priority = (PriorityClass::Nested, offer.rank);
            let need = Need { service, route: &offer.route, priority, max_wait };
            let size = deployment.service_size(service, now);
            deployment.capacity.calls_shortage(&need, &size, now)
        });
        waits.max()
    }
}
