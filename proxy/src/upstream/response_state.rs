//! How far the response of an attempt is read.

use super::response::Response;
use crate::slot_table::DownstreamKey;

/// How far the response of an attempt is read.
pub enum ResponseState {
    /// Its head has not been received whole.
    AwaitingHead,
    /// Its body is being received, and held back from the client.
    Buffering {
        /// Its head, and where its body ends.
        response: Response,
        /// Since when a response that may have to be streamed has waited to be whole.
        held_since: Option<f64>,
    },
    /// Its body is being streamed to the client.
    Streaming {
        /// Its head, and where its body ends.
        response: Response,
        /// The client.
        client: DownstreamKey,
        /// Whether the body goes on in chunks.
        chunked: bool,
        /// When the first piece went to the client.
        started_at: f64,
    },
}

impl ResponseState {
    /// What has been received of the response, once its head is whole.
    pub fn response(&self) -> Option<&Response> {
        match self {
            ResponseState::AwaitingHead => None,
            ResponseState::Buffering { response, .. }
            | ResponseState::Streaming { response, .. } => Some(response),
        }
    }

    /// As `response`, to be changed.
    pub fn response_mut(&mut self) -> Option<&mut Response> {
        match self {
            ResponseState::AwaitingHead => None,
            ResponseState::Buffering { response, .. }
            | ResponseState::Streaming { response, .. } => Some(response),
        }
    }

    /// What has been received of the response.
    pub fn into_response(self) -> Option<Response> {
        match self {
            ResponseState::AwaitingHead => None,
            ResponseState::Buffering { response, .. }
            | ResponseState::Streaming { response, .. } => Some(response),
        }
    }
}
