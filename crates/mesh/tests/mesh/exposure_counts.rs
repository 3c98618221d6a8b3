//! Counts of the requests since a rollout order.

use std::time::{Duration, Instant};

use oleandertiller_mesh::exposure::{
    Demand, ExposureLedger, ExposureLimit, Grant, OwnerExposure, RequestCounts,
};
use oleandertiller_model::VersionName;

/// Guards against requests that are forgotten when the store is restored or counted for a later
/// order.
#[test]
fn owner_counts_the_requests_of_one_order() {
    let (v1, v2): (VersionName, VersionName) = ("v1".into(), "v2".into());
    let received = Instant::now();
    let mut owner = OwnerExposure::default();
    owner.try_start(&v1, false, received);
    owner.set_order(Some((7, received)));
    owner.try_start(&v1, false, received);
    owner.try_start(&v2, false, received);
    owner.set_order(Some((3, received)));
    assert_eq!(owner.counts(received).order_revision, 3);
    assert_eq!(owner.counts(received).started.values().sum::<u64>(), 2);
    owner.set_order(Some((9, received + Duration::from_secs(20))));
    assert_eq!(owner.counts(received).started.values().sum::<u64>(), 0);
}

/// Guards against requests that are forgotten when an owner restarts.
#[test]
fn ledger_keeps_the_requests_of_restarted_owners() {
    let (v1, v2): (VersionName, VersionName) = ("v1".into(), "v2".into());
    let received = Instant::now();
    let mut ledger = ExposureLedger::default();
    for (incarnation, order, starts) in [(1, 7, 4), (2, 7, 3), (3, 6, 50)] {
        let mut owner = OwnerExposure::default();
        owner.set_order(Some((order, received)));
        for _ in 0..starts {
            owner.try_start(&v2, false, received);
        }
        owner.try_start(&v1, false, received);
        ledger.on_counts(("n1".into(), incarnation), &owner.counts(received), 7, &v2);
    }
    assert_eq!(ledger.counts(), RequestCounts { all: 9, new: 7 });
    let limit = ExposureLimit { share: 0.5, extra: 2.0 };
    assert_eq!(limit.allowed(ledger.counts()), 6.5);
}

fn starts(owner: &mut OwnerExposure, now: Instant) -> usize {
    (0..1_000).take_while(|_| owner.try_start(&"v2".into(), true, now)).count()
}

/// Guards against a new version that gets requests which its leader has not granted: after a repeated
/// or late grant, one of an earlier leader, of an earlier order, or none for a second.
#[test]
fn owner_starts_no_more_than_granted() {
    let received = Instant::now();
    let mut owner = OwnerExposure::default();
    owner.set_order(Some((7, received)));
    assert_eq!(starts(&mut owner, received), 0);
    let grant = |fence, up_to| Grant { order_revision: 7, fence, up_to };
    owner.on_grant(grant(5, 3), received);
    assert_eq!(starts(&mut owner, received), 3);
    owner.on_grant(grant(5, 3), received);
    assert_eq!(starts(&mut owner, received), 0, "a repeated grant");
    owner.on_grant(grant(4, 50), received);
    assert_eq!(starts(&mut owner, received), 0, "an earlier leader");
    owner.on_grant(Grant { order_revision: 6, fence: 9, up_to: 50 }, received);
    assert_eq!(starts(&mut owner, received), 0, "an earlier order");
    owner.on_grant(grant(6, 50), received);
    assert_eq!(starts(&mut owner, received + Duration::from_secs(1)), 0, "a lapsed grant");
    owner.on_grant(grant(6, 50), received);
    assert_eq!(starts(&mut owner, received), 47);
    let restored = received + Duration::from_secs(2);
    owner.on_grant(grant(2, 51), restored);
    assert_eq!(starts(&mut owner, restored), 1, "a leader after a restore of the store");
    owner.on_not_sent(&"v2".into());
    assert_eq!(starts(&mut owner, restored), 1, "a request that was not sent");
}

/// Guards against grants that are forgotten when an owner does not answer or restarts, and given to
/// others again.
#[test]
fn grants_of_silent_owners_stay_used() {
    let (v2, now): (VersionName, _) = ("v2".into(), Instant::now());
    let limit = ExposureLimit { share: 0.0, extra: 10.0 };
    let owners = [("n1".into(), 1), ("n2".into(), 1)];
    let mut ledger = ExposureLedger::default();
    let mut owner = OwnerExposure::default();
    owner.set_order(Some((7, now)));
    for name in &owners {
        ledger.on_counts(name.clone(), &owner.counts(now), 7, &v2);
    }
    let grant = |ledger: &mut ExposureLedger, owners: &[_]| -> u64 {
        let room = limit.remaining(ledger.committed());
        let demand = Demand { share: 1.0, per_second: 1e3, room };
        ledger.grant(owners, demand, now).into_iter().flatten().sum()
    };
    assert_eq!(grant(&mut ledger, &owners), 10);
    ledger.begin_round();
    assert_eq!(ledger.counts().new, 10);
    // The first owner has restarted; what its earlier process did with its grant is not known.
    let restarted = [("n1".into(), 2)];
    ledger.on_counts(restarted[0].clone(), &owner.counts(now), 7, &v2);
    assert_eq!(grant(&mut ledger, &restarted), 0);
    // The second one answers that it has used nothing, and that its grant has lapsed.
    ledger.on_counts(owners[1].clone(), &owner.counts(now), 7, &v2);
    assert_eq!(grant(&mut ledger, &restarted), 5);
}
