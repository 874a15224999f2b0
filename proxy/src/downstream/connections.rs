//! The table of clients' connections, as other modules see it. Other modules name a connection by its key, which
//! is free for another connection once this one is closed.

use super::connection::DownstreamConnection;
use crate::buffers::Buffer;
use crate::descriptors::DescriptorUsage;
use crate::http::Message;
use crate::metrics::access::RequestOutcome;
use crate::slot_table::{DownstreamKey, SlotTable, UpstreamKey};
use crate::streaming::Upload;
use crate::timers::TimerKey;
use mio::net::TcpListener;

/// The connections of all clients, and the listener on which they come.
pub struct DownstreamConnections {
    pub(super) listener: Option<TcpListener>,
    /// Whether the event loop watches the listener.
    pub(super) listening: bool,
    pub(super) table: SlotTable<DownstreamKey, DownstreamConnection>,
    pub(super) capacity: usize,
    /// Connections wait to be accepted.
    pub(super) accept_pending: bool,
    pub(super) accept_retry: Option<TimerKey>,
    /// Connections that were answered and may have more to say.
    pub(super) ready: Vec<DownstreamKey>,
    /// Connections whose client has just closed its side.
    closed_by_peer: Vec<DownstreamKey>,
}

impl DownstreamConnections {
    /// No connections yet, and at most `capacity` at once.
    pub fn new(listener: TcpListener, capacity: usize) -> Self {
        DownstreamConnections {
            listener: Some(listener),
            listening: false,
            table: SlotTable::new(capacity),
            capacity,
            accept_pending: false,
            accept_retry: None,
            ready: Vec::new(),
            closed_by_peer: Vec::new(),
        }
    }

    /// The listener, until the proxy takes no more clients.
    pub fn listener(&self) -> Option<&TcpListener> {
        self.listener.as_ref()
    }

    /// Changes the capacity; connections beyond it stay until they are closed.
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

    /// Who of the clients holds descriptors.
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

    /// Whether neither a connection nor the listener has something to be done at once.
    pub fn none_ready(&self) -> bool {
        self.ready.is_empty() && (self.table.is_full() || !self.accept_pending)
    }

    /// Whether any client still has a response to come.
    pub fn any_busy(&self) -> bool {
        !self
            .table
            .keys_where(DownstreamConnection::is_busy)
            .is_empty()
    }

    /// How many admitted requests have a body that is still coming.
    pub fn incomplete_requests(&self) -> usize {
        self.table
            .keys_where(|client| client.receipt.is_some() && client.is_receiving_body())
            .len()
    }

    /// A client's request: the bytes that are held of it, and its message.
    pub fn request(&self, key: DownstreamKey) -> Option<(&[u8], &Message)> {
        let client = self.table.get(key)?;
        let bytes = client.read_buffer.as_ref()?.filled();
        Some((bytes, &client.request.as_ref()?.message))
    }

    /// How a client's request is counted once its response is out.
    pub fn set_outcome(&mut self, key: DownstreamKey, outcome: RequestOutcome) {
        if let Some(client) = self.table.get_mut(key) {
            client.outcome = Some(outcome);
        }
    }

    /// Whether a client's request showed that it knows chunked bodies.
    pub fn accepts_chunked(&self, key: DownstreamKey) -> bool {
        self.table
            .get(key)
            .and_then(|client| client.request.as_ref())
            .is_none_or(|request| request.message.accepts_chunked)
    }

    /// A client's request body is streamed to an upstream connection from now on.
    pub fn stream_request_to(&mut self, key: DownstreamKey, upstream: UpstreamKey) {
        let client = self.table.get_mut(key);
        if let Some(request) = client.and_then(|client| client.request.as_mut()) {
            request.upstream = Some(upstream);
        }
    }

    /// The request that a client is sending, for whoever streams its body.
    pub fn upload(&mut self, key: DownstreamKey) -> Option<Upload<'_>> {
        let client = self.table.get_mut(key)?;
        let read_buffer = client.read_buffer.as_mut()?;
        let request = client.request.as_mut()?;
        Some(Upload {
            stream: &mut client.stream,
            read_buffer,
            message: &mut request.message,
            first_piece_sent: &mut request.first_piece_sent,
            received_bytes: &mut request.body_bytes,
            last_received_at: &mut client.last_progress_ms,
        })
    }

    /// Whether all of a client's request has come, read or not, where the request tells its length.
    pub fn whole_request_received(&self, key: DownstreamKey) -> bool {
        let Some(client) = self.table.get(key) else {
            return false;
        };
        let (Some(buffer), Some(request)) = (&client.read_buffer, &client.request) else {
            return false;
        };
        // Where the system does not say, what it may hold does not count.
        let unread = rustix::io::ioctl_fionread(&client.stream).unwrap_or(0) as usize;
        let message = &request.message;
        let undecoded = buffer.filled().len().saturating_sub(message.body_end);
        let received = message.body_received() + undecoded + unread;
        message
            .body_length()
            .is_some_and(|length| received >= length)
    }

    /// The buffer that a client's response is written from, empty, if the client has taken all that stood in
    /// it.
    pub fn drained_response_buffer(&mut self, key: DownstreamKey) -> Option<&mut Buffer> {
        let client = self.table.get_mut(key)?;
        let writer = client.writer_mut().filter(|writer| writer.is_drained())?;
        writer.buffer.remove(0..writer.written);
        writer.written = 0;
        Some(&mut writer.buffer)
    }

    /// Whether a client has taken all that stood to be written.
    pub fn has_drained_response(&self, key: DownstreamKey) -> bool {
        self.table
            .get(key)
            .and_then(DownstreamConnection::writer)
            .is_none_or(|writer| writer.is_drained())
    }

    /// A client has been given more of its response: its time to take it starts now, not as its endpoint paused.
    pub fn restart_write_timeout(&mut self, key: DownstreamKey, now_ms: f64) {
        if let Some(client) = self.table.get_mut(key) {
            client.last_progress_ms = now_ms;
        }
    }

    /// Nothing more of a client's response comes from upstream.
    pub fn end_response_source(&mut self, key: DownstreamKey) {
        if let Some(client) = self.table.get_mut(key) {
            client.end_response_source();
        }
    }

    /// A client has closed its side or reset the connection; what it sent before that may still be unread.
    pub fn mark_peer_closed(&mut self, key: DownstreamKey) {
        if let Some(client) = self.table.get_mut(key) {
            client.peer_closed = true;
            self.closed_by_peer.push(key);
        }
    }

    /// The connections that were marked as closed since the last call.
    pub fn take_peer_closed(&mut self) -> Vec<DownstreamKey> {
        std::mem::take(&mut self.closed_by_peer)
    }

    /// A client may have more to say.
    pub fn mark_ready(&mut self, key: DownstreamKey) {
        self.ready.push(key);
    }
}
