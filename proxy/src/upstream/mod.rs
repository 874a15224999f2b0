//! Connections to endpoints, and the attempts that they carry.
//!
//! `connection` and `attempt` are the types, as states with their transitions; `response` reads what an endpoint
//! answers. Around them stands what the proxy does: `connection_pool` opens, keeps and closes connections,
//! `sending` writes a request, `receiving` reads its response, `timeouts` ends what takes too long, and
//! `completion` hands the outcome to whoever started the attempt. `load_probes` are attempts that only ask an
//! endpoint for its load.

mod attempt;
mod completion;
mod connection;
mod connection_pool;
mod load_probes;
mod receiving;
mod response;
mod sending;
mod timeouts;

pub use attempt::{
    Attempt, AttemptResponse, BufferedResponse, CompletionCallback, PendingWrite, RequestState,
    ResponseState, StreamedRequest,
};
pub use connection::{ConnectionState, EndpointProcess, UpstreamConnection};
pub use connection_pool::{EndpointConnections, Upstreams};
pub use response::{log_excerpt, Response};
