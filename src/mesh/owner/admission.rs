//! Which requests the upstream gets, and when.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use async_channel::Receiver;
use futures_util::future::{Either, select};
use oleandertiller_mesh::{
    admission_queue::{Admission, AdmissionRequest, Dequeued, Ticket},
    config::RetrySafety,
    crash_suspects::{Fingerprint, Verdict, chosen_owner},
    sender_share::SenderId,
    upstream::Announcement,
};
use oleandertiller_model::{Clock, ErrorKind, VersionName};

use super::{Inner, MAX_REMAINING, Owner, RunningRequest};
use crate::mesh::message::{End, Offer};

/// Time between two checks of the upstream's load while a request waits.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(30);

/// Releases the slot of a running request when it is dropped.
struct SlotGuard<'a, C: Clock> {
    owner: &'a Owner<C>,
    id: &'a Arc<str>,
    service_time: Option<Duration>,
}

impl<C: Clock> Drop for SlotGuard<'_, C> {
    fn drop(&mut self) {
        let mut inner = self.owner.lock();
        inner.queue.release(self.service_time);
        if let Some(index) = inner.running.iter().position(|run| run.id == *self.id) {
            inner.running.swap_remove(index);
        }
        inner.on_running_changed(self.owner.clock.now());
        drop(inner);
        self.owner.notify_waiters();
    }
}

/// Takes back a request that was counted as started when it is dropped.
struct CountedStart<'a, C: Clock> {
    owner: &'a Owner<C>,
    version: &'a VersionName,
}

impl<C: Clock> CountedStart<'_, C> {
    /// Keeps the request counted.
    fn confirm(self) {
        std::mem::forget(self);
    }
}

impl<C: Clock> Drop for CountedStart<'_, C> {
    fn drop(&mut self) {
        self.owner.lock().exposure.on_not_sent(self.version);
    }
}

/// Withdraws a request from the queue when it is dropped.
struct QueueGuard<'a, C: Clock> {
    owner: &'a Owner<C>,
    ticket: Ticket,
}

impl<C: Clock> Drop for QueueGuard<'_, C> {
    fn drop(&mut self) {
        let mut inner = self.owner.lock();
        inner.queue.withdraw(self.ticket);
        inner.waiters.remove(&self.ticket);
        drop(inner);
        // The request may have had a slot that another one can use.
        self.owner.notify_waiters();
    }
}

impl Inner {
    /// Returns the upstream if it is the one that the offer is for.
    fn upstream_for(&self, offer: &Offer) -> Option<&Announcement> {
        self.upstream.latest().filter(|latest| latest.runs(&offer.service, &offer.version))
    }

    /// Returns the channel on which a waiting request gets its decision. It is to be added before
    /// another thread can decide on the request.
    fn add_waiter(&mut self, ticket: Ticket) -> Receiver<Result<(), ErrorKind>> {
        let (tx, rx) = async_channel::bounded(1);
        self.waiters.insert(ticket, tx);
        rx
    }

    /// Refuses all waiting requests; returns their number.
    pub(super) fn refuse_waiting(&mut self, why: ErrorKind) -> usize {
        let tickets = self.queue.take_waiting();
        for ticket in &tickets {
            if let Some(tx) = self.waiters.remove(ticket) {
                // An error means that the request has been withdrawn.
                let _ = tx.try_send(Err(why));
            }
        }
        tickets.len()
    }
}

