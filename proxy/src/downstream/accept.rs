//! Accepting client connections.

use super::connection::DownstreamConnection;
use super::REQUEST_TIMEOUT_MS;
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::listener::BACKLOG;
use crate::proxy::Proxy;
use crate::tokens::{client_token, LISTENER};
use mio::net::TcpStream;
use mio::Interest;
use std::io;

/// Delay before accepting again after an error; much shorter than client timeouts.
const ACCEPT_RETRY_DELAY_MS: f64 = 50.0;
/// Connections accepted, or evicted for others, in a turn of the event loop.
const MAX_ACCEPTS_PER_TURN: u32 = 32;

impl Proxy {
    /// Registers the listener with the event loop.
    pub fn listen(&mut self) {
        if self.downstream.listening {
            return;
        }
        let Some(listener) = &mut self.downstream.listener else {
            return;
        };
        match self
            .registry
            .register(listener, LISTENER, Interest::READABLE)
        {
            Ok(()) => self.downstream.listening = true,
            Err(error) => log::error!("cannot register the listener with the event loop: {error}"),
        }
    }

    /// Stops accepting; the other process of an upgrade, which shares the listener, accepts instead.
    pub fn stop_listening(&mut self) {
        if !self.downstream.listening {
            return;
        }
        let Some(listener) = &mut self.downstream.listener else {
            return;
        };
        // Fails only if the listener is not registered, which has the same effect.
        let _ = self.registry.deregister(listener);
        self.downstream.listening = false;
    }

    /// Accepts pending connections, as many as this turn of the event loop allows, evicting others if the table is full.
    pub fn accept(&mut self) {
        let turn = self.turns.current();
        self.prepare_to_accept();
        while self
            .downstream
            .accept_budget
            .use_step(turn, MAX_ACCEPTS_PER_TURN)
        {
            if !self.accept_next() {
                return;
            }
        }
        self.turns.defer_accept();
    }

    /// Accepts all connections of the accept queue, before the listener is closed.
    pub(super) fn accept_whole_queue(&mut self) {
        self.prepare_to_accept();
        for _ in 0..=BACKLOG {
            if !self.accept_next() {
                return;
            }
        }
    }

    fn prepare_to_accept(&mut self) {
        self.downstream.accept_pending = false;
        if self.downstream.listening {
            self.timers.cancel(self.downstream.accept_retry.take());
        }
    }

    /// Accepts one connection, or makes room for it. Returns whether more may be accepted now.
    fn accept_next(&mut self) -> bool {
        if !self.downstream.listening {
            return false;
        }
        if self.downstream.table.is_full() && !self.evict_client() {
            // Every connection is busy or new. Accepting resumes once one of them is free.
            self.downstream.accept_pending = true;
            self.retry_accept_later();
            return false;
        }
        if !self.replenish_reserve() {
            // A client connection accepted now would take a descriptor that is missing from the reserve.
            if !self.free_descriptor_for_client() {
                self.report_descriptor_shortage(DescriptorPurpose::Client);
                self.retry_accept_later();
                return false;
            }
            return true;
        }
        let Some(listener) = &self.downstream.listener else {
            return false;
        };
        match listener.accept() {
            Ok((stream, _)) => self.add_client(stream),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return false,
            Err(error) if is_transient(&error) => {}
            Err(error) => return self.make_room_after(&error),
        }
        true
    }

    /// Makes room after accepting has failed, as when descriptors run out before the table is full. Returns whether
    /// more may be accepted now. The listener stays readable, so retrying at once would be a busy loop.
    fn make_room_after(&mut self, error: &io::Error) -> bool {
        if self.free_descriptor_for_client() {
            return true;
        }
        if is_out_of_descriptors(error) {
            self.report_descriptor_shortage(DescriptorPurpose::Client);
        } else {
            log::warn!("cannot accept a client connection: {error}");
        }
        self.retry_accept_later();
        false
    }

    fn retry_accept_later(&mut self) {
        let at_ms = self.now() + ACCEPT_RETRY_DELAY_MS;
        let retry = self.timers.set(at_ms, |proxy: &mut Proxy| proxy.accept());
        self.downstream.accept_retry = Some(retry);
    }

    /// Frees a descriptor by evicting a client or closing an idle endpoint connection. Returns whether one was
    /// closed.
    fn free_descriptor_for_client(&mut self) -> bool {
        self.evict_client() || self.close_unreserved_idle_upstream()
    }

    fn add_client(&mut self, mut stream: TcpStream) {
        let key = self.downstream.table.vacant_key();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = self
            .registry
            .register(&mut stream, client_token(key), interest)
        {
            log::warn!("cannot register a client connection with the event loop: {error}");
            return;
        }
        // TCP_NODELAY avoids delays of small responses; the connection also works without it.
        let _ = stream.set_nodelay(true);
        let now_ms = self.clock.now();
        self.downstream
            .table
            .insert(DownstreamConnection::new(stream, now_ms));
        // Closes connections that never send a request, which would hold descriptors forever.
        self.set_read_timeout(key, REQUEST_TIMEOUT_MS);
        self.counters.connections_accepted += 1;
        self.downstream.ready.push(key);
    }
}

/// Whether accepting can continue after an error: the call was interrupted, or the client closed the connection
/// before it was accepted.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}
