//! An application server beside a node, as the pages describe a sound one.

#![allow(dead_code)]

use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::Duration,
};

use crate::common::{Message, Record, drain, random, read_head, response};

pub struct Server {
    pub id: String,
    pub service: String,
    pub slots: usize,
    /// Time for which it works on a request.
    pub work: Duration,
    pub running: AtomicUsize,
    /// Ids and targets of the requests that it has begun to run.
    pub runs: Mutex<Vec<(String, String)>>,
    /// Bytes of its answers, at least.
    pub answer_bytes: AtomicUsize,
    /// It accepts connections and answers nothing, as behind a machine without power.
    pub silent: AtomicBool,
    /// It has said that it leaves; its health checks fail from then on.
    pub leaving: AtomicBool,
    ended: AtomicBool,
    address: SocketAddr,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

impl Server {
    pub fn start(
        address: SocketAddr,
        id: &str,
        service: &str,
        slots: usize,
        work: Duration,
        record: &Arc<Record>,
    ) -> std::io::Result<Arc<Self>> {
        let listener = TcpListener::bind(address)?;
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            slots,
            work,
            running: AtomicUsize::new(0),
            runs: Mutex::default(),
            answer_bytes: AtomicUsize::new(0),
            silent: AtomicBool::new(false),
            leaving: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            address,
            connections: Mutex::default(),
            record: record.clone(),
        });
        let s = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if s.ended.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = stream.try_clone() {
                    s.connections.lock().unwrap().push(copy);
                }
                let s = s.clone();
                thread::spawn(move || s.serve(stream));
            }
        });
        Ok(server)
    }

    /// Ends the server: its port is closed, and each of its connections breaks within `spread`, as
    /// when its peer's next keep-alive probe finds another machine at the address.
    pub fn end(&self, spread: Duration) {
        self.ended.store(true, Ordering::SeqCst);
        let streams: Vec<_> = self.connections.lock().unwrap().drain(..).collect();
        for stream in streams {
            let wait = spread.mul_f64(random());
            thread::spawn(move || {
                thread::sleep(wait);
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
        // Wakes the listener, which closes.
        let _ = TcpStream::connect(self.address);
    }

    fn gone(&self) -> bool {
        self.ended.load(Ordering::SeqCst)
    }

    /// Waits while the server is silent, for good if it ends meanwhile.
    fn wait_out_silence(&self) {
        while self.silent.load(Ordering::SeqCst) || self.gone() {
            thread::sleep(Duration::from_millis(5));
            if self.gone() {
                thread::sleep(Duration::from_secs(3));
                return;
            }
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_head(&mut reader) {
            let len = request.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
            if !drain(&mut reader, len) {
                return;
            }
            self.wait_out_silence();
            if self.gone() {
                return;
            }
            let Some(answer) = self.answer(&request, len) else { return };
            self.wait_out_silence();
            if self.gone() || writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, len: usize) -> Option<Vec<u8>> {
        let target = request.first.get(1).cloned().unwrap_or_default();
        let load = |s: &Self| format!("{},0,{},100", s.running.load(Ordering::SeqCst), s.slots);
        let instance = ("Oleandertiller-Instance-Identifier", self.id.clone());
        if target == "/health" {
            let headers = [instance, ("Oleandertiller-Server-Load", load(self))];
            let status = if self.leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            return Some(response(status, &headers, b""));
        }
        let id = request.header("oleandertiller-attempt-id").unwrap_or("").to_owned();
        let expected = request.header("oleandertiller-expected-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            self.record.line(&format!("421 {id} at {}", self.id));
            return Some(response(421, &[instance], b""));
        }
        let before = self.running.fetch_add(1, Ordering::SeqCst);
        if before >= 5 * self.slots {
            self.running.fetch_sub(1, Ordering::SeqCst);
            let headers = [instance, ("Oleandertiller-Not-Executed", "1".to_owned())];
            return Some(response(503, &headers, b""));
        }
        self.runs.lock().unwrap().push((id.clone(), target.clone()));
        self.record
            .line(&format!("run {id} {target} {len} bytes at {} of {}", self.id, self.service));
        thread::sleep(self.work);
        self.running.fetch_sub(1, Ordering::SeqCst);
        if self.gone() {
            return None;
        }
        let mut body = format!("{id} by {}", self.id);
        let padding = self.answer_bytes.load(Ordering::SeqCst).saturating_sub(body.len());
        body.push_str(&" ".repeat(padding));
        let headers = [
            ("Oleandertiller-Attempt-Id", id),
            ("Oleandertiller-Response-Signature", format!("signed-{}", self.id)),
            ("Oleandertiller-Server-Load", load(self)),
        ];
        Some(response(200, &headers, body.as_bytes()))
    }
}
