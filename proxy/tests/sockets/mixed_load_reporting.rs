//! Proxies that take load reports from responses and proxies that send load probes, before the same endpoints.

use crate::support::configuration::{configuration, report_load_to_probes_alone};
use crate::support::discovery::{endpoint_entry, endpoint_list, TestDiscovery};
use crate::support::http::{header_value, read_message, request, status_code};
use crate::support::proxy_process::ProxyProcess;
use crate::support::recording_endpoints::{RecordedRun, RecordingEndpoints};
use crate::support::wait::sleep_ms;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Four proxies that share the endpoints: the even ones take load reports from responses, the odd ones send probes.
fn start_proxies(known: &Value) -> Vec<(ProxyProcess, TestDiscovery)> {
    let mut proxies = Vec::new();
    for number in 0..4 {
        let discovery = TestDiscovery::new(known.clone());
        let mut own = configuration(discovery.address, known);
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
    proxies
}

/// Sends requests of all classes on one connection until `over`, and reports the status of each response.
fn send_requests_until(proxy: &ProxyProcess, over: &AtomicBool, report_status: impl Fn(u16)) {
    let mut client = proxy.connect();
    for request_class in ["view", "order", "pay"].iter().cycle() {
        if over.load(Ordering::SeqCst) {
            break;
        }
        client
            .write_all(&request(request_class, 2.0, ""))
            .expect("the proxy reads");
        let status = read_message(&mut client).map_or(0, |(head, _)| status_code(&head));
        report_status(status);
        if status != 200 {
            // As clients do: no retry at once.
            sleep_ms(20);
        }
    }
}

/// Checks that no request ran twice at once, and none that is not idempotent ran twice at all.
fn assert_runs_follow_the_rules(runs: &[RecordedRun]) {
    let id = |head: &str| header_value(head, "X-Request-ID").expect("as the client gave it");
    let mut last: BTreeMap<String, f64> = Default::default();
    for run in runs {
        // A request's second run begins after its first has ended: proxies with probes send no hedged requests,
        // and none of these clients waits so long that the others do.
        if let Some(ended_ms) = last.insert(id(&run.head), run.to_ms) {
            assert!(!run.head.contains("/pay/"), "executed twice");
            assert!(ended_ms <= run.from_ms, "two attempts in flight");
        }
    }
}

/// Checks that endpoint 0 gets nothing once it has drained, and endpoint 3 little while it is warming up.
fn assert_drain_and_slow_start(runs: &[RecordedRun], cold_at_ms: f64, drain_at_ms: f64) {
    let attempts_at = |endpoint: usize, from_ms: f64, to_ms: f64| {
        runs.iter()
            .filter(|run| run.endpoint == endpoint && (from_ms..to_ms).contains(&run.from_ms))
            .count() as f64
    };
    // The drain grace is 100 ms; a busy machine is given the rest.
    assert_eq!(
        attempts_at(0, drain_at_ms + 600.0, f64::MAX),
        0.0,
        "nothing new after the grace"
    );
    assert!(
        attempts_at(0, cold_at_ms, drain_at_ms) > 0.0,
        "it was in use"
    );
    // In its first 1.5 s it can do up to 27% of the work of an endpoint that is warmed up; one and a half times
    // that, and some allowance for chance.
    let warm =
        (attempts_at(1, cold_at_ms, drain_at_ms) + attempts_at(2, cold_at_ms, drain_at_ms)) / 2.0;
    let cold = attempts_at(3, cold_at_ms, drain_at_ms);
    assert!(cold <= 0.41 * warm + 5.0, "{cold} attempts beside {warm}");
}

/// Checks that the clients of neither kind of proxy (0 without probes, 1 with probes) are starved.
fn assert_fair(answers: &[(usize, u16)]) {
    let served = |kind: usize| {
        answers
            .iter()
            .filter(|(answered_kind, status)| *answered_kind == kind && *status == 200)
            .count() as f64
    };
    let old = served(0);
    let new = served(1);
    assert!(
        old > 0.5 * new && new > 0.5 * old && old + new > 100.0,
        "without probes {old}, with probes {new}"
    );
}

/// Starts two clients of each proxy, which send until `over`; each answer is recorded with the kind of its proxy
/// (0 without probes, 1 with probes).
fn start_clients<'scope>(
    scope: &'scope thread::Scope<'scope, '_>,
    proxies: &'scope [(ProxyProcess, TestDiscovery)],
    over: &'scope AtomicBool,
    answers: &'scope Mutex<Vec<(usize, u16)>>,
) {
    for (number, (proxy, _)) in proxies.iter().enumerate() {
        for _ in 0..2 {
            scope.spawn(move || {
                send_requests_until(proxy, over, |status| {
                    answers.lock().unwrap().push((number % 2, status));
                });
            });
        }
    }
}

/// Sends an endpoint list to all proxies.
fn notify_all(proxies: &[(ProxyProcess, TestDiscovery)], list: &Value) {
    for (_, discovery) in proxies {
        discovery.notify(list.clone());
    }
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
    let proxies = start_proxies(&known);
    let over = AtomicBool::new(false);
    let answers: Mutex<Vec<(usize, u16)>> = Mutex::new(Vec::new());
    let mut cold_at_ms = 0.0;
    let mut drain_at_ms = 0.0;
    thread::scope(|scope| {
        start_clients(scope, &proxies, &over, &answers);
        let elapsed_ms = || recording.started.elapsed().as_secs_f64() * 1000.0;
        sleep_ms(1500);
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
        let mut cold = named(3, "Ready");
        cold["born_ms"] = json!(unix.as_secs_f64() * 1000.0);
        cold_at_ms = elapsed_ms();
        notify_all(&proxies, &endpoint_list(2, false, &[cold]));
        sleep_ms(1500);
        drain_at_ms = elapsed_ms();
        notify_all(
            &proxies,
            &endpoint_list(3, false, &[named(0, "Terminating")]),
        );
        sleep_ms(1500);
        over.store(true, Ordering::SeqCst);
    });
    let answers = answers.into_inner().unwrap();
    assert!(
        answers
            .iter()
            .all(|(_, status)| [200, 502, 503].contains(status)),
        "one final response each"
    );
    let mut runs = std::mem::take(&mut *recording.runs.lock().unwrap());
    runs.sort_by(|first, second| first.from_ms.total_cmp(&second.from_ms));
    assert_runs_follow_the_rules(&runs);
    assert_drain_and_slow_start(&runs, cold_at_ms, drain_at_ms);
    assert_fair(&answers);
}
