//! The seeded schedule of disturbances, and the announcements of the upstreams.

use std::time::{Duration, Instant};

use oleandertiller_standin::{
    platform::{LostWrite, Outage},
    proxy::ProxyFaults,
};
use rand::{Rng, rngs::StdRng, seq::IndexedRandom};

use super::timeline::{Scope, Timeline};
use crate::fleet::{Fleet, StdoutReader};

/// Time between two announcements of an upstream.
const ANNOUNCEMENT_INTERVAL: Duration = Duration::from_millis(1_500);

/// Time after SIGTERM at which the platform kills a process; `gracePeriodS` of the users.
pub const GRACE_TIME: Duration = Duration::from_secs(6);

/// Time for which an upstream stays cold.
const COLD_TIME: Duration = Duration::from_millis(4_500);

/// Time before the first disturbance.
const CALM_START: Duration = Duration::from_secs(4);

#[derive(Clone, Copy, Debug)]
enum Disturbance {
    /// The node loses the store.
    CutStore,
    /// The node loses the store and is killed a little later.
    CutAndKill,
    Kill,
    Pause,
    Stop,
    Reload,
    Cold,
    StoreOutage,
    Compaction,
    LostAnswer,
}

/// Disturbances of single nodes; the bounds hold at all others.
const OF_NODES: [Disturbance; 9] = [
    Disturbance::CutStore,
    Disturbance::CutStore,
    Disturbance::CutStore,
    Disturbance::CutAndKill,
    Disturbance::Kill,
    Disturbance::Pause,
    Disturbance::Stop,
    Disturbance::Reload,
    Disturbance::Cold,
];

/// Disturbances of the store, after which no node is in touch for a while.
const OF_STORE: [Disturbance; 3] =
    [Disturbance::StoreOutage, Disturbance::Compaction, Disturbance::LostAnswer];

/// Something that is due later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Due {
    Kill(usize),
    Start(usize),
    Continue(usize),
    RestoreLink(usize),
    EndOutage,
    EndStoreDisturbance,
}

/// A planned stop of a node.
#[derive(Clone, Copy, Debug)]
pub struct PlannedStop {
    pub node: usize,
    pub at: Instant,
}

/// Time for which an upstream is cold.
#[derive(Clone, Copy, Debug)]
pub struct ColdTime {
    pub node: usize,
    pub from: Instant,
    pub to: Instant,
}

pub struct Schedule {
    timeline: Timeline,
    announced: Vec<bool>,
    next_announcement: Vec<Instant>,
    next: Duration,
    due: Vec<(Instant, Due)>,
    cold: Vec<ColdTime>,
    stops: Vec<PlannedStop>,
}

impl Schedule {
    pub fn new(fleet: &Fleet, announced: usize, timeline: Timeline) -> Self {
        let nodes = fleet.members.len();
        Self {
            timeline,
            announced: (0..nodes).map(|node| node < announced).collect(),
            next_announcement: vec![Instant::now(); nodes],
            next: CALM_START,
            due: Vec::new(),
            cold: Vec::new(),
            stops: Vec::new(),
        }
    }

    /// Has the upstreams of the new version announce themselves from now on.
    pub fn announce_new(&mut self) {
        self.announced.fill(true);
    }

    pub fn cold_times(&self) -> &[ColdTime] {
        &self.cold
    }

    pub fn stops(&self) -> &[PlannedStop] {
        &self.stops
    }

    /// Does what is due: announcements, disturbances and their ends.
    pub async fn advance(&mut self, fleet: &mut Fleet, rng: &mut StdRng) {
        self.announce(fleet).await;
        self.end_due(fleet, Instant::now());
        if self.timeline.elapsed() >= self.next {
            self.disturb(fleet, rng);
            let pause = rng.random_range(100..2_500);
            self.next = self.timeline.elapsed() + Duration::from_millis(pause);
        }
    }

    async fn announce(&mut self, fleet: &mut Fleet) {
        for node in 0..fleet.members.len() {
            let now = Instant::now();
            if !self.announced[node] || now < self.next_announcement[node] {
                continue;
            }
            let cold = self.cold.iter().filter(|cold| cold.node == node && now < cold.to);
            let cold_for = cold.map(|cold| cold.to - now).max().unwrap_or_default();
            let announcement = fleet.members[node].announce_cold("ready", cold_for);
            let answer = async_std::future::timeout(Duration::from_millis(50), announcement).await;
            let acknowledged = answer.is_ok_and(|status| status == 200);
            // The next node is another one, so an unanswered announcement is repeated soon.
            let pause =
                if acknowledged { ANNOUNCEMENT_INTERVAL } else { ANNOUNCEMENT_INTERVAL / 3 };
            self.next_announcement[node] = now + pause;
        }
    }

    fn disturb(&mut self, fleet: &mut Fleet, rng: &mut StdRng) {
        let kind = match rng.random_bool(0.12) {
            true => *OF_STORE.choose(rng).unwrap(),
            false => *OF_NODES.choose(rng).unwrap(),
        };
        // The first nodes of the zones feed the others.
        let nodes = fleet.members.len();
        let first = |zone: usize| {
            let zone = format!("z{}", zone + 1);
            (0..nodes).find(|node| fleet.members[*node].zone == zone).unwrap_or(0)
        };
        let node = match rng.random_bool(0.4) {
            true => first(rng.random_range(0..3)),
            false => rng.random_range(0..nodes),
        };
        let (short, long) = (rng.random_range(100..2_500), rng.random_range(1_500..7_000));
        if self.due.iter().any(|(_, due)| due.node() == Some(node)) {
            return;
        }
        self.timeline.note(format!("{kind:?} at node {node}, {short} or {long} ms"));
        self.apply(kind, node, short, long, fleet, rng);
    }

