//! How many requests a version gets while it is rolled out.
//!
//! The operators limit the requests to a bad version between the order and its deadline, and a
//! version may turn bad at any moment. The limit is therefore a budget that also holds if no fault
//! is ever found: the leader of the rollout adds up what the owners have started and grants them
//! further requests only as far as the budget covers them. An owner starts nothing without a grant,
//! and a grant lapses soon, so a leader that is stopped or cut off, a silent store, late news and
//! restarts of owners lead to fewer requests to the new version, not to more. The old version serves
//! what the new one refuses. This answers the load of a service that is served by both versions, at
//! any rate and any number of upstreams.

use std::{
    collections::{BTreeMap, VecDeque},
    time::{Duration, Instant},
};

use oleandertiller_model::{NodeName, VersionName};
use serde::{Deserialize, Serialize};

/// Maximum number of requests that a bad version may get.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureLimit {
    /// Share of all requests of the service between the order and the end of its time.
    pub share: f64,
    /// Requests in addition to the share.
    pub extra: f64,
}

impl ExposureLimit {
    /// Returns the number of requests that a bad version may have got by now.
    pub fn allowed(&self, counts: RequestCounts) -> f64 {
        self.share * counts.all as f64 + self.extra
    }

    /// Returns how many requests in a row the new version may still get. They count as requests of
    /// the service, too.
    pub fn remaining(&self, counts: RequestCounts) -> f64 {
        let room = self.allowed(counts) - counts.new as f64;
        if self.share >= 1.0 { f64::MAX } else { (room / (1.0 - self.share)).max(0.0) }
    }
}

/// Requests since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestCounts {
    /// Requests that the service's upstreams got.
    pub all: u64,
    /// Requests that upstreams of the new version got.
    pub new: u64,
}

/// What an owner reports of the requests since an order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct OwnerCounts {
    /// Revision of the order that the owner knows; 0 without one.
    pub order_revision: u64,
    /// Requests started since the owner learned of the order, by version.
    pub started: BTreeMap<VersionName, u64>,
    /// Number of requests of the new version up to which the owner may start further ones.
    pub granted: u64,
}

/// Time after which an owner stops using a grant: a few assessments of the leader.
const GRANT_LIFETIME: Duration = Duration::from_secs(1);

/// Permission to start requests of the version that is rolled out.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Grant {
    /// Revision of the order.
    pub order_revision: u64,
    /// Revision at which the leader took over; grants of an earlier leader are ignored.
    pub fence: u64,
    /// Total number of requests since the order that the owner may start, so that a grant that
    /// arrives twice adds nothing.
    pub up_to: u64,
}

/// Counts the requests that an owner starts during a rollout, and limits them to what was granted.
#[derive(Clone, Debug, Default)]
pub struct OwnerExposure {
    /// When this node received the order. It stays the same if a restore of the store gives the
    /// order another revision.
    order_at: Option<Instant>,
    order_revision: u64,
    started: BTreeMap<VersionName, u64>,
    /// Latest grant, and when it lapses.
    grant: Option<(Grant, Instant)>,
}

impl OwnerExposure {
    /// Updates the order of the owner's service, with its revision and when it was received; a new
    /// order begins with new counts.
    pub fn set_order(&mut self, order: Option<(u64, Instant)>) {
        let order_at = order.map(|(_, at)| at);
        if order_at != self.order_at {
            *self = Self { order_at, ..Self::default() };
        }
        self.order_revision = order.map_or(0, |(revision, _)| revision);
    }

    /// Takes over a grant, unless it is for another order or from an earlier leader.
    pub fn on_grant(&mut self, grant: Grant, now: Instant) {
        // After a restore of the store a new leader has a lower fence than one before it.
        let in_force = self.grant.as_ref().filter(|(_, lapses_at)| now < *lapses_at);
        let known_fence = in_force.map_or(0, |(known, _)| known.fence);
        if grant.order_revision == self.order_revision && grant.fence >= known_fence {
            self.grant = Some((grant, now + GRANT_LIFETIME));
        }
    }

