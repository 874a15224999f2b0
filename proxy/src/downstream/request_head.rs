//! Validation and classification of request heads.

use super::RequestError;
use crate::endpoint_list::stable_hash;
use crate::http::header_value;
use crate::request_ids::RequestIdHash;
use crankmux::settings::NameIndex;
use crankmux::types::{ClassId, NewRequest, RequestId};
use httparse::Header;

/// Largest valid `X-Timeout`, in seconds.
const MAX_TIMEOUT_S: f64 = 3600.0;
/// Path of the load balancer's health checks.
const HEALTH_CHECK_PATH: &str = "/_health";

const REQUEST_ID: &str = "X-Request-ID";
const PRIORITY_CLASS: &str = "X-Priority-Class";
const TIMEOUT: &str = "X-Timeout";
const TENANT_ID: &str = "X-Tenant-Id";
const RETRIED: &str = "X-Retried";

/// Kind of a valid request.
#[derive(Clone, Copy)]
pub(super) enum RequestKind {
    /// A health check of the proxy.
    HealthCheck,
    /// A request to be forwarded, with the hash of its id.
    Forwarded(NewRequest, RequestIdHash),
    /// A request of a class that is no longer configured: rejected, but counted for the class.
    RetiredClass(ClassId),
}

/// A parsed request head.
pub(super) struct RequestHead<'a, 'h> {
    pub(super) method: &'a str,
    pub(super) target: &'a str,
    pub(super) headers: &'a [Header<'h>],
}

impl<'h> RequestHead<'_, 'h> {
    /// Whether the client expects `100 Continue` before it sends the body.
    pub(super) fn expects_continue(&self) -> bool {
        header_value(self.headers, "expect")
            .is_some_and(|value| value.eq_ignore_ascii_case("100-continue"))
    }

    /// Validates the head and determines the kind of the request. `key_header` is the header that carries the
    /// affinity key, if one is configured.
    pub(super) fn classify(
        &self,
        names: &NameIndex,
        key_header: Option<&str>,
    ) -> Result<RequestKind, RequestError> {
        if self.target == HEALTH_CHECK_PATH {
            return Ok(RequestKind::HealthCheck);
        }
        if matches!(self.method, "HEAD" | "CONNECT") {
            return Err(RequestError::MethodNotAllowed);
        }
        self.reject_repeated_headers()?;
        let id_hash = RequestIdHash::of(self.required_header(REQUEST_ID)?);
        let class_name = self.required_header(PRIORITY_CLASS)?;
        if self.first_path_segment() != Some(class_name) {
            return Err(RequestError::ClassNotInPath);
        }
        let Some(class) = names.class(class_name) else {
            // Clients may still use a class that a reload has removed; their failures are counted.
            let all_classes = &names.classes.names;
            let retired = all_classes.iter().position(|name| name == class_name);
            return retired
                .map(|index| RequestKind::RetiredClass(ClassId::new(index)))
                .ok_or(RequestError::UnknownClass);
        };
        let ttl_ms = self.timeout_s()? * 1000.0;
        let tenant_name = self.header(TENANT_ID);
        if tenant_name.is_none() && !names.tenants.is_empty() {
            return Err(RequestError::MissingHeader(TENANT_ID));
        }
        let tenant = tenant_name.and_then(|name| names.tenant(name));
        let client_retry = self.header(RETRIED) == Some("1");
        // The hash is the same in all proxies, so they choose the same endpoints for a key.
        let affinity_key = key_header
            .and_then(|name| self.header(name))
            .map(stable_hash);
        let request = NewRequest {
            // Assigned when the request is admitted.
            request: RequestId::default(),
            class,
            tenant,
            ttl_ms,
            client_retry,
            affinity_key,
        };
        Ok(RequestKind::Forwarded(request, id_hash))
    }

    /// The value of a header; none if it is missing or empty.
    fn header(&self, name: &str) -> Option<&'h str> {
        header_value(self.headers, name).filter(|value| !value.is_empty())
    }

    fn required_header(&self, name: &'static str) -> Result<&'h str, RequestError> {
        self.header(name).ok_or(RequestError::MissingHeader(name))
    }

    /// Rejects repeated headers, as recipients could disagree on their value.
    fn reject_repeated_headers(&self) -> Result<(), RequestError> {
        for name in [REQUEST_ID, PRIORITY_CLASS, TIMEOUT] {
            let same_name = |header: &&Header| header.name.eq_ignore_ascii_case(name);
            if self.headers.iter().filter(same_name).count() > 1 {
                return Err(RequestError::RepeatedHeader(name));
            }
        }
        Ok(())
    }

    fn first_path_segment(&self) -> Option<&str> {
        self.target.trim_start_matches('/').split(['/', '?']).next()
    }

    fn timeout_s(&self) -> Result<f64, RequestError> {
        let timeout_s: f64 = self
            .required_header(TIMEOUT)?
            .parse()
            .map_err(|_| RequestError::InvalidTimeout)?;
        if timeout_s > 0.0 && timeout_s <= MAX_TIMEOUT_S {
            Ok(timeout_s)
        } else {
            Err(RequestError::InvalidTimeout)
        }
    }
}
