//! Generates the settings of the environment's proxies, in the platform's format (docs/architecture.md).

use super::types::{DeduplicationScope, Idempotency, RequestClass, Script};
use serde_json::{json, Value};

/// Time within which a proxy must request the endpoint list.
const ASK_WITHIN_MS: f64 = 10_000.0;

fn effect_name(idempotency: Idempotency) -> &'static str {
    match idempotency {
        Idempotency::Idempotent => "read_like",
        Idempotency::IdempotentWithKey => "idempotency_key",
        Idempotency::NotIdempotent => "non_idempotent",
    }
}

fn group_name(scope: DeduplicationScope) -> &'static str {
    match scope {
        DeduplicationScope::Fleet => "all",
        DeduplicationScope::Zone => "zone",
        DeduplicationScope::Pod => "cell",
    }
}

fn category_settings(class: &RequestClass) -> Value {
    json!({
        "Name": class.name,
        "Effect": effect_name(class.idempotency),
        "Group": group_name(class.deduplication_scope),
        "WindowMs": class.deduplication_window_ms,
        "TargetLatencyMs": class.latency_objective_ms,
        "TtlMs": class.ttl_ms,
        "Benefit": class.priority_weight,
        "LateBenefit": class.late_fraction,
    })
}

impl Script {
    /// The settings of one proxy, in the platform's format.
    pub fn settings(&self, proxy: usize) -> Value {
        let categories: Vec<Value> = self.request_classes.iter().map(category_settings).collect();
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
            "Limits": self.limits_section(),
            "Fees": { "CrossZone": self.limits.cross_zone_cost },
            "Reporting": { "Via": reporting },
            "Obligations": self.obligations_section(),
        })
    }

    fn limits_section(&self) -> Value {
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

    fn obligations_section(&self) -> Value {
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
