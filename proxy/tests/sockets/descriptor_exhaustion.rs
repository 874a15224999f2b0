//! What must go on while clients hold every descriptor.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::ok_response;
use crate::support::proxy_process::ProxyProcess;
use crate::support::scripted_discovery::ScriptedDiscovery;
use crate::support::wait::{sleep_ms, wait_until};
use serde_json::{json, Value};
use std::collections::VecDeque;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Clients that connect and stay silent, with new ones all the time, until it is dropped.
struct IdleConnectionFlood(Arc<AtomicBool>);

impl IdleConnectionFlood {
    fn before(proxy: &ProxyProcess, max_connections: usize) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let address = proxy.address;
        let over = stopped.clone();
        thread::spawn(move || {
            let mut stay = VecDeque::new();
            while !over.load(Ordering::SeqCst) {
                stay.extend(TcpStream::connect_timeout(
                    &address,
                    Duration::from_millis(200),
                ));
                if stay.len() > max_connections {
                    stay.pop_front();
                }
                sleep_ms(2);
            }
        });
        IdleConnectionFlood(stopped)
    }
}

impl Drop for IdleConnectionFlood {
    fn drop(&mut self) {
        self.0.store(true, Ordering::SeqCst);
    }
}

/// The limit on descriptors that the system sets for the proxy.
const MAX_DESCRIPTORS: usize = 40;

fn wait_until_descriptors_are_exhausted(proxy: &ProxyProcess) {
    let open_descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", proxy.pid()))
            .unwrap()
            .count()
    };
    wait_until("they hold all", || open_descriptors() >= MAX_DESCRIPTORS);
}

fn assert_disable_calls_are_applied(proxy: &ProxyProcess) {
    for (call, ejected) in [
        ("suspend", 1),
        ("resume", 0),
        ("suspend", 1),
        ("resume", 0),
        ("suspend", 1),
    ] {
        wait_until_descriptors_are_exhausted(proxy);
        assert_eq!(
            proxy
                .admin_call("POST", &format!("/v1/servers/s0/{call}"))
                .0,
            200
        );
        assert_eq!(
            proxy.metric("ejected"),
            Some(ejected),
            "it is applied, not only stored: {call}"
        );
    }
}

fn assert_reloads_are_applied(proxy: &ProxyProcess, config: &Value) {
    let read = || proxy.log().matches("configuration read again").count();
    for round in 1..=10 {
        wait_until_descriptors_are_exhausted(proxy);
        proxy.reload(&config.to_string());
        wait_until("the file is read", || read() == round);
    }
}

#[test]
fn clients_that_hold_every_descriptor_block_no_update_disable_reload_or_upgrade() {
    let one = TestEndpoint::always_answering(ok_response("s0"));
    let two = TestEndpoint::always_answering(ok_response("s1"));
    let hosts = [
        endpoint_entry("s0", one.address, "Ready"),
        endpoint_entry("s1", two.address, "Ready"),
    ];
    let discovery = ScriptedDiscovery::new(endpoint_list(1, true, &hosts), &[]);
    let free = crankmux_fault_injection::free_port();
    let mut config = configuration(discovery.address, &endpoint_list(1, true, &hosts));
    config["listen"] = json!(free.to_string());
    config["admin_addr"] = json!("127.0.0.1:0");
    let proxy = ProxyProcess::start(&config, Some(MAX_DESCRIPTORS));
    wait_until("it watches", || discovery.call_count() >= 2);
    let flood = IdleConnectionFlood::before(&proxy, 200);
    wait_until_descriptors_are_exhausted(&proxy);
    // Discovery is down, and the watch with it: each call needs a new connection.
    discovery.refuses.store(true, Ordering::SeqCst);
    sleep_ms(3000);
    discovery
        .lists
        .lock()
        .unwrap()
        .push(endpoint_list(2, false, &[]));
    discovery.refuses.store(false, Ordering::SeqCst);
    wait_until("the update is applied", || {
        discovery
            .calls
            .lock()
            .unwrap()
            .iter()
            .any(|line| line.contains("from=2&"))
    });
    let log = proxy.log();
    assert!(
        log.contains("discovery: Connection reset") && !log.contains("discovery: Too many"),
        "{log}"
    );
    assert_disable_calls_are_applied(&proxy);
    // Not checked by the admin API, whose callers leave a descriptor free behind them.
    assert_reloads_are_applied(&proxy, &config);
    let next = proxy.start_successor();
    // The newer process may be ready before the older one has logged what it sent.
    wait_until("it has handed over", || {
        proxy.log().contains("handed over to a newer process")
    });
    assert_eq!(next.metric("ejected"), Some(1));
    drop(flood);
}
