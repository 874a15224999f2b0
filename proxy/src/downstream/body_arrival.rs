//! When the bytes of a request body arrived, whether or not they have been read yet.

/// How often the socket is examined for the end of a body of unknown length, as that means to decode all that it holds.
const CHECK_INTERVAL_MS: f64 = 50.0;

/// The most that a client's machine holds of what the client has written: the usual limit of a send buffer.
pub(super) const MAX_BACKLOG_BYTES: usize = 4 * 1024 * 1024;
/// How long after a read the bytes that its room lets in have come, in milliseconds: several round trips.
pub const SETTLING_MS: f64 = 20.0;

/// How much of a body had arrived at some time.
struct Checkpoint {
    at: f64,
    arrived_bytes: usize,
}

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
    /// When the client had surely not written all of the body yet.
    unfinished_at: f64,
    /// Bytes read from the socket so far, and when the last of them were.
    read_bytes: usize,
    last_read_at: f64,
    /// How many bytes had arrived at a time at which the client had perhaps written all of them.
    checkpoint: Checkpoint,
    /// How many bytes had arrived right after some were read to see whether more take their place.
    arrived_at_probe: Option<usize>,
}

impl BodyArrival {
    /// Starts with the arrival of the head.
    pub fn new(now: f64) -> Self {
        BodyArrival {
            unread_bytes: 0,
            last_arrived_at: now,
            received_at: None,
            checked_at: now,
            unfinished_at: now,
            read_bytes: 0,
            last_read_at: now,
            checkpoint: Checkpoint {
                at: now,
                arrived_bytes: 0,
            },
            arrived_at_probe: None,
        }
    }

    /// Records that the client has not written all of the body yet: the socket is empty, or takes more than has come.
    pub fn record_unfinished(&mut self, now: f64) {
        self.unfinished_at = now;
        self.arrived_at_probe = None;
    }

    /// Notices that more has arrived since the checkpoint than the client's machine could hold then.
    fn advance_checkpoint(&mut self, now: f64) {
        let arrived_bytes = self.read_bytes + self.unread_bytes;
        if arrived_bytes > self.checkpoint.arrived_bytes + MAX_BACKLOG_BYTES {
            self.unfinished_at = self.unfinished_at.max(self.checkpoint.at);
            self.checkpoint = Checkpoint {
                at: now,
                arrived_bytes,
            };
        }
    }

    /// Whether bytes that wait at the client's machine have had the time to take the place of those read last.
    pub fn is_settled(&self, now: f64) -> bool {
        now - self.last_read_at >= SETTLING_MS
    }

    /// When the client had surely not written all of the body yet. It may have since, if its machine holds the rest.
    pub fn unfinished_at(&self) -> f64 {
        self.unfinished_at
    }

    /// Begins a probe: bytes were read, which left this many in the socket, to see whether more take their place.
    pub fn begin_probe(&mut self, unread_bytes: usize) {
        self.arrived_at_probe = Some(self.read_bytes + unread_bytes);
    }

    /// Ends a probe, with this many bytes in the socket. Returns whether more have arrived since; none without a probe.
    pub fn end_probe(&mut self, unread_bytes: usize) -> Option<bool> {
        let arrived_bytes = self.read_bytes + unread_bytes;
        let arrived_at_probe = self.arrived_at_probe.take()?;
        Some(arrived_bytes > arrived_at_probe)
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
        self.read_bytes += read_bytes;
        self.last_read_at = now;
        self.advance_checkpoint(now);
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
