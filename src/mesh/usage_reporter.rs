//! Holds the duty of reporting usage: collects the owners' counts and writes final ones to the store.
//!
//! Any node can take the duty. The write that takes it also chooses its fencing token. Final counts
//! are written under the conditions that the leadership and the reports are unchanged; only what the
//! store is known to hold is sent to the platform ([`super::usage_poster`]).

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use futures_util::future::join_all;
use oleandertiller_mesh::{
    leadership::{Candidate, LeaderStep},
    members::NodeRecord,
    usage::{ClockOffsets, Collector, Counts, OwnerId, Tenure, UsageState, Windows},
};
use oleandertiller_model::{Clock, codec};
use oleandertiller_platform::store::{Answer, Call, Item, Transaction};

use super::{
    daemon::Shared,
    leadership::LEADER_PREFIX,
    usage_counter::{BackupCounts, CountsReply, CountsRequest, USAGE_COUNTS_PATH, unix_time},
    usage_view::{USAGE_KEY, read_usage_state, usage_duty},
};

/// Interval at which the duty and the end of windows are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which counts are collected; those of an owner that ends are lost since the last time.
/// With [`CHECK_INTERVAL`] it makes about a second.
const COLLECT_INTERVAL: Duration = Duration::from_millis(800);

/// Number of owners that keep a copy of the reporter's own counts, which end with its process.
const BACKUPS: usize = 3;

/// Timeout of requesting the counts of an owner.
const COUNTS_TIMEOUT: Duration = Duration::from_millis(400);

/// Pause after an attempt to take the duty, in which the watch tells what became of it.
const TAKE_PAUSE: Duration = Duration::from_millis(2_000);

/// Takes the duty of reporting usage and carries it out.
pub struct UsageReporter<C: Clock> {
    shared: Arc<Shared<C>>,
    windows: Windows,
    candidate: Candidate,
    tenure: Tenure,
    collector: Collector,
    clocks: ClockOffsets,
    /// True time at the last collection. It is continued by the monotonic clock, so that a wall clock
    /// that is set ends no window early.
    known_time: Option<(Instant, Duration)>,
    next_collection: Instant,
    next_take: Instant,
}

impl<C: Clock> UsageReporter<C> {
    /// Creates a reporter that does not have the duty; a holder keeps it for at least `tenure`.
    pub fn new(shared: Arc<Shared<C>>, windows: Windows, tenure: Duration) -> Self {
        let now = shared.clock.now();
        Self {
            candidate: Candidate::new(shared.process.clone()),
            shared,
            windows,
            tenure: Tenure::new(tenure),
            collector: Collector::new(windows),
            clocks: ClockOffsets::default(),
            known_time: None,
            next_collection: now,
            next_take: now,
        }
    }

    /// Takes the duty when nobody has it, and carries it out until the process stops.
    pub async fn run(mut self) {
        let mut held = false;
        loop {
            self.shared.timers.at(self.shared.clock.now() + CHECK_INTERVAL).await;
            if self.shared.is_stopping() {
                self.shared.metrics.usage.set_duty(false);
                self.resign().await;
                continue;
            }
            let holds = self.holds().await;
            if holds != held {
                held = holds;
                self.shared.metrics.usage.set_duty(held);
                let deployment = self.shared.deployment();
                let token = deployment.usage.stored().map(|(_, state)| state.token);
                log::info!(held = held, token = token; "duty of reporting usage");
            }
            if held {
                self.collect().await;
                self.write_reports().await;
            }
        }
    }

    /// Gives up the duty, so that another node can take it.
    async fn resign(&self) {
        let duty = usage_duty();
        if let Some(revision) = self.shared.leadership_revision(&duty) {
            self.shared.give_up_leadership(&duty, revision).await;
        }
    }

