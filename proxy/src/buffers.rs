//! Buffers of one size, used again from a bounded pool.

use std::io::{self, Read, Write};

/// Head of a message at most: what common servers allow.
pub const HEAD_MOST: usize = 8 * 1024;
/// Body of a message that is held whole: the protocol's figure.
pub const BODY_MOST: usize = 64 * 1024;
/// Body of a message that is passed on in pieces at most: the operators' figure.
pub const BODY_LONG: usize = 32 * 1024 * 1024;
/// A whole message, and room for the chunk heads that come with its end.
const SIZE: usize = HEAD_MOST + BODY_MOST + 4 * 1024;
/// Never read into: room for the lines that the node adds to a head that it passes on.
const SPARE: usize = 512;
/// Buffers kept back for answers: danger, were requests and pushes to take the last one, nothing that is in
/// could be answered and nothing would ever be given back.
const RESERVE: usize = 8;

pub struct Buffer {
    bytes: Box<[u8]>,
    filled: usize,
}

/// What a read has brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Filled {
    Some,
    /// Nothing for now.
    Later,
    /// The other side has ended its sending, in good order.
    Ended,
    /// The connection broke. Danger: what only its connection's end makes whole would be taken for whole.
    Broken,
    Full,
}

impl Buffer {
    /// One of an own size, outside the pool, for whoever keeps it for good.
    pub fn of(size: usize) -> Self {
        Buffer {
            bytes: vec![0; size].into_boxed_slice(),
            filled: 0,
        }
    }

    /// Twice the size, up to a bound; whether it has grown.
    pub fn grow(&mut self, most: usize) -> bool {
        let (now, next) = (self.bytes.len(), (2 * self.bytes.len()).min(most + SPARE));
        if next <= now {
            return false;
        }
        let mut bytes = std::mem::take(&mut self.bytes).into_vec();
        bytes.resize(next, 0);
        self.bytes = bytes.into_boxed_slice();
        true
    }

    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    pub fn held(&self) -> &[u8] {
        &self.bytes[..self.filled]
    }

    pub fn held_mut(&mut self) -> &mut [u8] {
        &mut self.bytes[..self.filled]
    }

    pub fn fill(&mut self, from: &mut impl Read) -> Filled {
        let most = self.bytes.len() - SPARE;
        if self.filled >= most {
            return Filled::Full;
        }
        loop {
            return match from.read(&mut self.bytes[self.filled..most]) {
                Ok(0) => Filled::Ended,
                Ok(n) => {
                    self.filled += n;
                    Filled::Some
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => Filled::Later,
                Err(_) => Filled::Broken,
            };
        }
    }

    /// Takes out the bytes from `from` to `to`; what stands behind them moves up.
    pub fn cut(&mut self, from: usize, to: usize) {
        if from < to {
            self.bytes.copy_within(to..self.filled, from);
            self.filled -= to - from;
        }
    }

    /// Adds bytes; whether they fitted.
    pub fn add(&mut self, more: &[u8]) -> bool {
        let Some(room) = self.bytes.get_mut(self.filled..self.filled + more.len()) else {
            return false;
        };
        room.copy_from_slice(more);
        self.filled += more.len();
        true
    }

    /// Writes what stands from `sent` on, as far as it goes now; whether all has gone.
    pub fn drain(&self, sent: &mut usize, to: &mut impl Write) -> io::Result<bool> {
        while *sent < self.filled {
            match to.write(&self.bytes[*sent..self.filled]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => *sent += n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(e) => return Err(e),
            }
        }
        Ok(true)
    }
}

pub struct Buffers {
    free: Vec<Box<[u8]>>,
    made: usize,
    most: usize,
}

impl Buffers {
    pub fn new(bytes: usize) -> Self {
        let mut buffers = Buffers {
            free: Vec::new(),
            made: 0,
            most: 0,
        };
        buffers.resize(bytes);
        buffers
    }

    /// So many bytes from now on; what is out beyond that is let go as it comes back.
    pub fn resize(&mut self, bytes: usize) {
        self.most = (bytes / SIZE).max(2 * RESERVE);
        while self.made > self.most && self.free.pop().is_some() {
            self.made -= 1;
        }
    }

    /// One for a request or a push.
    pub fn take(&mut self) -> Option<Buffer> {
        if self.free.len() + self.most.saturating_sub(self.made) <= RESERVE {
            return None;
        }
        self.take_last()
    }

    /// One for an answer.
    pub fn take_last(&mut self) -> Option<Buffer> {
        let bytes = self.free.pop().or_else(|| {
            self.made = Some(self.made + 1).filter(|made| *made <= self.most)?;
            Some(Buffer::of(SIZE).bytes)
        })?;
        Some(Buffer { bytes, filled: 0 })
    }

    pub fn give(&mut self, buffer: Buffer) {
        if self.made > self.most {
            self.made -= 1;
        } else {
            self.free.push(buffer.bytes);
        }
    }
}
