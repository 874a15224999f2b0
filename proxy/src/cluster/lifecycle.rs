//! Joining the cluster, reloading its configuration, handing over to a newer process, and leaving.

use super::config::ClusterConfig;
use super::error::ClusterError;
use super::state::Cluster;
use crate::descriptors::DescriptorPurpose;
use crate::proxy::Proxy;
use crankmux_membership::assumptions::ClusterAssumption;
use serde_json::Value;

impl Proxy {
    /// Opens the port of the cluster, where the operator file has one.
    ///
    /// # Errors
    ///
    /// The port cannot be opened, or a key is none.
    pub fn join_cluster(&mut self) -> Result<(), ClusterError> {
        let Some(config) = &self.cluster_config else {
            return Ok(());
        };
        let configured_size = self.configured_cluster_size();
        let cluster = Cluster::open(config, configured_size, self.now(), &self.registry)?;
        self.assumed_cluster = Some(cluster.assumed());
        self.cluster = Some(cluster);
        self.apply_process_share();
        Ok(())
    }

    /// Takes over a reload: keys and seeds count at once, anything else from the next start.
    pub fn reload_cluster(&mut self, config: Option<ClusterConfig>) {
        let configured_size = self.configured_cluster_size();
        if let (Some(cluster), Some(config)) = (&mut self.cluster, &config) {
            cluster.reload(config, configured_size);
        }
        match (&mut self.cluster_config, config) {
            (Some(current), Some(new)) => {
                current.keys = new.keys;
                current.options.seeds = new.options.seeds;
            }
            (None, None) => {}
            (Some(_), None) | (None, Some(_)) => {
                log::info!("cluster: on or off from the next start");
            }
        }
    }

    /// The number of proxies by the settings.
    pub fn configured_cluster_size(&self) -> f64 {
        self.active_configuration
            .pointer("/settings/GroupSize")
            .and_then(Value::as_f64)
            .unwrap_or(1.0)
            .max(1.0)
    }

    /// A newer process takes this one's place in the cluster. Otherwise both would be at one address, and both would
    /// use the proxy's slow-start share; the newer one agrees with the cluster anew.
    pub fn yield_cluster(&mut self) {
        if let Some(mut cluster) = self.cluster.take() {
            cluster.port.close(&self.registry);
            self.assumed_cluster = Some(ClusterAssumption {
                slow_start_share: 0.0,
                ..cluster.assumed()
            });
        }
        // The port of a proxy that may have to join again.
        self.replenish_reserve_of(DescriptorPurpose::Cluster);
    }

    /// The newer process has failed: this one takes its place in the cluster again.
    pub fn rejoin_cluster(&mut self) {
        if self.cluster.is_some() {
            return;
        }
        self.reserved_descriptors
            .release(DescriptorPurpose::Cluster);
        if let Err(error) = self.join_cluster() {
            log::error!("cluster: {error}");
            self.replenish_reserve_of(DescriptorPurpose::Cluster);
        }
    }

    /// Tells the others that this proxy shuts down, and sends no more requests.
    pub fn leave_cluster(&mut self) {
        let now_ms = self.now();
        if let Some(cluster) = &mut self.cluster {
            cluster.membership.leave(now_ms);
            cluster.send();
        }
    }
}
