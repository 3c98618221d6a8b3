//! `bench capacity`: how the cost of the parts of a node grows with size, for `docs/CAPACITY.md`.

mod args;
mod table;

use std::time::Duration;

use oleandertiller_bench::capacity::sample::DocumentSize;
use oleandertiller_bench::capacity::{calls, document, ledger, nodes, store};
use oleandertiller_fleet::measure::loss::{LossCase, LossKind, run_loss_case};
use oleandertiller_fleet::measure::{spread, steady_state};

use super::{CommandResult, write_result};
pub use args::CapacityArgs;
use args::{AllArgs, LossArgs, Measurement};
use table::{Table, load_average};

/// Runs one measurement, or all, and prints the results.
///
/// # Errors
///
/// Returns an error when an argument is out of range, a process does not start or a file cannot be
/// written.
pub fn run(args: &CapacityArgs) -> CommandResult {
    println!("load average {}", load_average());
    match &args.measurement {
        Measurement::All(args) => run_all(args),
        Measurement::Members(args) => measure_members(
            &sizes_or_default(&args.records, &MEMBER_SIZES),
            args.seconds,
            args.seed,
        )
        .print(),
        Measurement::Spread(args) => {
            measure_spread(&sizes_or_default(&args.nodes, &SPREAD_SIZES), args.seed).print()
        }
        Measurement::Loss(args) => measure_loss(&[loss_case(args)?], args.seed).print(),
        Measurement::Document(_) => measure_document().print(),
        Measurement::Ledger(_) => measure_ledger().print(),
        Measurement::Calls(args) => measure_calls(args.seed).print(),
        Measurement::Store(args) => {
            let sizes = sizes_or_default(&args.nodes, &STORE_SIZES);
            measure_store(&sizes, args.down, args.starting, args.seed).print()
        }
        Measurement::Nodes(args) => {
            let sizes = sizes_or_default(&args.nodes, &NODE_SIZES);
            measure_nodes(&sizes, args.seconds, args.seed)?.print()
        }
    }
}

/// Default numbers of records; all default sizes are those of `docs/CAPACITY.md`. The largest comes
/// first, since memory freed after one size would hide the growth of memory at the next.
const MEMBER_SIZES: [usize; 4] = [17_000, 5_000, 1_000, 100];
/// Default numbers of nodes with an agent.
const SPREAD_SIZES: [usize; 4] = [100, 300, 1_000, 2_000];
/// Default numbers of nodes that call the store.
const STORE_SIZES: [usize; 3] = [1_000, 5_000, 17_000];
/// Default numbers of node processes.
const NODE_SIZES: [usize; 4] = [1, 20, 49, 74];

/// Maximum number of node processes; each has an upstream process as well.
const MAX_NODES: usize = 74;

/// Maximum number of nodes of a loss case; the member tables of 3,500 nodes take about 5 GB.
const MAX_LOSS_NODES: usize = 3_500;

fn sizes_or_default(given: &[usize], default: &[usize]) -> Vec<usize> {
    if given.is_empty() { default.to_vec() } else { given.to_vec() }
}

fn loss_case(args: &LossArgs) -> Result<LossCase, String> {
    if args.nodes > MAX_LOSS_NODES || args.lost >= args.nodes {
        return Err(format!("--nodes must be at most {MAX_LOSS_NODES}, and --lost less than it"));
    }
    let kind = if args.crash { LossKind::Crash } else { LossKind::Partition };
    let (lost_zones, outage_s) = (args.zones, args.outage);
    Ok(LossCase { lost_zones, outage_s, kind, ..LossCase::zone(args.nodes, args.lost) })
}

