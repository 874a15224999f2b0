//! Connections of the rig's side: requests in and answers out at servers and at discovery, the other way
//! round at clients.

use mio::net::TcpStream;
use std::io::{ErrorKind, Read, Write};

/// What a message's head says.
pub struct Head {
    /// Method and path of a request; nothing of an answer.
    pub path: String,
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub keep: bool,
    pub body: Vec<u8>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n.eq_ignore_ascii_case(name))
            .map(|(_, v)| v.as_str())
    }
}

/// One connection, with what was read of it and what is still to be written.
pub struct Conn {
    pub stream: TcpStream,
    inbox: Vec<u8>,
    out: Vec<u8>,
    /// Read to its end, or broken.
    pub over: bool,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            inbox: Vec::new(),
            out: Vec::new(),
            over: false,
        }
    }

    /// Reads whatever has come.
    pub fn fill(&mut self) {
        let mut piece = [0; 16 * 1024];
        loop {
            match self.stream.read(&mut piece) {
                Ok(0) => break self.over = true,
                Ok(n) => self.inbox.extend(&piece[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(e) if e.kind() == ErrorKind::NotConnected => break,
                Err(_) => break self.over = true,
            }
        }
    }

    /// Takes out the next whole message. A broken one ends the connection.
    pub fn take(&mut self, answer: bool) -> Option<Head> {
        let mut headers = [httparse::EMPTY_HEADER; 64];
        let owned = |headers: &[httparse::Header]| -> Vec<(String, String)> {
            let pair = |h: &httparse::Header| {
                (
                    h.name.to_string(),
                    String::from_utf8_lossy(h.value).into_owned(),
                )
            };
            headers.iter().map(pair).collect()
        };
        let (ends, head) = if answer {
            let mut read = httparse::Response::new(&mut headers);
            match read.parse(&self.inbox) {
                Ok(httparse::Status::Complete(ends)) => {
                    let status = read.code.unwrap_or(0);
                    (
                        ends,
                        Head {
                            path: String::new(),
                            status,
                            headers: owned(read.headers),
                            keep: true,
                            body: Vec::new(),
                        },
                    )
                }
                Ok(_) => return None,
                Err(_) => return self.broken(),
            }
        } else {
            let mut read = httparse::Request::new(&mut headers);
            match read.parse(&self.inbox) {
                Ok(httparse::Status::Complete(ends)) => {
                    let path = read.path.unwrap_or_default().to_string();
                    (
                        ends,
                        Head {
                            path,
                            status: 0,
                            headers: owned(read.headers),
                            keep: true,
                            body: Vec::new(),
                        },
                    )
                }
                Ok(_) => return None,
                Err(_) => return self.broken(),
            }
        };
        let body = head
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0_usize);
        if self.inbox.len() < ends + body {
            return None;
        }
        let body = self.inbox.drain(..ends + body).skip(ends).collect();
        let keep = !head
            .get("connection")
            .is_some_and(|v| v.eq_ignore_ascii_case("close"));
        Some(Head { keep, body, ..head })
    }

    fn broken(&mut self) -> Option<Head> {
        self.over = true;
        None
    }

    pub fn say(&mut self, text: &str) {
        self.out.extend(text.as_bytes());
        self.flush();
    }

    /// Writes what can be written now.
    pub fn flush(&mut self) {
        while !self.out.is_empty() {
            match self.stream.write(&self.out) {
                Ok(0) => return self.over = true,
                Ok(n) => drop(self.out.drain(..n)),
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::NotConnected) => {
                    return
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return self.over = true,
            }
        }
    }
}
