//! Endpoint lists: which forms of the JSON are read, and which are errors.

use crankmux::settings::NameIndex;
use crankmux::types::{EndpointId, EndpointState};
use crankmux_proxy::endpoint_list::{stable_hash, EndpointList, EndpointListError, ListedEndpoint};
use serde_json::{json, Value};

fn read(list: &Value) -> Result<EndpointList, EndpointListError> {
    EndpointList::from_json(&mut NameIndex::default(), list)
}

fn read_entries(entries: &[Value]) -> Vec<ListedEndpoint> {
    read(&json!({"seq": 1, "whole": true, "hosts": entries}))
        .expect("the frame is valid")
        .endpoints
}

#[test]
fn a_complete_list_is_read() {
    let list = json!({"seq": 7, "whole": false, "more": 1, "hosts": [
        {"host": "s0", "dial": "127.0.0.1:80", "site": "a", "class": "m", "block": 1, "health": "Ready",
         "share": 1.0, "born_ms": 5},
        {"host": "s1", "dial": "127.0.0.1:81", "site": "b", "class": "n", "block": 1, "health": "Ready",
         "born_ms": 6.5},
    ]});
    let list = read(&list).expect("it is valid");
    assert_eq!((list.sequence_number, list.complete), (7, false));
    let [first, second] = list.endpoints[..] else {
        panic!("two entries");
    };
    assert_eq!(first.update.stable_hash, stable_hash("s0"));
    assert_eq!(first.update.state, EndpointState::Ready);
    assert_eq!(first.dial, Some(("127.0.0.1:80".parse().unwrap(), 5.0)));
    assert_eq!(second.dial, Some(("127.0.0.1:81".parse().unwrap(), 6.5)));
    assert_eq!(first.update.endpoint, EndpointId::new(0));
    assert_eq!(second.update.endpoint, EndpointId::new(1));
    assert_eq!(first.update.pod, second.update.pod);
    assert_ne!(first.update.zone, second.update.zone);
    assert_ne!(first.update.machine_class, second.update.machine_class);
}

#[test]
fn a_frame_without_what_it_needs_is_an_error_that_names_it() {
    let seq = "seq is missing or no whole number";
    let whole = "whole is missing or neither true nor false";
    let hosts = "hosts is missing or no list";
    let cases = [
        (json!(null), seq),
        (json!([]), seq),
        (json!([1, true, []]), seq),
        (json!("text"), seq),
        (json!({"odd": true}), seq),
        (json!({"seq": null, "whole": true, "hosts": []}), seq),
        (json!({"seq": -1, "whole": true, "hosts": []}), seq),
        (json!({"seq": 1.0, "whole": true, "hosts": []}), seq),
        (json!({"seq": "1", "whole": true, "hosts": []}), seq),
        (json!({"seq": 1}), whole),
        (json!({"seq": 1, "whole": 1, "hosts": []}), whole),
        (json!({"seq": 1, "whole": true}), hosts),
        (json!({"seq": 1, "whole": true, "hosts": {}}), hosts),
    ];
    for (list, message) in cases {
        let error = read(&list).expect_err("it is invalid");
        assert_eq!(error.to_string(), message, "{list}");
    }
}

#[test]
fn entries_without_host_or_health_are_skipped() {
    let entries = [
        json!(null),
        json!("s0"),
        json!(["s0", "Ready"]),
        json!({"health": "Ready"}),
        json!({"host": "s0"}),
        json!({"host": 5, "health": "Ready"}),
        json!({"host": "s0", "health": null}),
        json!({"host": "s0", "health": {"Ready": null}}),
        json!({"host": "kept", "health": "Gone"}),
    ];
    let endpoints = read_entries(&entries);
    assert_eq!(endpoints.len(), 1);
    assert_eq!(endpoints[0].update.stable_hash, stable_hash("kept"));
}

#[test]
fn only_a_ready_endpoint_with_an_address_may_be_dialed() {
    let address = json!("127.0.0.1:80");
    let cases = [
        ("Ready", address.clone(), EndpointState::Ready),
        ("Ready", json!(null), EndpointState::Draining),
        ("Ready", json!(80), EndpointState::Draining),
        ("Ready", json!("localhost:80"), EndpointState::Draining),
        ("ready", address.clone(), EndpointState::Draining),
        ("Terminating", address.clone(), EndpointState::Draining),
        ("Unheard-of", address.clone(), EndpointState::Draining),
        ("Gone", address, EndpointState::Removed),
        ("Gone", json!(null), EndpointState::Removed),
    ];
    for (health, dial, state) in cases {
        let entry = json!({"host": "s0", "health": health, "dial": dial});
        let endpoint = read_entries(std::slice::from_ref(&entry))[0];
        assert_eq!(endpoint.update.state, state, "{entry}");
        let may_be_dialed = state == EndpointState::Ready;
        assert_eq!(endpoint.dial.is_some(), may_be_dialed, "{entry}");
    }
}

#[test]
fn optional_fields_of_another_type_count_as_absent() {
    let plain = json!({"host": "s0", "health": "Ready", "dial": "127.0.0.1:80"});
    let mistyped = json!({"host": "s0", "health": "Ready", "dial": "127.0.0.1:80", "site": 1, "class": null,
                          "block": -1, "born_ms": "5"});
    let [plain, mistyped] = [plain, mistyped].map(|entry| read_entries(&[entry])[0]);
    assert_eq!(mistyped.update.zone, plain.update.zone);
    assert_eq!(mistyped.update.machine_class, plain.update.machine_class);
    assert_eq!(mistyped.update.pod, plain.update.pod);
    assert_eq!(mistyped.update.started_at_ms, 0.0);
    assert_eq!(mistyped.dial, plain.dial);
}

#[test]
fn stable_hashes_are_those_of_64_bit_fnv_1a() {
    assert_eq!(stable_hash(""), 0xcbf2_9ce4_8422_2325);
    assert_eq!(stable_hash("a"), 0xaf63_dc4c_8601_ec8c);
    assert_eq!(stable_hash("foobar"), 0x8594_4171_f739_67e8);
}
