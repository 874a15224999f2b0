//! Test settings, typed and in the wire format.

use crankmux::settings::{ClassSettings, Settings, SlowStartSettings};
use crankmux::types::{DeduplicationScope, Idempotency};
use serde_json::{json, Value};

/// The idempotency of each of the three request classes.
pub(crate) const IDEMPOTENCY: [Idempotency; 3] = [
    Idempotency::Idempotent,
    Idempotency::IdempotentWithKey,
    Idempotency::NotIdempotent,
];
pub(crate) const DEDUPLICATION_WINDOW_MS: f64 = 700.0;
pub(crate) const MAX_ATTEMPTS: usize = 4;
pub(crate) const MAX_RETRY_AFTER_MS: f64 = 500.0;

/// Three request classes, one of each idempotency; endpoints deduplicate requests with a key within a pod.
pub(crate) fn default_settings() -> Settings {
    let class = |idempotency| ClassSettings {
        idempotency,
        deduplication_scope: DeduplicationScope::Pod,
        deduplication_window_ms: DEDUPLICATION_WINDOW_MS,
        latency_objective_ms: 400.0,
        priority_weight: 1.0,
        late_weight: 1.0,
        zones: None,
        machine_classes: None,
    };
    Settings {
        proxy_count: 1.0,
        proxy_number: None,
        local_zone: 0,
        classes: IDEMPOTENCY.map(class).to_vec(),
        tenants: Vec::new(),
        over_quota_weight: 1.0,
        max_attempts: MAX_ATTEMPTS as f64,
        hedging: true,
        cancellation: true,
        max_retry_after_ms: MAX_RETRY_AFTER_MS,
        load_by_probes: false,
        limited_response_buffers: false,
        key_affinity: false,
        cross_zone_price: 0.0,
        watch_endpoints: true,
        poll_within_ms: 10_000.0,
        drain_grace_ms: 100.0,
        deadline_margin_ms: 0.0,
        start_time_error_ms: 0.0,
        slow_start: SlowStartSettings {
            duration_ms: 10_000.0,
            initial_share: 0.2,
            overload_multiple: 2.0,
            window_ms: 1000.0,
        },
    }
}

/// Settings for one of `count` proxies.
pub(crate) fn proxy_settings(number: usize, count: usize) -> Settings {
    Settings {
        proxy_count: count as f64,
        proxy_number: Some(number as f64),
        ..default_settings()
    }
}

/// Settings with load reports only in response to probes, key affinity, and no hedging.
pub(crate) fn probing_settings() -> Settings {
    Settings {
        load_by_probes: true,
        key_affinity: true,
        hedging: false,
        ..default_settings()
    }
}

/// Settings with class 2 restricted to a zone and class 1 to machine classes.
pub(crate) fn placed_settings(zone: usize, machine_classes: &[usize]) -> Settings {
    let mut settings = default_settings();
    settings.classes[2].zones = Some([zone].into());
    settings.classes[1].machine_classes = Some(machine_classes.into());
    settings
}

/// Wire-format settings with one request class.
pub(crate) fn wire_settings(class: &Value) -> Value {
    let mut class = class.clone();
    for (key, value) in [
        ("Name", json!("remind")),
        ("TargetLatencyMs", json!(400)),
        ("TtlMs", json!(1000)),
    ] {
        class[key] = value;
    }
    class["Effect"] = json!("non_idempotent");
    json!({"GroupSize": 1, "Categories": [class], "Limits": {"MostPushes": 3}, "Zones": ["east", "west"],
        "Obligations": {"ColdShare": 0.2, "ColdMs": 9000, "FallMultiple": 2, "FallMs": 1000,
            "StopSendingWithinMs": 100}})
}

/// Wire-format settings without one of the required `Obligations`.
pub(crate) fn wire_settings_without(obligation: &str) -> Value {
    let mut settings = wire_settings(&json!({}));
    let obligations = settings["Obligations"].as_object_mut();
    obligations
        .expect("Obligations is an object")
        .remove(obligation)
        .expect("the obligation is set");
    settings
}
