//! A proxy that is faulty on purpose: it retries a request until its deadline and never looks whether its client is
//! still there. The harness's invariant checker must catch it.

use serde_json::Value;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long it waits for one endpoint.
const ATTEMPT_TIMEOUT: Duration = Duration::from_millis(200);

/// Reads a message's head; `None` if the connection ends or stands still before that.
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

/// The value of a header, spelt as this program's peers spell it.
fn header<'head>(head: &'head str, name: &str) -> Option<&'head str> {
    head.lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(": "))
}

/// Whether an endpoint answered a request with success.
fn attempt_succeeds(request: &str, endpoint: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&endpoint, ATTEMPT_TIMEOUT) else {
        return false;
    };
    stream.set_read_timeout(Some(ATTEMPT_TIMEOUT)).is_ok()
        && stream.write_all(request.as_bytes()).is_ok()
        && read_head(&mut stream).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

/// Tries one endpoint after another until one succeeds or the request's time is over.
fn forward(request: &str, endpoints: &[SocketAddr]) -> bool {
    let seconds = header(request, "X-Timeout").and_then(|seconds| seconds.parse().ok());
    let time = Duration::from_secs_f64(seconds.unwrap_or(0.0));
    let started = Instant::now();
    for endpoint in endpoints.iter().cycle() {
        if started.elapsed() + ATTEMPT_TIMEOUT >= time {
            return false;
        }
        if attempt_succeeds(request, *endpoint) {
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

fn address(value: &Value) -> SocketAddr {
    value
        .as_str()
        .and_then(|address| address.parse().ok())
        .expect("an address")
}

/// The addresses of all endpoints, as discovery lists them now.
fn read_endpoint_list(discovery: SocketAddr) -> Vec<SocketAddr> {
    let mut stream = TcpStream::connect(discovery).expect("discovery accepts connections");
    stream
        .write_all(b"GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n")
        .expect("discovery reads");
    let head = read_head(&mut stream).expect("discovery answers");
    let length = header(&head, "Content-Length")
        .and_then(|length| length.parse().ok())
        .expect("the list has a length");
    let mut body = vec![0; length];
    stream
        .read_exact(&mut body)
        .expect("the list is as long as that");
    let list: Value = serde_json::from_slice(&body).expect("the list is JSON");
    let hosts = list["hosts"].as_array().expect("a list of endpoints");
    hosts.iter().map(|host| address(&host["dial"])).collect()
}

fn main() {
    let path = std::env::var("BALANCER_CONFIG").expect("BALANCER_CONFIG names the configuration");
    let text = std::fs::read_to_string(path).expect("the configuration can be read");
    let configuration: Value = serde_json::from_str(&text).expect("the configuration is JSON");
    let endpoints = read_endpoint_list(address(&configuration["discovery"]));
    let listener = TcpListener::bind(address(&configuration["listen"])).expect("its port is free");
    for stream in listener.incoming().flatten() {
        let endpoints = endpoints.clone();
        std::thread::spawn(move || serve_client(stream, &endpoints));
    }
}
