//! Runs the fault-injecting proxy as a separate process.

use std::io;
use std::net::SocketAddr;

use argh::FromArgs;
use async_std::task;
use oleandertiller_standin::{Proxy, ProxyFaults, ProxyOptions};

/// Fault-injecting TCP proxy and UDP relay for tests.
#[derive(FromArgs)]
struct Args {
    /// where TCP connections are forwarded to
    #[argh(option)]
    target: SocketAddr,
    /// where datagrams are forwarded to
    #[argh(option)]
    udp_target: Option<SocketAddr>,
    /// address of the TCP proxy
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// address of the UDP relay
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    udp_listen: SocketAddr,
    /// address of the admin port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    admin: SocketAddr,
    /// seed of jitter and drops
    #[argh(option, default = "1")]
    seed: u64,
    /// fixed delay of each direction in milliseconds
    #[argh(option, default = "0.0")]
    delay_ms: f64,
    /// largest random delay added
    #[argh(option, default = "0.0")]
    jitter_ms: f64,
}

impl Args {
    fn into_options(self) -> ProxyOptions {
        let (delay_ms, jitter_ms) = (self.delay_ms, self.jitter_ms);
        ProxyOptions {
            listen: self.listen,
            target: self.target,
            udp_listen: self.udp_listen,
            udp_target: self.udp_target,
            admin: self.admin,
            seed: self.seed,
            faults: ProxyFaults { delay_ms, jitter_ms, ..ProxyFaults::default() },
        }
    }
}

fn main() -> io::Result<()> {
    let options = argh::from_env::<Args>().into_options();
    task::block_on(async {
        let proxy = Proxy::start(options).await?;
        match proxy.udp_addr() {
            Some(udp) => println!("ready {} {} {udp}", proxy.addr(), proxy.admin_addr()),
            None => println!("ready {} {}", proxy.addr(), proxy.admin_addr()),
        }
        std::future::pending().await
    })
}
