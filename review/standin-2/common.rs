//! Parts shared by the cases: a small HTTP/1.1 reader and writer, JSON, base64, the platform's
//! store, and the processes of a deployment. Only the standard library is used.

#![allow(dead_code)]

use std::{
    collections::{BTreeMap, HashMap},
    fs,
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Condvar, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

// ---------------------------------------------------------------- JSON and base64

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut p = Parser { b: text.as_bytes(), i: 0 };
        let v = p.value()?;
        p.space();
        (p.i == p.b.len()).then_some(v)
    }
    pub fn get(&self, key: &str) -> &Json {
        static NULL: Json = Json::Null;
        match self {
            Json::Obj(fields) => fields.iter().find(|(k, _)| k == key).map_or(&NULL, |(_, v)| v),
            _ => &NULL,
        }
    }
    pub fn str(&self) -> &str {
        if let Json::Str(s) = self { s } else { "" }
    }
    pub fn num(&self) -> f64 {
        if let Json::Num(n) = self { *n } else { 0.0 }
    }
    pub fn list(&self) -> &[Json] {
        if let Json::Arr(a) = self { a } else { &[] }
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Json::Null => write!(f, "null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Num(n) if n.fract() == 0.0 && n.abs() < 9e15 => write!(f, "{}", *n as i64),
            Json::Num(n) => write!(f, "{n}"),
            Json::Str(s) => write!(f, "{}", quote(s)),
            Json::Arr(a) => {
                let parts: Vec<String> = a.iter().map(Json::to_string).collect();
                write!(f, "[{}]", parts.join(","))
            }
            Json::Obj(o) => {
                let parts: Vec<String> =
                    o.iter().map(|(k, v)| format!("{}:{v}", quote(k))).collect();
                write!(f, "{{{}}}", parts.join(","))
            }
        }
    }
}

fn quote(s: &str) -> String {
    let mut out = String::from("\"");
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => out.push_str(&format!("\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
    out
}

struct Parser<'a> {
    b: &'a [u8],
    i: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.b.get(self.i).is_some_and(u8::is_ascii_whitespace) {
            self.i += 1;
        }
    }
    fn eat(&mut self, c: u8) -> Option<()> {
        self.space();
        (self.b.get(self.i) == Some(&c)).then(|| self.i += 1)
    }
    fn word(&mut self, w: &str, v: Json) -> Option<Json> {
        self.b[self.i..].starts_with(w.as_bytes()).then(|| {
            self.i += w.len();
            v
        })
    }
    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.b.get(self.i)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => self.string().map(Json::Str),
            b'[' => {
                self.i += 1;
                let mut out = Vec::new();
                if self.eat(b']').is_some() {
                    return Some(Json::Arr(out));
                }
                loop {
                    out.push(self.value()?);
                    if self.eat(b',').is_none() {
                        return self.eat(b']').map(|()| Json::Arr(out));
                    }
                }
            }
            b'{' => {
                self.i += 1;
                let mut out = Vec::new();
                if self.eat(b'}').is_some() {
                    return Some(Json::Obj(out));
                }
                loop {
                    self.space();
                    let key = self.string()?;
                    self.eat(b':')?;
                    out.push((key, self.value()?));
                    if self.eat(b',').is_none() {
                        return self.eat(b'}').map(|()| Json::Obj(out));
                    }
                }
            }
            _ => {
                let start = self.i;
                while self.b.get(self.i).is_some_and(|c| b"+-.eE0123456789".contains(c)) {
                    self.i += 1;
                }
                std::str::from_utf8(&self.b[start..self.i]).ok()?.parse().ok().map(Json::Num)
            }
        }
    }
    fn string(&mut self) -> Option<String> {
        if self.b.get(self.i) != Some(&b'"') {
            return None;
        }
        self.i += 1;
        let mut out = Vec::new();
        loop {
            match *self.b.get(self.i)? {
                b'"' => {
                    self.i += 1;
                    return String::from_utf8(out).ok();
                }
                b'\\' => {
                    let c = *self.b.get(self.i + 1)?;
                    self.i += 2;
                    match c {
                        b'n' => out.push(b'\n'),
                        b't' => out.push(b'\t'),
                        b'r' => out.push(b'\r'),
                        b'b' => out.push(8),
                        b'f' => out.push(12),
                        b'u' => {
                            let hex = std::str::from_utf8(self.b.get(self.i..self.i + 4)?).ok()?;
                            self.i += 4;
                            let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?)?;
                            out.extend(c.to_string().as_bytes());
                        }
                        c => out.push(c),
                    }
                }
                c => {
                    out.push(c);
                    self.i += 1;
                }
            }
        }
    }
}

