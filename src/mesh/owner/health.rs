//! Health checks of the upstream, which also report its load.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_mesh::upstream::{Announcement, Incarnation, Stage};
use oleandertiller_model::Clock;
use oleandertiller_platform::header;

use super::Owner;
use crate::mesh::{
    http::{Headers, HttpConn, ResponseHead},
    metrics::Dependency,
    upstream::request_health,
};

/// Timeout of a health check; a response usually takes a millisecond.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Time until the next health check after one has failed.
const HEALTH_CHECK_RETRY_DELAY: Duration = Duration::from_secs(1);

impl<C: Clock> Owner<C> {
    /// Takes over the announcement of an upstream that an earlier process of this node stored. A
    /// serving upstream is taken over only if a health check confirms it.
    pub async fn adopt(&self, announcement: Announcement) {
        if self.announcement().is_some() {
            return;
        }
        if announcement.stage != Stage::Serving {
            self.on_announcement(announcement);
            return;
        }
        let response = match self.health_path(&announcement) {
            Some(path) => self.check_health(None, announcement.address, &path).await,
            None => None,
        };
        let response = response.filter(|(_, head)| {
            head.headers.get(header::UPSTREAM_ID) == Some(&*announcement.incarnation.id)
        });
        let leaving = response
            .as_ref()
            .is_some_and(|(_, head)| header::is_leaving(head.headers.get(header::LEAVING)));
        // A leaving upstream is kept in mind: its next announcement may not say that it leaves.
        let confirmed = response.filter(|(_, head)| head.status == 200 || leaving);
        log::info!(upstream = &*announcement.incarnation.id, adopted = confirmed.is_some(),
            leaving = leaving; "upstream of an earlier process looked at");
        let Some((_, head)) = confirmed else { return };
        // The upstream may have announced itself meanwhile.
        if self.announcement().is_none() {
            // A warm upstream does not send this header.
            let cold_for = head.headers.get(header::COLD).and_then(header::read_millis);
            let incarnation = announcement.incarnation.clone();
            self.on_announcement(Announcement {
                cold_for: cold_for.unwrap_or_default(),
                ..announcement
            });
            self.on_condition(&head.headers, &incarnation, "health check");
        }
    }

    /// Makes a health check if the load figures are too old for a decision.
    pub(super) async fn refresh_load(&self) {
        if !self.is_health_check_due(self.clock.now()) {
            return;
        }
        let mut idle_conn = self.health_conn.lock().await;
        let now = self.clock.now();
        if !self.is_health_check_due(now) {
            return;
        }
        let Some(announcement) = self.announcement() else { return };
        let Some(path) = self.health_path(&announcement) else { return };
        self.lock().next_health_check = Some(now + self.cfg.min_health_check_interval);
        let incarnation = &announcement.incarnation;
        let idle = idle_conn.take().filter(|(upstream, _)| upstream == incarnation);
        let idle = idle.map(|(_, conn)| conn);
        match self.check_health(idle, announcement.address, &path).await {
            Some((conn, head)) => {
                if !head.close {
                    *idle_conn = Some((incarnation.clone(), conn));
                }
                self.on_health_response(&head, &announcement);
            }
            None => {
                self.lock().next_health_check = Some(now + HEALTH_CHECK_RETRY_DELAY);
                log::info!(address:% = announcement.address; "health check failed or timed out");
            }
        }
    }

    /// Makes a health check, on the idle connection if that is still open.
    async fn check_health(
        &self,
        idle_conn: Option<HttpConn>,
        address: SocketAddr,
        path: &str,
    ) -> Option<(HttpConn, ResponseHead)> {
        let started = self.clock.now();
        let work = async {
            let mut conn = match idle_conn.filter(HttpConn::is_idle_and_open) {
                Some(conn) => conn,
                None => HttpConn::connect(address).await.ok()?,
            };
            let head = request_health(&mut conn, path, address).await.ok()?;
            Some((conn, head))
        };
        let result = self.timers.within(started + HEALTH_CHECK_TIMEOUT, work).await.flatten();
        let call_outcome = if result.is_some() { "answered" } else { "lost" };
        let time = self.clock.now().saturating_duration_since(started);
        self.metrics.record_call(Dependency::Upstream, "health", call_outcome, time);
        result
    }

    fn is_health_check_due(&self, now: Instant) -> bool {
        let inner = self.lock();
        let interval_over = inner.next_health_check.is_none_or(|at| now >= at);
        interval_over && inner.queue.is_load_stale(now) && inner.upstream.latest().is_some()
    }

    /// Returns the path of the health check, if the configuration knows the upstream's service.
    fn health_path(&self, announcement: &Announcement) -> Option<Arc<str>> {
        let deployment = self.deployment();
        let service = deployment.config.as_ref()?.services.get(&announcement.service)?;
        Some(service.health_path.clone())
    }

    /// Applies the response to a health check of the upstream that announced itself so.
    fn on_health_response(&self, head: &ResponseHead, announcement: &Announcement) {
        let incarnation = &announcement.incarnation;
        if head.headers.get(header::UPSTREAM_ID).is_some_and(|id| id != &*incarnation.id) {
            return;
        }
        self.on_load(&head.headers, incarnation);
        self.on_condition(&head.headers, incarnation, "health check");
        let cold = head.headers.get(header::COLD).and_then(header::read_millis);
        if let Some(cold) = cold {
            let rate = self.deployment().cold_rate(&announcement.service);
            let mut inner = self.lock();
            if inner.is_current(incarnation) {
                inner.queue.set_cold_limit(cold, rate, self.clock.now());
            }
        }
    }

    /// Applies what a response says of the upstream's condition: a limit on its requests, and
    /// whether it is leaving.
    pub(super) fn on_condition(
        &self,
        headers: &Headers,
        incarnation: &Incarnation,
        source: &'static str,
    ) {
        let mut inner = self.lock();
        if !inner.is_current(incarnation) {
            return;
        }
        let id = &*incarnation.id;
        let text = headers.get(header::REQUEST_LIMIT);
        match (text, text.and_then(header::read_rate)) {
            (Some(text), None) => log::warn!(upstream = id, text = text, source = source;
                "unreadable request limit of the upstream ignored"),
            (_, per_second) => {
                let previous = inner.queue.request_limit();
                inner.queue.on_request_limit(per_second, self.clock.now());
                let limit = inner.queue.request_limit();
                if limit != previous {
                    self.metrics.set_request_limit(limit);
                    log::info!(upstream = id, source = source, per_second = limit.unwrap_or(0.0),
                        limited = limit.is_some(); "request limit of the upstream changed");
                }
            }
        }
        let is_leaving = header::is_leaving(headers.get(header::LEAVING));
        if is_leaving && inner.upstream.on_leaving(incarnation) {
            log::info!(upstream = id, source = source;
                "upstream says in a response that it is leaving");
            drop(inner);
            self.update_admission();
            // If the channel is full, a write is already pending.
            let _ = self.record_changed.try_send(());
        }
    }

    /// Applies the load figures of a response, if it has any and the upstream is the current one.
    pub(super) fn on_load(&self, headers: &Headers, incarnation: &Incarnation) {
        let Some(figures) = headers.get(header::LOAD).and_then(header::read_load) else { return };
        let mut inner = self.lock();
        if inner.is_current(incarnation) {
            inner.queue.on_load(figures, self.clock.now());
        }
    }
}
