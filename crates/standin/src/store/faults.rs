//! Injected faults of the store.

use serde::{Deserialize, Serialize};

/// What clients of a store see while it is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// Connections are refused.
    #[default]
    Refuse,
    /// Connections are accepted, but requests are neither executed nor answered.
    Hang,
}

/// Current faults. In the body of `POST /admin/faults`, fields that are left out stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether the store is down.
    pub down: bool,
    /// What clients see while it is down.
    pub down_mode: DownMode,
    /// Delay before a call is executed, in milliseconds.
    pub delay_ms: u64,
    /// Number of upcoming answers to writes that are lost although the write is executed.
    pub lose_answers: u32,
    /// Number of upcoming answers to watches that are lost.
    pub lose_watch_answers: u32,
}

impl StoreFaults {
    /// Returns whether connections are refused.
    pub fn refuses_connections(&self) -> bool {
        self.down && self.down_mode == DownMode::Refuse
    }

    /// Returns whether requests are neither executed nor answered.
    pub fn hangs(&self) -> bool {
        self.down && self.down_mode == DownMode::Hang
    }
}
