//! The account of the process's memory, and the client connections that hold it.

use std::{
    collections::BTreeMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant},
};

use async_std::{future::timeout, net::TcpStream};
use event_listener::Event;
use oleandertiller_mesh::memory_budget::{
    Activity, ClientState, Holder, MemoryBudget, Share, least_active, longest_stalled,
    max_client_connections,
};
use oleandertiller_model::{Clock, SystemClock};
use socket2::SockRef;

/// Memory of a client connection without a request, in bytes: its task, its input buffer, and what
/// the kernel keeps for its socket.
const CONNECTION_BYTES: usize = 8 << 10;

/// Time between two attempts to get memory, unless some is released before.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Attempts to get memory, after which what needs it is refused: 1 s in all. Clients take a pause of
/// this length for a slow network.
const MAX_ATTEMPTS: usize = 20;

/// Fraction of the bound on client connections by which those that are about to close may exceed it.
const CLOSING_FRACTION: usize = 8;

/// Longest time for which no connection is accepted because others are about to close; then the next
/// one is closed at once.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(200);

/// Receive buffer of the socket of a client whose body waits for memory, in bytes: what arrives
/// meanwhile takes memory, too.
const PAUSED_RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// The account of the process's memory.
pub struct MemoryAccount {
    budget: Mutex<MemoryBudget>,
    released: Event,
    short: AtomicBool,
    clients: Mutex<Clients>,
    max_clients: usize,
    client_left: Event,
}

#[derive(Default)]
struct Clients {
    entries: BTreeMap<u64, Arc<ClientEntry>>,
    next_id: u64,
}

impl MemoryAccount {
    /// Creates the account of a process that may use `memory_bytes` and open `descriptors`.
    pub fn new(memory_bytes: usize, descriptors: usize) -> Self {
        Self {
            budget: Mutex::new(MemoryBudget::for_process(memory_bytes)),
            released: Event::new(),
            short: AtomicBool::new(false),
            clients: Mutex::default(),
            max_clients: max_client_connections(descriptors),
            client_left: Event::new(),
        }
    }

    /// Returns the largest body that fits, in bytes.
    pub fn max_body_bytes(&self) -> usize {
        self.lock().bulk_bound() / 10 * 9
    }

    /// Returns what each holder holds, and the bound, in bytes.
    pub fn figures(&self) -> ([(Holder, usize); Holder::ALL.len()], usize) {
        let budget = self.lock();
        (Holder::ALL.map(|holder| (holder, budget.held_by(holder))), budget.bound())
    }

    /// Returns the number of client connections.
    pub fn client_count(&self) -> usize {
        self.lock_clients().entries.len()
    }

    /// Reserves memory if there is enough.
    pub fn try_reserve(
        self: &Arc<Self>,
        holder: Holder,
        share: Share,
        bytes: usize,
    ) -> Option<MemoryGuard> {
        let reserved = self.lock().try_reserve(holder, share, bytes);
        reserved.then(|| MemoryGuard { account: self.clone(), holder, bytes })
    }

    /// Reserves memory; if there is not enough, closes clients that stall and waits for a while.
    pub async fn reserve(
        self: &Arc<Self>,
        holder: Holder,
        share: Share,
        bytes: usize,
    ) -> Option<MemoryGuard> {
        for attempt in 0..MAX_ATTEMPTS {
            let released = self.released.listen();
            if let Some(guard) = self.try_reserve(holder, share, bytes) {
                return Some(guard);
            }
            if attempt == 0 && !self.short.swap(true, Ordering::Relaxed) {
                let held = self.lock().held() as u64;
                log::warn!(holder = holder.name(), held = held; "memory is short: reading pauses");
            }
            self.close_stalled();
            // Without a release in time, the next attempt may find a client that stalls by then.
            let _ = timeout(RETRY_INTERVAL, released).await;
        }
        None
    }

    fn close_stalled(&self) {
        let found = {
            let clients = self.lock_clients();
            let states = clients.entries.values().map(|entry| (entry, entry.state()));
            longest_stalled(states, SystemClock.now()).cloned()
        };
        if let Some(entry) = found {
            entry.close("memory");
        }
    }

