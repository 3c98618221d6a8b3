//! Announcements of the upstream to its node.

use std::net::SocketAddr;
use std::sync::Arc;

use async_std::future::timeout;
use serde::Serialize;

use super::state::State;
use crate::http::Pool;

#[derive(Serialize)]
struct Announcement<'a> {
    service: &'a str,
    version: &'a str,
    instance: String,
    address: SocketAddr,
    slots: u32,
    state: &'a str,
}

/// Announces the upstream immediately, on every change of its state and at the configured interval.
pub async fn announce_forever(state: Arc<State>, address: SocketAddr, node: SocketAddr) {
    let pool = Pool::new(node);
    let interval = state.options.announce_interval;
    loop {
        if state.current_behaviour().announcing {
            let body = announcement(&state, address);
            // If the node is down or slow, the next announcement follows after the interval.
            let call =
                pool.call("POST", "/announce", &[("content-type", "application/json")], &body);
            let _ = timeout(interval, call).await;
        }
        let _ = timeout(interval, state.announce_trigger.1.recv()).await;
    }
}

fn announcement(state: &State, address: SocketAddr) -> Vec<u8> {
    let (instance, lifecycle_state) = {
        let lifecycle = state.lifecycle.lock().unwrap();
        (format!("{:08x}", lifecycle.instance), lifecycle.announced_state())
    };
    let announcement = Announcement {
        service: &state.options.service,
        version: &state.options.version,
        instance,
        address,
        slots: state.options.slots,
        state: lifecycle_state,
    };
    serde_json::to_vec(&announcement).unwrap_or_default()
}
