//! Calls to the platform's key-value store, as actions and answers, and how they are paced.

use std::time::{Duration, Instant};

use rand::Rng;

/// Time after which the driver reports a call as [`StoreAnswer::Lost`]. A watch may take its own
/// time-out longer.
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
        /// Lease with which the key vanishes.
        lease: Option<u64>,
    },
    /// Waits until the key's version is above `after`.
    Watch {
        /// Key to watch.
        key: String,
        /// Version that is known already.
        after: u64,
        /// Longest wait at the store.
        timeout: Duration,
    },
    /// Creates a lease.
    GrantLease {
        /// Time to live.
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

/// One key of a prefix read.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct StoreItem {
    /// Key.
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
    /// The keys of a prefix read.
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
    /// The call certainly did not reach the store: no connection could be opened.
    NotSent,
    /// No answer came, or an error; a write may have taken effect or may still do so.
    Lost,
}

/// What a state machine on the store asks of its driver next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Make this call and pass the answer to `answer`.
    Call(StoreCall),
    /// Call `wake` at this time or later.
    Wait(Instant),
    /// The machine has ended.
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

    /// Notes a success; the next wait is short again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the wait after one more failure, uniform between zero and the present cap.
    pub fn next_wait(&mut self, rng: &mut impl Rng) -> Duration {
        let cap = self.base.saturating_mul(1 << self.failures.min(16)).min(self.cap);
        self.failures = self.failures.saturating_add(1);
        cap.mul_f64(rng.random::<f64>())
    }
}

/// Limits the rate of calls of one node, so that a fleet that waited for the store does not
/// return to it all at once.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Instant,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(per_second: f64, burst: f64, now: Instant) -> Self {
        Self { per_second, burst, tokens: burst, filled: now }
    }

    /// Takes a token, or returns when one will be there.
    ///
    /// # Errors
    ///
    /// Returns the time at which the next token is there.
    pub fn take(&mut self, now: Instant) -> Result<(), Instant> {
        let gained = now.saturating_duration_since(self.filled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = self.filled.max(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        let lacking = (1.0 - self.tokens) / self.per_second;
        Err(now + Duration::from_secs_f64(lacking))
    }
}
