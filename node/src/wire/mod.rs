//! What is spoken: HTTP/1.1 with clients, servers and discovery.

pub mod clients;
pub mod discovery;
pub mod http;
pub mod servers;
