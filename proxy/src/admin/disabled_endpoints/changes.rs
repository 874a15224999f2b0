//! Disables and enables endpoints, on an operator's request or after another process has changed the files.

use super::DisabledEndpointError;
use crate::endpoint_list::stable_hash;
use crate::proxy::Proxy;
use crankmux::types::{AttemptOutcome, EndpointId, LoadReport};

/// How often the files are read while another process of this proxy may write them, in milliseconds. A change must
/// apply in all processes within a second.
const RELOAD_INTERVAL_MS: f64 = 100.0;

impl Proxy {
    /// Disables an endpoint and persists the change for later processes.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is unknown or the change cannot be persisted.
    pub fn disable_endpoint(&mut self, id: &str) -> Result<(), DisabledEndpointError> {
        let stable_hash = self.known_endpoint_hash(id)?;
        // Persisted before the response confirms it, so that it survives a crash or an upgrade.
        let stored = self
            .with_file_descriptor(|proxy| proxy.state_directory.store_disabled(stable_hash, id));
        if let Err(error) = stored {
            log::error!("cannot persist that endpoint {id} is disabled: {error}");
            return Err(DisabledEndpointError::NotStored(error));
        }
        log::info!("endpoint {id} disabled");
        // Applied without reading the files again: the read could fail after the change was persisted.
        let mut disabled = self.disabled_endpoints.disabled.clone();
        if let Err(position) = disabled.binary_search(&stable_hash) {
            disabled.insert(position, stable_hash);
        }
        self.apply_disabled_endpoints(disabled);
        Ok(())
    }

    /// Enables a disabled endpoint and persists the change.
    ///
    /// # Errors
    ///
    /// Fails if the endpoint is unknown or the file that marks it as disabled cannot be removed.
    pub fn enable_endpoint(&mut self, id: &str) -> Result<(), DisabledEndpointError> {
        let stable_hash = self.known_endpoint_hash(id)?;
        if let Err(error) = self.state_directory.store_enabled(stable_hash) {
            log::error!("cannot persist that endpoint {id} is enabled: {error}");
            return Err(DisabledEndpointError::NotRemoved(error));
        }
        log::info!("endpoint {id} enabled");
        let mut disabled = self.disabled_endpoints.disabled.clone();
        disabled.retain(|hash| *hash != stable_hash);
        self.apply_disabled_endpoints(disabled);
        Ok(())
    }

    fn known_endpoint_hash(&self, id: &str) -> Result<u64, DisabledEndpointError> {
        let stable_hash = stable_hash(id);
        if self.disabled_endpoints.is_known(stable_hash) {
            Ok(stable_hash)
        } else {
            Err(DisabledEndpointError::UnknownEndpoint)
        }
    }

    /// Reads the files of disabled endpoints and applies changes. Returns whether the files could be read.
    fn reload_disabled_endpoints(&mut self) -> bool {
        let read = self.with_file_descriptor(|proxy| proxy.state_directory.disabled_endpoints());
        let last_read_failed = self.disabled_endpoints.last_read_failed;
        self.disabled_endpoints.last_read_failed = read.is_err();
        match read {
            Ok(disabled) => {
                self.apply_disabled_endpoints(disabled);
                true
            }
            Err(error) => {
                // Retried every `RELOAD_INTERVAL_MS`; only the first failure is logged.
                if !last_read_failed {
                    log::warn!("cannot read the files of disabled endpoints: {error}");
                }
                false
            }
        }
    }

    /// Replaces the set of disabled endpoints, given as sorted hashes, and applies the difference.
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
                // Open connections may lead to an endpoint process that has since been replaced.
                self.withdraw_from_endpoint(endpoint);
                self.dispatcher.enable_endpoint(now, endpoint);
            }
        }
    }

    /// Closes the idle connections to an endpoint and fails its attempts of which nothing has been sent.
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

    /// Reloads the disabled endpoints now, and periodically while they cannot be read or another process of this
    /// proxy is or may be running: without a handover, neither process knows of the other.
    pub fn watch_disabled_endpoints(&mut self) {
        let reloaded = self.reload_disabled_endpoints();
        let may_have_other_process =
            self.upgrade.has_other_process() || !self.upgrade.can_hand_over();
        if !reloaded || may_have_other_process {
            let at = self.now() + RELOAD_INTERVAL_MS;
            self.timers.set(at, Proxy::watch_disabled_endpoints);
        }
    }
}
