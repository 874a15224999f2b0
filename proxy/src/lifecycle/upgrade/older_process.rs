//! The older process of an upgrade: hands over its listener and state, and accepts clients again if the newer process
//! fails.

use super::protocol::{self, HandoverError, PeerEvent};
use super::{HandoverSnapshot, LearnedStateSnapshot};
use crate::descriptors::{is_out_of_descriptors, DescriptorPurpose};
use crate::proxy::Proxy;
use crate::tokens::NEWER_PROCESS;
use crate::turn::DeferredControl;
use mio::net::UnixStream;
use mio::Interest;
use std::io;
use std::os::fd::AsFd;

/// Delay before accepting is retried after an error, such as a lack of descriptors. Must be well below the handover
/// timeout.
const ACCEPT_RETRY_MS: f64 = 50.0;

impl Proxy {
    /// Accepts newer processes that request a handover, as many as this turn of the event loop allows.
    pub fn accept_newer_process(&mut self) {
        let work = DeferredControl::AcceptNewerProcess;
        // Without a descriptor, the newer process would start without a handover.
        while self
            .turns
            .take_control_step(&mut self.upgrade.accept_budget, work)
        {
            let accepted =
                self.open_reserved(DescriptorPurpose::Handover, |proxy| proxy.upgrade.accept());
            match accepted {
                Ok(stream) => self.newer_process_connected(stream),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) => {
                    if !is_out_of_descriptors(&error) {
                        log::warn!("cannot accept the connection of a newer process: {error}");
                    }
                    let retry_at = self.now() + ACCEPT_RETRY_MS;
                    self.timers.set(retry_at, Proxy::accept_newer_process);
                    return;
                }
            }
        }
    }

    fn newer_process_connected(&mut self, stream: UnixStream) {
        // During shutdown or after an earlier handover the newer process starts on its own.
        if !self.stopping() && !self.upgrade.has_newer_process() {
            if let Err(error) = self.hand_over_to(stream) {
                log::warn!("cannot hand over to a newer process: {error}");
            }
        }
        self.replenish_reserve_of(DescriptorPurpose::Handover);
    }

    fn hand_over_to(&mut self, mut stream: UnixStream) -> Result<(), HandoverError> {
        let Some(path) = HandoverSnapshot::path(&self.state_directory) else {
            return Ok(());
        };
        let snapshot = self.handover_snapshot();
        self.with_file_descriptor(|_| snapshot.store(&path))?;
        self.registry
            .register(&mut stream, NEWER_PROCESS, Interest::READABLE)?;
        if !self.upgrade.has_other_process() {
            self.remove_stale_request_ids();
        }
        self.upgrade.newer = Some(stream);
        self.share_request_ids();
        self.yield_cluster();
        // Before the newer process gets its share, so that both together never exceed the limits.
        self.apply_process_share();
        if let Err(error) = self.send_listener() {
            self.newer_process_ended();
            return Err(error);
        }
        log::info!("handed over to a newer process");
        self.watch_disabled_endpoints();
        Ok(())
    }

    fn handover_snapshot(&self) -> HandoverSnapshot {
        let learned_state = self.dispatcher.learned_state();
        HandoverSnapshot {
            learned_state: LearnedStateSnapshot::capture(&self.name_index, &learned_state),
            endpoint_list: self.discovery.complete_list(),
            ever_listed: self.disabled_endpoints.ever_listed().collect(),
            refused_request_ids: self.requests.ids().refused_to_hex(),
        }
    }

    fn send_listener(&self) -> Result<(), HandoverError> {
        let (Some(stream), Some(listener)) = (&self.upgrade.newer, self.downstream.listener())
        else {
            return Err(HandoverError::NoListener);
        };
        let share_divisor = self.upgrade.share_divisor().saturating_mul(2);
        protocol::send_listener(stream, listener.as_fd(), share_divisor)
    }

    /// Handles an event of the connection to the newer process.
    pub fn newer_process_event(&mut self) {
        let Some(stream) = &mut self.upgrade.newer else {
            return;
        };
        match protocol::read_event(stream) {
            PeerEvent::Accepting => {
                log::info!("the newer process accepts clients; this one stops accepting");
                self.stop_listening();
            }
            PeerEvent::Pending => {}
            PeerEvent::Closed => self.newer_process_ended(),
        }
    }

    /// Undoes a failed upgrade: restores the limits of this process and accepts clients again.
    fn newer_process_ended(&mut self) {
        log::warn!("the newer process has ended");
        if let Some(mut stream) = self.upgrade.newer.take() {
            let _ = self.registry.deregister(&mut stream);
        }
        self.stop_sharing_request_ids();
        // Also reserves the descriptor of the closed connection again.
        self.apply_process_share();
        if self.stopping() {
            return;
        }
        self.rejoin_cluster();
        self.listen();
        // The newer process replaced the socket file with its own, which nobody listens on any more.
        if let Err(error) = self.upgrade.listen(&self.state_directory, &self.registry) {
            log::warn!("no upgrade can be handed over: {error}");
        }
    }
}
