//! HTTP/1.1 messages, as far as the stand-ins need them.

use std::io::{self, Read};

/// A message that has been read whole.
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        find(&self.headers, name)
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

fn end() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads from a connection and keeps what lies behind a message for the next one.
#[derive(Default)]
pub struct Reader {
    bytes: Vec<u8>,
}

impl Reader {
    fn fill(&mut self, stream: &mut impl Read) -> io::Result<()> {
        let mut piece = [0; 16 * 1024];
        match stream.read(&mut piece)? {
            0 => Err(end()),
            read => {
                self.bytes.extend_from_slice(&piece[..read]);
                Ok(())
            }
        }
    }

    /// Whether bytes of a further message have been read already.
    pub fn has_bytes(&self) -> bool {
        !self.bytes.is_empty()
    }

    fn take(&mut self, stream: &mut impl Read, count: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < count {
            self.fill(stream)?;
        }
        Ok(self.bytes.drain(..count).collect())
    }

    fn take_line(&mut self, stream: &mut impl Read) -> io::Result<String> {
        loop {
            if let Some(at) = self.bytes.windows(2).position(|pair| pair == b"\r\n") {
                let line = self.take(stream, at + 2)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill(stream)?;
        }
    }

    /// Reads a message whole.
    ///
    /// # Errors
    ///
    /// The connection ended or broke before the message's last byte.
    pub fn read(&mut self, stream: &mut impl Read) -> io::Result<Message> {
        let first_line = self.take_line(stream)?;
        let mut headers = Vec::new();
        loop {
            let line = self.take_line(stream)?;
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_string(), value.trim().to_string()));
            }
        }
        let chunked = find(&headers, "transfer-encoding").is_some_and(|coding| coding == "chunked");
        let mut body = Vec::new();
        if chunked {
            loop {
                let line = self.take_line(stream)?;
                let size = usize::from_str_radix(line.trim(), 16).map_err(|_| end())?;
                if size == 0 {
                    while !self.take_line(stream)?.is_empty() {}
                    break;
                }
                body.extend(self.take(stream, size)?);
                self.take(stream, 2)?;
            }
        } else if let Some(length) = find(&headers, "content-length") {
            body = self.take(stream, length.parse().map_err(|_| end())?)?;
        }
        Ok(Message {
            first_line,
            headers,
            body,
        })
    }
}

/// A response with a body.
pub fn response(status: u16, body: &str) -> Vec<u8> {
    let length = body.len();
    format!("HTTP/1.1 {status} Answer\r\nContent-Length: {length}\r\n\r\n{body}").into_bytes()
}

/// A digest of a body (FNV-1a), to tell bodies apart in the record.
pub fn digest(body: &[u8]) -> u64 {
    body.iter().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
