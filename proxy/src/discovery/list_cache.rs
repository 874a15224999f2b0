//! The raw entries of the endpoint list, including unknown fields, kept for the next process of an upgrade.

use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The current entries, keyed by endpoint id.
#[derive(Default)]
pub(super) struct EndpointListCache {
    entries: BTreeMap<String, Value>,
}

impl EndpointListCache {
    /// Merges a received list, which is complete or a list of changes.
    pub(super) fn merge(&mut self, list: &Value) {
        if list.get("whole") == Some(&Value::Bool(true)) {
            self.entries.clear();
        }
        let entries = list.get("hosts").and_then(Value::as_array);
        for entry in entries.into_iter().flatten() {
            let Some(id) = entry.get("host").and_then(Value::as_str) else {
                continue;
            };
            if entry.get("health").and_then(Value::as_str) == Some("Gone") {
                self.entries.remove(id);
            } else {
                self.entries.insert(id.to_string(), entry.clone());
            }
        }
    }

    /// Returns the current entries as a complete list.
    pub(super) fn to_json(&self, sequence_number: u64) -> Value {
        let entries: Vec<&Value> = self.entries.values().collect();
        json!({"seq": sequence_number, "whole": true, "hosts": entries})
    }
}
