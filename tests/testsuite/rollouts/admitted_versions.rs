//! Which version serves while no rollout is under way.

use std::{
    collections::HashMap,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant, SystemTime},
};

use oleandertiller::node::{
    rollout::admitted_versions::AdmittedVersions,
    view::{OwnerInfo, View},
};
use oleandertiller_model::{
    Intent, KindSpec, Lifecycle, Revision, ServiceSpec,
    intent::{PPM, Rollout, RolloutPhase},
};

/// Time after which the first choice of a serving version is final.
const SETTLE_TIME: Duration = Duration::from_secs(10);

fn owner(node: &str, version: &str, incarnation: u64) -> OwnerInfo {
    OwnerInfo {
        node: node.into(),
        incarnation,
        zone: "zone-a".into(),
        region: "region".into(),
        inner: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        version: version.into(),
        lifecycle: Lifecycle::Serving,
        reachable: true,
    }
}

fn rollout(phase: RolloutPhase) -> Rollout {
    Rollout {
        from: "v1".into(),
        to: "v2".into(),
        started: SystemTime::UNIX_EPOCH,
        deadline: SystemTime::UNIX_EPOCH,
        phase,
        share_ppm: if phase == RolloutPhase::Completed { PPM } else { 0 },
        controller: None,
        fence: Revision(1),
        reason: "".into(),
    }
}

fn view(owners: Vec<OwnerInfo>, phase: Option<RolloutPhase>) -> View {
    let mut intent = Intent::default();
    intent.rollouts.extend(phase.map(|phase| ("kettle".into(), rollout(phase))));
    let owners = HashMap::from([("kettle".into(), owners.into())]);
    View { intent: Arc::new(intent), owners }
}

fn admitted(view: &View, old: Option<&AdmittedVersions>, now: Instant) -> AdmittedVersions {
    let spec = ServiceSpec::new("kettle", vec![KindSpec::new("temper")]);
    AdmittedVersions::of(&spec, view, old, now)
}

fn serving_version(view: &View, old: Option<&AdmittedVersions>, now: Instant) -> Option<String> {
    admitted(view, old, now).serving().map(|version| version.as_str().to_owned())
}

fn v1() -> Option<String> {
    Some("v1".to_owned())
}

fn v2() -> Option<String> {
    Some("v2".to_owned())
}

/// Guards against new servers that take over because there are more of them than old ones.
#[test]
fn the_serving_version_stays_until_its_servers_are_gone() {
    let now = Instant::now();
    let first = admitted(&view(vec![owner("a", "v1", 1)], None), None, now);
    let later = now + SETTLE_TIME;
    let both = vec![owner("a", "v1", 1), owner("b", "v2", 2), owner("c", "v2", 3)];
    assert_eq!(serving_version(&view(both.clone(), None), Some(&first), later), v1());
    let mut unreachable = both.clone();
    unreachable[0].reachable = false;
    assert_eq!(serving_version(&view(unreachable, None), Some(&first), later), v1());
    let mut leaving = both.clone();
    leaving[0].lifecycle = Lifecycle::Draining;
    assert_eq!(serving_version(&view(leaving, None), Some(&first), later), v2());
    assert_eq!(serving_version(&view(both[1..].into(), None), Some(&first), later), v2());
}

/// Guards against a final choice from the part of the fleet that a node learns of first, and
/// against choices that differ between nodes when both versions have the same number of servers.
#[test]
fn the_first_choice_is_the_most_common_and_then_the_oldest_version() {
    let now = Instant::now();
    let first = admitted(&view(vec![owner("c", "v2", 3)], None), None, now);
    let equal = vec![owner("a", "v1", 1), owner("c", "v2", 3)];
    assert_eq!(serving_version(&view(equal.clone(), None), None, now), v1());
    assert_eq!(serving_version(&view(equal, None), Some(&first), now + SETTLE_TIME / 2), v1());
    let mut absent = vec![owner("a", "v1", 1), owner("c", "v2", 3)];
    absent[0].lifecycle = Lifecycle::Absent;
    assert_eq!(serving_version(&view(absent, None), None, now), v2());
    assert_eq!(serving_version(&view(vec![], None), None, now), None);
}

/// Guards against a version that was rolled back and serves again because its servers still run.
#[test]
fn the_last_rollout_determines_the_serving_version() {
    let now = Instant::now();
    let both = vec![owner("a", "v1", 1), owner("b", "v2", 2), owner("c", "v2", 3)];
    let completed = Some(RolloutPhase::Completed);
    let rolled_back = Some(RolloutPhase::RolledBack);
    assert_eq!(serving_version(&view(both[..2].into(), completed), None, now), v2());
    assert_eq!(serving_version(&view(both.clone(), rolled_back), None, now), v1());
    assert_eq!(serving_version(&view(both[1..].into(), rolled_back), None, now), None);
    let other = vec![owner("c", "v2", 3), owner("d", "v3", 4)];
    assert_eq!(serving_version(&view(other, rolled_back), None, now), Some("v3".to_owned()));
}
