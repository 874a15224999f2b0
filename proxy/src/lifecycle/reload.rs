//! Configuration reload: applies the settings that can change while requests are in flight.

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
    /// The dispatcher settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
}

/// Reloads both configuration files. Requests, connections and learned state are kept. An invalid or partly written
/// file is rejected as a whole and the proxy keeps running.
pub fn reload(proxy: &mut Proxy) {
    match load_and_apply(proxy) {
        Ok(()) => {
            proxy.access_metrics.reloads_applied += 1;
            log::info!(
                "changes of listen, admin_addr, limits, seed, name and known apply from the next start"
            );
        }
        Err(error) => {
            proxy.access_metrics.reloads_rejected += 1;
            log::error!("reload rejected, the configuration stays as it was: {error}");
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

/// Everything that can fail is done first, on a copy of the name index, so that a file is never applied in part.
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
    // The configured number of proxies may have changed; the cluster's estimate takes precedence.
    proxy.apply_process_share();
    proxy.set_discovery_address(new.discovery);
    log::info!("configuration read again; discovery at {}", new.discovery);
    Ok(())
}
