//! Counters and metrics.

use crate::support::body::response_with_body;
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, request};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until};
use rustix::process::Signal;
use std::io::{Read, Write};

#[test]
fn counters_are_logged_on_sigusr1() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let mut proxy = ProxyProcess::in_front_of(&[&endpoint]);
    assert_eq!(proxy.send_request(&request("view", 1.0, "")).0, 200);
    proxy.signal(Signal::USR1);
    sleep_ms(50);
    assert_eq!(
        proxy.send_request(&request("view", 1.0, "")).0,
        200,
        "it goes on"
    );
    proxy.signal(Signal::TERM);
    let (_, log) = proxy.wait_for_exit();
    assert!(
        log.contains("taken 1, acked 1") && log.contains("taken 2, acked 2"),
        "{log}"
    );
}

/// An endpoint whose response is long, cut, an error, missing or short, as the request's body says.
fn endpoint_answering_as_the_body_says() -> TestEndpoint {
    let long = vec![b'l'; 200_000];
    TestEndpoint::new(move |stream, received| match &received.body[..] {
        b"long" => stream.write_all(&response_with_body(&long)).is_ok(),
        b"half" => stream
            .write_all(&response_with_body(&long)[..150_000])
            .is_err(),
        b"fail" => stream
            .write_all(b"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
            .is_ok(),
        b"wait" => stream.read(&mut [0]).is_ok_and(|n| n > 0),
        _ => stream.write_all(&ok_response("x")).is_ok(),
    })
}

fn assert_metrics_are_present_before_any_request(proxy: &ProxyProcess) {
    for name in [
        "succeeded.view",
        "declined.pay",
        "aborted.order",
        "outstanding",
        "forwards",
        "ejected",
    ] {
        assert_eq!(proxy.metric(name), Some(0), "{name} from the first second");
    }
    assert_eq!(proxy.metric("discovered"), Some(1));
}

/// Sends three requests that succeed, one that fails and one whose response is cut off.
fn send_successes_and_failures(proxy: &ProxyProcess) {
    for body in ["", "long", ""] {
        assert_eq!(proxy.send_request(&request("view", 2.0, body)).0, 200);
    }
    assert_eq!(proxy.send_request(&request("pay", 2.0, "fail")).0, 502);
    assert_eq!(
        proxy.send_request(&request("pay", 2.0, "half")).0,
        0,
        "visibly cut off"
    );
}

fn assert_rejection_is_counted_once_all_endpoints_are_disabled(proxy: &ProxyProcess) {
    assert_eq!(proxy.admin_call("POST", "/v1/servers/s0/suspend").0, 200);
    assert_eq!(proxy.metric("ejected"), Some(1));
    assert_eq!(
        proxy.send_request(&request("order", 2.0, "")).0,
        503,
        "all endpoints are disabled"
    );
    assert_eq!(proxy.metric("declined.order"), Some(1));
}

/// A request class that is removed keeps its counts, and reloads are counted as they are applied.
fn assert_reloads_are_counted_and_keep_counts(proxy: &ProxyProcess) {
    let mut config = proxy.configuration();
    config["settings"]["Categories"]
        .as_array_mut()
        .unwrap()
        .remove(0);
    proxy.reload(&config.to_string());
    wait_until("it is applied", || {
        proxy.metric("sighup_applied") == Some(1)
    });
    assert_eq!(proxy.metric("succeeded.view"), Some(3));
    proxy.reload("{");
    wait_until("it is rejected", || {
        proxy.metric("sighup_rejected") == Some(1)
    });
    assert_eq!(proxy.metric("sighup_applied"), Some(1));
}

#[test]
fn metrics_count_each_outcome_once_and_never_decrease() {
    let endpoint = endpoint_answering_as_the_body_says();
    let proxy = ProxyProcess::with_admin_api(&[&endpoint], |_| ());
    assert_metrics_are_present_before_any_request(&proxy);
    send_successes_and_failures(&proxy);
    let mut waits = proxy.connect();
    waits.write_all(&request("pay", 3.0, "wait")).unwrap();
    wait_until("the attempt is sent", || {
        proxy.metric("outstanding") == Some(1) && proxy.metric("forwards") == Some(6)
    });
    assert_eq!(
        (proxy.metric("succeeded.view"), proxy.metric("aborted.pay")),
        (Some(3), Some(2))
    );
    drop(waits);
    wait_until("its client is gone", || {
        proxy.metric("outstanding") == Some(0)
    });
    assert_rejection_is_counted_once_all_endpoints_are_disabled(&proxy);
    assert_reloads_are_counted_and_keep_counts(&proxy);
}
