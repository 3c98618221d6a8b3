//! What an owner reports about its upstream on every answer.

use serde::{Deserialize, Serialize};

use crate::{intent::Revision, name::VersionName};

/// Where an upstream is in its life, as its owner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// Nothing has been announced, or not for too long.
    #[default]
    Absent,
    /// Started, and can bear only a little.
    Cold,
    /// Takes its full share.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
}

impl Lifecycle {
    /// Returns whether new work may be sent.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Cold | Self::Serving)
    }
}

/// Load of one upstream at the moment its owner sent an answer or a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Grows with every report of one owner incarnation, so that late reports are ignored.
    pub sequence: u64,
    /// Requests handed to the upstream and not yet answered.
    pub in_flight: u32,
    /// Present concurrency limit.
    pub limit: u32,
    /// Requests waiting at the owner.
    pub queued: u32,
    /// Smoothed wait at the owner, in microseconds.
    pub queue_delay_us: u32,
    /// Smoothed service time of successful requests, in microseconds.
    pub service_time_us: u32,
    /// Life cycle of the upstream.
    pub lifecycle: Lifecycle,
    /// Version of the upstream.
    pub version: VersionName,
    /// Revision of the intent in force at the owner.
    pub revision: Revision,
}