fn run_all(args: &AllArgs) -> CommandResult {
    let with_lost_zones = |lost_zones, case| LossCase { lost_zones, ..case };
    let mut cases = vec![
        LossCase::zone(400, 100),
        LossCase::zone(1_000, 59),
        with_lost_zones(2, LossCase::zone(1_000, 125)),
        with_lost_zones(0, LossCase::zone(1_000, 40)),
        LossCase { kind: LossKind::Crash, ..LossCase::zone(1_000, 59) },
        LossCase::zone(1_300, 1_000),
    ];
    if args.large {
        cases.push(LossCase::zone(3_000, 176));
        cases.push(with_lost_zones(2, LossCase::zone(3_000, 375)));
    }
    let seed = args.seed;
    let measurements: [&dyn Fn() -> Table; 7] = [
        &|| measure_members(&MEMBER_SIZES, 60, seed),
        &|| measure_spread(&SPREAD_SIZES, seed),
        &measure_document,
        &measure_ledger,
        &|| measure_calls(seed),
        &|| measure_store(&STORE_SIZES, 60, 1_000, seed),
        &|| measure_loss(&cases, seed),
    ];
    for measure in measurements {
        let table = measure();
        table.print()?;
        if let Some(dir) = &args.out {
            write_result(dir, &format!("capacity-{}", table.name()), &table)?;
        }
    }
    Ok(())
}

fn format_us(time: Duration) -> String {
    format!("{:.1} us", time.as_nanos() as f64 / 1e3)
}

fn format_ms(time: Duration) -> String {
    format!("{:.2} ms", time.as_nanos() as f64 / 1e6)
}

fn format_optional_s(time: Option<Duration>) -> String {
    time.map_or("not reached".into(), |time| format!("{:.1} s", time.as_secs_f64()))
}

fn measure_members(sizes: &[usize], seconds: u32, seed: u64) -> Table {
    let head = "records | full nodes | messages/s | bytes/s | state per node | tick | datagram | \
                core | snapshot";
    let mut table = Table::new("members", head, seed);
    for records in sizes {
        let steady = steady_state(*records, seconds, seed);
        table.add_row(&[
            steady.records.to_string(),
            steady.nodes.to_string(),
            format!("{:.2}", steady.messages_per_second),
            format!("{:.0}", steady.bytes_per_second),
            format!("{:.2} MB", steady.state_bytes as f64 / 1e6),
            format_us(steady.tick),
            format_us(steady.datagram),
            format!("{:.4}%", steady.core_share * 100.0),
            format!("{:.2} MB", steady.snapshot_bytes as f64 / 1e6),
        ]);
    }
    table
}

fn measure_spread(sizes: &[usize], seed: u64) -> Table {
    let head = "full nodes | intent at half | intent at all | record at all";
    let mut table = Table::new("spread", head, seed);
    for nodes in sizes {
        let spread = spread(*nodes, seed);
        let times = [spread.intent_half, spread.intent_all, spread.record_all];
        let times = times.map(|time| format!("{:.2} s", time.as_secs_f64()));
        table.add_row(&[&[nodes.to_string()], &times[..]].concat());
    }
    table
}

fn measure_loss(cases: &[LossCase], seed: u64) -> Table {
    let head = "nodes | lost | zones | kind | unselected | noticed | peak messages/s | \
                peak bytes/s | peak bytes/s returning | failed outside | failed in the lost part | \
                healed | processor time";
    let mut table = Table::new("loss", head, seed);
    for case in cases {
        let start = std::time::Instant::now();
        let loss = run_loss_case(case, seed);
        table.add_row(&[
            case.nodes.to_string(),
            case.lost.to_string(),
            case.lost_zones.to_string(),
            format!("{:?}", case.kind),
            format_optional_s(loss.unselected),
            format_optional_s(loss.detected),
            loss.peak_messages.to_string(),
            loss.peak_bytes.to_string(),
            loss.peak_bytes_returning.to_string(),
            loss.failures_outside.to_string(),
            loss.failures_lost.to_string(),
            format_optional_s(loss.healed),
            format!("{:.0} s", start.elapsed().as_secs_f64()),
        ]);
    }
    table
}

fn measure_document() -> Table {
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
        table.add_row(&[
            row.services.to_string(),
            row.kinds.to_string(),
            row.keepers.to_string(),
            row.json_bytes.to_string(),
            row.base_bytes.to_string(),
            row.encoded_bytes.to_string(),
            format_ms(row.base_write),
            format_ms(row.base_read),
            format_ms(row.encode),
            format_ms(row.decode),
            format_ms(row.apply_shared),
            format_us(row.apply_alone),
        ]);
    }
    for kinds in [1, 2, 3, 5] {
        let size = DocumentSize { services: 1_900, kinds, keepers: 0, rollouts: 190 };
        let first_over = document::keepers_over_limit(size, 17_000);
        let first_over =
            first_over.map_or("none up to 17,000".into(), |keepers| keepers.to_string());
        table.add_note(format!(
            "1,900 services of {kinds} kinds pass 1 MB with keepers: {first_over}"
        ));
    }
    for head in document::measure_heads() {
        table.add_note(format!(
            "head with 64 changes ({}): {} bytes of JSON, {} bytes for peers, read in {}",
            head.changes,
            head.json_bytes,
            head.encoded_bytes,
            format_us(head.read)
        ));
    }
    table
}

