//! Disables and enables endpoints, by an operator's call or by what the files of another process say.

use super::DisabledEndpointError;
use crate::endpoint_list::stable_hash;
use crate::proxy::Proxy;
use crankmux::types::{AttemptOutcome, EndpointId, LoadReport};

/// How often the files are read while another process of this proxy may write them, in milliseconds: well within
/// the second that a call may take to count.
const RELOAD_INTERVAL_MS: f64 = 100.0;

impl Proxy {
    /// Disables an endpoint, for later processes too.
    ///
    /// # Errors
    ///
    /// The endpoint is unknown, or it cannot be stored that it is disabled.
    pub fn disable_endpoint(&mut self, id: &str) -> Result<(), DisabledEndpointError> {
        let stable_hash = self.known_endpoint(id)?;
        // Stored before it is confirmed: a crash or the next process must not forget it.
        let stored = self
            .with_file_descriptor(|proxy| proxy.state_directory.store_disabled(stable_hash, id));
        if let Err(error) = stored {
            log::error!("cannot store that endpoint {id} is disabled: {error}");
            return Err(DisabledEndpointError::NotStored(error));
        }
        log::info!("endpoint {id} is disabled");
        // Applied without reading the files back: that may fail, and the call is confirmed next.
        let mut disabled = self.disabled_endpoints.disabled.clone();
        if let Err(position) = disabled.binary_search(&stable_hash) {
            disabled.insert(position, stable_hash);
        }
        self.apply_disabled_endpoints(disabled);
        Ok(())
    }

    /// Enables an endpoint again.
    ///
    /// # Errors
    ///
    /// The endpoint is unknown, or the file that keeps it disabled cannot be removed.
    pub fn enable_endpoint(&mut self, id: &str) -> Result<(), DisabledEndpointError> {
        let stable_hash = self.known_endpoint(id)?;
        if let Err(error) = self.state_directory.store_enabled(stable_hash) {
            log::error!("cannot store that endpoint {id} is enabled: {error}");
            return Err(DisabledEndpointError::NotRemoved(error));
        }
        log::info!("endpoint {id} is enabled");
        let mut disabled = self.disabled_endpoints.disabled.clone();
        disabled.retain(|hash| *hash != stable_hash);
        self.apply_disabled_endpoints(disabled);
        Ok(())
    }

    fn known_endpoint(&self, id: &str) -> Result<u64, DisabledEndpointError> {
        let stable_hash = stable_hash(id);
        if self.disabled_endpoints.knows(stable_hash) {
            Ok(stable_hash)
        } else {
            Err(DisabledEndpointError::UnknownEndpoint)
        }
    }

    /// Reads the files of the disabled endpoints, and applies what has changed; whether they could be read.
    fn reload_disabled_endpoints(&mut self) -> bool {
        let read = self.with_file_descriptor(|proxy| proxy.state_directory.disabled_endpoints());
        let was_unreadable = self.disabled_endpoints.is_unreadable;
        self.disabled_endpoints.is_unreadable = read.is_err();
        match read {
            Ok(disabled) => {
                self.apply_disabled_endpoints(disabled);
                true
            }
            Err(error) => {
                // They are read ten times a second; the log says it once.
                if !was_unreadable {
                    log::warn!("cannot read which endpoints are disabled: {error}");
                }
                false
            }
        }
    }

    /// Applies which endpoints are disabled from now on; the hashes are sorted.
    fn apply_disabled_endpoints(&mut self, disabled: Vec<u64>) {
        if disabled == self.disabled_endpoints.disabled {
            return;
        }
        let before = std::mem::replace(&mut self.disabled_endpoints.disabled, disabled.clone());
        let now = self.now();
        for stable_hash in disabled.iter().filter(|hash| !before.contains(hash)) {
            let endpoint = self.name_index.endpoint(*stable_hash);
            self.dispatcher.disable_endpoint(now, endpoint);
            self.withdraw_from_endpoint(endpoint);
        }
        for stable_hash in before.iter().filter(|hash| !disabled.contains(hash)) {
            if let Some(endpoint) = self.name_index.find_endpoint(*stable_hash) {
                // Connections that are still open may lead to the process before its restart.
                self.withdraw_from_endpoint(endpoint);
                self.dispatcher.enable_endpoint(now, endpoint);
            }
        }
    }

    /// Closes the idle connections to an endpoint, and takes back attempts of which nothing was sent.
    fn withdraw_from_endpoint(&mut self, endpoint: EndpointId) {
        self.close_idle_connections(endpoint);
        let unsent = self
            .upstream
            .connections
            .keys_where(|connection| connection.endpoint == endpoint && connection.is_unsent());
        for key in unsent {
            self.fail_attempt(key, AttemptOutcome::NotSent, LoadReport::default());
        }
    }

    /// Reloads the disabled endpoints now, and repeatedly for as long as they cannot be read or another process of
    /// this proxy runs.
    pub fn watch_disabled_endpoints(&mut self) {
        let is_read = self.reload_disabled_endpoints();
        if !is_read || self.upgrade.has_other_process() {
            let at = self.now() + RELOAD_INTERVAL_MS;
            self.timers.set(at, Proxy::watch_disabled_endpoints);
        }
    }
}
