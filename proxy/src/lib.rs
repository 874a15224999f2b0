//! The reverse proxy: carries the decisions of the `crankmux` library out on sockets, on one thread and one event
//! loop.
//!
//! [`downstream`] holds the connections of clients, [`upstream`] those to endpoints, [`streaming`] moves long bodies
//! between both, [`http`] reads and writes messages, and [`requests`] the requests in flight. [`discovery`] keeps the
//! endpoint list, [`cluster`] the other proxies, [`admin`] the operators' calls and [`metrics`] their figures.
//! [`config`] reads what the proxy is set to, [`lifecycle`] starts, reloads, upgrades and stops it. [`proxy`] owns
//! all of them and turns events into calls.

pub mod admin;
pub mod buffers;
pub mod cli;
pub mod cluster;
pub mod config;
pub mod discovery;
pub mod downstream;
pub mod endpoint_list;
pub mod event_loop;
pub mod http;
mod lenient_json;
pub mod lifecycle;
pub mod listener;
pub mod metrics;
pub mod proxy;
pub mod request_lifecycle;
pub mod requests;
pub mod resource_limits;
pub mod slot_table;
pub mod socket;
pub mod streaming;
pub mod timers;
pub mod tokens;
pub mod upstream;
