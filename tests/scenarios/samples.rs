//! Samples of the state of nodes and upstreams, taken during a run.

use std::{
    sync::{Arc, Mutex, atomic::Ordering},
    time::Duration,
};

use async_std::task;

use crate::run::Run;

/// Pause between two samples; what happens in between may be missed.
const SAMPLING_INTERVAL: Duration = Duration::from_millis(100);

/// Samples of all nodes and upstreams: the time since the start of the load at which each was
/// requested, the index of the member, and the value.
#[derive(Default)]
pub struct Samples {
    /// Revision in force at a node.
    pub revisions: Mutex<Vec<(Duration, usize, u64)>>,
    /// Number of requests that an upstream has run.
    pub runs: Mutex<Vec<(Duration, usize, u64)>>,
}

/// Takes samples until the run has finished.
pub async fn sample(run: Arc<Run>) {
    let members = 0..run.fleet.members.len();
    let nodes = members.clone().map(|node| task::spawn(sample_revisions(run.clone(), node)));
    let upstreams = members.map(|upstream| task::spawn(sample_runs(run.clone(), upstream)));
    for task in nodes.chain(upstreams).collect::<Vec<_>>() {
        task.await;
    }
}

async fn sample_revisions(run: Arc<Run>, node: usize) {
    while !run.finished.load(Ordering::Relaxed) {
        let at = run.now();
        if let Some(revision) = run.fleet.members[node].revision().await {
            run.samples.revisions.lock().unwrap().push((at, node, revision));
        }
        task::sleep(SAMPLING_INTERVAL).await;
    }
}

async fn sample_runs(run: Arc<Run>, upstream: usize) {
    while !run.finished.load(Ordering::Relaxed) {
        let at = run.now();
        if let Some(record) = run.fleet.members[upstream].record(true).await {
            run.samples.runs.lock().unwrap().push((at, upstream, record.run));
        }
        task::sleep(SAMPLING_INTERVAL).await;
    }
}
