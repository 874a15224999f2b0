//! Helpers of the socket tests: stand-ins for endpoints and discovery, the proxy as a process, an HTTP client.

pub(crate) mod body;
pub(crate) mod configuration;
pub(crate) mod connection;
pub(crate) mod discovery;
pub(crate) mod endpoint;
pub(crate) mod generated;
pub(crate) mod http;
pub(crate) mod process_control;
pub(crate) mod proxy_process;
pub(crate) mod recording_endpoints;
pub(crate) mod response_endings;
pub(crate) mod scripted_discovery;
pub(crate) mod slow_reader;
pub(crate) mod wait;
