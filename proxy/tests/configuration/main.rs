//! Each faulty configuration is rejected by a message that names the key.

#![allow(clippy::disallowed_methods)]

use crankmux_proxy::config::configuration::{connection_limit, Configuration};
use crankmux_proxy::config::ConfigurationError;
use serde::Deserialize;
use serde_json::{json, Value};
use std::process::Command;
use temporary_folder::TemporaryFolder;

#[path = "../support/temporary_folder.rs"]
mod temporary_folder;

/// One change to the valid configuration.
#[derive(Deserialize)]
struct Case {
    /// A JSON pointer to the key.
    path: String,
    /// The value to set; the key is removed without one.
    #[serde(default)]
    value: Option<Value>,
    /// The message; none where the configuration is still valid.
    error: Option<String>,
}

fn valid_configuration() -> Value {
    serde_json::from_str(include_str!("valid.json")).expect("JSON")
}

fn change(document: &mut Value, case: &Case) {
    let (parent, key) = case.path.rsplit_once('/').expect("a pointer");
    let parent = document.pointer_mut(parent).expect("a place");
    match (parent, &case.value) {
        (Value::Object(object), Some(value)) => {
            object.insert(key.into(), value.clone());
        }
        (Value::Object(object), None) => {
            object.remove(key).expect("a key");
        }
        (Value::Array(items), Some(value)) => {
            let index: usize = key.parse().expect("an index");
            items[index] = value.clone();
        }
        (other, _) => panic!("{} leads to {other}", case.path),
    }
}

fn rejection(document: &Value) -> Option<ConfigurationError> {
    Configuration::from_document(document).err()
}

#[test]
fn each_fault_is_named_by_key_in_the_words_operators_know() {
    let cases: Vec<Case> = serde_json::from_str(include_str!("rejections.json")).expect("JSON");
    assert_eq!(cases.len(), 48);
    for case in &cases {
        let mut document = valid_configuration();
        change(&mut document, case);
        let message = rejection(&document).map(|error| error.to_string());
        assert_eq!(message, case.error, "{}: {:?}", case.path, case.value);
    }
}

#[test]
fn values_of_a_wrong_type_count_as_absent_or_are_rejected() {
    for (key, value, message) in [
        ("listen", json!(5), "listen is missing"),
        ("seed", json!(5), "seed is missing"),
        ("settings", json!([]), "settings is missing"),
        ("admin_addr", json!(5), "admin_addr is missing"),
        ("key_header", json!(""), "key_header is no header's name"),
    ] {
        let mut document = valid_configuration();
        document[key] = value;
        let error = rejection(&document).expect("a fault");
        assert_eq!(error.to_string(), message);
    }
    for document in [Value::Null, json!([]), json!("text")] {
        let error = rejection(&document).expect("a fault");
        assert_eq!(error.to_string(), "settings is missing");
    }
}

#[test]
fn absent_keys_have_defaults() {
    let mut document = valid_configuration();
    let object = document.as_object_mut().expect("an object");
    for key in ["name", "admin_addr", "known"] {
        object.remove(key);
    }
    // Neither is an object, so there are no limits in it.
    object["limits"] = json!([5, 5]);
    let limits = object["settings"]["Limits"]
        .as_object_mut()
        .expect("limits");
    limits.remove("ConnectTimeoutMs");
    limits["KeepaliveMs"] = Value::Null;
    let read = Configuration::from_document(&document).expect("valid");
    assert_eq!(read.name, "");
    assert_eq!(read.admin_address, None);
    assert_eq!(read.known_endpoints, Value::Null);
    assert_eq!(read.descriptor_limit, 1024);
    assert_eq!(read.buffer_bytes, 96 * 1024 * 1024);
    assert_eq!(read.connect_timeout_ms, 1000.0);
    assert_eq!(read.keepalive_ms, 5000.0);
}

#[test]
fn the_document_is_kept_without_its_endpoint_list() {
    let document = valid_configuration();
    let read = Configuration::from_document(&document).expect("valid");
    assert_eq!(read.known_endpoints, document["known"]);
    assert_eq!(read.longest_ttl_ms, 2000.0);
    let mut kept = document;
    kept["known"] = Value::Null;
    assert_eq!(read.document, kept);
}

#[test]
fn a_process_always_has_some_connections() {
    assert_eq!(connection_limit(1024.0), 496);
    assert_eq!(connection_limit(5.0), 4);
}

#[test]
fn a_file_that_cannot_be_loaded_ends_the_start_by_its_reason() {
    let folder = TemporaryFolder::new("configuration");
    let file = folder.path().join("configuration.json");
    let start = |named: bool| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_crankmux"));
        command.env_clear().env("TMPDIR", folder.path());
        if named {
            command.env("BALANCER_CONFIG", &file);
        }
        let output = command.output().expect("it runs");
        assert_eq!(output.status.code(), Some(1));
        String::from_utf8(output.stderr).expect("text")
    };
    let named = format!("BALANCER_CONFIG: {}: ", file.display());
    assert!(start(false).contains("BALANCER_CONFIG is not set"));
    let log = start(true);
    assert!(
        log.contains(&format!("{named}No such file or directory")),
        "{log}"
    );
    folder.write("configuration.json", "{");
    let log = start(true);
    assert!(log.contains(&format!("{named}EOF while parsing")), "{log}");
    folder.write("configuration.json", "[]");
    let log = start(true);
    assert!(log.contains("BALANCER_CONFIG: not a JSON object"), "{log}");
}