    /// Returns whether this process holds the duty, after trying to take it if nobody does.
    async fn holds(&mut self) -> bool {
        if !self.shared.store_read.is_set() {
            return false;
        }
        let now = self.shared.clock.now();
        let (known, lesser_names, may_end, is_own) = {
            let deployment = self.shared.deployment();
            let usage = &deployment.usage;
            let own = &self.shared.settings.node.name;
            let members = deployment.members.iter().map(|member| &member.record);
            let lesser = members.filter(|record| record.node < *own && !record.stopping).count();
            let rejected = |state: &UsageState| usage.rejected == Some(state.token);
            let latest = usage.latest();
            // The node of the present holder may go on at once, unless its token was rejected.
            let other = latest.filter(|state| state.holder.node != *own || rejected(state));
            let may_end = self.tenure.may_end(other, now);
            let era = self.shared.store.era();
            let stored = usage.stored();
            let is_own =
                stored.is_some_and(|(_, state)| state.is_held_by(&self.shared.process, era));
            (deployment.leaderships.get(&usage_duty()).cloned(), lesser, may_end, is_own)
        };
        let step = match self.candidate.step(known.as_ref(), lesser_names, now) {
            LeaderStep::Lead if is_own => return self.shared.holds_usage_duty(),
            step => step,
        };
        let may_take = step == LeaderStep::Lead || step == LeaderStep::TakeOver && may_end;
        if may_take && now >= self.next_take {
            self.next_take = now + TAKE_PAUSE;
            self.take(known.map(|leadership| leadership.revision)).await;
        }
        self.shared.holds_usage_duty()
    }

    /// Tries to take the duty, or, while already leading at the revision `fence`, a new token.
    async fn take(&mut self, fence: Option<u64>) {
        let Some(lease) = self.shared.valid_lease() else { return };
        if self.shared.deployment().usage.latest().is_none() {
            // The first window depends on the clock, which may be off.
            self.collect().await;
        }
        let now = self.true_time();
        let state = {
            let mut deployment = self.shared.deployment();
            deployment.usage.lease = Some(lease);
            let usage = &deployment.usage;
            UsageState::taken(
                usage.known(),
                self.shared.process.clone(),
                self.shared.store.era(),
                usage.rejected,
                self.windows.first_known(now),
                self.windows.at(now),
            )
        };
        log::info!(token = state.token, next = state.next, reports = state.reports.len();
            "taking the duty of reporting usage");
        let Some(mut transaction) = self.write_of(&state) else { return };
        if let Some(fence) = fence {
            transaction.conditions.push((format!("{LEADER_PREFIX}{}", usage_duty()), fence));
            self.write(transaction, state, fence).await;
        } else if let Some(items) = self.shared.take_leadership(&usage_duty(), &transaction).await {
            self.on_conflict(&items);
        }
    }

    /// Collects the counts of all owners, unless that was done recently.
    async fn collect(&mut self) {
        let now = self.shared.clock.now();
        if now < self.next_collection {
            return;
        }
        self.next_collection = now + COLLECT_INTERVAL;
        let shared = &self.shared;
        let first_known = self.windows.first_known(self.true_time());
        let next = shared.deployment().usage.stored().map_or(0, |(_, state)| state.next);
        let from = next.max(first_known);
        let owners = self.owners();
        let until = now + COUNTS_TIMEOUT;
        let clocks = &self.clocks;
        let own_name = &shared.settings.node.name;
        let own_counts = BackupCounts {
            owner: (own_name.clone(), shared.process.incarnation),
            counts: shared.owner.usage.since(from),
        };
        let others = owners.iter().filter(|record| record.node != *own_name);
        let keepers: Vec<_> = others.take(BACKUPS).map(|record| &record.node).collect();
        let (own_counts, keepers) = (&own_counts, &keepers);
        let requests = owners.iter().map(|record| async move {
            let began = unix_time(shared.clock.wall());
            if record.node == *own_name {
                let correction = Some(clocks.own_correction());
                let request = CountsRequest { from, correction, backup: None };
                let incarnation = shared.process.incarnation;
                let reply = shared.owner.usage.answer(request, incarnation, shared.clock.wall());
                return Some((record, began, began, reply));
            }
            let backup = keepers.contains(&&record.node).then(|| own_counts.clone());
            let correction = clocks.correction(&record.node);
            let request = CountsRequest { from, correction, backup };
            let request = codec::encode(&request);
            let request = shared.client.request(record.inner, USAGE_COUNTS_PATH, request, until);
            let bytes = request.await.ok()?;
            let ended = unix_time(shared.clock.wall());
            Some((record, began, ended, codec::decode::<CountsReply>(&bytes).ok()?))
        });
        let replies = join_all(requests).await;
        let missing = replies.iter().filter(|reply| reply.is_none()).count();
        if missing > 0 {
            log::info!(missing = missing, owners = owners.len();
                "counts of some owners are missing");
        }
        let replies: Vec<_> = replies.into_iter().flatten().collect();
        for (record, began, ended, reply) in &replies {
            if record.node != *own_name {
                self.clocks.on_exchange(&record.node, *began, *ended, reply.clock);
            }
        }
        self.clocks.retain(|node| owners.iter().any(|record| record.node == *node));
        let correction = self.clocks.own_correction();
        let time = correction.apply(unix_time(shared.clock.wall()));
        self.known_time = Some((shared.clock.now(), time));
        shared.metrics.usage.set_clock_correction(correction);
        for (record, began, _, reply) in replies {
            let owner = (record.node.clone(), reply.incarnation);
            self.collector.on_counts(&owner, correction.apply(began), reply.counts);
            for BackupCounts { owner, counts } in reply.backups {
                self.collector.on_backup(&owner, counts);
            }
        }
    }

