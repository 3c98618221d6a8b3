//! Cost of a call at its ingress: selection of an owner, and bytes sent between nodes.

use std::time::{Duration, Instant};

use oleandertiller_model::message::{CallHead, ReplyHead, Role};
use oleandertiller_model::{
    IdempotencyKey, Lifecycle, LoadReport, Outcome, Revision, codec, codec::PROTOCOL_VERSION,
};
use oleandertiller_routing::selection::{Candidate, SelectionConfig, Selector};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::Serialize;
use uuid::Uuid;

use super::sample::{keeper, service_name};
use crate::process::resident_bytes;

/// Number of calls in a measurement of selection.
const CALLS: u32 = 200_000;

/// Cost of selection at a node that calls several services.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct SelectionRow {
    /// Number of services called, each with its own [`Selector`].
    pub services: usize,
    /// Number of owners of each service.
    pub owners: usize,
    /// Mean time to choose an owner and to record the end of the call with its load report.
    pub pick: Duration,
    /// Time to set the owners of one service again, as after each change of a member.
    pub refresh: Duration,
    /// Growth of resident memory by the selectors of all services.
    pub state_bytes: u64,
}

fn candidates(service: usize, owners: usize) -> Vec<Candidate> {
    let candidate = |number: usize| Candidate {
        node: keeper(service * owners + number).node,
        incarnation: 1,
        zone: format!("zone-{:02}", number % 17).as_str().into(),
        version: "v1".into(),
        eligible: true,
    };
    (0..owners).map(candidate).collect()
}

fn load_report(sequence: u64) -> LoadReport {
    LoadReport {
        sequence,
        in_flight: 2,
        limit: 6,
        queued: 0,
        queue_delay_us: 250,
        service_time_us: 10_000,
        lifecycle: Lifecycle::Serving,
        version: "v1.4.2".into(),
        revision: Revision(1_000_000),
    }
}

/// Measures selection at a node that calls `services` services with `owners` owners each.
pub fn measure_selection(services: usize, owners: usize, seed: u64) -> SelectionRow {
    let mut now = Instant::now();
    let before = resident_bytes(std::process::id()).unwrap_or(0);
    let mut selectors: Vec<Selector> = (0..services)
        .map(|service| {
            let mut selector = Selector::new(SelectionConfig::default(), "zone-00".into());
            selector.set_candidates(candidates(service, owners), now);
            selector
        })
        .collect();
    let after = resident_bytes(std::process::id()).unwrap_or(0);
    let mut rng = StdRng::seed_from_u64(seed);
    let start = Instant::now();
    for sequence in 0..u64::from(CALLS) {
        now += Duration::from_micros(100);
        let selector = &mut selectors[rng.random_range(0..services)];
        let Some(chosen) = selector.pick(&mut rng, &[], None, now) else { continue };
        let load = Some(load_report(sequence));
        selector.on_end(&chosen.node, Outcome::Done, Duration::ZERO, load, now);
    }
    let pick = start.elapsed() / CALLS;
    let refreshed = candidates(0, owners);
    let start = Instant::now();
    selectors[0].set_candidates(refreshed, now);
    SelectionRow {
        services,
        owners,
        pick,
        refresh: start.elapsed(),
        state_bytes: after.saturating_sub(before),
    }
}

/// Encoded sizes of the messages of a call between two nodes, in bytes.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct CallBytes {
    /// Load report, which each answer carries.
    pub load_report: usize,
    /// Head of a call without a key.
    pub call_head: usize,
    /// Head of a call with an idempotency key.
    pub keyed_call_head: usize,
    /// Head of an answer, load report included.
    pub reply_head: usize,
}

/// Measures the messages of a typical call with the codec that nodes use.
pub fn measure_call_bytes() -> CallBytes {
    let text = Uuid::from_u128(7).to_string();
    let call = CallHead {
        protocol: PROTOCOL_VERSION,
        request: Uuid::from_u128(1).into(),
        role: Role::Owner,
        service: service_name(7),
        kind: "kind-01".into(),
        method: "POST".into(),
        path: "/service-0007/kind-01/item/123456".into(),
        content_type: Some("application/json".into()),
        remaining: Duration::from_millis(250),
        depth: 3,
        key: None,
        key_text: None,
        revision: Revision(1_000_000),
    };
    let key = IdempotencyKey::parse("service-0007/kind-01", &text);
    let keyed = CallHead { key, key_text: Some(text), ..call.clone() };
    let reply = ReplyHead {
        protocol: PROTOCOL_VERSION,
        request: Uuid::from_u128(1).into(),
        outcome: Outcome::Done,
        status: 200,
        content_type: Some("application/json".into()),
        body_len: 512,
        service_time: Duration::from_millis(20),
        load: load_report(1_000_000),
    };
    CallBytes {
        load_report: codec::encode(&reply.load).len(),
        call_head: codec::encode(&call).len(),
        keyed_call_head: codec::encode(&keyed).len(),
        reply_head: codec::encode(&reply).len(),
    }
}
