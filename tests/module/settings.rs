//! Settings in the wire format: errors, defaults and leniently read values.

use crankmux::settings::{validate, NameIndex, Settings, SettingsError};
use crankmux::types::{ClassId, DeduplicationScope, Idempotency};
use serde_json::{json, Value};

fn class(name: &str, idempotency: &str) -> Value {
    json!({"Name": name, "Effect": idempotency, "Group": "all", "WindowMs": 5000.0, "TargetLatencyMs": 500.0,
        "TtlMs": 2000.0, "Benefit": 1.0})
}

fn valid() -> Value {
    json!({
        "GroupSize": 1, "MyNumber": 0, "MyZone": "a", "Zones": ["a"], "Discovery": "automatic",
        "Categories": [class("view", "read_like"), class("order", "idempotency_key"),
            class("pay", "non_idempotent")],
        "Customers": [{"Name": "c1", "QuotaPerS": 100, "Fraction": 0.5}],
        "Limits": {"MostPushes": 3, "MayCancel": true, "SecondCopies": true, "RetryAfter": true,
            "MaxRetryAfterMs": 1000.0, "ConnectTimeoutMs": 200.0, "KeepaliveMs": 60000.0},
        "Obligations": {"ColdShare": 0.3, "ColdMs": 1000.0, "FallMultiple": 2.0, "FallMs": 1000.0,
            "StopSendingWithinMs": 100.0, "AnswerSlackMs": 20.0, "AskWithinMs": 1000.0}
    })
}

/// The valid settings with one value replaced, or removed if the new value is `null`.
fn changed(path: &str, value: &Value) -> Value {
    let mut settings = valid();
    let (parent, key) = path.rsplit_once('/').expect("a path from the root");
    let parent = settings.pointer_mut(parent).expect("a known path");
    match parent {
        Value::Array(entries) => entries[key.parse::<usize>().expect("an index")] = value.clone(),
        Value::Object(object) if value.is_null() => drop(object.remove(key)),
        Value::Object(object) => drop(object.insert(key.into(), value.clone())),
        _ => panic!("{path} has no parent"),
    }
    settings
}

fn read(settings: &Value) -> Result<Settings, SettingsError> {
    validate(settings)?;
    NameIndex::from_settings(settings).1
}

/// The path of a value, its replacement (`null` removes it), and the expected error message.
const INVALID_SETTINGS: &str = r#"
/GroupSize | null | setting balancers is missing (on the wire: GroupSize)
/GroupSize | "3" | GroupSize must be a non-negative number or a boolean
/MyNumber | 4 | MyNumber must be less than GroupSize
/Categories | null | Categories is missing or not a list
/Categories | {} | Categories is missing or not a list
/Categories/0 | 3 | Categories.0.TargetLatencyMs must be a positive number
/Categories/0/Effect | "once" | setting category.0.effect is missing or unknown (on the wire: Effect)
/Categories/0/Effect | null | setting category.0.effect is missing or unknown (on the wire: Effect)
/Categories/1/Group | "planet" | Categories.1.Group must be all, zone or cell
/Categories/1/Group | 3 | Categories.1.Group must be all, zone or cell
/Categories/0/TtlMs | 0 | Categories.0.TtlMs must be a positive number
/Categories/0/TtlMs | true | Categories.0.TtlMs must be a positive number
/Categories/0/TargetLatencyMs | null | Categories.0.TargetLatencyMs must be a positive number
/Categories/0/Benefit | "x" | Categories.0.Benefit must be a non-negative number
/Categories/0/LateBenefit | -1 | Categories.0.LateBenefit must be a non-negative number
/Categories/0/WindowMs | false | Categories.0.WindowMs must be a non-negative number
/Categories/0/Name | "" | Categories.0.Name is missing or empty
/Categories/2/ZonesAllowed | "a" | Categories.2.ZonesAllowed must be a list of names
/Categories/2/AllowedOn | [3] | Categories.2.AllowedOn must be a list of names
/Customers/0/QuotaPerS | -1 | Customers.0.QuotaPerS must be a non-negative number
/Customers/0/Fraction | true | Customers.0.Fraction must be a non-negative number
/Limits/MostPushes | null | Limits.MostPushes must be a positive number
/Limits/MostPushes | 0 | Limits.MostPushes must be a positive number
/Limits/MostPushes | true | Limits.MostPushes must be a positive number
/Limits/Probes | "x" | Limits.Probes must be a non-negative number or a boolean
/Fees | {"CrossZone": -1} | Fees.CrossZone must be a non-negative number or a boolean
/ExcessBenefit | [] | ExcessBenefit must be a non-negative number or a boolean
/Obligations/ColdShare | "x" | Obligations.ColdShare must be a non-negative number or a boolean
/Obligations/BootStampErrorMs | -3 | Obligations.BootStampErrorMs must be a non-negative number or a boolean
/Obligations/ColdShare | null | setting cold-share is missing (on the wire: Obligations/ColdShare)
/Obligations/ColdMs | null | setting cold-time is missing (on the wire: Obligations/ColdMs)
/Obligations/FallMs | null | setting fall-time is missing (on the wire: Obligations/FallMs)
/Obligations/FallMultiple | null | setting fall-multiple is missing (on the wire: Obligations/FallMultiple)
/Obligations/StopSendingWithinMs | null | setting drain-grace is missing (on the wire: Obligations/StopSendingWithinMs)
/Reporting | {"Via": "shout"} | Reporting.Via must be piggyback, pull or silent
/Reporting | {"Via": "pull"} | Reporting.Via is pull, but Limits.Probes does not allow probes
"#;

