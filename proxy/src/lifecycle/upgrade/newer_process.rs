//! The newer process of an upgrade: restores the older one's state and accepts clients once it is ready.

use super::protocol::{self, PeerEvent};
use super::{LearnedStateSnapshot, OlderProcess};
use crate::proxy::Proxy;

impl Proxy {
    /// Restores the learned state of the older process for the endpoints listed now.
    pub fn restore_learned_state(&mut self, snapshot: &LearnedStateSnapshot) {
        let state = snapshot.restore(&self.name_index, self.dispatcher.learned_state());
        self.dispatcher.restore_learned_state(&state);
    }

    /// Starts to accept clients in place of the older process.
    pub fn start_accepting(&mut self) {
        match std::mem::take(&mut self.upgrade.older) {
            OlderProcess::Accepting(mut older) => {
                self.listen();
                protocol::send_accepting(&mut older.stream);
                self.upgrade.older = OlderProcess::Draining(older);
            }
            unchanged => self.upgrade.older = unchanged,
        }
    }

    /// Handles an event of the connection to the older process.
    pub fn older_process_event(&mut self) {
        let Some(older) = self.upgrade.older.connection_mut() else {
            return;
        };
        match protocol::read_event(&mut older.stream) {
            PeerEvent::Accepting | PeerEvent::Pending => {}
            PeerEvent::Closed => self.older_process_ended(),
        }
    }

    /// Takes all of the limits, and accepts clients if the older process did until now.
    fn older_process_ended(&mut self) {
        log::info!("the older process has ended");
        let waits_to_accept = self.upgrade.waits_to_accept();
        if let Some(older) = self.upgrade.older.connection_mut() {
            let _ = self.registry.deregister(&mut older.stream);
        }
        self.upgrade.older = OlderProcess::None;
        self.stop_sharing_request_ids();
        self.apply_process_share();
        if waits_to_accept {
            self.listen();
        }
    }
}
