//! Log lines of a mesh node: one JSON object a line on standard output.
//!
//! Lines go through a bounded queue to a thread that writes them in batches, so that a reader that
//! stalls holds up nothing. Lines that do not fit are dropped and counted; the count is logged with
//! the next batch that is written.

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

/// Lines that wait for the writer.
const QUEUE_LINES: usize = 2_000;

/// Time between two batches: each write costs a system call and a wake-up.
const BATCH_PAUSE: Duration = Duration::from_millis(200);

/// Time after which a line that was logged has been written, unless the reader stalls.
pub const FLUSH_TIME: Duration = Duration::from_millis(230);

/// Largest batch, in bytes; a pipe takes 64 KiB at once.
const BATCH_BYTES: usize = 60 << 10;

/// Starts logging to standard output.
///
/// # Errors
///
/// Fails when logging has been started before or the thread cannot be started.
pub fn init(node: &str, level: LevelFilter) -> io::Result<()> {
    let (tx, rx) = bounded(QUEUE_LINES);
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

/// Queues lines for the writer.
#[derive(Debug)]
pub struct LineAppender {
    node: Arc<str>,
    tx: Sender<String>,
    dropped: Arc<AtomicU64>,
}

impl LineAppender {
    /// Creates a queue of `size` lines and the writer that empties it.
    pub fn new(node: &str, size: usize) -> (Self, Writer) {
        let (tx, rx) = bounded(size);
        let dropped = Arc::new(AtomicU64::new(0));
        (Self { node: node.into(), tx, dropped: dropped.clone() }, Writer { rx, dropped })
    }
}

impl Append for LineAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        if self.tx.try_send(line(&self.node, record)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }

    fn flush(&self) {}
}

/// Formats a record: time, level, node, what happened, then the fields in their order.
pub fn line(node: &str, record: &Record<'_>) -> String {
    let mut fields = Map::new();
    let time = chrono::Utc::now().format("%Y-%m-%dT%H:%M:%S%.3fZ").to_string();
    fields.insert("time".to_owned(), time.into());
    fields.insert("level".to_owned(), record.level().as_str().to_ascii_lowercase().into());
    fields.insert("node".to_owned(), node.into());
    fields.insert("event".to_owned(), record.args().to_string().into());
    // A field that cannot be shown is left out; the rest of the line still helps.
    let _ = record.key_values().visit(&mut Fields(&mut fields));
    let mut text = Value::Object(fields).to_string();
    text.push('\n');
    text
}

struct Fields<'a>(&'a mut Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for Fields<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let shown = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), ..) => number.into(),
            (_, Some(number), _) => number.into(),
            (.., Some(flag)) => flag.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), shown);
        Ok(())
    }
}

/// Writes queued lines.
#[derive(Debug)]
pub struct Writer {
    rx: Receiver<String>,
    dropped: Arc<AtomicU64>,
}

impl Writer {
    /// Writes lines until the queue is closed.
    pub fn run(self, out: &mut impl Write) {
        while let Ok(first) = self.rx.recv_blocking() {
            thread::sleep(BATCH_PAUSE);
            let mut batch = first;
            while batch.len() < BATCH_BYTES {
                let Ok(next) = self.rx.try_recv() else { break };
                batch.push_str(&next);
            }
            let dropped = self.dropped.swap(0, Ordering::Relaxed);
            if dropped > 0 {
                batch.push_str(&format!("{{\"event\":\"lines dropped\",\"count\":{dropped}}}\n"));
            }
            // Without a reader there is nobody to tell.
            let _ = out.write_all(batch.as_bytes()).and_then(|()| out.flush());
        }
    }
}
