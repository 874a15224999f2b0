//! Process start and the main loop.

use super::reload;
use super::shutdown::Shutdown;
use crate::cluster::ClusterConfig;
use crate::config::configuration::Configuration;
use crate::config::operator_config::{self, OperatorConfigError};
use crate::config::ConfigurationError;
use crate::proxy::{Proxy, ProxyError};
use crate::tokens::SIGNALS;
use mio::{Events, Interest, Poll};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;
use std::io;

/// Why the proxy could not start or continue.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The platform's configuration is invalid.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The operator's configuration is invalid; it is never applied in part.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The event loop cannot be set up.
    #[error("cannot set up the event loop: {0}")]
    EventLoopSetup(#[source] io::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] io::Error),
    /// The proxy cannot be set up.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// Waiting for events failed.
    #[error("cannot wait for events: {0}")]
    EventLoop(#[source] io::Error),
}

/// Runs the proxy until it is told to stop and every accepted request is answered.
///
/// # Errors
///
/// Fails if the proxy cannot start, or cannot wait for events.
pub fn run() -> Result<(), RunError> {
    let configuration = Configuration::load()?;
    let cluster_options = operator_config::load()?.cluster;
    let cluster_config = cluster_options
        .map(|cluster| ClusterConfig::new(cluster.options, cluster.keys, &configuration));
    let mut poll = Poll::new().map_err(RunError::EventLoopSetup)?;
    let mut signals = watch_signals(&poll).map_err(RunError::Signals)?;
    let mut proxy = Proxy::new(configuration, cluster_config, &poll)?;
    // Room for one event per descriptor: events left for the next turn would be handled after timers already due.
    let mut events = Events::with_capacity(proxy.descriptor_limit());
    let mut shutdown = Shutdown::default();
    while !shutdown.advance(&mut proxy) {
        let signalled = proxy
            .run_once(&mut poll, &mut events)
            .map_err(RunError::EventLoop)?;
        if signalled {
            handle_signals(&mut signals, &mut proxy, &mut shutdown);
        }
    }
    proxy.leave_cluster();
    log::info!("{}", proxy.counters);
    Ok(())
}

fn watch_signals(poll: &Poll) -> io::Result<Signals> {
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGUSR1, SIGHUP])?;
    poll.registry()
        .register(&mut signals, SIGNALS, Interest::READABLE)?;
    Ok(signals)
}

fn handle_signals(signals: &mut Signals, proxy: &mut Proxy, shutdown: &mut Shutdown) {
    for signal in signals.pending() {
        match signal {
            SIGHUP => reload::reload(proxy),
            SIGUSR1 => log::info!("{}", proxy.counters),
            _ => shutdown.begin(proxy),
        }
    }
}
