//! The admin API for operators: HTTP/1.1, one request per connection, answered as soon as the request head is
//! complete.
//!
//! - `connections` accepts, bounds and closes connections.
//! - `connection` reads the request and writes the response of one connection.
//! - `request` parses a method and path into an `AdminRequest`.
//! - `response` builds responses.
//! - `handlers` executes requests.
//! - `disabled_endpoints` tracks the endpoints that operators have disabled.

mod connection;
mod connections;
/// Endpoints disabled by operators, persisted across restarts.
pub mod disabled_endpoints;
mod handlers;
/// Admin API requests and their routes.
pub mod request;
mod response;

use crate::admin::connection::AdminConnection;
use crate::tokens::{ADMIN_LISTENER, MAX_ADMIN_CALLERS};
use crate::turn::StepBudget;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use std::io;
use std::net::SocketAddr;

/// The listener of the admin API and its open connections.
#[derive(Default)]
pub struct AdminServer {
    listener: Option<TcpListener>,
    connections: [Option<AdminConnection>; MAX_ADMIN_CALLERS],
    /// Connections accepted in this turn of the event loop.
    accept_budget: StepBudget,
}

impl AdminServer {
    /// Creates a server without connections. Without a listener the admin API is off.
    pub fn new(listener: Option<TcpListener>) -> Self {
        AdminServer {
            listener,
            ..AdminServer::default()
        }
    }

    /// Accepts one connection. Without a listener this fails with `WouldBlock`.
    fn accept(&self) -> io::Result<TcpStream> {
        match &self.listener {
            Some(listener) => listener.accept().map(|(stream, _)| stream),
            None => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Whether the admin API is on.
    pub(crate) fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    pub(crate) fn connection_count(&self) -> usize {
        self.connections.iter().flatten().count()
    }

    fn free_slot(&self) -> Option<usize> {
        self.connections.iter().position(Option::is_none)
    }

    /// The slot of the first connection in eviction order that passes the filter.
    fn eviction_candidate(&self, may_evict: impl Fn(&AdminConnection) -> bool) -> Option<usize> {
        let connections = self.connections.iter().enumerate();
        connections
            .filter_map(|(slot, connection)| Some((slot, connection.as_ref()?)))
            .filter(|(_, connection)| may_evict(connection))
            .min_by(|(_, one), (_, other)| one.cmp_eviction_order(other))
            .map(|(slot, _)| slot)
    }
}

/// Listens at an address and registers the listener with the event loop.
///
/// # Errors
///
/// Fails if the address cannot be bound or the listener cannot be registered.
pub fn listen(address: SocketAddr, registry: &Registry) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address)?;
    registry.register(&mut listener, ADMIN_LISTENER, Interest::READABLE)?;
    log::info!("admin API at {}", listener.local_addr()?);
    Ok(listener)
}
