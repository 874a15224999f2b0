//! Why a request is rejected before it is forwarded.

use crate::http::{status, ParseError};
use thiserror::Error;

/// Why a request is rejected before it is forwarded, or while its body still comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// It is not a message that the proxy reads.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// Responses to this method have no body, whatever their head says of its length.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// A header that may stand once stands more than once: two readers may take different ones.
    #[error("repeated header {0}")]
    RepeatedHeader(&'static str),
    /// A required header is missing or empty.
    #[error("missing header {0}")]
    MissingHeader(&'static str),
    /// The path does not begin with the request class that the header names.
    #[error("the path is not of the request class")]
    ClassNotInPath,
    /// No request class of this name has ever been configured.
    #[error("unknown request class")]
    UnknownClass,
    /// The request class was configured once, and is not any more.
    #[error("request class no longer configured")]
    RetiredClass,
    /// `X-Timeout` is no number of seconds, or out of range.
    #[error("invalid X-Timeout")]
    InvalidTimeout,
    /// A request with the same id is in flight; one of the two clients would get the other's response.
    #[error("request id in flight")]
    DuplicateRequestId,
    /// It did not come whole in time.
    #[error("request timeout")]
    Timeout,
    /// It fills its buffer and is not whole.
    #[error("request too long")]
    TooLong,
    /// A piece of its body cannot be decoded within a buffer.
    #[error("undecodable body")]
    UndecodableBody,
    /// No buffer is left to read it into.
    #[error("no buffer left")]
    NoBuffer,
}

impl RequestError {
    /// The status code of the response.
    pub fn status(self) -> u16 {
        match self {
            RequestError::Parse(error) => error.status(),
            RequestError::MethodNotAllowed => status::METHOD_NOT_ALLOWED,
            RequestError::RepeatedHeader(_)
            | RequestError::MissingHeader(_)
            | RequestError::ClassNotInPath
            | RequestError::UnknownClass
            | RequestError::RetiredClass
            | RequestError::InvalidTimeout
            | RequestError::UndecodableBody => status::BAD_REQUEST,
            RequestError::DuplicateRequestId => status::CONFLICT,
            RequestError::Timeout => status::REQUEST_TIMEOUT,
            RequestError::TooLong => status::CONTENT_TOO_LARGE,
            RequestError::NoBuffer => status::SERVICE_UNAVAILABLE,
        }
    }
}
