//! Memory and CPU time of idle node processes on loopback.

use std::io;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::fleet::{Fleet, FleetPlan};
use crate::process::{cpu_time, resident_bytes};
use crate::workload::Deployment;

/// Maximum idle time of a measurement, in seconds.
pub const MAX_IDLE_S: u64 = 30;

/// Resources used by a fleet of idle nodes.
#[derive(Clone, Debug)]
#[derive(Serialize)]
pub struct NodesRow {
    /// Number of node processes; each has a stand-in upstream that announces itself.
    pub nodes: usize,
    /// Largest resident memory of a node, in bytes.
    pub memory_max: u64,
    /// Mean resident memory of a node, in bytes.
    pub memory_mean: u64,
    /// Mean share of a core that an idle node takes; 1 is a whole core.
    pub core_share: f64,
}

/// Starts a fleet of nodes of one service and measures them without load for the time `idle`.
///
/// # Errors
///
/// Returns an error when the fleet does not start, as in [`Fleet::start`].
pub fn measure(nodes: usize, idle: Duration, seed: u64) -> io::Result<NodesRow> {
    let mut plan =
        FleetPlan::for_deployment(Deployment::Trunkworks, 1.0, Some("expected-wait".into()), seed);
    let member = plan.members[0].clone();
    plan.members = (0..nodes)
        .map(|number| {
            let mut member = member.clone();
            member.name = format!("idle-{number:03}");
            member
        })
        .collect();
    let fleet = Fleet::start(&plan)?;
    let pids: Vec<u32> =
        fleet.members.iter().filter_map(|m| m.node.as_ref()).map(|n| n.process.pid()).collect();
    let before: Vec<_> = pids.iter().map(|pid| cpu_time(*pid).unwrap_or_default()).collect();
    let start = Instant::now();
    std::thread::sleep(idle);
    let elapsed = start.elapsed().as_secs_f64();
    let after = pids.iter().map(|pid| cpu_time(*pid).unwrap_or_default());
    let used: Duration = after.zip(&before).map(|(after, before)| after - *before).sum();
    let memory: Vec<u64> = pids.iter().filter_map(|pid| resident_bytes(*pid)).collect();
    let count = memory.len().max(1) as u64;
    Ok(NodesRow {
        nodes,
        memory_max: memory.iter().copied().max().unwrap_or(0),
        memory_mean: memory.iter().sum::<u64>() / count,
        core_share: used.as_secs_f64() / elapsed / count as f64,
    })
}
