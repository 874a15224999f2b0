//! Retries of a request with an idempotency key reach no endpoint after the deduplication window.

use crate::support::body::pseudo_random_bytes;
use crate::support::connection::full_accept_queue;
use crate::support::discovery::TestDiscovery;
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{header_value, ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::slow_reader::listener_with_receive_buffer;
use crate::support::wait::sleep_ms;
use rustix::process::Signal;
use serde_json::json;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 60_000;
const WINDOW: Duration = Duration::from_millis(400);
/// How long a slow endpoint leaves a request unread.
const DELAY_MS: u64 = 900;
/// How much later than the window an execution may be seen, for the clocks of the endpoints and the machine's load.
const TOLERANCE: Duration = Duration::from_millis(200);
const SERVER_ERROR: &[u8] = b"HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n";

/// What the endpoints do, and what they have executed.
#[derive(Default)]
struct Endpoints {
    /// From now on one endpoint fails and the other reads late.
    disrupted: Mutex<bool>,
    executions: Mutex<Vec<Execution>>,
}

#[derive(Clone)]
struct Execution {
    request_id: String,
    at: Instant,
}

impl Endpoints {
    fn is_disrupted(&self) -> bool {
        *self.disrupted.lock().unwrap()
    }

    /// Executes complete requests. An endpoint that reads late leaves the first bytes of a request unread.
    fn serve(&self, mut stream: TcpStream, reads_late: bool) {
        while stream.peek(&mut [0]).is_ok_and(|count| count > 0) {
            if reads_late && self.is_disrupted() {
                sleep_ms(DELAY_MS);
            }
            let Some((head, _)) = read_message(&mut stream) else {
                return;
            };
            self.executions.lock().unwrap().push(Execution {
                request_id: header_value(&head, "X-Request-ID").unwrap_or_default(),
                at: Instant::now(),
            });
            let fails = !reads_late && self.is_disrupted();
            let response = if fails {
                SERVER_ERROR.to_vec()
            } else {
                ok_response("")
            };
            if stream.write_all(&response).is_err() {
                return;
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: TcpListener, reads_late: bool) -> SocketAddr {
        let address = listener.local_addr().unwrap();
        let endpoints = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoints = Arc::clone(&endpoints);
                thread::spawn(move || endpoints.serve(stream, reads_late));
            }
        });
        address
    }

    /// Pairs of executions of one request that are further apart than the window.
    fn executed_after_window(&self) -> Vec<(String, Duration)> {
        let executions = self.executions.lock().unwrap();
        let mut late = Vec::new();
        for first in executions.iter() {
            for second in executions.iter() {
                let apart = second.at.saturating_duration_since(first.at);
                if second.request_id == first.request_id && apart > WINDOW + TOLERANCE {
                    late.push((first.request_id.clone(), apart));
                }
            }
        }
        late
    }

    fn count(&self) -> usize {
        self.executions.lock().unwrap().len()
    }
}

/// A proxy in front of two endpoints, without hedging and with this window and connect timeout.
fn proxy_with_window(
    endpoints: &[SocketAddr],
    window: Duration,
    connect_timeout_ms: f64,
) -> (TestDiscovery, ProxyProcess) {
    ProxyProcess::without_hedging(endpoints, |config| {
        config["settings"]["Limits"]["ConnectTimeoutMs"] = json!(connect_timeout_ms);
        for class in config["settings"]["Categories"].as_array_mut().unwrap() {
            class["WindowMs"] = json!(window.as_secs_f64() * 1000.0);
            class["TtlMs"] = json!(4000.0);
        }
    })
}

fn send_order(proxy: &ProxyProcess) -> u16 {
    let body: String = pseudo_random_bytes(BODY_BYTES)
        .into_iter()
        .map(|byte| char::from(b'a' + byte % 26))
        .collect();
    proxy.send_request(&request("order", 4.0, &body)).0
}

