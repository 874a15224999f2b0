//! The status codes that the proxy sends or interprets.

/// 200 OK.
pub const OK: u16 = 200;
/// 204 No Content.
pub const NO_CONTENT: u16 = 204;
/// 304 Not Modified.
pub const NOT_MODIFIED: u16 = 304;
/// 400 Bad Request.
pub const BAD_REQUEST: u16 = 400;
/// 404 Not Found.
pub const NOT_FOUND: u16 = 404;
/// 405 Method Not Allowed.
pub const METHOD_NOT_ALLOWED: u16 = 405;
/// 408 Request Timeout.
pub const REQUEST_TIMEOUT: u16 = 408;
/// 409 Conflict.
pub const CONFLICT: u16 = 409;
/// 413 Content Too Large.
pub const CONTENT_TOO_LARGE: u16 = 413;
/// 431 Request Header Fields Too Large.
pub const REQUEST_HEADER_FIELDS_TOO_LARGE: u16 = 431;
/// 502 Bad Gateway.
pub const BAD_GATEWAY: u16 = 502;
/// 503 Service Unavailable.
pub const SERVICE_UNAVAILABLE: u16 = 503;

/// The reason phrase of a status code that the proxy sends.
pub(super) fn reason_phrase(status: u16) -> &'static str {
    match status {
        OK => "OK",
        BAD_REQUEST => "Bad Request",
        NOT_FOUND => "Not Found",
        METHOD_NOT_ALLOWED => "Method Not Allowed",
        REQUEST_TIMEOUT => "Request Timeout",
        CONFLICT => "Conflict",
        CONTENT_TOO_LARGE => "Content Too Large",
        REQUEST_HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        BAD_GATEWAY => "Bad Gateway",
        _ => "Service Unavailable",
    }
}
