//! The load report that an owner, the node beside an upstream, attaches to every answer.

use serde::{Deserialize, Serialize};

use crate::{intent::Revision, name::VersionName};

/// Life-cycle state of an upstream, as its owner sees it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lifecycle {
    /// Not announced, or its last announcement has expired.
    #[default]
    Absent,
    /// Starting; has reduced capacity until it is warm.
    Cold,
    /// Takes its full share of requests.
    Serving,
    /// Finishes its requests and takes no new ones.
    Draining,
}

impl Lifecycle {
    /// Returns whether new requests may be sent.
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Cold | Self::Serving)
    }
}

/// Load of an upstream at the time its owner sent an answer or a refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct LoadReport {
    /// Increases with each report of an owner incarnation, so that reordered reports are ignored.
    pub sequence: u64,
    /// Requests sent to the upstream and not yet answered.
    pub in_flight: u32,
    /// Concurrency limit in force, in requests.
    pub limit: u32,
    /// Requests in the owner's queue.
    pub queued: u32,
    /// Smoothed time in the owner's queue, in microseconds.
    pub queue_delay_us: u32,
    /// Smoothed service time of successful requests, in microseconds.
    pub service_time_us: u32,
    /// Life-cycle state of the upstream.
    pub lifecycle: Lifecycle,
    /// Version of the upstream.
    pub version: VersionName,
    /// Revision of the intent in force at the owner.
    pub revision: Revision,
}
