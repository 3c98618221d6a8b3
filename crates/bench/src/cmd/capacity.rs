//! `bench capacity`: the slopes behind `docs/CAPACITY.md`.

mod args;
mod table;

use std::time::Duration;

use oleandertiller_bench::capacity::sample::DocumentSize;
use oleandertiller_bench::capacity::{calls, document, ledger, nodes, store};
use oleandertiller_fleet::measure::loss::{LossCase, LossKind, run_loss_case};
use oleandertiller_fleet::measure::{spread, steady_state};

use super::{CommandResult, write_result};
pub use args::Capacity;
use args::{All, LossArgs, Part};
use table::{Table, mean_load};

/// Runs the subcommand.
///
/// # Errors
///
/// Returns an error for arguments out of range, or when processes or files fail.
pub fn run(args: &Capacity) -> CommandResult {
    println!("load average {}", mean_load());
    match &args.part {
        Part::All(args) => all(args),
        Part::Members(args) => {
            members(&or(&args.records, &MEMBER_SIZES), args.seconds, args.seed).print()
        }
        Part::Spread(args) => spreads(&or(&args.nodes, &SPREAD_SIZES), args.seed).print(),
        Part::Loss(args) => losses(&[loss_case(args)?], args.seed).print(),
        Part::Document(_) => documents().print(),
        Part::Ledger(_) => ledgers().print(),
        Part::Calls(args) => selections(args.seed).print(),
        Part::Store(args) => {
            let sizes = or(&args.nodes, &STORE_SIZES);
            stores(&sizes, args.down, args.starting, args.seed).print()
        }
        Part::Nodes(args) => {
            let sizes = or(&args.nodes, &NODE_SIZES);
            processes(&sizes, args.seconds, args.seed)?.print()
        }
    }
}

/// Sizes of the page. The largest comes first, since memory freed by one size would hide the
/// state of the next.
const MEMBER_SIZES: [usize; 4] = [17_000, 5_000, 1_000, 100];
const SPREAD_SIZES: [usize; 4] = [100, 300, 1_000, 2_000];
const STORE_SIZES: [usize; 3] = [1_000, 5_000, 17_000];
const NODE_SIZES: [usize; 4] = [1, 20, 49, 74];

/// Most processes of a run, two for each node.
const NODES_MAX: usize = 74;

/// Most full nodes in one process; the tables of 3,500 nodes take about 5 GB.
const LOSS_NODES_MAX: usize = 3_500;

fn or(given: &[usize], default: &[usize]) -> Vec<usize> {
    if given.is_empty() { default.to_vec() } else { given.to_vec() }
}

fn loss_case(args: &LossArgs) -> Result<LossCase, String> {
    if args.nodes > LOSS_NODES_MAX || args.lost >= args.nodes {
        return Err(format!("at most {LOSS_NODES_MAX} nodes, of which some stay"));
    }
    let kind = if args.crash { LossKind::Crash } else { LossKind::Partition };
    let (lost_zones, outage_s) = (args.zones, args.outage);
    Ok(LossCase { lost_zones, outage_s, kind, ..LossCase::zone(args.nodes, args.lost) })
}

fn all(args: &All) -> CommandResult {
    let part = |lost_zones, case| LossCase { lost_zones, ..case };
    let mut cases = vec![
        LossCase::zone(400, 100),
        LossCase::zone(1_000, 59),
        part(2, LossCase::zone(1_000, 125)),
        part(0, LossCase::zone(1_000, 40)),
        LossCase { kind: LossKind::Crash, ..LossCase::zone(1_000, 59) },
        LossCase::zone(1_300, 1_000),
    ];
    if args.large {
        cases.push(LossCase::zone(3_000, 176));
        cases.push(part(2, LossCase::zone(3_000, 375)));
    }
    let seed = args.seed;
    let parts: [&dyn Fn() -> Table; 7] = [
        &|| members(&MEMBER_SIZES, 60, seed),
        &|| spreads(&SPREAD_SIZES, seed),
        &documents,
        &ledgers,
        &|| selections(seed),
        &|| stores(&STORE_SIZES, 60, 1_000, seed),
        &|| losses(&cases, seed),
    ];
    for part in parts {
        let table = part();
        table.print()?;
        if let Some(dir) = &args.out {
            write_result(dir, &format!("capacity-{}", table.name()), &table)?;
        }
    }
    Ok(())
}

