//! Measures the latency that nodes add to calls, against calls straight to the upstream.
//!
//! The upstream and the nodes are processes of their own. Three variants are called in turn in one
//! run: `direct` (client → upstream), `one node` (client → owner → upstream) and `two nodes`
//! (client → ingress → owner → upstream). Usage: `added_latency [CALLS_PER_SECOND [SECONDS]]`.

mod load;
mod roles;

use std::{
    io::{self, BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    time::Duration,
};

use load::{Variant, run};

/// A child process that printed its addresses in its first line.
struct Role {
    child: Child,
    addresses: Vec<SocketAddr>,
}

impl Role {
    fn start(args: &[&str]) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        let mut child = command.args(args).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let mut line = String::new();
        let stdout = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        BufReader::new(stdout).read_line(&mut line)?;
        let addresses = line.split_whitespace().filter_map(|text| text.parse().ok()).collect();
        Ok(Self { child, addresses })
    }

    /// Returns the processor time used so far, in ticks of 10 ms.
    fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let stat = stat.unwrap_or_default();
        let fields = stat.rsplit(')').next().unwrap_or_default().split_whitespace();
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<u64>().ok()).sum()
    }

    fn resident_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or_default()
    }
}

impl Drop for Role {
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
    let upstream = Role::start(&["upstream"])?;
    let owner = Role::start(&["owner", &upstream.addresses[0].to_string()])?;
    let ingress = Role::start(&["ingress", &owner.addresses[1].to_string()])?;
    let variants = [
        Variant { name: "direct", address: upstream.addresses[0], path: "/temper" },
        Variant { name: "one node", address: owner.addresses[0], path: "/kettle/temper" },
        Variant { name: "two nodes", address: ingress.addresses[0], path: "/kettle/temper" },
    ];
    run(&variants, rate, Duration::from_secs(2));
    let before = (ingress.cpu_ticks(), owner.cpu_ticks());
    let results = run(&variants, rate, Duration::from_secs(seconds));
    let after = (ingress.cpu_ticks(), owner.cpu_ticks());

    println!("{rate} calls/s of each variant for {seconds} s; latency in microseconds");
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
    let calls = results[2].times.len();
    let ingress_cpu = cpu(before.0, after.0, calls);
    let owner_cpu = cpu(before.1, after.1, calls + results[1].times.len());
    println!(
        "processor time per call: ingress {ingress_cpu} us, owner {owner_cpu} us (of two variants)"
    );
    let (ingress_kb, owner_kb) = (ingress.resident_kb(), owner.resident_kb());
    println!("resident memory: ingress {ingress_kb} KB, owner {owner_kb} KB");
    Ok(())
}
