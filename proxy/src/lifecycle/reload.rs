//! Reload: the configuration's file is read again, and what may change while ops are under way is taken over.

use crate::cluster::ClusterConfig;
use crate::config::configuration::Configuration;
use crate::config::operator_config;
use crate::proxy::Proxy;
use crankmux_operator_config::ClusterOptions;

/// Requests, connections and all that was learnt live on, whatever the new file holds.
pub fn again(proxy: &mut Proxy) {
    proxy.free_descriptor();
    // Danger: a faulty file, or one half written, would end a node that serves. It keeps what it has.
    let taken = Configuration::again(&proxy.active_configuration).and_then(|new| {
        let fleet = operator_config::named()?.fleet;
        take_over(proxy, new, fleet)
    });
    match taken {
        Ok(()) => {
            proxy.access_metrics.applied += 1;
            log::info!(
                "listen, admin_addr, limits, seed, name and known count from the next start"
            );
        }
        Err(e) => {
            proxy.access_metrics.rejected += 1;
            log::error!("the configuration stays as it was: {e}");
        }
    }
}

/// All that can fail comes first, on a copy of the names: no half of a file is ever in force.
fn take_over(
    proxy: &mut Proxy,
    new: Configuration,
    fleet: Option<(ClusterOptions, Vec<String>)>,
) -> Result<(), String> {
    let entry = fleet.map(|(fleet, keys)| ClusterConfig::new(fleet, keys, &new));
    let mut names = proxy.name_index.clone();
    let given = names.update(&new.whole["settings"]);
    proxy.dispatcher.update_settings(given)?;
    proxy.name_index = names;
    proxy
        .upstream
        .set_timeouts(new.connect_within, new.keepalive);
    proxy.longest_ttl_ms = new.longest_ttl;
    proxy.key_header = new.key_header;
    proxy.active_configuration = new.whole;
    proxy.reload_cluster(entry);
    // The new settings tell another number of nodes, over which the fleet's own word stands.
    proxy.apply_process_share();
    proxy.watch_discovery(new.discovery);
    log::info!("configuration read again; discovery at {}", new.discovery);
    Ok(())
}
