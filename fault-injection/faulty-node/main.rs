//! A node that is wrong on purpose: it sends an op on until its time is over and never looks after its client.
//! The rig's judge must catch it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// PolicyKind long it waits for one server.
const PATIENCE: Duration = Duration::from_millis(200);

/// Reads up to a head's end; none where the connection ends or stands before that.
fn head(stream: &mut TcpStream) -> Option<String> {
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

fn served(request: &str, server: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect_timeout(&server, PATIENCE) else {
        return false;
    };
    let set = stream.set_read_timeout(Some(PATIENCE));
    set.is_ok()
        && stream.write_all(request.as_bytes()).is_ok()
        && head(&mut stream).is_some_and(|head| head.starts_with("HTTP/1.1 200"))
}

fn client(mut stream: TcpStream, servers: &[SocketAddr]) {
    while let Some(request) = head(&mut stream) {
        let told = request
            .lines()
            .find_map(|line| line.strip_prefix("X-Timeout: ")?.parse().ok());
        let (from, ttl) = (Instant::now(), Duration::from_secs_f64(told.unwrap_or(0.0)));
        let mut next = servers.iter().cycle();
        let mut well = request.starts_with("GET /_health ");
        while !well && from.elapsed() + PATIENCE < ttl {
            well = served(&request, *next.next().expect("it knows a server"));
        }
        let status = if well { "200 OK" } else { "502 Bad Gateway" };
        if stream
            .write_all(format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n").as_bytes())
            .is_err()
        {
            return;
        }
    }
}

fn main() {
    let file = std::env::var("BALANCER_CONFIG").expect("a configuration is named");
    let text = std::fs::read_to_string(file).expect("it can be read");
    let told: serde_json::Value = serde_json::from_str(&text).expect("it is JSON");
    let address = |at: &serde_json::Value| {
        at.as_str()
            .and_then(|at| at.parse().ok())
            .expect("an address")
    };
    let discovery: SocketAddr = address(&told["discovery"]);
    let mut catalog = TcpStream::connect(discovery).expect("discovery is there");
    catalog
        .write_all(b"GET /catalog/members HTTP/1.1\r\nHost: d\r\n\r\n")
        .expect("it hears");
    let answer = head(&mut catalog).expect("it answers");
    let length = answer
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok());
    let mut list = vec![0; length.expect("its length is told")];
    catalog.read_exact(&mut list).expect("it is whole");
    let list: serde_json::Value = serde_json::from_slice(&list).expect("it is JSON");
    let hosts = list["hosts"].as_array().expect("a list of servers");
    let servers: Vec<SocketAddr> = hosts.iter().map(|host| address(&host["dial"])).collect();
    let listener = TcpListener::bind(address(&told["listen"])).expect("its port is free");
    for stream in listener.incoming().flatten() {
        let servers = servers.clone();
        std::thread::spawn(move || client(stream, &servers));
    }
}
