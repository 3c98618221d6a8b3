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
use super::life::Life;
use super::record::Record;

/// Interval of the samples from which lagging reports are answered.
const SAMPLE_MS: u64 = 50;
/// Longest lag of a report.
const HISTORY_MS: u64 = 10_000;

/// What `/load` reports.
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
    pub life: Mutex<Life>,
    record: Mutex<Record>,
    pub in_flight: AtomicU32,
    history: Mutex<VecDeque<(Instant, LoadSample)>>,
    started: Instant,
    slots: (Sender<()>, Receiver<()>),
    /// Wakes the announcer after a change of state.
    pub changed: (Sender<()>, Receiver<()>),
}

/// A slot in use; dropping it frees the slot.
pub struct Slot(Sender<()>);

impl Drop for Slot {
    fn drop(&mut self) {
        // Fails only when the upstream has been closed.
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
        let mut life = Life::new(rng.random::<u32>().into(), options.warm, now);
        note_conditions(&mut life, &options.behaviour, now);
        Self {
            behaviour: RwLock::new(Arc::new(options.behaviour.clone())),
            options,
            rng: Mutex::new(rng),
            life: Mutex::new(life),
            record: Mutex::default(),
            in_flight: AtomicU32::new(0),
            history: Mutex::default(),
            started: now,
            slots,
            changed: async_channel::bounded(1),
        }
    }

    pub fn behaviour(&self) -> Behaviour {
        (*self.present()).clone()
    }

    pub fn present(&self) -> Arc<Behaviour> {
        self.behaviour.read().unwrap().clone()
    }

    pub fn change(&self, f: impl FnOnce(&mut Behaviour)) {
        let mut behaviour = self.behaviour.write().unwrap();
        let mut changed = (**behaviour).clone();
        f(&mut changed);
        let now = Instant::now();
        let mut life = self.life.lock().unwrap();
        if changed.bad != behaviour.bad {
            life.bad_since = now;
        }
        note_conditions(&mut life, &changed, now);
        *behaviour = Arc::new(changed);
        let _ = self.changed.0.try_send(());
    }

    pub fn turn_cold(&self, how: TurnCold) {
        self.life.lock().unwrap().turn_cold(how, Instant::now());
        let _ = self.changed.0.try_send(());
    }

    pub fn record(&self) -> Record {
        self.record.lock().unwrap().clone()
    }

    pub fn note(&self, f: impl FnOnce(&mut Record)) {
        f(&mut self.record.lock().unwrap());
    }

    pub fn chance(&self, share: f64) -> bool {
        share > 0.0 && self.rng.lock().unwrap().random_bool(share.min(1.0))
    }

    /// Draws a service time with the given mean.
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

    pub async fn slot(&self) -> Slot {
        // The sender is held by this state, so the channel is open.
        let _ = self.slots.1.recv().await;
        Slot(self.slots.0.clone())
    }

    /// Sleeps for `time`, then until the end of a pause in progress.
    pub async fn work(&self, time: Duration, pauses: Option<&Pauses>) {
        if !time.is_zero() {
            task::sleep(time).await;
        }
        let Some(pauses) = pauses else { return };
        let into = self.started.elapsed().as_millis() as u64 % pauses.every_ms.max(1);
        if into < pauses.for_ms {
            task::sleep(Duration::from_millis(pauses.for_ms - into)).await;
        }
    }

    fn sample(&self) -> LoadSample {
        let behaviour = self.present();
        let healthy = !behaviour.fail_fast && !behaviour.draining && behaviour.fail_share < 0.5;
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        LoadSample { in_flight, slots: self.options.slots, healthy }
    }

    /// Returns the sample that was taken `lag` ago, or the oldest kept.
    pub fn sampled_before(&self, lag: Duration) -> LoadSample {
        if lag.is_zero() {
            return self.sample();
        }
        let history = self.history.lock().unwrap();
        let old = history.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        old.or(history.front()).map(|(_, sample)| *sample).unwrap_or_default()
    }
}

/// Notes since when the upstream drains and its zone is out.
fn note_conditions(life: &mut Life, behaviour: &Behaviour, now: Instant) {
    life.draining_since = behaviour.draining.then(|| life.draining_since.unwrap_or(now));
    life.zone_out_since = behaviour.zone_out.then(|| life.zone_out_since.unwrap_or(now));
}

pub async fn sample_forever(state: Arc<State>) {
    loop {
        let sample = state.sample();
        {
            let mut history = state.history.lock().unwrap();
            history.push_back((Instant::now(), sample));
            if history.len() as u64 > HISTORY_MS / SAMPLE_MS {
                history.pop_front();
            }
        }
        task::sleep(Duration::from_millis(SAMPLE_MS)).await;
    }
}
