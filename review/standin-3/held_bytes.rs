//! Many clients send large bodies and stop just short of their end; a process that holds too much is
//! killed, as the platform does.

use std::{
    ffi::{c_int, c_void},
    fs,
    io::{Read, Write},
    net::{Shutdown, SocketAddr, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    fleet::{Fleet, Node, Record, cannot_run},
    http::call,
    server::Behaviour,
};

/// Memory of a machine, in bytes.
const MEMORY: usize = 260_000_000;

/// Size of a body, a sixteenth of what the configuration allows.
const BODY_BYTES: usize = 4 << 20;

/// What a client leaves out of it.
const REST: usize = 1_000;

/// Clients at each of the machines that have a crowd.
const CLIENTS: usize = 1_500;

/// Machines that have a crowd; the rule asks for two at least.
const CROWDED: usize = 2;

/// Time for which the clients send.
const LENGTH: Duration = Duration::from_secs(40);

/// Delay of the start of a process after its end.
const RESTART: Duration = Duration::from_millis(500);

unsafe extern "C" {
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
}

/// Keeps the client's own buffer small, so that the crowd costs this machine little.
fn limit_send_buffer(stream: &TcpStream) {
    const SOL_SOCKET: c_int = 1;
    const SO_SNDBUF: c_int = 7;
    let bytes: c_int = 32 << 10;
    // SAFETY: the pointer leads to a local value of the size that is passed. A failure leaves the usual
    // buffer.
    unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_SNDBUF,
            (&raw const bytes).cast(),
            size_of::<c_int>() as u32,
        );
    }
}

