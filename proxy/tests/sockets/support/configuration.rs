//! Configurations of a proxy under test.

use serde_json::{json, Value};
use std::net::SocketAddr;

/// Settings with one request class of each idempotency: `view`, `order` and `pay`.
pub(crate) fn settings() -> Value {
    let request_class = |name: &str, idempotency: &str| {
        json!({"Name": name, "Effect": idempotency, "Group": "all", "WindowMs": 5000.0, "TargetLatencyMs": 500.0,
               "TtlMs": 2000.0, "Benefit": 1.0})
    };
    json!({
        "GroupSize": 1, "MyNumber": 0, "MyZone": "a", "Zones": ["a"], "Discovery": "automatic",
        "Categories": [request_class("view", "read_like"), request_class("order", "idempotency_key"),
                       request_class("pay", "non_idempotent")],
        "Limits": {"MostPushes": 3, "MayCancel": true, "SecondCopies": true, "RetryAfter": true,
                   "MaxRetryAfterMs": 1000.0, "ConnectTimeoutMs": 200.0, "KeepaliveMs": 60000.0},
        "Obligations": {"ColdShare": 0.3, "ColdMs": 1000.0, "FallMultiple": 2.0, "FallMs": 1000.0,
                        "StopSendingWithinMs": 100.0, "AnswerSlackMs": 20.0, "AskWithinMs": 1000.0}
    })
}

/// A proxy's configuration, with the endpoint list that it knows at its start.
pub(crate) fn configuration(discovery: SocketAddr, known: &Value) -> Value {
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": discovery.to_string(),
        "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": known, "settings": settings()
    })
}

/// Changes a configuration so that endpoints report their load to probes alone.
pub(crate) fn report_load_to_probes_alone(configuration: &mut Value) {
    let settings = &mut configuration["settings"];
    settings["Reporting"] = json!({"Via": "pull", "Fields": ["inflight"]});
    settings["Limits"]["Probes"] = json!(true);
    settings["Limits"]["SecondCopies"] = json!(false);
}

/// Changes a configuration so that no hedged requests are sent: a second attempt is a retry after a failure.
pub(crate) fn disable_hedging(configuration: &mut Value) {
    configuration["settings"]["Limits"]["SecondCopies"] = json!(false);
}
