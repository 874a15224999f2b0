//! Why a message cannot be parsed.

use super::status;
use thiserror::Error;

/// Why a message cannot be parsed; each reason has the status code that rejects a request for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The head is not one of HTTP/1.1.
    #[error("malformed head")]
    MalformedHead(#[source] httparse::Error),
    /// The parser accepted a head that has no method, target, version or status code.
    #[error("incomplete start line")]
    IncompleteStartLine,
    /// The head is longer than a buffer may hold.
    #[error("head too long")]
    HeadTooLong,
    /// The head has more headers than the proxy reads.
    #[error("too many headers")]
    TooManyHeaders,
    /// `Content-Length` is not a plain decimal number.
    #[error("invalid Content-Length")]
    InvalidContentLength,
    /// Two `Content-Length` headers differ.
    #[error("conflicting Content-Length headers")]
    ConflictingContentLength,
    /// The head has both `Content-Length` and `Transfer-Encoding`.
    #[error("both Content-Length and Transfer-Encoding")]
    ConflictingFraming,
    /// The transfer coding is not exactly `chunked`.
    #[error("unsupported transfer coding")]
    UnsupportedTransferCoding,
    /// A chunk's size line or its end is malformed.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The body is longer than allowed.
    #[error("body too long")]
    BodyTooLong,
    /// A line of the trailer section is longer than a head may be.
    #[error("trailer section too long")]
    TrailersTooLong,
}

impl ParseError {
    /// The status code with which a request is rejected for it.
    pub fn status(self) -> u16 {
        match self {
            ParseError::MalformedHead(_)
            | ParseError::IncompleteStartLine
            | ParseError::InvalidContentLength
            | ParseError::ConflictingContentLength
            | ParseError::ConflictingFraming
            | ParseError::UnsupportedTransferCoding
            | ParseError::MalformedChunk => status::BAD_REQUEST,
            ParseError::BodyTooLong => status::CONTENT_TOO_LARGE,
            ParseError::HeadTooLong | ParseError::TooManyHeaders | ParseError::TrailersTooLong => {
                status::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
        }
    }
}
