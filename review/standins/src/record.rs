//! What happened in a case, with the time since its start.

use std::fs::File;
use std::io::{self, Write as _};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn open(path: &Path) -> io::Result<Self> {
        Ok(Self { started: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        // The verdict does not depend on the file.
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn tell(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
