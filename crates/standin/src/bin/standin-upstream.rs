//! Runs the stand-in upstream as a separate process.

use std::io;
use std::net::SocketAddr;

use argh::FromArgs;
use async_std::task;
use oleandertiller_standin::{Behaviour, Upstream, UpstreamOptions};

/// Upstream server for tests.
#[derive(FromArgs)]
struct Args {
    /// service name
    #[argh(option)]
    service: String,
    /// version
    #[argh(option, default = "String::from(\"v1\")")]
    version: String,
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// operator port of the node beside it
    #[argh(option)]
    announce_to: Option<SocketAddr>,
    /// client port of the node beside it, for calls to other services
    #[argh(option)]
    calls_through: Option<SocketAddr>,
    /// requests worked on at once
    #[argh(option, default = "6")]
    slots: u32,
    /// seed of service times and faults
    #[argh(option, default = "1")]
    seed: u64,
    /// start cold
    #[argh(switch)]
    cold: bool,
    /// keep no counts per request id
    #[argh(switch)]
    no_ids: bool,
    /// behaviour as JSON; fields left out keep their defaults
    #[argh(option)]
    behaviour: Option<String>,
}

impl Args {
    fn into_options(self) -> io::Result<UpstreamOptions> {
        let behaviour = Behaviour::for_service(&self.service);
        let behaviour = match &self.behaviour {
            Some(json) => behaviour.merged(serde_json::from_str(json)?)?,
            None => behaviour,
        };
        let defaults = UpstreamOptions::new(self.service);
        Ok(UpstreamOptions {
            version: self.version,
            listen: self.listen,
            announce_to: self.announce_to,
            calls_through: self.calls_through,
            slots: self.slots,
            seed: self.seed,
            warm: !self.cold,
            record_ids: !self.no_ids,
            behaviour,
            ..defaults
        })
    }
}

fn main() -> io::Result<()> {
    let options = argh::from_env::<Args>().into_options()?;
    task::block_on(async {
        let upstream = Upstream::start(options).await?;
        println!("ready {}", upstream.addr());
        std::future::pending().await
    })
}
