//! Request ids print exactly as they were parsed.

use oleandertiller_model::RequestId;
use proptest::prelude::*;

/// Guards against rejecting or normalising ids that are not lower-case hyphenated UUIDs.
#[test]
fn ids_are_kept_as_they_are() {
    let upper = "F47AC10B-58CC-4372-A567-0E02B2C3D479";
    for text in ["7", "order-17/a", upper, &upper.to_lowercase(), &upper.replace('-', "")] {
        let id = RequestId::parse(text).expect("a valid id");
        assert_eq!(id.to_string(), text);
        assert!(id.is(text));
    }
    assert!(matches!(RequestId::parse(&upper.to_lowercase()), Some(RequestId::Uuid(_))));
}

/// Guards against ids that are not valid in an HTTP header.
#[test]
fn invalid_ids_are_refused() {
    for text in ["", "a b", "a\r\nx: y", "\u{e9}", &"x".repeat(129)] {
        assert_eq!(RequestId::parse(text), None, "{text:?}");
    }
}

proptest! {
    /// Guards against different ids that compare as equal.
    #[test]
    fn only_the_same_text_is_the_id(one in "[!-~]{1,40}", other in "[!-~]{1,40}") {
        let id = RequestId::parse(&one).expect("a valid id");
        prop_assert_eq!(id.is(&other), one == other);
    }
}
