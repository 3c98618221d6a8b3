//! Stand-in for an application server: it runs requests, sends heartbeats and records both.

use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{self, Listener, Message},
    record::Record,
};

/// A cold server ends once more requests than its rate times this reach it in one second.
const COLD_CRASH_FACTOR: f64 = 4.0;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_500);

/// State that the server announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    Ready,
    Draining,
    /// It has ended: it sends no heartbeats, and its connections are closed.
    Ended,
}

struct Inner {
    id: String,
    service: String,
    version: String,
    address: SocketAddr,
    listener: Listener,
    control: SocketAddr,
    born: u64,
    slots: u32,
    work: Duration,
    cold_per_s: f64,
    sequence: AtomicU64,
    running: AtomicU32,
    state: Mutex<State>,
    /// When it became cold, and when it is warm again.
    cold: Mutex<Option<(Instant, Instant)>>,
    /// When the first heartbeat that said draining was acknowledged.
    leaving_acked: Mutex<Option<Instant>>,
    runs: Mutex<Vec<(Instant, String)>>,
    cut: AtomicU32,
    record: Record,
}

/// A running server.
#[derive(Clone)]
pub struct Server(Arc<Inner>);

/// What a server is started with.
pub struct ServerConfig {
    pub id: String,
    pub service: String,
    pub version: String,
    pub zone: String,
    pub address: SocketAddr,
    pub control: SocketAddr,
    pub slots: u32,
    pub work: Duration,
    /// `coldPerS`.
    pub cold_per_s: f64,
}

