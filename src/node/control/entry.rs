//! The node's zone entry in the store, and discovery of peers through the entries of others.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use oleandertiller_fleet::{
    Addresses, Entries, EntryValue, Record, Step, StoreAnswer, StoreCall,
    entries::{discovery_interval, entry_prefix, parse_holders},
};
use oleandertiller_model::Clock;
use rand::{SeedableRng, rngs::StdRng};

use super::Control;
use crate::{node::store::Store, telemetry::StateChange};

/// Interval at which the zone's entries are read from the member table.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(100);

/// Key prefix of the entries of all zones.
const ALL_ZONES_PREFIX: &str = "zone/";

/// Joins the fleet, then acquires and renews a zone entry until a planned stop.
pub(super) async fn maintain<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    let mut rng = StdRng::from_rng(&mut rand::rng());
    control.join().await;
    let (zone, value) = control.read(|agent, _| {
        let local = agent.membership().local();
        (local.zone.clone(), entry_value(local))
    });
    let now = control.clock.now();
    let mut entries = Entries::new(zone.clone(), value, now);
    let mut step = entries.wake(now, &mut rng);
    let mut held = None;
    let mut reads = 0;
    let mut discover_at = control.next_discovery(reads, held);
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
        control.publish_entry(&entries, &mut held, now);
        // A node that has lost its last peer does not wait for the end of a long interval.
        discover_at = match held.is_some() && control.has_no_peer() {
            true => discover_at.min(control.next_discovery(reads, held)),
            false => discover_at,
        };
        if now >= discover_at {
            control.discover().await;
            reads += 1;
            discover_at = control.next_discovery(reads, held);
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
    /// Looks for peers in the entries of the node's zone, or of all zones when it finds none there.
    async fn join(&self) {
        let zone = self.read(|agent, _| agent.membership().local().zone.clone());
        if !self.read_seeds(entry_prefix(&zone)).await {
            self.discover().await;
        }
    }

    /// Looks for peers in the entries of all zones.
    async fn discover(&self) {
        self.read_seeds(ALL_ZONES_PREFIX.to_owned()).await;
    }

    /// Returns when the node next reads the entries of all zones.
    fn next_discovery(&self, reads: u32, held: Option<u8>) -> Instant {
        let wait = discovery_interval(reads, !self.has_no_peer(), held.is_some());
        self.clock.now() + wait.mul_f64(0.75 + 0.5 * rand::random::<f64>())
    }

    fn has_no_peer(&self) -> bool {
        self.read(|agent, _| agent.membership().known_peer_count() == 0)
    }

    /// Adds the other nodes that hold entries under `prefix` to the seeds; returns whether there
    /// are any.
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

    /// Passes the entry that the node holds to membership and to the watcher of the intent.
    fn publish_entry(&self, entries: &Entries, held: &mut Option<u8>, now: Instant) {
        self.watching.store(entries.is_watcher(now), Ordering::Relaxed);
        let current = entries.held(now);
        if current == *held {
            return;
        }
        let label = |entry: Option<u8>| entry.map_or("none".to_owned(), |index| index.to_string());
        let change = StateChange::new("zone entry", label(*held), label(current));
        change.with_why("lease taken, lost or expired").log();
        *held = current;
        self.update(|agent, now| {
            agent.membership_mut().update_local(|record| record.entry = current, now);
            agent.take_outputs(now)
        });
    }
}
