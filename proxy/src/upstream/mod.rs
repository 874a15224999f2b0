//! Connections to endpoints and the attempts sent over them.
//!
//! `connection`, `attempt`, `request_state` and `response_state` define the state machines; `response` parses
//! response heads and load reports. The other modules implement [`Proxy`](crate::proxy::Proxy): `connection_pool`
//! opens, reuses and closes connections, `sending` writes requests, `receiving` reads responses, `timeouts` enforces
//! deadlines and stall timeouts, `completion` passes the outcome to the attempt's callback, and `load_probes` asks
//! endpoints for load reports.

mod attempt;
mod completion;
mod connection;
mod connection_pool;
mod load_probes;
mod receiving;
mod request_state;
mod response;
mod response_state;
mod sending;
mod timeouts;

pub use attempt::{Attempt, AttemptCompletion, BufferedResponse, CompletionCallback};
pub use connection::{ConnectionState, EndpointProcess, UpstreamConnection};
pub use connection_pool::{EndpointConnections, Upstreams};
pub use request_state::{PendingWrite, RequestState, StreamedRequest};
pub use response::{log_excerpt, Response};
pub use response_state::ResponseState;
