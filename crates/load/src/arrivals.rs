//! Seeded schedules of Poisson arrivals.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1};

use crate::workload::LoadKind;

/// Rate of arrivals over time, in requests per second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Profile {
    /// A constant rate.
    Constant(f64),
    /// A rate that changes once.
    Step {
        /// Rate before.
        from: f64,
        /// Rate afterwards.
        to: f64,
        /// Time of the change.
        at: Duration,
    },
    /// A rate that is higher for a limited time.
    Burst {
        /// Rate outside the burst.
        base: f64,
        /// Rate within the burst.
        peak: f64,
        /// Start of the burst.
        at: Duration,
        /// Length of the burst.
        length: Duration,
    },
}

impl Profile {
    /// Returns the rate at a time after the start of the run.
    pub fn rate(&self, now: Duration) -> f64 {
        match *self {
            Self::Constant(rate) => rate,
            Self::Step { from, to, at } => {
                if now < at {
                    from
                } else {
                    to
                }
            }
            Self::Burst { base, peak, at, length } => {
                if now >= at && now < at + length {
                    peak
                } else {
                    base
                }
            }
        }
    }

    fn max_rate(&self) -> f64 {
        match *self {
            Self::Constant(rate) => rate,
            Self::Step { from, to, .. } => from.max(to),
            Self::Burst { base, peak, .. } => base.max(peak),
        }
    }
}

/// One scheduled request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Number in the schedule, from 1.
    pub number: u64,
    /// Intended start, as the time since the start of the run.
    pub at: Duration,
    /// Index into the kinds that the schedule was created with.
    pub kind: usize,
    /// Seed of the random choices made for this request.
    pub seed: u64,
}

/// Schedule of a run; the same seed and arguments give the same schedule.
pub struct Arrivals {
    rng: StdRng,
    profile: Profile,
    length: Duration,
    shares: Vec<u32>,
    now: Duration,
    number: u64,
}

impl Arrivals {
    /// Creates a schedule of the given length.
    pub fn new(seed: u64, profile: Profile, length: Duration, kinds: &[LoadKind]) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            profile,
            length,
            shares: kinds.iter().map(|kind| kind.share).collect(),
            now: Duration::ZERO,
            number: 0,
        }
    }

    fn draw_kind(&mut self) -> usize {
        let total: u32 = self.shares.iter().sum();
        let mut drawn = self.rng.random_range(0..total.max(1));
        for (index, share) in self.shares.iter().enumerate() {
            if drawn < *share {
                return index;
            }
            drawn -= share;
        }
        0
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let max_rate = self.profile.max_rate();
        if max_rate <= 0.0 {
            return None;
        }
        // Thinning: draws arrivals at the maximum rate and keeps the current rate's share of them.
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.now += Duration::from_secs_f64(gap / max_rate);
            if self.now >= self.length {
                return None;
            }
            let keep_share = self.profile.rate(self.now) / max_rate;
            if self.rng.random_bool(keep_share.clamp(0.0, 1.0)) {
                break;
            }
        }
        let kind = self.draw_kind();
        self.number += 1;
        Some(Arrival { number: self.number, at: self.now, kind, seed: self.rng.random() })
    }
}