    /// Counts a request that is to be sent to the upstream. If the version needs a grant and none
    /// covers the request, it returns `false` and counts nothing.
    pub fn try_start(&mut self, version: &VersionName, needs_grant: bool, now: Instant) -> bool {
        if needs_grant && self.started(version) >= self.granted(now) {
            return false;
        }
        if self.order_at.is_some() {
            *self.started.entry(version.clone()).or_default() += 1;
        }
        true
    }

    /// Takes back a request that was counted but not sent to the upstream.
    pub fn on_not_sent(&mut self, version: &VersionName) {
        if let Some(started) = self.started.get_mut(version) {
            *started = started.saturating_sub(1);
        }
    }

    /// Returns the counts for the leader.
    pub fn counts(&self, now: Instant) -> OwnerCounts {
        OwnerCounts {
            order_revision: self.order_revision,
            started: self.started.clone(),
            granted: self.granted(now),
        }
    }

    fn started(&self, version: &VersionName) -> u64 {
        self.started.get(version).copied().unwrap_or(0)
    }

    /// Returns the number of requests that may be started in all, 0 if the grant has lapsed.
    fn granted(&self, now: Instant) -> u64 {
        let valid = self.grant.as_ref().filter(|(grant, lapses_at)| {
            now < *lapses_at && grant.order_revision == self.order_revision
        });
        valid.map_or(0, |(grant, _)| grant.up_to)
    }
}

impl Grant {
    /// Number of requests that covers all after the rollout has completed.
    pub const UNLIMITED: u64 = u64::MAX;
}

/// Time for which the leader grants requests in advance: two assessments and a delayed message.
const GRANT_HORIZON: Duration = Duration::from_millis(600);

/// Number of owners that get grants while the new version has only a share: its owners are filled
/// one after the other, and some of them are in a slow period.
const SHARE_OWNERS: usize = 4;

/// Minimum number of requests that are granted in advance.
const MIN_GRANT: f64 = 3.0;

/// Ratio of two rates above which the share was raised rather than the load has grown.
const NEW_SHARE_RATIO: f64 = 1.5;

/// Ratio of the granted to the expected requests, for bursts within [`GRANT_HORIZON`].
const GRANT_EXCESS: f64 = 1.5;

/// Time over which the present rate is measured.
const RATE_TIME: Duration = Duration::from_millis(1_500);

/// Minimum time over which it is measured.
const MIN_RATE_TIME: Duration = Duration::from_millis(1_100);

/// Measures the present rate of a service's requests from their growing number.
#[derive(Clone, Debug, Default)]
pub struct RequestRate(VecDeque<(Instant, u64)>);

impl RequestRate {
    /// Records the number of requests in the time since the order; returns the present rate per
    /// second, or the mean rate if the present one has not been measured for long enough.
    pub fn record(&mut self, requests: u64, since_order: Duration, now: Instant) -> Option<f64> {
        self.0.push_back((now, requests));
        let age = |at: Instant| now.saturating_duration_since(at);
        while self.0.get(1).is_some_and(|(at, _)| age(*at) >= RATE_TIME) {
            self.0.pop_front();
        }
        let (since, before) = *self.0.front()?;
        let (counted, time) = match age(since) >= MIN_RATE_TIME {
            true => (requests.saturating_sub(before), age(since)),
            false => (requests, since_order),
        };
        (time >= MIN_RATE_TIME).then(|| counted as f64 / time.as_secs_f64())
    }
}

/// Share and rate for which the new version's owners need grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Demand {
    /// Share of the new version.
    pub share: f64,
    /// Requests of the service per second.
    pub per_second: f64,
    /// Maximum number of requests to grant in addition to those granted before.
    pub room: f64,
}

/// What the leader knows of an owner.
#[derive(Clone, Copy, Debug, Default)]
struct OwnerAccount {
    counts: RequestCounts,
    /// Number of requests of the new version up to which it may have started some.
    granted: u64,
    /// Whether it answered the latest request for its report.
    answered: bool,
}

impl OwnerAccount {
    fn committed(&self) -> u64 {
        self.granted.max(self.counts.new)
    }
}

