//! Size of the intent document, and the time to write, read, transfer and change it.

use std::time::Duration;

use oleandertiller_fleet::intent::{Head, MAX_TAIL_CHANGES, Replica, parse_base, write_base};
use oleandertiller_model::codec;
use oleandertiller_model::intent::{Intent, Revision};
use serde::Serialize;

use super::sample::{DocumentSize, document, keeper_replacement, rollout_step};
use super::shortest_time;

/// Number of runs, of which the shortest time is taken.
const ROUNDS: u32 = 7;

/// Maximum size of a value that the store accepts.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Measurements of a document of one size.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DocumentRow {
    /// Number of services.
    pub services: usize,
    /// Number of request kinds of each service.
    pub kinds: usize,
    /// Number of keepers in the whole fleet.
    pub keepers: usize,
    /// Size of the document as JSON.
    pub json_bytes: usize,
    /// Size of the base document's value in the store.
    pub base_bytes: usize,
    /// Size of the document as transferred between nodes.
    pub encoded_bytes: usize,
    /// Time to create the base document's value from the document.
    pub base_write: Duration,
    /// Time to parse the base document's value.
    pub base_read: Duration,
    /// Time to encode the document for a peer.
    pub encode: Duration,
    /// Time to decode the document from a peer.
    pub decode: Duration,
    /// Time to apply a change while the document is shared, so that it has to be copied.
    pub apply_shared: Duration,
    /// Time to apply a change while the document is not shared.
    pub apply_alone: Duration,
}

/// Measurements of a head document with the maximum number of changes.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct HeadRow {
    /// Name of the kind of change.
    pub changes: String,
    /// Size of the head as JSON.
    pub json_bytes: usize,
    /// Size of its [`MAX_TAIL_CHANGES`] changes as transferred between nodes.
    pub encoded_bytes: usize,
    /// Time to parse the head from JSON.
    pub read: Duration,
}

/// Measures a sample document of one size.
///
/// # Panics
///
/// Panics when the sample document cannot be serialized, which would be a bug.
pub fn measure(size: DocumentSize) -> DocumentRow {
    let doc = document(size);
    let json = serde_json::to_string(&doc).expect("a document can be serialized to JSON");
    let base = write_base(&doc);
    let encoded = codec::encode(&doc);
    DocumentRow {
        services: size.services,
        kinds: size.kinds,
        keepers: size.keepers,
        json_bytes: json.len(),
        base_bytes: base.len(),
        encoded_bytes: encoded.len(),
        base_write: shortest_time(ROUNDS, || write_base(&doc)),
        base_read: shortest_time(ROUNDS, || parse_base(&base, doc.revision)),
        encode: shortest_time(ROUNDS, || codec::encode(&doc)),
        decode: shortest_time(ROUNDS, || codec::decode::<Intent>(&encoded)),
        apply_shared: measure_apply(&doc, true),
        apply_alone: measure_apply(&doc, false),
    }
}

/// Returns the shortest time to apply a change to a replica of `doc`.
fn measure_apply(doc: &Intent, is_shared: bool) -> Duration {
    let mut shortest = Duration::MAX;
    for _ in 0..ROUNDS {
        let mut replica = Replica::new();
        replica.apply_document(doc.clone().into());
        let shared_document = is_shared.then(|| replica.intent().clone());
        let change = keeper_replacement(doc, 0);
        shortest = shortest.min(shortest_time(1, || replica.apply_change(&change)));
        drop(shared_document);
    }
    shortest
}

/// Returns the smallest number of keepers with which the base document's value is larger than
/// [`MAX_VALUE_BYTES`], or `None` if it is not with `max_keepers`.
pub fn keepers_over_limit(size: DocumentSize, max_keepers: usize) -> Option<usize> {
    let bytes = |keepers| {
        let doc = document(DocumentSize { keepers, ..size });
        write_base(&doc).len()
    };
    let (mut fits, mut over) = (0, max_keepers);
    if bytes(fits) > MAX_VALUE_BYTES {
        return Some(0);
    }
    if bytes(over) <= MAX_VALUE_BYTES {
        return None;
    }
    while over - fits > 1 {
        let middle = fits + (over - fits) / 2;
        if bytes(middle) > MAX_VALUE_BYTES { over = middle } else { fits = middle }
    }
    Some(over)
}

/// Measures head documents with the maximum number of changes, for two kinds of change.
pub fn measure_heads() -> Vec<HeadRow> {
    let size = DocumentSize { services: 1_900, kinds: 5, keepers: 0, rollouts: 0 };
    let mut doc = document(size);
    let mut rows = Vec::new();
    for (name, is_keeper) in [("keeper replaced", true), ("rollout step", false)] {
        let mut head = Head { revision: doc.revision, base: doc.revision, changes: Vec::new() };
        for number in 0..MAX_TAIL_CHANGES {
            let change =
                if is_keeper { keeper_replacement(&doc, number) } else { rollout_step(&doc) };
            doc.revision = Revision(doc.revision.0 + 1);
            let base = head.base;
            head = head.with_change(change, base);
        }
        let json = head.to_json();
        rows.push(HeadRow {
            changes: name.into(),
            json_bytes: json.len(),
            encoded_bytes: codec::encode(&head.changes).len(),
            read: shortest_time(ROUNDS, || Head::parse(&json)),
        });
    }
    rows
}
