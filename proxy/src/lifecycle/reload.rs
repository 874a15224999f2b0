//! Reload: the configuration is read again, and what may change while requests are in flight is applied.

use crate::cluster::ClusterConfig;
use crate::config::configuration::Configuration;
use crate::config::operator_config::{self, LoadedClusterOptions, OperatorConfigError};
use crate::config::ConfigurationError;
use crate::proxy::Proxy;
use crankmux::settings::SettingsError;

/// Why a reload was rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The load balancer rejects the settings.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Reads both files again. Requests, connections and learned state live on, whatever the new files hold; a
/// faulty file, or one half written, is rejected whole, as ending a proxy that serves would be worse.
pub fn reload(proxy: &mut Proxy) {
    match load_and_apply(proxy) {
        Ok(()) => {
            proxy.access_metrics.reloads_applied += 1;
            log::info!(
                "listen, admin_addr, limits, seed, name and known count from the next start"
            );
        }
        Err(error) => {
            proxy.access_metrics.reloads_rejected += 1;
            log::error!("the configuration stays as it was: {error}");
        }
    }
}

fn load_and_apply(proxy: &mut Proxy) -> Result<(), ReloadError> {
    let (configuration, cluster) = proxy.with_file_descriptor(|proxy| load(proxy))?;
    apply(proxy, configuration, cluster)
}

fn load(proxy: &Proxy) -> Result<(Configuration, Option<LoadedClusterOptions>), ReloadError> {
    let configuration = Configuration::reload(&proxy.active_configuration)?;
    let operator_config = operator_config::load()?;
    Ok((configuration, operator_config.cluster))
}

/// All that can fail comes first, on a copy of the names: no half of a file is ever in force.
fn apply(
    proxy: &mut Proxy,
    new: Configuration,
    cluster: Option<LoadedClusterOptions>,
) -> Result<(), ReloadError> {
    let cluster_config =
        cluster.map(|cluster| ClusterConfig::new(cluster.options, cluster.keys, &new));
    let mut name_index = proxy.name_index.clone();
    let settings = name_index.update(&new.document["settings"])?;
    proxy.dispatcher.update_settings(settings);
    proxy.name_index = name_index;
    proxy
        .upstream
        .set_timeouts(new.connect_timeout_ms, new.keepalive_ms);
    proxy.longest_ttl_ms = new.longest_ttl_ms;
    proxy.key_header = new.key_header;
    proxy.active_configuration = new.document;
    proxy.reload_cluster(cluster_config);
    // The new settings tell another number of proxies; the cluster's own estimate takes precedence over it.
    proxy.apply_process_share();
    proxy.set_discovery_address(new.discovery);
    log::info!("configuration read again; discovery at {}", new.discovery);
    Ok(())
}
