//! Responses that the proxy generates itself.

use super::status::reason_phrase;

/// A plain-text response with `Connection: close`, for the admin API.
pub fn text_response(status: u16, text: &str) -> String {
    let reason = reason_phrase(status);
    let length = text.len();
    format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Type: text/plain\r\nContent-Length: {length}\r\n\
         Connection: close\r\n\r\n{text}"
    )
}

/// A response without a body, with `Retry-After` if `retry_after_ms` is positive, and with `Connection: close` if
/// `close` is set.
pub fn empty_response(status: u16, retry_after_ms: f64, close: bool) -> String {
    let reason = reason_phrase(status);
    let retry_after = if retry_after_ms > 0.0 {
        format!("Retry-After: {:.3}\r\n", retry_after_ms / 1000.0)
    } else {
        String::new()
    };
    let connection = if close { "Connection: close\r\n" } else { "" };
    format!("HTTP/1.1 {status} {reason}\r\n{retry_after}{connection}Content-Length: 0\r\n\r\n")
}
