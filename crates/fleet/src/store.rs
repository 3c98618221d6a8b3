//! Calls to the platform's key-value store and their answers, with backoff and rate limiting.

use std::time::{Duration, Instant};

use rand::Rng;

/// Time after which the driver reports a call as [`StoreAnswer::Lost`]. The timeout of a watch is
/// added to it.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(2);

/// A call to the store, in the terms of its HTTP interface.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreCall {
    /// Reads a key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Reads all keys with a prefix.
    List {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Writes a key if its version is as expected.
    Put {
        /// Key to write.
        key: String,
        /// JSON text.
        value: String,
        /// Expected version; 0 when the key must not exist.
        if_version: u64,
        /// Lease to which the key is bound: the key is removed when the lease ends.
        lease: Option<u64>,
    },
    /// Waits until the key's version is above `after`.
    Watch {
        /// Key to watch.
        key: String,
        /// Version that the caller knows already.
        after: u64,
        /// Maximum time for which the store holds the call.
        timeout: Duration,
    },
    /// Creates a lease.
    GrantLease {
        /// Time without a renewal after which the lease ends.
        ttl: Duration,
    },
    /// Renews a lease.
    RenewLease {
        /// Id of the lease.
        lease: u64,
    },
    /// Ends a lease and removes its keys.
    DropLease {
        /// Id of the lease.
        lease: u64,
    },
}

/// One item of a prefix read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreItem {
    /// Full key, with the prefix.
    pub key: String,
    /// Version of the key.
    pub version: u64,
    /// JSON text.
    pub value: String,
}

/// How a call to the store ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum StoreAnswer {
    /// The key's value (200 to a read or a watch).
    Found {
        /// Version of the key.
        version: u64,
        /// JSON text.
        value: String,
    },
    /// No such key or lease (404).
    Absent,
    /// The items of a prefix read.
    Listed(Vec<StoreItem>),
    /// The write took effect.
    Written {
        /// New version of the key.
        version: u64,
    },
    /// The key has another version (409); nothing was written.
    Conflict,
    /// The watch timed out without a change (204).
    Unchanged,
    /// The lease was created.
    Granted {
        /// Id of the lease.
        lease: u64,
    },
    /// The lease was renewed or dropped.
    LeaseDone,
    /// The call did not reach the store: no connection could be opened.
    NotSent,
    /// No answer came, or it was an error; a write may have taken effect or may still do so.
    Lost,
}

/// What the driver of a state machine must do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Make this call and pass its answer to `answer`.
    Call(StoreCall),
    /// Call `wake` at this time or later.
    Wait(Instant),
    /// The state machine has ended.
    Done(T),
}

/// Waits between attempts: full jitter under an exponentially growing cap.
#[derive(Clone, Debug)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose first wait is at most `base` and whose later ones at most `cap`.
    pub fn new(base: Duration, cap: Duration) -> Self {
        Self { base, cap, failures: 0 }
    }

    /// Resets the cap after a success.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the wait after one more failure, uniform between zero and the current cap.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let cap = self.base.saturating_mul(1 << self.failures.min(16)).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        cap.mul_f64(rng.random::<f64>())
    }
}

/// Token bucket that limits the call rate of one node, so that the fleet does not call the store
/// all at once when it returns.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self { per_second, burst, tokens: burst, refilled_at: now }
    }

    /// Takes a token if one is available.
    ///
    /// # Errors
    ///
    /// Returns the time at which the next token is available.
    pub fn take(&mut self, now: Instant) -> Result<(), Instant> {
        let gained =
            now.saturating_duration_since(self.refilled_at).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let missing = (1.0 - self.tokens) / self.per_second;
        Err(now + Duration::from_secs_f64(missing))
    }
}
