//! Which services the requests of a route call while they run, learnt from their nested calls.
//!
//! A request whose call is refused for want of capacity has used its slot for nothing. The owner
//! therefore does not start requests of a route while a service that they usually call has no
//! capacity for their rank. This handles a service that other routes fill.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::ServiceName;

/// Time after which an observation counts for about a third: routes change their calls with new
/// versions, seldom otherwise.
const DECAY: Duration = Duration::from_secs(20);

/// Time after which a route without requests may be forgotten.
const MEMORY: Duration = Duration::from_secs(100);

/// Weight of the requests that must have been observed before the calls of a route count as known.
const MIN_REQUESTS: f64 = 5.0;

/// Share of a route's requests that call a service, from which the service counts as needed.
const MIN_SHARE: f64 = 0.4;

#[derive(Clone, Debug)]
struct RouteCalls {
    requests: f64,
    calls: HashMap<ServiceName, f64>,
    at: Instant,
}

impl RouteCalls {
    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        let weight = (-age / DECAY.as_secs_f64()).exp();
        self.requests *= weight;
        self.calls.values_mut().for_each(|calls| *calls *= weight);
        self.at = self.at.max(now);
    }
}

/// The calls of each route that has run on the local upstream.
#[derive(Clone, Debug, Default)]
pub struct NestedCalls {
    routes: HashMap<Arc<str>, RouteCalls>,
}

impl NestedCalls {
    /// Records that a request of a route has started.
    pub fn on_request(&mut self, route: &Arc<str>, now: Instant) {
        if !self.routes.contains_key(route) {
            // Routes that the configuration no longer has.
            self.routes.retain(|_, calls| now.saturating_duration_since(calls.at) < MEMORY);
        }
        let calls = self.routes.entry(route.clone());
        let calls =
            calls.or_insert_with(|| RouteCalls { requests: 0.0, calls: HashMap::new(), at: now });
        calls.decay(now);
        calls.requests += 1.0;
    }

    /// Records that a running request of a route calls a service.
    pub fn on_call(&mut self, route: &Arc<str>, service: &ServiceName, now: Instant) {
        let Some(calls) = self.routes.get_mut(route) else { return };
        calls.decay(now);
        *calls.calls.entry(service.clone()).or_default() += 1.0;
    }

    /// Returns the services that requests of a route are likely to call.
    pub fn services<'a>(&'a self, route: &str) -> impl Iterator<Item = &'a ServiceName> + 'a {
        let calls = self.routes.get(route).filter(|calls| calls.requests >= MIN_REQUESTS);
        calls.into_iter().flat_map(|calls| {
            let needed = calls.calls.iter();
            let needed = needed.filter(|(_, count)| **count >= calls.requests * MIN_SHARE);
            needed.map(|(service, _)| service)
        })
    }
}
