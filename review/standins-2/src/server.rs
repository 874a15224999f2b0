//! Stand-in servers: a thread for each connection, and a function that answers.

use crate::discovery::Entry;
use crate::http::{Reader, Request};
use crate::record::Record;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A request that came whole to a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub server: String,
    pub id: String,
    /// When its first byte was read.
    pub began_at: f64,
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// Answers a request; returns whether the connection goes on.
pub type Answer = dyn Fn(&Request, &mut TcpStream) -> io::Result<bool> + Send + Sync;

pub struct Server {
    pub address: SocketAddr,
}

impl Server {
    /// The server's entry in a list.
    pub fn entry(&self) -> Entry {
        Entry {
            dial: self.address,
            site: "tallinn",
            class: "big-box",
            block: 1,
            health: "Ready",
            born_ms: 0,
        }
    }
}

impl Server {
    pub fn start(record: &Record, name: &str, arrivals: &Arrivals, answer: Arc<Answer>) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().unwrap();
        let (record, name, arrivals) = (record.clone(), name.to_string(), Arc::clone(arrivals));
        let server = Server { address };
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, name, arrivals) =
                    (record.clone(), name.clone(), Arc::clone(&arrivals));
                let answer = Arc::clone(&answer);
                std::thread::spawn(move || serve(stream, &record, &name, &arrivals, &*answer));
            }
        });
        server
    }
}

/// Serves one connection until it ends.
pub fn serve(stream: TcpStream, record: &Record, name: &str, arrivals: &Arrivals, answer: &Answer) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::new(stream);
    loop {
        let mut began_at = 0.0;
        let Ok(Some(request)) = reader.request(|| began_at = record.now()) else {
            return;
        };
        let (id, class) = (
            request.id(),
            request
                .header("x-priority-class")
                .unwrap_or("-")
                .to_string(),
        );
        if id != "-" {
            record.line(&format!("server {name} got {class} {id} whole"));
            arrivals.lock().unwrap().push(Arrival {
                server: name.to_string(),
                id,
                began_at,
            });
        }
        if !answer(&request, &mut reader.stream).unwrap_or(false) {
            return;
        }
    }
}

/// An answer of status 200 with a body.
pub fn ok(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A sound server's answer: 200, with its name and the request's id as the body.
pub fn answer_soundly(name: &str, request: &Request, stream: &mut TcpStream) -> io::Result<bool> {
    stream.write_all(&ok(&format!("{name} {}", request.id())))?;
    Ok(true)
}
