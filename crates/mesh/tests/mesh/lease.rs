//! Life of the leases of node records.

use std::time::{Duration, Instant};

use oleandertiller_mesh::lease::{granted_ttl, lease_ttl, renewal_interval};

const BASE: Duration = Duration::from_secs(3);

/// Returns the renewals per second of a fleet, as the platform prices them: a tenth of a call each.
fn priced_renewals(nodes: usize, writes_per_second: f64) -> f64 {
    let interval = renewal_interval(lease_ttl(BASE, nodes, writes_per_second));
    nodes as f64 / interval.as_secs_f64() / 10.0
}

/// Guards against renewals that outgrow all other calls of a large fleet: 295 nodes made 39 priced
/// calls a second with leases of 3 s that were renewed each 0.75 s.
#[test]
fn renewals_of_a_large_fleet_are_few() {
    assert!(priced_renewals(295, 3_200.0) < 15.0);
    assert!(priced_renewals(8, 400.0) < 1.0);
}

/// Guards against a small fleet that notices a lost node late, and against a lease that ends after
/// a single lost renewal.
#[test]
fn leases_are_short_in_a_small_fleet_and_bear_a_lost_renewal() {
    for (nodes, rate) in [(0, 400.0), (13, 400.0), (69, 1_200.0)] {
        assert_eq!(lease_ttl(BASE, nodes, rate), BASE);
    }
    // The first lease of a large fleet is taken before any other node is known.
    assert_eq!(lease_ttl(BASE, 0, 3_200.0), BASE * 2);
    assert_eq!(lease_ttl(BASE, 17_000, 400.0), BASE * 2);
    for ttl in [BASE, BASE * 2] {
        assert!(renewal_interval(ttl) * 2 < ttl);
    }
}

/// Guards against a damaged answer of the store that makes a node renew without pause, or that ends
/// the process: a time far ahead cannot be added to the clock.
#[test]
fn damaged_lives_are_not_believed() {
    let shortest = Duration::from_secs(1);
    for granted in [Duration::ZERO, BASE, Duration::from_millis(u64::MAX)] {
        let interval = renewal_interval(granted_ttl(granted, BASE, shortest));
        assert!(Instant::now().checked_add(interval).is_some());
        assert!(interval >= shortest / 4 && interval < BASE);
    }
}
