//! Sends requests to the upstream and records their outcomes.

use std::{
    sync::atomic::{AtomicUsize, Ordering},
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    admission_queue::AdmissionQueue,
    crash_suspects::CrashId,
    rollout::{BAD_P_VALUE, Finding, assess},
    upstream::{Announcement, Incarnation, Stage},
};
use oleandertiller_model::{Clock, ErrorKind, ServiceName, VersionName};
use oleandertiller_platform::header;

use super::Owner;
use crate::mesh::{
    deployment_state::time_left,
    http::{HttpConn, encode_request_head, join_small_body},
    message::{CrashReport, End, Offer, Response},
    metrics::{Decision, Dependency},
    upstream::{Exchange, ExchangeError, PooledConn, exchange},
};

/// Status with which an upstream responds once a request's deadline has passed.
const STATUS_GATEWAY_TIMEOUT: u16 = 504;

/// Timeout of the connection that shows whether the upstream has ended. An address without a listener
/// refuses it at once.
const END_CHECK_TIMEOUT: Duration = Duration::from_millis(100);

/// Most bytes of bodies, in bytes, that the upstream has at once besides a single longer one. It
/// crashes if the requests that it holds exceed its memory, and its machine may have 160 MB.
const MAX_SENT_BYTES: usize = 64 << 20;

/// Timeout for connecting to the upstream, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

impl<C: Clock> Owner<C> {
    /// Sends a request to the upstream and returns how it ended.
    pub(super) async fn run_on_upstream(
        &self,
        offer: &Offer,
        announcement: &Announcement,
        deadline: Instant,
    ) -> End {
        let started = self.clock.now();
        let slowness = self.lock().queue.slowness();
        let Some(_sent_bytes) = SentBytes::try_add(&self.sent_bytes, offer.body.len()) else {
            return End::NotRun { why: ErrorKind::Overloaded, arrived: false };
        };
        let Some(pooled) = self.take_or_connect(announcement, deadline).await else {
            self.update_failures(announcement, |queue, now| queue.record_outcome(true, now));
            return End::NotRun { why: ErrorKind::ConnectFailed, arrived: false };
        };
        let remaining = time_left(deadline, self.clock.now());
        if remaining.is_zero() {
            let idle_until = started + Duration::from_secs(1);
            self.pool.put(pooled.conn, &announcement.incarnation, idle_until);
            return End::NotRun { why: ErrorKind::DeadlineExceeded, arrived: false };
        }
        let mut headers = offer.headers.clone();
        headers.set(header::DEADLINE, remaining.as_millis().max(1).to_string());
        headers.set(header::EXPECTED_UPSTREAM, &*announcement.incarnation.id);
        let Offer { method, target, body, .. } = offer;
        let mut head = encode_request_head(method, target, &headers, body.len());
        let rest = join_small_body(&mut head, body);
        let reused = pooled.reused;
        let run = RunGuard { owner: self, offer, announcement, started, slowness };
        let window = self.usage.begin(offer, self.clock.wall());
        let work = exchange(pooled, &head, rest, &offer.id, &self.cfg.response_limits);
        let result = self.timers.within(deadline, work).await;
        let now = self.clock.now();
        let service_time = now.saturating_duration_since(started);
        let call_outcome = match &result {
            None => "timed-out",
            Some(Err(_)) => "lost",
            Some(Ok(_)) => "answered",
        };
        self.metrics.record_call(Dependency::Upstream, "request", call_outcome, service_time);
        if let Some(Err(error)) = &result
            && error.why == ErrorKind::ConnectionLost
        {
            self.on_connection_lost(offer, announcement).await;
        }
        let end = match result {
            None => End::Unknown(ErrorKind::UpstreamTimeout),
            Some(Err(ExchangeError { why, .. })) => End::Unknown(why),
            Some(Ok(exchange)) => self.classify_response(exchange, announcement, now),
        };
        if let End::NotRun { .. } = end {
            self.usage.take_back(offer, window);
        }
        if let End::Answered(_) = end {
            self.on_completed(offer);
        }
        run.end();
        self.record_outcome(offer, announcement, &end, normalized(service_time, slowness));
        log::debug!(id = &*offer.id, reused = reused, slowness = slowness,
            route = &*offer.route, run_ms = service_time.as_millis() as u64;
            "upstream finished request");
        end
    }

    /// Records a request whose connection was lost if that is because the upstream has ended.
    async fn on_connection_lost(&self, offer: &Offer, announcement: &Announcement) {
        let request = offer.fingerprint();
        let ended = self.has_ended(announcement).await;
        let loss = if ended { "upstream-ended" } else { "connection-only" };
        self.metrics.count_decision(Decision::LostRun, loss);
        let mut crashes = 0;
        if ended {
            let crash = CrashId::new(&announcement.incarnation);
            crashes = self.lock().suspects.on_crash(request, crash, self.clock.now());
            self.crash_seen.notify(usize::MAX);
        }
        log::info!(id = &*offer.id, request = &*request.to_string(), ended = ended,
            crashes = crashes, upstream = &*announcement.incarnation.id;
            "connection lost while a request ran");
    }

