//! Arguments of `bench capacity`.

use std::path::PathBuf;

use argh::FromArgs;

/// Measures the slopes behind `docs/CAPACITY.md`.
#[derive(FromArgs)]
#[argh(subcommand, name = "capacity")]
pub struct CapacityArgs {
    #[argh(subcommand)]
    pub measurement: Measurement,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Measurement {
    All(AllArgs),
    Members(MembersArgs),
    Spread(SpreadArgs),
    Loss(LossArgs),
    Document(DocumentArgs),
    Ledger(LedgerArgs),
    Calls(CallsArgs),
    Store(StoreArgs),
    Nodes(NodesArgs),
}

/// All parts with the sizes of the page, except node processes.
#[derive(FromArgs)]
#[argh(subcommand, name = "all")]
pub struct AllArgs {
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
    /// also the cases of 3,000 nodes, which take minutes and about 4 GB
    #[argh(switch)]
    pub large: bool,
    /// directory of result files; none are written without it
    #[argh(option)]
    pub out: Option<PathBuf>,
}

/// Membership in the steady state with the churn of the target.
#[derive(FromArgs)]
#[argh(subcommand, name = "members")]
pub struct MembersArgs {
    /// records of the fleet, repeatable
    #[argh(option)]
    pub records: Vec<usize>,
    /// measured seconds of virtual time
    #[argh(option, default = "60")]
    pub seconds: u32,
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// How a change of the intent and of a record reach all nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "spread")]
pub struct SpreadArgs {
    /// nodes, repeatable
    #[argh(option)]
    pub nodes: Vec<usize>,
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Loss and return of a part of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "loss")]
pub struct LossArgs {
    /// nodes
    #[argh(option)]
    pub nodes: usize,
    /// nodes that are lost
    #[argh(option)]
    pub lost: usize,
    /// zones that are lost as a whole; 0 spreads the lost nodes over all zones
    #[argh(option, default = "1")]
    pub zones: usize,
    /// end the processes and start new ones, in place of a cut network
    #[argh(switch)]
    pub crash: bool,
    /// seconds until the return
    #[argh(option, default = "30")]
    pub outage: u32,
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// The intent document at growing sizes.
#[derive(FromArgs)]
#[argh(subcommand, name = "document")]
pub struct DocumentArgs {}

/// The ledger of idempotency keys at growing sizes.
#[derive(FromArgs)]
#[argh(subcommand, name = "ledger")]
pub struct LedgerArgs {}

/// Selection, and bytes of a call between nodes.
#[derive(FromArgs)]
#[argh(subcommand, name = "calls")]
pub struct CallsArgs {
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Calls of the whole fleet to the store.
#[derive(FromArgs)]
#[argh(subcommand, name = "store")]
pub struct StoreArgs {
    /// nodes, repeatable
    #[argh(option)]
    pub nodes: Vec<usize>,
    /// seconds for which the store is down
    #[argh(option, default = "60")]
    pub down: u64,
    /// nodes that started meanwhile and read the intent when the store returns
    #[argh(option, default = "1000")]
    pub starting: usize,
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
}

/// Idle node processes on loopback.
#[derive(FromArgs)]
#[argh(subcommand, name = "nodes")]
pub struct NodesArgs {
    /// nodes, repeatable
    #[argh(option)]
    pub nodes: Vec<usize>,
    /// idle seconds
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// seed
    #[argh(option, default = "1")]
    pub seed: u64,
}
