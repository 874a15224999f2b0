//! Errors for which the proxy rejects a request.

use crate::http::{status, ParseError};
use thiserror::Error;

/// Why a request is rejected, before it is forwarded or while its body is streamed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RequestError {
    /// The message is malformed, or uses a feature that the proxy does not support.
    #[error(transparent)]
    Parse(#[from] ParseError),
    /// The method is `HEAD` or `CONNECT`, whose responses are framed differently and are not supported.
    #[error("method not allowed")]
    MethodNotAllowed,
    /// A header that must be unique is repeated; recipients could disagree on its value.
    #[error("repeated header {0}")]
    RepeatedHeader(&'static str),
    /// A required header is missing or empty.
    #[error("missing header {0}")]
    MissingHeader(&'static str),
    /// The first path segment is not the request class in the header.
    #[error("path does not start with the request class")]
    ClassNotInPath,
    /// No request class of this name has been configured.
    #[error("unknown request class")]
    UnknownClass,
    /// The request class was removed from the configuration.
    #[error("request class no longer configured")]
    RetiredClass,
    /// `X-Timeout` is not a number of seconds, or out of range.
    #[error("invalid X-Timeout")]
    InvalidTimeout,
    /// Another request with the same id is in flight, and one of the clients could get the other's response; or an ended one
    /// may have been executed and must not be again.
    #[error("request id already used")]
    DuplicateRequestId,
    /// The request was not complete in time.
    #[error("request timeout")]
    Timeout,
    /// The request does not fit into its buffer.
    #[error("request too long")]
    TooLong,
    /// A piece of a streamed body cannot be decoded within one buffer.
    #[error("body cannot be decoded within one buffer")]
    UndecodableBody,
    /// The buffer pool is exhausted.
    #[error("no buffer available")]
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
