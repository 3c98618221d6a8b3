//! Error budget burned by the client requests that enter through this node.

use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use oleandertiller_burn::{KindReport, NodeReport, Recorder, recorder::REPORT_WINDOWS};
use oleandertiller_model::{Intent, NodeName, Outcome};

type RecorderMap = BTreeMap<(Arc<str>, Arc<str>), KindBurnRecorder>;

/// Burn recorder of one request kind; clones share it.
#[derive(Clone)]
pub struct KindBurnRecorder(Arc<Mutex<Recorder>>);

impl KindBurnRecorder {
    /// Counts a request that ended at `now`.
    pub fn record(&self, outcome: Outcome, status: u16, now: Instant) {
        self.lock().record(outcome, status, now);
    }

    fn lock(&self) -> MutexGuard<'_, Recorder> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Burn recorders of all kinds that were called; clones share them.
#[derive(Clone)]
pub struct BurnRecorders {
    start: Instant,
    kinds: Arc<Mutex<RecorderMap>>,
}

impl BurnRecorders {
    /// Creates an empty set of recorders; `start` is the node's start.
    pub fn new(start: Instant) -> Self {
        Self { start, kinds: Arc::default() }
    }

    /// Returns the recorder of a kind. Routes keep it, which saves the lookup.
    pub fn kind(&self, service: &str, kind: &str) -> KindBurnRecorder {
        let recorder = || KindBurnRecorder(Arc::new(Mutex::new(Recorder::new(self.start))));
        self.lock().entry((service.into(), kind.into())).or_insert_with(recorder).clone()
    }

    /// Returns the burn of the kinds that were called and that `intent` still has.
    pub fn report(&self, node: NodeName, intent: &Intent, now: Instant) -> NodeReport {
        let since = now.saturating_duration_since(self.start);
        let mut report =
            NodeReport { node, since_seconds: since.as_secs(), services: BTreeMap::new() };
        for ((service, kind), burn) in &*self.lock() {
            let spec = intent.services.get(&**service).and_then(|spec| spec.kind(kind));
            let Some(spec) = spec else { continue };
            let recorder = burn.lock();
            let windows =
                REPORT_WINDOWS.iter().map(|window| recorder.window(*window, now)).collect();
            let series = recorder.series(now);
            let kind_report = KindReport { objective_ppm: spec.objective_ppm, windows, series };
            let kinds = report.services.entry(service.as_ref().into()).or_default();
            kinds.insert(spec.name.clone(), kind_report);
        }
        report
    }

    fn lock(&self) -> MutexGuard<'_, RecorderMap> {
        self.kinds.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
