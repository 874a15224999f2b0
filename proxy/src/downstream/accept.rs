//! Accepting client connections.

use super::connection::DownstreamConnection;
use super::REQUEST_TIMEOUT_MS;
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::proxy::Proxy;
use crate::tokens::{client_token, LISTENER};
use mio::net::TcpStream;
use mio::Interest;
use std::io;

/// Delay before accepting again after an error; much shorter than client timeouts.
const ACCEPT_RETRY_DELAY_MS: f64 = 50.0;

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

    /// Accepts pending connections, evicting others if the table is full.
    pub fn accept(&mut self) {
        self.downstream.accept_pending = false;
        if !self.downstream.listening {
            return;
        }
        self.timers.cancel(self.downstream.accept_retry.take());
        loop {
            if self.downstream.table.is_full() && !self.evict_client() {
                // Every connection is busy or new. Accepting resumes once one of them is free.
                self.downstream.accept_pending = true;
                return self.retry_accept_later();
            }
            if !self.replenish_reserve() {
                // A client connection accepted now would take a descriptor that is missing from the reserve.
                if !self.free_descriptor_for_client() {
                    self.report_descriptor_shortage(DescriptorPurpose::Client);
                    return self.retry_accept_later();
                }
                continue;
            }
            let Some(listener) = &self.downstream.listener else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => self.add_client(stream),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if is_transient(&error) => {}
                // Out of descriptors before the table is full. The listener stays readable, so retrying
                // immediately would be a busy loop.
                Err(error) => {
                    if !self.free_descriptor_for_client() {
                        if is_out_of_descriptors(&error) {
                            self.report_descriptor_shortage(DescriptorPurpose::Client);
                        } else {
                            log::warn!("cannot accept a client connection: {error}");
                        }
                        return self.retry_accept_later();
                    }
                }
            }
        }
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
