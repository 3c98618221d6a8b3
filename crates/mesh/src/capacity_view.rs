//! An ingress's view of the available capacity of each service, by priority.
//!
//! Owners tell their state with each reply. From the replies of the last few hundred milliseconds an
//! ingress knows which owners have capacity for a priority. A request for which nearly all of them
//! have none in time is refused without being offered. Some are still offered, so that an end of the
//! shortage is seen and lower priorities keep a share. Nothing is refused on few or old reports.
//! This handles demand above the capacity of a service for more than a few hundred milliseconds,
//! and the simultaneous start of all its upstreams.

use std::{
    collections::{BTreeMap, HashMap},
    sync::Arc,
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, ServiceName, ZoneName};

use crate::admission_queue::{OwnerState, Priority, PriorityClass};

/// Maximum age of a report. Slow periods of an upstream last about half as long.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(300);

/// The same for a service that requests call. A request that runs is worth more than one that is
/// refused while even a few of its calls get through, so nearly all owners must be full.
const CALLS_FULL_SHARE: f64 = 0.9;

/// Number of recent reports from which a service may count as full; all owners, if there are fewer.
const MIN_REPORTS: usize = 4;

/// Share of the reporting owners without capacity from which a service counts as full.
const FULL_SHARE: f64 = 0.6;

/// Share of the requests that are offered to a full service.
const PROBE_SHARE: f64 = 0.3;

/// Wait from which on fewer requests are offered to a full service: those that may wait longer find
/// capacity more often, and would pass more urgent ones by their number.
const PROBE_WAIT: Duration = Duration::from_millis(200);

/// Share of the requests that are offered to a full service if their answer will be late.
const LATE_PROBE_SHARE: f64 = 0.05;

/// Time without a refusal after which a shortage has ended, for the log.
const SHORTAGE_END: Duration = Duration::from_secs(2);

/// Time for which refusals of a route for the capacity of its calls count.
const CALLS_REPORT_AGE: Duration = Duration::from_millis(200);

/// Number of owners that must have refused a route for the capacity of its calls.
const MIN_CALLS_REPORTS: u32 = 2;

/// Starts per second that are assumed for owners that report none.
const MIN_RATE: f64 = 0.2;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Need<'a> {
    /// Service that is to run it.
    pub service: &'a ServiceName,
    /// Its route.
    pub route: &'a str,
    /// Its class and rank.
    pub priority: Priority,
    /// Longest wait until its start.
    pub max_wait: Duration,
}

/// Owners and ingresses of a service.
#[derive(Clone, Debug)]
pub struct Size {
    /// Number of owners in each zone that may get offers.
    pub owners: BTreeMap<ZoneName, usize>,
    /// Nodes that send offers.
    pub senders: usize,
}

/// Why a request is refused without an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shortage {
    /// The service has no capacity for it in time.
    Service,
    /// A service that requests of its route call has none.
    Calls,
}

impl Shortage {
    /// Returns the value of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Self::Service => "service-full",
            Self::Calls => "calls-full",
        }
    }
}

/// Decision on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Offer it; capacity is available or unknown.
    Offer,
    /// Offer it although the service is full.
    Probe(Shortage),
    /// Refuse it now.
    Refuse {
        /// What is short.
        shortage: Shortage,
        /// Time until capacity is expected for it.
        expected_wait: Duration,
    },
}

/// Begin or end of a shortage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The first request in a while was refused.
    Begun,
    /// No request has been refused for a while.
    Ended,
}

#[derive(Clone, Debug)]
struct Report {
    state: OwnerState,
    zone: ZoneName,
    /// Priority that the expected wait of the state is for.
    priority: Priority,
    at: Instant,
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < MAX_REPORT_AGE
    }

    /// Returns whether the owner has no capacity for a priority within `max_wait`.
    fn is_full(&self, priority: Priority, max_wait: Duration, now: Instant) -> bool {
        let turned_away = self.state.turned_away.is_some_and(|highest| priority >= highest);
        // A wait is a lower bound for all lower priorities and tells nothing about higher ones.
        let waits_too_long = priority >= self.priority && self.wait(now) > max_wait;
        turned_away || waits_too_long
    }

    fn wait(&self, now: Instant) -> Duration {
        self.state.expected_wait.saturating_sub(now.saturating_duration_since(self.at))
    }

    fn starts_per_second(&self) -> f64 {
        f64::from(self.state.starts_per_minute) / 60.0
    }
}

