//! The entries of the endpoint list as they came, unknown fields included, for the process after this one.

use serde_json::{json, Value};
use std::collections::BTreeMap;

/// The current entries, by the id of their endpoint.
#[derive(Default)]
pub(super) struct RememberedList {
    entries: BTreeMap<String, Value>,
}

impl RememberedList {
    /// Takes over a list: complete, or what has changed.
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

    /// A complete list of the current entries.
    pub(super) fn to_json(&self, sequence_number: u64) -> Value {
        let entries: Vec<&Value> = self.entries.values().collect();
        json!({"seq": sequence_number, "whole": true, "hosts": entries})
    }
}
