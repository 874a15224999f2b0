//! What must go on while requests in flight hold every descriptor that is not reserved for it.
//!
//! Clients whose responses are under way are never closed for others, so that no descriptor can be freed. Before
//! descriptors were reserved by purpose, two were shared by all: an attempt took one to connect to its endpoint, the
//! operator's own connection took the other, and the file that keeps an endpoint disabled found none. The call was
//! answered 503, with `no descriptor for file: ... reserved: 0 of 2, one released for attempt, one released for
//! admin_caller` in the log. Whether the last attempt takes a reserved one depends on whether the limit is odd, so
//! each test runs with an even and an odd one.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::scripted_discovery::ScriptedDiscovery;
use crate::support::wait::{sleep_ms, wait_until};
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const DESCRIPTOR_LIMITS: [usize; 2] = [40, 41];
const ENDPOINTS: usize = 8;
/// Long enough to be streamed.
const RESPONSE_BYTES: usize = 400_000;
const FIRST_RESPONSE_BYTES: usize = 100_000;
/// How long a client waits for its response before it counts as one that got no descriptor.
const RESPONSE_WAIT: Duration = Duration::from_millis(300);
/// Within which an operator's call is due.
const CALL_DUE: Duration = Duration::from_secs(1);

/// A proxy with few descriptors, and what stands around it.
struct ExhaustedProxy {
    proxy: ProxyProcess,
    discovery: ScriptedDiscovery,
    configuration: Value,
    _endpoints: Vec<TestEndpoint>,
    /// The last of them was served nothing.
    clients: Vec<TcpStream>,
}

/// An endpoint that begins a long response and never ends it.
fn endpoint_that_stalls() -> TestEndpoint {
    TestEndpoint::new(|stream, _| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n");
        let first_bytes = vec![b'x'; FIRST_RESPONSE_BYTES];
        stream
            .write_all(&[head.as_bytes(), &first_bytes].concat())
            .is_ok()
            && stream.read(&mut [0]).is_ok_and(|read| read > 0)
    })
}

/// Connects clients whose responses are under way, until one gets none.
fn connect_busy_clients(proxy: &ProxyProcess) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    loop {
        let mut client = proxy.connect();
        client
            .set_read_timeout(Some(RESPONSE_WAIT))
            .expect("a timeout is set");
        client.write_all(&request("pay", 4.0, "")).unwrap();
        let is_served = client
            .read_exact(&mut [0; FIRST_RESPONSE_BYTES / 2])
            .is_ok();
        clients.push(client);
        if !is_served {
            return clients;
        }
    }
}

impl ExhaustedProxy {
    fn start(max_descriptors: usize) -> Self {
        Self::start_after(max_descriptors, |_| ())
    }

    /// The same, with something done before clients hold the descriptors.
    fn start_after(max_descriptors: usize, before: impl FnOnce(&ProxyProcess)) -> Self {
        let endpoints: Vec<TestEndpoint> = (0..ENDPOINTS).map(|_| endpoint_that_stalls()).collect();
        let entries: Vec<Value> = endpoints
            .iter()
            .enumerate()
            .map(|(i, endpoint)| endpoint_entry(&format!("s{i}"), endpoint.address, "Ready"))
            .collect();
        let known = endpoint_list(1, true, &entries);
        let discovery = ScriptedDiscovery::new(known.clone(), &[]);
        let mut configuration = configuration(discovery.address, &known);
        configuration["listen"] = json!(crankmux_fault_injection::free_port().to_string());
        configuration["admin_addr"] = json!("127.0.0.1:0");
        let proxy = ProxyProcess::start(&configuration, Some(max_descriptors));
        wait_until("it watches the list", || discovery.call_count() >= 2);
        before(&proxy);
        let clients = connect_busy_clients(&proxy);
        assert!(clients.len() > 4, "some are served: {}", clients.len());
        ExhaustedProxy {
            proxy,
            discovery,
            configuration,
            _endpoints: endpoints,
            clients,
        }
    }

    /// The client that was served nothing asks again: its attempt would take any descriptor that is free.
    fn ask_again(&mut self) {
        let Some(client) = self.clients.last_mut() else {
            return;
        };
        // It may wait to be accepted still, or be closed.
        let _ = client.write_all(&request("pay", 4.0, ""));
        let _ = client.read(&mut [0; FIRST_RESPONSE_BYTES]);
    }
}

