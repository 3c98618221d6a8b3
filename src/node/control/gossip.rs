//! The gossip socket, the agent's ticks, and pulls over the inner port.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use async_std::{net::UdpSocket, task};
use oleandertiller_fleet::{MAX_DATAGRAM_BYTES, MembersPull, MembersPush, Output, Record, TICK};
use oleandertiller_model::{
    Clock, Lifecycle, VersionName, codec,
    message::{INTENT_PATH, IntentPull, IntentPush, MEMBERS_PATH},
};

use super::{Control, NodeHandles};
use crate::node::store::Store;

/// Longest wait for the answer to a pull, shorter than the 2 s after which the agent pulls again.
const PULL_TIMEOUT: Duration = Duration::from_millis(1_900);

/// Pause after a failed receive. On loopback, a receive fails after a datagram was sent to a closed
/// port of a peer.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(1);

/// Passes received datagrams to the agent.
pub(super) async fn receive<C: Clock, S: Store>(
    control: Arc<Control<C, S>>,
    socket: Arc<UdpSocket>,
) {
    // One byte above the limit, so that a longer datagram is not cut to a valid length.
    let mut buf = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        let Ok((len, source)) = socket.recv_from(&mut buf).await else {
            task::sleep(RECEIVE_ERROR_PAUSE).await;
            continue;
        };
        if let Some(handles) = control.handles.get() {
            handles.metrics.control.gossip_received.inc();
            handles.metrics.control.gossip_received_bytes.inc_by(len as u64);
        }
        control.update(|agent, now| agent.receive(source, &buf[..len], now));
    }
}

/// Executes the agent's outputs: sends datagrams and starts pulls.
pub(super) async fn send<C: Clock, S: Store>(control: Arc<Control<C, S>>, socket: Arc<UdpSocket>) {
    while let Ok(output) = control.outputs.1.recv().await {
        match output {
            Output::Send { mut to, bytes } => {
                if let Some(handles) = control.handles.get() {
                    to = handles.node.routes.resolve(to);
                    handles.metrics.control.gossip_sent.inc();
                    handles.metrics.control.gossip_sent_bytes.inc_by(bytes.len() as u64);
                }
                // The protocol tolerates lost datagrams.
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

/// Runs the agent's tick, and updates the local member record and the gauges, every [`TICK`].
pub(super) async fn tick<C: Clock, S: Store>(control: Arc<Control<C, S>>) {
    loop {
        task::sleep(TICK).await;
        if let Some(handles) = control.handles.get() {
            control.sync_local_record(handles);
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
        let handles = self.handles.get()?;
        handles.metrics.control.pulls.inc();
        let answer = handles.client.control(address, path, message, PULL_TIMEOUT).await.ok()?;
        handles.metrics.control.pull_bytes.inc_by(answer.len() as u64);
        Some(answer)
    }

    /// Copies the state of the local upstream to the node's member record.
    fn sync_local_record(&self, handles: &NodeHandles<C>) {
        let load = handles.owner.load();
        let upstream = handles.owner.upstream();
        let slots = upstream.map_or(0, |upstream| upstream.slots);
        let lifecycle = if self.is_stopping() { Lifecycle::Draining } else { load.lifecycle };
        let local = self.read(|agent, _| {
            let local = agent.membership().local();
            (local.lifecycle, local.version.clone(), local.slots)
        });
        if local != (lifecycle, load.version.clone(), slots) {
            self.set_local_record(lifecycle, load.version, slots);
        }
    }

    fn set_local_record(&self, lifecycle: Lifecycle, version: VersionName, slots: u32) {
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
        let Some(handles) = self.handles.get() else { return };
        let metrics = &handles.metrics.control;
        self.read(|agent, now| {
            metrics.intent_revision.set(agent.replica().revision().0 as i64);
            let age = agent.freshness().confirmed(now);
            metrics.confirmation_age_ms.set(age.map_or(-1, |confirmed| confirmed.age_ms as i64));
            metrics.members.set(agent.membership().table().present() as i64);
            metrics.stale.set(agent.freshness().stale().is_some().into());
        });
    }
}
