//! Admin connections on the event loop: accepting, timeouts and closing.

use super::connection::{AdminConnection, ConnectionEvent};
use super::response::AdminResponse;
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::proxy::Proxy;
use crate::tokens::{admin_caller_token, MAX_ADMIN_CALLERS};
use crate::turn::DeferredControl;
use mio::net::TcpStream;
use mio::Interest;
use std::io::ErrorKind;

/// How long a client may take to send its request head, in milliseconds.
const REQUEST_TIMEOUT_MS: f64 = 3000.0;
/// How long a connection may take to write its response and drain, in milliseconds.
const DRAIN_TIMEOUT_MS: f64 = 1000.0;
/// Delay before accepting again after an error, in milliseconds.
const ACCEPT_RETRY_MS: f64 = 50.0;

impl Proxy {
    /// Accepts pending connections to the admin API, as many as this turn of the event loop allows.
    pub fn accept_admin_connections(&mut self) {
        let work = DeferredControl::AcceptAdmin;
        while self
            .turns
            .take_control_step(&mut self.admin.accept_budget, work)
        {
            let accepted = self.open_reserved(DescriptorPurpose::AdminConnection, |proxy| {
                proxy.admin.accept()
            });
            let error = match accepted {
                Ok(stream) => {
                    self.add_admin_connection(stream);
                    continue;
                }
                Err(error) => error,
            };
            match error.kind() {
                ErrorKind::WouldBlock => return,
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted => continue,
                _ => {}
            }
            // Idle connections must not block new requests.
            if is_out_of_descriptors(&error) {
                if self.evict_idle_admin_connection() {
                    continue;
                }
            } else {
                log::warn!("cannot accept an admin connection: {error}");
            }
            let at = self.now() + ACCEPT_RETRY_MS;
            self.timers
                .set(at, |proxy: &mut Proxy| proxy.accept_admin_connections());
            return;
        }
    }

    fn add_admin_connection(&mut self, mut stream: TcpStream) {
        if self.admin.free_slot().is_none() {
            self.evict_admin_connection();
        }
        let Some(slot) = self.admin.free_slot() else {
            drop(stream);
            self.replenish_reserve_of(DescriptorPurpose::AdminConnection);
            return;
        };
        let token = admin_caller_token(slot);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = self.registry.register(&mut stream, token, interest) {
            log::warn!("cannot register an admin connection with the event loop: {error}");
            drop(stream);
            self.replenish_reserve_of(DescriptorPurpose::AdminConnection);
            return;
        }
        let now = self.now();
        let timer = self
            .timers
            .set(now + REQUEST_TIMEOUT_MS, move |proxy: &mut Proxy| {
                proxy.admin_request_timed_out(slot)
            });
        self.admin.connections[slot] = Some(AdminConnection::new(stream, now, timer));
        self.admin_event(slot);
    }

    /// Frees a slot for a new connection. Input that has already arrived is processed first, which may free one;
    /// otherwise the first connection in eviction order is closed.
    fn evict_admin_connection(&mut self) {
        for slot in 0..MAX_ADMIN_CALLERS {
            self.admin_event(slot);
        }
        if self.admin.free_slot().is_some() {
            return;
        }
        if let Some(slot) = self.admin.eviction_candidate(|_| true) {
            self.close_admin_connection(slot);
        }
    }

    /// Closes an evictable connection to free its descriptor, and returns whether one was closed. Input that has
    /// already arrived is processed first.
    fn evict_idle_admin_connection(&mut self) -> bool {
        let count_before = self.admin.connection_count();
        for slot in 0..MAX_ADMIN_CALLERS {
            self.admin_event(slot);
        }
        if self.admin.connection_count() < count_before {
            return true;
        }
        let now_ms = self.now();
        let evicted = self
            .admin
            .eviction_candidate(|connection| connection.is_evictable(now_ms));
        if let Some(slot) = evicted {
            self.close_admin_connection(slot);
        }
        evicted.is_some()
    }

    /// Closes a connection: removes it from the event loop, cancels its timer and returns its descriptor to the
    /// reserve. All other code closes admin connections through this function.
    fn close_admin_connection(&mut self, slot: usize) {
        let Some(mut connection) = self.admin.connections[slot].take() else {
            return;
        };
        // An error can be ignored: closing the stream also removes its registration.
        let _ = self.registry.deregister(&mut connection.stream);
        self.timers.cancel(connection.timer);
        drop(connection);
        self.replenish_reserve_of(DescriptorPurpose::AdminConnection);
    }

    fn admin_request_timed_out(&mut self, slot: usize) {
        let Some(connection) = &mut self.admin.connections[slot] else {
            return;
        };
        connection.timer = None;
        if connection.has_partial_request() {
            self.send_admin_response(slot, &AdminResponse::without_body(408));
            self.admin_event(slot);
        } else {
            self.close_admin_connection(slot);
        }
    }

    /// Handles an event on a connection: reads the request and answers it, as far as the socket and the connection's steps
    /// allow.
    pub fn admin_event(&mut self, slot: usize) {
        let work = DeferredControl::Admin(slot);
        while let Some(connection) = &mut self.admin.connections[slot] {
            if !self
                .turns
                .take_control_step(&mut connection.step_budget, work)
            {
                return;
            }
            match connection.take_step() {
                ConnectionEvent::Progress => {}
                ConnectionEvent::Pending => return,
                ConnectionEvent::Closed => return self.close_admin_connection(slot),
                ConnectionEvent::Request { method, path } => {
                    let response = self.admin_response(&method, &path);
                    self.send_admin_response(slot, &response);
                }
                ConnectionEvent::InvalidRequest { status } => {
                    self.send_admin_response(slot, &AdminResponse::without_body(status));
                }
            }
        }
    }

    fn send_admin_response(&mut self, slot: usize, response: &AdminResponse) {
        let close_at = self.now() + DRAIN_TIMEOUT_MS;
        let Some(connection) = &mut self.admin.connections[slot] else {
            return;
        };
        connection.respond(response);
        self.timers.cancel(connection.timer.take());
        let timer = self.timers.set(close_at, move |proxy: &mut Proxy| {
            proxy.close_admin_connection(slot)
        });
        connection.timer = Some(timer);
    }
}
