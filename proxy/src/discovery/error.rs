//! Poll errors, whose messages are logged.

use crate::endpoint_list::EndpointListError;
use std::io;

/// Why a poll failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("timed out waiting for a response")]
    TimedOut,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("connection closed before the response was complete")]
    ConnectionClosed,
    #[error("invalid HTTP response head")]
    InvalidResponseHead,
    #[error("invalid HTTP response body framing")]
    InvalidResponseBody,
    #[error("response exceeds the size limit")]
    ResponseTooLarge,
    #[error("unexpected status {0}")]
    UnexpectedStatus(u16),
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    #[error(transparent)]
    InvalidList(#[from] EndpointListError),
}