impl<C: Clock> Owner<C> {
    /// Runs a request on the upstream once that has a slot for it, or refuses it.
    pub(super) async fn admit_and_run(&self, offer: &Offer, deadline: Instant) -> End {
        let not_run = |why| End::NotRun { why, arrived: false };
        if offer.node != self.cfg.node || self.lock().upstream_for(offer).is_none() {
            return not_run(ErrorKind::NoUpstream);
        }
        let stop_schedule = self.lock().stop_schedule;
        let usual_time = self.deployment().usual_answer_time(&offer.route);
        if stop_schedule.is_some_and(|schedule| !schedule.may_take(usual_time, self.clock.now())) {
            return not_run(ErrorKind::Draining);
        }
        let suspect = match self.crash_verdict(offer) {
            (Verdict::Run, suspect) => suspect,
            (Verdict::NotHere, _) => return not_run(ErrorKind::CrashSuspect),
            (Verdict::Refuse, _) => return not_run(ErrorKind::CrashesUpstreams),
        };
        if self.calls_wait(offer).is_some() {
            return not_run(ErrorKind::Overloaded);
        }
        self.refresh_load().await;
        let now = self.clock.now();
        let wait_until = (now + offer.max_wait.min(MAX_REMAINING)).min(deadline);
        let Offer { rank, allow_slow, class, .. } = *offer;
        let sender = SenderId::new(&offer.sender);
        let at_most_once = offer.retry_safety == RetrySafety::AtMostOnce;
        let admission_request = AdmissionRequest {
            rank,
            deadline,
            wait_until,
            allow_slow,
            class,
            at_most_once,
            sender,
        };
        let needs_grant = self.deployment().needs_grant(&offer.service, &offer.version);
        let needs_grant = needs_grant.unwrap_or(offer.rolling_out);
        let (admission, waiting) = {
            let mut inner = self.lock();
            // The upstream may have been replaced during the health check.
            if inner.upstream_for(offer).is_none() {
                return not_run(ErrorKind::NoUpstream);
            }
            if !inner.exposure.try_start(&offer.version, needs_grant, now) {
                return not_run(ErrorKind::VersionVetoed);
            }
            let admission = inner.queue.admit(admission_request, now);
            let waiting = match admission {
                Admission::Wait(ticket) => Some((ticket, inner.add_waiter(ticket))),
                Admission::Run | Admission::Refuse(_) => None,
            };
            (admission, waiting)
        };
        // Given back unless the request starts, also if its client leaves while it waits.
        let counted = CountedStart { owner: self, version: &offer.version };
        if let Admission::Refuse(why) = admission {
            return not_run(why);
        }
        let mut verdict = Verdict::Run;
        if let Some((ticket, decision)) = waiting {
            if let Err(why) = self.wait_for_slot(ticket, decision, wait_until).await {
                return not_run(why);
            }
            // The others may have reported crashes meanwhile.
            verdict = self.crash_verdict(offer).0;
        }
        // From here on, the upstream's identity travels with the request.
        let upstream = self.lock().upstream_for(offer).cloned();
        let announcement = match (upstream, verdict) {
            (Some(announcement), Verdict::Run) => announcement,
            (upstream, _) => {
                self.lock().queue.release(None);
                self.notify_waiters();
                return not_run(match upstream {
                    Some(_) => ErrorKind::CrashSuspect,
                    None => ErrorKind::NoUpstream,
                });
            }
        };
        counted.confirm();
        self.deployment().nested_calls.on_request(&offer.route, self.clock.now());
        let started = self.clock.now();
        let run_start = self.on_start(
            RunningRequest {
                id: offer.id.clone(),
                suspect,
                is_retry: offer.is_retry,
                made_calls: false,
                route: offer.route.clone(),
                rank: offer.rank,
                deadline,
            },
            started,
        );
        let mut slot = SlotGuard { owner: self, id: &offer.id, service_time: None };
        let end = self.run_on_upstream(offer, &announcement, deadline).await;
        let is_current = self.lock().is_current(&announcement.incarnation);
        if let End::Answered(_) = end
            && is_current
        {
            self.on_run_end(offer, run_start, &end);
            slot.service_time = Some(self.clock.now().saturating_duration_since(started));
        }
        end
    }

    /// Returns whether a request may run although it may have crashed upstreams, and its fingerprint
    /// if it is a suspect.
    fn crash_verdict(&self, offer: &Offer) -> (Verdict, Option<Fingerprint>) {
        if self.lock().suspects.is_empty() {
            return (Verdict::Run, None);
        }
        let request = offer.fingerprint();
        if !self.lock().suspects.contains(request) {
            return (Verdict::Run, None);
        }
        let now = self.clock.now();
        let is_chosen = {
            let owners = self.deployment().owners(&offer.service, now);
            let names = owners.iter().map(|(candidate, _)| &candidate.node);
            chosen_owner(request, names) == Some(&self.cfg.node)
        };
        let inner = self.lock();
        let is_running = inner.running.iter().any(|run| run.suspect == Some(request));
        let may_run_suspect = || is_chosen && !is_running;
        (inner.suspects.verdict(request, offer.is_retry, may_run_suspect, now), Some(request))
    }

    /// Waits for the decision on a queued request, and keeps the load figures current meanwhile.
    async fn wait_for_slot(
        &self,
        ticket: Ticket,
        decision: Receiver<Result<(), ErrorKind>>,
        until: Instant,
    ) -> Result<(), ErrorKind> {
        let _queue_guard = QueueGuard { owner: self, ticket };
        loop {
            self.notify_waiters();
            let next_check = self.timers.at((self.clock.now() + LOAD_CHECK_INTERVAL).min(until));
            match select(pin!(decision.recv()), next_check).await {
                Either::Left((decision, _)) => {
                    let decision = decision.unwrap_or(Err(ErrorKind::Internal));
                    if decision.is_ok() {
                        self.lock().queue.confirm(ticket);
                    }
                    return decision;
                }
                Either::Right(_) => self.refresh_load().await,
            }
        }
    }

    /// Notifies the waiting requests that can be decided now.
    pub(super) fn notify_waiters(&self) {
        let mut inner = self.lock();
        while let Some(dequeued) = inner.queue.dequeue(self.clock.now()) {
            let (ticket, decision) = match dequeued {
                Dequeued::Run(ticket) => (ticket, Ok(())),
                Dequeued::Refuse(ticket, why) => (ticket, Err(why)),
            };
            let notified =
                inner.waiters.remove(&ticket).is_some_and(|tx| tx.try_send(decision).is_ok());
            if !notified {
                inner.queue.withdraw(ticket);
            }
        }
    }
}
