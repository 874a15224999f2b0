//! Connections from clients: accepted, read, answered, timed out and closed.
//!
//! - `connection`: one connection, its states and the transitions between them;
//! - `connections`: the table of all of them, as other modules see it;
//! - `accept`, `eviction`, `close`: how connections come, make room for others, and end;
//! - `request_head`, `read_request`, `request_error`: requests, checked and admitted or rejected;
//! - `write_response`: responses, written as far as the client takes them;
//! - `timeouts`: clients that keep the proxy waiting.

mod accept;
mod close;
mod connection;
mod connections;
mod eviction;
mod read_request;
mod request_error;
mod request_head;
mod timeouts;
mod write_response;

pub use connections::DownstreamConnections;
pub use request_error::RequestError;

use crate::proxy::Proxy;
use crate::slot_table::DownstreamKey;

/// The head of a new connection's first request, and of a later one from its first byte on, must be in within
/// this, and a body may not stand still for so long: under the 3 s in which even a client that does not wait is
/// owed an error or a close.
const REQUEST_TIMEOUT_MS: f64 = 2500.0;
/// How long a connection that is being closed is still read, so that its last response is not lost.
const LINGER_TIMEOUT_MS: f64 = 1000.0;
/// How many bytes it is still read: more than a socket's buffer holds by the time that the response arrives.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// A client that has connected, or begun a request, goes on at once: within the round trip, which is under
/// this. Until then it makes no room for others.
const NEW_CLIENT_GRACE_MS: f64 = 100.0;
/// How much is read at once of what is discarded.
const DISCARD_BUFFER_BYTES: usize = 16 * 1024;

impl Proxy {
    /// Does for a client whatever can be done now.
    pub fn serve_client(&mut self, key: DownstreamKey) {
        while self.flush_response(key) && self.read_request(key) {}
    }

    /// Goes on with clients that were answered, and accepts waiting ones where there is room again.
    pub fn serve_ready_clients(&mut self) {
        while let Some(key) = self.downstream.ready.pop() {
            self.serve_client(key);
        }
        if self.downstream.accept_pending && !self.downstream.table.is_full() {
            self.accept();
        }
    }

    /// Sets the one timer of a client's connection, in place of the one that was set before.
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
