//! Runs the stand-in key-value store as a separate process.

use std::net::SocketAddr;

use argh::FromArgs;
use async_std::task;
use oleandertiller_standin::{Store, StoreOptions};

/// Key-value store for tests.
#[derive(FromArgs)]
struct Args {
    /// address to listen on
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    listen: SocketAddr,
    /// address of the admin port
    #[argh(option, default = "SocketAddr::from(([127, 0, 0, 1], 0))")]
    admin: SocketAddr,
    /// reads and watches allowed a second, 0 for any number
    #[argh(option, default = "0")]
    reads_per_s: u32,
    /// writes and lease calls allowed a second, 0 for any number
    #[argh(option, default = "0")]
    writes_per_s: u32,
}

fn main() -> std::io::Result<()> {
    let args: Args = argh::from_env();
    let options = StoreOptions {
        listen: args.listen,
        admin: args.admin,
        reads_per_s: args.reads_per_s,
        writes_per_s: args.writes_per_s,
    };
    task::block_on(async {
        let store = Store::start(options).await?;
        println!("ready {} {}", store.addr(), store.admin_addr());
        std::future::pending().await
    })
}