fn micros(time: Duration) -> String {
    format!("{:.1} us", time.as_nanos() as f64 / 1e3)
}

fn millis(time: Duration) -> String {
    format!("{:.2} ms", time.as_nanos() as f64 / 1e6)
}

fn seconds(time: Option<Duration>) -> String {
    time.map_or("not reached".into(), |time| format!("{:.1} s", time.as_secs_f64()))
}

fn members(sizes: &[usize], seconds: u32, seed: u64) -> Table {
    let head = "records | full nodes | messages/s | bytes/s | state per node | tick | datagram | \
                core | snapshot";
    let mut table = Table::new("members", head, seed);
    for records in sizes {
        let slope = steady_state(*records, seconds, seed);
        table.row(&[
            slope.records.to_string(),
            slope.nodes.to_string(),
            format!("{:.2}", slope.messages_per_second),
            format!("{:.0}", slope.bytes_per_second),
            format!("{:.2} MB", slope.state_bytes as f64 / 1e6),
            micros(slope.tick),
            micros(slope.datagram),
            format!("{:.4}%", slope.core_share * 100.0),
            format!("{:.2} MB", slope.snapshot_bytes as f64 / 1e6),
        ]);
    }
    table
}

fn spreads(sizes: &[usize], seed: u64) -> Table {
    let head = "full nodes | intent at half | intent at all | record at all";
    let mut table = Table::new("spread", head, seed);
    for nodes in sizes {
        let spread = spread(*nodes, seed);
        let times = [spread.intent_half, spread.intent_all, spread.record_all];
        let times = times.map(|time| format!("{:.2} s", time.as_secs_f64()));
        table.row(&[&[nodes.to_string()], &times[..]].concat());
    }
    table
}

fn losses(cases: &[LossCase], seed: u64) -> Table {
    let head = "nodes | lost | zones | kind | unselected | noticed | peak messages/s | \
                peak bytes/s | peak bytes/s returning | failed outside | failed in the lost part | \
                healed | processor time";
    let mut table = Table::new("loss", head, seed);
    for case in cases {
        let start = std::time::Instant::now();
        let loss = run_loss_case(case, seed);
        table.row(&[
            case.nodes.to_string(),
            case.lost.to_string(),
            case.lost_zones.to_string(),
            format!("{:?}", case.kind),
            seconds(loss.unselected),
            seconds(loss.detected),
            loss.peak_messages.to_string(),
            loss.peak_bytes.to_string(),
            loss.peak_bytes_returning.to_string(),
            loss.failures_outside.to_string(),
            loss.failures_lost.to_string(),
            seconds(loss.healed),
            format!("{:.0} s", start.elapsed().as_secs_f64()),
        ]);
    }
    table
}

fn documents() -> Table {
    let head = "services | kinds | keepers | as JSON | base in store | for peers | write base | \
                read base | encode | decode | change, shared | change, alone";
    let mut table = Table::new("document", head, 0);
    let sizes = [(100, 3), (500, 3), (1_900, 1), (1_900, 3), (1_900, 5), (1_900, 10)];
    let keepers = [0, 1_900, 5_700, 17_000];
    let sizes = sizes.iter().map(|(services, kinds)| (*services, *kinds, 0));
    let keepers = keepers.iter().skip(1).map(|keepers| (1_900, 3, *keepers));
    for (services, kinds, keepers) in sizes.chain(keepers) {
        let rollouts = services / 10;
        let row = document::measure(DocumentSize { services, kinds, keepers, rollouts });
        table.row(&[
            row.services.to_string(),
            row.kinds.to_string(),
            row.keepers.to_string(),
            row.json_bytes.to_string(),
            row.base_bytes.to_string(),
            row.encoded_bytes.to_string(),
            millis(row.base_write),
            millis(row.base_read),
            millis(row.encode),
            millis(row.decode),
            millis(row.apply_shared),
            micros(row.apply_alone),
        ]);
    }
    for kinds in [1, 2, 3, 5] {
        let size = DocumentSize { services: 1_900, kinds, keepers: 0, rollouts: 190 };
        let over = document::keepers_over_limit(size, 17_000);
        let over = over.map_or("none up to 17,000".into(), |keepers| keepers.to_string());
        table.note(format!("1,900 services of {kinds} kinds pass 1 MB with keepers: {over}"));
    }
    for head in document::heads() {
        table.note(format!(
            "head with 64 changes ({}): {} bytes of JSON, {} bytes for peers, read in {}",
            head.changes,
            head.json_bytes,
            head.encoded_bytes,
            micros(head.read)
        ));
    }
    table
}

