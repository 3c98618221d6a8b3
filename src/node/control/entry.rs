//! The zone entry in the store, and joining the fleet through the entries of others.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use oleandertiller_fleet::{
    Addresses, Entries, EntryValue, Record, Step, StoreAnswer, StoreCall,
    entries::{entry_prefix, parse_holders},
};
use oleandertiller_model::Clock;
use rand::{SeedableRng, rngs::StdRng};

use super::Control;
use crate::{node::store::Store, telemetry::StateChange};

/// Interval of looks at the gossip's picture of the zone's entries.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which a holder reads the entries of all zones, so that parts of the fleet that
/// started apart meet. At 17 zones with 3 entries this is 0.9 reads a second.
const MEET_INTERVAL: Duration = Duration::from_secs(60);

/// Interval of reads by a node that knows no peer; a fleet has few such nodes at a time.
const ALONE_INTERVAL: Duration = Duration::from_secs(5);

/// Prefix of the entries of all zones.
const ALL_ZONES: &str = "zone/";

/// Joins the fleet, then takes and renews an entry until a planned stop.
pub(super) async fn keep<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    let mut rng = StdRng::from_rng(&mut rand::rng());
    control.join().await;
    let (zone, value) = control.read(|agent, _| {
        let local = agent.membership().local();
        (local.zone.clone(), entry_value(local))
    });
    let now = control.clock.now();
    let mut entries = Entries::new(zone.clone(), value, now);
    let mut step = entries.wake(now, &mut rng);
    let mut meet_at = now + ALONE_INTERVAL;
    let mut held = None;
    while !control.is_stopping() {
        step = match step {
            Step::Call(call) => {
                let answer = control.call_store(&call).await;
                entries.answer(answer, control.clock.now(), &mut rng)
            }
            Step::Wait(at) => {
                let next = control.clock.now() + OBSERVE_INTERVAL;
                control.sleep_until(at.min(next)).await;
                let now = control.clock.now();
                let (taken, members) =
                    control.read(|agent, _| agent.membership().zone_entries(&zone));
                entries.observe(taken, members, now, &mut rng);
                entries.wake(now, &mut rng)
            }
            Step::Done(()) => break,
        };
        let now = control.clock.now();
        control.note_entry(&entries, &mut held, now);
        let took = held.is_some() && control.is_alone();
        if now >= meet_at || took && meet_at > now + ALONE_INTERVAL {
            control.meet().await;
            meet_at = control.next_meeting(held);
        }
    }
    control.watching.store(false, Ordering::Relaxed);
    if let Some(call) = entries.release(control.clock.now()) {
        control.call_store(&call).await;
    }
}

fn entry_value(local: &Record) -> EntryValue {
    EntryValue {
        node: local.node.clone(),
        incarnation: local.incarnation,
        addresses: local.addresses,
    }
}

impl<C: Clock, S: Store> Control<C, S> {
    /// Reads the entries of the own zone, or of all zones when it has none, for peers to join.
    async fn join(&self) {
        let zone = self.read(|agent, _| agent.membership().local().zone.clone());
        if !self.read_seeds(entry_prefix(&zone)).await {
            self.meet().await;
        }
    }

    /// Reads the entries of all zones.
    async fn meet(&self) {
        self.read_seeds(ALL_ZONES.to_owned()).await;
    }

    /// Returns when a node reads the entries of all zones again.
    fn next_meeting(&self, held: Option<u8>) -> Instant {
        let now = self.clock.now();
        let wait = match (self.is_alone(), held) {
            (true, _) => ALONE_INTERVAL,
            (false, Some(_)) => MEET_INTERVAL,
            // Only holders read; a node without an entry joins through them.
            (false, None) => MEET_INTERVAL * 10,
        };
        now + wait.mul_f64(0.75 + 0.5 * rand::random::<f64>())
    }

    fn is_alone(&self) -> bool {
        self.read(|agent, _| agent.membership().known_peer_count() == 0)
    }

    /// Adds the holders of entries to the seeds; returns whether there were any other than this.
    async fn read_seeds(&self, prefix: String) -> bool {
        let answer = self.call_store(&StoreCall::List { prefix }).await;
        let StoreAnswer::Listed(items) = answer else { return false };
        let own = self.read(|agent, _| agent.membership().local().addresses);
        let found = parse_holders(&items).into_iter().map(|holder| holder.addresses);
        let found: Vec<_> = found.filter(|other| *other != own).collect();
        if found.is_empty() {
            return false;
        }
        let seeds = self.seeds(&found);
        self.update(|agent, now| {
            agent.membership_mut().set_seeds(seeds);
            agent.take_outputs(now)
        });
        true
    }

    fn seeds(&self, found: &[Addresses]) -> Vec<SocketAddr> {
        let mut seeds = self.cfg.seeds.clone();
        for addresses in found {
            if !seeds.contains(&addresses.gossip) {
                seeds.push(addresses.gossip);
            }
        }
        seeds
    }

    /// Tells the fleet and the reader of the intent which entry the node holds.
    fn note_entry(&self, entries: &Entries, held: &mut Option<u8>, now: Instant) {
        self.watching.store(entries.is_watcher(now), Ordering::Relaxed);
        let present = entries.held(now);
        if present == *held {
            return;
        }
        let label = |entry: Option<u8>| entry.map_or("none".to_owned(), |index| index.to_string());
        let change = StateChange::new("zone entry", label(*held), label(present));
        change.with_why("lease taken, lost or expired").log();
        *held = present;
        self.update(|agent, now| {
            agent.membership_mut().update_local(|record| record.entry = present, now);
            agent.take_outputs(now)
        });
    }
}
