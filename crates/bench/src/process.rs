//! Child processes, and the CPU time and memory that they use.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// Clock ticks per second in `/proc/<pid>/stat`; Linux reports 100 to user space on all common
/// platforms.
const TICKS_PER_S: f64 = 100.0;

/// Environment variable that sets the number of executor threads of programs that have no setting
/// for it.
const THREADS_VAR: &str = "ASYNC_STD_THREAD_COUNT";

/// A child process that is killed on drop.
pub struct Process {
    child: Child,
    /// Name in results and error messages.
    pub name: String,
}

impl Process {
    /// Starts a program whose settings give the number of its executor threads.
    ///
    /// # Errors
    ///
    /// Returns an error with the path of the program when it cannot be started.
    pub fn start(name: &str, program: &Path, args: &[String]) -> io::Result<Self> {
        Self::spawn(name, program, args, None, Stdio::null())
    }

    /// Starts a stand-in with the given number of executor threads, waits for its line
    /// `ready <addresses>` and returns these addresses.
    ///
    /// # Errors
    ///
    /// Returns an error when the program cannot be started or its first line is not a `ready` line
    /// with an address.
    pub fn start_standin(
        name: &str,
        program: &Path,
        args: &[String],
        threads: usize,
    ) -> io::Result<(Self, Vec<SocketAddr>)> {
        let mut process = Self::spawn(name, program, args, Some(threads), Stdio::piped())?;
        let mut line = String::new();
        if let Some(stdout) = process.child.stdout.take() {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        let mut words = line.split_whitespace();
        let ready = words.next() == Some("ready");
        let addrs: Vec<_> = words.filter_map(|word| word.parse().ok()).collect();
        if !ready || addrs.is_empty() {
            return Err(io::Error::other(format!(
                "{name} did not print its ready line but {line:?}"
            )));
        }
        Ok((process, addrs))
    }

    fn spawn(
        name: &str,
        program: &Path,
        args: &[String],
        threads: Option<usize>,
        stdout: Stdio,
    ) -> io::Result<Self> {
        let mut command = Command::new(program);
        command.args(args).env_remove(THREADS_VAR);
        if let Some(threads) = threads {
            command.env(THREADS_VAR, threads.to_string());
        }
        let child = command.stdin(Stdio::null()).stdout(stdout).spawn();
        let child = child
            .map_err(|e| io::Error::new(e.kind(), format!("cannot start {program:?}: {e}")))?;
        Ok(Self { child, name: name.to_owned() })
    }

    /// Returns the operating system's process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process has exited.
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the user and system CPU time of a process since its start, if it can be read.
pub fn cpu_time(pid: u32) -> Option<Duration> {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The name of the program may contain spaces; it ends at the last parenthesis.
    let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks: f64 = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(Duration::from_secs_f64(ticks / TICKS_PER_S))
}

/// Returns the load average of the machine over the last minute; while it is above the number of
/// cores, measured latencies include the wait for a core.
pub fn load_average() -> Option<f64> {
    fs::read_to_string("/proc/loadavg").ok()?.split(' ').next()?.parse().ok()
}

/// Returns the resident memory of a process in bytes, if it can be read.
pub fn resident_bytes(pid: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1_024)
}

/// Returns the path of a program of this workspace, which is built into the directory of the
/// running one.
///
/// # Errors
///
/// Returns an error that says how to build the program when it does not exist.
pub fn program_path(program: &str) -> io::Result<PathBuf> {
    let running = std::env::current_exe()?;
    let mut dir = running.parent().unwrap_or(Path::new(".")).to_owned();
    // Tests run in `deps`, one level below the programs.
    if dir.file_name().is_some_and(|name| name == "deps") {
        dir.pop();
    }
    let path = dir.join(program);
    if path.is_file() {
        return Ok(path);
    }
    let message = format!(
        "{program} is not in the directory of bench; build it with `cargo build --workspace`"
    );
    Err(io::Error::new(io::ErrorKind::NotFound, message))
}

/// Returns loopback addresses whose ports are free for both TCP and UDP.
///
/// # Errors
///
/// Returns an error when no TCP port can be bound.
pub fn free_addrs(count: usize) -> io::Result<Vec<SocketAddr>> {
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    // All sockets stay bound until the last is found, so that no port is returned twice.
    let mut bound = Vec::new();
    while bound.len() < count {
        let listener = TcpListener::bind(any_port)?;
        let addr = listener.local_addr()?;
        if let Ok(udp) = UdpSocket::bind(addr) {
            bound.push((listener, udp, addr));
        }
    }
    Ok(bound.iter().map(|(_, _, addr)| *addr).collect())
}
