//! Parsing of request and response heads: header lookup, body framing and connection persistence.

use super::body::{BodyState, Message};
use super::{status, ParseError};
use crate::buffers::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use httparse::{Header, Status, EMPTY_HEADER};

/// Limit on the headers of a message. They are parsed on the stack.
const MAX_HEADERS: usize = 64;

/// The trimmed value of the first header with this name; none if it is not UTF-8.
pub fn header_value<'a>(headers: &[Header<'a>], name: &str) -> Option<&'a str> {
    let header = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case(name))?;
    std::str::from_utf8(header.value).ok().map(str::trim)
}

/// Whether a header whose value is a comma-separated list contains an element.
fn list_contains(headers: &[Header], name: &str, element: &str) -> bool {
    headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case(name))
        .flat_map(|header| header.value.split(|byte| *byte == b','))
        .any(|listed| listed.trim_ascii().eq_ignore_ascii_case(element.as_bytes()))
}

/// The body length in `Content-Length`; none without that header.
///
/// Signs and conflicting lengths are errors: recipients could disagree on where the next message starts, which
/// allows request smuggling.
fn content_length(headers: &[Header]) -> Result<Option<usize>, ParseError> {
    let mut parsed_length = None;
    for header in headers
        .iter()
        .filter(|header| header.name.eq_ignore_ascii_case("content-length"))
    {
        let digits = header.value.trim_ascii();
        if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
            return Err(ParseError::InvalidContentLength);
        }
        // Only overflow can fail here.
        let length = std::str::from_utf8(digits)
            .ok()
            .and_then(|digits| digits.parse().ok())
            .ok_or(ParseError::BodyTooLong)?;
        if parsed_length.is_some_and(|other| other != length) {
            return Err(ParseError::ConflictingContentLength);
        }
        parsed_length = Some(length);
    }
    Ok(parsed_length)
}

/// The body framing that the headers declare; `default` if they declare none.
fn body_state(
    headers: &[Header],
    max_body: usize,
    default: BodyState,
) -> Result<BodyState, ParseError> {
    let transfer_encoding = headers
        .iter()
        .find(|header| header.name.eq_ignore_ascii_case("transfer-encoding"));
    let content_length = content_length(headers)?;
    if let Some(header) = transfer_encoding {
        if !header.value.trim_ascii().eq_ignore_ascii_case(b"chunked") {
            return Err(ParseError::UnsupportedTransferCoding);
        }
        // Recipients could disagree on which framing applies, which allows request smuggling.
        if content_length.is_some() {
            return Err(ParseError::ConflictingFraming);
        }
        return Ok(BodyState::ChunkSize);
    }
    match content_length {
        Some(length) if length > max_body => Err(ParseError::BodyTooLong),
        Some(length) => Ok(BodyState::Length { remaining: length }),
        None => Ok(default),
    }
}

/// Builds the message whose head ends at `head_length`.
fn message(
    headers: &[Header],
    head_length: usize,
    minor_version: u8,
    max_body: usize,
    default: BodyState,
) -> Result<Message, ParseError> {
    // Connections are persistent by default in HTTP/1.1, but not in HTTP/1.0.
    let persistent = if minor_version == 0 {
        list_contains(headers, "connection", "keep-alive")
    } else {
        !list_contains(headers, "connection", "close")
    };
    let state = body_state(headers, max_body, default)?;
    let keep_alive = persistent && !matches!(state, BodyState::UntilClose);
    let accepts_chunked = minor_version > 0;
    Ok(Message::new(
        head_length,
        keep_alive,
        accepts_chunked,
        max_body,
        state,
    ))
}

/// The length of a head, from the parser's result; none until the head is complete.
fn head_length(
    parsed: httparse::Result<usize>,
    received: usize,
) -> Result<Option<usize>, ParseError> {
    match parsed {
        Ok(Status::Complete(length)) if length > MAX_HEAD_BYTES => Err(ParseError::HeadTooLong),
        Ok(Status::Complete(length)) => Ok(Some(length)),
        Ok(Status::Partial) if received >= MAX_HEAD_BYTES => Err(ParseError::HeadTooLong),
        Ok(Status::Partial) => Ok(None),
        Err(httparse::Error::TooManyHeaders) => Err(ParseError::TooManyHeaders),
        Err(error) => Err(ParseError::MalformedHead(error)),
    }
}

/// Parses a request head and passes method, target and headers to `inspect`. Returns none until the head is
/// complete.
///
/// # Errors
///
/// The head is malformed or too long, or its body framing is invalid.
pub fn parse_request<T>(
    bytes: &[u8],
    inspect: impl FnOnce(&str, &str, &[Header]) -> T,
) -> Result<Option<(Message, T)>, ParseError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let parsed = request.parse(bytes);
    let Some(head_length) = head_length(parsed, bytes.len())? else {
        return Ok(None);
    };
    let (Some(method), Some(target), Some(minor_version)) =
        (request.method, request.path, request.version)
    else {
        return Err(ParseError::IncompleteStartLine);
    };
    let message = message(
        request.headers,
        head_length,
        minor_version,
        MAX_BODY_BYTES,
        BodyState::Length { remaining: 0 },
    )?;
    Ok(Some((message, inspect(method, target, request.headers))))
}

/// Parses a response head and passes status code and headers to `inspect`. Returns none until the head is complete.
/// The body is limited to `max_body` bytes.
///
/// # Errors
///
/// The head is malformed or too long, or its body framing is invalid.
pub fn parse_response<T>(
    bytes: &[u8],
    max_body: usize,
    inspect: impl FnOnce(u16, &[Header]) -> T,
) -> Result<Option<(Message, T)>, ParseError> {
    let mut headers = [EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let parsed = response.parse(bytes);
    let Some(head_length) = head_length(parsed, bytes.len())? else {
        return Ok(None);
    };
    let (Some(status), Some(minor_version)) = (response.code, response.version) else {
        return Err(ParseError::IncompleteStartLine);
    };
    let mut message = message(
        response.headers,
        head_length,
        minor_version,
        max_body,
        BodyState::UntilClose,
    )?;
    let informational = status < status::OK;
    if informational || status == status::NO_CONTENT || status == status::NOT_MODIFIED {
        // Responses with these status codes have no body, whatever the headers declare.
        message.mark_complete();
        message.keep_alive = !list_contains(response.headers, "connection", "close");
    }
    Ok(Some((message, inspect(status, response.headers))))
}

/// Converts a request target in absolute-form to origin-form (RFC 9112, section 3.2): removes scheme and authority.
pub fn origin_form(target: &str) -> &str {
    let Some(authority_and_path) = target.strip_prefix("http://") else {
        return target;
    };
    match authority_and_path.find('/') {
        Some(path_start) => &authority_and_path[path_start..],
        None => "/",
    }
}
