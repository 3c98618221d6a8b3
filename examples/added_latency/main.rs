//! Measures the latency that nodes add to calls, compared with direct calls to the upstream.
//!
//! The upstream and the nodes are separate processes. The calls of three variants are interleaved
//! in one run: `direct` (client → upstream), `one node` (client → owner → upstream) and `two nodes`
//! (client → ingress → owner → upstream).
//!
//! Usage: `added_latency [CALLS_PER_SECOND [SECONDS [THREADS [two]]]]`, where `THREADS` is the number
//! of executor threads of each node and `two` leaves out `one node`, which otherwise doubles the
//! load of the owner.

mod load;
mod roles;

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use load::{Variant, run};

/// A child process, which prints its addresses in its first line of output.
struct RoleProcess {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl RoleProcess {
    fn start(args: &[&str], threads: &str) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(args).env("ASYNC_STD_THREAD_COUNT", threads);
        let mut child = command.stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses = line.split_whitespace().filter_map(|text| text.parse().ok()).collect();
        Ok(Self { child, addresses })
    }

    /// Returns the CPU time used so far, in ticks of 10 ms.
    fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    /// Returns the time that its threads were runnable but waited for a CPU, in milliseconds.
    fn run_queue_wait_ms(&self) -> u64 {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        let tasks = tasks.into_iter().flatten().flatten();
        let waits = tasks.filter_map(|task| {
            let text = std::fs::read_to_string(task.path().join("schedstat")).ok()?;
            text.split_whitespace().nth(1)?.parse::<u64>().ok()
        });
        waits.sum::<u64>() / 1_000_000
    }

    /// Returns the resident memory, in kilobytes.
    fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
    }
}

impl Drop for RoleProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn main() -> io::Result<()> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("upstream") => roles::upstream(),
        Some("owner") => roles::owner(&args[1]),
        Some("ingress") => roles::ingress(&args[1]),
        _ => measure(&args),
    }
}

fn measure(args: &[String]) -> io::Result<()> {
    let rate: u32 = args.first().and_then(|text| text.parse().ok()).unwrap_or(1_000);
    let seconds: u64 = args.get(1).and_then(|text| text.parse().ok()).unwrap_or(10);
    let threads = args.get(2).map_or("1", String::as_str);
    let upstream = RoleProcess::start(&["upstream"], threads)?;
    let owner = RoleProcess::start(&["owner", &upstream.addresses[0].to_string()], threads)?;
    let ingress = RoleProcess::start(&["ingress", &owner.addresses[1].to_string()], threads)?;
    let mut variants = vec![
        Variant { name: "direct", address: upstream.addresses[0], path: "/temper" },
        Variant { name: "one node", address: owner.addresses[0], path: "/kettle/temper" },
        Variant { name: "two nodes", address: ingress.addresses[0], path: "/kettle/temper" },
    ];
    if args.get(3).is_some_and(|text| text == "two") {
        variants.remove(1);
    }
    run(&variants, rate, Duration::from_secs(2));
    let before = (ingress.cpu_ticks(), owner.cpu_ticks());
    let run_queue_wait_before = (ingress.run_queue_wait_ms(), owner.run_queue_wait_ms());
    let results = run(&variants, rate, Duration::from_secs(seconds));
    let after = (ingress.cpu_ticks(), owner.cpu_ticks());

    println!(
        "{rate} calls/s of each variant for {seconds} s, {threads} threads; latency in microseconds"
    );
    println!(
        "{:<10} {:>8} {:>8} {:>8} {:>8} {:>7}",
        "variant", "calls", "p50", "p99", "p99.9", "failed"
    );
    for (variant, result) in variants.iter().zip(&results) {
        let at = |quantile| result.times.value_at_quantile(quantile);
        let (calls, failed) = (result.times.len(), result.failed);
        let (p50, p99, p999) = (at(0.5), at(0.99), at(0.999));
        println!("{:<10} {calls:>8} {p50:>8} {p99:>8} {p999:>8} {failed:>7}", variant.name);
    }
    for (variant, result) in variants.iter().zip(&results).skip(1) {
        let added = |quantile| {
            let direct = results[0].times.value_at_quantile(quantile);
            result.times.value_at_quantile(quantile) as i64 - direct as i64
        };
        let (p50, p99, p999) = (added(0.5), added(0.99), added(0.999));
        println!("{:<10} {:>8} {p50:>+8} {p99:>+8} {p999:>+8}", variant.name, "added");
    }
    let cpu = |before: u64, after: u64, calls: u64| (after - before) * 10_000 / calls.max(1);
    let calls_through =
        |from: usize| results.iter().skip(from).map(|result| result.times.len()).sum();
    let ingress_cpu = cpu(before.0, after.0, calls_through(variants.len() - 1));
    let owner_cpu = cpu(before.1, after.1, calls_through(1));
    println!("processor time per call: ingress {ingress_cpu} us, owner {owner_cpu} us");
    let ingress_ms = ingress.run_queue_wait_ms() - run_queue_wait_before.0;
    let owner_ms = owner.run_queue_wait_ms() - run_queue_wait_before.1;
    println!("runnable without a CPU: ingress {ingress_ms} ms, owner {owner_ms} ms");
    let (ingress_kb, owner_kb) = (ingress.resident_kb(), owner.resident_kb());
    println!("resident memory: ingress {ingress_kb} KB, owner {owner_kb} KB");
    Ok(())
}
