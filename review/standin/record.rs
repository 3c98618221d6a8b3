//! The record of a script: what was sent, answered and run, with the time since its start.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::Instant,
};

#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<File>)>);

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self(Arc::new((Instant::now(), Mutex::new(File::create(path)?)))))
    }

    /// Writes a line with the time in milliseconds.
    pub fn line(&self, text: &str) {
        let ms = self.0.0.elapsed().as_millis();
        let _ = writeln!(self.0.1.lock().unwrap(), "{ms:>6} ms  {text}");
    }

    /// Returns a time as the record gives it.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.0.0).as_millis()
    }
}
