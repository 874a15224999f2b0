//! Reload: the configuration's file is read again, and what may change while ops are under way is taken over.

use super::configuration::Configuration;
use crate::proxy::Proxy;

/// Ops, connections and all that was learnt live on, whatever the new file holds.
pub fn again(proxy: &mut Proxy) {
    // Danger: a faulty file, or one half written, would end a node that serves. It keeps what it has.
    let new = match Configuration::again() {
        Ok(new) => new,
        Err(e) => {
            proxy.tally.rejected += 1;
            return log::error!("the configuration stays as it was: {e}");
        }
    };
    proxy.tally.applied += 1;
    proxy.servers.take_times(new.connect_within, new.keepalive);
    proxy.follow_discovery(new.discovery);
    log::info!("configuration read again; discovery at {}", new.discovery);
    log::info!("listen, limits, seed, known and all other settings count from the next start");
}
