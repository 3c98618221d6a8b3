//! Counts of the requests since a rollout order.

use std::time::{Duration, Instant};

use oleandertiller_mesh::exposure::{ExposureLedger, ExposureLimit, OwnerExposure, RequestCounts};
use oleandertiller_model::VersionName;

/// Guards against requests that are forgotten when the store is restored or counted for a later
/// order.
#[test]
fn owner_counts_the_requests_of_one_order() {
    let (v1, v2): (VersionName, VersionName) = ("v1".into(), "v2".into());
    let received = Instant::now();
    let mut owner = OwnerExposure::default();
    owner.on_start(&v1);
    owner.set_order(Some((7, received)));
    owner.on_start(&v1);
    owner.on_start(&v2);
    owner.set_order(Some((3, received)));
    assert_eq!(owner.counts().order_revision, 3);
    assert_eq!(owner.counts().started.values().sum::<u64>(), 2);
    owner.set_order(Some((9, received + Duration::from_secs(20))));
    assert_eq!(owner.counts().started.values().sum::<u64>(), 0);
}

/// Guards against requests that are forgotten when an owner restarts.
#[test]
fn ledger_keeps_the_requests_of_restarted_owners() {
    let (v1, v2): (VersionName, VersionName) = ("v1".into(), "v2".into());
    let mut ledger = ExposureLedger::default();
    for (incarnation, order, starts) in [(1, 7, 4), (2, 7, 3), (3, 6, 50)] {
        let mut owner = OwnerExposure::default();
        owner.set_order(Some((order, Instant::now())));
        for _ in 0..starts {
            owner.on_start(&v2);
        }
        owner.on_start(&v1);
        ledger.on_counts(("n1".into(), incarnation), &owner.counts(), 7, &v2);
    }
    assert_eq!(ledger.counts(), RequestCounts { all: 9, new: 7 });
    let limit = ExposureLimit { share: 0.5, extra: 2.0 };
    assert_eq!(limit.allowed(ledger.counts()), 6.5);
}
