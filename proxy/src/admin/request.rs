//! Admin API requests and their routes.

const READINESS_PATH: &str = "/v1/readyz";
const METRICS_PATH: &str = "/v1/metrics";
const CLUSTER_PATH: &str = "/fleet";
const ENDPOINTS_PREFIX: &str = "/v1/servers/";
const DISABLE_ACTION: &str = "suspend";
const ENABLE_ACTION: &str = "resume";

/// A request to the admin API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdminRequest {
    /// Returns whether the proxy is ready to serve clients.
    Readiness,
    /// Returns all metrics.
    Metrics,
    /// Returns the cluster members known to this proxy.
    ClusterStatus,
    /// Stops sending requests to an endpoint.
    DisableEndpoint {
        /// The endpoint's id in the endpoint list.
        id: String,
    },
    /// Resumes sending requests to a disabled endpoint.
    EnableEndpoint {
        /// The endpoint's id in the endpoint list.
        id: String,
    },
}

/// Why a request is rejected. The message is the body of the response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdminRequestError {
    /// No route matches the path.
    #[error("no such call")]
    UnknownPath,
    /// The path requires another method.
    #[error("{allowed} is the method of this call")]
    MethodNotAllowed {
        /// The method that the path requires.
        allowed: &'static str,
    },
    /// The endpoint id in the path is empty or not valid percent-encoded UTF-8.
    #[error("the id can't be read")]
    InvalidEndpointId,
}

/// A matched path, before the method is checked and the endpoint id is decoded.
enum Route<'a> {
    Readiness,
    Metrics,
    ClusterStatus,
    DisableEndpoint { encoded_id: &'a str },
    EnableEndpoint { encoded_id: &'a str },
}

impl<'a> Route<'a> {
    fn find(path: &'a str, cluster_enabled: bool) -> Option<Self> {
        match path {
            READINESS_PATH => return Some(Route::Readiness),
            METRICS_PATH => return Some(Route::Metrics),
            CLUSTER_PATH if cluster_enabled => return Some(Route::ClusterStatus),
            _ => {}
        }
        let (encoded_id, action) = path.strip_prefix(ENDPOINTS_PREFIX)?.rsplit_once('/')?;
        match action {
            DISABLE_ACTION => Some(Route::DisableEndpoint { encoded_id }),
            ENABLE_ACTION => Some(Route::EnableEndpoint { encoded_id }),
            _ => None,
        }
    }

    fn allowed_method(&self) -> &'static str {
        match self {
            Route::Readiness | Route::Metrics | Route::ClusterStatus => "GET",
            Route::DisableEndpoint { .. } | Route::EnableEndpoint { .. } => "POST",
        }
    }
}

impl AdminRequest {
    /// Parses a method and a path without its query. The cluster path exists only if the proxy is in a cluster.
    ///
    /// # Errors
    ///
    /// Fails if no route matches the path, the path requires another method, or the endpoint id cannot be decoded.
    pub fn parse(
        method: &str,
        path: &str,
        cluster_enabled: bool,
    ) -> Result<Self, AdminRequestError> {
        let route = Route::find(path, cluster_enabled).ok_or(AdminRequestError::UnknownPath)?;
        let allowed = route.allowed_method();
        if method != allowed {
            return Err(AdminRequestError::MethodNotAllowed { allowed });
        }
        let decode = |id| percent_decode(id).ok_or(AdminRequestError::InvalidEndpointId);
        Ok(match route {
            Route::Readiness => AdminRequest::Readiness,
            Route::Metrics => AdminRequest::Metrics,
            Route::ClusterStatus => AdminRequest::ClusterStatus,
            Route::DisableEndpoint { encoded_id } => AdminRequest::DisableEndpoint {
                id: decode(encoded_id)?,
            },
            Route::EnableEndpoint { encoded_id } => AdminRequest::EnableEndpoint {
                id: decode(encoded_id)?,
            },
        })
    }
}

/// Decodes a percent-encoded id. Returns `None` if it is empty, wrongly encoded or not UTF-8.
fn percent_decode(encoded: &str) -> Option<String> {
    let mut decoded = Vec::with_capacity(encoded.len());
    let mut rest = encoded.as_bytes();
    while let Some((&byte, after)) = rest.split_first() {
        rest = after;
        if byte != b'%' {
            decoded.push(byte);
            continue;
        }
        let digits = after.get(..2)?;
        // `from_str_radix` also accepts a sign.
        if !digits.iter().all(u8::is_ascii_hexdigit) {
            return None;
        }
        let digits = std::str::from_utf8(digits).ok()?;
        decoded.push(u8::from_str_radix(digits, 16).ok()?);
        rest = &after[2..];
    }
    let id = String::from_utf8(decoded).ok()?;
    (!id.is_empty()).then_some(id)
}
