//! Admin API responses.

use super::disabled_endpoints::DisabledEndpointError;
use super::request::AdminRequestError;

/// A status and a plain-text body.
pub(super) struct AdminResponse {
    pub(super) status: u16,
    pub(super) body: String,
}

impl AdminResponse {
    /// 200 OK.
    pub(super) fn ok(body: impl Into<String>) -> Self {
        AdminResponse {
            status: 200,
            body: body.into(),
        }
    }

    /// 503 Service Unavailable.
    pub(super) fn unavailable(body: impl Into<String>) -> Self {
        AdminResponse {
            status: 503,
            body: body.into(),
        }
    }

    /// A response with a status and an empty body.
    pub(super) fn without_body(status: u16) -> Self {
        AdminResponse {
            status,
            body: String::new(),
        }
    }
}

impl From<AdminRequestError> for AdminResponse {
    fn from(error: AdminRequestError) -> Self {
        let status = match error {
            AdminRequestError::UnknownPath => 404,
            AdminRequestError::MethodNotAllowed { .. } => 405,
            AdminRequestError::InvalidEndpointId => 400,
        };
        AdminResponse {
            status,
            body: format!("{error}\n"),
        }
    }
}

impl From<DisabledEndpointError> for AdminResponse {
    fn from(error: DisabledEndpointError) -> Self {
        let status = match error {
            DisabledEndpointError::UnknownEndpoint => 404,
            DisabledEndpointError::NotStored(_) | DisabledEndpointError::NotRemoved(_) => 503,
        };
        AdminResponse {
            status,
            body: format!("{error}\n"),
        }
    }
}
