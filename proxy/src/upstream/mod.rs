//! Connections to endpoints, and the attempts that they carry.
//!
//! `connection`, `attempt`, `request_state` and `response_state` are the types, as states with their transitions;
//! `response` reads what an endpoint answers. Around them stands what the proxy does: `connection_pool` opens, keeps and closes connections,
//! `sending` writes a request, `receiving` reads its response, `timeouts` ends what takes too long, and
//! `completion` hands the outcome to whoever started the attempt. `load_probes` are attempts that only ask an
//! endpoint for its load.

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

pub use attempt::{Attempt, AttemptResponse, BufferedResponse, CompletionCallback};
pub use connection::{ConnectionState, EndpointProcess, UpstreamConnection};
pub use connection_pool::{EndpointConnections, Upstreams};
pub use request_state::{PendingWrite, RequestState, StreamedRequest};
pub use response::{log_excerpt, Response};
pub use response_state::ResponseState;