#[test]
fn operators_calls_are_answered_and_applied_while_requests_hold_every_descriptor() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let mut exhausted = ExhaustedProxy::start(max_descriptors);
        for (call, ejected) in [("suspend", 1), ("resume", 0), ("suspend", 1)] {
            exhausted.ask_again();
            let proxy = &exhausted.proxy;
            let (status, _) = proxy.admin_call("POST", &format!("/v1/servers/s0/{call}"));
            assert_eq!(status, 200, "{call} at {max_descriptors}: {}", proxy.log());
            assert_eq!(proxy.metric("ejected"), Some(ejected), "{call} is applied");
        }
    }
}

/// An endpoint that was disabled in good time is enabled while nothing is free: no descriptor is needed to remove its
/// file, and the call was answered 200. But the directory could not be read afterwards, which passed for one that had
/// not changed, and the endpoint stayed disabled.
#[test]
fn an_enable_call_that_is_confirmed_is_in_force_while_requests_hold_every_descriptor() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let exhausted = ExhaustedProxy::start_after(max_descriptors, |proxy| {
            assert_eq!(proxy.admin_call("POST", "/v1/servers/s0/suspend").0, 200);
        });
        let proxy = &exhausted.proxy;
        let (status, _) = proxy.admin_call("POST", "/v1/servers/s0/resume");
        let ejected = proxy.metric("ejected");
        assert_eq!((status, ejected), (200, Some(0)), "{}", proxy.log());
    }
}

#[test]
fn a_reload_is_applied_while_requests_hold_every_descriptor() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let exhausted = ExhaustedProxy::start(max_descriptors);
        let proxy = &exhausted.proxy;
        proxy.reload(&exhausted.configuration.to_string());
        wait_until("the file is read", || {
            proxy.log().contains("configuration read again")
        });
        assert_eq!(proxy.metric("sighup_applied"), Some(1));
    }
}

#[test]
fn the_endpoint_list_is_heard_again_while_requests_hold_every_descriptor() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let mut exhausted = ExhaustedProxy::start(max_descriptors);
        let discovery = exhausted.discovery.clone();
        discovery.refuses.store(true, Ordering::SeqCst);
        for _ in 0..5 {
            sleep_ms(100);
            exhausted.ask_again();
        }
        let update = endpoint_list(2, false, &[]);
        discovery.lists.lock().unwrap().push(update);
        discovery.refuses.store(false, Ordering::SeqCst);
        wait_until("the update is applied", || {
            let calls = discovery.calls.lock().unwrap();
            calls.iter().any(|line| line.contains("from=2&"))
        });
        let log = exhausted.proxy.log();
        assert!(!log.contains("discovery: Too many"), "{log}");
    }
}

#[test]
fn a_newer_process_takes_over_while_requests_hold_every_descriptor() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let exhausted = ExhaustedProxy::start(max_descriptors);
        let proxy = &exhausted.proxy;
        assert_eq!(proxy.admin_call("POST", "/v1/servers/s0/suspend").0, 200);
        let newer = proxy.start_successor();
        wait_until("it has handed over", || {
            proxy.log().contains("handed over to a newer process")
        });
        assert_eq!(newer.metric("ejected"), Some(1));
    }
}

/// Callers that hold both descriptors of the admin API and say nothing would keep an operator's call waiting for as
/// long as they may stay, which is longer than the second within which it is due.
#[test]
fn silent_callers_of_the_admin_api_keep_no_call_out_while_requests_hold_every_descriptor() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let exhausted = ExhaustedProxy::start(max_descriptors);
        let proxy = &exhausted.proxy;
        let _silent: Vec<TcpStream> = (0..3).map(|_| proxy.connect_admin()).collect();
        let called_at = Instant::now();
        let (status, _) = proxy.admin_call("POST", "/v1/servers/s0/suspend");
        assert_eq!(status, 200, "{}", proxy.log());
        let took = called_at.elapsed();
        assert!(took < CALL_DUE, "{took:?}: {}", proxy.log());
    }
}

