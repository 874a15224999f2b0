//! Parse errors.

use super::status;
use thiserror::Error;

/// Why a message cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum ParseError {
    /// The head is not valid HTTP/1.1.
    #[error("malformed head")]
    MalformedHead(#[source] httparse::Error),
    /// The head lacks a method, target, version or status code.
    #[error("incomplete start line")]
    IncompleteStartLine,
    /// The head exceeds the length limit.
    #[error("head too long")]
    HeadTooLong,
    /// The head exceeds the limit on headers.
    #[error("too many headers")]
    TooManyHeaders,
    /// `Content-Length` is not a plain decimal number.
    #[error("invalid Content-Length")]
    InvalidContentLength,
    /// Two `Content-Length` headers differ.
    #[error("conflicting Content-Length headers")]
    ConflictingContentLength,
    /// The head has both `Content-Length` and `Transfer-Encoding`.
    #[error("both Content-Length and Transfer-Encoding present")]
    ConflictingFraming,
    /// The transfer coding is not exactly `chunked`.
    #[error("unsupported transfer coding")]
    UnsupportedTransferCoding,
    /// The size line or the end of a chunk is malformed.
    #[error("malformed chunk")]
    MalformedChunk,
    /// The body exceeds the length limit.
    #[error("body too long")]
    BodyTooLong,
    /// A response has more interim responses ahead than the limit.
    #[error("too many interim responses")]
    TooManyInterimResponses,
    /// The size lines of the chunks, with their extensions, exceed their limit.
    #[error("chunk extensions too long")]
    ChunkExtensionsTooLong,
    /// The trailer section exceeds the length limit for heads.
    #[error("trailer section too long")]
    TrailersTooLong,
}

impl ParseError {
    /// The status code of the response to a request with this error.
    pub fn status(self) -> u16 {
        match self {
            ParseError::MalformedHead(_)
            | ParseError::IncompleteStartLine
            | ParseError::InvalidContentLength
            | ParseError::ConflictingContentLength
            | ParseError::ConflictingFraming
            | ParseError::UnsupportedTransferCoding
            | ParseError::TooManyInterimResponses
            | ParseError::ChunkExtensionsTooLong
            | ParseError::MalformedChunk => status::BAD_REQUEST,
            ParseError::BodyTooLong => status::CONTENT_TOO_LARGE,
            ParseError::HeadTooLong | ParseError::TooManyHeaders | ParseError::TrailersTooLong => {
                status::REQUEST_HEADER_FIELDS_TOO_LARGE
            }
        }
    }
}
