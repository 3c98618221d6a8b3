//! Requests with idempotency keys through nodes in one process. A shared intent takes the place of
//! the store.

use std::{
    sync::{Arc, Mutex},
    time::{Duration, SystemTime},
};

use async_channel::Sender;
use async_std::{
    future::timeout,
    task::{self, JoinHandle, block_on},
};
use oleandertiller::node::{
    keeper::{CommandSubmitter, KeeperService},
    view::{OwnerInfo, ViewCell},
};
use oleandertiller_model::{Action, Change, Intent, ServiceName, SystemClock};
use uuid::Uuid;

use crate::dataplane::fleet::*;

/// Intent shared by all nodes; a command changes it and every view at once.
#[derive(Clone)]
struct SharedIntent {
    intent: Arc<Mutex<Intent>>,
    views: Arc<Mutex<Vec<ViewCell>>>,
}

impl CommandSubmitter for SharedIntent {
    async fn submit(&self, action: Action) -> bool {
        let mut intent = self.intent.lock().unwrap();
        let change = Change {
            revision: intent.revision.next(),
            operation: Uuid::new_v4(),
            author: "test".into(),
            at: SystemTime::now(),
            action,
        };
        let accepted = intent.apply(&change).is_ok();
        let shared = Arc::new(intent.clone());
        for view in self.views.lock().unwrap().iter() {
            view.update(|view| view.intent = shared.clone());
        }
        accepted
    }
}

struct KeeperNode {
    member: Member,
    keeper: Arc<KeeperService<SystemClock>>,
    stop: Sender<()>,
    task: JoinHandle<()>,
}

struct Fleet {
    shared: SharedIntent,
    nodes: Vec<KeeperNode>,
}

impl Fleet {
    /// Starts nodes and waits until all are keepers.
    async fn start(count: usize) -> Self {
        let fleet = Self::start_without_waiting(count).await;
        fleet.wait_until_settled(count).await;
        fleet
    }

    async fn start_without_waiting(count: usize) -> Self {
        let shared = SharedIntent {
            intent: Arc::new(Mutex::new(intent())),
            views: Arc::new(Mutex::new(Vec::new())),
        };
        let mut fleet = Self { shared, nodes: Vec::new() };
        for i in 0..count {
            let member = Member::start(config(&format!("kettle-{i}"))).await;
            fleet.shared.views.lock().unwrap().push(member.view.clone());
            let keeper = member.node.kernel().find::<KeeperService<SystemClock>>("keeper").unwrap();
            let (stop, stopped) = async_channel::bounded(1);
            let (shared, running) = (fleet.shared.clone(), keeper.clone());
            let task = task::spawn(async move { running.run(&shared, stopped).await });
            fleet.nodes.push(KeeperNode { member, keeper, stop, task });
        }
        fleet.update_views(None);
        fleet
    }

    /// Sets all owners in the views of all nodes; `unreachable` is added as an unreachable one.
    fn update_views(&self, unreachable: Option<&OwnerInfo>) {
        let mut infos: Vec<_> = self.nodes.iter().map(|node| node.member.info()).collect();
        infos.extend(unreachable.map(|info| OwnerInfo { reachable: false, ..info.clone() }));
        let intent = Arc::new(self.shared.intent.lock().unwrap().clone());
        for view in self.shared.views.lock().unwrap().iter() {
            view.update(|view| {
                view.intent = intent.clone();
                view.owners = [(ServiceName::from("kettle"), infos.clone().into())].into();
            });
            view.serve_always();
        }
    }

    /// Waits until `count` nodes are keepers with complete ledgers.
    async fn wait_until_settled(&self, count: usize) {
        eventually("the keeper set settles", || {
            let intent = self.shared.intent.lock().unwrap();
            let set = intent.keepers.get("kettle").cloned().unwrap_or_default();
            let has_complete_ledger =
                |node: &KeeperNode| node.member.node.ledger().handover_is_complete(set.epoch);
            set.members.len() == count
                && set.leaving.is_empty()
                && self.nodes.iter().all(has_complete_ledger)
        })
        .await;
    }

    fn runs(&self) -> usize {
        self.nodes.iter().map(|node| node.member.upstream.record.runs()).sum()
    }

    async fn send(&self, node: usize, key: &str) -> Message {
        let mut client = Client::connect(self.nodes[node].member.node.client_addr()).await;
        let headers = [("idempotency-key", key), ("x-deadline-ms", "1500")];
        client.send("POST", "/kettle/release", &headers, key.as_bytes()).await
    }
}

/// Guards against a repeat that is run again, or gets another answer than the first request.
#[test]
fn repeats_at_any_node_get_the_first_answer() {
    block_on(async {
        let fleet = Fleet::start(3).await;
        for i in 0..20 {
            let key = format!("order-{i}");
            for node in 0..3 {
                let answer = fleet.send(node, &key).await;
                assert_eq!((answer.status(), answer.text()), (200, key.clone()), "{answer:?}");
            }
        }
        assert_eq!(fleet.runs(), 20);
    });
}

