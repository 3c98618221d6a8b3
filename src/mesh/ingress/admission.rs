//! Early refusal: whether a request is offered at all, by what is known of the services' capacity.

use std::time::{Duration, Instant};

use oleandertiller_mesh::{
    admission_queue::PriorityClass,
    capacity_view::{Change, Need, Verdict},
};
use oleandertiller_model::Clock;

use super::{Ingress, request::ClientRequest};
use crate::mesh::metrics::Admission;

impl<C: Clock> Ingress<C> {
    /// Decides whether a request is refused without an offer; returns the time until capacity is
    /// expected for it, if so.
    pub(super) fn refuse_early(
        &self,
        request: &ClientRequest,
        class: PriorityClass,
        max_wait: Duration,
        now: Instant,
    ) -> Option<Duration> {
        // A nested call always gets an offer, since its refusal wastes the work of its parent.
        if request.parent.is_some() {
            return None;
        }
        let priority = (class, request.rank);
        let need =
            Need { service: &request.service, route: &request.route.name, priority, max_wait };
        let (verdict, change) = {
            let mut deployment = self.shared.deployment();
            let size = deployment.service_size(&request.service, now);
            let verdict = deployment.capacity.decide(&need, &size, now, rand::random());
            let refused = matches!(verdict, Verdict::Refuse { .. });
            (verdict, deployment.capacity.on_decided(&request.service, refused, now))
        };
        if let Some(change) = change {
            log::info!(service = request.service.as_str(), begun = change == Change::Begun,
                class:? = class, rank = request.rank, route = &*request.route.name;
                "shortage of a service has begun or ended");
        }
        let count = |admission, reason| {
            let (route, rank) = (&request.route.name, request.rank);
            self.shared.metrics.count_admission(route, rank, admission, reason);
        };
        match verdict {
            Verdict::Offer => None,
            Verdict::Probe(shortage) => {
                count(Admission::Probe, shortage.name());
                None
            }
            Verdict::Refuse { shortage, expected_wait } => {
                count(Admission::RefuseEarly, shortage.name());
                Some(expected_wait)
            }
        }
    }
}
