//! What a node knows of the room of zones.

use std::time::{Duration, Instant};

use oleandertiller_mesh::zone_capacity::{ZoneCapacity, ZoneReport};
use oleandertiller_model::ZoneName;

fn zone(name: &str) -> ZoneName {
    name.into()
}

/// Applies the outcomes of 50 offers within half a second.
fn learn(zones: &mut ZoneCapacity, name: &str, started: bool, now: Instant) -> Instant {
    for step in 0..50 {
        zones.on_offer(&zone(name), started, now + Duration::from_millis(step * 10));
    }
    now + Duration::from_millis(490)
}

/// Guards against a zone that counts as full for ever after its peers are lost or late, and against
/// few offers in a round where nothing is known.
#[test]
fn lost_peers_leave_a_zone_full() {
    let start = Instant::now();
    let mut zones = ZoneCapacity::default();
    assert_eq!(zones.room(&zone("z1"), start), 1.0);
    assert_eq!(zones.max_offers(6, start), 6);
    let now = learn(&mut zones, "z1", false, start);
    assert!(zones.room(&zone("z1"), now) < 0.2);
    assert_eq!(zones.max_offers(6, now), 3);
    let later = now + Duration::from_secs(2);
    assert!(zones.room(&zone("z1"), later) > 0.9);
    assert_eq!(zones.max_offers(6, later), 6);
    assert!(zones.reports(later).is_empty(), "old knowledge is not relayed");
}

/// Guards against a single reply that moves the demand of a zone.
#[test]
fn one_reply_tells_of_a_whole_zone() {
    let mut zones = ZoneCapacity::default();
    let now = learn(&mut zones, "z1", true, Instant::now());
    zones.on_offer(&zone("z1"), false, now);
    assert!(zones.room(&zone("z1"), now) > 0.9);
}

/// Guards against a node that learns of another zone only by requests that it sends there, and
/// against a relayed figure that replaces a newer one.
#[test]
fn relayed_room_replaces_what_is_newer() {
    let start = Instant::now();
    let mut peer = ZoneCapacity::default();
    let now = learn(&mut peer, "z2", false, start);
    let mut zones = ZoneCapacity::default();
    zones.on_reports(&peer.reports(now), now);
    assert!(zones.room(&zone("z2"), now) < 0.2);
    let now = learn(&mut zones, "z2", true, now);
    let room = zones.room(&zone("z2"), now);
    zones.on_reports(&[ZoneReport { zone: zone("z2"), room: 0, age_ms: 400 }], now);
    assert_eq!(zones.room(&zone("z2"), now), room);
}
