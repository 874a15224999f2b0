//! The record of a run: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    /// Opens the file that `RECORD` names.
    pub fn open() -> Self {
        let path = std::env::var("RECORD").expect("RECORD names the record's file");
        let file = File::create(path).expect("the record's file can be written");
        Record {
            started: Instant::now(),
            file: Mutex::new(file),
        }
    }

    /// Milliseconds since the start.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub fn line(&self, text: &str) {
        let now = self.now();
        let mut file = self.file.lock().expect("the record is not poisoned");
        writeln!(file, "{now:9.1} ms  {text}").expect("the record can be written");
    }
}