/// Requests that are under way at once, as many as an eighth of the lower limit allows, less one.
const REQUESTS_AT_ONCE: usize = 4;
/// Clients that hold descriptors or wait for one.
const INCOMPLETE_REQUESTS: usize = 80;
/// How long an endpoint works, so that the requests overlap.
const WORK_MS: u64 = 300;

/// Clients in the middle of a request's head, which are not closed for an attempt.
fn connect_until_descriptors_are_exhausted(
    proxy: &ProxyProcess,
    max_descriptors: usize,
) -> Vec<TcpStream> {
    let clients = (0..INCOMPLETE_REQUESTS)
        .map(|_| {
            let mut client = proxy.connect();
            client.write_all(b"POST /view/7 HTTP/1.1\r\n").unwrap();
            client
        })
        .collect();
    let open_descriptors = || {
        std::fs::read_dir(format!("/proc/{}/fd", proxy.pid()))
            .unwrap()
            .count()
    };
    wait_until("they hold all", || open_descriptors() >= max_descriptors);
    clients
}

/// A proxy whose endpoints work for a while at each request, and clients with a connection each that was used before.
fn proxy_with_clients(
    endpoints: &[TestEndpoint],
    max_descriptors: usize,
) -> (ProxyProcess, Vec<TcpStream>) {
    let endpoints: Vec<&TestEndpoint> = endpoints.iter().collect();
    let proxy = ProxyProcess::with_configuration(&endpoints, |_| (), Some(max_descriptors));
    let mut clients: Vec<TcpStream> = (0..REQUESTS_AT_ONCE).map(|_| proxy.connect()).collect();
    assert_eq!(send_at_once(&mut clients), [200; REQUESTS_AT_ONCE]);
    (proxy, clients)
}

/// Each client sends a request, before any has its response; the statuses.
fn send_at_once(clients: &mut [TcpStream]) -> Vec<u16> {
    for client in clients.iter_mut() {
        client.write_all(&request("pay", 1.5, "")).unwrap();
    }
    let responses = clients
        .iter_mut()
        .map(|client| read_message(client).map_or(0, |(head, _)| status_code(&head)));
    responses.collect()
}

/// Endpoints that work for a while at each request; they close the connection then, unless they keep it.
fn working_endpoints(keep: bool) -> Vec<TestEndpoint> {
    let endpoint = |_| {
        TestEndpoint::new(move |stream, _| {
            sleep_ms(WORK_MS);
            stream.write_all(&ok_response("done")).is_ok() && keep
        })
    };
    (0..ENDPOINTS).map(endpoint).collect()
}

fn open_connections(endpoints: &[TestEndpoint]) -> usize {
    let open = |endpoint: &TestEndpoint| endpoint.open_connections.load(Ordering::SeqCst);
    endpoints.iter().map(open).sum()
}

/// Some of these requests were answered 503: two reserved descriptors were all that new connections to endpoints could
/// have (`no descriptor for attempt: ... upstream=2 idle_upstream=0 reserved: 0 of 2`).
#[test]
fn admitted_requests_reach_endpoints_while_new_clients_hold_every_descriptor() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let endpoints = working_endpoints(false);
        let (proxy, mut clients) = proxy_with_clients(&endpoints, max_descriptors);
        wait_until("endpoints have closed", || {
            open_connections(&endpoints) == 0
        });
        let _others = connect_until_descriptors_are_exhausted(&proxy, max_descriptors);
        let statuses = send_at_once(&mut clients);
        assert_eq!(statuses, [200; REQUESTS_AT_ONCE], "{}", proxy.log());
    }
}

/// Accepting clients closed idle connections to endpoints one after the other, and took their place.
#[test]
fn new_clients_close_no_connection_to_an_endpoint_that_requests_need() {
    for max_descriptors in DESCRIPTOR_LIMITS {
        let endpoints = working_endpoints(true);
        let (proxy, mut clients) = proxy_with_clients(&endpoints, max_descriptors);
        let kept = open_connections(&endpoints);
        let _others = connect_until_descriptors_are_exhausted(&proxy, max_descriptors);
        // Endpoints see a close some milliseconds later.
        sleep_ms(50);
        assert_eq!(open_connections(&endpoints), kept);
        let statuses = send_at_once(&mut clients);
        assert_eq!(statuses, [200; REQUESTS_AT_ONCE], "{}", proxy.log());
    }
}
