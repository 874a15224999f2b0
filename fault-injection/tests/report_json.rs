//! The JSON format of reports in figures.json is stable: keys and their order.

use crankmux_fault_injection::{Report, Service, Times};

fn report() -> Report {
    Report {
        name: "x".into(),
        processes: 3,
        seconds: 5.0,
        seed: 1,
        cluster: true,
        configured_proxies: 3,
        joined_ms: Some(2.0),
        failure_detection: Times::default(),
        convergence: Times::default(),
        false_alarms: 0,
        service: Service::default(),
        rules_broken: [0; 5],
        broken: Vec::new(),
        clients_left: 0,
        attempts_after_leaves: [0; 4],
        assumed_proxies_at_end: 3.0,
        seen_at_end: None,
        latency_ms: Times::default(),
        latency_p999_ms: 0.0,
        datagram_bytes_per_second: 0.0,
        cpu_ms_per_second: 0.0,
        by_second: Vec::new(),
    }
}

#[test]
fn the_json_keys_of_a_report_and_their_order_are_stable() {
    let times = r#"{"count":0,"median":0.0,"p99":0.0,"most":0.0,"never":0}"#;
    let expected = [
        r#"{"name":"x","processes":3,"seconds":5.0,"seed":1,"fleet":true,"told":3,"joined_ms":2.0,"#,
        &format!(r#""kill_known":{times},"healed":{times},"false_alarms":0,"#),
        r#""taken":0,"acked":0,"in_time":0,"nacked":0,"dead_lettered":0,"gone":0,"#,
        r#""rules_broken":[0,0,0,0,0],"broken":[],"clients_left":0,"pushes_after_leaves":[0,0,0,0],"#,
        r#""assumed_at_end":3.0,"seen_at_end":null,"#,
        &format!(r#""latency_ms":{times},"latency_p999_ms":0.0,"#),
        r#""datagram_bytes_a_second_a_node":0.0,"cpu_ms_a_second_a_node":0.0,"by_second":[]}"#,
    ]
    .concat();
    assert_eq!(serde_json::to_string(&report()).unwrap(), expected);
}
