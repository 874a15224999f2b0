//! The admin API for operators: HTTP/1.1, one call to a connection, answered as soon as its head is complete.
//!
//! - `callers` accepts connections, keeps a bounded number of them and closes them.
//! - `caller` is one connection: it reads the call and writes the response.
//! - `request` routes a call to an `request::AdminRequest`, or says why there is none.
//! - `response` is what goes back.
//! - `handlers` carries out requests.
//! - `disabled_endpoints` keeps the endpoints that operators disabled.

mod caller;
mod callers;
/// Endpoints that operators disabled, kept in files across restarts.
pub mod disabled_endpoints;
mod handlers;
/// Requests of the admin API and their routes.
pub mod request;
mod response;

use crate::admin::caller::Caller;
use crate::tokens::{ADMIN_LISTENER, MAX_ADMIN_CALLERS};
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry};
use std::io;
use std::net::SocketAddr;

/// The listener of the admin API, and its callers.
#[derive(Default)]
pub struct AdminServer {
    listener: Option<TcpListener>,
    callers: [Option<Caller>; MAX_ADMIN_CALLERS],
}

impl AdminServer {
    /// A server without callers; without a listener it never has any.
    pub fn new(listener: Option<TcpListener>) -> Self {
        AdminServer {
            listener,
            ..AdminServer::default()
        }
    }

    /// Accepts one connection; where there is no listener, none waits.
    fn accept(&self) -> io::Result<TcpStream> {
        match &self.listener {
            Some(listener) => listener.accept().map(|(stream, _)| stream),
            None => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Whether operators can call.
    pub(crate) fn is_listening(&self) -> bool {
        self.listener.is_some()
    }

    /// The number of callers.
    pub(crate) fn caller_count(&self) -> usize {
        self.callers.iter().flatten().count()
    }

    fn free_slot(&self) -> Option<usize> {
        self.callers.iter().position(Option::is_none)
    }

    /// The caller that makes room for a new one, of those that may; none where none may.
    fn least_needed(&self, may_close: impl Fn(&Caller) -> bool) -> Option<usize> {
        let callers = self.callers.iter().enumerate();
        callers
            .filter_map(|(slot, caller)| Some((slot, caller.as_ref()?)))
            .filter(|(_, caller)| may_close(caller))
            .min_by(|(_, one), (_, other)| one.cmp_need(other))
            .map(|(slot, _)| slot)
    }
}

/// Listens at an address, and registers the listener with the event loop.
///
/// # Errors
///
/// The address cannot be bound, or the listener not registered.
pub fn listen(address: SocketAddr, registry: &Registry) -> io::Result<TcpListener> {
    let mut listener = TcpListener::bind(address)?;
    registry.register(&mut listener, ADMIN_LISTENER, Interest::READABLE)?;
    log::info!("admin API at {}", listener.local_addr()?);
    Ok(listener)
}
