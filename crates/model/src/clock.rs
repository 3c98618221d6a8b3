//! The clock interface, with a system clock and a manually advanced clock for tests.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::{Duration, Instant, SystemTime},
};

/// Source of monotonic and wall-clock time.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Returns the monotonic time.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, used only for idempotency keys, operator output and the
    /// windows of usage reports.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// A clock that moves only through [`ManualClock::advance`]; clones share the same time.
#[derive(Clone, Debug)]
pub struct ManualClock {
    start: Instant,
    start_wall: SystemTime,
    elapsed_us: Arc<AtomicU64>,
}

impl ManualClock {
    /// Creates a clock stopped at an arbitrary time.
    pub fn new() -> Self {
        let start_wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        Self { start: Instant::now(), start_wall, elapsed_us: Arc::default() }
    }

    /// Moves the clock forward by `step`, in whole microseconds.
    pub fn advance(&self, step: Duration) {
        self.elapsed_us.fetch_add(step.as_micros() as u64, Ordering::Relaxed);
    }

    fn elapsed(&self) -> Duration {
        Duration::from_micros(self.elapsed_us.load(Ordering::Relaxed))
    }
}

impl Default for ManualClock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn wall(&self) -> SystemTime {
        self.start_wall + self.elapsed()
    }
}
