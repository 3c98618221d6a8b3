//! The announcements of a node's local upstream, and which of them take effect.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use oleandertiller_model::{ServiceName, VersionName};
use serde::{Deserialize, Serialize};

/// Lifecycle stage of an upstream, in the order in which it passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// Accepts requests.
    Serving,
    /// Finishes the requests that it has and accepts no new ones.
    Draining,
    /// Has left for good.
    Gone,
}

/// One process start of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Incarnation {
    /// Name that the upstream gives itself; it may be the same after a restart.
    pub id: Arc<str>,
    /// Start, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_ms: u64,
}

/// State that an upstream announces.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Announcement {
    /// Incarnation that sent it.
    pub incarnation: Incarnation,
    /// Increases with each announcement of an incarnation.
    pub sequence: u64,
    /// Service that the upstream runs.
    pub service: ServiceName,
    /// Version of its software.
    pub version: VersionName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Stage of its lifecycle when it sent the announcement.
    pub stage: Stage,
    /// Time for which it stays cold.
    pub cold_for: Duration,
}

impl Announcement {
    /// Returns whether the upstream runs a version of a service.
    pub fn runs(&self, service: &ServiceName, version: &VersionName) -> bool {
        self.service == *service && self.version == *version
    }
}

/// Effect of an announcement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It is the first of a later incarnation, which replaces the current one.
    Replaced,
    /// It updates the current incarnation.
    Updated,
    /// It is older than the latest one, but says that the current incarnation is leaving.
    Advanced,
    /// It is older than the latest one; nothing changed.
    Stale,
}

/// A node's local upstream, as its latest announcement describes it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Upstream {
    latest: Option<Announcement>,
    /// An upstream that left before this node knew it, with its start if the message contained it.
    departed: Option<(Arc<str>, Option<u64>)>,
}

impl Upstream {
    /// Returns the latest announcement.
    pub fn latest(&self) -> Option<&Announcement> {
        self.latest.as_ref()
    }

    /// Applies an announcement, or only its stage if it is late. The stage of an incarnation never
    /// goes back, and a later start wins over an earlier one.
    pub fn apply(&mut self, announcement: Announcement) -> AnnouncementOutcome {
        if self.has_departed(&announcement.incarnation) {
            return AnnouncementOutcome::Stale;
        }
        let Some(latest) = &self.latest else {
            self.latest = Some(announcement);
            return AnnouncementOutcome::Replaced;
        };
        if announcement.incarnation == latest.incarnation {
            if announcement.sequence <= latest.sequence || latest.stage == Stage::Gone {
                return self.advance_stage(announcement.stage);
            }
            let stage = announcement.stage.max(latest.stage);
            self.latest = Some(Announcement { stage, ..announcement });
            return AnnouncementOutcome::Updated;
        }
        if announcement.incarnation.started_ms <= latest.incarnation.started_ms {
            return AnnouncementOutcome::Stale;
        }
        self.latest = Some(announcement);
        AnnouncementOutcome::Replaced
    }

    /// Applies the stage of a late announcement of the current incarnation. What it says of leaving
    /// stays true, and its sender takes the answer for an acknowledgement.
    fn advance_stage(&mut self, stage: Stage) -> AnnouncementOutcome {
        match &mut self.latest {
            Some(latest) if latest.stage < stage => {
                latest.stage = stage;
                AnnouncementOutcome::Advanced
            }
            _ => AnnouncementOutcome::Stale,
        }
    }

    /// Returns whether an incarnation left before this node knew it. An announcement that was sent
    /// before may arrive after that.
    fn has_departed(&mut self, incarnation: &Incarnation) -> bool {
        let Some((id, started_ms)) = &mut self.departed else { return false };
        // If the message did not contain the start, it meant the incarnation that is seen first.
        *id == incarnation.id
            && *started_ms.get_or_insert(incarnation.started_ms) >= incarnation.started_ms
    }

    /// Records that an incarnation has said in a response that it is leaving; returns whether that
    /// is news. It may go on announcing that it serves.
    pub fn on_leaving(&mut self, incarnation: &Incarnation) -> bool {
        let latest = self.latest.as_mut();
        let serving = latest
            .filter(|latest| latest.incarnation == *incarnation && latest.stage == Stage::Serving);
        let Some(serving) = serving else { return false };
        serving.stage = Stage::Draining;
        true
    }

    /// Records that an upstream has left; returns whether it is the current one. `started_ms` is
    /// `None` if the message did not contain it. A node that has just started may get this message
    /// before any announcement.
    pub fn leave(&mut self, id: &str, started_ms: Option<u64>) -> bool {
        if let Some(latest) = &mut self.latest
            && &*latest.incarnation.id == id
        {
            let is_current =
                started_ms.is_none_or(|started_ms| started_ms >= latest.incarnation.started_ms);
            if is_current {
                latest.stage = Stage::Gone;
            }
            return is_current;
        }
        self.departed = Some((id.into(), started_ms));
        false
    }

    /// Returns the incarnation that is leaving or has left, if there is no later one. A later process
    /// of the node has to know it, since an announcement that it sent before may still arrive. If its
    /// start is not known, it could not be told from its successor and is left out.
    pub fn departure(&self) -> Option<Incarnation> {
        match (&self.latest, &self.departed) {
            (Some(latest), _) => {
                (latest.stage != Stage::Serving).then(|| latest.incarnation.clone())
            }
            (None, Some((id, Some(started_ms)))) => {
                Some(Incarnation { id: id.clone(), started_ms: *started_ms })
            }
            (None, _) => None,
        }
    }

    /// Applies a departure that an earlier process of the node has stored; returns whether the
    /// current upstream has left by that. A departure that this process has seen itself is later.
    pub fn recall_departure(&mut self, incarnation: &Incarnation) -> bool {
        let is_latest = self.latest.as_ref().is_some_and(|l| l.incarnation.id == incarnation.id);
        let is_known = self.departure().as_ref() == Some(incarnation);
        if is_known || !is_latest && self.departed.is_some() {
            return false;
        }
        self.leave(&incarnation.id, Some(incarnation.started_ms))
    }

    /// Forgets an incarnation at whose address another upstream answers.
    pub fn forget(&mut self, incarnation: &Incarnation) {
        if self.latest.as_ref().is_some_and(|latest| latest.incarnation == *incarnation) {
            self.latest = None;
        }
    }
}
