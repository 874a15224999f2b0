//! Upgrades: a newer process beside an older one, both one proxy. The older one hands over its listener and what
//! it knows through a Unix socket in the state directory.

mod learned_state;
mod newer_process;
mod older_process;
mod protocol;
mod snapshot;

pub use learned_state::{ClassSnapshot, EndpointSnapshot, LearnedStateSnapshot};
pub use protocol::{request_handover, Handover, HandoverError};
pub use snapshot::HandoverSnapshot;

use crate::lifecycle::state_directory::StateDirectory;
use crate::tokens::{OLDER_PROCESS, UPGRADE_LISTENER};
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry};
use std::io;

/// This process among those of its proxy. One that was handed over to may hand over itself before the older one
/// has ended.
pub struct Upgrade {
    /// Where a newer process asks for a handover; none where no socket can be made.
    listener: Option<UnixListener>,
    older: OlderProcess,
    /// The connection to the newer process, while one runs.
    newer: Option<UnixStream>,
}

/// The process before this one.
#[derive(Default)]
enum OlderProcess {
    /// There is none, or none any more.
    #[default]
    None,
    /// It accepts clients; this one does not yet.
    Accepting(OlderConnection),
    /// This process accepts clients; the older one finishes what it has.
    Draining(OlderConnection),
}

struct OlderConnection {
    stream: UnixStream,
    /// While the older process runs, this one and those after it have the limits divided by this.
    share_divisor: u8,
}

impl OlderProcess {
    fn connection(&self) -> Option<&OlderConnection> {
        match self {
            OlderProcess::None => None,
            OlderProcess::Accepting(older) | OlderProcess::Draining(older) => Some(older),
        }
    }

    fn connection_mut(&mut self) -> Option<&mut OlderConnection> {
        match self {
            OlderProcess::None => None,
            OlderProcess::Accepting(older) | OlderProcess::Draining(older) => Some(older),
        }
    }
}

impl Upgrade {
    /// Starts as the newer process of a handover, or as the only one, and listens for a newer one still.
    ///
    /// # Errors
    ///
    /// The event loop cannot watch a socket.
    pub fn new(
        handover: Option<Handover>,
        state_directory: &StateDirectory,
        registry: &Registry,
    ) -> io::Result<Self> {
        let mut upgrade = Upgrade {
            listener: None,
            older: OlderProcess::None,
            newer: None,
        };
        if let Some(handover) = handover {
            handover.stream.set_nonblocking(true)?;
            let mut stream = UnixStream::from_std(handover.stream);
            registry.register(&mut stream, OLDER_PROCESS, Interest::READABLE)?;
            upgrade.older = OlderProcess::Accepting(OlderConnection {
                stream,
                share_divisor: handover.share_divisor,
            });
        }
        upgrade.listen(state_directory, registry)?;
        Ok(upgrade)
    }

    /// Listens for a newer process.
    fn listen(&mut self, state_directory: &StateDirectory, registry: &Registry) -> io::Result<()> {
        let Some(path) = protocol::socket_path(state_directory) else {
            return Ok(());
        };
        if let Some(mut listener) = self.listener.take() {
            let _ = registry.deregister(&mut listener);
        }
        // A socket left by a crash or by another process leads nowhere any more, or not to this one.
        let _ = std::fs::remove_file(&path);
        match UnixListener::bind(&path) {
            Ok(mut listener) => {
                registry.register(&mut listener, UPGRADE_LISTENER, Interest::READABLE)?;
                self.listener = Some(listener);
            }
            Err(error) => log::warn!(
                "no upgrade can be handed over at {}: {error}",
                path.display()
            ),
        }
        Ok(())
    }

    /// Accepts the connection of a newer process; where there is no listener, none waits.
    fn accept(&self) -> io::Result<UnixStream> {
        match &self.listener {
            Some(listener) => listener.accept().map(|(stream, _)| stream),
            None => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Whether it leaves clients to the older process still.
    pub fn waits_to_accept(&self) -> bool {
        matches!(self.older, OlderProcess::Accepting(_))
    }

    /// Whether another process of this proxy runs.
    pub fn has_other_process(&self) -> bool {
        self.older.connection().is_some() || self.newer.is_some()
    }

    /// Whether it has handed over to a newer process.
    pub fn has_newer_process(&self) -> bool {
        self.newer.is_some()
    }

    /// This process's share of the proxy's limits.
    pub fn process_share(&self) -> f64 {
        let processes = if self.newer.is_some() { 2.0 } else { 1.0 };
        1.0 / (f64::from(self.share_divisor()) * processes)
    }

    /// This process and those after it have the proxy's limits divided by this.
    fn share_divisor(&self) -> u8 {
        self.older
            .connection()
            .map_or(1, |older| older.share_divisor)
    }
}