    /// Returns the nodes with an upstream that can be reached.
    fn owners(&self) -> Vec<Arc<NodeRecord>> {
        let now = self.shared.clock.now();
        let deployment = self.shared.deployment();
        let members = deployment
            .members
            .iter()
            .filter(|member| member.record.upstream.is_some() && member.is_reachable(now));
        members.map(|member| member.record.clone()).collect()
    }

    /// Returns the time since 1970 by the clocks of all nodes together.
    fn true_time(&self) -> Duration {
        match self.known_time {
            Some((at, time)) => time + self.shared.clock.now().saturating_duration_since(at),
            None => unix_time(self.shared.clock.wall()),
        }
    }

    /// Writes the counts of the windows that are final.
    async fn write_reports(&mut self) {
        let Some(fence) = self.shared.leadership_revision(&usage_duty()) else { return };
        let now = self.true_time();
        let present = self.owners();
        let present: Vec<OwnerId> =
            present.iter().map(|record| (record.node.clone(), record.incarnation)).collect();
        let state = {
            let deployment = self.shared.deployment();
            let Some((_, state)) = deployment.usage.stored() else { return };
            let windows = state.next..;
            let finals = windows.map_while(|at| self.collector.final_counts(at, &present, now));
            let finals: Vec<Counts> = finals.collect();
            if finals.is_empty() {
                return;
            }
            let requests: u64 = finals.iter().flat_map(Counts::values).sum();
            log::info!(from = state.next, windows = finals.len(), requests = requests;
                "usage is final");
            state.with_reports(finals, &deployment.usage.acknowledged)
        };
        self.shared.metrics.usage.set_unacknowledged(state.reports.len());
        let Some(mut transaction) = self.write_of(&state) else { return };
        transaction.conditions.push((format!("{LEADER_PREFIX}{}", usage_duty()), fence));
        let next = state.next;
        if self.write(transaction, state, fence).await {
            self.collector.forget_before(next);
        }
    }

    /// Returns the write of a state in place of the known one.
    fn write_of(&self, state: &UsageState) -> Option<Transaction> {
        let value = match serde_json::to_vec(state) {
            Ok(value) => value,
            Err(error) => {
                log::error!(error:% = error; "usage reports could not be encoded as JSON");
                return None;
            }
        };
        let revision = self.shared.deployment().usage.revision();
        Some(Transaction {
            conditions: vec![(USAGE_KEY.to_owned(), revision)],
            writes: vec![(USAGE_KEY.to_owned(), value, 0)],
            removals: Vec::new(),
        })
    }

    /// Writes a state under the leadership at the revision `fence`; returns whether it is known to
    /// be written. Otherwise the watch or the next attempt tells what the store holds.
    async fn write(&self, transaction: Transaction, state: UsageState, fence: u64) -> bool {
        match self.shared.store.call(&Call::Write(transaction)).await {
            Ok(Answer::Written { revision }) => {
                self.shared.deployment().usage.on_state(revision, state);
                true
            }
            Ok(Answer::Conflict(items)) => {
                log::warn!(token = state.token; "usage reports not written: the store has others");
                self.shared.on_leadership_conflict(&usage_duty(), fence, &items);
                self.on_conflict(&items);
                false
            }
            other => {
                log::warn!(token = state.token, answer:? = other; "usage reports not written");
                false
            }
        }
    }

    /// Takes over the reports that the store holds in place of the known ones.
    fn on_conflict(&self, items: &[Item]) {
        let mut deployment = self.shared.deployment();
        match items.iter().find(|item| item.key == USAGE_KEY) {
            Some(item) => {
                if let Some(state) = read_usage_state(item) {
                    deployment.usage.on_state(item.revision, state);
                }
            }
            None => deployment.usage.on_removed(u64::MAX),
        }
    }
}
