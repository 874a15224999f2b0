//! The event loop: waits for sockets and timers, and dispatches their events.

use super::Harness;
use crate::connection::Connection;
use crate::due_queue::DueQueue;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Registry, Token};
use slab::Slab;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Tokens below `FIRST_RELAY` are listeners, those below `FIRST_CONNECTION` relays, and the rest connections.
const FIRST_RELAY: usize = 100_000;
const FIRST_CONNECTION: usize = 1_000_000;
const EVENT_CAPACITY: usize = 1024;
/// How often `run_until` evaluates its condition while no event occurs.
const CONDITION_POLL_INTERVAL_MS: f64 = 20.0;

/// The part of the environment that a socket belongs to.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Role {
    /// An endpoint's listener for one proxy, or a connection to it.
    Endpoint { endpoint: usize, proxy: usize },
    /// Discovery for one proxy.
    Discovery { proxy: usize },
    /// A client of a proxy, with its pending request.
    Client {
        proxy: usize,
        request: Option<usize>,
    },
    /// A request for a proxy's membership view.
    Observer { proxy: usize },
    /// A call to a proxy's admin API.
    AdminCall { call: usize },
    /// A client that connects to a proxy and sends nothing.
    IdleClient { proxy: usize },
}

/// A listening socket and the role of the connections that it accepts.
struct Listener {
    socket: TcpListener,
    role: Role,
}

/// An open connection and its role.
pub(super) struct RoleConnection {
    pub(super) connection: Connection,
    pub(super) role: Role,
}

type Callback = Box<dyn FnOnce(&mut Harness)>;

/// The poller with its sockets and timers.
pub(super) struct EventLoop {
    poll: Poll,
    events: Events,
    started: Instant,
    timers: DueQueue<Callback>,
    listeners: Vec<Listener>,
    pub(super) connections: Slab<RoleConnection>,
}

impl EventLoop {
    pub(super) fn new() -> Self {
        EventLoop {
            poll: Poll::new().expect("creating the poller succeeds"),
            events: Events::with_capacity(EVENT_CAPACITY),
            started: Instant::now(),
            timers: DueQueue::default(),
            listeners: Vec::new(),
            connections: Slab::new(),
        }
    }

    pub(super) fn now_ms(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    pub(super) fn registry(&self) -> &Registry {
        self.poll.registry()
    }

    pub(super) fn relay_token(proxy: usize) -> Token {
        Token(FIRST_RELAY + proxy)
    }

    /// Listens on a free loopback port.
    pub(super) fn listen(&mut self, role: Role) -> SocketAddr {
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut socket = TcpListener::bind(any_port).expect("a loopback port is free");
        let address = socket.local_addr().expect("the listener is bound");
        let token = Token(self.listeners.len());
        self.registry()
            .register(&mut socket, token, Interest::READABLE)
            .expect("registering the listener succeeds");
        self.listeners.push(Listener { socket, role });
        address
    }

    /// Registers a connection and returns its key.
    pub(super) fn add_connection(&mut self, mut stream: TcpStream, role: Role) -> usize {
        let entry = self.connections.vacant_entry();
        let key = entry.key();
        let interests = Interest::READABLE | Interest::WRITABLE;
        self.poll
            .registry()
            .register(&mut stream, Token(FIRST_CONNECTION + key), interests)
            .expect("registering the connection succeeds");
        entry.insert(RoleConnection {
            connection: Connection::new(stream),
            role,
        });
        key
    }

    /// Deregisters and returns a connection, if it is still open.
    fn remove_connection(&mut self, key: usize) -> Option<RoleConnection> {
        let mut removed = self.connections.try_remove(key)?;
        // Fails only if the socket is already deregistered.
        let _ = self.registry().deregister(&mut removed.connection.stream);
        Some(removed)
    }

    /// Waits for ready sockets until the timeout, and returns their tokens.
    fn poll_ready(&mut self, timeout: Duration) -> Vec<Token> {
        // After an interrupted wait, the next iteration polls again.
        if self.poll.poll(&mut self.events, Some(timeout)).is_err() {
            return Vec::new();
        }
        self.events.iter().map(|event| event.token()).collect()
    }

    /// Sends a message on a connection, if it is still open.
    pub(super) fn send(&mut self, key: usize, message: &str) {
        if let Some(open) = self.connections.get_mut(key) {
            open.connection.send(message);
        }
    }
}

impl Harness {
    /// Schedules a callback after a delay.
    pub(crate) fn schedule(
        &mut self,
        delay_ms: f64,
        callback: impl FnOnce(&mut Harness) + 'static,
    ) {
        let due_ms = self.now() + delay_ms.max(0.0);
        self.event_loop.timers.insert(due_ms, Box::new(callback));
    }

    /// Processes events for this duration.
    pub fn advance(&mut self, duration_ms: f64) {
        let end_ms = self.now() + duration_ms;
        while self.now() < end_ms {
            self.run_once(end_ms);
        }
    }

