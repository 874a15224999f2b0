//! The reverse proxy: carries the decisions of the `crankmux` library out on sockets.

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
