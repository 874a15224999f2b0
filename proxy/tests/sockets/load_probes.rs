//! Endpoints that report their load to probes alone.

use crate::support::configuration::report_load_to_probes_alone;
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, request};
use crate::support::proxy_process::ProxyProcess;
use std::io::Write;

/// Answers to a load probe: a valid report, an invalid one, a broken response, an error status, silence, a close,
/// and an oversized body.
fn probe_responses() -> Vec<Vec<u8>> {
    vec![
        ok_response("TEXT inflight=2, queue=0"),
        ok_response("inflight=, queue=-1, \u{1}"),
        b"HTTP/1.1 200 OK\r\nContent-Length: -7\r\n\r\n".to_vec(),
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".to_vec(),
        Vec::new(),
        b"close".to_vec(),
        [
            &b"HTTP/1.1 200 OK\r\nContent-Length: 900000\r\n\r\n"[..],
            &vec![b'x'; 900_000],
        ]
        .concat(),
    ]
}

/// An endpoint that answers load probes with this report, or closes instead, and any other request with success.
fn endpoint_with_probe_response(report: Vec<u8>) -> TestEndpoint {
    TestEndpoint::new(move |stream, received| {
        if !received.head.starts_with("GET /_load ") {
            return stream.write_all(&ok_response("x")).is_ok();
        }
        report != b"close" && stream.write_all(&report).is_ok()
    })
}

/// Checks that of the requests received three are no probes, and one to three are.
fn assert_three_requests_and_their_probes(endpoint: &TestEndpoint) {
    let received = endpoint.received.lock().unwrap();
    let probes = received
        .iter()
        .filter(|a| a.head.starts_with("GET /_load "))
        .count();
    assert!(
        (1..=3).contains(&probes) && received.len() - probes == 3,
        "{probes} of {}",
        received.len()
    );
}

#[test]
fn endpoint_that_reports_load_by_pull_is_probed_and_invalid_reports_are_ignored() {
    for report in probe_responses() {
        let endpoint = endpoint_with_probe_response(report.clone());
        let proxy =
            ProxyProcess::with_configuration(&[&endpoint], report_load_to_probes_alone, None);
        for _ in 0..3 {
            assert_eq!(
                proxy.send_request(&request("pay", 2.0, "")).0,
                200,
                "{:.60}",
                String::from_utf8_lossy(&report)
            );
        }
        assert_three_requests_and_their_probes(&endpoint);
    }
    let quiet = TestEndpoint::always_answering(ok_response("x"));
    assert_eq!(
        ProxyProcess::in_front_of(&[&quiet])
            .send_request(&request("pay", 2.0, ""))
            .0,
        200
    );
    assert_eq!(
        quiet.received_count(),
        1,
        "where reports come with responses there are no probes"
    );
}
