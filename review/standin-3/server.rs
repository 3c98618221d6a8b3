//! Stand-in for an application server beside a node.

use std::{
    io::Write,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::http::{Conn, Message, call};

/// How a server works.
#[derive(Clone)]
pub struct Behaviour {
    pub work: Duration,
    pub slots: u32,
    pub body_bytes: usize,
    /// Fails each n-th request other than GET with 500; 0 for none.
    pub fail_each: u32,
    /// Path of the requests on which it crashes while it sends its answer.
    pub deadly: Option<&'static str>,
}

impl Behaviour {
    /// Returns a sound server.
    pub fn sound(work: Duration, slots: u32, body_bytes: usize) -> Self {
        Self { work, slots, body_bytes, fail_each: 0, deadly: None }
    }
}

/// A request that a server has begun to run.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub target: String,
    pub begun: Instant,
    /// When its complete answer was handed to the socket.
    pub answered: Option<Instant>,
    pub status: u16,
}

struct Shared {
    id: String,
    service: String,
    version: String,
    zone: String,
    born: u64,
    address: SocketAddr,
    control: SocketAddr,
    behaviour: Behaviour,
    running: AtomicU32,
    count: AtomicU32,
    sequence: Mutex<u64>,
    beating: AtomicBool,
    leaving: AtomicBool,
    ended: AtomicBool,
    runs: Mutex<Vec<Run>>,
    streams: Mutex<Vec<TcpStream>>,
}

#[derive(Clone)]
pub struct Server(Arc<Shared>);

/// Who a server is.
pub struct Identity {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub born: u64,
    pub address: SocketAddr,
    pub control: SocketAddr,
}

