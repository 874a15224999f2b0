//! Wire settings to the module's plain map of names.

use crankmux::words::Given;
use serde_json::Value;

/// The module's name of a setting, and the path of the same on the wire.
const NAMES: &[(&str, &str)] = &[
    ("balancers", "/GroupSize"),
    ("come-back", "/Limits/RetryAfter"),
    ("come-back-most", "/Limits/MaxRetryAfterMs"),
    ("my-number", "/MyNumber"),
    ("may-cancel", "/Limits/MayCancel"),
    ("may-probe", "/Limits/Probes"),
    ("most-pushes", "/Limits/MostPushes"),
    ("second-copies", "/Limits/SecondCopies"),
    ("cold-share", "/Obligations/ColdShare"),
    ("cold-time", "/Obligations/ColdMs"),
    ("fall-multiple", "/Obligations/FallMultiple"),
    ("fall-time", "/Obligations/FallMs"),
    ("drain-grace", "/Obligations/StopSendingWithinMs"),
    ("ask-within", "/Obligations/AskWithinMs"),
    ("excess-benefit", "/ExcessBenefit"),
    ("cross-zone-price", "/Fees/CrossZone"),
    ("waste-price", "/Fees/Waste"),
];

/// The same for each category and each customer.
const CATEGORY: &[(&str, &str)] = &[
    ("target-latency", "TargetLatencyMs"),
    ("ttl", "TtlMs"),
    ("effect", "Effect"),
    ("within", "Group"),
    ("window", "WindowMs"),
    ("benefit", "Benefit"),
    ("late-benefit", "LateBenefit"),
];
const CUSTOMER: &[(&str, &str)] = &[("quota", "QuotaPerS"), ("share", "Fraction")];

/// Wire words that stand as values, and ours.
const WORDS: &[(&str, &str)] = &[
    ("read_like", "redeliverable"),
    ("idempotency_key", "deduplicated"),
    ("non_idempotent", "at-most-once"),
    ("all", "fleet"),
    ("cell", "pod"),
];

fn ours(value: &Value) -> Value {
    let word = value.as_str().and_then(|w| WORDS.iter().find(|(wire, _)| *wire == w));
    word.map_or_else(|| value.clone(), |(_, ours)| Value::from(*ours))
}

fn each(given: &mut Given, settings: &Value, list: &str, plural: &str, one: &str, names: &[(&str, &str)]) {
    let Some(items) = settings.get(list).and_then(Value::as_array) else { return };
    given.insert(plural.into(), items.len().into());
    for (index, item) in items.iter().enumerate() {
        for (name, wire) in names {
            if let Some(value) = item.get(*wire).filter(|v| !v.is_null()) {
                given.insert(format!("{one}.{index}.{name}"), ours(value));
            }
        }
    }
}

pub fn translate(settings: &Value) -> Given {
    let mut given = Given::new();
    for (name, path) in NAMES {
        if let Some(value) = settings.pointer(path).filter(|v| !v.is_null()) {
            given.insert((*name).into(), ours(value));
        }
    }
    each(&mut given, settings, "Categories", "categories", "category", CATEGORY);
    each(&mut given, settings, "Customers", "customers", "customer", CUSTOMER);
    let ask = settings.get("Discovery").and_then(Value::as_str) == Some("subscribe");
    given.insert("list-must-be-asked".into(), ask.into());
    given
}

/// A message of the module with the wire's name of the setting beside ours.
pub fn explain(message: &str) -> String {
    let all = [("categories", "Categories")].into_iter();
    let all =
        all.chain(NAMES.iter().chain(CATEGORY).chain(CUSTOMER).map(|(n, w)| (*n, w.trim_start_matches('/'))));
    let named = |name: &str| message.split(' ').any(|w| w == name || w.ends_with(&format!(".{name}")));
    let mut found = all.filter(|(name, _)| named(name));
    found.next().map_or_else(|| message.to_string(), |(_, wire)| format!("{message} (on the wire: {wire})"))
}
