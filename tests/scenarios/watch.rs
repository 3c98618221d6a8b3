//! What the nodes and upstreams show over time.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use async_std::task;

use crate::run::Run;

/// Interval of looks; what happens between two of them may be missed.
const INTERVAL: Duration = Duration::from_millis(100);

/// Samples with the time at which each was asked for.
#[derive(Default)]
pub struct Samples {
    /// Node and its revision in force.
    pub revisions: Mutex<Vec<(Duration, usize, u64)>>,
    /// Upstream and the requests that it has run.
    pub runs: Mutex<Vec<(Duration, usize, u64)>>,
}

/// Takes samples until the run is over.
pub async fn watch(run: Arc<Run>) {
    let members = 0..run.fleet.members.len();
    let nodes = members.clone().map(|node| task::spawn(revisions(run.clone(), node)));
    let upstreams = members.map(|upstream| task::spawn(runs(run.clone(), upstream)));
    for task in nodes.chain(upstreams).collect::<Vec<_>>() {
        task.await;
    }
}

async fn revisions(run: Arc<Run>, node: usize) {
    while !run.over.load(Ordering::Relaxed) {
        let at = run.now();
        if let Some(revision) = run.fleet.members[node].revision().await {
            run.samples.revisions.lock().unwrap().push((at, node, revision));
        }
        task::sleep(INTERVAL).await;
    }
}

async fn runs(run: Arc<Run>, upstream: usize) {
    while !run.over.load(Ordering::Relaxed) {
        let at = run.now();
        if let Some(record) = run.fleet.members[upstream].record(true).await {
            run.samples.runs.lock().unwrap().push((at, upstream, record.run));
        }
        task::sleep(INTERVAL).await;
    }
}
