//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

/// Writes lines with the time since the start.
pub struct Record {
    began_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { began_at: Instant::now(), file: Mutex::new(File::create(path)?) })
    }

    /// Seconds since the start.
    pub fn now(&self) -> f64 {
        self.began_at.elapsed().as_secs_f64()
    }

    pub fn write(&self, line: &str) {
        let now = self.now();
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{now:9.3} {line}").expect("the record can be written");
    }

    /// Writes a line to the record and to standard output.
    pub fn show(&self, line: &str) {
        println!("{line}");
        self.write(line);
    }
}

/// Milliseconds since 1970.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
