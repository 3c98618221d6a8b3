//! Tells the other owners of the service which requests were running when upstreams ended.
//!
//! An owner sends what it has seen itself to all others at once, without the store, and again to
//! those that did not answer or have restarted. In addition each owner exchanges what it knows with
//! a random other one now and then, so that it also spreads if the owner that saw it is gone.

use std::{collections::BTreeMap, pin::pin, sync::Arc, time::Duration};

use futures_util::future::{Either, join_all, select};
use oleandertiller_mesh::members::NodeRecord;
use oleandertiller_model::{Clock, NodeName, ServiceName, codec};
use rand::seq::IndexedRandom;

use super::{
    daemon::Shared,
    message::{CRASHES_PATH, CrashReport},
};

/// Interval between two exchanges, and between two attempts to reach an owner.
const EXCHANGE_INTERVAL: Duration = Duration::from_millis(700);

/// Minimum interval between two reports, in which further crashes accumulate.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of sending a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Number of exchanges of a process that has just started and does not know any suspect.
const STARTUP_EXCHANGES: u32 = 4;

/// Sends the reports of the local owner.
pub struct CrashReporter<C: Clock> {
    shared: Arc<Shared<C>>,
    /// Incarnations of the nodes that know what this owner has seen; `None` if it has seen nothing.
    informed: Option<BTreeMap<NodeName, u64>>,
    exchanges: u32,
}

impl<C: Clock> CrashReporter<C> {
    /// Creates a reporter that has sent nothing.
    pub fn new(shared: Arc<Shared<C>>) -> Self {
        Self { shared, informed: None, exchanges: 0 }
    }

    /// Sends reports until the process stops.
    pub async fn run(mut self) {
        while !self.shared.is_stopping() {
            let shared = self.shared.clone();
            let crash_seen = shared.owner.crash_seen.listen();
            let next_exchange = shared.timers.at(shared.clock.now() + EXCHANGE_INTERVAL);
            match select(pin!(crash_seen), next_exchange).await {
                Either::Left(_) => self.informed = Some(BTreeMap::new()),
                Either::Right(_) => {}
            }
            let Some(report) = shared.owner.crash_report() else { continue };
            if report.suspects.is_empty() {
                self.informed = None;
                if self.exchanges >= STARTUP_EXCHANGES {
                    continue;
                }
            }
            self.send(&report).await;
            shared.timers.at(shared.clock.now() + MIN_REPORT_INTERVAL).await;
        }
    }

    /// Sends a report to the owners that do not have it yet, and to a random one.
    async fn send(&mut self, report: &CrashReport) {
        let peers = self.peers(&report.service);
        let mut targets: Vec<_> = match &self.informed {
            Some(informed) => {
                let is_informed =
                    |peer: &NodeRecord| informed.get(&peer.node) == Some(&peer.incarnation);
                peers.iter().filter(|peer| !is_informed(peer)).cloned().collect()
            }
            None => Vec::new(),
        };
        if targets.is_empty() {
            targets.extend(peers.choose(&mut rand::rng()).cloned());
            self.exchanges += u32::from(!targets.is_empty());
        }
        let shared = &self.shared;
        let until = shared.clock.now() + REPORT_TIMEOUT;
        let message = codec::encode(report);
        let calls = targets.iter().map(|peer| {
            let call = shared.client.request(peer.inner, CRASHES_PATH, message.clone(), until);
            async move { Some((peer, codec::decode::<CrashReport>(&call.await.ok()?).ok()?)) }
        });
        let answers = join_all(calls).await;
        let unanswered = answers.iter().filter(|answer| answer.is_none()).count();
        if unanswered > 0 {
            log::info!(peers = targets.len(), unanswered = unanswered;
                "report of crashes not answered by some owners");
        }
        for (peer, answer) in answers.into_iter().flatten() {
            shared.owner.on_crash_report(&answer);
            if let Some(informed) = &mut self.informed {
                informed.insert(peer.node.clone(), peer.incarnation);
            }
        }
    }

    /// Returns the other nodes with an upstream of the service.
    fn peers(&self, service: &ServiceName) -> Vec<Arc<NodeRecord>> {
        let own_name = &self.shared.settings.node.name;
        let now = self.shared.clock.now();
        let deployment = self.shared.deployment();
        let members = deployment.members.iter().filter(|member| {
            let upstream = member.record.upstream.as_ref();
            upstream.is_some_and(|u| u.service == *service)
                && member.record.node != *own_name
                && member.is_reachable(now)
        });
        members.map(|member| member.record.clone()).collect()
    }
}
