//! Clients that read slowly: each pauses once while it reads an answer.

use std::{
    ffi::{c_int, c_void},
    io::{self, Read},
    net::{IpAddr, SocketAddr, TcpStream},
    os::fd::FromRawFd,
    sync::mpsc,
    thread,
    time::{Duration, Instant},
};

use crate::{
    config,
    fleet::{Fleet, Record},
    http::Conn,
    server::Behaviour,
};

/// Size of an answer: the longest of the site's answers.
const BODY_BYTES: usize = 30_000;

/// For how long a client reads nothing. With it, its answer is read within its deadline.
const PAUSE: Duration = Duration::from_millis(1_800);

/// Time that a client waits for its answer, as that of the site's `price-check`.
const DEADLINE: Duration = Duration::from_millis(2_500);

const CLIENTS: usize = 12;

/// Receive buffer of a client: the pages give links small windows.
const WINDOW_BYTES: c_int = 8 << 10;

#[repr(C)]
struct SockAddr {
    family: u16,
    port: [u8; 2],
    address: [u8; 4],
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: c_int, kind: c_int, protocol: c_int) -> c_int;
    fn setsockopt(fd: c_int, level: c_int, name: c_int, value: *const c_void, len: u32) -> c_int;
    fn connect(fd: c_int, address: *const SockAddr, len: u32) -> c_int;
}

/// Opens a connection whose receive buffer is small from the start: the standard library can set it
/// only once the connection is open.
fn connect_with_window(address: SocketAddr) -> io::Result<Conn> {
    const AF_INET: c_int = 2;
    const SOCK_STREAM: c_int = 1;
    const SOL_SOCKET: c_int = 1;
    const SO_RCVBUF: c_int = 8;
    let IpAddr::V4(ip) = address.ip() else { return Err(io::ErrorKind::Unsupported.into()) };
    let peer = SockAddr {
        family: AF_INET as u16,
        port: address.port().to_be_bytes(),
        address: ip.octets(),
        zero: [0; 8],
    };
    let bytes = WINDOW_BYTES;
    // SAFETY: the descriptor is new and owned by the stream from here on, and both pointers lead to
    // local values of the sizes that are passed.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        let size = size_of::<c_int>() as u32;
        let set = setsockopt(fd, SOL_SOCKET, SO_RCVBUF, (&raw const bytes).cast(), size);
        if set != 0 || connect(fd, &peer, size_of::<SockAddr>() as u32) != 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(Conn::new(stream))
    }
}

/// How a client's request on its kept connection ended.
struct Ended {
    client: usize,
    id: String,
    status: u16,
    body: usize,
    after: Duration,
    error: Option<String>,
}

pub fn run(record: &Record, trouble: bool) -> bool {
    let routes = [("price-check", "safe", "/price/", 300, 1_200)];
    let mut fleet = Fleet::new(&config("market-hall", &routes));
    let behaviour = Behaviour {
        work: Duration::from_millis(76),
        slots: 6,
        body_bytes: BODY_BYTES,
        fail_each: 0,
        deadly: None,
    };
    for zone in ["lakes-east-a", "lakes-east-b", "lakes-east-c"] {
        fleet.add(zone, "market-hall", "v1", behaviour.clone());
    }
    fleet.wait_until_ready();
    // Machines are in touch three seconds after their start.
    thread::sleep(Duration::from_secs(4));
    record.line(&format!("{} nodes ready; clients begin", fleet.nodes.len()));
    let (tx, rx) = mpsc::channel();
    for client in 0..CLIENTS {
        let (tx, record, address) = (tx.clone(), record.clone(), fleet.nodes[client % 3].ingress);
        thread::spawn(move || {
            // Not all at once: the servers are not to be short of slots.
            thread::sleep(Duration::from_millis(150) * client as u32);
            let _ = tx.send(serve_client(client, address, &record, trouble));
        });
    }
    drop(tx);
    let mut unanswered = 0;
    for ended in rx {
        let run = fleet.nodes.iter().flat_map(|node| node.server.runs()).find(|r| r.id == ended.id);
        let answered = run.as_ref().is_some_and(|run| run.answered.is_some());
        let complete = ended.status == 200 && ended.body == BODY_BYTES;
        record.line(&format!(
            "client {} request {}: status {}, {} of {BODY_BYTES} bytes after {} ms, {}; run by a \
             server: {}, answered by it: {answered}",
            ended.client,
            ended.id,
            ended.status,
            ended.body,
            ended.after.as_millis(),
            ended.error.as_deref().unwrap_or("connection still open"),
            run.is_some(),
        ));
        // A kept connection that was closed without the answer, though a sound server gave it.
        unanswered += usize::from(answered && !complete && ended.error.is_some());
    }
    record.line(&format!(
        "{unanswered} of {CLIENTS} kept connections closed without a complete answer; more than 3 \
         break the rule"
    ));
    unanswered > 3
}

fn serve_client(client: usize, address: SocketAddr, record: &Record, trouble: bool) -> Ended {
    let mut ended = Ended {
        client,
        id: format!("{:08x}b{client:07x}", std::process::id()),
        status: 0,
        body: 0,
        after: Duration::ZERO,
        error: None,
    };
    let deadline = DEADLINE.as_millis().to_string();
    let mut conn = match connect_with_window(address) {
        Ok(conn) => conn,
        Err(error) => {
            ended.error = Some(error.to_string());
            return ended;
        }
    };
    let _ = conn.stream.set_read_timeout(Some(Duration::from_secs(5)));
    // The first request makes it a kept connection; it is read at once.
    let first = format!("{:08x}a{client:07x}", std::process::id());
    let headers = |id| {
        [
            ("Host", "shop.example"),
            ("Oleandertiller-Attempt-Id", id),
            ("Oleandertiller-Deadline-Milliseconds", deadline.as_str()),
        ]
    };
    let answer = conn.call("GET /price/1", &headers(&first), b"");
    record.line(&format!(
        "client {client} first request {first}: {}",
        answer.map_or_else(|error| error.to_string(), |answer| answer.status().to_string())
    ));
    let sent = Instant::now();
    record.line(&format!("client {client} sends request {}", ended.id));
    let mut read = || -> io::Result<()> {
        conn.write("GET /price/2 HTTP/1.1", &headers(&ended.id), b"")?;
        let head = conn.read_head()?;
        ended.status = head.map_or(0, |head| head.status());
        if trouble {
            thread::sleep(PAUSE);
        }
        ended.body = conn.take_input();
        let mut buf = [0; 4 << 10];
        while ended.body < BODY_BYTES {
            match conn.stream.read(&mut buf)? {
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                count => ended.body += count,
            }
        }
        Ok(())
    };
    let result = read();
    ended.after = sent.elapsed();
    ended.error = result.err().map(|error| error.to_string());
    ended
}