#[test]
fn each_error_names_its_key() {
    for row in INVALID_SETTINGS.lines().filter(|row| !row.is_empty()) {
        let columns: Vec<&str> = row.split(" | ").collect();
        let [path, value, message] = columns[..] else {
            panic!("{row} doesn't have three columns");
        };
        let value = serde_json::from_str(value).expect("JSON");
        let error = read(&changed(path, &value)).expect_err(row).to_string();
        assert_eq!(error, message, "{row}");
    }
}

/// Any zero must count as a limit that allows no probes, or a proxy whose endpoints report their load only to probes
/// would start and never receive a load report.
#[test]
fn pulled_load_reports_require_probes_and_any_zero_forbids_them() {
    for probes in [json!(0), json!(0.0), json!(-0.0), json!(false), json!(null)] {
        let mut settings = changed("/Reporting", &json!({"Via": "pull"}));
        settings["Limits"]["Probes"] = probes.clone();
        let error = read(&settings).expect_err("no probes are allowed");
        assert_eq!(
            error.to_string(),
            "Reporting.Via is pull, but Limits.Probes does not allow probes",
            "{probes}"
        );
    }
}

#[test]
fn unknown_keys_and_irrelevant_values_are_ignored() {
    let expected = read(&valid()).expect("valid");
    for (path, value) in [
        ("/Unknown", json!(3)),
        ("/Categories/0/Novel", json!(1)),
        ("/Zones", json!("a")),
        ("/Zones", json!([{"Name": "a"}])),
        ("/Fees", json!(null)),
        ("/Specifics", json!([1])),
        ("/Categories/0/Group", json!(3)),
    ] {
        let mut settings = read(&changed(path, &value)).expect(path);
        settings.classes[0].deduplication_scope = expected.classes[0].deduplication_scope;
        assert_eq!(settings, expected, "{path} {value}");
    }
}

#[test]
fn booleans_count_as_numbers_and_null_as_absent() {
    let read_changed = |path: &str, value: Value| read(&changed(path, &value)).expect(path);
    assert_eq!(read_changed("/GroupSize", json!(true)).proxy_count, 1.0);
    assert_eq!(read_changed("/GroupSize", json!(0)).proxy_count, 1.0);
    assert_eq!(
        read_changed("/Limits/RetryAfter", json!(0.5)).max_retry_after_ms,
        500.0
    );
    assert_eq!(
        read_changed("/Limits/RetryAfter", json!(7)).max_retry_after_ms,
        1000.0
    );
    assert_eq!(
        read_changed("/Limits/RetryAfter", json!(false)).max_retry_after_ms,
        0.0
    );
    assert_eq!(
        read_changed("/Limits/MaxRetryAfterMs", json!(null)).max_retry_after_ms,
        0.0
    );
    assert!(!read_changed("/Limits/SecondCopies", json!(0)).hedging);
    assert!(read_changed("/Limits/SecondCopies", json!(2.5)).hedging);
    assert_eq!(read_changed("/MyNumber", json!(null)).proxy_number, None);
    assert_eq!(read_changed("/MyZone", json!(5)).local_zone, 0);
    assert_eq!(read_changed("/MyZone", json!("b")).local_zone, 1);
    assert_eq!(
        read_changed("/Obligations/AskWithinMs", json!(null)).poll_within_ms,
        8000.0
    );
    let tenants = read_changed("/Customers/0/QuotaPerS", json!(null)).tenants;
    assert_eq!(tenants[0].quota_per_s, f64::MAX);
    let priority_weight =
        read_changed("/Categories/0/Benefit", json!(null)).classes[0].priority_weight;
    assert_eq!(priority_weight, 1.0);
    let mut pull = changed("/Reporting", &json!({"Via": "pull"}));
    pull["Limits"]["Probes"] = json!(2);
    assert!(read(&pull).expect("probes are allowed").load_by_probes);
}

#[test]
fn idempotency_and_deduplication_scope_are_read_from_the_wire_format() {
    let classes = read(&valid()).expect("valid").classes;
    let idempotency: Vec<_> = classes.iter().map(|class| class.idempotency).collect();
    assert_eq!(
        idempotency,
        [
            Idempotency::Idempotent,
            Idempotency::IdempotentWithKey,
            Idempotency::NotIdempotent
        ]
    );
    for (value, scope) in [
        (json!("all"), DeduplicationScope::Global),
        (json!("zone"), DeduplicationScope::Zone),
        (json!("cell"), DeduplicationScope::Pod),
        (json!(null), DeduplicationScope::Pod),
    ] {
        let settings = read(&changed("/Categories/1/Group", &value)).expect("a known value");
        assert_eq!(settings.classes[1].deduplication_scope, scope, "{value}");
    }
}

#[test]
fn a_removed_class_keeps_its_index_and_has_zero_weight() {
    let (mut names, _) = NameIndex::from_settings(&valid());
    let fewer = changed(
        "/Categories",
        &json!([class("pay", "non_idempotent"), class("new", "read_like")]),
    );
    let settings = names.update(&fewer).expect("valid");
    assert_eq!(names.classes.names, ["view", "order", "pay", "new"]);
    assert_eq!(names.class("view"), None);
    assert_eq!(names.class("pay"), Some(ClassId::new(2)));
    let weights: Vec<f64> = settings
        .classes
        .iter()
        .map(|class| class.priority_weight)
        .collect();
    assert_eq!(weights, [0.0, 0.0, 1.0, 1.0]);
}
