//! Whether a client may have written all of a request whose end has not come, as it waits at the client's machine while
//! this one takes no more.

use super::body_arrival::MAX_BACKLOG_BYTES;
use super::connection::DownstreamConnection;
use super::connections::unread_bytes;
use super::DownstreamConnections;
use crate::buffers::{Buffer, BufferPool, ReadOutcome};
use crate::slot_table::DownstreamKey;
use mio::net::TcpStream;

/// Whether a client has written all of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteProgress {
    /// It has not.
    Unfinished,
    /// It may have: its machine holds bytes that do not fit here.
    MayBeFinished,
    /// Known after [`super::SETTLING_MS`], when the caller asks again.
    Unknown,
}

impl DownstreamConnections {
    /// When a client had surely not written all of its request yet.
    pub fn request_unfinished_at(&self, key: DownstreamKey) -> Option<f64> {
        let request = self.table.get(key)?.request.as_ref()?;
        Some(request.arrival.unfinished_at())
    }

    /// Finds out whether a client has written all of its request, of which more is expected. Reads ahead if need be.
    pub fn write_progress(
        &mut self,
        key: DownstreamKey,
        buffers: &mut BufferPool,
        now_ms: f64,
    ) -> WriteProgress {
        let Some(client) = self.table.get_mut(key) else {
            return WriteProgress::Unfinished;
        };
        let progress = client.write_progress(buffers, now_ms);
        if let (WriteProgress::Unfinished, Some(request)) = (progress, &mut client.request) {
            request.arrival.record_unfinished(now_ms);
        }
        progress
    }
}

/// Reads until the socket is empty or no more can be held here.
fn read_ahead(
    stream: &mut TcpStream,
    buffer: &mut Buffer,
    buffers: &mut BufferPool,
) -> ReadOutcome {
    loop {
        match buffer.read_from(stream) {
            ReadOutcome::Received => {}
            ReadOutcome::BufferFull if buffers.grow_to_read_ahead(buffer) => {}
            read_outcome => return read_outcome,
        }
    }
}

impl DownstreamConnection {
    fn write_progress(&mut self, buffers: &mut BufferPool, now_ms: f64) -> WriteProgress {
        let unread = unread_bytes(&self.stream);
        let is_beyond_backlog = self
            .missing_bytes(unread)
            .is_some_and(|missing| missing > MAX_BACKLOG_BYTES);
        let Some(request) = &mut self.request else {
            return WriteProgress::Unfinished;
        };
        if is_beyond_backlog {
            return WriteProgress::Unfinished;
        }
        match request.arrival.end_probe(unread) {
            Some(true) => WriteProgress::MayBeFinished,
            Some(false) => WriteProgress::Unfinished,
            None if !request.arrival.is_settled(now_ms) => WriteProgress::Unknown,
            None if unread == 0 => WriteProgress::Unfinished,
            None => self.begin_probe(buffers, now_ms),
        }
    }

    /// Empties the socket, so that it takes what waits at the client's machine.
    fn begin_probe(&mut self, buffers: &mut BufferPool, now_ms: f64) -> WriteProgress {
        let (Some(buffer), Some(request)) = (&mut self.read_buffer, &mut self.request) else {
            return WriteProgress::Unfinished;
        };
        buffers.expand(buffer);
        let length_before = buffer.filled().len();
        let read_outcome = read_ahead(&mut self.stream, buffer, buffers);
        let read = buffer.filled().len() - length_before;
        request.body_bytes += read;
        request.arrival.record_read(read, now_ms);
        if matches!(read_outcome, ReadOutcome::Closed | ReadOutcome::Failed) {
            // Handled when the body is read on.
            return WriteProgress::Unfinished;
        }
        let unread = unread_bytes(&self.stream);
        request.arrival.begin_probe(unread);
        // Only an empty socket surely takes more.
        if unread > 0 || self.has_arrived_whole(unread) {
            return WriteProgress::MayBeFinished;
        }
        WriteProgress::Unknown
    }

    /// How much of the body has not arrived, if its length is known.
    fn missing_bytes(&self, unread: usize) -> Option<usize> {
        let message = &self.request.as_ref()?.message;
        let undecoded = self.read_buffer.as_ref()?.filled().len() - message.body_end;
        let arrived = message.body_received() + undecoded + unread;
        Some(message.body_length()?.saturating_sub(arrived))
    }
}
