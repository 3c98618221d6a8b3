//! Picks the version that serves a request.

use oleandertiller_model::intent::{PPM, Rollout, RolloutPhase};
use xxhash_rust::xxh3::xxh3_64;

use crate::MAX_UNPROVED_SHARE_PPM;

/// Which versions have a server that accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Availability {
    /// Whether the old version has one.
    pub old: bool,
    /// Whether the new version has one.
    pub new: bool,
}

/// The version that was picked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The old version.
    Old,
    /// The new version.
    New,
    /// No version may serve the request now.
    Neither,
}

/// Returns the draw for a request ID: a hash, so that retries of a request stay with one version.
pub fn draw_for_request(request_id: &str) -> u64 {
    xxh3_64(request_id.as_bytes())
}

/// Picks the version for a request.
///
/// `draw` is uniformly distributed over all values: random, or from [`draw_for_request`].
pub fn pick(rollout: &Rollout, vetoed: bool, availability: Availability, draw: u64) -> Choice {
    let share = share_ppm(rollout, vetoed);
    let drawn = ((u128::from(draw) * u128::from(PPM)) >> 64) as u32;
    if drawn < share && availability.new {
        return Choice::New;
    }
    if availability.old {
        return Choice::Old;
    }
    // Without a server of the old version, only a proved version takes more than its share.
    if share > MAX_UNPROVED_SHARE_PPM && availability.new {
        return Choice::New;
    }
    Choice::Neither
}

/// Returns the new version's share of requests at an ingress, in parts per million.
pub fn share_ppm(rollout: &Rollout, vetoed: bool) -> u32 {
    match rollout.phase {
        RolloutPhase::RolledBack => 0,
        RolloutPhase::Completed => PPM,
        RolloutPhase::Advancing | RolloutPhase::Holding if vetoed => 0,
        RolloutPhase::Advancing | RolloutPhase::Holding => rollout.share_ppm,
    }
}
