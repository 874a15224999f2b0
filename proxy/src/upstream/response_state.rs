//! Progress of reading the response of an attempt.

use super::response::Response;
use crate::slot_table::DownstreamKey;

/// Progress of reading the response of an attempt.
pub enum ResponseState {
    /// The head has not been received completely.
    AwaitingHead,
    /// The body is being received and buffered.
    Buffering {
        /// The response received so far.
        response: Response,
        /// Since when a response that may have to be streamed has been buffered.
        buffering_since: Option<f64>,
    },
    /// The body is being streamed to the client.
    Streaming {
        /// The response received so far.
        response: Response,
        /// The client.
        client: DownstreamKey,
        /// Whether the body is forwarded with chunked encoding.
        chunked: bool,
        /// When the first piece was sent to the client.
        started_at: f64,
    },
}

impl ResponseState {
    /// The response received so far; `None` until its head is complete.
    pub fn response(&self) -> Option<&Response> {
        match self {
            ResponseState::AwaitingHead => None,
            ResponseState::Buffering { response, .. }
            | ResponseState::Streaming { response, .. } => Some(response),
        }
    }

    /// Mutable access to the response received so far.
    pub fn response_mut(&mut self) -> Option<&mut Response> {
        match self {
            ResponseState::AwaitingHead => None,
            ResponseState::Buffering { response, .. }
            | ResponseState::Streaming { response, .. } => Some(response),
        }
    }

    /// Returns the response received so far.
    pub fn into_response(self) -> Option<Response> {
        match self {
            ResponseState::AwaitingHead => None,
            ResponseState::Buffering { response, .. }
            | ResponseState::Streaming { response, .. } => Some(response),
        }
    }
}
