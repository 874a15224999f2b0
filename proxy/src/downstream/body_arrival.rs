//! When the bytes of a request body arrived, whether or not they have been read yet.

/// How often the socket is examined for the end of a body of unknown length, as that means to decode all that it holds.
const CHECK_INTERVAL_MS: f64 = 50.0;

/// Arrival of a body's bytes at this machine. While an endpoint takes no more, they wait in the socket, so the time of
/// the last read says little.
pub struct BodyArrival {
    /// Bytes in the socket when it was last looked at.
    unread_bytes: usize,
    /// When bytes were last seen to have arrived.
    last_arrived_at: f64,
    /// When the last byte of the body arrived, once that is known. Later bytes belong to the next request.
    received_at: Option<f64>,
    /// When the socket was last examined for the end of the body.
    checked_at: f64,
}

impl BodyArrival {
    /// Starts with the arrival of the head.
    pub fn new(now: f64) -> Self {
        BodyArrival {
            unread_bytes: 0,
            last_arrived_at: now,
            received_at: None,
            checked_at: now,
        }
    }

    /// Bytes in the socket when it was last looked at.
    pub fn unread_bytes(&self) -> usize {
        self.unread_bytes
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

    /// Whether to examine the socket for the end of the body before more arrivals are recorded. If so, the caller does.
    pub fn begin_check(&mut self, now: f64) -> bool {
        let is_due = self.received_at.is_none() && now - self.checked_at >= CHECK_INTERVAL_MS;
        if is_due {
            self.checked_at = now;
        }
        is_due
    }

    /// Records that the bytes that have arrived complete the body. Returns when its last byte arrived.
    pub fn record_complete(&mut self) -> f64 {
        *self.received_at.get_or_insert(self.last_arrived_at)
    }

    /// When the last byte of the body arrived, once that is known.
    pub fn received_at(&self) -> Option<f64> {
        self.received_at
    }

    /// When the last byte of the body arrived, unless more of it is still to come.
    pub fn last_arrived_at(&self) -> f64 {
        self.received_at.unwrap_or(self.last_arrived_at)
    }
}
