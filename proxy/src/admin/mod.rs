//! The operators' door: one call to a connection, answered in the turn in which its head is whole.

mod calls;
pub mod disabled_endpoints;

use crate::buffers::{Buffer, ReadOutcome, MAX_HEAD_BYTES};
use crate::endpoint_list::hashed;
use crate::http;
use crate::timers::TimerKey;
use crate::tokens::{CALLERS, CALLERS_MOST, DOOR};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Token};
use std::io::{self, Read, Write};
use std::net::Shutdown;

/// A call is one short line: whoever has not made it within this is sent away.
const CALL_WITHIN: f64 = 3000.0;
/// How long an answered call is still read from, so that its answer is not reset away, and how much.
const LINGER: f64 = 1000.0;
const LINGER_BYTES: usize = 256 * 1024;
/// How soon accepting is tried again where no descriptor was left.
const AGAIN: f64 = 50.0;

struct Caller {
    stream: TcpStream,
    said: Buffer,
    answer: Vec<u8>,
    sent: usize,
    /// Bytes read since the answer was out; none before.
    past: Option<usize>,
    came: f64,
    timer: Option<TimerKey>,
}

impl Caller {
    /// Who makes room first: the answered, then whoever has said least, then whoever came first.
    fn worth(&self) -> (bool, usize, f64) {
        (self.past.is_none(), self.said.filled().len(), self.came)
    }
}

#[derive(Default)]
pub struct AdminServer {
    listener: Option<TcpListener>,
    callers: [Option<Caller>; CALLERS_MOST],
}

impl AdminServer {
    pub fn new(listener: Option<TcpListener>) -> Self {
        AdminServer {
            listener,
            ..AdminServer::default()
        }
    }
}

/// An id in a path, its percent signs read.
fn decoded(id: &str) -> Option<String> {
    let (mut bytes, mut rest) = (Vec::new(), id.as_bytes());
    while let Some((byte, more)) = rest.split_first() {
        rest = more;
        if *byte == b'%' {
            let digits = more
                .get(..2)
                .filter(|d| d.iter().all(u8::is_ascii_hexdigit))?;
            bytes.push(u8::from_str_radix(std::str::from_utf8(digits).ok()?, 16).ok()?);
            rest = &more[2..];
        } else {
            bytes.push(*byte);
        }
    }
    String::from_utf8(bytes).ok().filter(|id| !id.is_empty())
}

/// Listens at the door's address, and has the loop watch it.
pub fn listen(address: std::net::SocketAddr, registry: &mio::Registry) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address)?;
    registry.register(&mut listener, DOOR, Interest::READABLE)?;
    log::info!("the door is at {}", listener.local_addr()?);
    Ok(listener)
}
