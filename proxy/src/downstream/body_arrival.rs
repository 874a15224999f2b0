//! When the bytes of a request body arrived, whether or not they have been read yet.

/// Arrival of a body's bytes at this machine. While an endpoint takes no more, they wait in the socket, so the time of
/// the last read says little.
pub struct BodyArrival {
    /// Bytes in the socket when it was last looked at.
    unread_bytes: usize,
    /// When bytes were last seen to have arrived.
    last_arrived_at: f64,
}

impl BodyArrival {
    /// Starts with the arrival of the head.
    pub fn new(now: f64) -> Self {
        BodyArrival {
            unread_bytes: 0,
            last_arrived_at: now,
        }
    }

    /// Records how many bytes wait in the socket.
    pub fn record_unread(&mut self, unread_bytes: usize, now: f64) {
        if unread_bytes > self.unread_bytes {
            self.last_arrived_at = now;
        }
        self.unread_bytes = unread_bytes;
    }

    /// Records that bytes have been read from the socket.
    pub fn record_read(&mut self, read_bytes: usize, now: f64) {
        if read_bytes > self.unread_bytes {
            self.last_arrived_at = now;
        }
        self.unread_bytes = self.unread_bytes.saturating_sub(read_bytes);
    }

    /// When bytes were last seen to have arrived.
    pub fn last_arrived_at(&self) -> f64 {
        self.last_arrived_at
    }
}