/// The leader's account of the requests since an order.
#[derive(Clone, Debug, Default)]
pub struct ExposureLedger {
    /// Accounts by owner and incarnation, so that none is lost when an owner restarts.
    owners: BTreeMap<(NodeName, u64), OwnerAccount>,
    /// Requests to the new version that an earlier leader recorded.
    recorded: u64,
    /// Requests that the share allows to grant, when that was last updated, and the rate at which
    /// it grows.
    pace: f64,
    paced_at: Option<Instant>,
    paced_rate: f64,
}

impl ExposureLedger {
    /// Marks all owners as unanswered, before their reports are collected.
    pub fn begin_round(&mut self) {
        self.owners.values_mut().for_each(|account| account.answered = false);
    }

    /// Records the number of requests to the new version that the stored plan holds.
    pub fn on_recorded(&mut self, requests: u64) {
        self.recorded = self.recorded.max(requests);
    }

    /// Records the counts of an owner, if they belong to the order with `order_revision`, which
    /// introduces `version`.
    pub fn on_counts(
        &mut self,
        owner: (NodeName, u64),
        counts: &OwnerCounts,
        order_revision: u64,
        version: &VersionName,
    ) {
        if counts.order_revision == order_revision {
            let new = counts.started.get(version).copied().unwrap_or(0);
            let all = counts.started.values().sum();
            let granted = counts.granted;
            let counts = RequestCounts { all, new };
            self.owners.insert(owner, OwnerAccount { counts, granted, answered: true });
        }
    }

    /// Returns the requests of all owners. Owners that do not answer may have used their grants.
    pub fn counts(&self) -> RequestCounts {
        self.sum(|account| if account.answered { account.counts.new } else { account.committed() })
    }

    /// Returns the requests of all owners if all of them use their grants.
    pub fn committed(&self) -> RequestCounts {
        self.sum(OwnerAccount::committed)
    }

    fn sum(&self, new: impl Fn(&OwnerAccount) -> u64) -> RequestCounts {
        let all = self.owners.values().map(|account| account.counts.all).sum();
        let new: u64 = self.owners.values().map(new).sum();
        RequestCounts { all, new: new.max(self.recorded) }
    }

    /// Grants requests to the new version's owners, which are sorted as the ingresses ask them.
    /// Returns for each the total number of requests that it may start, or `None` if its grant is
    /// to lapse, so that another owner can have what it does not use.
    pub fn grant(
        &mut self,
        owners: &[(NodeName, u64)],
        demand: Demand,
        now: Instant,
    ) -> Vec<Option<u64>> {
        let rate = demand.share * demand.per_second * GRANT_EXCESS;
        let horizon = (rate * GRANT_HORIZON.as_secs_f64()).max(MIN_GRANT);
        let paced_at = self.paced_at.replace(now).unwrap_or(now);
        let elapsed = now.saturating_duration_since(paced_at).as_secs_f64();
        // The new version must not get the requests of an old version that is gone.
        self.pace = (self.pace + rate * elapsed).min(horizon);
        if rate > self.paced_rate * NEW_SHARE_RATIO {
            self.pace = horizon;
        }
        self.paced_rate = rate;
        // Outstanding and missing requests of the owners that can be granted any.
        let mut needs = Vec::with_capacity(owners.len());
        for (index, owner) in owners.iter().enumerate() {
            let wanted = match demand.share >= 1.0 {
                true => horizon / owners.len() as f64 + 1.0,
                false if index < SHARE_OWNERS => horizon / f64::from(1 << index),
                false => 0.0,
            };
            let account = self.owners.get(owner).filter(|account| account.answered);
            needs.push(account.and_then(|account| {
                let outstanding = (account.committed() - account.counts.new) as f64;
                (outstanding <= wanted.ceil()).then(|| (wanted - outstanding).max(0.0))
            }));
        }
        let mut room = demand.room.min(self.pace).max(0.0);
        let scale = match demand.share >= 1.0 {
            true => (room / needs.iter().flatten().sum::<f64>().max(1.0)).min(1.0),
            false => 1.0,
        };
        let grants = owners.iter().zip(needs).map(|(owner, missing)| {
            let (account, missing) = self.owners.get_mut(owner).zip(missing)?;
            let added = (missing * scale).ceil().min(room.floor());
            room -= added;
            self.pace -= added;
            account.granted = account.committed() + added as u64;
            Some(account.granted)
        });
        grants.collect()
    }
}
