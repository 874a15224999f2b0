//! What a proxy does before it is ready, and how soon it is.

use crate::support::configuration::configuration;
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request};
use crate::support::proxy_process::{failed_start_log, ProxyProcess};
use crate::support::wait::{sleep_ms, wait_until, TEST_TIMEOUT};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender};
use std::sync::{mpsc, Arc};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

/// Answers the first call of discovery with this list, once a client has written; how long that took, with the
/// sockets, which stay open.
fn answer_first_call_after_client(
    discovery: TcpListener,
    update: Value,
    wrote: Receiver<()>,
) -> JoinHandle<(Duration, TcpStream, TcpListener)> {
    thread::spawn(move || {
        let (mut stream, _) = discovery.accept().unwrap();
        read_message(&mut stream).expect("it calls");
        let called = Instant::now();
        // Not before the client has written, and a proxy that does not wait has had the time to forward
        // that.
        wrote.recv_timeout(TEST_TIMEOUT).expect("a client");
        sleep_ms(30);
        stream.write_all(&ok_response(&update.to_string())).unwrap();
        (called.elapsed(), stream, discovery)
    })
}

/// Sends a request as soon as a proxy listens at this address; the body of its response.
fn send_request_once_it_listens(proxy: SocketAddr, written: Sender<()>) -> JoinHandle<Vec<u8>> {
    thread::spawn(move || {
        let from = Instant::now();
        let mut client = loop {
            match TcpStream::connect(proxy) {
                Ok(client) => break client,
                Err(_) => assert!(from.elapsed() < TEST_TIMEOUT, "it listens"),
            }
        };
        client.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        client.write_all(&request("view", 5.0, "")).unwrap();
        written.send(()).unwrap();
        read_message(&mut client).expect("a response").1
    })
}

#[test]
fn new_process_applies_the_endpoint_list_before_it_serves_clients() {
    // Where the machine is too busy for discovery to answer within a tenth of a second, the test tries again.
    for _ in 0..5 {
        let one = TestEndpoint::always_answering(ok_response("one"));
        let two = TestEndpoint::always_answering(ok_response("two"));
        let known = endpoint_list(1, true, &[endpoint_entry("one", one.address, "Ready")]);
        let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
        let free = crankmux_fault_injection::free_port();
        let mut configuration = configuration(discovery.local_addr().unwrap(), &known);
        configuration["listen"] = json!(free.to_string());
        let update = endpoint_list(
            2,
            false,
            &[
                endpoint_entry("one", one.address, "Terminating"),
                endpoint_entry("two", two.address, "Ready"),
            ],
        );
        let (written, wrote) = mpsc::channel::<()>();
        let discovery_calls = answer_first_call_after_client(discovery, update, wrote);
        let client = send_request_once_it_listens(free, written);
        let _proxy = ProxyProcess::start(&configuration, None);
        let (took, ..) = discovery_calls.join().unwrap();
        let body = client.join().unwrap();
        if took < Duration::from_millis(85) {
            assert_eq!((body, one.received_count()), (b"two".to_vec(), 0));
            return;
        }
    }
    panic!("no machine is so busy five times in a row");
}

/// An endpoint that reports its load to probes, and answers any other request.
fn endpoint_reporting_load_to_probes() -> TestEndpoint {
    TestEndpoint::new(|stream, received| {
        let load = if received.head.starts_with("GET /_load ") {
            "TEXT inflight=0"
        } else {
            "x"
        };
        stream.write_all(&ok_response(load)).is_ok()
    })
}

/// Settings with one request class.
fn one_class(name: &str, effect: &str, ttl_ms: f64) -> Vec<Value> {
    vec![
        json!({"Name": name, "Effect": effect, "Group": "cell", "WindowMs": 5000.0, "TargetLatencyMs": ttl_ms / 4.0,
               "TtlMs": ttl_ms, "Benefit": 3.5, "LateBenefit": 0.0}),
    ]
}

