//! Which requests crash the upstreams that run them.

use std::fmt;

use oleandertiller_model::ServiceName;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

/// Identity of a request that clients repeat: a hash of its service, caller, method, target and
/// body. The attempt id is new each time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Fingerprint(u128);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(
        service: &ServiceName,
        caller: &str,
        method: &str,
        target: &str,
        body: &[u8],
    ) -> Self {
        let mut hash = Xxh3::new();
        for part in [
            service.as_str().as_bytes(),
            caller.as_bytes(),
            method.as_bytes(),
            target.as_bytes(),
            body,
        ] {
            // The length delimits the parts.
            hash.update(&(part.len() as u64).to_le_bytes());
            hash.update(part);
        }
        Self(hash.digest128())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
