//! Bodies of messages, held once and shared by all who send them.

use std::{pin::pin, sync::Arc};

use bytes::Bytes;
use futures_util::future::{Either, select};
use oleandertiller_mesh::memory_budget::{Activity, Holder, SMALL_BYTES, Share};

use super::{
    http::HttpError,
    memory::{ClientEntry, MemoryAccount, MemoryGuard},
};

/// Size of the buffers that hold a long body, in bytes. All have the same, so that freed ones fit
/// later bodies.
const CHUNK_BYTES: usize = 64 << 10;

/// Size of the first buffer of a body whose length is not known, in bytes.
const FIRST_CHUNK_BYTES: usize = 4 << 10;

/// A complete body. Clones share its bytes.
#[derive(Clone, Debug, Default)]
pub struct Body {
    chunks: Vec<Bytes>,
    len: usize,
}

impl Body {
    /// Returns a body without bytes.
    pub const fn empty() -> Self {
        Self { chunks: Vec::new(), len: 0 }
    }

    /// Returns its length, in bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether it has no bytes.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns its parts, none of which is empty.
    pub fn chunks(&self) -> &[Bytes] {
        &self.chunks
    }

    /// Returns a copy in one piece.
    pub fn to_vec(&self) -> Vec<u8> {
        self.chunks.concat()
    }

    fn push(&mut self, chunk: Bytes) {
        if !chunk.is_empty() {
            self.len += chunk.len();
            self.chunks.push(chunk);
        }
    }
}

impl From<Vec<u8>> for Body {
    fn from(bytes: Vec<u8>) -> Self {
        Bytes::from(bytes).into()
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        let mut body = Self::default();
        body.push(bytes);
        body
    }
}

impl PartialEq for Body {
    fn eq(&self, other: &Self) -> bool {
        let bytes = |body: &Self| body.chunks.clone().into_iter().flatten();
        self.len == other.len && bytes(self).eq(bytes(other))
    }
}

impl Eq for Body {}

/// Bytes that are in the account for as long as anyone holds them.
struct Held<T> {
    bytes: T,
    _guard: MemoryGuard,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for Held<T> {
    fn as_ref(&self) -> &[u8] {
        self.bytes.as_ref()
    }
}

/// Who pays for a body that is being read, and its limit.
#[derive(Clone)]
pub struct BodyLimits {
    max: usize,
    account: Option<(Arc<MemoryAccount>, Holder)>,
    client: Option<Arc<ClientEntry>>,
}

impl BodyLimits {
    /// Limits a body to `max` bytes, outside of the account.
    pub fn unaccounted(max: usize) -> Self {
        Self { max, account: None, client: None }
    }

    /// Limits a body to `max` bytes, all of which are in the account.
    pub fn new(max: usize, account: Arc<MemoryAccount>, holder: Holder) -> Self {
        Self { max, account: Some((account, holder)), client: None }
    }

    /// Sets the client connection that the body comes from.
    pub fn with_client(mut self, client: Arc<ClientEntry>) -> Self {
        self.client = Some(client);
        self
    }

    /// Takes bytes that have arrived into the account, if there is memory for them now. They stay
    /// there until the last of their clones is dropped.
    pub fn hold_now(&self, bytes: Bytes, share: Share) -> Option<Bytes> {
        let Some((account, holder)) = &self.account else { return Some(bytes) };
        let guard = account.try_reserve(*holder, share, bytes.len())?;
        Some(Bytes::from_owner(Held { bytes, _guard: guard }))
    }

    /// Returns the largest body, in bytes.
    pub fn max(&self) -> usize {
        self.max
    }
}

/// A body that is being read, in buffers that are in the account before they are filled.
pub struct BodyBuilder<'a> {
    limits: &'a BodyLimits,
    body: Body,
    /// Buffer that is being filled, and its bytes so far.
    buf: Vec<u8>,
    filled: usize,
    guard: Option<MemoryGuard>,
    /// Bytes that are known to come, besides those in `buf`.
    expected: usize,
}

