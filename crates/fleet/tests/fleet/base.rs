//! Tests of the base document in the store.

use std::time::SystemTime;

use oleandertiller_fleet::intent::{HeadError, parse_base, write_base};
use oleandertiller_model::{
    Intent, KindSpec, Revision, ServiceSpec,
    intent::{Keeper, KeeperSet, LostKeeper},
};
use proptest::prelude::*;

/// Size limit of a value in the store, in bytes.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Returns a document of the target size, with names as different as those of a real fleet.
fn target_document() -> Intent {
    let mut intent = Intent { revision: Revision(64), ..Intent::default() };
    for service in 0..1_900_u64 {
        let name = format!("service-{service}");
        let kinds = (0..3).map(|kind| KindSpec::new(format!("kind-{kind}").as_str()));
        let spec = ServiceSpec::new(name.as_str(), kinds.collect());
        let keeper = |rank: u64| Keeper {
            node: format!("{name}-{rank}").as_str().into(),
            // Start times spread over a month, in an order that does not compress well.
            incarnation: 1_796_000_000_000 + (service * 9 + rank) * 7_919_993 % 2_592_000_000,
        };
        let set = KeeperSet {
            epoch: service,
            members: (0..9).map(keeper).collect(),
            leaving: Vec::new(),
            lost: vec![LostKeeper { keeper: keeper(9), at: SystemTime::UNIX_EPOCH, epoch: 1 }],
        };
        intent.keepers.insert(spec.name.clone(), set);
        intent.services.insert(spec.name.clone(), spec);
    }
    intent
}

/// Guards against a base document that exceeds the store's limit at the target size, so that no
/// node could write it.
#[test]
fn the_target_document_fits_into_a_value() {
    let intent = target_document();
    let value = write_base(&intent);
    println!("{} bytes", value.len());
    assert!(value.len() <= MAX_VALUE_BYTES, "{} bytes", value.len());
    assert_eq!(*parse_base(&value, Revision(64)).unwrap(), intent);
}

/// Guards against accepting the document of another revision than the one asked for.
#[test]
fn another_revision_is_refused() {
    let value = write_base(&Intent { revision: Revision(64), ..Intent::default() });
    assert_eq!(parse_base(&value, Revision(128)), Err(HeadError::Inconsistent));
}

proptest! {
    /// Guards against a panic, or another document, from a corrupted value.
    #[test]
    fn corrupted_values_are_refused(at in 0_usize..200, byte in any::<u8>()) {
        let intent = Intent { revision: Revision(64), ..Intent::default() };
        let value = write_base(&intent);
        let mut bytes = value.clone().into_bytes();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(changed) = String::from_utf8(bytes) {
            let is_right = parse_base(&changed, Revision(64)).map_or(true, |doc| *doc == intent);
            prop_assert!(is_right, "another document was read");
        }
    }
}
