//! Record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// A record file; lines have the time since its start in milliseconds.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("the record can be written");
        Self { file: Arc::new(Mutex::new(file)), started: Instant::now() }
    }

    /// Returns the time since the start of the record in milliseconds.
    pub fn ms(&self, at: Instant) -> u128 {
        at.saturating_duration_since(self.started).as_millis()
    }

    /// Adds a line; returns the time of it.
    pub fn line(&self, text: impl AsRef<str>) -> Instant {
        let now = Instant::now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>6} ms  {}", self.ms(now), text.as_ref())
            .expect("the record can be written");
        now
    }
}
