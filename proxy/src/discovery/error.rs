//! Why polls fail, in the words of the log.

use crate::endpoint_list::EndpointListError;
use std::io;

/// Why a poll failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum PollError {
    #[error("no answer")]
    TimedOut,
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error("the connection ended")]
    ConnectionClosed,
    #[error("not an HTTP answer")]
    InvalidResponseHead,
    #[error("a broken answer")]
    InvalidResponseBody,
    #[error("too long a list")]
    ResponseTooLong,
    #[error("status {0}")]
    UnexpectedStatus(u16),
    #[error(transparent)]
    InvalidJson(#[from] serde_json::Error),
    #[error(transparent)]
    InvalidList(#[from] EndpointListError),
}
