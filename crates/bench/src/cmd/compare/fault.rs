//! Faults that are caused at set times of a run.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use async_std::task;
use oleandertiller_bench::fleet::{Fleet, ask, set_behaviour};
use oleandertiller_bench::workload::Deployment;
use serde_json::{Value, json};

/// Factor on the service times of the slow upstream.
const SLOW_FACTOR: f64 = 10.0;

/// Fault caused in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// One upstream is slow.
    Slow,
    /// One upstream fails every request at once.
    Failing,
    /// One upstream turns cold without announcing it.
    Cold,
    /// One zone is taken out of service and put back.
    Zone,
    /// No fault.
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
            _ => Err(format!("unknown fault `{text}`: expected slow, failing, cold, zone or none")),
        }
    }
}

/// Causes the fault of a run. It holds only addresses, so that it can run in a thread of its own
/// during the load.
pub struct FaultScript {
    fault: Fault,
    /// Factor on service times without the fault.
    scale: f64,
    /// Upstream that becomes slow, failing or cold.
    faulty_upstream: SocketAddr,
    /// Zone that is taken out of service.
    zone: &'static str,
    zone_upstreams: Vec<SocketAddr>,
    /// Operator port of a node in another zone.
    operator_addr: Option<SocketAddr>,
}

impl FaultScript {
    pub fn new(fault: Fault, deployment: Deployment, fleet: &Fleet, scale: f64) -> Self {
        let zone = deployment.zones()[0];
        let service = deployment.services()[1].service;
        let in_zone = fleet.members.iter().filter(|member| member.plan.zone == zone);
        let outside = fleet.members.iter().find(|member| member.plan.zone != zone);
        Self {
            fault,
            scale,
            faulty_upstream: fleet.of_service(service)[0].upstream_addr,
            zone,
            zone_upstreams: in_zone.map(|member| member.upstream_addr).collect(),
            operator_addr: outside
                .and_then(|member| member.node.as_ref())
                .map(|node| node.operator_addr),
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
            Fault::Slow => {
                self.change_upstream(json!({ "slow_factor": self.scale * SLOW_FACTOR })).await
            }
            Fault::Failing => self.change_upstream(json!({ "fail_fast": true })).await,
            Fault::Cold => self.change_upstream(json!({ "turn_cold": "silent" })).await,
            Fault::Zone => self.set_zone("out").await,
            Fault::None => Ok(()),
        }
    }

    async fn end(&self) -> io::Result<()> {
        match self.fault {
            Fault::Slow => self.change_upstream(json!({ "slow_factor": self.scale })).await,
            Fault::Failing => self.change_upstream(json!({ "fail_fast": false })).await,
            // A cold upstream warms up by itself.
            Fault::Cold | Fault::None => Ok(()),
            Fault::Zone => self.set_zone("in").await,
        }
    }

    async fn change_upstream(&self, fields: Value) -> io::Result<()> {
        set_behaviour(self.faulty_upstream, &fields).await
    }

    /// Takes the zone out of service or puts it back, and tells its upstreams, which record the
    /// requests that they run while it is out. On the return the upstreams are told first, so that
    /// no request after it is recorded.
    async fn set_zone(&self, state: &str) -> io::Result<()> {
        let Some(operator) = self.operator_addr else {
            return Err(io::Error::other("no node outside the zone"));
        };
        let is_out = state == "out";
        if !is_out {
            self.tell_upstreams(false).await?;
        }
        ask(operator, &format!("zone {} {state}", self.zone)).await?;
        if is_out {
            self.tell_upstreams(true).await?;
        }
        Ok(())
    }

    async fn tell_upstreams(&self, is_out: bool) -> io::Result<()> {
        for upstream in &self.zone_upstreams {
            set_behaviour(*upstream, &json!({ "zone_out": is_out })).await?;
        }
        Ok(())
    }
}
