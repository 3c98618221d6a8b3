//! Which of the requests on one client connection run concurrently, and in which order their
//! responses are written.
//!
//! Some clients send further requests on a connection before the first is answered. Served one after
//! the other, their times add up: with 260 ms of work, the fifth request of a connection is answered
//! after 1.3 s, beyond the objective of 1.2 s of the route that such clients use. Idempotent requests
//! therefore run concurrently, in a window that is bounded in number and bytes, so that one
//! connection can fill neither the upstreams nor the node's memory. Responses are written in the
//! order of the requests, as HTTP/1.1 demands.
//!
//! A request that may run only once can depend on those ahead of it and cannot be taken back once it
//! has started. It starts only when they are answered, and nothing behind it is read until it is
//! answered itself. The same holds for requests whose bodies are too large to be read ahead.
//!
//! A response that closes the connection is the last one. Since nothing is read behind a request
//! whose response is known to close the connection, no request behind it can have started.

use std::collections::VecDeque;

/// Bounds of the window of one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PipelineLimits {
    /// Maximum number of requests that are read and not answered; at least 1.
    pub requests: usize,
    /// Bytes of requests and responses that are held from which no further request is read.
    pub bytes: usize,
}

/// Whether a request may be read and run while others of its connection are not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Concurrency {
    /// It runs beside others.
    Concurrent,
    /// It runs when those ahead of it are answered, and before any behind it is read.
    Alone,
}

/// What happens to a connection after a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterResponse {
    /// Further responses may follow.
    Continue,
    /// The connection ends: nothing is written after this response.
    Close,
}

/// A request of the connection, by its position among all requests of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Position(u64);

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Its head is read, but it has to run alone.
    Waiting,
    Running,
    /// Its response is ready.
    Done,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    state: State,
    bytes: usize,
}

/// Returns how a request runs whose head was read behind others: `idempotent` tells whether it may
/// run more than once, `body` is the length of its body in bytes, if that is known before it is read,
/// and `room` what [`Pipeline::room`] returned before.
pub fn concurrency(idempotent: bool, body: Option<u64>, room: u64) -> Concurrency {
    match body {
        Some(len) if idempotent && len <= room => Concurrency::Concurrent,
        _ => Concurrency::Alone,
    }
}

/// The requests of one connection that are not answered yet.
#[derive(Clone, Debug)]
pub struct Pipeline {
    limits: PipelineLimits,
    /// Number of requests that are answered, and so the position of the first entry.
    answered: u64,
    entries: VecDeque<Entry>,
    bytes: usize,
    /// Whether no further request may be read, because the connection ends.
    ending: bool,
}

impl Pipeline {
    /// Creates the pipeline of a connection without unanswered requests.
    pub fn new(limits: PipelineLimits) -> Self {
        Self { limits, answered: 0, entries: VecDeque::new(), bytes: 0, ending: false }
    }

    /// Returns whether every request is answered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of requests that are read and not answered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns the bytes that are held for unanswered requests.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns whether the next request may be read.
    pub fn may_read(&self) -> bool {
        let alone = self.entries.back().is_some_and(|entry| entry.state == State::Waiting);
        // The first request is bounded by the limits on a single one.
        let has_room = self.entries.is_empty()
            || self.entries.len() < self.limits.requests && self.bytes < self.limits.bytes;
        !self.ending && !alone && has_room
    }

    /// Returns the bytes that the next request may have to be read beside others.
    pub fn room(&self) -> u64 {
        self.limits.bytes.saturating_sub(self.bytes) as u64
    }

    /// Stops reading, for a planned stop; what was read is still answered.
    pub fn stop_reading(&mut self) {
        self.ending = true;
    }

    /// Adds a request of `bytes` bytes. A concurrent one has to be started now. If it asks for the
    /// close of the connection, its response is the `last` one.
    pub fn on_read(&mut self, concurrency: Concurrency, bytes: usize, last: bool) -> Position {
        self.ending |= last;
        let state = match concurrency {
            Concurrency::Concurrent => State::Running,
            Concurrency::Alone => State::Waiting,
        };
        self.push(Entry { state, bytes })
    }

    /// Adds the response to a request that is refused without being run. After one that was not read
    /// completely, the connection cannot be used further.
    pub fn on_refused(&mut self, after: AfterResponse) -> Position {
        self.ending |= after == AfterResponse::Close;
        self.push(Entry { state: State::Done, bytes: 0 })
    }

    fn push(&mut self, entry: Entry) -> Position {
        self.bytes += entry.bytes;
        self.entries.push_back(entry);
        Position(self.answered + self.entries.len() as u64 - 1)
    }

    /// Returns whether the first request is one that runs alone, and so may be started now.
    pub fn is_alone(&self) -> bool {
        self.entries.front().is_some_and(|entry| entry.state == State::Waiting)
    }

    /// Records that the response of `bytes` bytes to a running request is ready.
    pub fn on_ended(&mut self, position: Position, bytes: usize) {
        let index = position.0.checked_sub(self.answered).and_then(|i| usize::try_from(i).ok());
        let Some(entry) = index.and_then(|index| self.entries.get_mut(index)) else { return };
        self.bytes = self.bytes - entry.bytes + bytes;
        *entry = Entry { state: State::Done, bytes };
    }

    /// Removes the first request if its response is ready, and returns its position and whether it
    /// is the last response of the connection.
    pub fn take_response(&mut self) -> Option<(Position, AfterResponse)> {
        if self.entries.front()?.state != State::Done {
            return None;
        }
        let position = Position(self.answered);
        self.answered += 1;
        self.bytes -= self.entries.pop_front().map_or(0, |entry| entry.bytes);
        let is_last = self.ending && self.entries.is_empty();
        Some((position, if is_last { AfterResponse::Close } else { AfterResponse::Continue }))
    }
}
