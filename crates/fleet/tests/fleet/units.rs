//! Unit tests of agreement, freshness and gossip.

use std::{
    sync::Arc,
    time::{Duration, Instant, UNIX_EPOCH},
};

use oleandertiller_fleet::{
    Command, CommandOutcome, Confirmed, Datagram, Freshness, Head, MAX_DATAGRAM_BYTES, NotAccepted,
    Output, Replica, StaleReason, Step, StoreAnswer, StoreCall, Watcher,
    datagram::Rumour,
    freshness::{Exchange, ISOLATION_TIMEOUT},
    intent::{ApplyOutcome, HEAD_KEY, WatcherEvent},
    measure::network::{Links, Network, record},
    membership::rumours::{Rumours, send_limit},
    store::{Backoff, TokenBucket},
};
use oleandertiller_model::{
    Action, Change, Intent, Revision, codec,
    message::{IntentPull, IntentPush},
};
use proptest::prelude::*;
use rand::{SeedableRng, rngs::StdRng};
use uuid::Uuid;

use crate::{membership::config, store::MemoryStore};

fn change(revision: u64) -> Change {
    Change {
        revision: Revision(revision),
        operation: Uuid::from_u128(revision.into()),
        author: "test".into(),
        at: UNIX_EPOCH,
        action: Action::SetMeasuring(revision as u32),
    }
}

