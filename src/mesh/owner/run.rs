//! Hands requests to the upstream and takes note of how they end.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use oleandertiller_mesh::{
    rollout::{BAD_P_VALUE, Finding, assess},
    upstream::{Announcement, Incarnation},
};
use oleandertiller_model::{Clock, ErrorKind};
use oleandertiller_platform::header;

use super::Owner;
use crate::mesh::{
    deployment_state::time_left,
    http::{HttpConn, encode_request},
    message::{End, Offer, Response},
    metrics::Dependency,
    upstream::{Exchanged, Failed, Taken, exchange},
};

/// Status with which an upstream answers at a request's deadline.
const STATUS_DEADLINE: u16 = 504;

/// Longest wait for a connection to the upstream, which is on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

impl<C: Clock> Owner<C> {
    /// Hands a request to the upstream.
    pub(super) async fn run(&self, offer: &Offer, deadline: Instant) -> End {
        let Some(known) = self.announcement() else {
            return End::NotRun { why: ErrorKind::NoUpstream, arrived: false };
        };
        let started = self.clock.now();
        let slowness = self.lock().gate.slowness();
        let Some(taken) = self.connection(known.address, deadline).await else {
            return End::NotRun { why: ErrorKind::ConnectFailed, arrived: false };
        };
        let remaining = time_left(deadline, self.clock.now());
        if remaining.is_zero() {
            self.pool.put(taken.conn, known.address, started + Duration::from_secs(1));
            return End::NotRun { why: ErrorKind::DeadlineExceeded, arrived: false };
        }
        let mut headers = offer.headers.clone();
        headers.set(header::DEADLINE, remaining.as_millis().max(1).to_string());
        headers.set(header::EXPECTED_UPSTREAM, &*known.incarnation.id);
        let request = encode_request(&offer.method, &offer.target, &headers, &offer.body);
        let work = exchange(taken.conn, &request, &offer.id, self.cfg.max_response_body_bytes);
        let result = self.timers.within(deadline, work).await;
        let now = self.clock.now();
        let run_time = now.saturating_duration_since(started);
        let said = match &result {
            None => "timed-out",
            Some(Err(_)) => "lost",
            Some(Ok(_)) => "answered",
        };
        self.metrics.record_call(Dependency::Upstream, "request", said, run_time);
        let end = match result {
            None => End::Unknown(ErrorKind::UpstreamTimeout),
            Some(Err(Failed { why, .. })) => End::Unknown(why),
            Some(Ok(exchanged)) => self.answered(exchanged, &known, now),
        };
        self.record(offer, &known, &end, run_time.mul_f64(100.0 / f64::from(slowness.max(100))));
        log::debug!(id = &*offer.id, reused = taken.reused, slowness = slowness, route = &*offer.route,
            run_ms = run_time.as_millis() as u64; "upstream ended");
        end
    }

    async fn connection(&self, address: SocketAddr, deadline: Instant) -> Option<Taken> {
        let now = self.clock.now();
        if let Some(taken) = self.pool.take(address, now) {
            return Some(taken);
        }
        let until = deadline.min(now + CONNECT_TIMEOUT);
        let conn = self.timers.within(until, HttpConn::connect(address)).await?.ok()?;
        Some(Taken { conn, reused: false })
    }

    fn answered(&self, exchanged: Exchanged, known: &Announcement, now: Instant) -> End {
        let Exchanged { answer, conn } = exchanged;
        if let Some((conn, idle)) = conn {
            self.pool.put(conn, known.address, now + idle);
        }
        self.on_load(&answer.headers);
        if answer.status == header::STATUS_MISDIRECTED {
            self.forget(&known.incarnation);
            return End::NotRun { why: ErrorKind::NoUpstream, arrived: false };
        }
        if answer.headers.get(header::NOT_RUN).is_some() {
            return End::NotRun { why: ErrorKind::Overloaded, arrived: true };
        }
        let signed = answer.headers.get(header::SIGNATURE).is_some();
        let success = (200..300).contains(&answer.status);
        if success && !signed || answer.headers.get("content-encoding").is_some() {
            return End::Unknown(ErrorKind::MismatchedAnswer);
        }
        End::Answered(clean(answer))
    }

    /// Forgets an upstream at whose address another one answers.
    fn forget(&self, incarnation: &Incarnation) {
        log::warn!(upstream = &*incarnation.id; "another upstream answers at this address");
        self.lock().upstream.forget(incarnation);
        self.pool.clear();
        self.update_admission();
    }

    fn record(&self, offer: &Offer, known: &Announcement, end: &End, run_time: Duration) {
        // Running out of time is a matter of speed: some requests take longer than they may.
        let result = match end {
            End::Answered(answer) if answer.status < 500 => Some(run_time),
            End::Answered(answer) if answer.status == STATUS_DEADLINE => Some(run_time),
            End::Unknown(ErrorKind::UpstreamTimeout) => Some(run_time),
            End::Answered(_) | End::Unknown(_) => None,
            End::NotRun { .. } => return,
        };
        {
            let mut inner = self.lock();
            let calls = inner.running.iter().any(|run| run.id == offer.id && run.calls);
            // A failure of a request that made calls may be that of another service.
            if result.is_some() || !calls || matches!(end, End::Unknown(_)) {
                inner.gate.record_outcome(result.is_none(), self.clock.now());
            }
        }
        let unproved = self.deployment().is_rolling_out(&known.service, &known.version);
        {
            let mut inner = self.lock();
            inner.evidence.record(&known.version, &offer.route, result);
            if !unproved || inner.vetoed {
                return;
            }
            let Finding::Bad(why) = assess(&inner.evidence, &known.version, BAD_P_VALUE) else {
                return;
            };
            log::warn!(version = known.version.as_str(), why = &*why; "version vetoed here");
            inner.vetoed = true;
        }
        self.update_admission();
    }
}

/// Removes the headers of an answer that concern the connection it came on.
fn clean(mut answer: Response) -> Response {
    answer.headers.remove_hop_by_hop();
    answer.headers.remove("content-length");
    answer
}