/// Returns the bytes that the kernel has received for a port and that were not read.
fn unread_bytes(port: u16) -> usize {
    let table = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
    let local = format!(":{port:04X}");
    let rows = table.lines().skip(1).filter_map(|line| {
        let mut fields = line.split_whitespace().skip(1);
        let (address, _, state, queues) =
            (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let established = address.ends_with(&local) && state != "0A";
        let unread = queues.split_once(':')?.1;
        established.then(|| usize::from_str_radix(unread, 16).unwrap_or(0))
    });
    rows.sum()
}

fn resident_bytes(node: &Node) -> usize {
    let Some(id) = node.process_id() else { return 0 };
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:")).unwrap_or("0 kB");
    line.trim().trim_end_matches("kB").trim().parse::<usize>().unwrap_or(0) * 1_024
}

/// Returns how many files a process may open.
fn open_files_limit() -> usize {
    let limits = fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files")).unwrap_or("");
    match line.split_whitespace().next() {
        Some("unlimited") => usize::MAX,
        soft => soft.and_then(|soft| soft.parse().ok()).unwrap_or(0),
    }
}

pub fn run(record: &Record, trouble: bool) -> bool {
    // All clients are in this process; a node needs the 4,100 of its machine.
    if open_files_limit() < (CROWDED * CLIENTS + 500).max(4_100) {
        cannot_run("too few files may be open for the crowds");
    }
    let routes = [("ingredient-release", "unsafe", "/release/", 800, 2_500)];
    let config = crate::config("recipe-svc", &routes)
        .replace("\"maxBodyBytes\":1048576", "\"maxBodyBytes\":67108864");
    let mut fleet = Fleet::new(&config);
    let behaviour = Behaviour::sound(Duration::from_millis(290), 6, 1_500);
    for zone in ["bayangol", "sukhbaatar", "khan-uul", "bayangol"] {
        fleet.add(zone, "recipe-svc", "v1", behaviour.clone());
    }
    fleet.wait_until_ready();
    thread::sleep(Duration::from_secs(4));
    record.line("the crowds begin");
    let stop = Arc::new(AtomicBool::new(false));
    let length = if trouble { BODY_BYTES } else { 2_000 };
    let mut threads = Vec::new();
    for node in &fleet.nodes[..CROWDED] {
        for client in 0..CLIENTS {
            let (address, stop) = (node.ingress, stop.clone());
            let spawned = thread::Builder::new().stack_size(96 << 10).spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    send_most(client, address, length, &stop);
                    thread::sleep(Duration::from_millis(300));
                }
            });
            threads.extend(spawned.ok());
        }
    }
    // Ordinary clients, one at each crowded machine, with requests that may run once only.
    let (sent, lost) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
    for node in &fleet.nodes[..CROWDED] {
        let (address, stop) = (node.ingress, stop.clone());
        let (sent, lost) = (sent.clone(), lost.clone());
        threads.push(thread::spawn(move || {
            while !stop.load(Ordering::SeqCst) {
                let number = sent.fetch_add(1, Ordering::SeqCst);
                let id = format!("{:06x}f{number:09x}", std::process::id());
                let headers = [
                    ("Host", "shop.example"),
                    ("Oleandertiller-Attempt-Id", id.as_str()),
                    ("Oleandertiller-Deadline-Milliseconds", "5000"),
                ];
                let line = "POST /release/1";
                let answer = call(address, line, &headers, b"x", Duration::from_secs(6));
                let status = answer.map_or(0, |answer| answer.status());
                lost.fetch_add(usize::from(!matches!(status, 200 | 503)), Ordering::SeqCst);
                thread::sleep(Duration::from_millis(100));
            }
        }));
    }
    let begun = Instant::now();
    let mut kills = [0_usize; CROWDED];
    let mut most = [(0, 0); CROWDED];
    let mut restart_at = [None; CROWDED];
    while begun.elapsed() < LENGTH {
        for index in 0..CROWDED {
            if let Some(at) = restart_at[index] {
                if Instant::now() >= at {
                    fleet.nodes[index].start();
                    restart_at[index] = None;
                }
                continue;
            }
            let node = &fleet.nodes[index];
            let (resident, unread) = (resident_bytes(node), unread_bytes(node.ingress.port()));
            if resident + unread > most[index].0 + most[index].1 {
                most[index] = (resident, unread);
            }
            if resident + unread > MEMORY {
                record.line(&format!(
                    "machine {index} is over its memory: {resident} bytes resident, {unread} received \
                     and not read; its process is killed"
                ));
                kills[index] += 1;
                fleet.nodes[index].kill();
                restart_at[index] = Some(Instant::now() + RESTART);
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    stop.store(true, Ordering::SeqCst);
    for (index, (resident, unread)) in most.iter().enumerate() {
        record.line(&format!(
            "machine {index}: killed {} times, at most {resident} bytes resident with {unread} unread",
            kills[index]
        ));
    }
    let (sent, lost) = (sent.load(Ordering::SeqCst), lost.load(Ordering::SeqCst));
    record.line(&format!(
        "{lost} of {sent} requests of ordinary clients had neither a good answer nor a refusal"
    ));
    record.line("the rule is broken if processes of two machines end three times or more");
    drop(fleet);
    for thread in threads {
        // A client that has failed has ended.
        let _ = thread.join();
    }
    kills.iter().filter(|kills| **kills >= 3).count() >= 2
}

/// Sends a request but for the end of its body, and keeps the connection open until the node closes it.
fn send_most(client: usize, address: SocketAddr, length: usize, stop: &AtomicBool) {
    static ZEROS: [u8; 16 << 10] = [0; 16 << 10];
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else {
        return;
    };
    limit_send_buffer(&stream);
    let _ = stream.set_write_timeout(Some(Duration::from_millis(500)));
    let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
    let id = format!("{:06x}b{client:09x}", std::process::id());
    let head = format!(
        "POST /release/2 HTTP/1.1\r\nHost: shop.example\r\nOleandertiller-Attempt-Id: {id}\r\n\
         Oleandertiller-Deadline-Milliseconds: 30000\r\nContent-Length: {length}\r\n\r\n"
    );
    if stream.write_all(head.as_bytes()).is_err() {
        return;
    }
    let mut left = length - REST;
    let until = Instant::now() + Duration::from_secs(25);
    while left > 0 && !stop.load(Ordering::SeqCst) && Instant::now() < until {
        match stream.write(&ZEROS[..left.min(ZEROS.len())]) {
            Ok(count) => left -= count,
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
    let mut buf = [0; 512];
    while !stop.load(Ordering::SeqCst) && Instant::now() < until {
        match stream.read(&mut buf) {
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            _ => break,
        }
    }
    let _ = stream.shutdown(Shutdown::Both);
}
