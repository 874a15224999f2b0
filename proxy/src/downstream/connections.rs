//! The table of client connections and its interface to other modules, which refer to a connection by its key. A key
//! may be reused once its connection is closed.

use super::connection::DownstreamConnection;
use crate::buffers::{Buffer, BufferPool};
use crate::descriptors::DescriptorUsage;
use crate::http::Message;
use crate::metrics::access::RequestOutcome;
use crate::slot_table::{DownstreamKey, SlotTable};
use crate::streaming::Upload;
use crate::timers::TimerKey;
use crate::turn::StepBudget;
use mio::net::{TcpListener, TcpStream};

/// The most that is decoded ahead to see whether a body of unknown length has arrived whole.
const MAX_PEEKED_BYTES: usize = 1024 * 1024;

/// All client connections, and their listener.
pub struct DownstreamConnections {
    pub(super) listener: Option<TcpListener>,
    /// Whether the listener is registered with the event loop.
    pub(super) listening: bool,
    pub(super) table: SlotTable<DownstreamKey, DownstreamConnection>,
    pub(super) capacity: usize,
    /// Connections may be waiting to be accepted.
    pub(super) accept_pending: bool,
    pub(super) accept_retry: Option<TimerKey>,
    /// Connections accepted in this turn of the event loop.
    pub(super) accept_budget: StepBudget,
    /// Connections on which a read or write may make progress.
    pub(super) ready: Vec<DownstreamKey>,
    closed_by_peer: Vec<DownstreamKey>,
}

impl DownstreamConnections {
    /// An empty table for at most `capacity` connections.
    pub fn new(listener: TcpListener, capacity: usize) -> Self {
        DownstreamConnections {
            listener: Some(listener),
            listening: false,
            table: SlotTable::new(capacity),
            capacity,
            accept_pending: false,
            accept_retry: None,
            accept_budget: StepBudget::default(),
            ready: Vec::new(),
            closed_by_peer: Vec::new(),
        }
    }

    /// The listener; none once it is closed.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Changes the capacity; excess connections stay open until they end or are closed.
    pub fn set_capacity(&mut self, capacity: usize) {
        self.capacity = capacity;
        self.table.set_capacity(capacity);
    }

    /// Whether there are more connections than the capacity allows.
    pub fn is_over_capacity(&self) -> bool {
        self.table.is_over_capacity()
    }

