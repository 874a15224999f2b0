//! Endpoints that record what they ran.

use super::endpoint::TestEndpoint;
use super::http::ok_response;
use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// One execution of a request at an endpoint, in milliseconds since the endpoints were started.
pub(crate) struct RecordedRun {
    pub(crate) endpoint: usize,
    pub(crate) head: String,
    pub(crate) from_ms: f64,
    pub(crate) to_ms: f64,
}

/// Endpoints that execute two requests at once, report their load both ways, and record what they ran.
pub(crate) struct RecordingEndpoints {
    pub(crate) endpoints: Vec<TestEndpoint>,
    pub(crate) runs: Arc<Mutex<Vec<RecordedRun>>>,
    pub(crate) started: Instant,
}

impl RecordingEndpoints {
    /// Starts so many endpoints, at each of which a request takes this long.
    pub(crate) fn start(count: usize, service_time: Duration) -> Self {
        let runs = Arc::new(Mutex::new(Vec::new()));
        let started = Instant::now();
        let endpoint = |number: usize| {
            let in_flight = AtomicUsize::new(0);
            let runs = Arc::clone(&runs);
            let cores = [Mutex::new(()), Mutex::new(())];
            TestEndpoint::new(move |stream, received| {
                let report = |in_flight: usize| format!("TEXT inflight={in_flight}");
                if received.head.starts_with("GET /_load ") {
                    return stream
                        .write_all(&ok_response(&report(in_flight.load(Ordering::SeqCst))))
                        .is_ok();
                }
                let from_ms = started.elapsed().as_secs_f64() * 1000.0;
                let core = in_flight.fetch_add(1, Ordering::SeqCst) % 2;
                drop(
                    cores[core]
                        .lock()
                        .map(|_at_work| thread::sleep(service_time)),
                );
                let left = in_flight.fetch_sub(1, Ordering::SeqCst) - 1;
                let to_ms = started.elapsed().as_secs_f64() * 1000.0;
                runs.lock().unwrap().push(RecordedRun {
                    endpoint: number,
                    head: received.head.clone(),
                    from_ms,
                    to_ms,
                });
                let response = format!(
                    "HTTP/1.1 200 OK\r\nX-Server-Load: {}\r\nContent-Length: 0\r\n\r\n",
                    report(left)
                );
                stream.write_all(response.as_bytes()).is_ok()
            })
        };
        RecordingEndpoints {
            endpoints: (0..count).map(endpoint).collect(),
            runs,
            started,
        }
    }
}