/// Little memory, few sockets, and no retries.
fn set_small_limits(config: &mut Value) {
    config["limits"] = json!({"cores": 0.1, "memory_mb": 1, "sockets": 48});
    config["settings"]["Limits"]["MostPushes"] = json!(1);
}

/// Checks that a proxy with these request classes, and with small limits if `limits`, serves them and no others.
fn assert_classes_are_served(endpoint: &TestEndpoint, request_classes: &[Value], limits: bool) {
    let change = |config: &mut Value| {
        config["settings"]["Categories"] = json!(request_classes);
        limits.then(|| set_small_limits(config));
    };
    let proxy = ProxyProcess::with_configuration(&[endpoint], change, None);
    for request_class in request_classes {
        let name = request_class["Name"].as_str().unwrap();
        // As clients do after a rejection; the deadline is long, so that a busy machine has enough time.
        assert_eq!(
            proxy.send_until_accepted(&request(name, 5.0, "")),
            200,
            "{name}"
        );
    }
    assert_eq!(
        proxy.send_request(&request("view", 5.0, "")).0,
        400,
        "a class of other settings"
    );
}

/// Checks that where a key is missing, the key is named.
fn assert_missing_key_is_named(endpoint: &TestEndpoint) {
    let known = endpoint_list(1, true, &[endpoint_entry("s0", endpoint.address, "Ready")]);
    let mut lacks = configuration("127.0.0.1:9".parse().unwrap(), &known);
    lacks["settings"]["Categories"] = json!(one_class("x", "read_like", 100.0));
    lacks["settings"]["Categories"][0]
        .as_object_mut()
        .unwrap()
        .remove("TtlMs");
    assert!(failed_start_log(&lacks)
        .expect("it does not start")
        .contains("TtlMs"));
}

#[test]
fn settings_of_other_deployments_start_and_serve() {
    let endpoint = endpoint_reporting_load_to_probes();
    for (request_classes, limits) in [
        (one_class("Berth.Plan", "read_like", 120_000.0), false),
        (one_class("x", "non_idempotent", 2000.0), true),
        (
            one_class("UPPER_lower-9", "idempotency_key", 900_000.0),
            true,
        ),
        (
            [
                one_class("a", "non_idempotent", 100.0),
                one_class("A", "read_like", 100.0),
            ]
            .concat(),
            false,
        ),
    ] {
        assert_classes_are_served(&endpoint, &request_classes, limits);
    }
    assert_missing_key_is_named(&endpoint);
}

#[test]
fn proxy_becomes_ready_with_a_slow_discovery() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint_address = endpoint.address;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                while read_message(&mut stream).is_some() {
                    sleep_ms(700);
                    let list =
                        endpoint_list(1, true, &[endpoint_entry("s", endpoint_address, "Ready")]);
                    let _ = stream.write_all(&ok_response(&list.to_string()));
                }
            });
        }
    });
    let proxy = ProxyProcess::spawn(&configuration(address, &Value::Null), None, &[]);
    let from = Instant::now();
    wait_until("it is ready", || {
        proxy.send_request(b"GET /_health HTTP/1.1\r\n\r\n").0 == 200
    });
    assert!(
        from.elapsed() < Duration::from_secs(4),
        "{:?}",
        from.elapsed()
    );
}

