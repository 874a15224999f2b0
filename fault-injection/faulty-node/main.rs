//! A deliberately faulty proxy for tests of the invariant checker: it keeps retrying a request until its deadline,
//! even after the client has disconnected.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// The timeout of the connect and of each read.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads a message up to the end of its headers; `None` if the connection is closed or times out first.
fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        if stream.read(&mut byte).ok()? == 0 {
            return None;
        }
        head.push(byte[0]);
    }
    String::from_utf8(head).ok()
}

/// Returns the value of a header. The match is case-sensitive.
fn header<'head>(head: &'head str, name: &str) -> Option<&'head str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Sends a request to an endpoint. Returns whether the response status is 200.
fn try_endpoint(request: &str, endpoint: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&endpoint, ATTEMPT_TIMEOUT) else {
        return false;
    };
    stream.set_read_timeout(Some(ATTEMPT_TIMEOUT)).is_ok()
        && stream.write_all(request.as_bytes()).is_ok()
        && read_head(&mut stream).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Tries the endpoints in turn until one succeeds or the request's deadline is near.
fn forward(request: &str, endpoints: &[SocketAddr]) -> bool {
    let seconds = header(request, "X-Timeout").and_then(|seconds| seconds.parse().ok());
    let timeout = Duration::from_secs_f64(seconds.unwrap_or(0.0));
    let started = Instant::now();
    for endpoint in endpoints.iter().cycle() {
        if started.elapsed() + ATTEMPT_TIMEOUT >= timeout {
            return false;
        }
        if try_endpoint(request, *endpoint) {
            return true;
        }
    }
    false
}

fn serve_client(mut stream: TcpStream, endpoints: &[SocketAddr]) {
    while let Some(request) = read_head(&mut stream) {
        let succeeded = request.starts_with("GET /_health ") || forward(&request, endpoints);
        let status = if succeeded {
            "200 OK"
        } else {
            "502 Bad Gateway"
        };
        let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
        if stream.write_all(response.as_bytes()).is_err() {
            return;
        }
    }
}

fn parse_address(value: &Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|address| address.parse().ok())
        .expect("a socket address")
}

/// Fetches the addresses of all endpoints from discovery.
fn read_endpoint_list(discovery: SocketAddr) -> Vec<SocketAddr> {
    let mut stream = TcpStream::connect(discovery).expect("discovery accepts connections");
    stream
        .write_all(b"GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n")
        .expect("the request is sent to discovery");
    let head = read_head(&mut stream).expect("discovery responds");
    let length = header(&head, "Content-Length")
        .and_then(|length| length.parse().ok())
        .expect("the response has a Content-Length");
    let mut body = vec![0; length];
    stream
        .read_exact(&mut body)
        .expect("the response has a complete body");
    let list: Value = serde_json::from_slice(&body).expect("the endpoint list is JSON");
    let hosts = list["hosts"].as_array().expect("`hosts` is an array");
    hosts
        .iter()
        .map(|host| parse_address(&host["dial"]))
        .collect()
}

fn main() {
    let path = std::env::var("BALANCER_CONFIG").expect("BALANCER_CONFIG is set");
    let text = std::fs::read_to_string(path).expect("the configuration file is readable");
    let configuration: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    let endpoints = read_endpoint_list(parse_address(&configuration["discovery"]));
    let listener = TcpListener::bind(parse_address(&configuration["listen"]))
        .expect("the listen address is free");
    for stream in listener.incoming().flatten() {
        let endpoints = endpoints.clone();
        std::thread::spawn(move || serve_client(stream, &endpoints));
    }
}