fn ledgers() -> Table {
    let head = "entries | keepers | bytes per entry | new key | repeat | handed to a new keeper | \
                handover | time of handover";
    let mut table = Table::new("ledger", head, 0);
    for (entries, keepers) in [(100_000, 9), (100_000, 3), (10_000, 9), (10_000, 100), (1_000, 9)] {
        let row = ledger::measure(entries, keepers);
        table.row(&[
            row.entries.to_string(),
            row.keepers.to_string(),
            row.bytes_per_entry.to_string(),
            micros(row.claim),
            micros(row.repeat),
            row.moved.to_string(),
            format!("{} bytes", row.handover_bytes),
            millis(row.handover),
        ]);
    }
    table
}

fn selections(seed: u64) -> Table {
    let head = "services called | owners each | choice and end | new owners of one | state";
    let mut table = Table::new("calls", head, seed);
    for (services, owners) in
        [(100, 100), (100, 9), (12, 100), (12, 9), (1, 1_000), (1, 100), (1, 9)]
    {
        let row = calls::selection(services, owners, seed);
        table.row(&[
            row.services.to_string(),
            row.owners.to_string(),
            micros(row.pick),
            micros(row.refresh),
            format!("{:.2} MB", row.state_bytes as f64 / 1e6),
        ]);
    }
    let bytes = calls::call_bytes();
    table.note(format!(
        "bytes: load report {}, call head {}, with a key {}, reply head {}",
        bytes.load_report, bytes.call_head, bytes.keyed_call_head, bytes.reply_head
    ));
    table
}

fn stores(sizes: &[usize], down_s: u64, starting: usize, seed: u64) -> Table {
    let head = "nodes | event | reads/s before | writes/s before | peak calls/s while down | \
                peak reads/s after | peak writes/s after | entries held after";
    let mut table = Table::new("store", head, seed);
    for nodes in sizes {
        let base = store::StoreCase {
            nodes: *nodes,
            zones: 17,
            seconds: 600,
            down_at: None,
            down_s: 0,
            holders_lost_at: None,
            starting: 0,
        };
        let lost = store::StoreCase { holders_lost_at: Some(240), ..base };
        let down = store::StoreCase { down_at: Some(240), down_s, ..base };
        let herd = store::StoreCase { starting, ..down };
        let cases = [("holders of a zone lost", lost), ("store down", down), ("and starts", herd)];
        for (event, case) in cases {
            let row = store::run(&case, seed);
            table.row(&[
                row.nodes.to_string(),
                event.into(),
                format!("{:.1}", row.steady_reads),
                format!("{:.1}", row.steady_writes),
                row.peak_down.to_string(),
                row.peak_reads.to_string(),
                row.peak_writes.to_string(),
                row.entries_held_s.map_or("not reached".into(), |s| format!("{s} s")),
            ]);
        }
    }
    table.note(format!("down for {down_s} s; {starting} nodes start"));
    table
}

fn processes(sizes: &[usize], idle_s: u64, seed: u64) -> Result<Table, Box<dyn std::error::Error>> {
    if sizes.iter().any(|nodes| *nodes > NODES_MAX) || idle_s > nodes::IDLE_MAX_S {
        return Err(format!("at most {NODES_MAX} nodes and {} s", nodes::IDLE_MAX_S).into());
    }
    let head = "node processes | memory, largest | memory, mean | core of one node";
    let mut table = Table::new("nodes", head, seed);
    for nodes in sizes {
        let row = nodes::measure(*nodes, Duration::from_secs(idle_s), seed)?;
        table.row(&[
            row.nodes.to_string(),
            format!("{:.1} MB", row.memory_max as f64 / 1e6),
            format!("{:.1} MB", row.memory_mean as f64 / 1e6),
            format!("{:.2}%", row.core_share * 100.0),
        ]);
    }
    Ok(table)
}