/// How long each of so many processes, killed and started again at the same time, takes until it is ready, in
/// order.
fn times_until_ready(count: usize, discovery: SocketAddr, known: &Value) -> Vec<Duration> {
    let config = configuration(discovery, known);
    let killed: Vec<ProxyProcess> = (0..count)
        .map(|_| ProxyProcess::spawn(&config, None, &[]))
        .collect();
    killed.iter().for_each(|proxy| proxy.signal(Signal::KILL));
    drop(killed);
    let from = Instant::now();
    let proxies: Vec<ProxyProcess> = (0..count)
        .map(|_| ProxyProcess::spawn(&config, None, &[]))
        .collect();
    let mut took: Vec<Duration> = Vec::new();
    let mut left: Vec<&ProxyProcess> = proxies.iter().collect();
    while !left.is_empty() && from.elapsed() < Duration::from_secs(15) {
        left.retain(|proxy| {
            let ready = proxy
                .send_request(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n")
                .0
                == 200;
            took.extend(ready.then(|| from.elapsed()));
            !ready
        });
        sleep_ms(20);
    }
    took.extend(left.iter().map(|_| Duration::MAX));
    took
}

/// A discovery that always answers with this list, after a pause, or not at all while it is `down`.
fn start_discovery(
    complete_list: &Value,
    pause_ms: u64,
    down: Option<Arc<AtomicBool>>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let complete_list = complete_list.clone();
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let complete_list = complete_list.clone();
            let down = down.clone();
            thread::spawn(move || {
                while let Some((head, _)) = read_message(&mut stream) {
                    if down
                        .as_ref()
                        .is_some_and(|down| down.load(Ordering::SeqCst))
                    {
                        let _ = stream.read(&mut [0]);
                        return;
                    }
                    sleep_ms(if head.contains("hold_ms=2") {
                        2000
                    } else {
                        pause_ms
                    });
                    let _ = stream.write_all(&ok_response(&format!("{complete_list:#}")));
                }
            });
        }
    });
    address
}

/// How many processes are started at once.
const PROCESSES_AT_ONCE: usize = 12;

/// Starts so many processes at once, and checks that nine in ten of them are ready in time.
fn assert_nine_in_ten_are_ready_in_time(name: &str, discovery: SocketAddr, known: &Value) {
    let count = PROCESSES_AT_ONCE;
    let took = times_until_ready(count, discovery, known);
    let at = |share: f64| took[((share * count as f64) as usize).min(count - 1)];
    println!(
        "{name}: half {:.1?}, nine in ten {:.1?}, last {:.1?}",
        at(0.5),
        at(0.9),
        at(1.0)
    );
    assert!(at(0.9) < Duration::from_secs(10), "{name}: {took:?}");
}

/// Makes discovery silent, and answering again after 8 s.
fn silence_for_eight_seconds(silent: &Arc<AtomicBool>) -> JoinHandle<()> {
    silent.store(true, Ordering::SeqCst);
    thread::spawn({
        let silent = silent.clone();
        move || {
            sleep_ms(8000);
            silent.store(false, Ordering::SeqCst);
        }
    })
}

#[test]
fn nine_in_ten_processes_started_at_once_are_ready_within_ten_seconds() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let entry = |i: usize| endpoint_entry(&format!("server-{i:04}"), endpoint.address, "Ready");
    let hosts: Vec<Value> = (0..1024).map(entry).collect();
    let complete_list = endpoint_list(1, true, &hosts);
    // Silent for 8 s, slow, and answering at once; with a list known before and with none.
    let silent = Arc::new(AtomicBool::new(false));
    let silent_flag = silent.clone();
    let discovery = |pause_ms: u64, down: Option<Arc<AtomicBool>>| {
        start_discovery(&complete_list, pause_ms, down)
    };
    let cases = [
        ("at once, none known", discovery(0, None), &Value::Null),
        (
            "slow by 0.7 s, none known",
            discovery(700, None),
            &Value::Null,
        ),
        (
            "silent for 8 s, known",
            discovery(0, Some(silent_flag.clone())),
            &complete_list,
        ),
        (
            "silent for 8 s, none known",
            discovery(0, Some(silent_flag)),
            &Value::Null,
        ),
    ];
    let recovery = silence_for_eight_seconds(&silent);
    thread::scope(|scope| {
        for (name, discovery, known) in cases {
            scope.spawn(move || assert_nine_in_ten_are_ready_in_time(name, discovery, known));
        }
    });
    recovery.join().unwrap();
}
