//! Upgrades: a new process takes over from an old one.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{header_value, read_message, request, status_code};
use crate::support::proxy_process::{failed_start_log_with_environment, ProxyProcess};
use crate::support::wait::{sleep_ms, wait_until, TEST_TIMEOUT};
use rustix::process::Signal;
use serde_json::json;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;

/// Sends requests one after the other until `stop`; how many were served. Each must have a response.
fn send_requests_until(address: SocketAddr, stop: &AtomicBool) -> usize {
    // Half of the connections are kept for as long as the proxy keeps them.
    let mut served = 0;
    let mut kept = None::<TcpStream>;
    while !stop.load(Ordering::SeqCst) {
        let mut client = kept
            .take()
            .unwrap_or_else(|| TcpStream::connect(address).unwrap());
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        client.write_all(&request("pay", 2.0, "x")).unwrap();
        let (head, body) = read_message(&mut client).expect("a response");
        // With one endpoint disabled, half a proxy's limits may be used up for a moment.
        assert!(
            matches!((status_code(&head), &body[..]), (200, b"x") | (503, b"")),
            "{head}"
        );
        served += usize::from(status_code(&head) == 200);
        kept = Some(client).filter(|_| header_value(&head, "Connection").is_none());
        sleep_ms(5);
    }
    served
}

#[test]
fn upgrade_loses_no_request_and_both_processes_share_disabled_endpoints() {
    let one = TestEndpoint::echoing();
    let two = TestEndpoint::echoing();
    let mut old = ProxyProcess::with_admin_api(&[&one, &two], |_| ());
    let address = old.address;
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..6)
        .map(|_| {
            let stop = stop.clone();
            thread::spawn(move || send_requests_until(address, &stop))
        })
        .collect();
    sleep_ms(100);
    let new = old.start_successor();
    wait_until("the new process can serve", || {
        new.admin_call("GET", "/v1/readyz").0 == 200
    });
    // Either process may be called; both apply it.
    assert_eq!(new.admin_call("POST", "/v1/servers/s0/suspend").0, 200);
    wait_until("the old process applies it", || {
        old.metric("ejected") == Some(1)
    });
    old.signal(Signal::TERM);
    wait_until("it is not ready any more", || {
        old.admin_call("GET", "/v1/readyz").0 != 200
    });
    assert!(old.wait_for_exit().0);
    let before = one.received_count();
    sleep_ms(300);
    assert_eq!(
        (new.metric("ejected"), one.received_count()),
        (Some(1), before)
    );
    assert_eq!(new.admin_call("POST", "/v1/servers/s0/resume").0, 200);
    stop.store(true, Ordering::SeqCst);
    let served: usize = clients
        .into_iter()
        .map(|client| client.join().expect("none was lost"))
        .sum();
    assert!(served > 100, "{served}");
    assert!(new.metric("succeeded.pay").is_some_and(|n| n > 20));
    // All limits belong to the new process, and another upgrade follows.
    wait_until("it has noticed the exit", || {
        new.log().contains("the older process has ended")
    });
    let third = new.start_successor();
    wait_until("a third can serve", || {
        third.admin_call("GET", "/v1/readyz").0 == 200
    });
}

#[test]
fn new_process_that_fails_leaves_the_old_one_untouched() {
    let endpoint = TestEndpoint::echoing();
    let old = ProxyProcess::with_admin_api(&[&endpoint], |_| ());
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut config = old.configuration();
    config["admin_addr"] = json!(taken.local_addr().unwrap().to_string());
    let folder = old.temp_dir().to_string_lossy().into_owned();
    let log =
        failed_start_log_with_environment(&config, &[("TMPDIR", folder)]).expect("it can't start");
    assert!(log.contains("admin_addr"), "{log}");
    wait_until("the first process has noticed it", || {
        old.log().contains("the newer process has ended")
    });
    for _ in 0..20 {
        assert_eq!(
            old.send_request(&request("pay", 1.0, "x")),
            (200, "x".into())
        );
    }
    let new = old.start_successor();
    wait_until("the next one can serve", || {
        new.admin_call("GET", "/v1/readyz").0 == 200
    });
    // A process that is killed gives back what it was given.
    new.signal(Signal::KILL);
    wait_until("the first process accepts clients", || {
        old.log().matches("the newer process has ended").count() == 2
    });
    assert_eq!(
        old.send_request(&request("pay", 1.0, "x")),
        (200, "x".into())
    );
    let third = old.start_successor();
    wait_until("it is handed over to again", || {
        old.log().matches("handed over").count() == 3
    });
    wait_until("the third can serve", || {
        third.admin_call("GET", "/v1/readyz").0 == 200
    });
}

#[test]
fn endpoints_removed_for_the_old_process_stay_removed_for_the_new_one() {
    let one = TestEndpoint::echoing();
    let two = TestEndpoint::echoing();
    let hosts = [
        endpoint_entry("s0", one.address, "Ready"),
        endpoint_entry("s1", two.address, "Ready"),
    ];
    let known = endpoint_list(1, true, &hosts);
    let discovery = TestDiscovery::new(known.clone());
    let free = crankmux_fault_injection::free_port();
    let mut config = configuration(discovery.address, &known);
    config["admin_addr"] = json!("127.0.0.1:0");
    config["listen"] = json!(free.to_string());
    let old = ProxyProcess::start(&config, None);
    discovery.notify(endpoint_list(
        2,
        false,
        &[endpoint_entry("s0", one.address, "Gone")],
    ));
    wait_until("it is gone", || old.metric("discovered") == Some(1));
    // From here on discovery is silent: it has no further update.
    let new = old.start_successor();
    wait_until("it can serve", || {
        new.admin_call("GET", "/v1/readyz").0 == 200
    });
    assert_eq!(new.metric("discovered"), Some(1));
    assert_eq!(
        new.admin_call("POST", "/v1/servers/s0/suspend").0,
        200,
        "listed once"
    );
}
