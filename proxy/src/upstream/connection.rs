//! A connection to an endpoint and its state machine.

use super::attempt::Attempt;
use crate::buffers::{Buffer, ReadOutcome};
use crate::timers::TimerKey;
use crate::turn::StepBudget;
use crankmux::types::EndpointId;
use mio::net::TcpStream;
use std::net::SocketAddr;

/// A process of an endpoint. A restarted endpoint is another process, even at the same address.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointProcess {
    /// The address it listens on.
    pub address: SocketAddr,
    /// Its start time, in Unix milliseconds.
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

/// The state of a connection.
pub enum ConnectionState<P> {
    /// The TCP handshake is in progress, and the attempt waits for it.
    Connecting(Attempt<P>),
    /// An attempt is in flight.
    Active(Attempt<P>),
    /// The connection is kept open for reuse.
    Idle {
        /// When the last response was complete.
        since: f64,
    },
}

/// A connection to an endpoint, with its attempt if there is one.
pub struct UpstreamConnection<P> {
    /// The socket.
    pub stream: TcpStream,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The process that the connection was opened to.
    pub(super) process: EndpointProcess,
    /// The timeout of the attempt or of the idle connection.
    pub timer: Option<TimerKey>,
    /// A timer is set to handle the connection again, as no buffer was free for it.
    pub(super) waits_for_buffer: bool,
    /// The steps taken in this turn of the event loop.
    pub(crate) step_budget: StepBudget,
    state: ConnectionState<P>,
}

impl<P> UpstreamConnection<P> {
    /// Creates a connection that is being established for an attempt.
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
            waits_for_buffer: false,
            step_budget: StepBudget::default(),
            state: ConnectionState::Connecting(attempt),
        }
    }

    /// The current state.
    pub fn state(&self) -> &ConnectionState<P> {
        &self.state
    }

    /// The attempt in flight, or waiting for the handshake.
    pub fn attempt(&self) -> Option<&Attempt<P>> {
        match &self.state {
            ConnectionState::Connecting(attempt) | ConnectionState::Active(attempt) => {
                Some(attempt)
            }
            ConnectionState::Idle { .. } => None,
        }
    }

    /// Mutable access to the attempt.
    pub fn attempt_mut(&mut self) -> Option<&mut Attempt<P>> {
        self.stream_and_attempt().map(|(_, attempt)| attempt)
    }

    /// Mutable access to both the socket and the attempt.
    pub fn stream_and_attempt(&mut self) -> Option<(&mut TcpStream, &mut Attempt<P>)> {
        match &mut self.state {
            ConnectionState::Connecting(attempt) | ConnectionState::Active(attempt) => {
                Some((&mut self.stream, attempt))
            }
            ConnectionState::Idle { .. } => None,
        }
    }

    /// Whether the TCP handshake is complete.
    pub fn is_connected(&self) -> bool {
        !matches!(self.state, ConnectionState::Connecting(_))
    }

    /// Whether there is an attempt of which nothing has been written.
    pub fn is_unsent(&self) -> bool {
        self.attempt().is_some_and(Attempt::is_unsent)
    }

    /// When the connection became idle, if it is.
    pub fn idle_since(&self) -> Option<f64> {
        match self.state {
            ConnectionState::Idle { since } => Some(since),
            ConnectionState::Connecting(_) | ConnectionState::Active(_) => None,
        }
    }

    /// Transition from idle to active.
    pub fn start_attempt(&mut self, attempt: Attempt<P>) {
        debug_assert!(
            self.idle_since().is_some(),
            "the connection already has an attempt"
        );
        self.state = ConnectionState::Active(attempt);
    }

    /// Transition from connecting to active: the TCP handshake is complete.
    pub fn finish_handshake(&mut self) {
        let state = std::mem::replace(&mut self.state, ConnectionState::Idle { since: 0.0 });
        self.state = match state {
            ConnectionState::Connecting(attempt) => ConnectionState::Active(attempt),
            active_or_idle => active_or_idle,
        };
    }

    /// Transition to idle. Returns the attempt.
    pub fn finish_attempt(&mut self, now: f64) -> Option<Attempt<P>> {
        let idle = ConnectionState::Idle { since: now };
        match std::mem::replace(&mut self.state, idle) {
            ConnectionState::Connecting(attempt) | ConnectionState::Active(attempt) => {
                Some(attempt)
            }
            ConnectionState::Idle { .. } => None,
        }
    }

    /// Reads from the socket. A close after a failed write is reported as a failure.
    pub fn read_into(&mut self, read_buffer: &mut Buffer) -> ReadOutcome {
        let write_failed = self.attempt().is_some_and(|attempt| attempt.write_failed);
        match read_buffer.read_from(&mut self.stream) {
            ReadOutcome::Closed if write_failed => ReadOutcome::Failed,
            read_outcome => read_outcome,
        }
    }
}