impl<'a> BodyBuilder<'a> {
    /// Creates an empty body of which `expected` bytes are known to come.
    pub fn new(limits: &'a BodyLimits, expected: usize) -> Self {
        let (body, buf) = (Body::default(), Vec::new());
        Self { limits, body, buf, filled: 0, guard: None, expected }
    }

    /// Returns the number of bytes so far.
    pub fn received(&self) -> usize {
        self.body.len() + self.filled
    }

    /// Returns unused space that is in the account, waiting for it if necessary.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NoMemory`] if there was none within the longest pause.
    pub async fn space(&mut self) -> Result<&mut [u8], HttpError> {
        if self.filled == self.buf.len() {
            self.finish_chunk();
            let size = match (self.expected, self.received()) {
                (0, 0) => FIRST_CHUNK_BYTES,
                (0, len) => len.next_power_of_two(),
                (expected, _) => expected,
            };
            let size = size.min(CHUNK_BYTES);
            self.guard = self.reserve(size).await?;
            self.buf = vec![0; size];
        }
        Ok(&mut self.buf[self.filled..])
    }

    async fn reserve(&self, size: usize) -> Result<Option<MemoryGuard>, HttpError> {
        let Some((account, holder)) = &self.limits.account else { return Ok(None) };
        let share = match holder {
            // Finished work, which bodies that are still to run must not hold up.
            Holder::Responses => Share::Whole,
            _ if self.received() + size <= SMALL_BYTES => Share::Small,
            _ => Share::Bulk,
        };
        let guard = match account.try_reserve(*holder, share, size) {
            Some(guard) => guard,
            None => {
                self.set_activity(Activity::Paused);
                if let Some(client) = &self.limits.client {
                    client.limit_input();
                }
                let reserve = pin!(account.reserve(*holder, share, size));
                let guard = match select(reserve, pin!(self.told_to_close())).await {
                    Either::Left((guard, _)) => guard,
                    Either::Right(_) => return Err(HttpError::Broken),
                };
                self.set_activity(Activity::Reading);
                guard.ok_or(HttpError::NoMemory)?
            }
        };
        if let Some(client) = &self.limits.client {
            client.on_progress(Activity::Reading, self.received() + size);
        }
        Ok(Some(guard))
    }

    async fn told_to_close(&self) {
        match &self.limits.client {
            Some(client) => client.told_to_close().await,
            None => std::future::pending().await,
        }
    }

    fn set_activity(&self, activity: Activity) {
        if let Some(client) = &self.limits.client {
            client.on_progress(activity, self.received());
        }
    }

    /// Counts bytes that were written to the start of the unused space.
    pub fn advance(&mut self, count: usize) {
        self.filled += count;
        self.expected = self.expected.saturating_sub(count);
    }

    /// Appends a copy of bytes.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::NoMemory`] as [`Self::space`] does.
    pub async fn append(&mut self, mut bytes: &[u8]) -> Result<(), HttpError> {
        while !bytes.is_empty() {
            let space = self.space().await?;
            let count = space.len().min(bytes.len());
            space[..count].copy_from_slice(&bytes[..count]);
            self.advance(count);
            bytes = &bytes[count..];
        }
        Ok(())
    }

    /// Returns the body.
    pub fn finish(mut self) -> Body {
        self.finish_chunk();
        self.body
    }

    fn finish_chunk(&mut self) {
        let buf = std::mem::take(&mut self.buf);
        let filled = std::mem::take(&mut self.filled);
        if filled == 0 {
            self.guard = None;
            return;
        }
        let chunk = match self.guard.take() {
            Some(guard) => Bytes::from_owner(Held { bytes: buf, _guard: guard }),
            None => Bytes::from(buf),
        };
        self.body.push(chunk.slice(..filled));
    }
}