impl Server {
    pub fn start(cfg: ServerConfig, record: Record) -> io::Result<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let server = Self(Arc::new(Inner {
            id: cfg.id,
            service: cfg.service,
            version: cfg.version,
            address: cfg.address,
            listener: Listener::default(),
            control: cfg.control,
            born,
            slots: cfg.slots,
            work: cfg.work,
            cold_per_s: cfg.cold_per_s,
            sequence: AtomicU64::new(0),
            running: AtomicU32::new(0),
            state: Mutex::new(State::Ready),
            cold: Mutex::new(None),
            leaving_acked: Mutex::new(None),
            runs: Mutex::default(),
            cut: AtomicU32::new(0),
            record,
        }));
        let handler = server.clone();
        server
            .0
            .listener
            .open(cfg.address, move |message, stream| handler.answer(&message, stream))?;
        let beating = server.clone();
        thread::spawn(move || {
            while beating.state() != State::Ended {
                beating.beat(&cfg.zone);
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
        Ok(server)
    }

    pub fn id(&self) -> &str {
        &self.0.id
    }

    pub fn born(&self) -> u64 {
        self.0.born
    }

    pub fn state(&self) -> State {
        *self.0.state.lock().unwrap()
    }

    pub fn set_state(&self, state: State) {
        *self.0.state.lock().unwrap() = state;
        if state == State::Ended {
            self.0.listener.close(self.0.address);
        }
        self.0.record.line(&format!("server {} is {state:?}", self.0.id));
    }

    /// Makes the server cold for a time and sends a heartbeat that says so.
    pub fn set_cold(&self, time: Duration, zone: &str) {
        let now = Instant::now();
        *self.0.cold.lock().unwrap() = Some((now, now + time));
        self.0.record.line(&format!("server {} is cold for {} ms", self.0.id, time.as_millis()));
        self.beat(zone);
    }

    /// Returns when the server became cold and when it is warm again.
    pub fn cold_time(&self) -> Option<(Instant, Instant)> {
        *self.0.cold.lock().unwrap()
    }

    pub fn leaving_acked(&self) -> Option<Instant> {
        *self.0.leaving_acked.lock().unwrap()
    }

    /// Returns when the server began to work on requests, with their ids.
    pub fn runs(&self) -> Vec<(Instant, String)> {
        self.0.runs.lock().unwrap().clone()
    }

    /// Returns the number of requests that the end of the server has cut off.
    pub fn cut(&self) -> u32 {
        self.0.cut.load(Ordering::Relaxed)
    }

    /// Sends `DELETE` and ends.
    pub fn end(&self) {
        let inner = &self.0;
        let start = format!("DELETE /api/instances/{} HTTP/1.1", inner.id);
        let body = format!("{{\"born\":{}}}", inner.born);
        let answer = http::call(
            inner.control,
            &start,
            &[("Host", "x")],
            body.as_bytes(),
            Duration::from_secs(1),
        );
        inner.record.line(&format!(
            "server {} sent DELETE: {}",
            inner.id,
            answer.map_or(0, |a| a.status())
        ));
        self.set_state(State::Ended);
    }

    /// Sends a heartbeat.
    pub fn beat(&self, zone: &str) {
        let inner = &self.0;
        let state = self.state();
        let word = if state == State::Ready { "ready" } else { "draining" };
        let sequence = inner.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"{}\",\"slots\":{},\
             \"state\":\"{word}\",\"coldRemainingMs\":{},\"sequence\":{sequence},\"born\":{}}}",
            inner.service,
            inner.address,
            inner.version,
            inner.slots,
            self.cold_ms(),
            inner.born
        );
        let start = format!("PUT /api/instances/{} HTTP/1.1", inner.id);
        let headers = [("Host", "x"), ("Content-Type", "application/json")];
        let answer =
            http::call(inner.control, &start, &headers, body.as_bytes(), Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        inner.record.line(&format!(
            "heartbeat of {}: {word}, sequence {sequence}: answered {status}",
            inner.id
        ));
        if state == State::Draining && (200..300).contains(&status) {
            inner.leaving_acked.lock().unwrap().get_or_insert(Instant::now());
        }
    }

    /// Returns the requests that it has run in the last second since it became cold.
    fn runs_within_a_second(&self) -> usize {
        let cold_since = self.cold_time().map(|(since, _)| since);
        let counts =
            |at: &Instant| at.elapsed() < Duration::from_secs(1) && Some(*at) >= cold_since;
        self.0.runs.lock().unwrap().iter().filter(|(at, _)| counts(at)).count()
    }

    /// Returns how long the server stays cold, in milliseconds.
    fn cold_ms(&self) -> u128 {
        self.cold_time()
            .map_or(0, |(_, until)| until.saturating_duration_since(Instant::now()).as_millis())
    }

    fn answer(&self, message: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let inner = &self.0;
        if self.state() == State::Ended {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        let running = inner.running.load(Ordering::Relaxed);
        let load = format!("{running},0,{},100", inner.slots);
        let id = message.header("Oleandertiller-Attempt-Id").unwrap_or("").to_owned();
        let cold = self.cold_ms().to_string();
        let mut headers = vec![
            ("Oleandertiller-Server-Load", load.as_str()),
            ("Oleandertiller-Instance-Identifier", inner.id.as_str()),
            ("Keep-Alive", "timeout=10"),
        ];
        if message.path() == "/health" {
            if cold != "0" {
                headers.push(("Oleandertiller-Cold-Milliseconds", &cold));
            }
            let status = if self.state() == State::Ready { "200 OK" } else { "503 -" };
            return http::write(stream, &format!("HTTP/1.1 {status}"), &headers, b"");
        }
        headers.push(("Oleandertiller-Attempt-Id", &id));
        let expected = message.header("Oleandertiller-Expected-Instance");
        if expected.is_some_and(|expected| expected != inner.id) {
            headers.push(("Oleandertiller-Not-Executed", "1"));
            return http::write(stream, "HTTP/1.1 421 -", &headers, b"");
        }
        if running >= inner.slots * 2 {
            headers.push(("Oleandertiller-Not-Executed", "1"));
            return http::write(stream, "HTTP/1.1 503 -", &headers, b"");
        }
        inner.runs.lock().unwrap().push((Instant::now(), id.clone()));
        inner.record.line(&format!("server {} runs {id} {}", inner.id, message.path()));
        if cold != "0" && self.runs_within_a_second() as f64 > inner.cold_per_s * COLD_CRASH_FACTOR
        {
            self.set_state(State::Ended);
        }
        inner.running.fetch_add(1, Ordering::Relaxed);
        thread::sleep(inner.work);
        inner.running.fetch_sub(1, Ordering::Relaxed);
        if self.state() == State::Ended {
            inner.cut.fetch_add(1, Ordering::Relaxed);
            inner.record.line(&format!("server {} ended while it ran {id}", inner.id));
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        headers.push(("Oleandertiller-Response-Signature", "signed"));
        http::write(stream, "HTTP/1.1 200 OK", &headers, format!("{id} by {}", inner.id).as_bytes())
    }
}
