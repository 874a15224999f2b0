//! Stand-ins for endpoints, each on a loopback port of its own.

use super::body::{checksum, decode_chunked};
use super::http::{header_value, ok_response, read_message};
use super::wait::TEST_TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{self, Sender};
use std::sync::{Arc, Mutex};
use std::thread;

/// A request as an endpoint received it.
pub(crate) struct ReceivedRequest {
    pub(crate) head: String,
    pub(crate) body: Vec<u8>,
}

/// An endpoint that handles each complete request as its script says: the script gets the connection, and returns
/// whether to keep it open.
pub(crate) struct TestEndpoint {
    pub(crate) address: SocketAddr,
    /// All requests that have come, in order.
    pub(crate) received: Arc<Mutex<Vec<ReceivedRequest>>>,
    /// How many connections are open.
    pub(crate) open_connections: Arc<AtomicUsize>,
}

impl TestEndpoint {
    /// An endpoint with a script of its own.
    pub(crate) fn new(
        script: impl Fn(&mut TcpStream, &ReceivedRequest) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let endpoint = TestEndpoint {
            address: listener.local_addr().expect("bound"),
            received: Arc::new(Mutex::new(Vec::new())),
            open_connections: Arc::new(AtomicUsize::new(0)),
        };
        let script = Arc::new(script);
        let received = endpoint.received.clone();
        let open_connections = endpoint.open_connections.clone();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let script = script.clone();
                let received = received.clone();
                let open_connections = open_connections.clone();
                open_connections.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    while let Some((head, body)) = read_message(&mut stream) {
                        // Counted before it is answered, so that whoever has the answer sees it counted.
                        received.lock().unwrap().push(ReceivedRequest {
                            head: head.clone(),
                            body: body.clone(),
                        });
                        if !script(&mut stream, &ReceivedRequest { head, body }) {
                            break;
                        }
                    }
                    drop(stream);
                    open_connections.fetch_sub(1, Ordering::SeqCst);
                });
            }
        });
        endpoint
    }

    /// An endpoint that always answers the same bytes.
    pub(crate) fn always_answering(response: Vec<u8>) -> Self {
        TestEndpoint::new(move |stream, _| stream.write_all(&response).is_ok())
    }

    /// An endpoint that answers each request with its own body.
    pub(crate) fn echoing() -> Self {
        TestEndpoint::new(|stream, received| {
            let body = String::from_utf8_lossy(&received.body).into_owned();
            stream.write_all(&ok_response(&body)).is_ok()
        })
    }

    /// An endpoint that never answers, and closes once the proxy does.
    pub(crate) fn silent() -> Self {
        TestEndpoint::new(|stream, _| stream.read(&mut [0]).is_ok_and(|n| n > 0))
    }

    /// An endpoint that answers each request only once it is given the bytes of a response.
    pub(crate) fn answering_on_command() -> (Self, Sender<Vec<u8>>) {
        let (responses, next_response) = mpsc::channel::<Vec<u8>>();
        let next_response = Mutex::new(next_response);
        let endpoint = TestEndpoint::new(move |stream, _| {
            let response = next_response
                .lock()
                .unwrap()
                .recv_timeout(TEST_TIMEOUT)
                .unwrap_or_default();
            !response.is_empty() && stream.write_all(&response).is_ok()
        });
        (endpoint, responses)
    }

    /// An endpoint that reads long requests of either framing, and answers their length and checksum.
    pub(crate) fn answering_checksums() -> Self {
        TestEndpoint::new(|stream, received| {
            let mut body = received.body.clone();
            if header_value(&received.head, "Transfer-Encoding").is_some() {
                let mut rest = Vec::new();
                while !rest.ends_with(b"0\r\n\r\n") {
                    let mut piece = [0; 65_536];
                    match stream.read(&mut piece) {
                        Ok(n @ 1..) => rest.extend_from_slice(&piece[..n]),
                        _ => return false,
                    }
                }
                body = decode_chunked(&rest);
            }
            let response = format!("{} {}", body.len(), checksum(&body));
            stream.write_all(&ok_response(&response)).is_ok()
        })
    }

    /// How many requests have come, load probes among them.
    pub(crate) fn received_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}
