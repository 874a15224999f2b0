//! HTTP/1.1 messages (RFC 9110, RFC 9112): parsing, body framing, forwarding, and the proxy's own responses. Bodies
//! are decoded in place, in the buffer that they were read into.

mod body;
mod error;
mod forward;
mod head;
mod local_response;
/// HTTP status codes.
pub mod status;

pub use body::{BodyFraming, Message};
pub use error::ParseError;
pub use forward::{write_request, write_response, write_response_start};
pub use head::{header_value, origin_form, parse_request, parse_response};
pub use local_response::{empty_response, text_response};
