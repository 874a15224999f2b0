//! Endpoint lists of any size, form and order.

use crate::support::configuration::configuration;
use crate::support::connection::reset_connection;
use crate::support::discovery::{endpoint_entry, endpoint_list};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{ok_response, read_message, request};
use crate::support::proxy_process::ProxyProcess;
use crate::support::wait::{sleep_ms, wait_until, TEST_TIMEOUT};
use serde_json::{json, Value};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;

/// Answers of discovery, some of them no list or no newer one, in which `both` stands from version 6 on.
fn torn_indented_empty_repeated_and_older_lists(both: &[Value]) -> [String; 9] {
    let indented = serde_json::to_string_pretty(&endpoint_list(6, false, both)).unwrap();
    let torn = endpoint_list(7, false, both).to_string();
    [
        torn[..torn.len() / 2].to_string(),
        String::new(),
        "null".into(),
        endpoint_list(5, false, &[]).to_string(),
        indented.clone(),
        indented,
        endpoint_list(6, false, &[]).to_string(),
        // An older list: the proxy then asks for the complete list.
        endpoint_list(2, false, &[]).to_string(),
        endpoint_list(6, true, both).to_string(),
    ]
}

/// A discovery that answers its calls with these bodies in order, and then no more; its address, and the request
/// line of each call.
fn start_discovery_answering(bodies: [String; 9]) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let discovery = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = discovery.local_addr().unwrap();
    let calls = Arc::new(Mutex::new(Vec::new()));
    let recorded_calls = calls.clone();
    thread::spawn(move || {
        let mut bodies = bodies.into_iter();
        for mut stream in discovery.incoming().flatten() {
            while let Some((head, _)) = read_message(&mut stream) {
                recorded_calls
                    .lock()
                    .unwrap()
                    .push(head.lines().next().unwrap_or_default().to_string());
                let Some(body) = bodies.next() else {
                    return thread::sleep(TEST_TIMEOUT);
                };
                if stream.write_all(&ok_response(&body)).is_err() {
                    break;
                }
            }
        }
    });
    (address, calls)
}

#[test]
fn torn_indented_empty_repeated_and_older_lists_are_survived() {
    let one = TestEndpoint::always_answering(ok_response("one"));
    let two = TestEndpoint::always_answering(ok_response("two"));
    let known = endpoint_list(5, true, &[endpoint_entry("one", one.address, "Ready")]);
    let both = [
        endpoint_entry("one", one.address, "Terminating"),
        endpoint_entry("two", two.address, "Ready"),
    ];
    let bodies = torn_indented_empty_repeated_and_older_lists(&both);
    let (address, calls) = start_discovery_answering(bodies);
    let proxy = ProxyProcess::start(&configuration(address, &known), None);
    wait_until("all of them are sent", || calls.lock().unwrap().len() == 10);
    let requests = calls.lock().unwrap().clone();
    assert!(
        requests[8].starts_with("GET /catalog/members HTTP"),
        "the complete list after an older one: {requests:?}"
    );
    assert!(requests[9].contains("from=6&hold_ms="), "{requests:?}");
    for _ in 0..5 {
        assert_eq!(
            proxy.send_request(&request("view", 5.0, "")),
            (200, "two".into())
        );
    }
}

#[test]
fn lists_of_thousands_of_endpoints_are_applied_indented_and_in_pieces() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    for count in [1024, 6000] {
        let entry = |i: usize| {
            endpoint_entry(
                &format!("server-with-a-long-name-{i:06}"),
                endpoint.address,
                "Ready",
            )
        };
        let hosts: Vec<Value> = (0..count).map(entry).collect();
        let text = format!("{:#}", endpoint_list(1, true, &hosts)).replace("\n", "\n      ");
        assert!(
            count < 6000 || text.len() > 1024 * 1024,
            "more than one buffer holds"
        );
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                if read_message(&mut stream).is_some() {
                    for piece in ok_response(&text).chunks(200_000) {
                        let _ = stream.write_all(piece);
                        sleep_ms(2);
                    }
                    let _ = read_message(&mut stream);
                    sleep_ms(10_000);
                }
            }
        });
        let mut config = configuration(address, &Value::Null);
        config["admin_addr"] = json!("127.0.0.1:0");
        let proxy = ProxyProcess::start(&config, None);
        assert_eq!(proxy.metric("discovered"), Some(count as u64));
        assert_eq!(proxy.send_request(&request("view", 2.0, "")).0, 200);
    }
}

#[test]
fn list_cut_at_any_byte_is_ignored_and_the_complete_one_after_it_is_applied() {
    let endpoint = TestEndpoint::always_answering(ok_response("x"));
    let one = endpoint_entry("s0", endpoint.address, "Ready");
    let two = endpoint_entry("s1", endpoint.address, "Ready");
    let known = endpoint_list(1, true, std::slice::from_ref(&one));
    // An unknown key is not an error.
    let mut update = endpoint_list(2, true, &[one, two]);
    update["more"] = json!({"odd": [1]});
    let text = ok_response(&update.to_string());
    let lanes = 12;
    thread::scope(|scope| {
        for lane in 0..lanes {
            let text = &text;
            let known = &known;
            scope.spawn(move || {
                let cuts: Vec<usize> = (lane..text.len()).step_by(lanes).collect();
                let listener = TcpListener::bind("127.0.0.1:0").unwrap();
                let mut config = configuration(listener.local_addr().unwrap(), known);
                config["admin_addr"] = json!("127.0.0.1:0");
                let proxy = ProxyProcess::spawn(&config, None, &[]);
                for (number, cut) in cuts.iter().enumerate() {
                    let (mut stream, _) = listener.accept().unwrap();
                    if read_message(&mut stream).is_some() {
                        let _ = stream.write_all(&text[..*cut]);
                        sleep_ms(5);
                    }
                    if number % 2 == 1 {
                        reset_connection(stream);
                    }
                }
                assert_eq!(
                    proxy.metric("discovered"),
                    Some(1),
                    "nothing of what was cut"
                );
                let (mut stream, _) = listener.accept().unwrap();
                assert!(read_message(&mut stream).is_some());
                stream.write_all(text).unwrap();
                wait_until("the complete one is applied", || {
                    proxy.metric("discovered") == Some(2)
                });
            });
        }
    });
}
