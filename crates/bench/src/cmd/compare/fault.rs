//! Scripted faults.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use oleandertiller_bench::fleet::{Fleet, ask, set_behaviour};
use oleandertiller_bench::workload::Deployment;
use serde_json::{Value, json};

/// Factor by which the slow server is slower.
const SLOW_FACTOR: f64 = 10.0;

/// Fault of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One server is slow.
    Slow,
    /// One server fails at once.
    Failing,
    /// One server turns cold without warning.
    Cold,
    /// One zone goes out of service and comes back.
    Zone,
    /// None.
    None,
}

impl std::str::FromStr for Fault {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "slow" => Ok(Self::Slow),
            "failing" => Ok(Self::Failing),
            "cold" => Ok(Self::Cold),
            "zone" => Ok(Self::Zone),
            "none" => Ok(Self::None),
            _ => Err(format!("`{text}`: expected slow, failing, cold, zone or none")),
        }
    }
}

/// What happens in a run, at addresses, so that it can run beside the load.
pub struct Script {
    fault: Fault,
    /// Factor on service times without a fault.
    scale: f64,
    /// The server with the fault.
    victim: SocketAddr,
    zone: &'static str,
    zone_upstreams: Vec<SocketAddr>,
    operator: Option<SocketAddr>,
}

impl Script {
    pub fn new(fault: Fault, deployment: Deployment, fleet: &Fleet, scale: f64) -> Self {
        let zone = deployment.zones()[0];
        let service = deployment.services()[1].service;
        let in_zone = fleet.members.iter().filter(|member| member.plan.zone == zone);
        // The command is given at a node of another zone.
        let outside = fleet.members.iter().find(|member| member.plan.zone != zone);
        Self {
            fault,
            scale,
            victim: fleet.of_service(service)[0].addr,
            zone,
            zone_upstreams: in_zone.map(|member| member.addr).collect(),
            operator: outside.and_then(|member| member.node.as_ref()).map(|node| node.operator),
        }
    }

    /// Begins the fault after one third of the run and ends it after two thirds.
    pub fn run(&self, length: Duration) -> io::Result<()> {
        std::thread::sleep(length / 3);
        task::block_on(self.begin())?;
        std::thread::sleep(length / 3);
        task::block_on(self.end())
    }

    async fn begin(&self) -> io::Result<()> {
        match self.fault {
            Fault::Slow => self.change(json!({ "slow_factor": self.scale * SLOW_FACTOR })).await,
            Fault::Failing => self.change(json!({ "fail_fast": true })).await,
            Fault::Cold => self.change(json!({ "turn_cold": "silent" })).await,
            Fault::Zone => self.set_zone("out").await,
            Fault::None => Ok(()),
        }
    }

    async fn end(&self) -> io::Result<()> {
        match self.fault {
            Fault::Slow => self.change(json!({ "slow_factor": self.scale })).await,
            Fault::Failing => self.change(json!({ "fail_fast": false })).await,
            // The server warms up by itself.
            Fault::Cold | Fault::None => Ok(()),
            Fault::Zone => self.set_zone("in").await,
        }
    }

    async fn change(&self, fields: Value) -> io::Result<()> {
        set_behaviour(self.victim, &fields).await
    }

    /// Gives the command and tells the upstreams, whose records count while the zone is out. They
    /// are told of the return first, so that no work after it counts as late.
    async fn set_zone(&self, state: &str) -> io::Result<()> {
        let Some(operator) = self.operator else {
            return Err(io::Error::other("no node outside the zone"));
        };
        let out = state == "out";
        if !out {
            self.note_zone(false).await?;
        }
        ask(operator, &format!("zone {} {state}", self.zone)).await?;
        if out {
            self.note_zone(true).await?;
        }
        Ok(())
    }

    async fn note_zone(&self, out: bool) -> io::Result<()> {
        for upstream in &self.zone_upstreams {
            set_behaviour(*upstream, &json!({ "zone_out": out })).await?;
        }
        Ok(())
    }
}
