//! Start: one event loop over everything, until told to stop.

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

/// Why the proxy could not start, or not go on.
#[derive(Debug, thiserror::Error)]
pub enum RunError {
    /// The platform's configuration is faulty.
    #[error(transparent)]
    Configuration(#[from] ConfigurationError),
    /// The operator's configuration is faulty. No start with half of one: it would be another than was meant.
    #[error(transparent)]
    OperatorConfig(#[from] OperatorConfigError),
    /// The system gives no means to wait for events.
    #[error("cannot set up the event loop: {0}")]
    EventLoopSetup(#[source] io::Error),
    /// Signals cannot be received.
    #[error("cannot receive signals: {0}")]
    Signals(#[source] io::Error),
    /// A socket or a part of the proxy cannot be set up.
    #[error(transparent)]
    Proxy(#[from] ProxyError),
    /// Waiting for events failed.
    #[error("cannot wait for events: {0}")]
    EventLoop(#[source] io::Error),
}

/// Runs the proxy until it is told to stop and all that it accepted is answered.
///
/// # Errors
///
/// Why it could not start, or not go on.
pub fn run() -> Result<(), RunError> {
    let configuration = Configuration::load()?;
    let cluster_options = operator_config::load()?.cluster;
    let cluster_config = cluster_options
        .map(|cluster| ClusterConfig::new(cluster.options, cluster.keys, &configuration));
    let mut poll = Poll::new().map_err(RunError::EventLoopSetup)?;
    let mut signals = watch_signals(&poll).map_err(RunError::Signals)?;
    let mut proxy = Proxy::new(configuration, cluster_config, &poll)?;
    // Room for an event of each descriptor: were some left for the next turn, timers that are due would run
    // ahead of them.
    let mut events = Events::with_capacity(proxy.sockets());
    let mut shutdown = Shutdown::default();
    while !shutdown.done(&mut proxy) {
        let signalled = proxy
            .turn(&mut poll, &mut events)
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
