//! Reload: the configuration's file is read again, and what may change while ops are under way is taken over.

use super::charter;
use super::configuration::Configuration;
use crate::proxy::Proxy;
use crate::wire::fleet::Entry;
use crankmux_charter::FleetCharter;

/// Ops, connections and all that was learnt live on, whatever the new file holds.
pub fn again(proxy: &mut Proxy) {
    proxy.free_descriptor();
    // Danger: a faulty file, or one half written, would end a node that serves. It keeps what it has.
    let taken = Configuration::again(&proxy.running).and_then(|new| {
        let fleet = charter::named()?.fleet;
        take_over(proxy, new, fleet)
    });
    match taken {
        Ok(()) => {
            proxy.tally.applied += 1;
            log::info!("listen, admin_addr, limits, seed, name and known count from the next start");
        }
        Err(e) => {
            proxy.tally.rejected += 1;
            log::error!("the configuration stays as it was: {e}");
        }
    }
}

/// All that can fail comes first, on a copy of the names: no half of a file is ever in force.
fn take_over(
    proxy: &mut Proxy,
    new: Configuration,
    fleet: Option<(FleetCharter, Vec<String>)>,
) -> Result<(), String> {
    let entry = fleet.map(|(fleet, keys)| Entry::new(fleet, keys, &new));
    let mut names = proxy.names.clone();
    let given = names.renew(&new.whole["settings"]);
    proxy.dispatcher.renew(given)?;
    proxy.names = names;
    proxy.servers.take_times(new.connect_within, new.keepalive);
    proxy.longest_ttl = new.longest_ttl;
    proxy.key_header = new.key_header;
    proxy.running = new.whole;
    proxy.take_entry(entry);
    // The new settings tell another number of nodes, over which the fleet's own word stands.
    proxy.take_share();
    proxy.follow_discovery(new.discovery);
    log::info!("configuration read again; discovery at {}", new.discovery);
    Ok(())
}