/// Guards against a retry that is decided within the deduplication window and that a slow endpoint gets after it, from
/// the proxy or from the socket's send buffer: the endpoint has forgotten the key by then and executes it again.
#[test]
fn retry_that_an_endpoint_reads_late_is_not_executed_after_the_window() {
    let endpoints = Arc::new(Endpoints::default());
    let failing = endpoints.accept(listener_with_receive_buffer(65_536), false);
    let late = endpoints.accept(listener_with_receive_buffer(4096), true);
    let (_discovery, proxy) = proxy_with_window(&[failing, late], WINDOW, 200.0);
    // Connections in use have larger send buffers, which take a whole request that the endpoint has not read.
    for _ in 0..16 {
        assert_eq!(send_order(&proxy), 200);
    }
    *endpoints.disrupted.lock().unwrap() = true;
    let before = endpoints.count();
    thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..3 {
                    send_order(&proxy);
                }
            });
        }
    });
    sleep_ms(DELAY_MS);
    assert!(endpoints.count() > before, "requests were executed");
    let late = endpoints.executed_after_window();
    assert!(late.is_empty(), "executed twice: {late:?}");
}

/// Accepts the queued connections and then later ones, and records what any of them receives.
fn record_received(listener: TcpListener) -> Arc<Mutex<Vec<u8>>> {
    let received = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&received);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let recorded = Arc::clone(&recorded);
            thread::spawn(move || {
                let mut buffer = [0; 1024];
                while let Ok(count @ 1..) = stream.read(&mut buffer) {
                    recorded.lock().unwrap().extend_from_slice(&buffer[..count]);
                }
            });
        }
    });
    received
}

/// Sends a request whose retry gets a connection after the window, and checks that the retry is not sent. `while_waiting`
/// is called before the window ends.
fn check_retry_on_late_connection(while_waiting: impl Fn(&ProxyProcess)) {
    // A connection to a full accept queue is established a second later, when its first packet is sent again.
    let window = Duration::from_millis(800);
    let observed_for = Duration::from_millis(1800);
    let failing = TestEndpoint::always_answering(SERVER_ERROR.to_vec());
    for round in 0..2 {
        let (listener, late, queued) = full_accept_queue();
        // The proxy's choice depends on its seed alone, so each order is tried.
        let mut addresses = [failing.address, late];
        addresses.rotate_left(round);
        let (_discovery, proxy) = proxy_with_window(&addresses, window, 3000.0);
        let before = failing.received_count();
        let mut client = proxy.connect();
        let sent = Instant::now();
        client.write_all(&request("order", 4.0, "")).unwrap();
        sleep_ms(300);
        if failing.received_count() == before {
            // The first attempt went to the other endpoint.
            continue;
        }
        drop(queued);
        let received = record_received(listener);
        while_waiting(&proxy);
        let status = read_message(&mut client).map_or(0, |(head, _)| status_code(&head));
        assert_eq!(status, 503, "given up; all endpoints know its key");
        thread::sleep(observed_for.saturating_sub(sent.elapsed()));
        let received = received.lock().unwrap();
        assert!(
            received.is_empty(),
            "sent: {}",
            String::from_utf8_lossy(&received)
        );
        return;
    }
    panic!("the failing endpoint was never tried first");
}

/// Guards against a retry that is decided within the deduplication window, and whose connection is established only
/// after it.
#[test]
fn retry_whose_connection_is_late_is_not_sent_after_the_window() {
    check_retry_on_late_connection(|_| ());
}

/// Guards against a retry that is sent after a pause of the proxy, in which the window ended and the connection was
/// established: events are handled before timers.
#[test]
fn retry_is_not_sent_after_a_pause_beyond_the_window() {
    check_retry_on_late_connection(|proxy| {
        proxy.signal(Signal::STOP);
        sleep_ms(1000);
        proxy.signal(Signal::CONT);
    });
}
