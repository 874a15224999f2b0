//! Joining the cluster, reloading its configuration, handing over to a newer process, and leaving.

use super::config::ClusterConfig;
use super::error::ClusterError;
use super::state::Cluster;
use crate::descriptors::DescriptorPurpose;
use crate::proxy::Proxy;
use crankmux_membership::assumptions::ClusterAssumption;
use serde_json::Value;

impl Proxy {
    /// Joins the cluster, if the operator configuration has one.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be opened or a key is invalid.
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

    /// Applies a reloaded configuration. Keys and seeds change at once, everything else at the next start.
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
                log::info!("cluster: enabling or disabling it takes effect at the next start");
            }
        }
    }

    /// The cluster size in the settings.
    pub fn configured_cluster_size(&self) -> f64 {
        self.active_configuration
            .pointer("/settings/GroupSize")
            .and_then(Value::as_f64)
            .unwrap_or(1.0)
            .max(1.0)
    }

    /// Leaves the cluster to a newer process of this proxy, which joins under the same address. This process gives up
    /// its slow-start share, so that both together do not exceed it.
    pub fn yield_cluster(&mut self) {
        if let Some(mut cluster) = self.cluster.take() {
            cluster.socket.deregister(&self.registry);
            self.assumed_cluster = Some(ClusterAssumption {
                slow_start_share: 0.0,
                ..cluster.assumed()
            });
        }
        // Reserved for the socket in case this process has to rejoin.
        self.replenish_reserve_of(DescriptorPurpose::Cluster);
    }

    /// Rejoins the cluster after the newer process has failed.
    pub fn rejoin_cluster(&mut self) {
        if self.cluster.is_some() {
            return;
        }
        self.reserved_descriptors
            .release(DescriptorPurpose::Cluster);
        if let Err(error) = self.join_cluster() {
            log::error!("cluster: cannot rejoin: {error}");
            self.replenish_reserve_of(DescriptorPurpose::Cluster);
        }
    }

    /// Announces to the other members that this proxy shuts down and sends no more requests.
    pub fn leave_cluster(&mut self) {
        let now_ms = self.now();
        if let Some(cluster) = &mut self.cluster {
            cluster.membership.leave(now_ms);
            cluster.send();
        }
    }
}