    /// Returns what this owner knows of requests that crash upstreams of its service.
    pub fn crash_report(&self) -> Option<CrashReport> {
        let inner = self.lock();
        let service = inner.upstream.latest()?.service.clone();
        Some(CrashReport { service, suspects: inner.suspects.records(self.clock.now()) })
    }

    /// Takes over what another owner knows; returns what this one knew, or `None` without an upstream.
    pub fn on_crash_report(&self, report: &CrashReport) -> Option<CrashReport> {
        let own = self.crash_report()?;
        if own.service == report.service {
            self.lock().suspects.merge(&report.suspects, self.clock.now());
        }
        Some(own)
    }

    /// Acquits a request that the upstream has completed.
    fn on_completed(&self, offer: &Offer) {
        if self.lock().suspects.is_empty() {
            return;
        }
        let request = offer.fingerprint();
        if self.lock().suspects.on_completed(request, self.clock.now()) {
            log::info!(id = &*offer.id, request = &*request.to_string();
                "request completed that was running when upstreams ended");
            self.crash_seen.notify(usize::MAX);
        }
    }

    /// Returns whether an upstream has ended by itself: it refuses connections and has not announced
    /// that it leaves.
    async fn has_ended(&self, announcement: &Announcement) -> bool {
        let until = self.clock.now() + END_CHECK_TIMEOUT;
        let connected = self.timers.within(until, HttpConn::connect(announcement.address)).await;
        // An upstream that is cut off does not answer at all.
        let refused = matches!(connected, Some(Err(_)));
        let inner = self.lock();
        let latest = inner.upstream.latest();
        let replaced = latest.is_some_and(|l| l.incarnation != announcement.incarnation);
        let serving = latest.is_some_and(|l| l.stage == Stage::Serving);
        (refused || replaced) && serving
    }

    async fn take_or_connect(
        &self,
        announcement: &Announcement,
        deadline: Instant,
    ) -> Option<PooledConn> {
        let now = self.clock.now();
        if let Some(pooled) = self.pool.take(&announcement.incarnation, now) {
            return Some(pooled);
        }
        let until = deadline.min(now + CONNECT_TIMEOUT);
        let conn =
            self.timers.within(until, HttpConn::connect(announcement.address)).await?.ok()?;
        Some(PooledConn { conn, reused: false })
    }

    /// Returns how a request with this response ended.
    fn classify_response(
        &self,
        exchange: Exchange,
        announcement: &Announcement,
        now: Instant,
    ) -> End {
        let Exchange { response, conn } = exchange;
        if let Some((conn, idle)) = conn {
            self.pool.put(conn, &announcement.incarnation, now + idle);
        }
        self.on_load(&response.headers, &announcement.incarnation);
        if response.status == header::STATUS_MISDIRECTED {
            self.forget_upstream(&announcement.incarnation);
            return End::NotRun { why: ErrorKind::NoUpstream, arrived: false };
        }
        self.on_condition(&response.headers, &announcement.incarnation, "request");
        if response.headers.get(header::NOT_RUN).is_some() {
            return End::NotRun { why: ErrorKind::Overloaded, arrived: true };
        }
        let signed = response.headers.get(header::SIGNATURE).is_some();
        let success = (200..300).contains(&response.status);
        if success && !signed || response.headers.get("content-encoding").is_some() {
            return End::Unknown(ErrorKind::MismatchedAnswer);
        }
        End::Answered(strip_connection_headers(response))
    }

    /// Forgets an upstream after another one has responded at its address.
    fn forget_upstream(&self, incarnation: &Incarnation) {
        log::warn!(upstream = &*incarnation.id;
            "upstream is forgotten: another one responded at its address");
        self.lock().upstream.forget(incarnation);
        self.pool.clear();
        self.update_admission();
    }

