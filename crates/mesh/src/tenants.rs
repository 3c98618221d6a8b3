//! Tenants and their API keys: which requests may run, for whom, and with which priority.
//!
//! Handles the load of a deployment with some hundred keys, where each request carries one and keys
//! are added and revoked while requests arrive and wait. Nodes keep only keyed digests of the
//! configured keys. A presented key is compared with all of them in constant time (about 30 ns
//! each), so that neither a dump of a node's memory nor its response times tell a key. There is no
//! cache of checked keys: the digests are part of a configuration and are replaced with it.

use std::{fmt, sync::Arc};

use hmac::{Hmac, Mac, NewMac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;
use subtle::{Choice, ConstantTimeEq};

/// Length of a digest and of a salt, in bytes.
pub const DIGEST_BYTES: usize = 32;

/// A key as a client presents it. It is neither logged nor sent to another process.
#[derive(Clone)]
pub struct ApiKey(Arc<str>);

impl ApiKey {
    /// Creates a key.
    pub fn new(text: &str) -> Self {
        Self(text.into())
    }
}

impl fmt::Debug for ApiKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("ApiKey(..)")
    }
}

/// Key of the digests of one configuration.
#[derive(Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Salt([u8; DIGEST_BYTES]);

impl Salt {
    /// Creates a random salt.
    pub fn random() -> Self {
        Self(rand::random())
    }

    /// Creates a salt that another node has chosen.
    pub fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the salt.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }
}

impl fmt::Debug for Salt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Salt(..)")
    }
}

/// Keyed digest of an API key: HMAC with SHA-256.
#[derive(Clone)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyDigest([u8; DIGEST_BYTES]);

impl KeyDigest {
    /// Computes the digest of a key.
    ///
    /// # Panics
    ///
    /// Never: HMAC accepts keys of any length.
    pub fn new(salt: &Salt, key: &ApiKey) -> Self {
        let mut mac = Hmac::<Sha256>::new_varkey(&salt.0).expect("HMAC accepts any key length");
        mac.update(key.0.as_bytes());
        Self(mac.finalize().into_bytes().into())
    }

    /// Creates a digest that another node has computed.
    pub fn from_bytes(bytes: [u8; DIGEST_BYTES]) -> Self {
        Self(bytes)
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; DIGEST_BYTES] {
        &self.0
    }

    fn matches(&self, other: &Self) -> Choice {
        self.0.ct_eq(&other.0)
    }
}

impl PartialEq for KeyDigest {
    fn eq(&self, other: &Self) -> bool {
        self.matches(other).into()
    }
}

impl Eq for KeyDigest {}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("KeyDigest(..)")
    }
}

/// A tenant as the operators configure it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tenant {
    /// Name given by the operators.
    pub name: Arc<str>,
    /// Priority of its requests, in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Digests of its keys.
    pub keys: Vec<KeyDigest>,
}

/// The tenants of one configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Tenants {
    salt: Salt,
    tenants: Vec<Tenant>,
}

/// What a request says about its caller.
#[derive(Clone, Debug)]
pub enum Credential {
    /// It has no credential.
    Absent,
    /// It has one that is not an API key.
    Malformed,
    /// It has an API key.
    Key(ApiKey),
}

impl Credential {
    /// Returns the API key, if there is one.
    pub fn key(&self) -> Option<&ApiKey> {
        match self {
            Self::Key(key) => Some(key),
            Self::Absent | Self::Malformed => None,
        }
    }
}

/// Error of a request without a known key where one is required.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnknownKey;

impl Tenants {
    /// Creates the tenants of a configuration; the digests of their keys are keyed with `salt`.
    pub fn new(salt: Salt, tenants: Vec<Tenant>) -> Self {
        Self { salt, tenants }
    }

    /// Returns the key of the digests.
    pub fn salt(&self) -> &Salt {
        &self.salt
    }

    /// Returns all tenants.
    pub fn all(&self) -> &[Tenant] {
        &self.tenants
    }

    /// Returns the tenant that a key belongs to. The time depends on the number of keys, not on the
    /// key.
    pub fn find(&self, key: &ApiKey) -> Option<&Tenant> {
        let presented = KeyDigest::new(&self.salt, key);
        let mut found = None;
        for tenant in &self.tenants {
            for digest in &tenant.keys {
                if bool::from(digest.matches(&presented)) {
                    found = found.or(Some(tenant));
                }
            }
        }
        found
    }

    /// Decides whether a request may run; returns its tenant, or `None` if it runs without one.
    ///
    /// An upstream makes nested calls without a credential. A request that has one is checked even
    /// if its id looks like that of a nested call, so that a revoked client cannot evade the check.
    ///
    /// # Errors
    ///
    /// Returns [`UnknownKey`] if the request has to be refused.
    pub fn check(
        &self,
        credential: &Credential,
        allow_anonymous: bool,
        is_nested: bool,
    ) -> Result<Option<&Tenant>, UnknownKey> {
        match (credential, credential.key().and_then(|key| self.find(key))) {
            (_, Some(tenant)) => Ok(Some(tenant)),
            (Credential::Absent, None) if is_nested => Ok(None),
            _ if allow_anonymous => Ok(None),
            _ => Err(UnknownKey),
        }
    }
}