const B64: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for part in bytes.chunks(3) {
        let n = part.iter().fold(0u32, |n, b| n << 8 | u32::from(*b)) << (8 * (3 - part.len()));
        for k in 0..4 {
            let digit = B64[(n >> (18 - 6 * k) & 63) as usize] as char;
            out.push(if k <= part.len() { digit } else { '=' });
        }
    }
    out
}

pub fn unbase64(text: &str) -> Vec<u8> {
    let (mut out, mut n, mut bits) = (Vec::new(), 0u32, 0);
    for c in text.bytes().filter(|c| *c != b'=') {
        let Some(digit) = B64.iter().position(|d| *d == c) else { continue };
        n = n << 6 | digit as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            out.push((n >> bits) as u8);
        }
    }
    out
}

// ---------------------------------------------------------------- HTTP

pub struct Message {
    /// Words of the first line.
    pub first: Vec<String>,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(r: &mut impl BufRead) -> Option<Message> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        if r.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end().to_owned();
        if line.is_empty() {
            if lines.is_empty() {
                continue;
            }
            break;
        }
        lines.push(line);
    }
    let first = lines[0].split_whitespace().map(str::to_owned).collect();
    let headers = lines[1..].iter().filter_map(|line| {
        let (name, value) = line.split_once(':')?;
        Some((name.trim().to_owned(), value.trim().to_owned()))
    });
    Some(Message { first, headers: headers.collect(), body: Vec::new() })
}

/// Reads a message whose body has a length.
pub fn read_message(r: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(r)?;
    let len = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    message.body = vec![0; len];
    r.read_exact(&mut message.body).ok()?;
    Some(message)
}

pub fn response(status: u16, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut out = format!("HTTP/1.1 {status} X\r\n");
    for (name, value) in headers {
        out.push_str(&format!("{name}: {value}\r\n"));
    }
    out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut out = out.into_bytes();
    out.extend_from_slice(body);
    out
}

/// Sends one request on a new connection and returns the complete response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    wait: Duration,
) -> Option<Message> {
    let mut stream = TcpStream::connect_timeout(&address, wait).ok()?;
    stream.set_read_timeout(Some(wait)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    read_message(&mut BufReader::new(stream))
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start in seconds.
pub struct Record {
    started: Instant,
    file: Mutex<io::BufWriter<fs::File>>,
}

impl Record {
    pub fn create(path: &str) -> Arc<Self> {
        let file = fs::File::create(path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Arc::new(Self { started: Instant::now(), file: Mutex::new(io::BufWriter::new(file)) })
    }
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:9.3} {text}");
    }
    /// Also prints the line.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

pub fn cannot_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    if let Ok(started) = STARTED.lock() {
        for pid in started.iter() {
            let _ = Command::new("kill").args(["-s", "KILL", &pid.to_string()]).status();
        }
    }
    std::process::exit(2)
}

// ---------------------------------------------------------------- the platform's store

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, Json)>,
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value, revision, created, lease };
        self.history.push((revision, key.to_owned(), item_json(key, &item)));
        self.items.insert(key.to_owned(), item);
    }
    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let event = Json::Obj(vec![
                ("key".into(), Json::Str(key.into())),
                ("revision".into(), Json::Num(self.revision as f64)),
                ("removed".into(), Json::Bool(true)),
            ]);
            self.history.push((self.revision, key.to_owned(), event));
        }
    }
    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| i.lease == lease).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|key| self.remove(key));
    }
}

fn item_json(key: &str, item: &Item) -> Json {
    Json::Obj(vec![
        ("key".into(), Json::Str(key.into())),
        ("value".into(), Json::Str(item.value.clone())),
        ("revision".into(), Json::Num(item.revision as f64)),
        ("createdRevision".into(), Json::Num(item.created as f64)),
        ("lease".into(), Json::Num(item.lease as f64)),
    ])
}

