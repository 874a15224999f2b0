//! Accepting clients' connections.

use super::connection::DownstreamConnection;
use super::REQUEST_TIMEOUT_MS;
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::proxy::Proxy;
use crate::tokens::{client_token, LISTENER};
use mio::net::TcpStream;
use mio::Interest;
use std::io;

/// How soon accepting is tried again after an error: a few times before any client gives up.
const ACCEPT_RETRY_DELAY_MS: f64 = 50.0;

impl Proxy {
    /// Has the event loop watch the listener.
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
            Err(error) => log::error!("cannot watch the listener: {error}"),
        }
    }

    /// Leaves new connections to the other process that has this listener.
    pub fn stop_listening(&mut self) {
        if !self.downstream.listening {
            return;
        }
        let Some(listener) = &mut self.downstream.listener else {
            return;
        };
        // It was registered, which is all that this could fail for; accepting stops either way.
        let _ = self.registry.deregister(listener);
        self.downstream.listening = false;
    }

    /// Accepts the connections that wait, as far as there is room or room can be made.
    pub fn accept(&mut self) {
        self.downstream.accept_pending = false;
        if !self.downstream.listening {
            return;
        }
        self.timers.cancel(self.downstream.accept_retry.take());
        loop {
            // Without a free slot the connections that only stand idle would keep new clients out.
            if self.downstream.table.is_full() && !self.evict_client() {
                // All have a request in flight or have just come; the others wait until one is answered.
                self.downstream.accept_pending = true;
                return self.retry_accept_later();
            }
            if !self.replenish_reserve() {
                // Clients would take the place of the descriptor that was given up as soon as it is free.
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
                // The system is out of descriptors before the table is full. The listener stays readable, and
                // trying again at once, over and over, would take the whole core.
                Err(error) => {
                    if !self.free_descriptor_for_client() {
                        if is_out_of_descriptors(&error) {
                            self.report_descriptor_shortage(DescriptorPurpose::Client);
                        } else {
                            log::warn!("cannot accept: {error}");
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

    /// Closes the connection that is needed least; whether there was one.
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
            log::warn!("cannot watch a client: {error}");
            return;
        }
        // Without it a small response may wait for the acknowledgement of the one before. Where it cannot be
        // set the connection is slower, and works.
        let _ = stream.set_nodelay(true);
        let now_ms = self.clock.now();
        self.downstream
            .table
            .insert(DownstreamConnection::new(stream, now_ms));
        // Connections by hundreds that never say anything would hold descriptors for good.
        self.set_read_timeout(key, REQUEST_TIMEOUT_MS);
        self.counters.connections_accepted += 1;
        self.downstream.ready.push(key);
    }
}

/// Whether accepting may go on after an error: it was interrupted, or the client has gone already.
fn is_transient(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted
    )
}