fn replica(revision: u64) -> Replica {
    let mut replica = Replica::new();
    for revision in 1..=revision {
        assert_eq!(replica.apply_change(&change(revision)), ApplyOutcome::Advanced);
    }
    replica
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(1)
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Runs a command that the store accepts, and returns the replica with its change.
fn accept(store: &mut MemoryStore, replica: &Replica, operation: u128, now: Instant) -> Replica {
    let id = Uuid::from_u128(operation);
    let action = Action::SetMeasuring(1);
    let mut command = Command::new(id, "test", UNIX_EPOCH, action, replica, now + secs(5));
    let mut step = command.start();
    while let Step::Call(call) = step {
        step = command.answer(store.call(&call), now, &mut rng());
    }
    assert!(matches!(step, Step::Done(CommandOutcome::Accepted(_))), "{step:?}");
    command.replica().clone()
}

/// Guards against a tail that is too short to serve a peer, and against a document where changes
/// would suffice.
#[test]
fn a_peer_gets_changes_while_the_tail_reaches_back() {
    let replica = replica(100);
    let pull = |have| replica.serve(IntentPull { have: Revision(have) });
    assert!(matches!(pull(100), IntentPush::Current));
    assert!(matches!(pull(36), IntentPush::Changes(changes) if changes.len() == 64));
    assert!(matches!(pull(35), IntentPush::Document(_)));
}

/// Guards against applying old or repeated changes, or one after a gap.
#[test]
fn only_the_next_change_or_a_newer_document_is_applied() {
    let mut replica = replica(5);
    assert_eq!(replica.apply_change(&change(5)), ApplyOutcome::Unchanged);
    assert_eq!(replica.apply_change(&change(7)), ApplyOutcome::Gap);
    let old = Arc::new(Intent { revision: Revision(4), ..Intent::default() });
    assert_eq!(replica.apply_document(old), ApplyOutcome::Unchanged);
    assert_eq!(replica.apply_change(&change(6)), ApplyOutcome::Advanced);
    assert_eq!(replica.revision(), Revision(6));
}

/// Guards against a head that exceeds its size limit or whose changes do not lead from its base.
#[test]
fn a_long_history_stays_readable_from_an_empty_reader() {
    let now = Instant::now();
    let mut store = MemoryStore::default();
    let mut writer = Replica::new();
    for n in 0..200 {
        writer = accept(&mut store, &writer, n + 1, now);
    }
    assert_eq!(store.fault, None);
    let StoreAnswer::Found { value, .. } = store.call(&StoreCall::Get { key: HEAD_KEY.into() })
    else {
        panic!("a head");
    };
    assert!(value.len() < 64 * 300, "a head of {} bytes", value.len());
    let head = Head::parse(&value).expect("a head");
    assert_eq!((head.revision, head.base), (Revision(200), Revision(192)));
    let mut reader = Replica::new();
    let mut watcher = Watcher::once(now);
    let mut step = watcher.wake(now);
    while let Step::Call(call) = step {
        step = watcher.answer(store.call(&call), &mut reader, now, &mut rng()).1;
    }
    assert_eq!(reader.intent(), writer.intent());
}

/// Guards against writing to a store that lost its data as if it were new.
#[test]
fn a_head_behind_the_intent_in_force_is_not_written() {
    let now = Instant::now();
    let action = Action::SetMeasuring(1);
    let id = Uuid::from_u128(9);
    let mut command = Command::new(id, "test", UNIX_EPOCH, action, &replica(3), now + secs(5));
    command.start();
    let step = command.answer(StoreAnswer::Absent, now, &mut rng());
    let corrupt = CommandOutcome::NotAccepted(NotAccepted::StoreCorrupt);
    assert_eq!(step, Step::Done(corrupt));
}

/// Guards against a watcher that calls the store without a wait while it is down or corrupt.
#[test]
fn a_watcher_stays_within_its_rate_while_the_store_fails() {
    let start = Instant::now();
    let mut now = start;
    let mut watcher = Watcher::new(now);
    let mut replica = Replica::new();
    let mut calls = 0;
    let mut step = watcher.wake(now);
    while now < start + secs(60) {
        step = match step {
            Step::Call(_) => {
                calls += 1;
                let answer = match calls % 2 {
                    0 => StoreAnswer::NotSent,
                    _ => StoreAnswer::Found { version: 1, value: "no head".into() },
                };
                watcher.answer(answer, &mut replica, now, &mut rng()).1
            }
            Step::Wait(at) => {
                now = now.max(at);
                watcher.wake(now)
            }
            Step::Done(()) => panic!("the watcher must not end"),
        };
    }
    assert!(calls < 130, "{calls} calls in a minute");
}

/// Guards against a confirmation that is dated too late.
#[test]
fn a_watch_confirms_as_of_its_start() {
    let now = Instant::now();
    let mut watcher = Watcher::new(now);
    let mut replica = Replica::new();
    watcher.wake(now);
    watcher.answer(StoreAnswer::Absent, &mut replica, now, &mut rng());
    let later = now + secs(2);
    let (event, _) = watcher.answer(StoreAnswer::Unchanged, &mut replica, later, &mut rng());
    assert_eq!(event, Some(WatcherEvent::Confirmed { revision: Revision(0), requested_at: now }));
}

fn exchange(requested_at: Instant, peer: &str, fresh: bool, age_ms: u64) -> Exchange {
    let confirmed = Confirmed { revision: Revision(0), age_ms };
    Exchange {
        requested_at,
        peer: peer.into(),
        peer_fresh: fresh,
        peer_revision: Revision(0),
        confirmed: Some(confirmed),
    }
}

/// Returns the freshness of a node that the store has just confirmed.
fn serving(now: Instant) -> Freshness {
    let mut freshness = Freshness::new(now);
    freshness.record_store_answer(Revision(0), now, now);
    freshness.tick(now, 5, Revision(0));
    assert_eq!(freshness.check(now), Ok(()));
    freshness
}

/// Guards against a confirmation age that shrinks in transit, which would let a keeper serve too
/// long.
#[test]
fn confirmation_age_grows_by_each_hop_and_by_waiting() {
    let now = Instant::now();
    let mut freshness = serving(now);
    let later = now + secs(100);
    freshness.record_peer_answer(&exchange(later, "a", true, 40_000), later + secs(1));
    let confirmed = freshness.confirmed(later + secs(5)).expect("a confirmation");
    assert_eq!(confirmed.age_ms, 45_000);
    freshness.record_peer_answer(&exchange(later, "b", true, 90_000), later + secs(1));
    let confirmed = freshness.confirmed(later + secs(5)).expect("a confirmation");
    assert_eq!(confirmed.age_ms, 45_000, "an older confirmation does not replace a newer one");
}

/// Guards against serving after a pause because of an answer from before it.
#[test]
fn an_answer_from_before_a_pause_does_not_end_it() {
    let now = Instant::now();
    let mut freshness = serving(now);
    let resumed = now + secs(10);
    assert_eq!(freshness.check(resumed), Err(StaleReason::Paused));
    freshness.record_peer_answer(&exchange(now, "a", true, 0), resumed);
    freshness.tick(resumed, 5, Revision(0));
    assert_eq!(freshness.check(resumed), Err(StaleReason::Paused));
    freshness.record_peer_answer(&exchange(resumed, "a", true, 0), resumed);
    freshness.try_recover(resumed, 5, Revision(0));
    assert_eq!(freshness.check(resumed), Ok(()));
}

/// Guards against serving with an older revision than a peer has reported.
#[test]
fn a_stale_node_waits_for_the_revision_of_its_peer() {
    let now = Instant::now();
    let mut freshness = serving(now);
    let resumed = now + secs(10);
    assert!(freshness.check(resumed).is_err());
    let ahead = Exchange { peer_revision: Revision(7), ..exchange(resumed, "a", true, 0) };
    freshness.record_peer_answer(&ahead, resumed);
    freshness.try_recover(resumed, 5, Revision(6));
    assert!(freshness.check(resumed).is_err());
    freshness.try_recover(resumed, 5, Revision(7));
    assert_eq!(freshness.check(resumed), Ok(()));
}

/// Guards against an isolated node that serves, and against a fleet of one that does not.
#[test]
fn isolation_counts_only_when_peers_are_known() {
    let start = Instant::now();
    for (peers, expected) in [(5, Err(StaleReason::Isolated)), (0, Ok(()))] {
        let mut freshness = serving(start);
        let mut now = start;
        while now <= start + ISOLATION_TIMEOUT + secs(1) {
            now += Duration::from_millis(100);
            freshness.tick(now, peers, Revision(0));
        }
        assert_eq!(freshness.check(now), expected, "{peers} peers");
    }
}

/// Guards against a fast check on the request path that allows more than the full check.
#[test]
fn serve_until_is_the_end_of_the_check() {
    let now = Instant::now();
    let mut freshness = serving(now);
    let until = freshness.serve_until().expect("a serving node");
    assert_eq!(freshness.clone().check(until), Ok(()));
    assert!(freshness.check(until + Duration::from_millis(1)).is_err());
    assert_eq!(freshness.serve_until(), None);
}

/// Guards against rumours that are sent forever or too rarely; the limit is about 3 log2(n) times.
#[test]
fn a_rumour_is_sent_a_bounded_number_of_times() {
    assert_eq!([100, 1_000, 17_000].map(send_limit), [21, 30, 45]);
    let mut rumours = Rumours::default();
    rumours.add(Rumour::Record(Box::new(record(1, 3))));
    let sent = std::iter::from_fn(|| rumours.take(1_000, 100).0.pop()).count();
    assert_eq!(sent, 21);
    assert!(rumours.is_empty());
}

/// Guards against a thundering herd: waits must be spread over the whole interval and bounded.
#[test]
fn backoff_is_spread_and_bounded() {
    let mut backoff = Backoff::new(secs(1), secs(8));
    let mut rng = rng();
    let waits: Vec<_> = (0..400).map(|_| backoff.next_wait(&mut rng)).collect();
    assert!(waits.iter().all(|wait| *wait <= secs(8)));
    let short = waits[4..].iter().filter(|wait| **wait < secs(2)).count();
    assert!((50..150).contains(&short), "{short} of 396 waits in the first quarter");
}

/// Guards against a bucket that allows more calls than its burst after a long idle time.
#[test]
fn a_token_bucket_is_bounded_by_its_burst() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(2.0, 3.0, now);
    let later = now + secs(1_000);
    let taken = (0..10).filter(|_| bucket.take(later).is_ok()).count();
    assert_eq!(taken, 3);
    let next = bucket.take(later).expect_err("an empty bucket");
    assert!(bucket.take(next).is_ok());
}