pub struct Store {
    pub address: SocketAddr,
    data: Mutex<Data>,
    changed: Condvar,
    /// Neither reads nor answers calls while set.
    pub silent: AtomicBool,
}

impl Store {
    pub fn start(address: SocketAddr) -> Arc<Self> {
        let listener = TcpListener::bind(address).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let store = Arc::new(Self {
            address: listener.local_addr().unwrap(),
            data: Mutex::default(),
            changed: Condvar::new(),
            silent: AtomicBool::new(false),
        });
        let s = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let s = s.clone();
                thread::spawn(move || s.serve(stream));
            }
        });
        let s = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                let mut data = s.data.lock().unwrap();
                let now = Instant::now();
                let ended: Vec<u64> =
                    data.leases.iter().filter(|(_, l)| l.1 <= now).map(|(id, _)| *id).collect();
                if !ended.is_empty() {
                    ended.iter().for_each(|id| data.end_lease(*id));
                    s.changed.notify_all();
                }
            }
        });
        store
    }

    pub fn put(&self, key: &str, json: &str) {
        self.data.lock().unwrap().put(key, base64(json.as_bytes()), 0);
        self.changed.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let data = self.data.lock().unwrap();
        data.items.get(key).map(|i| String::from_utf8_lossy(&unbase64(&i.value)).into_owned())
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().unwrap();
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_message(&mut reader) {
            while self.silent.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(50));
            }
            let (status, body) = self.answer(&request);
            let headers = [("Content-Type", "application/json".to_owned())];
            if writer.write_all(&response(status, &headers, body.to_string().as_bytes())).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let target = request.first.get(1).map_or("", String::as_str);
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let arg = |name: &str| {
            let found = query.split('&').filter_map(|p| p.split_once('='));
            found.filter(|(n, _)| *n == name).map(|(_, v)| unescape(v)).next().unwrap_or_default()
        };
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut data = self.data.lock().unwrap();
        let number = |n: u64| Json::Num(n as f64);
        match path {
            "/api/kv-key" => match data.items.get(&arg("key")) {
                Some(item) => (200, item_json(&arg("key"), item)),
                None => (404, Json::Obj(Vec::new())),
            },
            "/api/kv-range" => {
                let (prefix, after) = (arg("pathPrefix"), arg("after"));
                let items =
                    data.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let items = items.map(|(k, i)| item_json(k, i)).collect();
                let page = vec![
                    ("items".into(), Json::Arr(items)),
                    ("hasMore".into(), Json::Bool(false)),
                    ("atRevision".into(), number(data.revision)),
                ];
                (200, Json::Obj(page))
            }
            "/api/kv-watch" => {
                let (prefix, after) = (arg("pathPrefix"), arg("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(arg("waitMs").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                loop {
                    let events = data
                        .history
                        .iter()
                        .filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
                    let events: Vec<Json> = events.map(|(_, _, event)| event.clone()).collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let page = vec![
                            ("events".into(), Json::Arr(events)),
                            ("atRevision".into(), number(data.revision)),
                        ];
                        return (200, Json::Obj(page));
                    }
                    data = self.changed.wait_timeout(data, left).unwrap().0;
                }
            }
            "/api/kv-txn" => {
                let rows = body.get("expectedRevision").list();
                let holds = rows.iter().all(|row| {
                    let revision = data.items.get(row.get("key").str()).map_or(0, |i| i.revision);
                    revision == row.get("revision").num() as u64
                });
                if !holds {
                    let items = rows.iter().filter_map(|row| {
                        let key = row.get("key").str();
                        data.items.get(key).map(|item| item_json(key, item))
                    });
                    let items = items.collect();
                    return (412, Json::Obj(vec![("items".into(), Json::Arr(items))]));
                }
                let writes = body.get("writes").list();
                let unknown = writes.iter().any(|w| {
                    let lease = w.get("lease").num() as u64;
                    lease != 0 && !data.leases.contains_key(&lease)
                });
                if unknown {
                    return (404, Json::Obj(Vec::new()));
                }
                for w in writes {
                    let lease = w.get("lease").num() as u64;
                    data.put(w.get("key").str(), w.get("value").str().to_owned(), lease);
                }
                for key in body.get("remove").list() {
                    data.remove(key.str());
                }
                self.changed.notify_all();
                (200, Json::Obj(vec![("revision".into(), number(data.revision))]))
            }
            "/api/kv-lease" => {
                let ttl = body.get("ttlMs").num().clamp(1_000.0, 600_000.0);
                data.next_lease += 1;
                let id = 1_000 + data.next_lease;
                let life = Duration::from_millis(ttl as u64);
                data.leases.insert(id, (life, Instant::now() + life));
                (
                    200,
                    Json::Obj(vec![("lease".into(), number(id)), ("ttlMs".into(), Json::Num(ttl))]),
                )
            }
            _ => {
                if let Some(id) = path.strip_prefix("/api/kv-keep/") {
                    return match data.leases.get_mut(&id.parse().unwrap_or(0)) {
                        Some((life, until)) => {
                            *until = Instant::now() + *life;
                            let ttl = Json::Num(life.as_millis() as f64);
                            (200, Json::Obj(vec![("ttlMs".into(), ttl)]))
                        }
                        None => (404, Json::Obj(Vec::new())),
                    };
                }
                if let Some(id) = path.strip_prefix("/api/kv-lease-end/") {
                    data.end_lease(id.parse().unwrap_or(0));
                    self.changed.notify_all();
                    return (200, Json::Obj(Vec::new()));
                }
                (404, Json::Obj(Vec::new()))
            }
        }
    }
}

