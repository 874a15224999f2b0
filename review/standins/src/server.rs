//! A server: it begins a request when the last byte has come, and answers on the same connection.

use crate::http::{Message, Reader};
use crate::system;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// How a server reads a request.
#[derive(Clone, Copy, Default)]
pub struct Pace {
    /// How long it leaves a request unread, from the request's first byte on.
    pub begins_after: Duration,
    /// How long it pauses before each further read, and how much it reads at once; none reads on at once.
    pub pieces: Option<(Duration, usize)>,
}

/// What a server does.
pub trait Behaviour: Send + Sync + 'static {
    /// How the next request is read.
    fn pace(&self) -> Pace;

    /// Runs a request and returns the answer, or nothing to close the connection.
    fn run(&self, request: &Message) -> Option<Vec<u8>>;
}

/// How a server's sockets are set up.
#[derive(Clone, Copy, Default)]
pub struct SocketOptions {
    pub receive_buffer: Option<i32>,
    pub segment_size: Option<i32>,
}

/// A loopback address of this server's own. The system remembers figures of earlier connections by address, and sizes
/// the send buffers of later ones by them.
fn fresh_host() -> Ipv4Addr {
    static STARTED: AtomicU8 = AtomicU8::new(0);
    let number = STARTED.fetch_add(1, Ordering::Relaxed);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let second = since_epoch.map_or(0, |time| time.as_secs());
    Ipv4Addr::new(127, 16 + (second % 200) as u8, high ^ low, 1 + number)
}

/// Starts a server; returns its address.
pub fn start(options: SocketOptions, behaviour: Arc<impl Behaviour>) -> SocketAddr {
    let listener = TcpListener::bind((fresh_host(), 0)).expect("a free port");
    if let Some(bytes) = options.receive_buffer {
        system::set_receive_buffer(&listener, bytes);
    }
    if let Some(bytes) = options.segment_size {
        system::set_segment_size(&listener, bytes);
    }
    let address = listener.local_addr().expect("its address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let behaviour = Arc::clone(&behaviour);
            thread::spawn(move || serve(stream, &*behaviour));
        }
    });
    address
}

/// A connection that is read at a pace.
struct Paced<'a> {
    stream: &'a TcpStream,
    pace: Pace,
}

impl Read for Paced<'_> {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let Some((pause, bytes)) = self.pace.pieces else {
            return self.stream.read(buffer);
        };
        thread::sleep(pause);
        let length = buffer.len().min(bytes);
        self.stream.read(&mut buffer[..length])
    }
}

fn serve(mut stream: TcpStream, behaviour: &impl Behaviour) {
    let _ = stream.set_nodelay(true);
    let mut reader = Reader::default();
    loop {
        // The first byte is looked at, and taken with the rest.
        if !reader.has_bytes() && !matches!(stream.peek(&mut [0]), Ok(1..)) {
            return;
        }
        let pace = behaviour.pace();
        thread::sleep(pace.begins_after);
        let Ok(request) = reader.read(&mut Paced {
            stream: &stream,
            pace,
        }) else {
            return;
        };
        let Some(answer) = behaviour.run(&request) else {
            return;
        };
        if stream.write_all(&answer).is_err() {
            return;
        }
    }
}