    /// Registers a client connection; returns `None` if it cannot be served. Above the bound on
    /// connections, another one that does nothing is closed for it.
    pub fn admit_client(self: &Arc<Self>, stream: &TcpStream) -> Option<ClientGuard> {
        let memory = self.try_reserve(Holder::Connections, Share::Whole, CONNECTION_BYTES);
        if memory.is_none() {
            // So that the next one finds memory.
            self.close_stalled();
        }
        let memory = memory?;
        let mut clients = self.lock_clients();
        if clients.entries.len() >= self.max_clients {
            let open = clients.entries.values().filter(|entry| !entry.is_closing());
            let open: Vec<_> = open.map(|entry| (entry, entry.state())).collect();
            if open.len() >= self.max_clients {
                least_active(open)?.close("descriptors");
            }
            // Those that were told to close still have their descriptors.
            if clients.entries.len() >= self.max_entries() {
                return None;
            }
        }
        let id = clients.next_id;
        clients.next_id += 1;
        let state = ClientState { activity: Activity::Idle, since: SystemClock.now(), held: 0 };
        let entry = Arc::new(ClientEntry {
            stream: stream.clone(),
            state: Mutex::new(state),
            closing: AtomicBool::new(false),
            told_to_close: Event::new(),
        });
        clients.entries.insert(id, entry.clone());
        Some(ClientGuard { account: self.clone(), id, entry, memory })
    }

    /// Waits for a while if the connections that were told to close still have the descriptors that
    /// another one would need.
    pub async fn room_for_client(&self) {
        if self.client_count() < self.max_entries() {
            return;
        }
        let left = self.client_left.listen();
        if self.client_count() >= self.max_entries() {
            let _ = timeout(MAX_ROOM_WAIT, left).await;
        }
    }

    fn max_entries(&self) -> usize {
        self.max_clients + self.max_clients / CLOSING_FRACTION
    }

    fn release(&self, holder: Holder, bytes: usize) {
        let has_room = {
            let mut budget = self.lock();
            budget.release(holder, bytes);
            budget.held() < budget.bulk_bound() / 2
        };
        if self.short.load(Ordering::Relaxed) {
            self.released.notify(1);
            if has_room && self.short.swap(false, Ordering::Relaxed) {
                log::info!("memory is no longer short");
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, MemoryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_clients(&self) -> MutexGuard<'_, Clients> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that is reserved until the guard is dropped.
pub struct MemoryGuard {
    account: Arc<MemoryAccount>,
    holder: Holder,
    bytes: usize,
}

impl MemoryGuard {
    /// Changes the reservation to `bytes`; returns whether there was enough memory.
    pub fn try_resize(&mut self, bytes: usize) -> bool {
        if bytes < self.bytes {
            self.account.release(self.holder, self.bytes - bytes);
        } else if !self.account.lock().try_reserve(self.holder, Share::Small, bytes - self.bytes) {
            return false;
        }
        self.bytes = bytes;
        true
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.account.release(self.holder, self.bytes);
    }
}

/// A client connection, as others see it.
pub struct ClientEntry {
    stream: TcpStream,
    state: Mutex<ClientState>,
    closing: AtomicBool,
    told_to_close: Event,
}

impl ClientEntry {
    /// Waits until the connection is to be closed for others; one that waits for memory reads no
    /// input that would show it.
    pub async fn told_to_close(&self) {
        let told = self.told_to_close.listen();
        if !self.is_closing() {
            told.await;
        }
    }

    /// Records that the connection has made progress; `held` is the memory of its request's body.
    pub fn on_progress(&self, activity: Activity, held: usize) {
        let since: Instant = SystemClock.now();
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) =
            ClientState { activity, since, held };
    }

    /// Limits what the kernel receives for the connection ahead of what is read.
    pub fn limit_input(&self) {
        // A failure leaves the usual size.
        let _ = SockRef::from(&self.stream).set_recv_buffer_size(PAUSED_RECEIVE_BUFFER_BYTES);
    }

    fn state(&self) -> ClientState {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    fn close(&self, needed: &str) {
        if !self.closing.swap(true, Ordering::Relaxed) {
            let held = self.state().held as u64;
            log::info!(needed = needed, held = held; "stalled client connection closed");
            // An error means that it is closed already.
            let _ = self.stream.shutdown(std::net::Shutdown::Both);
            self.told_to_close.notify(usize::MAX);
        }
    }
}

/// Keeps a client connection registered until it is dropped.
pub struct ClientGuard {
    account: Arc<MemoryAccount>,
    id: u64,
    entry: Arc<ClientEntry>,
    memory: MemoryGuard,
}

impl ClientGuard {
    /// Returns the entry of the connection.
    pub fn entry(&self) -> &Arc<ClientEntry> {
        &self.entry
    }

    /// Sets the memory of the connection's buffers, in bytes; returns whether there was enough.
    pub fn try_resize(&mut self, buffer_bytes: usize) -> bool {
        self.memory.try_resize(CONNECTION_BYTES + buffer_bytes)
    }
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        self.account.lock_clients().entries.remove(&self.id);
        self.account.client_left.notify(1);
    }
}
