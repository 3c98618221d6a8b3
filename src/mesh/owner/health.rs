//! What the owner learns of its upstream by health checks.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::upstream::{Announcement, Stage};
use oleandertiller_model::Clock;
use oleandertiller_platform::header;

use super::Owner;
use crate::mesh::{
    http::{Headers, HttpConn, ResponseHead},
    metrics::Dependency,
    upstream::health,
};

/// Longest wait for the answer to a health check; it usually takes a millisecond.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(100);

/// Time for which health checks rest after one has failed.
const HEALTH_REST: Duration = Duration::from_secs(1);

impl<C: Clock> Owner<C> {
    /// Takes over an upstream that an earlier process of this node knew: that it is leaving, or that it
    /// serves, if its health check says that it still does.
    pub async fn adopt(&self, news: Announcement) {
        if self.announcement().is_some() {
            return;
        }
        if news.stage != Stage::Serving {
            self.on_announcement(news);
            return;
        }
        let answer = match self.health_path(&news) {
            Some(path) => self.ask(None, news.address, &path).await,
            None => None,
        };
        let same = answer.filter(|(_, head)| {
            let id = head.headers.get(header::UPSTREAM_ID);
            head.status == 200 && id == Some(&*news.incarnation.id)
        });
        log::info!(upstream = &*news.incarnation.id, adopted = same.is_some();
            "upstream of an earlier process looked at");
        let Some((_, head)) = same else { return };
        // It may have announced itself meanwhile.
        if self.announcement().is_none() {
            // A warm upstream does not say how long it stays cold.
            let cold_for = head.headers.get(header::COLD).and_then(header::read_millis);
            self.on_announcement(Announcement { cold_for: cold_for.unwrap_or_default(), ..news });
        }
    }

    /// Asks the upstream for its load, if what is known is too old for a decision.
    pub(super) async fn look(&self) {
        if !self.is_due(self.clock.now()) {
            return;
        }
        let mut kept = self.health.lock().await;
        let now = self.clock.now();
        if !self.is_due(now) {
            return;
        }
        let Some(known) = self.announcement() else { return };
        let Some(path) = self.health_path(&known) else { return };
        self.lock().next_health = Some(now + self.cfg.min_health_check_interval);
        match self.ask(kept.take(), known.address, &path).await {
            Some((conn, head)) => {
                if !head.close {
                    *kept = Some(conn);
                }
                self.on_health(&head);
            }
            None => {
                self.lock().next_health = Some(now + HEALTH_REST);
                log::info!(address:% = known.address; "health check not answered");
            }
        }
    }

    /// Makes a health check, on the connection that was kept if it is still open.
    async fn ask(
        &self,
        kept: Option<HttpConn>,
        address: SocketAddr,
        path: &str,
    ) -> Option<(HttpConn, ResponseHead)> {
        let started = self.clock.now();
        let work = async {
            let mut conn = match kept.filter(HttpConn::is_idle_and_open) {
                Some(conn) => conn,
                None => HttpConn::connect(address).await.ok()?,
            };
            let head = health(&mut conn, path, address).await.ok()?;
            Some((conn, head))
        };
        let result = self.timers.within(started + HEALTH_TIMEOUT, work).await.flatten();
        let said = if result.is_some() { "answered" } else { "lost" };
        let time = self.clock.now().saturating_duration_since(started);
        self.metrics.record_call(Dependency::Upstream, "health", said, time);
        result
    }

    fn is_due(&self, now: Instant) -> bool {
        let inner = self.lock();
        let rested = inner.next_health.is_none_or(|at| now >= at);
        rested && inner.gate.is_load_stale(now) && inner.upstream.latest().is_some()
    }

    /// Returns the path of the health check, if the configuration knows the upstream's service.
    fn health_path(&self, known: &Announcement) -> Option<Arc<str>> {
        let deployment = self.deployment();
        let service = deployment.config.as_ref()?.1.services.get(&known.service)?;
        Some(service.health_path.clone())
    }

    fn on_health(&self, head: &ResponseHead) {
        let Some(known) = self.announcement() else { return };
        if head.headers.get(header::UPSTREAM_ID).is_some_and(|id| id != &*known.incarnation.id) {
            return;
        }
        self.on_load(&head.headers);
        let cold = head.headers.get(header::COLD).and_then(header::read_millis);
        if let Some(cold) = cold {
            let rate = self.deployment().cold_rate(&known.service);
            self.lock().gate.set_cold_limit(cold, rate, self.clock.now());
        }
    }

    /// Takes the load figures of an answer, if it has any.
    pub(super) fn on_load(&self, headers: &Headers) {
        if let Some(figures) = headers.get(header::LOAD).and_then(header::read_load) {
            self.lock().gate.on_load(figures, self.clock.now());
        }
    }
}
