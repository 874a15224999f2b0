//! A connection to an endpoint, as the states that it goes through.

use super::attempt::Attempt;
use crate::buffers::{Buffer, ReadOutcome};
use crate::timers::TimerKey;
use crankmux::types::EndpointId;
use mio::net::TcpStream;
use std::net::SocketAddr;

/// One life of an endpoint. After a restart it is another process, also where it has the same address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointProcess {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, in Unix milliseconds.
    pub started_at: f64,
}

impl From<(SocketAddr, f64)> for EndpointProcess {
    fn from((address, started_at): (SocketAddr, f64)) -> Self {
        EndpointProcess {
            address,
            started_at,
        }
    }
}

/// What a connection does.
pub enum ConnectionState<P> {
    /// The TCP handshake is under way, for an attempt that waits for it.
    Connecting(Attempt<P>),
    /// An attempt is in flight.
    Active(Attempt<P>),
    /// It is kept open for the next attempt.
    Idle {
        /// When the last response had been received.
        since: f64,
    },
}

/// A connection to an endpoint, with the attempt that it carries, if any.
pub struct UpstreamConnection<P> {
    /// The socket.
    pub stream: TcpStream,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The process that it was opened to.
    pub(super) process: EndpointProcess,
    /// When the attempt times out, or the idle connection is closed.
    pub timer: Option<TimerKey>,
    state: ConnectionState<P>,
}

impl<P> UpstreamConnection<P> {
    /// A connection that is being opened for an attempt.
    pub fn connecting(
        stream: TcpStream,
        endpoint: EndpointId,
        process: EndpointProcess,
        attempt: Attempt<P>,
    ) -> Self {
        UpstreamConnection {
            stream,
            endpoint,
            process,
            timer: None,
            state: ConnectionState::Connecting(attempt),
        }
    }

    /// What it does now.
    pub fn state(&self) -> &ConnectionState<P> {
        &self.state
    }

    /// The attempt that it carries, or will carry once it is connected.
    pub fn attempt(&self) -> Option<&Attempt<P>> {
        match &self.state {
            ConnectionState::Connecting(attempt) | ConnectionState::Active(attempt) => {
                Some(attempt)
            }
            ConnectionState::Idle { .. } => None,
        }
    }

    /// As `attempt`, to be changed.
    pub fn attempt_mut(&mut self) -> Option<&mut Attempt<P>> {
        self.stream_and_attempt().map(|(_, attempt)| attempt)
    }

    /// The socket beside the attempt that reads from it or writes to it.
    pub fn stream_and_attempt(&mut self) -> Option<(&mut TcpStream, &mut Attempt<P>)> {
        match &mut self.state {
            ConnectionState::Connecting(attempt) | ConnectionState::Active(attempt) => {
                Some((&mut self.stream, attempt))
            }
            ConnectionState::Idle { .. } => None,
        }
    }

    /// Whether it is connected.
    pub fn is_connected(&self) -> bool {
        !matches!(self.state, ConnectionState::Connecting(_))
    }

    /// Whether it carries an attempt of which nothing has been written.
    pub fn is_unsent(&self) -> bool {
        self.attempt().is_some_and(Attempt::is_unsent)
    }

    /// Since when it has been idle, if it is.
    pub fn idle_since(&self) -> Option<f64> {
        match self.state {
            ConnectionState::Idle { since } => Some(since),
            ConnectionState::Connecting(_) | ConnectionState::Active(_) => None,
        }
    }

    /// Idle to active: it carries an attempt from now on.
    pub fn start_attempt(&mut self, attempt: Attempt<P>) {
        debug_assert!(
            self.idle_since().is_some(),
            "a connection carries one attempt"
        );
        self.state = ConnectionState::Active(attempt);
    }

    /// Connecting to active: the TCP handshake is done.
    pub fn connected(&mut self) {
        let state = std::mem::replace(&mut self.state, ConnectionState::Idle { since: 0.0 });
        self.state = match state {
            ConnectionState::Connecting(attempt) => ConnectionState::Active(attempt),
            active_or_idle => active_or_idle,
        };
    }

    /// Active to idle: takes the attempt out.
    pub fn finish_attempt(&mut self, now: f64) -> Option<Attempt<P>> {
        let idle = ConnectionState::Idle { since: now };
        match std::mem::replace(&mut self.state, idle) {
            ConnectionState::Connecting(attempt) | ConnectionState::Active(attempt) => {
                Some(attempt)
            }
            ConnectionState::Idle { .. } => None,
        }
    }

    /// Reads what has come of a response. An end after a failed write counts as broken.
    pub fn read_into(&mut self, inbox: &mut Buffer) -> ReadOutcome {
        let write_failed = self.attempt().is_some_and(|attempt| attempt.write_failed);
        match inbox.read_from(&mut self.stream) {
            ReadOutcome::Closed if write_failed => ReadOutcome::Failed,
            filled => filled,
        }
    }
}
