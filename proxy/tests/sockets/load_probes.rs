//! Endpoints that report their load to probes alone.

use crate::support::configuration::{configuration, report_load_to_probes_alone};
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::endpoint::TestEndpoint;
use crate::support::http::{header_value, ok_response, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::recording_endpoints::RecordingEndpoints;
use crate::support::wait::sleep_ms;
use serde_json::json;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

#[test]
fn endpoint_that_reports_load_by_pull_is_probed_and_invalid_reports_are_ignored() {
    // A good report, one that is none, a broken answer, a refusal, silence, a close, and noise without end.
    let reports: Vec<Vec<u8>> = vec![
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
    ];
    for report in reports {
        let load_report = report.clone();
        let endpoint = TestEndpoint::new(move |stream, received| {
            if !received.head.starts_with("GET /_load ") {
                return stream.write_all(&ok_response("x")).is_ok();
            }
            load_report != b"close" && stream.write_all(&load_report).is_ok()
        });
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
        "where reports come with answers nothing is asked"
    );
}

#[test]
fn proxies_with_and_without_probes_share_endpoints_by_the_rules_and_fairly() {
    let recording = RecordingEndpoints::start(4, Duration::from_millis(20));
    let named = |number: usize, health: &str| {
        endpoint_entry(
            &format!("s{number}"),
            recording.endpoints[number].address,
            health,
        )
    };
    let known = endpoint_list(
        1,
        true,
        &(0..3).map(|s| named(s, "Ready")).collect::<Vec<_>>(),
    );
    let mut proxies = Vec::new();
    for number in 0..4 {
        let discovery = TestDiscovery::new(known.clone());
        let mut own = configuration(discovery.address, &known);
        own["seed"] = json!(format!("{:016x}", 0x51ed_2700_u64 + number));
        let settings = &mut own["settings"];
        settings["GroupSize"] = json!(4);
        settings["MyNumber"] = json!(number);
        settings["Obligations"]["ColdMs"] = json!(8000.0);
        settings["Obligations"]["ColdShare"] = json!(0.1);
        settings["Obligations"]["FallMultiple"] = json!(1.5);
        if number % 2 == 1 {
            report_load_to_probes_alone(&mut own);
        }
        proxies.push((ProxyProcess::start(&own, None), discovery));
    }
    let over = AtomicBool::new(false);
    let answers: Mutex<Vec<(usize, u16)>> = Mutex::new(Vec::new());
    let mut cold_at_ms = 0.0;
    let mut drain_at_ms = 0.0;
    thread::scope(|scope| {
        for (number, (proxy, _)) in proxies.iter().enumerate() {
            for _ in 0..2 {
                let (over, answers) = (&over, &answers);
                scope.spawn(move || {
                    let mut client = proxy.connect();
                    for request_class in ["view", "order", "pay"].iter().cycle() {
                        if over.load(Ordering::SeqCst) {
                            break;
                        }
                        client
                            .write_all(&request(request_class, 2.0, ""))
                            .expect("the node reads");
                        let answer =
                            read_message(&mut client).map_or(0, |(head, _)| status_code(&head));
                        answers.lock().unwrap().push((number % 2, answer));
                        if answer != 200 {
                            // As clients do: not at once again.
                            sleep_ms(20);
                        }
                    }
                });
            }
        }
        let elapsed_ms = || recording.started.elapsed().as_secs_f64() * 1000.0;
        sleep_ms(1500);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let mut cold = named(3, "Ready");
        cold["born_ms"] = json!(unix.as_secs_f64() * 1000.0);
        cold_at_ms = elapsed_ms();
        for (_, discovery) in &proxies {
            discovery.notify(endpoint_list(2, false, &[cold.clone()]));
        }
        sleep_ms(1500);
        drain_at_ms = elapsed_ms();
        for (_, discovery) in &proxies {
            discovery.notify(endpoint_list(3, false, &[named(0, "Terminating")]));
        }
        sleep_ms(1500);
        over.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().unwrap();
    assert!(
        answers
            .iter()
            .all(|(_, status)| [200, 502, 503].contains(status)),
        "one final answer each"
    );
    let mut runs = std::mem::take(&mut *recording.runs.lock().unwrap());
    runs.sort_by(|first, second| first.from_ms.total_cmp(&second.from_ms));
    let id = |head: &str| header_value(head, "X-Request-ID").expect("as the client gave it");
    let mut last: BTreeMap<String, f64> = Default::default();
    for run in &runs {
        // An op's second run begins after its first has ended: no new shape sends a copy beside a push, and
        // none of these clients waits so long that an old one does.
        if let Some(ended_ms) = last.insert(id(&run.head), run.to_ms) {
            assert!(!run.head.contains("/pay/"), "an effect twice");
            assert!(ended_ms <= run.from_ms, "two pushes out");
        }
    }
    let attempts_at = |endpoint: usize, from_ms: f64, to_ms: f64| {
        runs.iter()
            .filter(|run| run.endpoint == endpoint && (from_ms..to_ms).contains(&run.from_ms))
            .count() as f64
    };
    // The grace is 100 ms; a crowded machine is given the rest.
    assert_eq!(
        attempts_at(0, drain_at_ms + 600.0, f64::MAX),
        0.0,
        "nothing new after the grace"
    );
    assert!(
        attempts_at(0, cold_at_ms, drain_at_ms) > 0.0,
        "it was in use"
    );
    // In its first 1.5 s it is able to do up to 27% of a warm one's work; one and a half times that, and some
    // slack for chance.
    let warm =
        (attempts_at(1, cold_at_ms, drain_at_ms) + attempts_at(2, cold_at_ms, drain_at_ms)) / 2.0;
    let cold = attempts_at(3, cold_at_ms, drain_at_ms);
    assert!(cold <= 0.41 * warm + 5.0, "{cold} pushes beside {warm}");
    let served = |kind: usize| {
        answers
            .iter()
            .filter(|(k, s)| *k == kind && *s == 200)
            .count() as f64
    };
    let old = served(0);
    let new = served(1);
    assert!(
        old > 0.5 * new && new > 0.5 * old && old + new > 100.0,
        "without probes {old}, with probes {new}"
    );
}
