//! Probes: calls that only ask an owner for its load, paid for from the measuring budget.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use async_std::task;
use bytes::Bytes;
use oleandertiller_model::{
    Clock, ServiceName,
    codec::{self, PROTOCOL_VERSION},
    message::{CallHead, Role},
};
use oleandertiller_routing::selection::Candidate;
use uuid::Builder;

use super::{Ingress, route::ServiceRoute};

/// Interval at which the services are checked for owners worth a probe.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Shortest time between two probes of one service. Otherwise the tokens saved while all loads were
/// known would be spent at once on a returning zone, before its ramp admits requests.
const MIN_PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Longest wait for the answer to a probe; a load that arrives later is too old to use.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time after the last call of a service for which its owners are probed.
const RECENT_CALL_WINDOW: Duration = Duration::from_secs(1);

impl<C: Clock> Ingress<C> {
    /// Sends probes until the stop channel is closed.
    pub async fn run_probes(self: Arc<Self>, stop: Receiver<()>) {
        let mut next_probe: HashMap<ServiceName, Instant> = HashMap::new();
        while !stop.is_closed() {
            task::sleep(CHECK_INTERVAL).await;
            let share = self.view.load().intent.measuring_ppm();
            self.budgets().measuring.set_share_ppm(share);
            let now = self.clock.now();
            for (service, route) in self.routes.all().iter() {
                if next_probe.get(service).is_none_or(|at| now >= *at)
                    && self.probe_if_due(route, now)
                {
                    next_probe.insert(service.clone(), now + MIN_PROBE_INTERVAL);
                }
            }
        }
    }

    /// Probes an owner of the service if a probe is due and the budget allows it; returns whether
    /// one was due.
    fn probe_if_due(self: &Arc<Self>, route: &Arc<ServiceRoute>, now: Instant) -> bool {
        let Some(owner) = self.probe_target(route, now) else { return false };
        if self.budgets().try_probe(now) {
            task::spawn(self.clone().send_probe(route.clone(), owner));
        } else {
            self.metrics.probes_refused.inc();
        }
        true
    }

    fn probe_target(&self, route: &ServiceRoute, now: Instant) -> Option<Candidate> {
        if !route.called_since(now.checked_sub(RECENT_CALL_WINDOW)?) {
            return None;
        }
        let owner = route.probe_target(now)?;
        if owner.node != self.cfg.name {
            return Some(owner);
        }
        // The load of the local owner is known without a probe.
        route.on_probe(&owner.node, Some(self.owner.load()), now);
        route.probe_target(now)
    }

    async fn send_probe(self: Arc<Self>, route: Arc<ServiceRoute>, owner: Candidate) {
        let Some(address) = route.address(&owner.node) else { return };
        let Some(call) = probe_head(&route) else { return };
        self.metrics.probes.inc();
        let mut bytes = codec::encode(&call).len();
        let deadline = self.clock.now() + PROBE_TIMEOUT;
        let answer = self.client.call(address, &call, &Bytes::new(), deadline).await;
        let load = answer.ok().map(|(reply, _)| {
            bytes += codec::encode(&reply).len();
            reply.load
        });
        self.metrics.probe_bytes.inc_by(bytes as u64);
        route.on_probe(&owner.node, load, self.clock.now());
    }
}

fn probe_head(route: &ServiceRoute) -> Option<CallHead> {
    Some(CallHead {
        protocol: PROTOCOL_VERSION,
        request: Builder::from_random_bytes(rand::random()).into_uuid().into(),
        role: Role::Probe,
        service: route.spec.name.clone(),
        kind: route.spec.kinds.first()?.name.clone(),
        method: "GET".to_owned(),
        path: String::new(),
        content_type: None,
        remaining: PROBE_TIMEOUT,
        depth: 0,
        key: None,
        key_text: None,
        revision: route.intent.revision,
    })
}