    /// Processes events until a condition holds or the timeout expires. Returns whether the condition holds.
    pub fn run_until(
        &mut self,
        timeout_ms: f64,
        mut condition: impl FnMut(&mut Harness) -> bool,
    ) -> bool {
        let end_ms = self.now() + timeout_ms;
        while self.now() < end_ms {
            if condition(self) {
                return true;
            }
            let next_ms = (self.now() + CONDITION_POLL_INTERVAL_MS).min(end_ms);
            self.run_once(next_ms);
        }
        condition(self)
    }

    /// Runs one iteration: first the due callbacks and datagrams, then socket events until the next due time.
    fn run_once(&mut self, end_ms: f64) {
        self.run_due_callbacks();
        let now_ms = self.now();
        self.relays.forward_due(now_ms);
        let timer_ms = self.event_loop.timers.next_due_ms();
        let next_ms = [timer_ms, self.relays.next_due_ms()]
            .into_iter()
            .flatten()
            .fold(end_ms, f64::min);
        let wait = Duration::from_secs_f64((next_ms - now_ms).max(0.0) / 1000.0);
        for token in self.event_loop.poll_ready(wait) {
            self.dispatch(token);
        }
    }

    fn run_due_callbacks(&mut self) {
        loop {
            let now_ms = self.now();
            let Some(callback) = self.event_loop.timers.pop_due(now_ms) else {
                return;
            };
            callback(self);
        }
    }

    fn dispatch(&mut self, Token(token): Token) {
        match token {
            0..FIRST_RELAY => self.accept(token),
            FIRST_RELAY..FIRST_CONNECTION => {
                let now_ms = self.now();
                self.relays
                    .receive(now_ms, token - FIRST_RELAY, &mut self.random);
            }
            _ => self.serve_connection(token - FIRST_CONNECTION),
        }
    }

    fn accept(&mut self, listener: usize) {
        // The error is usually `WouldBlock`; without free descriptors, pending connections stay in the backlog.
        while let Ok((stream, _)) = self.event_loop.listeners[listener].socket.accept() {
            let role = self.event_loop.listeners[listener].role;
            if self.accepts_connections(role) {
                let connection = self.event_loop.add_connection(stream, role);
                // Data that is already readable precedes the other pending events. If it were read later, a hedged
                // attempt could be checked after the response to its request.
                self.serve_connection(connection);
            }
        }
    }

    /// Reads the available input of a connection and handles each complete message.
    fn serve_connection(&mut self, key: usize) {
        loop {
            let Some(open) = self.event_loop.connections.get_mut(key) else {
                return;
            };
            let connection = &mut open.connection;
            connection.flush();
            connection.read_available();
            match open.role {
                Role::Endpoint { endpoint, proxy } => {
                    let Some(request) = connection.take_request() else {
                        break;
                    };
                    self.on_attempt(key, endpoint, proxy, &request.headers);
                }
                Role::Discovery { proxy } => {
                    let Some(request) = connection.take_request() else {
                        break;
                    };
                    self.on_discovery_poll(key, proxy, &request.path);
                }
                Role::Client { proxy, request } => {
                    let Some(response) = connection.take_response() else {
                        break;
                    };
                    self.on_response(key, proxy, request, &response);
                }
                Role::AdminCall { call } => {
                    let Some(response) = connection.take_response() else {
                        break;
                    };
                    self.on_call_answered(call, response.status);
                    self.close(key);
                    return;
                }
                Role::IdleClient { .. } => break,
                Role::Observer { proxy } => {
                    let Some(response) = connection.take_response() else {
                        break;
                    };
                    self.on_view(proxy, &response.body);
                    self.close(key);
                }
            }
        }
        if self.event_loop.connections[key].connection.ended {
            self.close(key);
        }
    }

    /// Returns the number of connections from a proxy to endpoints.
    pub(crate) fn endpoint_connections(&self, proxy: usize) -> usize {
        let of_proxy =
            |role: Role| matches!(role, Role::Endpoint { proxy: from, .. } if from == proxy);
        let connections = self.event_loop.connections.iter();
        connections.filter(|(_, open)| of_proxy(open.role)).count()
    }

    /// Closes all client connections without a pending request.
    pub(crate) fn close_idle_connections(&mut self) {
        let idle: Vec<usize> = self
            .event_loop
            .connections
            .iter()
            .filter(|(_, open)| matches!(open.role, Role::Client { request: None, .. }))
            .map(|(key, _)| key)
            .collect();
        for connection in idle {
            self.close(connection);
        }
    }

    /// Closes a connection and updates the state that depends on it.
    pub(super) fn close(&mut self, key: usize) {
        let Some(RoleConnection { connection, role }) = self.event_loop.remove_connection(key)
        else {
            return;
        };
        self.discovery.forget_connection(key);
        if let Role::IdleClient { proxy } = role {
            self.idle_clients.forget_connection(proxy, key);
        }
        if let Role::AdminCall { call } = role {
            self.on_call_closed(call);
        }
        if let Role::Client { proxy, request } = role {
            let refused = if self.shutdowns.is_shutting_down(proxy) {
                !connection.established
            } else {
                connection.stream.peer_addr().is_err()
            };
            self.clients.forget_connection(proxy, key);
            if let Some(request) = request {
                self.on_closed_unanswered(request, proxy, refused);
            }
        }
    }
}
