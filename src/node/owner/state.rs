//! What the owner knows of its upstream, and the requests that wait for a slot.

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

/// What an upstream says about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Announcement {
    /// Service of the upstream.
    pub service: ServiceName,
    /// Version of the upstream.
    pub version: VersionName,
    /// Id of the instance; another id means a restart.
    pub instance: Arc<str>,
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Requests that it serves at once.
    pub slots: u32,
    /// Its life cycle.
    #[serde(rename = "state")]
    pub lifecycle: Lifecycle,
}

/// A request that waits for a slot.
#[derive(Default)]
pub struct Waiting {
    /// The limiter's decision, once taken.
    pub decision: Option<Admission>,
    /// Task that waits.
    pub waker: Option<Waker>,
}

/// State of the owner under its lock.
pub struct State {
    /// The concurrency limit.
    pub limiter: Limiter,
    /// Last announcement.
    pub upstream: Option<Arc<Announcement>>,
    /// When it was received.
    pub announced: Option<Instant>,
    /// Requests that wait, by ticket.
    pub waiting: HashMap<u64, Waiting>,
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
            announced: None,
            waiting: HashMap::new(),
            next_ticket: 0,
            sequence: 0,
            unknown_version: VersionName::from("unknown"),
        }
    }

    /// Takes an announcement; returns whether the instance is another one.
    pub fn announce(&mut self, announcement: Announcement, now: Instant) -> bool {
        let before = self.upstream.as_ref();
        let restarted = before.is_none_or(|known| known.instance != announcement.instance);
        let (lifecycle, slots) = (announcement.lifecycle, announcement.slots);
        self.limiter.on_announce(lifecycle, slots, restarted, now);
        if self.upstream.as_deref() != Some(&announcement) {
            self.upstream = Some(Arc::new(announcement));
        }
        self.announced = Some(now);
        restarted
    }

    /// Takes the upstream for absent when its announcements are missing for `timeout`.
    pub fn expire_announcement(&mut self, timeout: Duration, now: Instant) {
        let late = |at: Instant| now.saturating_duration_since(at) >= timeout;
        if self.announced.is_some_and(late) {
            self.limiter.on_announce(Lifecycle::Absent, 0, false, now);
            self.announced = None;
            self.upstream = None;
        }
    }

    /// Gives a slot back and wakes the requests whose turn has come.
    pub fn release(&mut self, ended: Completion, now: Instant) {
        let decisions = self.limiter.release(ended, now);
        self.decide(decisions, now);
    }

    /// Passes decisions to the requests that wait for them.
    pub fn decide(&mut self, decisions: impl IntoIterator<Item = Decision>, now: Instant) {
        let mut unused = self.deliver(decisions);
        // Slots for which nobody waits any more go to the next.
        while unused > 0 {
            unused -= 1;
            let decisions = self.limiter.release(Completion::Ignored, now);
            unused += self.deliver(decisions);
        }
    }

    /// Returns the number of granted slots for which nobody waits.
    fn deliver(&mut self, decisions: impl IntoIterator<Item = Decision>) -> usize {
        let mut unused = 0;
        for decision in decisions {
            match self.waiting.get_mut(&decision.ticket) {
                Some(waiting) => {
                    waiting.decision = Some(decision.admission);
                    waiting.waker.take().into_iter().for_each(Waker::wake);
                }
                None => unused += usize::from(decision.admission == Admission::Run),
            }
        }
        unused
    }

    /// Makes the load report for an answer.
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