/// Guards against two requests with one key that arrive together and are both run.
#[test]
fn concurrent_repeats_run_once() {
    block_on(async {
        let fleet = Fleet::start(3).await;
        let send = |node: usize| {
            let address = fleet.nodes[node].member.node.client_addr();
            task::spawn(async move {
                let mut client = Client::connect(address).await;
                let headers = [("idempotency-key", "order-1")];
                client.send("POST", "/kettle/release?sleep=200", &headers, b"").await
            })
        };
        let answers: Vec<_> = (0..9).map(|i| send(i % 3)).collect();
        for answer in answers {
            assert_eq!(answer.await.status(), 200);
        }
        assert_eq!(fleet.runs(), 1);
    });
}

/// Guards against a run that is cancelled when its client disconnects, and whose repeat is then in
/// doubt.
#[test]
fn a_repeat_after_a_disconnect_gets_the_answer() {
    block_on(async {
        let fleet = Fleet::start(2).await;
        let mut disconnected = Client::connect(fleet.nodes[0].member.node.client_addr()).await;
        let request = b"POST /kettle/release?sleep=300 HTTP/1.1\r\nhost: n\r\n\
                        idempotency-key: order-1\r\ncontent-length: 0\r\n\r\n";
        let _ = timeout(Duration::from_millis(100), disconnected.send_raw(request)).await;
        drop(disconnected);
        let mut client = Client::connect(fleet.nodes[1].member.node.client_addr()).await;
        let headers = [("idempotency-key", "order-1")];
        let answer = client.send("POST", "/kettle/release?sleep=300", &headers, b"").await;
        assert_eq!(answer.status(), 200, "{answer:?}");
        assert_eq!(fleet.runs(), 1);
    });
}

/// Guards against repeats that run again or are in doubt after a planned stop of their keeper.
#[test]
fn a_planned_stop_hands_the_ledger_over() {
    block_on(async {
        let mut fleet = Fleet::start(3).await;
        for i in 0..20 {
            assert_eq!(fleet.send(0, &format!("order-{i}")).await.status(), 200);
        }
        let leaving = fleet.nodes.remove(2);
        leaving.keeper.leave(&fleet.shared).await;
        // Several rounds of the keeper service, in which the node must not join again.
        task::sleep(Duration::from_millis(1_800)).await;
        leaving.stop.close();
        leaving.task.await;
        let runs_of_leaving = leaving.member.upstream.record.runs();
        fleet.update_views(None);
        leaving.member.node.close().await;
        fleet.wait_until_settled(2).await;
        for i in 0..20 {
            let answer = fleet.send(i % 2, &format!("order-{i}")).await;
            assert_eq!(answer.status(), 200, "order-{i}: {answer:?}");
        }
        assert_eq!(fleet.runs() + runs_of_leaving, 20);
    });
}

/// Guards against a repeat that runs again after its keeper was lost with its ledger, and against
/// a service that stays without a keeper for those keys.
#[test]
fn keys_of_a_lost_keeper_are_in_doubt_and_new_ones_run() {
    block_on(async {
        let mut fleet = Fleet::start(3).await;
        for i in 0..20 {
            assert_eq!(fleet.send(0, &format!("order-{i}")).await.status(), 200);
        }
        let lost = fleet.nodes.remove(2);
        let info = lost.member.info();
        let runs_of_lost = lost.member.upstream.record.runs();
        lost.stop.close();
        lost.task.await;
        // The node closes its ports without having left the keeper set, as after a crash.
        lost.member.node.close().await;
        fleet.update_views(Some(&info));
        fleet.wait_until_settled(2).await;
        let mut in_doubt = 0;
        for i in 0..20 {
            let answer = fleet.send(i % 2, &format!("order-{i}")).await;
            match answer.header("x-reason") {
                "key-in-doubt" => in_doubt += 1,
                _ => assert_eq!(answer.status(), 200, "order-{i}: {answer:?}"),
            }
        }
        assert!(in_doubt > 0, "no key belonged to the lost keeper");
        assert_eq!(fleet.runs() + runs_of_lost, 20);
        task::sleep(Duration::from_millis(600)).await;
        for _ in 0..20 {
            let answer = fleet.send(0, &Uuid::now_v7().to_string()).await;
            assert_eq!(answer.status(), 200, "{answer:?}");
        }
    });
}

/// Guards against a keeper set that grows with the service, since the number of pulls after a
/// change grows with the square of its size, and against a vacancy in it that no node fills.
#[test]
fn a_large_service_has_a_bounded_number_of_keepers() {
    block_on(async {
        let members = |fleet: &Fleet| {
            let intent = fleet.shared.intent.lock().unwrap();
            intent.keepers.get("kettle").map_or(0, |set| set.members.len())
        };
        let mut fleet = Fleet::start_without_waiting(11).await;
        eventually("nine nodes join", || members(&fleet) >= 9).await;
        task::sleep(Duration::from_millis(1_800)).await;
        // Nodes that join at the same time may exceed the bound by a few.
        assert!((9..11).contains(&members(&fleet)), "{} keepers", members(&fleet));
        while members(&fleet) >= 9 {
            let leaving = fleet.nodes.remove(0);
            leaving.keeper.leave(&fleet.shared).await;
            leaving.stop.close();
            leaving.task.await;
            fleet.update_views(None);
            leaving.member.node.close().await;
        }
        let left = fleet.nodes.len();
        eventually("a waiting node joins", || members(&fleet) == left.min(9)).await;
    });
}