impl Server {
    /// Starts to serve and to send heartbeats.
    pub fn start(identity: Identity, behaviour: Behaviour) -> Self {
        let Identity { id, service, version, zone, born, address, control } = identity;
        let listener = TcpListener::bind(address).expect("the server's port");
        let server = Self(Arc::new(Shared {
            id,
            service,
            version,
            zone,
            born,
            address,
            control,
            behaviour,
            running: AtomicU32::new(0),
            count: AtomicU32::new(0),
            sequence: Mutex::new(0),
            beating: AtomicBool::new(true),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            runs: Mutex::default(),
            streams: Mutex::default(),
        }));
        let (accepting, beating) = (server.clone(), server.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if accepting.0.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    accepting.0.streams.lock().unwrap().push(copy);
                }
                let server = accepting.clone();
                thread::spawn(move || server.serve(Conn::new(stream)));
            }
        });
        thread::spawn(move || {
            let mut acknowledged = false;
            while beating.0.beating.load(Ordering::SeqCst) {
                acknowledged |= beating.beat("ready") == 200;
                // The first one is repeated until the node is up.
                thread::sleep(Duration::from_millis(if acknowledged { 1_500 } else { 250 }));
            }
        });
        server
    }

    /// Starts a server again at the address of one that has ended.
    pub fn start_again(&self, id: &str, behaviour: Behaviour) -> Self {
        let Shared { service, version, zone, address, control, .. } = &*self.0;
        let identity = Identity {
            id: id.to_owned(),
            service: service.clone(),
            version: version.clone(),
            zone: zone.clone(),
            born: crate::fleet::unix_ms(),
            address: *address,
            control: *control,
        };
        Self::start(identity, behaviour)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Returns the body of a heartbeat, which counts as sent.
    pub fn beat_body(&self, state: &str) -> String {
        let mut sequence = self.0.sequence.lock().unwrap();
        *sequence += 1;
        let Shared { service, version, zone, born, address, behaviour, .. } = &*self.0;
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{version}\",\"slots\":{},\"state\":\"{state}\",\
             \"coldRemainingMs\":0,\"sequence\":{sequence},\"born\":{born}}}",
            behaviour.slots
        )
    }

    pub fn send_beat(&self, body: &str) -> u16 {
        let line = format!("PUT /api/instances/{}", self.0.id);
        self.tell(&line, body)
    }

    pub fn beat(&self, state: &str) -> u16 {
        let body = self.beat_body(state);
        self.send_beat(&body)
    }

    pub fn stop_beating(&self) {
        self.0.beating.store(false, Ordering::SeqCst);
    }

    /// Says that it leaves; returns the status of the acknowledgement, 0 without one in a second.
    pub fn leave(&self) -> u16 {
        self.stop_beating();
        self.0.leaving.store(true, Ordering::SeqCst);
        self.tell(
            &format!("DELETE /api/instances/{}", self.0.id),
            &format!("{{\"born\":{}}}", self.0.born),
        )
    }

    /// Reports that it drains, which its health check shows too.
    pub fn drain(&self) -> u16 {
        self.stop_beating();
        self.0.leaving.store(true, Ordering::SeqCst);
        self.beat("draining")
    }

    fn tell(&self, line: &str, body: &str) -> u16 {
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        let answer =
            call(self.0.control, line, &headers, body.as_bytes(), Duration::from_millis(1_000));
        answer.map_or(0, |answer| answer.status())
    }

    /// Ends the process that it stands for: its port and all connections are closed.
    pub fn end(&self) {
        self.stop_beating();
        self.0.ended.store(true, Ordering::SeqCst);
        // Wakes the thread that accepts.
        let _ = TcpStream::connect(self.0.address);
        for stream in self.0.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    pub fn has_ended(&self) -> bool {
        self.0.ended.load(Ordering::SeqCst)
    }

    fn serve(&self, mut conn: Conn) {
        while let Ok(Some(request)) = conn.read() {
            if self.0.ended.load(Ordering::SeqCst) || self.answer(&mut conn, &request).is_none() {
                return;
            }
        }
    }

    fn answer(&self, conn: &mut Conn, request: &Message) -> Option<()> {
        let Shared { behaviour, running, .. } = &*self.0;
        let id = request.header("Oleandertiller-Attempt-Id").unwrap_or("").to_owned();
        let load = || format!("{},0,{},100", running.load(Ordering::SeqCst), behaviour.slots);
        let respond = |conn: &mut Conn, status: &str, extra: &[(&str, &str)], body: &[u8]| {
            let load = load();
            let mut headers = vec![
                ("Oleandertiller-Instance-Identifier", self.0.id.as_str()),
                ("Oleandertiller-Server-Load", load.as_str()),
            ];
            headers.extend_from_slice(extra);
            conn.write(&format!("HTTP/1.1 {status}"), &headers, body).ok()
        };
        if request.target() == "/health" {
            let leaving = self.0.leaving.load(Ordering::SeqCst);
            let status = if leaving { "503 Service Unavailable" } else { "200 OK" };
            return respond(conn, status, &[], b"");
        }
        let expected = request.header("Oleandertiller-Expected-Instance");
        if expected.is_some_and(|expected| expected != self.0.id) {
            let echo = [("Oleandertiller-Attempt-Id", id.as_str())];
            return respond(conn, "421 Misdirected Request", &echo, b"");
        }
        if running.fetch_add(1, Ordering::SeqCst) >= behaviour.slots {
            running.fetch_sub(1, Ordering::SeqCst);
            let extra =
                [("Oleandertiller-Attempt-Id", id.as_str()), ("Oleandertiller-Not-Executed", "1")];
            return respond(conn, "503 Service Unavailable", &extra, b"");
        }
        let may_fail = behaviour.fail_each > 0 && request.method() != "GET";
        let fails =
            may_fail && self.0.count.fetch_add(1, Ordering::SeqCst) % behaviour.fail_each == 0;
        let status = if fails { 500 } else { 200 };
        let index = {
            let mut runs = self.0.runs.lock().unwrap();
            let (id, target) = (id.clone(), request.target().to_owned());
            runs.push(Run { id, target, begun: Instant::now(), answered: None, status });
            runs.len() - 1
        };
        thread::sleep(behaviour.work);
        running.fetch_sub(1, Ordering::SeqCst);
        let body = vec![b'b'; behaviour.body_bytes];
        let signature = format!("signed.{}", self.0.id);
        let extra = [
            ("Oleandertiller-Attempt-Id", id.as_str()),
            ("Oleandertiller-Response-Signature", signature.as_str()),
        ];
        if behaviour.deadly == Some(request.target()) {
            // The head and a part of the body are out when the process ends; with `CRASH=early`, which
            // is for comparison only, nothing is.
            if std::env::var("CRASH").is_ok_and(|when| when == "early") {
                self.end();
                return None;
            }
            let length = body.len() * 2;
            let head = format!(
                "HTTP/1.1 200 OK\r\nOleandertiller-Attempt-Id: {id}\r\n\
                 Oleandertiller-Response-Signature: {signature}\r\nContent-Length: {length}\r\n\r\n"
            );
            let _ = conn.stream.write_all(&[head.as_bytes(), &body].concat());
            self.end();
            return None;
        }
        let line = if fails { "500 Internal Server Error" } else { "200 OK" };
        respond(conn, line, &extra, if fails { b"failed" } else { &body })?;
        self.0.runs.lock().unwrap()[index].answered = Some(Instant::now());
        Some(())
    }
}