    /// Records an outcome in the admission queue and the rollout evidence; `time` is the service
    /// time, scaled to an upstream that is not slow.
    fn record_outcome(
        &self,
        offer: &Offer,
        announcement: &Announcement,
        end: &End,
        time: Duration,
    ) {
        // The outcome says nothing of an upstream that has taken over the address meanwhile.
        if !self.lock().is_current(&announcement.incarnation) {
            return;
        }
        // A timeout counts as a slow run, not a failure: some requests take longer than allowed.
        let result = match end {
            End::Answered(response) if response.status < 500 => Some(time),
            End::Answered(response) if response.status == STATUS_GATEWAY_TIMEOUT => Some(time),
            End::Unknown(ErrorKind::UpstreamTimeout) => Some(time),
            End::Answered(_) | End::Unknown(_) => None,
            // Its slot is free again at once, so it must not look fast.
            End::NotRun { why, .. } => {
                if *why != ErrorKind::NoUpstream {
                    self.update_failures(announcement, |queue, now| queue.record_refusal(now));
                }
                return;
            }
        };
        if matches!(end, End::Unknown(ErrorKind::UpstreamTimeout)) {
            self.lock().queue.record_overdue(self.clock.now());
        }
        let made_calls = self.lock().running.iter().any(|run| run.id == offer.id && run.made_calls);
        // If the request made nested calls, another service may have caused its failure.
        if result.is_some() || !made_calls || matches!(end, End::Unknown(_)) {
            self.update_failures(announcement, |queue, now| {
                queue.record_outcome(result.is_none(), now);
            });
        }
        self.lock().evidence.record(&announcement.version, &offer.route, result);
        self.update_veto(&offer.service, &announcement.version);
    }

    /// Records the end of a run in the queue, and reports a change of the share of failures.
    fn update_failures(
        &self,
        announcement: &Announcement,
        record: impl FnOnce(&mut AdmissionQueue, Instant),
    ) {
        let mut inner = self.lock();
        if !inner.is_current(&announcement.incarnation) {
            return;
        }
        let now = self.clock.now();
        record(&mut inner.queue, now);
        let failures = inner.queue.capacity(now).failures;
        self.metrics.set_upstream_failures(failures);
        if let Some(failing) = inner.failing.update(failures) {
            log::warn!(upstream = &*announcement.incarnation.id, failing = failing,
                percent = failures; "share of failed runs of the upstream changed");
        }
    }

    /// Stops requests to a version that is rolled out if this node's evidence shows that it is bad.
    fn update_veto(&self, service: &ServiceName, version: &VersionName) {
        let rolling_out = self.deployment().is_rolling_out(service, version);
        {
            let mut inner = self.lock();
            if !rolling_out || inner.vetoed {
                return;
            }
            let Finding::Bad(why) = assess(&inner.evidence, version, BAD_P_VALUE) else { return };
            log::warn!(version = version.as_str(), why = &*why; "version vetoed at this node");
            inner.vetoed = true;
        }
        self.update_admission();
    }
}

/// Bytes of a request's body at the upstream, until it is dropped.
struct SentBytes<'a>(&'a AtomicUsize, usize);

impl<'a> SentBytes<'a> {
    /// Counts the bytes; returns `None` if the upstream would have too many. A single body is always
    /// allowed, since the operators set its limit.
    fn try_add(sum: &'a AtomicUsize, bytes: usize) -> Option<Self> {
        let before = sum.fetch_add(bytes, Ordering::Relaxed);
        let guard = Self(sum, bytes);
        (before == 0 || before + bytes <= MAX_SENT_BYTES).then_some(guard)
    }
}

impl Drop for SentBytes<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(self.1, Ordering::Relaxed);
    }
}

/// Returns the time that a run would have taken on a machine that is not slow.
fn normalized(time: Duration, slowness_percent: u32) -> Duration {
    time.mul_f64(100.0 / f64::from(slowness_percent.max(100)))
}

/// A run on the upstream. When it is dropped before its end, because its client has left or a hedged
/// request has an answer from elsewhere, the time that it has taken is recorded.
struct RunGuard<'a, C: Clock> {
    owner: &'a Owner<C>,
    offer: &'a Offer,
    announcement: &'a Announcement,
    started: Instant,
    slowness: u32,
}

impl<C: Clock> RunGuard<'_, C> {
    /// Ends the run, whose outcome is recorded elsewhere.
    fn end(self) {
        std::mem::forget(self);
    }
}

impl<C: Clock> Drop for RunGuard<'_, C> {
    fn drop(&mut self) {
        let Announcement { incarnation, version, .. } = self.announcement;
        if !self.owner.lock().is_current(incarnation) {
            return;
        }
        let time = self.owner.clock.now().saturating_duration_since(self.started);
        let usual = self.owner.deployment().usual_answer_time(&self.offer.route);
        if !usual.is_zero() && time >= usual {
            self.owner.lock().queue.record_overdue(self.owner.clock.now());
        }
        let time = normalized(time, self.slowness);
        self.owner.lock().evidence.record_abandoned(version, &self.offer.route, time);
        self.owner.update_veto(&self.offer.service, version);
    }
}

/// Removes the headers of a response that concern only the connection it came on.
fn strip_connection_headers(mut response: Response) -> Response {
    response.headers.remove_hop_by_hop();
    response.headers.remove("content-length");
    response
}
