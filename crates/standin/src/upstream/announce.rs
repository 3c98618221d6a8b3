//! Announcements to the node beside the upstream.

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

/// Announces at once, on every change of state, and at the interval of the options.
pub async fn announce_forever(state: Arc<State>, address: SocketAddr, node: SocketAddr) {
    let pool = Pool::new(node);
    let every = state.options.announce_interval;
    loop {
        if state.present().announcing {
            let body = announcement(&state, address);
            // A node that is down or slow is announced to again after the interval.
            let call =
                pool.call("POST", "/announce", &[("content-type", "application/json")], &body);
            let _ = timeout(every, call).await;
        }
        let _ = timeout(every, state.changed.1.recv()).await;
    }
}

fn announcement(state: &State, address: SocketAddr) -> Vec<u8> {
    let (instance, life_state) = {
        let life = state.life.lock().unwrap();
        (format!("{:08x}", life.instance), life.state())
    };
    let announcement = Announcement {
        service: &state.options.service,
        version: &state.options.version,
        instance,
        address,
        slots: state.options.slots,
        state: life_state,
    };
    serde_json::to_vec(&announcement).unwrap_or_default()
}
