//! The record of a run: what was sent, answered and run, with the time since its start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record(Arc<Inner>);

struct Inner {
    began_at: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = Mutex::new(File::create(path).expect("the record can be written"));
        Self(Arc::new(Inner { began_at: Instant::now(), file }))
    }

    pub fn ms(&self) -> u64 {
        u64::try_from(self.0.began_at.elapsed().as_millis()).expect("a short run")
    }

    pub fn line(&self, text: &str) {
        let mut file = self.0.file.lock().unwrap();
        let _ = writeln!(file, "{:>7} ms  {text}", self.ms());
    }
}
