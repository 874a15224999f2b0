//! The settings that a proxy of the environment is given, in the platform's form (docs/architecture.md).

use super::types::{DeduplicationScope, Idempotency, RequestClass, Script};
use serde_json::{json, Value};

/// How long a proxy may take to ask for the endpoint list, as its settings have it.
const ASK_WITHIN_MS: f64 = 10_000.0;

fn effect(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "read_like",
        Idempotency::IdempotentWithKey => "idempotency_key",
        Idempotency::NotIdempotent => "non_idempotent",
    }
}

fn group(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::Fleet => "all",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Pod => "cell",
    }
}

fn category(class: &RequestClass) -> Value {
    json!({
        "Name": class.name,
        "Effect": effect(class.idempotency),
        "Group": group(class.deduplication_scope),
        "WindowMs": class.deduplication_window_ms,
        "TargetLatencyMs": class.latency_objective_ms,
        "TtlMs": class.ttl_ms,
        "Benefit": class.priority_weight,
        "LateBenefit": class.late_fraction,
    })
}

impl Script {
    /// The settings of one proxy, in the platform's form.
    pub fn settings(&self, proxy: usize) -> Value {
        let categories: Vec<Value> = self.request_classes.iter().map(category).collect();
        let reporting = if self.load_reports.enabled {
            "piggyback"
        } else {
            "silent"
        };
        json!({
            "GroupSize": self.proxies,
            "MyNumber": proxy,
            "MyZone": self.zones[proxy % self.zones.len()],
            "Zones": self.zones,
            "Discovery": "automatic",
            "Categories": categories,
            "Limits": self.proxy_limits(),
            "Fees": { "CrossZone": self.limits.cross_zone_cost },
            "Reporting": { "Via": reporting },
            "Obligations": self.proxy_obligations(),
        })
    }

    fn proxy_limits(&self) -> Value {
        json!({
            "MostPushes": self.limits.max_attempts,
            "MayCancel": self.limits.cancellation_allowed,
            "SecondCopies": self.limits.hedging_allowed,
            "RetryAfter": self.limits.max_retry_after_ms > 0.0,
            "MaxRetryAfterMs": self.limits.max_retry_after_ms,
            "ConnectTimeoutMs": self.network.connect_timeout_ms,
            "KeepaliveMs": 1000.0 * self.network.keepalive_s,
        })
    }

    fn proxy_obligations(&self) -> Value {
        json!({
            "ColdShare": self.limits.cold_capacity_fraction,
            "ColdMs": 1000.0 * self.limits.slow_start_s,
            "FallMultiple": self.limits.overload_multiple,
            "FallMs": self.limits.overload_window_ms,
            "StopSendingWithinMs": self.limits.drain_grace_ms,
            "AnswerSlackMs": self.limits.answer_slack_ms,
            "AskWithinMs": ASK_WITHIN_MS,
        })
    }
}