#[derive(Clone, Copy, Debug)]
struct CallsReport {
    refusals: u32,
    wait: Duration,
    at: Instant,
}

#[derive(Clone, Debug, Default)]
struct ServiceView {
    reports: HashMap<NodeName, Report>,
    /// Next time at which a refused client may return, so that returns keep to this node's share.
    next_return: Option<Instant>,
    last_refusal: Option<Instant>,
}

/// The available capacity of all services, as far as it is known.
#[derive(Clone, Debug, Default)]
pub struct CapacityView {
    services: HashMap<ServiceName, ServiceView>,
    calls: HashMap<Arc<str>, CallsReport>,
}

impl CapacityView {
    /// Records the state in an owner's reply to a request of a priority.
    pub fn on_state(
        &mut self,
        service: &ServiceName,
        (node, zone): (&NodeName, &ZoneName),
        priority: Priority,
        state: OwnerState,
        now: Instant,
    ) {
        let view = self.services.entry(service.clone()).or_default();
        let report = Report { state, zone: zone.clone(), priority, at: now };
        view.reports.insert(node.clone(), report);
    }

    /// Records whether an owner refused a request of a route because a service that it calls is
    /// full, and the wait for that service.
    pub fn on_calls(&mut self, route: &Arc<str>, wait: Option<Duration>, now: Instant) {
        let Some(wait) = wait else {
            self.calls.remove(route);
            return;
        };
        let report = self.calls.entry(route.clone());
        let report = report.or_insert(CallsReport { refusals: 0, wait, at: now });
        let is_old = now.saturating_duration_since(report.at) >= CALLS_REPORT_AGE;
        let refusals = if is_old { 1 } else { report.refusals + 1 };
        *report = CallsReport { refusals, wait, at: now };
    }

    /// Forgets an owner that is gone or did not reply.
    pub fn forget_owner(&mut self, node: &NodeName) {
        for view in self.services.values_mut() {
            view.reports.remove(node);
        }
    }

    /// Returns the factor by which requests that start now take longer than usual, if there are
    /// enough reports. Requests start at owners that are not in a slow period, so the lower quartile
    /// counts; it rises when all upstreams are cold.
    pub fn slowness(&self, service: &ServiceName, now: Instant) -> Option<f64> {
        let view = self.services.get(service)?;
        let fresh = view.reports.values().filter(|report| report.is_fresh(now));
        let mut percents: Vec<_> = fresh.map(|report| report.state.slowness).collect();
        percents.sort_unstable();
        let enough = percents.len() >= MIN_REPORTS;
        enough.then(|| f64::from(percents[percents.len() / 4].max(100)) / 100.0)
    }

    /// Returns whether an owner is known to have no capacity for a request.
    pub fn is_full(&self, node: &NodeName, need: &Need<'_>, now: Instant) -> bool {
        let report = self.services.get(need.service).and_then(|view| view.reports.get(node));
        report.is_some_and(|report| {
            report.is_fresh(now) && report.is_full(need.priority, need.max_wait, now)
        })
    }

    /// Returns the time until a service is expected to have capacity for a request, if at least
    /// `full_share` of the reporting owners are known to have none in time. That has to hold in each
    /// zone, because an ingress asks near owners first and knows least of zones with capacity.
    fn shortage(
        &self,
        need: &Need<'_>,
        size: &Size,
        full_share: f64,
        now: Instant,
    ) -> Option<Duration> {
        let view = self.services.get(need.service)?;
        let fresh: Vec<_> = view.reports.values().filter(|report| report.is_fresh(now)).collect();
        if fresh.len() < MIN_REPORTS.min(size.owners.values().sum()).max(1) {
            return None;
        }
        let is_full_zone = |zone: &ZoneName| {
            let reports = fresh.iter().filter(|report| report.zone == *zone);
            let full = reports.clone().filter(|r| r.is_full(need.priority, need.max_wait, now));
            let (count, full) = (reports.count(), full.count());
            count > 0 && full as f64 >= count as f64 * full_share
        };
        if !size.owners.keys().all(is_full_zone) {
            return None;
        }
        let mut waits: Vec<_> = fresh.iter().map(|report| report.wait(now)).collect();
        waits.sort_unstable();
        let median = waits.get(waits.len() / 2).copied().unwrap_or_default();
        Some(median.max(need.max_wait / 2))
    }

