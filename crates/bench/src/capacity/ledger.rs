//! The ledger of idempotency keys at growing sizes.

use std::time::{Duration, Instant, SystemTime};

use oleandertiller_model::intent::{Keeper, KeeperSet};
use oleandertiller_model::{IdempotencyKey, codec};
use oleandertiller_routing::ledger::{Claim, Handover, Ledger, LedgerConfig, RunOutcome};
use serde::Serialize;
use uuid::{NoContext, Timestamp, Uuid};

use super::sample::keeper;
use crate::process::resident_bytes;

/// Stored answer of the sample: a short JSON body.
const ANSWER_BYTES: usize = 128;

/// Figures of one number of entries.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct LedgerRow {
    /// Entries in the ledger.
    pub entries: usize,
    /// Keepers of the service.
    pub keepers: usize,
    /// Growth of resident memory per entry, the stored answer of 128 bytes included.
    pub bytes_per_entry: usize,
    /// Time to claim a new key and to finish it.
    pub claim: Duration,
    /// Time of the claim of a key that is in the ledger.
    pub repeat: Duration,
    /// Entries given to a keeper that joins.
    pub moved: usize,
    /// Size of the handover to it.
    pub handover_bytes: usize,
    /// Time to make and encode the handover.
    pub handover: Duration,
}

fn keeper_set(members: usize, epoch: u64) -> KeeperSet {
    let members: Vec<Keeper> = (0..members).map(keeper).collect();
    KeeperSet { epoch, members, ..KeeperSet::default() }
}

fn key(number: u64) -> IdempotencyKey {
    // Later than the keepers' start, so that a new keeper may run it.
    let created = Timestamp::from_unix(NoContext, 1_800_000_100 + number / 1_000_000, 0);
    let uuid = Uuid::new_v7(created).as_u128() & !0xffff_ffff | u128::from(number);
    IdempotencyKey::parse("lending/book", &Uuid::from_u128(uuid).to_string())
        .expect("a UUID is a valid key")
}

/// Measures a ledger that one of `keepers` holds, with at least `entries` entries.
pub fn measure(entries: usize, keepers: usize) -> LedgerRow {
    let now = Instant::now();
    let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_101);
    let set = keeper_set(keepers, 1);
    let own: Vec<IdempotencyKey> = (0..)
        .map(key)
        .filter(|key| set.keeper_of(key) == set.members.first())
        .take(entries)
        .collect();
    let before = resident_bytes(std::process::id()).unwrap_or(0);
    let cfg = LedgerConfig { capacity: entries, ..LedgerConfig::default() };
    let mut ledger = Ledger::new(cfg, keeper(0));
    ledger.apply_keeper_set(set);
    // The other keepers had nothing to hand over, so that the ledger is complete.
    for number in 1..keepers {
        let empty = Handover { from: keeper(number), epoch: 1, entries: Vec::new() };
        ledger.take_over(empty, now);
    }
    let start = Instant::now();
    for key in &own {
        assert_eq!(ledger.claim(*key, now, wall), Claim::Run, "a new key of a sole epoch runs");
        ledger.finish(key, RunOutcome::Done(vec![0u8; ANSWER_BYTES]));
    }
    let claim = start.elapsed() / entries as u32;
    let after = resident_bytes(std::process::id()).unwrap_or(0);
    let start = Instant::now();
    for key in &own {
        std::hint::black_box(ledger.claim(*key, now, wall));
    }
    let repeat = start.elapsed() / entries as u32;
    ledger.apply_keeper_set(keeper_set(keepers + 1, 2));
    let start = Instant::now();
    let handover = ledger.hand_over(&keeper(keepers), 2, now);
    let encoded = codec::encode(&handover);
    LedgerRow {
        entries,
        keepers,
        bytes_per_entry: after.saturating_sub(before) as usize / entries,
        claim,
        repeat,
        moved: handover.map_or(0, |handover| handover.entries.len()),
        handover_bytes: encoded.len(),
        handover: start.elapsed(),
    }
}