fn measure_ledger() -> Table {
    let head = "entries | keepers | bytes per entry | new key | repeat | handed to a new keeper | \
                handover | time of handover";
    let mut table = Table::new("ledger", head, 0);
    for (entries, keepers) in [(100_000, 9), (100_000, 3), (10_000, 9), (10_000, 100), (1_000, 9)] {
        let row = ledger::measure(entries, keepers);
        table.add_row(&[
            row.entries.to_string(),
            row.keepers.to_string(),
            row.bytes_per_entry.to_string(),
            format_us(row.claim),
            format_us(row.repeat),
            row.moved.to_string(),
            format!("{} bytes", row.handover_bytes),
            format_ms(row.handover),
        ]);
    }
    table
}

fn measure_calls(seed: u64) -> Table {
    let head = "services called | owners each | choice and end | new owners of one | state";
    let mut table = Table::new("calls", head, seed);
    for (services, owners) in
        [(100, 100), (100, 9), (12, 100), (12, 9), (1, 1_000), (1, 100), (1, 9)]
    {
        let row = calls::measure_selection(services, owners, seed);
        table.add_row(&[
            row.services.to_string(),
            row.owners.to_string(),
            format_us(row.pick),
            format_us(row.refresh),
            format!("{:.2} MB", row.state_bytes as f64 / 1e6),
        ]);
    }
    let bytes = calls::measure_call_bytes();
    table.add_note(format!(
        "bytes: load report {}, call head {}, with a key {}, reply head {}",
        bytes.load_report, bytes.call_head, bytes.keyed_call_head, bytes.reply_head
    ));
    table
}

fn measure_store(sizes: &[usize], outage_s: u64, starting_nodes: usize, seed: u64) -> Table {
    let head = "nodes | event | reads/s before | writes/s before | peak calls/s while down | \
                peak reads/s after | peak writes/s after | entries held after";
    let mut table = Table::new("store", head, seed);
    for nodes in sizes {
        let undisturbed = store::StoreCase {
            nodes: *nodes,
            zones: 17,
            run_s: 600,
            outage_at_s: None,
            outage_s: 0,
            holders_lost_at_s: None,
            starting_nodes: 0,
        };
        let holders_lost = store::StoreCase { holders_lost_at_s: Some(240), ..undisturbed };
        let outage = store::StoreCase { outage_at_s: Some(240), outage_s, ..undisturbed };
        let outage_and_starts = store::StoreCase { starting_nodes, ..outage };
        let cases = [
            ("holders of a zone lost", holders_lost),
            ("store down", outage),
            ("and starts", outage_and_starts),
        ];
        for (event, case) in cases {
            let row = store::run(&case, seed);
            table.add_row(&[
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
    table.add_note(format!("down for {outage_s} s; {starting_nodes} nodes start"));
    table
}

fn measure_nodes(
    sizes: &[usize],
    idle_s: u64,
    seed: u64,
) -> Result<Table, Box<dyn std::error::Error>> {
    if sizes.iter().any(|nodes| *nodes > MAX_NODES) || idle_s > nodes::MAX_IDLE_S {
        return Err(format!(
            "--nodes must be at most {MAX_NODES}, and --seconds at most {}",
            nodes::MAX_IDLE_S
        )
        .into());
    }
    let head = "node processes | memory, largest | memory, mean | core of one node";
    let mut table = Table::new("nodes", head, seed);
    for nodes in sizes {
        let row = nodes::measure(*nodes, Duration::from_secs(idle_s), seed)?;
        table.add_row(&[
            row.nodes.to_string(),
            format!("{:.1} MB", row.memory_max as f64 / 1e6),
            format!("{:.1} MB", row.memory_mean as f64 / 1e6),
            format!("{:.2}%", row.core_share * 100.0),
        ]);
    }
    Ok(table)
}
