//! Sample intent documents and changes, with names and timestamps of realistic lengths.

use std::time::{Duration, SystemTime};

use oleandertiller_model::intent::{
    Action, Change, Intent, Keeper, KeeperSet, MAX_RECENT_OPERATIONS, Revision, Rollout,
    RolloutPhase, ZoneIntent,
};
use oleandertiller_model::{KindSpec, NodeName, ServiceName, ServiceSpec};
use uuid::Uuid;

/// Size of a sample document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentSize {
    /// Number of services.
    pub services: usize,
    /// Number of request kinds of each service.
    pub kinds: usize,
    /// Number of keepers in the whole fleet, spread evenly over the services.
    pub keepers: usize,
    /// Number of services with a rollout.
    pub rollouts: usize,
}

/// Returns the time of all events of the sample. A time near the present gives timestamps of
/// realistic lengths.
fn sample_time() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(1_800_000_000_123)
}

/// Returns the name of the sample's service with this number.
pub fn service_name(number: usize) -> ServiceName {
    format!("service-{number:04}").as_str().into()
}

/// Returns the keeper with this number; its node's name is as long as those of a fleet of 17,000.
pub fn keeper(number: usize) -> Keeper {
    let node = NodeName::from(format!("node-{number:05}").as_str());
    Keeper { node, incarnation: 1_800_000_000_123 + number as u64 }
}

/// Returns a sample document of the given size. It holds the maximum number of recent operations,
/// as after a long time in use.
pub fn document(size: DocumentSize) -> Intent {
    let mut doc = Intent { revision: Revision(1_000_000), ..Intent::default() };
    for zone in 0..17 {
        doc.zones.insert(format!("zone-{zone:02}").as_str().into(), ZoneIntent::In);
    }
    for number in 0..size.services {
        let kinds = (0..size.kinds).map(|kind| KindSpec::new(format!("kind-{kind:02}").as_str()));
        let name = service_name(number);
        doc.services.insert(name.clone(), ServiceSpec::new(name, kinds.collect()));
    }
    for number in 0..size.keepers {
        let service = service_name(number % size.services);
        let set: &mut KeeperSet = doc.keepers.entry(service).or_default();
        set.epoch += 1;
        set.members.push(keeper(number));
    }
    for number in 0..size.rollouts {
        doc.rollouts.insert(service_name(number), rollout(number));
    }
    let first = doc.revision.0 - MAX_RECENT_OPERATIONS as u64;
    for revision in first + 1..=doc.revision.0 {
        doc.recent.push_back((operation(revision), Revision(revision)));
    }
    doc
}

fn operation(revision: u64) -> Uuid {
    Uuid::from_u128(0x0190_0000_0000_7000_8000_0000_0000_0000 | u128::from(revision) << 8)
}

fn rollout(number: usize) -> Rollout {
    Rollout {
        from: "v1.4.2".into(),
        to: "v1.4.3".into(),
        started: sample_time(),
        deadline: sample_time() + Duration::from_secs(3_600),
        phase: RolloutPhase::Completed,
        share_ppm: 1_000_000,
        controller: Some(keeper(number).node),
        fence: Revision(999_000),
        reason: "held for 600 s without a difference on any route".into(),
    }
}

/// Returns the change that replaces a keeper by a later incarnation of its node, as after a restart.
pub fn keeper_replacement(doc: &Intent, number: usize) -> Change {
    let mut restarted = keeper(number);
    restarted.incarnation += doc.revision.0;
    let service = service_name(number % doc.services.len());
    change(doc, Action::PutKeeper(service, restarted))
}

/// Returns a change that advances a rollout.
pub fn rollout_step(doc: &Intent) -> Change {
    let action = Action::StepRollout {
        service: service_name(0),
        fence: Revision(999_000),
        phase: RolloutPhase::Advancing,
        share_ppm: 50_000,
        reason: "the new version is proved no worse on all routes at this share".into(),
    };
    change(doc, action)
}

fn change(doc: &Intent, action: Action) -> Change {
    let revision = doc.revision.next();
    let operation = operation(revision.0);
    Change { revision, operation, author: "operator@node-00001".into(), at: sample_time(), action }
}
