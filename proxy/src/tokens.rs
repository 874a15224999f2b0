//! Poll tokens and the event sources that they identify.

use crate::slot_table::{DownstreamKey, UpstreamKey};
use mio::Token;

/// Limit on concurrent connections to the admin API.
pub const MAX_ADMIN_CALLERS: usize = 12;

/// The listener for clients.
pub const LISTENER: Token = Token(0);
/// Process signals.
pub const SIGNALS: Token = Token(1);
/// The connection to discovery.
pub const DISCOVERY: Token = Token(2);
/// The listener of the admin API.
pub const ADMIN_LISTENER: Token = Token(3);
/// The Unix socket that a newer process connects to.
pub const UPGRADE_LISTENER: Token = Token(4);
/// The connection to the newer process of an upgrade.
pub const NEWER_PROCESS: Token = Token(5);
/// The connection to the older process of an upgrade.
pub const OLDER_PROCESS: Token = Token(6);
/// The cluster's UDP socket.
pub const CLUSTER: Token = Token(7);

const FIRST_ADMIN_CALLER: usize = 8;
/// The first token of a connection. Even offsets from here identify clients, odd ones endpoints.
const FIRST_CONNECTION: usize = FIRST_ADMIN_CALLER + MAX_ADMIN_CALLERS;

/// Returns the token of a connection to the admin API.
pub const fn admin_caller_token(slot: usize) -> Token {
    Token(FIRST_ADMIN_CALLER + slot)
}

/// Returns the token of a client connection.
pub const fn client_token(key: DownstreamKey) -> Token {
    Token(FIRST_CONNECTION + 2 * key.index())
}

/// Returns the token of a connection to an endpoint.
pub const fn upstream_token(key: UpstreamKey) -> Token {
    Token(FIRST_CONNECTION + 2 * key.index() + 1)
}

/// The source of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventSource {
    /// The listener for clients.
    Listener,
    /// Process signals.
    Signals,
    /// The connection to discovery.
    Discovery,
    /// The listener of the admin API.
    AdminListener,
    /// The Unix socket that a newer process connects to.
    UpgradeListener,
    /// The connection to the newer process of an upgrade.
    NewerProcess,
    /// The connection to the older process of an upgrade.
    OlderProcess,
    /// The cluster's UDP socket.
    Cluster,
    /// A connection to the admin API, by slot.
    AdminCaller(usize),
    /// A client connection.
    Client(DownstreamKey),
    /// A connection to an endpoint.
    Upstream(UpstreamKey),
}

impl EventSource {
    /// Returns the source that a token identifies.
    pub const fn of(token: Token) -> Self {
        match token {
            LISTENER => EventSource::Listener,
            SIGNALS => EventSource::Signals,
            DISCOVERY => EventSource::Discovery,
            ADMIN_LISTENER => EventSource::AdminListener,
            UPGRADE_LISTENER => EventSource::UpgradeListener,
            NEWER_PROCESS => EventSource::NewerProcess,
            OLDER_PROCESS => EventSource::OlderProcess,
            CLUSTER => EventSource::Cluster,
            Token(number) if number < FIRST_CONNECTION => {
                EventSource::AdminCaller(number - FIRST_ADMIN_CALLER)
            }
            Token(number) => {
                let offset = number - FIRST_CONNECTION;
                if offset.is_multiple_of(2) {
                    EventSource::Client(DownstreamKey::new(offset / 2))
                } else {
                    EventSource::Upstream(UpstreamKey::new(offset / 2))
                }
            }
        }
    }
}
