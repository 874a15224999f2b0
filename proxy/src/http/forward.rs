//! Rewriting messages for forwarding.

use super::body::{write_body_piece, BodyFraming, Message};
use super::head::{origin_form, parse_request, parse_response};
use crate::buffers::{Buffer, MAX_BODY_BYTES};
use httparse::Header;

/// Hop-by-hop headers (RFC 9110, section 7.6.1), and headers that the proxy generates itself.
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

/// Writes the headers to be forwarded, without `excluded`. Returns whether they fitted.
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

/// Writes a request as forwarded to an endpoint, with the attempt's timeout in `X-Timeout`. Returns whether it
/// fitted.
///
/// `bytes` is the request as received, and `message` describes it.
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

/// Writes a complete response of an endpoint as forwarded to the client. Returns whether it fitted.
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

/// Writes the start of an endpoint's response as forwarded to the client: its head, and the part of its body in
/// `bytes`, from `body_start` on. Returns whether it fitted.
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
