//! Faults of the store.

use serde::{Deserialize, Serialize};

/// How the store is down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// Connections are refused.
    #[default]
    Refuse,
    /// Connections are accepted and requests are never answered nor carried out.
    Hang,
}

/// Faults in force, the body of `POST /admin/faults`; a field left out is unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct StoreFaults {
    /// Whether the store is down.
    pub down: bool,
    /// How it is down.
    pub down_mode: DownMode,
    /// Delay before a call is carried out.
    pub delay_ms: u64,
    /// Number of next answers to writes that are lost after the write took effect.
    pub lose_answers: u32,
    /// Number of next answers to watches that are lost.
    pub lose_watch_answers: u32,
}

impl StoreFaults {
    /// Returns whether connections are refused.
    pub fn refuses(&self) -> bool {
        self.down && self.down_mode == DownMode::Refuse
    }

    /// Returns whether requests are left without an answer.
    pub fn hangs(&self) -> bool {
        self.down && self.down_mode == DownMode::Hang
    }
}
