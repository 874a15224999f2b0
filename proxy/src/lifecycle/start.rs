//! Start: one event loop over everything, until told to stop.

use super::reload;
use super::shutdown::Shutdown;
use crate::cluster::ClusterConfig;
use crate::config::configuration::Configuration;
use crate::config::operator_config;
use crate::proxy::Proxy;
use crate::tokens::SIGNALS;
use mio::{Events, Interest, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

pub fn run() -> Result<(), String> {
    let configuration = Configuration::at_start()?;
    // Danger: a faulty charter, half taken, would be another than was meant. No start with one.
    let fleet = operator_config::named()?.fleet;
    let entry = fleet.map(|(fleet, keys)| ClusterConfig::new(fleet, keys, &configuration));
    let text = |e: std::io::Error| e.to_string();
    let mut poll = Poll::new().map_err(text)?;
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP]).map_err(text)?;
    poll.registry()
        .register(&mut signals, SIGNALS, Interest::READABLE)
        .map_err(text)?;
    let mut proxy = Proxy::new(configuration, entry, &poll).map_err(|error| error.to_string())?;
    // Danger: were some that lie ready left for the next turn, what is due would be done ahead of them.
    let mut events = Events::with_capacity(proxy.sockets());
    let mut stop = Shutdown::default();
    while !stop.done(&mut proxy) {
        if proxy.turn(&mut poll, &mut events).map_err(text)? {
            for signal in signals.pending() {
                match signal {
                    SIGHUP => reload::again(&mut proxy),
                    SIGUSR1 => log::info!("{}", proxy.counters),
                    _ => stop.begin(&mut proxy),
                }
            }
        }
    }
    proxy.leave_cluster();
    log::info!("{}", proxy.counters);
    Ok(())
}
