//! State shared by the requests, announcements and admin calls of one upstream.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_std::task;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use serde::Serialize;

use super::UpstreamOptions;
use super::behaviour::{Behaviour, Pauses, TurnCold};
use super::lifecycle::Lifecycle;
use super::record::Record;

/// Interval between the load samples that delayed reports are taken from.
const SAMPLE_INTERVAL_MS: u64 = 50;
/// Maximum lag of a report.
const MAX_LAG_MS: u64 = 10_000;

/// Load of an upstream, as reported by `/load`.
#[derive(Clone, Copy, Debug, Default)]
#[derive(Serialize)]
pub struct LoadSample {
    pub in_flight: u32,
    pub slots: u32,
    pub healthy: bool,
}

pub struct State {
    pub options: UpstreamOptions,
    behaviour: RwLock<Arc<Behaviour>>,
    rng: Mutex<StdRng>,
    pub lifecycle: Mutex<Lifecycle>,
    record: Mutex<Record>,
    /// Number of requests that run or wait for a slot.
    pub in_flight: AtomicU32,
    /// Load samples of the last [`MAX_LAG_MS`], the oldest first.
    samples: Mutex<VecDeque<(Instant, LoadSample)>>,
    /// Start of the first interval of pauses.
    started: Instant,
    /// Channel with one message per free slot.
    slots: (Sender<()>, Receiver<()>),
    /// Triggers an announcement after a change of state.
    pub announce_trigger: (Sender<()>, Receiver<()>),
}

/// A slot in use; dropping it frees the slot.
pub struct Slot(Sender<()>);

impl Drop for Slot {
    fn drop(&mut self) {
        // Fails only if the upstream has been closed.
        let _ = self.0.try_send(());
    }
}

impl State {
    pub fn new(options: UpstreamOptions) -> Self {
        let now = Instant::now();
        let slots = async_channel::unbounded();
        for _ in 0..options.slots {
            let _ = slots.0.try_send(());
        }
        let mut rng = StdRng::seed_from_u64(options.seed);
        let mut lifecycle = Lifecycle::new(rng.random::<u32>().into(), options.warm, now);
        update_condition_times(&mut lifecycle, &options.behaviour, now);
        Self {
            behaviour: RwLock::new(Arc::new(options.behaviour.clone())),
            options,
            rng: Mutex::new(rng),
            lifecycle: Mutex::new(lifecycle),
            record: Mutex::default(),
            in_flight: AtomicU32::new(0),
            samples: Mutex::default(),
            started: now,
            slots,
            announce_trigger: async_channel::bounded(1),
        }
    }

    pub fn behaviour(&self) -> Behaviour {
        (*self.current_behaviour()).clone()
    }

    pub fn current_behaviour(&self) -> Arc<Behaviour> {
        self.behaviour.read().unwrap().clone()
    }

    pub fn change_behaviour(&self, f: impl FnOnce(&mut Behaviour)) {
        let mut behaviour = self.behaviour.write().unwrap();
        let mut new_behaviour = (**behaviour).clone();
        f(&mut new_behaviour);
        let now = Instant::now();
        let mut lifecycle = self.lifecycle.lock().unwrap();
        if new_behaviour.bad != behaviour.bad {
            lifecycle.bad_since = now;
        }
        update_condition_times(&mut lifecycle, &new_behaviour, now);
        *behaviour = Arc::new(new_behaviour);
        let _ = self.announce_trigger.0.try_send(());
    }

    pub fn turn_cold(&self, how: TurnCold) {
        self.lifecycle.lock().unwrap().turn_cold(how, Instant::now());
        let _ = self.announce_trigger.0.try_send(());
    }

    pub fn record(&self) -> Record {
        self.record.lock().unwrap().clone()
    }

    pub fn update_record(&self, f: impl FnOnce(&mut Record)) {
        f(&mut self.record.lock().unwrap());
    }

    /// Returns true with probability `share`.
    pub fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().unwrap().random_bool(share.min(1.0))
    }

    /// Draws a service time from a log-normal distribution with the given mean.
    pub fn service_time(&self, mean_ms: f64, sigma: f64) -> Duration {
        if mean_ms <= 0.0 {
            return Duration::ZERO;
        }
        // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
        let mu = mean_ms.ln() - sigma * sigma / 2.0;
        let drawn = match LogNormal::new(mu, sigma) {
            Ok(distribution) => distribution.sample(&mut *self.rng.lock().unwrap()),
            Err(_) => mean_ms,
        };
        Duration::from_secs_f64(drawn / 1_000.0)
    }

    /// Waits for a free slot.
    pub async fn acquire_slot(&self) -> Slot {
        // This state holds a sender, so the channel is open.
        let _ = self.slots.1.recv().await;
        Slot(self.slots.0.clone())
    }

    /// Sleeps for `time`, and then until the end of the current pause, if there is one.
    pub async fn sleep(&self, time: Duration, pauses: Option<&Pauses>) {
        if !time.is_zero() {
            task::sleep(time).await;
        }
        let Some(pauses) = pauses else { return };
        let since_pause_start = self.started.elapsed().as_millis() as u64 % pauses.every_ms.max(1);
        if since_pause_start < pauses.for_ms {
            task::sleep(Duration::from_millis(pauses.for_ms - since_pause_start)).await;
        }
    }

    fn sample_load(&self) -> LoadSample {
        let behaviour = self.current_behaviour();
        let healthy = !behaviour.fail_fast && !behaviour.draining && behaviour.fail_share < 0.5;
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        LoadSample { in_flight, slots: self.options.slots, healthy }
    }

    /// Returns the latest load sample that is at least `lag` old, or else the oldest one.
    pub fn delayed_sample(&self, lag: Duration) -> LoadSample {
        if lag.is_zero() {
            return self.sample_load();
        }
        let samples = self.samples.lock().unwrap();
        let old = samples.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.or(samples.front()).map(|(_, sample)| *sample).unwrap_or_default()
    }
}

/// Sets or clears the start of draining and the time at which the zone went out of service.
fn update_condition_times(lifecycle: &mut Lifecycle, behaviour: &Behaviour, now: Instant) {
    lifecycle.draining_since = behaviour.draining.then(|| lifecycle.draining_since.unwrap_or(now));
    lifecycle.zone_out_since = behaviour.zone_out.then(|| lifecycle.zone_out_since.unwrap_or(now));
}

/// Samples the load at a fixed interval.
pub async fn sample_load_forever(state: Arc<State>) {
    loop {
        let sample = state.sample_load();
        {
            let mut samples = state.samples.lock().unwrap();
            samples.push_back((Instant::now(), sample));
            if samples.len() as u64 > MAX_LAG_MS / SAMPLE_INTERVAL_MS {
                samples.pop_front();
            }
        }
        task::sleep(Duration::from_millis(SAMPLE_INTERVAL_MS)).await;
    }
}
