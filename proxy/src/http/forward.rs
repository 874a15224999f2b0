//! What of a message is forwarded, and how it is written.

use super::body::{write_body_piece, BodyFraming, Message};
use super::head::{origin_form, parse_request, parse_response};
use crate::buffers::{Buffer, MAX_BODY_BYTES};
use httparse::Header;

/// Headers that concern one connection only (RFC 9110, section 7.6.1), or that the proxy writes itself.
const NOT_FORWARDED_HEADERS: [&str; 11] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "expect",
];

fn is_forwarded(name: &str, excluded: &str) -> bool {
    let never_forwarded = NOT_FORWARDED_HEADERS
        .iter()
        .any(|other| name.eq_ignore_ascii_case(other));
    !never_forwarded && !name.eq_ignore_ascii_case(excluded)
}

/// Writes the headers that are forwarded, without `excluded`; whether they fitted.
fn write_forwarded_headers(headers: &[Header], excluded: &str, buffer: &mut Buffer) -> bool {
    headers
        .iter()
        .filter(|header| is_forwarded(header.name, excluded))
        .all(|header| {
            buffer.append(header.name.as_bytes())
                && buffer.append(b": ")
                && buffer.append(header.value)
                && buffer.append(b"\r\n")
        })
}

/// Writes a request as it is forwarded in an attempt of this timeout; whether it fitted.
///
/// `bytes` hold the request as it was received, and `message` describes it.
pub fn write_request(
    bytes: &[u8],
    message: &Message,
    attempt_timeout_ms: f64,
    buffer: &mut Buffer,
) -> bool {
    let body_length = message.body_length();
    let head = parse_request(bytes, |method, target, headers| {
        let framing = match (body_length, method) {
            (Some(0), "GET" | "HEAD") => BodyFraming::UntilClose,
            (Some(length), _) => BodyFraming::Length(length),
            (None, _) => BodyFraming::Chunked,
        };
        let timeout_s = attempt_timeout_ms / 1000.0;
        buffer.append(format!("{method} {} HTTP/1.1\r\n", origin_form(target)).as_bytes())
            && write_forwarded_headers(headers, "x-timeout", buffer)
            && buffer.append(format!("X-Timeout: {timeout_s:.3}\r\n").as_bytes())
            && buffer.append(framing.framing_header_lines().as_bytes())
    });
    let head_fitted = matches!(head, Ok(Some((_, true))));
    let body = &bytes[message.body_start..message.body_end];
    head_fitted && write_body_piece(body, body_length.is_none(), buffer)
}

/// Writes an endpoint's whole response as it goes to the client; whether it fitted.
pub fn write_response(bytes: &[u8], message: &Message, close: bool, buffer: &mut Buffer) -> bool {
    let length = message.body_end - message.body_start;
    write_response_start(
        &bytes[..message.body_end],
        message.body_start,
        BodyFraming::Length(length),
        close,
        buffer,
    )
}

/// Writes the start of an endpoint's response: its head, and what `bytes` hold of its body, which begins at
/// `body_start`; whether it fitted.
pub fn write_response_start(
    bytes: &[u8],
    body_start: usize,
    framing: BodyFraming,
    close: bool,
    buffer: &mut Buffer,
) -> bool {
    let head = parse_response(bytes, MAX_BODY_BYTES, |_, headers| {
        let connection = if close { "Connection: close\r\n" } else { "" };
        buffer.append(b"HTTP/1.1 200 OK\r\n")
            && write_forwarded_headers(headers, "x-server-load", buffer)
            && buffer.append(connection.as_bytes())
            && buffer.append(framing.framing_header_lines().as_bytes())
    });
    let head_fitted = matches!(head, Ok(Some((_, true))));
    head_fitted
        && write_body_piece(
            &bytes[body_start..],
            framing == BodyFraming::Chunked,
            buffer,
        )
}
