//! The intent document at growing sizes.

use std::time::Duration;

use oleandertiller_fleet::intent::{Head, Replica, TAIL_MAX_CHANGES, parse_base, write_base};
use oleandertiller_model::codec;
use oleandertiller_model::intent::{Intent, Revision};
use serde::Serialize;

use super::sample::{DocumentSize, document, put_keeper, step_rollout};
use super::shortest;

/// Runs of which the shortest time counts.
const ROUNDS: u32 = 7;

/// Largest value of the store in bytes.
pub const VALUE_MAX_BYTES: usize = 1_000_000;

/// Figures of one size of document.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct DocumentRow {
    /// Services.
    pub services: usize,
    /// Kinds of request of each service.
    pub kinds: usize,
    /// Keepers of the fleet.
    pub keepers: usize,
    /// Size of the document as JSON.
    pub json_bytes: usize,
    /// Size of the base document's value in the store.
    pub base_bytes: usize,
    /// Size as transferred between nodes.
    pub encoded_bytes: usize,
    /// Time to write the base.
    pub base_write: Duration,
    /// Time to read the base.
    pub base_read: Duration,
    /// Time to encode the document for a peer.
    pub encode: Duration,
    /// Time to decode it.
    pub decode: Duration,
    /// Time to apply one change while another part holds the document, which is then copied.
    pub apply_shared: Duration,
    /// Time to apply one change when nobody else holds the document.
    pub apply_alone: Duration,
}

/// Sizes of a head with its full tail.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct HeadRow {
    /// What the changes are.
    pub changes: String,
    /// Size of the head as JSON.
    pub json_bytes: usize,
    /// Size of the 64 changes as transferred between nodes.
    pub encoded_bytes: usize,
    /// Time to read the head from JSON.
    pub read: Duration,
}

/// Measures one size.
///
/// # Panics
///
/// Panics when the sample cannot be written or read, which is a fault of the program.
pub fn measure(size: DocumentSize) -> DocumentRow {
    let doc = document(size);
    let json = serde_json::to_string(&doc).expect("a document can be written as JSON");
    let base = write_base(&doc);
    let encoded = codec::encode(&doc);
    DocumentRow {
        services: size.services,
        kinds: size.kinds,
        keepers: size.keepers,
        json_bytes: json.len(),
        base_bytes: base.len(),
        encoded_bytes: encoded.len(),
        base_write: shortest(ROUNDS, || write_base(&doc)),
        base_read: shortest(ROUNDS, || parse_base(&base, doc.revision)),
        encode: shortest(ROUNDS, || codec::encode(&doc)),
        decode: shortest(ROUNDS, || codec::decode::<Intent>(&encoded)),
        apply_shared: apply(&doc, true),
        apply_alone: apply(&doc, false),
    }
}

fn apply(doc: &Intent, shared: bool) -> Duration {
    let mut best = Duration::MAX;
    for _ in 0..ROUNDS {
        let mut replica = Replica::new();
        replica.apply_document(doc.clone().into());
        let held = shared.then(|| replica.intent().clone());
        let change = put_keeper(doc, 0);
        best = best.min(shortest(1, || replica.apply_change(&change)));
        drop(held);
    }
    best
}

/// Returns the smallest number of keepers whose document is over the store's limit, if it
/// is at most `most`.
pub fn keepers_over_limit(size: DocumentSize, most: usize) -> Option<usize> {
    let bytes = |keepers| {
        let doc = document(DocumentSize { keepers, ..size });
        write_base(&doc).len()
    };
    let (mut fits, mut over) = (0, most);
    if bytes(fits) > VALUE_MAX_BYTES {
        return Some(0);
    }
    if bytes(over) <= VALUE_MAX_BYTES {
        return None;
    }
    while over - fits > 1 {
        let middle = fits + (over - fits) / 2;
        if bytes(middle) > VALUE_MAX_BYTES { over = middle } else { fits = middle }
    }
    Some(over)
}

/// Measures heads with full tails of two kinds of change.
pub fn heads() -> Vec<HeadRow> {
    let size = DocumentSize { services: 1_900, kinds: 5, keepers: 0, rollouts: 0 };
    let mut doc = document(size);
    let mut rows = Vec::new();
    for (name, is_keeper) in [("keeper replaced", true), ("rollout step", false)] {
        let mut head = Head { revision: doc.revision, base: doc.revision, changes: Vec::new() };
        for number in 0..TAIL_MAX_CHANGES {
            let change = if is_keeper { put_keeper(&doc, number) } else { step_rollout(&doc) };
            doc.revision = Revision(doc.revision.0 + 1);
            let base = head.base;
            head = head.with_change(change, base);
        }
        let json = head.to_json();
        rows.push(HeadRow {
            changes: name.into(),
            json_bytes: json.len(),
            encoded_bytes: codec::encode(&head.changes).len(),
            read: shortest(ROUNDS, || Head::parse(&json)),
        });
    }
    rows
}
