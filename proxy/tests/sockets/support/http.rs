//! Requests and responses as bytes: writing them, reading them, looking into their heads.

use std::io::Read;
use std::net::TcpStream;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Reads one message: its head, and the body that its Content-Length announces. None at the end of the connection.
pub(crate) fn read_message(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head).into_owned();
    let length = header_value(&head, "Content-Length")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    Some((head, body))
}

/// The value of the first header of this name in a message head.
pub(crate) fn header_value(head: &str, name: &str) -> Option<String> {
    let mut headers = head.lines().filter_map(|line| line.split_once(':'));
    headers
        .find(|(header, _)| header.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.trim().to_string())
}

/// The status code of a response head; 0 if it has none.
pub(crate) fn status_code(head: &str) -> u16 {
    head.split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or_default()
}

/// A response with status 200 and this body.
pub(crate) fn ok_response(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A request of a class, with its timeout as the client's header gives it and an id of its own.
pub(crate) fn request(request_class: &str, timeout_seconds: f64, body: &str) -> Vec<u8> {
    static NEXT_ID: AtomicUsize = AtomicUsize::new(0);
    let id = NEXT_ID.fetch_add(1, Ordering::SeqCst);
    format!(
        "POST /{request_class}/7?user=5 HTTP/1.1\r\nHost: service.internal\r\nX-Request-ID: id{id}\r\n\
         X-Priority-Class: {request_class}\r\nX-Timeout: {timeout_seconds}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}
