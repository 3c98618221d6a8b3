//! Sends the usage reports that the store holds to the platform.
//!
//! A report that is not acknowledged is sent again, exactly as it is. The duty is checked after the
//! connection is open, immediately before the report is written.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::future::timeout;
use oleandertiller_model::Clock;
use oleandertiller_platform::usage::{
    FENCING_TOKEN, HOLDER, ReportAnswer, USAGE_PATH, encode_report,
};

use super::{
    daemon::Shared,
    http::{Headers, HttpConn, encode_request, response_framing},
    metrics::Dependency,
    usage_view::{PendingReport, usage_duty},
};

/// Interval at which the poster looks for a report to send.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// Timeout of an answer. Reports are due seconds later, and a repeated one does no harm.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Pause after the first failed call; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after failed calls: several attempts fit into the time until a report is due.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);

/// Maximum size of the head and of the body of an answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 10;

/// Sends reports while this process holds the duty.
pub struct UsagePoster<C: Clock> {
    shared: Arc<Shared<C>>,
    address: SocketAddr,
    pause: Duration,
}

impl<C: Clock> UsagePoster<C> {
    /// Creates a poster for the platform's address.
    pub fn new(shared: Arc<Shared<C>>, address: SocketAddr) -> Self {
        Self { shared, address, pause: FIRST_PAUSE }
    }

    /// Sends reports for the life of the process.
    pub async fn run(mut self) {
        loop {
            let pause = match self.shared.pending_report() {
                Some(report) => self.send(report).await,
                None => POLL_INTERVAL,
            };
            self.shared.timers.at(self.shared.clock.now() + pause).await;
        }
    }

    /// Sends a report; returns the pause before the next one.
    async fn send(&mut self, report: PendingReport) -> Duration {
        let PendingReport { token, window, counts } = report;
        let body = encode_report(window, &counts);
        let started = self.shared.clock.now();
        let status = self.post(token, &body).await;
        let time = self.shared.clock.now().saturating_duration_since(started);
        let answer = status.map(ReportAnswer::from_status);
        let outcome = match answer {
            Some(ReportAnswer::Accepted) => "accepted",
            Some(ReportAnswer::TokenTooLow) => "token-too-low",
            Some(ReportAnswer::Retry) => "refused",
            None => "lost",
        };
        self.shared.metrics.record_call(Dependency::Usage, "report", outcome, time);
        log::info!(window = window, token = token, tenants = counts.len(), status = status,
            ms = time.as_millis() as u64; "usage report sent");
        match answer {
            Some(ReportAnswer::Accepted) => {
                self.shared.deployment().usage.acknowledged.insert(window);
                self.pause = FIRST_PAUSE;
                Duration::ZERO
            }
            Some(ReportAnswer::TokenTooLow) => {
                log::warn!(token = token; "usage reports are left to another node");
                self.shared.deployment().usage.rejected = Some(token);
                let duty = usage_duty();
                if let Some(revision) = self.shared.leadership_revision(&duty) {
                    self.shared.give_up_leadership(&duty, revision).await;
                }
                POLL_INTERVAL
            }
            Some(ReportAnswer::Retry) | None => {
                let pause = self.pause;
                self.pause = (pause * 2).min(MAX_PAUSE);
                pause
            }
        }
    }

    /// Posts a report; returns the status of the answer.
    async fn post(&self, token: u64, body: &[u8]) -> Option<u16> {
        let conn = timeout(CONNECT_TIMEOUT, HttpConn::connect(self.address)).await;
        let mut conn = conn.ok()?.ok()?;
        let mut headers = Headers::default();
        headers.set("Host", self.address.to_string());
        headers.set("Content-Type", "application/json");
        headers.set("Connection", "close");
        headers.set(HOLDER, self.shared.settings.node.name.as_str());
        headers.set(FENCING_TOKEN, token.to_string());
        let request = encode_request("POST", USAGE_PATH, &headers, body);
        // The connection may have taken longer than the lease lasted.
        if !self.shared.holds_usage_duty() {
            return None;
        }
        let exchange = async {
            conn.write(&request).await.ok()?;
            let head = conn.read_response(MAX_ANSWER_BYTES).await.ok()?;
            let framing = response_framing(head.status, &head.headers).ok()?;
            // The body says nothing that the status does not say.
            let _ = conn.read_body(framing, MAX_ANSWER_BYTES).await;
            Some(head.status)
        };
        timeout(ANSWER_TIMEOUT, exchange).await.ok()?
    }
}