fn unescape(text: &str) -> String {
    let (b, mut out, mut i) = (text.as_bytes(), Vec::new(), 0);
    while i < b.len() {
        let hex = (b[i] == b'%').then(|| text.get(i + 1..i + 3)).flatten();
        match hex.and_then(|h| u8::from_str_radix(h, 16).ok()) {
            Some(c) => {
                out.push(c);
                i += 3;
            }
            None => {
                out.push(b[i]);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

// ---------------------------------------------------------------- machines

/// Ports of a machine; the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    base: u16,
}

impl Ports {
    /// Finds ports that are free on all addresses of the deployment.
    pub fn find(machines: usize) -> Self {
        let seed = std::process::id() as u16;
        for attempt in 0..500u16 {
            let base = 11_000 + (seed.wrapping_mul(37).wrapping_add(attempt * 16)) % 20_000;
            let free = (0..=machines).all(|m| {
                (0..8).all(|p| TcpListener::bind(SocketAddr::from((ip(m), base + p))).is_ok())
            });
            if free {
                return Self { base };
            }
        }
        cannot_run("no free ports")
    }
    pub fn at(&self, machine: usize, port: u16) -> SocketAddr {
        SocketAddr::from((ip(machine), self.base + port))
    }
    pub fn upstream(&self, machine: usize) -> SocketAddr {
        self.at(machine, 0)
    }
    pub fn inner(&self, machine: usize) -> SocketAddr {
        self.at(machine, 1)
    }
    pub fn ingress(&self, machine: usize) -> SocketAddr {
        self.at(machine, 2)
    }
    pub fn ready(&self, machine: usize) -> SocketAddr {
        self.at(machine, 3)
    }
    pub fn control(&self, machine: usize) -> SocketAddr {
        self.at(machine, 4)
    }
    pub fn metrics(&self, machine: usize) -> SocketAddr {
        self.at(machine, 5)
    }
    /// The platform's store is beside the machines.
    pub fn store(&self) -> SocketAddr {
        self.at(0, 6)
    }
}

fn ip(machine: usize) -> [u8; 4] {
    [127, 77, 0, 10 + machine as u8]
}

/// A node of the system on a machine, as its own process.
pub struct Node {
    pub machine: usize,
    pub zone: String,
    pub service: String,
    settings: String,
    child: Option<Child>,
    log: String,
}

impl Node {
    /// Writes the settings as the template of the deploy file gives them.
    pub fn new(
        dir: &str,
        machine: usize,
        zone: &str,
        service: &str,
        memory_mb: u64,
        ports: Ports,
    ) -> Self {
        let p = ports;
        let text = format!(
            "[node]\nname = sidecar-{zone}-{machine}\nzone = {zone}\nservice = {service}\n\
             upstream = {}\nmemory-mb = {memory_mb}\ndescriptors = 4100\n\
             [listen]\ningress = {}\ninner = {}\nready = {}\ncontrol = {}\nmetrics = {}\n\
             [store]\naddress = {}\nshortest-lease-ms = 1000\nwrites-per-s = 400\n\
             [terms]\nstop-s = 6\nretry-ratio = 0.2\nretry-extra = 56\nretry-window-s = 10\n\
             probes-per-s = 60\nexposure-share = 0.1\nexposure-extra = 50\n\
             [usage]\naddress = \nwindow-s = \nlate-s = \nholder-ms = \n",
            p.upstream(machine),
            p.ingress(machine),
            p.inner(machine),
            p.ready(machine),
            p.control(machine),
            p.metrics(machine),
            p.store(),
        );
        let settings = format!("{dir}/boot-{machine}.ini");
        fs::write(&settings, text).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = format!("{dir}/node-{machine}.log");
        let (zone, service) = (zone.to_owned(), service.to_owned());
        Self { machine, zone, service, settings, child: None, log }
    }

    /// Starts the process with the command of the deploy file.
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log).unwrap();
        let child = Command::new("target/release/oleandertiller")
            .arg("mesh")
            .env("OLEANDERTILLER_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn();
        let child = child.unwrap_or_else(|e| cannot_run(&format!("the node: {e}")));
        STARTED.lock().unwrap().push(child.id());
        self.child = Some(child);
    }

    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Returns whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        self.child.as_mut().is_some_and(|c| matches!(c.try_wait(), Ok(Some(_))))
    }

    /// Memory in use, in kB.
    pub fn memory_kb(&self) -> u64 {
        let Some(pid) = self.pid() else { return 0 };
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        line.and_then(|l| l.trim().trim_end_matches("kB").trim().parse().ok()).unwrap_or(0)
    }

    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let _ = Command::new("kill").args(["-s", name, &pid.to_string()]).status();
        }
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|pid| *pid != child.id());
        }
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns whether a node says that it is ready.
pub fn is_ready(ports: Ports, machine: usize) -> bool {
    let wait = Duration::from_millis(500);
    let answer = call(ports.ready(machine), "GET", "/api/readiness", "", wait);
    answer.is_some_and(|answer| answer.status() == 200)
}

