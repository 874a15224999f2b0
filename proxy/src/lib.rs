//! The reverse proxy: I/O for the load balancing decisions of the `crankmux` library, in one single-threaded event
//! loop.
//!
//! [`downstream`] manages client connections, [`upstream`] connections to endpoints, [`streaming`] long bodies
//! between both, [`http`] message parsing and writing, and [`requests`] the requests in flight. [`discovery`] polls
//! the endpoint list, [`cluster`] tracks the other proxies, [`admin`] serves the admin API and [`metrics`] its
//! counters. [`config`] parses the configuration; [`lifecycle`] covers start, reload, upgrade and shutdown. [`proxy`]
//! owns the state of all of them.

/// The HTTP admin API for operators.
pub mod admin;
/// I/O buffers from a bounded pool.
pub mod buffers;
/// The command line.
pub mod cli;
/// Cluster membership over UDP, shared with the other proxies.
pub mod cluster;
/// Configuration files: the platform's JSON and the operator's TOML.
pub mod config;
/// Reserved file descriptors, and counts of failures to obtain one.
pub mod descriptors;
/// Service discovery: polls for the endpoint list and its changes.
pub mod discovery;
/// Client connections.
pub mod downstream;
/// Parsing of the endpoint list from service discovery and the configuration.
pub mod endpoint_list;
/// One iteration of the event loop: poll, dispatch events, run timers.
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
/// The proxy: all connection tables, sockets and timers.
pub mod proxy;
/// Request ids that a client may not use.
pub mod request_ids;
/// The steps of a request: admission, attempts, response and cleanup.
pub mod request_lifecycle;
/// The table of requests in flight.
pub mod requests;
/// Limits on connections, requests, buffers and file descriptors.
pub mod resource_limits;
/// Connection tables of bounded size.
pub mod slot_table;
/// Checks of a TCP connection's state that consume no data.
pub mod socket;
/// Streaming of request and response bodies that are longer than one buffer.
pub mod streaming;
/// The clock, and timers with callbacks.
pub mod timers;
/// Poll tokens and the event sources that they identify.
pub mod tokens;
/// The share of one turn of the event loop that a connection may take.
pub mod turn;
/// Connections to endpoints and the attempts sent over them.
pub mod upstream;
