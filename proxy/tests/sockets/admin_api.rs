//! Calls of the admin API.

use crate::support::endpoint::TestEndpoint;
use crate::support::http::{read_message, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::sleep_ms;
use serde_json::json;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

#[test]
fn admin_api_answers_each_call_once_and_names_errors() {
    let endpoint = TestEndpoint::echoing();
    let proxy = ProxyProcess::with_admin_api(&[&endpoint], |_| ());
    assert_eq!(proxy.admin_call("GET", "/v1/readyz").0, 200);
    assert_eq!(proxy.admin_call("GET", "http://node/v1/readyz?full").0, 200);
    assert_eq!(proxy.admin_call("POST", "/v1/readyz").0, 405);
    assert_eq!(proxy.admin_call("GET", "/v1/servers/s0/suspend").0, 405);
    assert_eq!(proxy.admin_call("GET", "/v1/unheard-of").0, 404);
    assert_eq!(proxy.admin_call("GET", "/").0, 404);
    assert_eq!(proxy.admin_call("POST", "/v1/servers/never/suspend").0, 404);
    assert_eq!(proxy.admin_call("POST", "/v1/servers/never/resume").0, 404);
    assert_eq!(proxy.admin_call("POST", "/v1/servers/s%zz/suspend").0, 400);
    assert_eq!(
        proxy.admin_call("POST", "/v1/servers/%73%30/suspend").0,
        200,
        "s0"
    );
    assert_eq!(
        proxy.admin_call("GET", &format!("/{}", "x".repeat(9000))).0,
        431
    );
    let mut caller = proxy.connect_admin();
    caller.write_all(b"nonsense\r\n\r\n").unwrap();
    assert_eq!(
        read_message(&mut caller).map(|(head, _)| status_code(&head)),
        Some(400)
    );
    // In pieces, with a body behind it, and closed once it is answered.
    let mut caller = proxy.connect_admin();
    for piece in [
        &b"POST /v1/serv"[..],
        b"ers/s0/resume HTTP/1.1\r\nContent-Le",
        b"ngth: 3\r\n\r\nabc",
    ] {
        caller.write_all(piece).unwrap();
        sleep_ms(20);
    }
    let mut all = String::new();
    caller.read_to_string(&mut all).unwrap();
    assert!(
        all.starts_with("HTTP/1.1 200") && all.ends_with("\r\n\r\nresumed\n"),
        "{all}"
    );
    assert_eq!(
        proxy.send_request(b"GET /v1/metrics HTTP/1.1\r\n\r\n").0,
        400,
        "no admin API for clients"
    );
}

#[test]
fn silent_and_incomplete_callers_and_floods_block_no_admin_call() {
    let endpoint = TestEndpoint::echoing();
    let proxy = ProxyProcess::with_admin_api(&[&endpoint], |c| c["limits"]["sockets"] = json!(80));
    let address = proxy.address;
    let _flood: Vec<_> = (0..200)
        .map(|_| TcpStream::connect(address).unwrap())
        .collect();
    let mut stay = Vec::new();
    for round in 0..40 {
        let mut caller = proxy.connect_admin();
        caller
            .write_all(if round % 2 == 0 { b"" } else { b"GET /v1/rea" })
            .unwrap();
        stay.push(caller);
        let from = Instant::now();
        assert_eq!(proxy.admin_call("GET", "/v1/metrics").0, 200);
        assert!(from.elapsed() < Duration::from_millis(500));
    }
    // An idle connection is not kept forever.
    let last = stay.last_mut().unwrap();
    assert_eq!(
        read_message(last).map(|(head, _)| status_code(&head)),
        Some(408)
    );
}