/// Sends a heartbeat; returns its status, 0 without an answer.
#[allow(clippy::too_many_arguments)]
pub fn heartbeat(
    ports: Ports,
    machine: usize,
    id: &str,
    service: &str,
    zone: &str,
    slots: usize,
    state: &str,
    sequence: u64,
    born: u64,
) -> u16 {
    let body = format!(
        "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
         \"born\":{born}}}",
        ports.upstream(machine)
    );
    let path = format!("/api/instances/{id}");
    call(ports.control(machine), "PUT", &path, &body, Duration::from_secs(1))
        .map_or(0, |answer| answer.status())
}

pub fn unix_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

/// Returns a random number from 0 to 1.
pub fn random() -> f64 {
    use std::hash::{BuildHasher, Hasher};
    let n = std::collections::hash_map::RandomState::new().build_hasher().finish();
    (n >> 11) as f64 / (1u64 << 53) as f64
}

/// Whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

pub fn temp_dir(name: &str) -> String {
    let dir = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&dir).unwrap_or_else(|e| cannot_run(&e.to_string()));
    dir.to_string_lossy().into_owned()
}

/// Reads from a connection that may time out.
pub fn read_timeout(stream: &TcpStream, wait: Duration) {
    let _ = stream.set_read_timeout(Some(wait.max(Duration::from_millis(1))));
}

pub fn drain(r: &mut impl Read, mut len: usize) -> bool {
    let mut buf = vec![0; 64 << 10];
    while len > 0 {
        let want = len.min(buf.len());
        match r.read(&mut buf[..want]) {
            Ok(n @ 1..) => len -= n,
            _ => return false,
        }
    }
    true
}
