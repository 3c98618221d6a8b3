//! Memory and time that the ledger of idempotency keys takes.

use std::time::{Duration, Instant, SystemTime};

use oleandertiller_model::intent::{Keeper, KeeperSet};
use oleandertiller_model::{IdempotencyKey, codec};
use oleandertiller_routing::ledger::{Claim, Handover, Ledger, LedgerConfig, RunOutcome};
use serde::Serialize;
use uuid::{NoContext, Timestamp, Uuid};

use super::sample::keeper;
use crate::process::resident_bytes;

/// Size of a stored answer: a short JSON body.
const ANSWER_BYTES: usize = 128;

/// Measurements of a ledger of one size.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct LedgerRow {
    /// Number of entries in the ledger.
    pub entries: usize,
    /// Number of keepers of the service before another one joins.
    pub keepers: usize,
    /// Growth of resident memory per entry, including its stored answer of 128 bytes.
    pub bytes_per_entry: usize,
    /// Mean time to claim a new key and to finish its run.
    pub claim: Duration,
    /// Mean time to claim a key that is already in the ledger.
    pub repeat: Duration,
    /// Number of entries handed over to a keeper that joins.
    pub moved: usize,
    /// Encoded size of this handover.
    pub handover_bytes: usize,
    /// Time to create and encode this handover.
    pub handover: Duration,
}

fn keeper_set(members: usize, epoch: u64) -> KeeperSet {
    let members: Vec<Keeper> = (0..members).map(keeper).collect();
    KeeperSet { epoch, members, ..KeeperSet::default() }
}

fn key(number: u64) -> IdempotencyKey {
    // Created after the keepers started, so that a new keeper may run the key.
    let created = Timestamp::from_unix(NoContext, 1_800_000_100 + number / 1_000_000, 0);
    let uuid = Uuid::new_v7(created).as_u128() & !0xffff_ffff | u128::from(number);
    IdempotencyKey::parse("lending/book", &Uuid::from_u128(uuid).to_string())
        .expect("a UUID is a valid key")
}

/// Measures the ledger of one of `keepers` keepers, with `entries` entries.
pub fn measure(entries: usize, keepers: usize) -> LedgerRow {
    let now = Instant::now();
    let wall_now = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_101);
    let set = keeper_set(keepers, 1);
    let own_keys: Vec<IdempotencyKey> = (0..)
        .map(key)
        .filter(|key| set.keeper_of(key) == set.members.first())
        .take(entries)
        .collect();
    let before = resident_bytes(std::process::id()).unwrap_or(0);
    let cfg = LedgerConfig { capacity: entries, ..LedgerConfig::default() };
    let mut ledger = Ledger::new(cfg, keeper(0));
    ledger.apply_keeper_set(set);
    // Empty handovers from all other keepers make the ledger complete.
    for number in 1..keepers {
        let empty = Handover { from: keeper(number), epoch: 1, entries: Vec::new() };
        ledger.take_over(empty, now);
    }
    let start = Instant::now();
    for key in &own_keys {
        assert_eq!(
            ledger.claim(*key, now, wall_now),
            Claim::Run,
            "a new key runs in the first epoch"
        );
        ledger.finish(key, RunOutcome::Done(vec![0u8; ANSWER_BYTES]));
    }
    let claim = start.elapsed() / entries as u32;
    let after = resident_bytes(std::process::id()).unwrap_or(0);
    let start = Instant::now();
    for key in &own_keys {
        std::hint::black_box(ledger.claim(*key, now, wall_now));
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
