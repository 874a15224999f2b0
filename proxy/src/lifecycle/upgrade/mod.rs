//! Upgrades without downtime: an older process hands its listener and state over to a newer process of the same proxy,
//! through a Unix socket in the state directory.

mod learned_state;
mod newer_process;
mod older_process;
mod protocol;
mod shared_request_ids;
mod snapshot;

pub use learned_state::{ClassSnapshot, EndpointSnapshot, LearnedStateSnapshot};
pub use protocol::{request_handover, Handover, HandoverError};
pub use snapshot::HandoverSnapshot;

use crate::lifecycle::state_directory::StateDirectory;
use crate::tokens::{OLDER_PROCESS, UPGRADE_LISTENER};
use crate::turn::StepBudget;
use mio::net::{UnixListener, UnixStream};
use mio::{Interest, Registry};
use std::io;

/// The connections of this process to the other processes of its proxy. A newer process may hand over to a third one
/// before the older one has exited.
pub struct Upgrade {
    /// Where a newer process requests a handover; `None` if the socket could not be created.
    listener: Option<UnixListener>,
    older: OlderProcess,
    /// The connection to the newer process, while it runs.
    newer: Option<UnixStream>,
    /// Connections accepted in this turn of the event loop.
    accept_budget: StepBudget,
}

/// The process that this one replaces.
#[derive(Default)]
enum OlderProcess {
    /// There is none, or it has exited.
    #[default]
    None,
    /// The older process still accepts clients; this one does not.
    Accepting(OlderConnection),
    /// This process accepts clients; the older one completes its requests.
    Draining(OlderConnection),
}

struct OlderConnection {
    stream: UnixStream,
    /// While the older process runs, the limits of this process and its successors are divided by this.
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
    /// Starts as the newer process of a handover or as the only process, and listens for a newer one.
    ///
    /// # Errors
    ///
    /// Fails if a socket cannot be registered with the event loop.
    pub fn new(
        handover: Option<Handover>,
        state_directory: &StateDirectory,
        registry: &Registry,
    ) -> io::Result<Self> {
        let mut upgrade = Upgrade {
            listener: None,
            older: OlderProcess::None,
            newer: None,
            accept_budget: StepBudget::default(),
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

    /// Listens for a newer process, replacing any earlier listener.
    fn listen(&mut self, state_directory: &StateDirectory, registry: &Registry) -> io::Result<()> {
        let Some(path) = protocol::socket_path(state_directory) else {
            return Ok(());
        };
        if let Some(mut listener) = self.listener.take() {
            let _ = registry.deregister(&mut listener);
        }
        // The socket file may be left from a crash, or belong to another process.
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

    /// Accepts the connection of a newer process; `WouldBlock` without a listener.
    fn accept(&self) -> io::Result<UnixStream> {
        match &self.listener {
            Some(listener) => listener.accept().map(|(stream, _)| stream),
            None => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Whether the older process still accepts clients in place of this one.
    pub fn waits_to_accept(&self) -> bool {
        matches!(self.older, OlderProcess::Accepting(_))
    }

    /// Whether another process of this proxy is running.
    pub fn has_other_process(&self) -> bool {
        self.older.connection().is_some() || self.newer.is_some()
    }

    /// Whether a newer process can request a handover. Without it, both run side by side and know nothing of each other.
    pub fn can_hand_over(&self) -> bool {
        self.listener.is_some()
    }

    /// Whether this process has handed over to a newer one.
    pub fn has_newer_process(&self) -> bool {
        self.newer.is_some()
    }

    /// The fraction of the proxy's limits that this process may use.
    pub fn process_share(&self) -> f64 {
        let processes = if self.newer.is_some() { 2.0 } else { 1.0 };
        1.0 / (f64::from(self.share_divisor()) * processes)
    }

    /// The fraction of the proxy's buffers that this process may use. A newer process leaves half of its share as long as
    /// the older one runs, whose requests in flight may still hold more than theirs.
    pub fn buffer_share(&self) -> f64 {
        match self.older {
            OlderProcess::None => self.process_share(),
            OlderProcess::Accepting(_) | OlderProcess::Draining(_) => self.process_share() / 2.0,
        }
    }

    /// The limits of this process and its successors are divided by this.
    fn share_divisor(&self) -> u8 {
        self.older
            .connection()
            .map_or(1, |older| older.share_divisor)
    }
}
