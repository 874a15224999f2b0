//! The endpoint list that an upgrade hands over.

use crankmux_proxy::discovery::Discovery;
use serde_json::{json, Value};

fn discovery_after(lists: &[Value]) -> Discovery {
    let mut discovery = Discovery::new("127.0.0.1:1".parse().expect("an address"));
    for list in lists {
        discovery.cache_list(list);
    }
    discovery
}

#[test]
fn changes_replace_add_and_remove_entries_which_stay_as_they_came() {
    let first = json!({"seq": 1, "whole": true, "hosts": [
        {"host": "s0", "health": "Ready", "share": 1.0, "unknown": [1]},
        {"host": "s1", "health": "Ready"},
        {"host": "s2"},
    ]});
    let changes = json!({"seq": 2, "whole": false, "hosts": [
        {"host": "s1", "health": "Gone"},
        {"host": "s3", "health": "Terminating"},
        {"health": "Ready"},
    ]});
    let expected = json!({"seq": 0, "whole": true, "hosts": [
        {"host": "s0", "health": "Ready", "share": 1.0, "unknown": [1]},
        {"host": "s2"},
        {"host": "s3", "health": "Terminating"},
    ]});
    assert_eq!(discovery_after(&[first, changes]).complete_list(), expected);
}

#[test]
fn a_complete_list_replaces_all_entries() {
    let first = json!({"seq": 1, "whole": true, "hosts": [{"host": "s0", "health": "Ready"}]});
    let second = json!({"seq": 2, "whole": true, "hosts": [{"host": "s1", "health": "Ready"}]});
    let expected = json!({"seq": 0, "whole": true, "hosts": [{"host": "s1", "health": "Ready"}]});
    assert_eq!(discovery_after(&[first, second]).complete_list(), expected);
}
