//! What the upstream beside a node says of itself, and which of its messages count.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use oleandertiller_model::{ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Stage in the life of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Takes requests.
    Serving,
    /// Is leaving: finishes what it has and takes nothing new.
    Draining,
    /// Has said that it leaves for good.
    Gone,
}

/// One start of an upstream, as ordered against other starts.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Incarnation {
    /// Name that the upstream gives itself; it may keep it over a restart.
    pub id: Arc<str>,
    /// Start, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// An announcement of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Announcement {
    /// Which start of the upstream speaks.
    pub incarnation: Incarnation,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Stage in its life.
    pub stage: Stage,
    /// How much longer it stays cold.
    pub cold_for: Duration,
}

/// What became of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The first word of another incarnation.
    Replaced,
    /// News of the known incarnation.
    Updated,
    /// Older than what is known; nothing changed.
    Stale,
}

/// The upstream beside a node, as far as it is known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Upstream {
    known: Option<Announcement>,
}

impl Upstream {
    /// Returns the newest announcement.
    pub fn latest(&self) -> Option<&Announcement> {
        self.known.as_ref()
    }

    /// Takes an announcement, unless a newer one is known. One incarnation never returns from
    /// [`Stage::Gone`], and the later start wins over the earlier.
    pub fn apply(&mut self, news: Announcement) -> AnnouncementOutcome {
        let Some(known) = &self.known else {
            self.known = Some(news);
            return AnnouncementOutcome::Replaced;
        };
        if news.incarnation == known.incarnation {
            if news.sequence <= known.sequence || known.stage == Stage::Gone {
                return AnnouncementOutcome::Stale;
            }
            self.known = Some(news);
            return AnnouncementOutcome::Updated;
        }
        if news.incarnation.started_ms <= known.incarnation.started_ms {
            return AnnouncementOutcome::Stale;
        }
        self.known = Some(news);
        AnnouncementOutcome::Replaced
    }

    /// Takes note that an upstream has left; returns whether it is the known one. `born` is `None`
    /// when the message did not name it.
    pub fn leave(&mut self, id: &str, born: Option<u64>) -> bool {
        let Some(known) = &mut self.known else { return false };
        let same = &*known.incarnation.id == id
            && born.is_none_or(|born| born >= known.incarnation.started_ms);
        if same {
            known.stage = Stage::Gone;
        }
        same
    }

    /// Forgets an upstream that turned out to be another one than announced.
    pub fn forget(&mut self, incarnation: &Incarnation) {
        if self.known.as_ref().is_some_and(|known| known.incarnation == *incarnation) {
            self.known = None;
        }
    }
}
