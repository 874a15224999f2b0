//! Client connections: accepting, reading requests, writing responses, timeouts and closing.
//!
//! - `connection`: the state machine of one connection;
//! - `connections`: the connection table and its interface to other modules;
//! - `accept`, `eviction`, `close`: the life cycle of a connection;
//! - `request_head`, `read_request`, `request_error`: parsing, validation and admission of requests;
//! - `body_arrival`: when the bytes of a request body arrived;
//! - `backlog`: whether the rest of a request waits at the client's machine;
//! - `write_response`: non-blocking writes of responses;
//! - `timeouts`: read and write timeouts.

mod accept;
mod backlog;
mod body_arrival;
mod close;
mod connection;
mod connections;
mod eviction;
mod read_request;
mod request_error;
mod request_head;
mod timeouts;
mod write_response;

pub use backlog::WriteProgress;
pub use body_arrival::{BodyArrival, SETTLING_MS};
pub use connections::DownstreamConnections;
pub use request_error::RequestError;

use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;

/// Timeout for receiving a request head, counted from the accept for the first request of a connection and from
/// the first byte for later ones. It is also the longest pause within a request body. Clients must get an error
/// or a close within 3 s, so it has to be shorter than that.
const REQUEST_TIMEOUT_MS: f64 = 2500.0;
/// How long a closing connection is still read. Closing it with unread input would reset it, and the client could
/// lose the last response.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// Limit on the input discarded from a closing connection: more than a socket buffer holds.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// A connection is not evicted for this long after it was accepted, began a request or got a response. Longer
/// than a round trip, so that the client's next bytes can arrive.
const NEW_CLIENT_GRACE_MS: f64 = 100.0;
/// Size of a single read of input that is discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

impl Proxy {
    /// Writes and reads a client connection until it would block or its steps are used up.
    pub fn serve_client(&mut self, key: DownstreamKey) {
        while self.flush_response(key)
            && !self.close_if_client_left(key)
            && self.take_client_step(key)
            && self.read_request(key)
        {}
    }

    /// Closes the connection of a client that has left while its response is awaited, which ends the request: it would
    /// otherwise be retried. Returns whether it did.
    fn close_if_client_left(&mut self, key: DownstreamKey) -> bool {
        let has_left = self
            .downstream
            .table
            .get(key)
            .is_some_and(|client| client.peer_closed && client.awaited_request().is_some());
        if has_left {
            self.close_downstream(key);
        }
        has_left
    }

    /// Serves the connections marked as ready, and accepts pending ones if the table has free slots.
    pub fn serve_ready_clients(&mut self) {
        while let Some(key) = self.downstream.ready.pop() {
            self.serve_client(key);
        }
        if self.downstream.accept_pending && !self.downstream.table.is_full() {
            self.accept();
        }
    }

    /// Sets the timer of a client connection, replacing the previous one.
    fn set_downstream_timer(
        &mut self,
        key: DownstreamKey,
        at_ms: f64,
        callback: fn(&mut Proxy, DownstreamKey),
    ) {
        let Some(client) = self.downstream.table.get_mut(key) else {
            return;
        };
        self.timers.cancel(client.timer.take());
        let timer = self
            .timers
            .set(at_ms, move |proxy: &mut Proxy| callback(proxy, key));
        client.timer = Some(timer);
    }
}
