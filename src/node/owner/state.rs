//! State of the owner: its limiter, its upstream, and the requests that wait for a slot.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::Arc,
    task::Waker,
    time::{Duration, Instant},
};

use oleandertiller_model::{Lifecycle, LoadReport, Revision, ServiceName, VersionName};
use oleandertiller_routing::limit::{Admission, Completion, Decision, Limiter};
use serde::Deserialize;

/// Announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Announcement {
    /// Service that the upstream provides.
    pub service: ServiceName,
    /// Version that the upstream runs.
    pub version: VersionName,
    /// Id of the instance; another id means a restart.
    pub instance: Arc<str>,
    /// Address at which the upstream takes requests.
    pub address: SocketAddr,
    /// Number of requests that it serves concurrently.
    pub slots: u32,
    /// Life cycle state of the upstream.
    #[serde(rename = "state")]
    pub lifecycle: Lifecycle,
}

/// A request that waits for a slot.
#[derive(Default)]
pub struct Waiter {
    /// Decision of the limiter; `None` while the request is queued.
    pub decision: Option<Admission>,
    /// Wakes the task of the request.
    pub waker: Option<Waker>,
}

/// State of the owner that its lock protects.
pub struct State {
    /// Concurrency limit and admission queue.
    pub limiter: Limiter,
    /// Last announcement of the upstream; `None` when it has none or it has expired.
    pub upstream: Option<Arc<Announcement>>,
    /// When the last announcement was received.
    pub announced_at: Option<Instant>,
    /// Waiting requests by ticket.
    pub waiting: HashMap<u64, Waiter>,
    /// Ticket of the next request.
    pub next_ticket: u64,
    sequence: u64,
    unknown_version: VersionName,
}

impl State {
    /// Creates the state without an upstream.
    pub fn new(limiter: Limiter) -> Self {
        Self {
            limiter,
            upstream: None,
            announced_at: None,
            waiting: HashMap::new(),
            next_ticket: 0,
            sequence: 0,
            unknown_version: VersionName::from("unknown"),
        }
    }

    /// Processes an announcement; returns whether it is of another instance than the last one.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> bool {
        let before = self.upstream.as_ref();
        let restarted = before.is_none_or(|known| known.instance != announcement.instance);
        let (lifecycle, slots) = (announcement.lifecycle, announcement.slots);
        self.limiter.on_announce(lifecycle, slots, restarted, now);
        if self.upstream.as_deref() != Some(&announcement) {
            self.upstream = Some(Arc::new(announcement));
        }
        self.announced_at = Some(now);
        restarted
    }

    /// Marks the upstream as absent when it has not announced itself for `timeout`.
    pub fn expire_announcement(&mut self, timeout: Duration, now: Instant) {
        let late = |at: Instant| now.saturating_duration_since(at) >= timeout;
        if self.announced_at.is_some_and(late) {
            self.limiter.on_announce(Lifecycle::Absent, 0, false, now);
            self.announced_at = None;
            self.upstream = None;
        }
    }

    /// Releases a slot and passes on the decisions that follow.
    pub fn release(&mut self, completion: Completion, now: Instant) {
        let decisions = self.limiter.release(completion, now);
        self.apply_decisions(decisions, now);
    }

    /// Passes decisions to the waiting requests and wakes them.
    pub fn apply_decisions(&mut self, decisions: impl IntoIterator<Item = Decision>, now: Instant) {
        let mut unclaimed = self.deliver(decisions);
        // Slots granted to requests that have gone are released to the next in the queue.
        while unclaimed > 0 {
            unclaimed -= 1;
            let decisions = self.limiter.release(Completion::Ignored, now);
            unclaimed += self.deliver(decisions);
        }
    }

    /// Delivers decisions; returns the number of slots granted to requests that have gone.
    fn deliver(&mut self, decisions: impl IntoIterator<Item = Decision>) -> usize {
        let mut unclaimed = 0;
        for decision in decisions {
            match self.waiting.get_mut(&decision.ticket) {
                Some(waiting) => {
                    waiting.decision = Some(decision.admission);
                    waiting.waker.take().into_iter().for_each(Waker::wake);
                }
                None => unclaimed += usize::from(decision.admission == Admission::Run),
            }
        }
        unclaimed
    }

    /// Creates the load report for an answer.
    pub fn report(&mut self, draining: bool, revision: Revision) -> LoadReport {
        self.sequence += 1;
        let limiter = &self.limiter;
        let lifecycle = if draining { Lifecycle::Draining } else { limiter.lifecycle() };
        let version = self.upstream.as_ref().map_or(&self.unknown_version, |known| &known.version);
        LoadReport {
            sequence: self.sequence,
            in_flight: limiter.in_flight(),
            limit: limiter.limit(),
            queued: limiter.queued(),
            queue_delay_us: micros(limiter.queue_delay()),
            service_time_us: micros(limiter.service_time()),
            lifecycle,
            version: version.clone(),
            revision,
        }
    }
}

fn micros(time: Duration) -> u32 {
    u32::try_from(time.as_micros()).unwrap_or(u32::MAX)
}
