//! The reverse proxy: carries the decisions of the `crankmux` library out on sockets, on one thread and one event
//! loop.
//!
//! [`downstream`] holds the connections of clients, [`upstream`] those to endpoints, [`streaming`] moves long bodies
//! between both, [`http`] reads and writes messages, and [`requests`] the requests in flight. [`discovery`] keeps the
//! endpoint list, [`cluster`] the other proxies, [`admin`] the operators' calls and [`metrics`] their figures.
//! [`config`] reads what the proxy is set to, [`lifecycle`] starts, reloads, upgrades and stops it. [`proxy`] owns
//! all of them and turns events into calls.

/// The HTTP admin API for operators.
pub mod admin;
/// A bounded pool of buffers of one size.
pub mod buffers;
/// The command line.
pub mod cli;
/// Cluster membership over UDP, shared with the other proxies.
pub mod cluster;
/// Configuration files: the platform's JSON and the operator's TOML.
pub mod config;
/// File descriptors: held in reserve by purpose, and what found none.
pub mod descriptors;
/// Service discovery: polls for the endpoint list and its changes.
pub mod discovery;
/// Client connections.
pub mod downstream;
/// The endpoint list as service discovery and the configuration give it.
pub mod endpoint_list;
/// One turn of the event loop: poll, dispatch events, run timers.
pub mod event_loop;
/// HTTP/1.1 parsing, body framing and message writing.
pub mod http;
mod lenient_json;
/// Start, reload, shutdown and upgrade of the process.
pub mod lifecycle;
/// The listening socket for clients.
pub mod listener;
/// Process counters and access metrics.
pub mod metrics;
/// The proxy itself: owner of all tables, sockets and timers.
pub mod proxy;
/// The steps of a request: admission, attempts, response and cleanup.
pub mod request_lifecycle;
/// The table of requests in flight.
pub mod requests;
/// Limits on connections, requests, buffers and file descriptors.
pub mod resource_limits;
/// Bounded tables of connections.
pub mod slot_table;
/// Queries of a TCP connection's state that read nothing from it.
pub mod socket;
/// Streaming of request and response bodies that are longer than one buffer.
pub mod streaming;
/// The clock, and timers with callbacks.
pub mod timers;
/// Poll tokens: which event source each number identifies.
pub mod tokens;
/// Connections to endpoints, and the attempts that they carry.
pub mod upstream;