    /// Returns the expected wait for a service that a request would call, if that is known to have no
    /// capacity for the calls in time.
    pub fn calls_shortage(&self, need: &Need<'_>, size: &Size, now: Instant) -> Option<Duration> {
        self.shortage(need, size, CALLS_FULL_SHARE, now)
    }

    /// Decides whether a request is offered; `draw` is uniform in 0..1.
    pub fn decide(&mut self, need: &Need<'_>, size: &Size, now: Instant, draw: f64) -> Verdict {
        let (shortage, wait) = match self.calls_wait(need.route, now) {
            Some(wait) => (Shortage::Calls, wait),
            None => match self.shortage(need, size, FULL_SHARE, now) {
                Some(wait) => (Shortage::Service, wait),
                None => return Verdict::Offer,
            },
        };
        let probe_share = match need.priority.0 {
            PriorityClass::Late | PriorityClass::Hedge => LATE_PROBE_SHARE,
            PriorityClass::Nested | PriorityClass::Timely => PROBE_SHARE,
        };
        let patience = need.max_wait.as_secs_f64() / PROBE_WAIT.as_secs_f64();
        let probe_share = probe_share / patience.max(1.0);
        if draw < probe_share {
            return Verdict::Probe(shortage);
        }
        let expected_wait = self.plan_return(need.service, wait, size, now);
        Verdict::Refuse { shortage, expected_wait }
    }

    fn calls_wait(&self, route: &str, now: Instant) -> Option<Duration> {
        let report = self.calls.get(route)?;
        let is_fresh = now.saturating_duration_since(report.at) < CALLS_REPORT_AGE;
        (is_fresh && report.refusals >= MIN_CALLS_REPORTS).then_some(report.wait)
    }

    /// Returns the time after which a client that is refused now should return: the returns to this
    /// node follow each other at its share of the service's rate.
    fn plan_return(
        &mut self,
        service: &ServiceName,
        wait: Duration,
        size: &Size,
        now: Instant,
    ) -> Duration {
        let view = self.services.entry(service.clone()).or_default();
        view.reports.retain(|_, report| report.is_fresh(now));
        let rates = view.reports.values().map(Report::starts_per_second);
        let mean_rate = rates.sum::<f64>() / view.reports.len().max(1) as f64;
        let rate =
            mean_rate * size.owners.values().sum::<usize>() as f64 / size.senders.max(1) as f64;
        let interval = Duration::from_secs_f64(1.0 / rate.max(MIN_RATE));
        let earliest = now + wait;
        let at = view.next_return.map_or(earliest, |next| next.max(earliest));
        // Beyond twice the wait, further returns would only be told a time that no client waits for.
        let at = at.min(earliest + wait);
        view.next_return = Some(at + interval);
        at.saturating_duration_since(now)
    }

    /// Records that a request to a service was or was not refused without an offer; returns whether
    /// a shortage has begun or ended by that.
    pub fn on_decided(
        &mut self,
        service: &ServiceName,
        refused: bool,
        now: Instant,
    ) -> Option<Change> {
        if !refused && !self.services.contains_key(service) {
            return None;
        }
        let view = self.services.entry(service.clone()).or_default();
        if refused {
            let change = view.last_refusal.is_none().then_some(Change::Begun);
            view.last_refusal = Some(now);
            return change;
        }
        let last = view.last_refusal?;
        if now.saturating_duration_since(last) < SHORTAGE_END {
            return None;
        }
        view.last_refusal = None;
        Some(Change::Ended)
    }
}
