//! Documents and changes of a given size.

use std::time::{Duration, SystemTime};

use oleandertiller_model::intent::{
    Action, Change, Intent, Keeper, KeeperSet, RECENT_OPERATIONS_MAX, Revision, Rollout,
    RolloutPhase, ZoneIntent,
};
use oleandertiller_model::{KindSpec, NodeName, ServiceName, ServiceSpec};
use uuid::Uuid;

/// Size of a document.
#[derive(Clone, Copy, Debug)]
pub struct DocumentSize {
    /// Services.
    pub services: usize,
    /// Kinds of request of each service.
    pub kinds: usize,
    /// Keepers of the whole fleet, spread over the services.
    pub keepers: usize,
    /// Services with a rollout.
    pub rollouts: usize,
}

/// Start of the sample's time; timestamps have realistic lengths.
fn epoch() -> SystemTime {
    SystemTime::UNIX_EPOCH + Duration::from_millis(1_800_000_000_123)
}

/// Returns the name of a service.
pub fn service_name(number: usize) -> ServiceName {
    format!("service-{number:04}").as_str().into()
}

/// Returns a keeper with the name of a node of the target.
pub fn keeper(number: usize) -> Keeper {
    let node = NodeName::from(format!("node-{number:05}").as_str());
    Keeper { node, incarnation: 1_800_000_000_123 + number as u64 }
}

/// Returns a document of the given size that has run for long: 1,024 operations are remembered.
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
    let first = doc.revision.0 - RECENT_OPERATIONS_MAX as u64;
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
        started: epoch(),
        deadline: epoch() + Duration::from_secs(3_600),
        phase: RolloutPhase::Completed,
        share_ppm: 1_000_000,
        controller: Some(keeper(number).node),
        fence: Revision(999_000),
        reason: "held for 600 s without a difference on any route".into(),
    }
}

/// Returns the change that replaces a keeper after its node's restart.
pub fn put_keeper(doc: &Intent, number: usize) -> Change {
    let mut new = keeper(number);
    new.incarnation += doc.revision.0;
    let service = service_name(number % doc.services.len());
    change(doc, Action::PutKeeper(service, new))
}

/// Returns the change that moves a rollout on.
pub fn step_rollout(doc: &Intent) -> Change {
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
    Change { revision, operation, author: "operator@node-00001".into(), at: epoch(), action }
}
