//! Which zones have room for more requests of a service.
//!
//! A node asks most owners of other zones too seldom to know their state, but the owners of a zone
//! have much in common: the demand of the zone, a cold start after a loss of power. The share of the
//! offers to a zone's owners that these start is learnt from all replies. A reply also relays what
//! its sender knows of the other zones, so that a node knows zones to which it sends nothing.
//!
//! Where hardly any offer is started in any zone, few owners are asked in a round: each offer is a
//! round trip, and waiting in a queue promises more. What is known of a zone decays to unknown, which
//! counts as room. This handles demand beyond the capacity of a service, and waves of demand of some
//! seconds in one zone, in which owners elsewhere are still asked.

use std::time::{Duration, Instant};

use oleandertiller_model::ZoneName;
use serde::{Deserialize, Serialize};

use crate::upstream_capacity::decay;

/// Time over which the room of a zone is smoothed: several answer times, and some dozen offers of one
/// node.
const SMOOTHING: Duration = Duration::from_millis(800);

/// Least weight of one reply, and so the inverse of the number of replies that are smoothed when many
/// arrive at once.
const MIN_WEIGHT: f64 = 0.04;

/// Age up to which the room of a zone is used unchanged.
const FRESH_FOR: Duration = Duration::from_millis(500);

/// Time constant with which the room of a zone then decays to unknown.
const UNKNOWN_DECAY: Duration = Duration::from_millis(500);

/// Age up to which the room of a zone is relayed.
const MAX_RELAYED_AGE: Duration = Duration::from_millis(500);

/// Maximum number of zones in one reply.
const MAX_REPORTS: usize = 6;

/// Room in the zone with the most below which few owners are asked in a round, and their number:
/// each offer is a round trip, and waiting in a queue promises more.
const SCARCE_ROOM: f64 = 0.2;
const MAX_OFFERS_WHEN_SCARCE: usize = 3;

/// What a node tells others of a zone.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ZoneReport {
    /// The zone.
    pub zone: ZoneName,
    /// Share of the offers to its owners that these start, in percent.
    pub room: u8,
    /// Age of the newest answer to an offer there, in milliseconds.
    pub age_ms: u16,
}

#[derive(Clone, Debug)]
struct Room {
    zone: ZoneName,
    share: f64,
    at: Instant,
}

/// The room of all zones for one service, as a node knows it.
#[derive(Clone, Debug, Default)]
pub struct ZoneCapacity {
    zones: Vec<Room>,
}

impl ZoneCapacity {
    /// Records whether an owner of a zone started an offered request or refused it for want of
    /// capacity. Its state is no measure: after a run, there is always a free slot.
    pub fn on_offer(&mut self, zone: &ZoneName, started: bool, now: Instant) {
        let sample = if started { 1.0 } else { 0.0 };
        match self.zones.iter_mut().find(|room| room.zone == *zone) {
            Some(room) => {
                let passed = now.saturating_duration_since(room.at);
                let weight = (1.0 - decay(passed, SMOOTHING)).max(MIN_WEIGHT);
                room.share += (sample - room.share) * weight;
                room.at = room.at.max(now);
            }
            // One reply says little of a zone.
            None => {
                let share = 0.5 + sample / 2.0;
                self.zones.push(Room { zone: zone.clone(), share, at: now });
            }
        }
    }

    /// Takes over what another node knows of zones of which this one knows less.
    pub fn on_reports(&mut self, reports: &[ZoneReport], now: Instant) {
        for report in reports.iter().take(MAX_REPORTS) {
            let age = Duration::from_millis(report.age_ms.into());
            let Some(at) = now.checked_sub(age) else { continue };
            let share = f64::from(report.room.min(100)) / 100.0;
            let may_add = self.zones.len() < MAX_REPORTS;
            match self.zones.iter_mut().find(|room| room.zone == report.zone) {
                Some(room) if at > room.at => {
                    let passed = at.saturating_duration_since(room.at);
                    room.share += (share - room.share) * (1.0 - decay(passed, SMOOTHING));
                    room.at = at;
                }
                Some(_) => {}
                None if may_add => {
                    self.zones.push(Room { zone: report.zone.clone(), share, at });
                }
                None => {}
            }
        }
    }

    /// Returns what to tell another node.
    pub fn reports(&self, now: Instant) -> Vec<ZoneReport> {
        let recent = self.zones.iter().filter_map(|room| {
            let age = now.saturating_duration_since(room.at);
            (age <= MAX_RELAYED_AGE).then(|| ZoneReport {
                zone: room.zone.clone(),
                room: (room.share * 100.0).round() as u8,
                age_ms: age.as_millis() as u16,
            })
        });
        recent.take(MAX_REPORTS).collect()
    }

    /// Returns the share of offers to a zone's owners that these start; 1 if unknown.
    pub fn room(&self, zone: &ZoneName, now: Instant) -> f64 {
        let Some(room) = self.zones.iter().find(|room| room.zone == *zone) else { return 1.0 };
        let age = now.saturating_duration_since(room.at).saturating_sub(FRESH_FOR);
        1.0 + (room.share - 1.0) * decay(age, UNKNOWN_DECAY)
    }

    /// Returns the number of owners to ask in one round, at most `max`.
    pub fn max_offers(&self, max: usize, now: Instant) -> usize {
        let most = self.zones.iter().map(|room| self.room(&room.zone, now)).fold(0.0, f64::max);
        let scarce = !self.zones.is_empty() && most < SCARCE_ROOM;
        if scarce { max.min(MAX_OFFERS_WHEN_SCARCE) } else { max }
    }
}