    fn apply(
        &mut self,
        kind: Disturbance,
        node: usize,
        short: u64,
        long: u64,
        fleet: &mut Fleet,
        rng: &mut StdRng,
    ) {
        let member = &mut fleet.members[node];
        match kind {
            Disturbance::CutStore | Disturbance::CutAndKill => {
                self.timeline.begin(Scope::Node(node));
                let faults = [
                    ProxyFaults { reset: true, ..Default::default() },
                    ProxyFaults { freeze: true, ..Default::default() },
                    ProxyFaults { lose_down: true, ..Default::default() },
                ];
                member.links.as_ref().unwrap().0.set_faults(faults.choose(rng).unwrap().clone());
                self.after(long, Due::RestoreLink(node));
                if matches!(kind, Disturbance::CutAndKill) {
                    self.after(short / 2, Due::Kill(node));
                }
            }
            Disturbance::Kill => self.kill(node, short, fleet),
            Disturbance::Pause => {
                self.timeline.begin(Scope::Node(node));
                member.signal("STOP");
                self.after(long, Due::Continue(node));
            }
            Disturbance::Stop => {
                self.timeline.begin(Scope::Node(node));
                member.signal("TERM");
                self.stops.push(PlannedStop { node, at: Instant::now() });
                self.after(GRACE_TIME.as_millis() as u64, Due::Kill(node));
            }
            Disturbance::Reload => member.signal("HUP"),
            Disturbance::Cold => {
                let from = Instant::now();
                let to = from + COLD_TIME;
                member.upstream.change(|behaviour| behaviour.cold_until = Some(to));
                self.cold.push(ColdTime { node, from, to });
                self.next_announcement[node] = from;
            }
            Disturbance::StoreOutage => {
                self.timeline.begin(Scope::Store);
                let outages = [Outage::Silent, Outage::Busy, Outage::Reset];
                fleet.store.set_outage(*outages.choose(rng).unwrap());
                self.after(long, Due::EndOutage);
            }
            Disturbance::Compaction => {
                self.timeline.begin(Scope::Store);
                fleet.store.compact_history();
                self.after(0, Due::EndStoreDisturbance);
            }
            Disturbance::LostAnswer => {
                self.timeline.begin(Scope::Store);
                let key = ["mesh/lead/", "mesh/rollout/", "mesh/nodes/"].choose(rng).unwrap();
                let late = LostWrite::Late(Duration::from_millis(short));
                let lost = *[LostWrite::Done, late, LostWrite::NotDone].choose(rng).unwrap();
                fleet.store.lose_answer(key, lost);
                self.after(short, Due::EndStoreDisturbance);
            }
        }
    }

    fn kill(&mut self, node: usize, down_ms: u64, fleet: &mut Fleet) {
        self.timeline.begin(Scope::Node(node));
        if fleet.members[node].is_running() {
            fleet.members[node].kill();
        }
        self.after(down_ms, Due::Start(node));
    }

    fn after(&mut self, millis: u64, due: Due) {
        self.due.push((Instant::now() + Duration::from_millis(millis), due));
    }

    fn end_due(&mut self, fleet: &mut Fleet, now: Instant) {
        let (due, later): (Vec<_>, _) = self.due.drain(..).partition(|(at, _)| *at <= now);
        self.due = later;
        for (_, due) in due {
            self.timeline.note(format!("{due:?}"));
            self.end(fleet, due);
        }
    }

    fn end(&mut self, fleet: &mut Fleet, due: Due) {
        match due {
            Due::Kill(node) => self.kill(node, 300, fleet),
            Due::Start(node) => {
                fleet.members[node].start(StdoutReader::Running);
                self.end_of_node(node);
            }
            Due::Continue(node) => {
                fleet.members[node].signal("CONT");
                self.end_of_node(node);
            }
            Due::RestoreLink(node) => {
                let links = fleet.members[node].links.as_ref().unwrap();
                links.0.set_faults(ProxyFaults::default());
                self.end_of_node(node);
            }
            Due::EndOutage => {
                fleet.store.set_outage(Outage::None);
                self.end_of_store();
            }
            Due::EndStoreDisturbance => self.end_of_store(),
        }
    }

    /// Records the end of a disturbance of the store, unless another one goes on.
    fn end_of_store(&self) {
        if !self.due.iter().any(|(_, due)| due.node().is_none()) {
            self.timeline.end(Scope::Store);
        }
    }

    /// Records the end of a disturbance of a node, unless another one goes on.
    fn end_of_node(&self, node: usize) {
        if !self.due.iter().any(|(_, due)| due.node() == Some(node)) {
            self.timeline.end(Scope::Node(node));
        }
    }

    /// Ends all disturbances.
    pub async fn finish(&mut self, fleet: &mut Fleet) {
        for (_, due) in std::mem::take(&mut self.due) {
            match due {
                Due::Kill(_) => {}
                due => self.end(fleet, due),
            }
        }
    }
}

impl Due {
    fn node(self) -> Option<usize> {
        match self {
            Self::Kill(node)
            | Self::Start(node)
            | Self::Continue(node)
            | Self::RestoreLink(node) => Some(node),
            Self::EndOutage | Self::EndStoreDisturbance => None,
        }
    }
}