/// Guards against datagrams over the size limit, which would be fragmented or dropped.
#[test]
fn datagrams_stay_within_the_size_limit_under_many_changes() {
    let mut network = Network::new(Links::default(), 1);
    let long = "x".repeat(64);
    for n in 0..2 {
        let mut config = config(n, 2, 1);
        config.local.service = long.as_str().into();
        config.local.version = long.as_str().into();
        network.add(config);
    }
    network.run(secs(5));
    let now = network.now;
    let agent = &mut network.nodes[0].agent;
    let mut records: Vec<_> = (2..300).map(|n| record(n, 2)).collect();
    records.iter_mut().for_each(|record| record.zone = long.as_str().into());
    let rumours = records.into_iter().map(|r| Rumour::Record(Box::new(r))).collect();
    agent.membership_mut().merge_rumours(rumours, now);
    agent.adopt_replica(&replica(10), now);
    let mut at = now;
    let mut sizes = Vec::new();
    for _ in 0..300 {
        at += Duration::from_millis(100);
        for output in agent.tick(at) {
            if let Output::Send { bytes, .. } = output {
                assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
                Datagram::decode(&bytes).expect("a datagram");
                sizes.push(bytes.len());
            }
        }
    }
    assert!(sizes.iter().any(|size| *size > MAX_DATAGRAM_BYTES / 2));
}

/// Guards against records larger than the transfer rate was calculated with.
#[test]
fn a_record_is_compact() {
    let bytes = codec::encode(&record(16_999, 17)).len();
    assert!(bytes <= 100, "{bytes} bytes");
    let decoded = codec::decode(&codec::encode(&record(7, 3)));
    assert_eq!(decoded, Ok(record(7, 3)));
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256, failure_persistence: None, ..ProptestConfig::default()
    })]

    /// Guards against datagrams from outside that make a node panic or add several members.
    #[test]
    fn arbitrary_bytes_are_ignored(bytes in prop::collection::vec(any::<u8>(), 0..1_300)) {
        let now = Instant::now();
        let mut agent = oleandertiller_fleet::Agent::new(config(0, 2, 1), now);
        let before = agent.membership().table().len();
        agent.receive(record(1, 2).addresses.gossip, &bytes, now);
        prop_assert!(agent.membership().table().len() <= before + 1);
    }
}
