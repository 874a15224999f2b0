//! The record of a run: one line for each thing sent, answered or run, with the time since the start.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
    started_unix_ms: f64,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the clock is past 1970");
        Record {
            file: Arc::new(Mutex::new(
                File::create(path).expect("record.txt can be written"),
            )),
            started: Instant::now(),
            started_unix_ms: since_epoch.as_secs_f64() * 1000.0,
        }
    }

    /// Milliseconds since the start of the run.
    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    /// A time of this record as Unix milliseconds.
    pub fn unix_ms(&self, at: f64) -> f64 {
        self.started_unix_ms + at
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let at = self.now();
        let _ = writeln!(file, "{at:10.1} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}