    /// Whether no client is connected.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty()
    }

    /// How many descriptors busy and idle clients hold.
    pub fn descriptor_usage(&self, now_ms: f64) -> DescriptorUsage {
        let idle_ms = || {
            let idle = self.table.values().filter(|client| !client.is_busy());
            idle.map(|client| now_ms - client.idle_since_ms)
        };
        DescriptorUsage {
            clients: self.table.len(),
            busy_clients: self.table.len() - idle_ms().count(),
            youngest_idle_ms: idle_ms().min_by(f64::total_cmp),
            oldest_idle_ms: idle_ms().max_by(f64::total_cmp),
            ..DescriptorUsage::default()
        }
    }

    /// Whether no connection is ready, and none can be accepted now.
    pub fn none_ready(&self) -> bool {
        self.ready.is_empty() && (self.table.is_full() || !self.accept_pending)
    }

    /// Whether any client has a request in flight or a response being written.
    pub fn any_busy(&self) -> bool {
        !self
            .table
            .keys_where(DownstreamConnection::is_busy)
            .is_empty()
    }

    /// How many admitted requests have an incomplete body.
    pub fn incomplete_requests(&self) -> usize {
        self.table
            .keys_where(|client| client.receipt.is_some() && client.is_receiving_body())
            .len()
    }

    /// A client's request: its buffered bytes, and the message that describes them.
    pub fn request(&self, key: DownstreamKey) -> Option<(&[u8], &Message)> {
        let client = self.table.get(key)?;
        let bytes = client.read_buffer.as_ref()?.filled();
        Some((bytes, &client.request.as_ref()?.message))
    }

    /// Sets the outcome recorded in the access metrics once the response has been written.
    pub fn set_outcome(&mut self, key: DownstreamKey, outcome: RequestOutcome) {
        if let Some(client) = self.table.get_mut(key) {
            client.outcome = Some(outcome);
        }
    }

    /// Whether the client accepts chunked bodies, by the version of its request.
    pub fn accepts_chunked(&self, key: DownstreamKey) -> bool {
        self.table
            .get(key)
            .and_then(|client| client.request.as_ref())
            .is_none_or(|request| request.message.accepts_chunked)
    }

    /// Access to a request body that is being received, for streaming it.
    pub fn upload(&mut self, key: DownstreamKey) -> Option<Upload<'_>> {
        let client = self.table.get_mut(key)?;
        let read_buffer = client.read_buffer.as_mut()?;
        let request = client.request.as_mut()?;
        Some(Upload {
            stream: &mut client.stream,
            read_buffer,
            message: &mut request.message,
            body_target: &mut request.body_target,
            received_bytes: &mut request.body_bytes,
            arrival: &mut request.arrival,
            last_received_at: &mut client.last_progress_ms,
        })
    }

    /// Looks whether more of a request body has arrived. Returns when the last byte arrived, unless more of the body is
    /// still to come.
    pub fn record_arrival(&mut self, key: DownstreamKey, now_ms: f64) -> Option<f64> {
        let client = self.table.get_mut(key)?;
        let request = client.request.as_mut()?;
        let unread = unread_bytes(&client.stream);
        let unread_before = request.arrival.unread_bytes();
        let has_length = request.message.body_length().is_some();
        // A body of unknown length may have been complete before these bytes, which may be another request.
        let is_check_due =
            !has_length && unread > unread_before && request.arrival.begin_check(now_ms);
        if is_check_due && client.has_arrived_whole(unread_before) {
            client.record_complete_request();
        }
        let request = client.request.as_mut()?;
        request.arrival.record_unread(unread, now_ms);
        if has_length && client.has_arrived_whole(unread) {
            client.record_complete_request();
        }
        let request = client.request.as_ref()?;
        Some(request.arrival.last_arrived_at())
    }

    /// When the last byte of a client's request arrived, counting bytes in the socket; none if it has not.
    pub fn request_received_at(&mut self, key: DownstreamKey, now_ms: f64) -> Option<f64> {
        self.record_arrival(key, now_ms)?;
        let client = self.table.get_mut(key)?;
        let arrival = &client.request.as_ref()?.arrival;
        if arrival.received_at().is_none() && client.has_arrived_whole(arrival.unread_bytes()) {
            client.record_complete_request();
        }
        client.request.as_ref()?.arrival.received_at()
    }

    /// The emptied write buffer of a client's response, if everything in it has been written.
    pub fn drained_response_buffer(&mut self, key: DownstreamKey) -> Option<&mut Buffer> {
        let client = self.table.get_mut(key)?;
        let writer = client.writer_mut().filter(|writer| writer.is_drained())?;
        writer.buffer.remove(0..writer.written);
        writer.written = 0;
        Some(&mut writer.buffer)
    }

    /// Frees the unused part of the write buffer of a client's response.
    pub fn shrink_response_buffer(&mut self, key: DownstreamKey, pool: &mut BufferPool) {
        let client = self.table.get_mut(key);
        if let Some(writer) = client.and_then(DownstreamConnection::writer_mut) {
            writer.buffer.remove(0..writer.written);
            writer.written = 0;
            pool.shrink(&mut writer.buffer);
        }
    }

    /// Whether all available bytes of a client's response have been written.
    pub fn has_drained_response(&self, key: DownstreamKey) -> bool {
        self.table
            .get(key)
            .and_then(DownstreamConnection::writer)
            .is_none_or(|writer| writer.is_drained())
    }

    /// Restarts the write timeout when more of a response becomes available, so that a pause of the endpoint does
    /// not count against the client.
    pub fn restart_write_timeout(&mut self, key: DownstreamKey, now_ms: f64) {
        if let Some(client) = self.table.get_mut(key) {
            client.last_progress_ms = now_ms;
        }
    }

    /// Records that all of a streamed response is in the client's write buffer.
    pub fn end_response_source(&mut self, key: DownstreamKey) {
        if let Some(client) = self.table.get_mut(key) {
            client.end_response_source();
        }
    }

    /// Records that a client has closed its side or reset the connection; earlier bytes may still be unread.
    pub fn mark_peer_closed(&mut self, key: DownstreamKey) {
        if let Some(client) = self.table.get_mut(key) {
            client.peer_closed = true;
            self.closed_by_peer.push(key);
        }
    }

    /// Takes the connections marked as closed since the last call.
    pub fn take_peer_closed(&mut self) -> Vec<DownstreamKey> {
        std::mem::take(&mut self.closed_by_peer)
    }

    /// The steps that a connection has taken in this turn of the event loop.
    pub(crate) fn step_budget_mut(&mut self, key: DownstreamKey) -> Option<&mut StepBudget> {
        Some(&mut self.table.get_mut(key)?.step_budget)
    }

    /// Has a connection served in this turn of the event loop.
    pub fn mark_ready(&mut self, key: DownstreamKey) {
        self.ready.push(key);
    }
}

impl DownstreamConnection {
    /// Whether the bytes read so far and this many bytes in the socket complete the request.
    pub(super) fn has_arrived_whole(&self, unread: usize) -> bool {
        let (Some(buffer), Some(request)) = (&self.read_buffer, &self.request) else {
            return false;
        };
        let message = &request.message;
        let undecoded = &buffer.filled()[message.body_end..];
        if let Some(length) = message.body_length() {
            return message.body_received() + undecoded.len() + unread >= length;
        }
        // Only the chunks themselves tell where the body ends. More than this takes too long to decode at once; whether the
        // client has written all is found out in another way then (`backlog`).
        if unread > MAX_PEEKED_BYTES {
            return false;
        }
        let mut bytes = undecoded.to_vec();
        bytes.resize(undecoded.len() + unread, 0);
        let peeked = self.stream.peek(&mut bytes[undecoded.len()..]);
        bytes.truncate(undecoded.len() + peeked.unwrap_or(0));
        message.is_completed_by(&mut bytes)
    }

    fn record_complete_request(&mut self) {
        if let Some(request) = &mut self.request {
            request.arrival.record_complete();
        }
    }
}

/// How many bytes wait in a socket; none if the system call fails.
pub(super) fn unread_bytes(stream: &TcpStream) -> usize {
    rustix::io::ioctl_fionread(stream).unwrap_or(0) as usize
}
