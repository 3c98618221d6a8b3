//! Logging of a mesh node: one JSON object per line on standard output.
//!
//! A bounded queue passes the lines to a thread that writes them in batches, so that a stalled
//! reader does not block the node. Lines that do not fit are dropped and counted; the count is
//! logged with the next batch.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::Duration,
};

use async_channel::{Receiver, Sender, bounded};
use log::{LevelFilter, Record, kv};
use log4rs::{
    append::Append,
    config::{Appender, Config, Root},
};
use serde_json::{Map, Value};

/// Capacity of the queue to the writer thread.
const MAX_QUEUED_LINES: usize = 2_000;

/// Time between two batches; batching saves system calls and wake-ups.
const BATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a logged line has been written, unless the reader stalls.
pub const FLUSH_TIME: Duration = Duration::from_millis(230);

/// Batch size from which no further line is added, in bytes; a pipe buffers 64 KiB.
const MAX_BATCH_BYTES: usize = 60 << 10;

/// Starts logging to standard output.
///
/// # Errors
///
/// Fails if a logger is already installed or the writer thread cannot be started.
pub fn init(node: &str, level: LevelFilter) -> io::Result<()> {
    let (tx, rx) = bounded(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let writer = Writer { rx, dropped: dropped.clone() };
    thread::Builder::new().name("oleander-log".to_owned()).spawn(move || {
        writer.run(&mut io::stdout());
    })?;
    let lines = LineAppender { node: node.into(), tx, dropped };
    let config = Config::builder()
        .appender(Appender::builder().build("lines", Box::new(lines)))
        .build(Root::builder().appender("lines").build(level))
        .map_err(io::Error::other)?;
    log4rs::init_config(config).map(drop).map_err(io::Error::other)
}

/// Formats log records and queues the lines for the [`Writer`].
#[derive(Debug)]
pub struct LineAppender {
    node: Arc<str>,
    tx: Sender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineAppender {
    /// Creates a queue of `size` lines and its writer.
    pub fn new(node: &str, size: usize) -> (Self, Writer) {
        let (tx, rx) = bounded(size);
        let dropped = Arc::new(AtomicU64::new(0));
        (Self { node: node.into(), tx, dropped: dropped.clone() }, Writer { rx, dropped })
    }
}

impl Append for LineAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if self.tx.try_send(format_line(&self.node, record)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Formats a record as JSON: time, level, node, event, then the record's fields in order.
pub fn format_line(node: &str, record: &Record<'_>) -> String {
    let mut fields = Map::new();
    let time = chrono::Utc::now().format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    fields.insert("time".to_owned(), time.into());
    fields.insert("level".to_owned(), record.level().as_str().to_ascii_lowercase().into());
    fields.insert("node".to_owned(), node.into());
    fields.insert("event".to_owned(), record.args().to_string().into());
    // An error ends the fields early; the rest of the line is still useful.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    let mut text = Value::Object(fields).to_string();
    text.push('\n');
    text
}

struct FieldVisitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let json = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (_, Some(number), _) => number.into(),
            (.., Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), json);
        Ok(())
    }
}

/// Writes queued lines in batches.
#[derive(Debug)]
pub struct Writer {
    rx: Receiver<String>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    /// Writes lines until the queue is closed.
    pub fn run(self, out: &mut impl Write) {
        while let Ok(first) = self.rx.recv_blocking() {
            thread::sleep(BATCH_INTERVAL);
            let mut batch = first;
            while batch.len() < MAX_BATCH_BYTES {
                let Ok(next) = self.rx.try_recv() else { break };
                batch.push_str(&next);
            }
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                batch.push_str(&format!("{{\"event\":\"lines dropped\",\"count\":{dropped}}}\n"));
            }
            // A write error cannot be logged: this is the log's only output.
            let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        }
    }
}
