//! The gossip socket, the agent's ticks, and pulls over the inner port.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{net::UdpSocket, task};
use oleandertiller_fleet::{DATAGRAM_MAX_BYTES, MembersPull, MembersPush, Output, Record, TICK};
use oleandertiller_model::{
    Clock, Lifecycle, VersionName, codec,
    message::{INTENT_PATH, IntentPull, IntentPush, MEMBERS_PATH},
};

use super::{Control, Links};
use crate::node::store::Store;

/// Longest wait for the answer to a pull; the agent asks again after 2 s.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Pause after a failed receive, which on loopback reports a closed port of a peer.
const RECEIVE_PAUSE: Duration = Duration::from_millis(1);

/// Passes received datagrams to the agent.
pub(super) async fn receive<C: Clock, S: Store>(
    control: Arc<Control<C, S>>,
    socket: Arc<UdpSocket>,
) {
    // One byte more than allowed, so that a longer datagram is not taken for a valid one.
    let mut buf = [0; DATAGRAM_MAX_BYTES + 1];
    loop {
        let Ok((len, source)) = socket.recv_from(&mut buf).await else {
            task::sleep(RECEIVE_PAUSE).await;
            continue;
        };
        if let Some(links) = control.links.get() {
            links.metrics.control.gossip_received.inc();
            links.metrics.control.gossip_received_bytes.inc_by(len as u64);
        }
        control.update(|agent, now| agent.receive(source, &buf[..len], now));
    }
}

/// Carries the agent's outputs out.
pub(super) async fn send<C: Clock, S: Store>(control: Arc<Control<C, S>>, socket: Arc<UdpSocket>) {
    while let Ok(output) = control.outputs.1.recv().await {
        match output {
            Output::Send { mut to, bytes } => {
                if let Some(links) = control.links.get() {
                    to = links.node.routes.resolve(to);
                    links.metrics.control.gossip_sent.inc();
                    links.metrics.control.gossip_sent_bytes.inc_by(bytes.len() as u64);
                }
                // A lost datagram is the protocol's ordinary case.
                let _ = socket.send_to(&bytes, to).await;
            }
            Output::PullIntent { address, pull, .. } => {
                task::spawn(pull_intent(control.clone(), address, pull));
            }
            Output::PullMembers { address, pull } => {
                task::spawn(pull_members(control.clone(), address, pull));
            }
            Output::View(_) | Output::Intent(_) => {}
        }
    }
}

/// Calls the agent's tick and everything else that is done ten times a second.
pub(super) async fn tick<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(TICK).await;
        if let Some(links) = control.links.get() {
            control.announce_local(links);
        }
        control.update(|agent, now| agent.tick(now));
        control.set_gauges();
    }
}

async fn pull_intent<C: Clock, S: Store>(
    control: Arc<Control<C, S>>,
    address: SocketAddr,
    pull: IntentPull,
) {
    let answer = control.pull(address, INTENT_PATH, codec::encode(&pull)).await;
    let push = answer.and_then(|bytes| codec::decode::<IntentPush>(&bytes).ok());
    control.update(|agent, now| agent.intent_pulled(push, now));
}

async fn pull_members<C: Clock, S: Store>(
    control: Arc<Control<C, S>>,
    address: SocketAddr,
    pull: MembersPull,
) {
    let answer = control.pull(address, MEMBERS_PATH, codec::encode(&pull)).await;
    let push = answer.and_then(|bytes| codec::decode::<MembersPush>(&bytes).ok());
    control.update(|agent, now| agent.members_pulled(push, now));
}

impl<C: Clock, S: Store> Control<C, S> {
    async fn pull(
        &self,
        address: SocketAddr,
        path: &'static str,
        message: Vec<u8>,
    ) -> Option<bytes::Bytes> {
        let links = self.links.get()?;
        links.metrics.control.pulls.inc();
        let answer = links.client.control(address, path, message, PULL_TIMEOUT).await.ok()?;
        links.metrics.control.pull_bytes.inc_by(answer.len() as u64);
        Some(answer)
    }

    /// Feeds what the local upstream announces into membership.
    fn announce_local(&self, links: &Links<C>) {
        let load = links.owner.load();
        let upstream = links.owner.upstream();
        let slots = upstream.map_or(0, |upstream| upstream.slots);
        let lifecycle = if self.is_stopping() { Lifecycle::Draining } else { load.lifecycle };
        let local = self.read(|agent, _| {
            let local = agent.membership().local();
            (local.lifecycle, local.version.clone(), local.slots)
        });
        if local != (lifecycle, load.version.clone(), slots) {
            self.change_local(lifecycle, load.version, slots);
        }
    }

    fn change_local(&self, lifecycle: Lifecycle, version: VersionName, slots: u32) {
        self.update(|agent, now| {
            let change = |record: &mut Record| {
                record.lifecycle = lifecycle;
                record.version = version;
                record.slots = slots;
            };
            agent.membership_mut().update_local(change, now);
            agent.take_outputs(now)
        });
    }

    fn set_gauges(&self) {
        let Some(links) = self.links.get() else { return };
        let metrics = &links.metrics.control;
        self.read(|agent, now| {
            metrics.intent_revision.set(agent.replica().revision().0 as i64);
            let age = agent.freshness().confirmed(now);
            metrics.confirmation_age_ms.set(age.map_or(-1, |confirmed| confirmed.age_ms as i64));
            metrics.members.set(agent.membership().table().present() as i64);
            metrics.stale.set(agent.freshness().stale().is_some().into());
        });
    }
}
