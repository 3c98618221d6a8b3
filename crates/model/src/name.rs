//! Names as shared immutable strings, with a separate type for each kind of name.

use std::{borrow::Borrow, fmt, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest name accepted, in bytes; bounds the size of gossip records.
pub const MAX_NAME_BYTES: usize = 64;

/// Returns whether `text` is a valid name: lower-case ASCII letters, digits, `-`, `_` and `.`,
/// starting with a letter or a digit.
pub fn is_valid(text: &str) -> bool {
    let mut bytes = text.bytes();
    let valid_start = bytes.next().is_some_and(|b| b.is_ascii_lowercase() || b.is_ascii_digit());
    valid_start
        && text.len() <= MAX_NAME_BYTES
        && bytes.all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.".contains(&b))
}

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps `text` without checking it; see [`is_valid`].
            pub fn new(text: impl Into<Arc<str>>) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:?}", &*self.0)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }
    };
}

name_type! {
    /// Name of a service, such as `kettle`.
    ServiceName
}
name_type! {
    /// Name of a request kind within a service, such as `temper`.
    KindName
}
name_type! {
    /// Name of an availability zone, such as `khan-uul`.
    ZoneName
}
name_type! {
    /// Name of a region, a group of zones.
    RegionName
}
name_type! {
    /// Name of a node, unique in the fleet and kept across restarts.
    NodeName
}
name_type! {
    /// Name of an upstream's version, such as `v2`.
    VersionName
}
