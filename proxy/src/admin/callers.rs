//! Callers on the event loop: accepted, timed, and closed.

use super::caller::{Caller, CallerEvent};
use super::response::AdminResponse;
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::proxy::Proxy;
use crate::tokens::{admin_caller_token, MAX_ADMIN_CALLERS};
use mio::net::TcpStream;
use mio::Interest;
use std::io::ErrorKind;

/// How long a caller has for its call, in milliseconds: a call is one short line.
const CALL_TIMEOUT_MS: f64 = 3000.0;
/// How long after its response a connection is closed at the latest, in milliseconds.
const DRAIN_TIMEOUT_MS: f64 = 1000.0;
/// How long until accepting is tried again after an error, in milliseconds.
const ACCEPT_RETRY_MS: f64 = 50.0;

impl Proxy {
    /// Accepts all callers that wait.
    pub fn accept_admin_callers(&mut self) {
        loop {
            let accepted =
                self.open_reserved(DescriptorPurpose::AdminCaller, |proxy| proxy.admin.accept());
            let error = match accepted {
                Ok(stream) => {
                    self.add_admin_caller(stream);
                    continue;
                }
                Err(error) => error,
            };
            match error.kind() {
                ErrorKind::WouldBlock => return,
                ErrorKind::Interrupted | ErrorKind::ConnectionAborted => continue,
                _ => {}
            }
            // Callers that say nothing must not keep a complete call out.
            if is_out_of_descriptors(&error) {
                if self.close_settled_admin_caller() {
                    continue;
                }
            } else {
                log::warn!("the admin API cannot accept: {error}");
            }
            let at = self.now() + ACCEPT_RETRY_MS;
            self.timers
                .set(at, |proxy: &mut Proxy| proxy.accept_admin_callers());
            return;
        }
    }

    fn add_admin_caller(&mut self, mut stream: TcpStream) {
        if self.admin.free_slot().is_none() {
            self.make_room_for_admin_caller();
        }
        let Some(slot) = self.admin.free_slot() else {
            drop(stream);
            self.replenish_reserve_of(DescriptorPurpose::AdminCaller);
            return;
        };
        let token = admin_caller_token(slot);
        let interest = Interest::READABLE | Interest::WRITABLE;
        if let Err(error) = self.registry.register(&mut stream, token, interest) {
            log::warn!("cannot watch an admin API caller: {error}");
            drop(stream);
            self.replenish_reserve_of(DescriptorPurpose::AdminCaller);
            return;
        }
        let now = self.now();
        let timer = self
            .timers
            .set(now + CALL_TIMEOUT_MS, move |proxy: &mut Proxy| {
                proxy.admin_call_timed_out(slot)
            });
        self.admin.callers[slot] = Some(Caller::new(stream, now, timer));
        self.admin_event(slot);
    }

    /// Closes the least needed caller: callers that send nothing must not keep a complete call out. What they have
    /// sent by now is answered first.
    fn make_room_for_admin_caller(&mut self) {
        for slot in 0..MAX_ADMIN_CALLERS {
            self.admin_event(slot);
        }
        if self.admin.free_slot().is_some() {
            return;
        }
        if let Some(slot) = self.admin.least_needed(|_| true) {
            self.close_admin_caller(slot);
        }
    }

    /// Closes a caller that had its response, or time to say something, as its descriptor is needed; whether there
    /// was one. What callers have sent by now is answered first.
    fn close_settled_admin_caller(&mut self) -> bool {
        let before = self.admin.caller_count();
        for slot in 0..MAX_ADMIN_CALLERS {
            self.admin_event(slot);
        }
        if self.admin.caller_count() < before {
            return true;
        }
        let now_ms = self.now();
        let settled = self.admin.least_needed(|caller| caller.is_settled(now_ms));
        if let Some(slot) = settled {
            self.close_admin_caller(slot);
        }
        settled.is_some()
    }

    /// The one place where a caller's connection is closed.
    fn close_admin_caller(&mut self, slot: usize) {
        let Some(mut caller) = self.admin.callers[slot].take() else {
            return;
        };
        // An error changes nothing: the stream is closed next, which ends its registration too.
        let _ = self.registry.deregister(&mut caller.stream);
        self.timers.cancel(caller.timer);
        drop(caller);
        self.replenish_reserve_of(DescriptorPurpose::AdminCaller);
    }

    fn admin_call_timed_out(&mut self, slot: usize) {
        let Some(caller) = &mut self.admin.callers[slot] else {
            return;
        };
        caller.timer = None;
        if caller.is_call_incomplete() {
            self.respond_to_admin_caller(slot, &AdminResponse::without_body(408));
            self.admin_event(slot);
        } else {
            self.close_admin_caller(slot);
        }
    }

    /// Does for a caller whatever can be done now.
    pub fn admin_event(&mut self, slot: usize) {
        while let Some(caller) = &mut self.admin.callers[slot] {
            match caller.advance() {
                CallerEvent::Pending => return,
                CallerEvent::Closed => return self.close_admin_caller(slot),
                CallerEvent::Call { method, path } => {
                    let response = self.answer_admin_call(&method, &path);
                    self.respond_to_admin_caller(slot, &response);
                }
                CallerEvent::InvalidCall { status } => {
                    self.respond_to_admin_caller(slot, &AdminResponse::without_body(status));
                }
            }
        }
    }

    fn respond_to_admin_caller(&mut self, slot: usize, response: &AdminResponse) {
        let close_at = self.now() + DRAIN_TIMEOUT_MS;
        let Some(caller) = &mut self.admin.callers[slot] else {
            return;
        };
        caller.respond(response);
        self.timers.cancel(caller.timer.take());
        let timer = self.timers.set(close_at, move |proxy: &mut Proxy| {
            proxy.close_admin_caller(slot)
        });
        caller.timer = Some(timer);
    }
}
