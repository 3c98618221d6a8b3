//! The memory of a process as a budget: what its connections, bodies and responses may hold.
//!
//! Load: many clients that send large bodies at once and leave them unfinished, besides ordinary
//! requests. Bulk holders (large bodies) stop short of the bound, so that small ones still fit.

use std::time::{Duration, Instant};

/// Memory of a process that holds no request, in bytes: code, stacks, tables of the deployment.
const PROCESS_BYTES: usize = 24_000_000;

/// Fraction of the memory that is left for what the account does not see: the allocator's unused
/// pages, queues of the inner connections, buffers of the kernel.
const UNSEEN_FRACTION: usize = 8;

/// Fraction of the bound that bulk holders leave to others. Half of it is for connections and responses
/// alone: with many small parts of bodies in all of it, new connections were refused.
const RESERVE_FRACTION: usize = 6;

/// Smallest bound, in bytes, whatever the memory of the process.
const MIN_BOUND_BYTES: usize = 4_000_000;

/// Reservations over this size, in bytes, belong to bulk holders.
pub const SMALL_BYTES: usize = 16 << 10;

/// Time without progress after which a client counts as stalled while others need memory.
const STALL_TIME: Duration = Duration::from_millis(400);

/// What holds memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Holder {
    /// Client connections with their buffers and the heads of their requests.
    Connections,
    /// Bodies of requests that clients send.
    RequestBodies,
    /// Bodies of offers from other nodes.
    OfferBodies,
    /// Responses of the upstream and of other nodes until they are delivered.
    Responses,
}

impl Holder {
    /// All holders.
    pub const ALL: [Self; 4] =
        [Self::Connections, Self::RequestBodies, Self::OfferBodies, Self::Responses];

    /// Returns the name for metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Connections => "connections",
            Self::RequestBodies => "request-bodies",
            Self::OfferBodies => "offer-bodies",
            Self::Responses => "responses",
        }
    }
}

/// Which part of the bound a reservation may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Share {
    /// All of it: connections and responses, without which nothing is served.
    Whole,
    /// All but a part for those: large heads, and bodies of up to [`SMALL_BYTES`].
    Small,
    /// What is left to large bodies.
    Bulk,
}

/// The memory that may be held, and what holds it.
#[derive(Clone, Debug)]
pub struct MemoryBudget {
    bound: usize,
    held: [usize; Holder::ALL.len()],
}

impl MemoryBudget {
    /// Creates the budget of a process that may use `memory_bytes` in all.
    pub fn for_process(memory_bytes: usize) -> Self {
        let bound = memory_bytes
            .saturating_sub(memory_bytes / UNSEEN_FRACTION)
            .saturating_sub(PROCESS_BYTES);
        Self { bound: bound.max(MIN_BOUND_BYTES), held: [0; Holder::ALL.len()] }
    }

    /// Returns the most that may be held, in bytes.
    pub fn bound(&self) -> usize {
        self.bound
    }

    /// Returns the most that bulk holders may fill, in bytes.
    pub fn bulk_bound(&self) -> usize {
        self.bound - self.bound / RESERVE_FRACTION
    }

    /// Returns what one holder holds, in bytes.
    pub fn held_by(&self, holder: Holder) -> usize {
        self.held[holder as usize]
    }

    /// Returns what is held, in bytes.
    pub fn held(&self) -> usize {
        self.held.iter().sum()
    }

    /// Reserves memory; returns whether there was enough.
    pub fn try_reserve(&mut self, holder: Holder, share: Share, bytes: usize) -> bool {
        let limit = match share {
            Share::Whole => self.bound,
            Share::Small => self.bound - self.bound / RESERVE_FRACTION / 2,
            Share::Bulk => self.bulk_bound(),
        };
        let fits = bytes <= limit.saturating_sub(self.held());
        if fits {
            self.held[holder as usize] += bytes;
        }
        fits
    }

    /// Gives back memory that was reserved.
    pub fn release(&mut self, holder: Holder, bytes: usize) {
        let held = &mut self.held[holder as usize];
        debug_assert!(*held >= bytes, "released more than was reserved");
        *held = held.saturating_sub(bytes);
    }
}

/// What a client connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Waiting for a request.
    Idle,
    /// Waiting for more of a request from the client.
    Reading,
    /// Waiting for memory; the client is not to blame.
    Paused,
    /// Waiting for the response or writing it.
    Serving,
}

/// A client connection, as far as the choice of one to close needs it.
#[derive(Clone, Copy, Debug)]
pub struct ClientState {
    /// What it is doing.
    pub activity: Activity,
    /// When it last made progress.
    pub since: Instant,
    /// Memory of the body that it has sent so far, in bytes.
    pub held: usize,
}

/// Returns the client to close so that others get memory: of those that hold a body and stall, the
/// one that has stalled longest.
pub fn longest_stalled<K>(
    clients: impl IntoIterator<Item = (K, ClientState)>,
    now: Instant,
) -> Option<K> {
    let stalled = clients.into_iter().filter(|(_, client)| {
        client.activity == Activity::Reading
            && client.held > 0
            && now.saturating_duration_since(client.since) >= STALL_TIME
    });
    stalled.min_by_key(|(_, client)| client.since).map(|(key, _)| key)
}

/// Returns the client to close so that another may connect: of those that no request runs for, the
/// one that has made no progress for longest.
pub fn least_active<K>(clients: impl IntoIterator<Item = (K, ClientState)>) -> Option<K> {
    let waiting = clients.into_iter().filter(|(_, client)| client.activity != Activity::Serving);
    waiting.min_by_key(|(_, client)| client.since).map(|(key, _)| key)
}

/// Returns the client connections that a process with so many descriptors may have. The others are
/// for calls to peers, the upstream and the store, and for calls from peers.
pub fn max_client_connections(descriptors: usize) -> usize {
    descriptors - descriptors / 4 - 16.min(descriptors / 4)
}
