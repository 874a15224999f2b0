//! The typed settings of the balancer, and their conversion from the wire format.

use super::error::SettingsError;
use super::wire::{Field, List, Number, WireClass, WireSettings, WireTenant};
use crate::types::{DeduplicationScope, Idempotency};
use std::sync::Arc;

/// The default of [`Settings::poll_within_ms`].
const DEFAULT_POLL_WITHIN_MS: f64 = 8000.0;

/// Indices of zones or of machine classes.
pub type PlacementSet = Arc<[usize]>;

/// The settings of a proxy's balancer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The number of proxies that share the endpoints; at least 1.
    pub proxy_count: f64,
    /// The number of this proxy among them, from 0.
    pub proxy_number: Option<f64>,
    /// The index of this proxy's zone.
    pub local_zone: usize,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The tenants.
    pub tenants: Vec<TenantSettings>,
    /// The factor applied to the priority of requests over their tenant's quota.
    pub over_quota_weight: f64,
    /// The maximum number of attempts per request.
    pub max_attempts: f64,
    /// Whether requests may be hedged: a second attempt started while the first is in flight.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// The longest Retry-After of a rejection; 0 if rejections carry none.
    pub max_retry_after_ms: f64,
    /// Whether endpoints report their load only to probes, and probes are allowed.
    pub load_by_probes: bool,
    /// Whether only a limited number of responses can be buffered for slow clients.
    pub limited_response_buffers: bool,
    /// Whether endpoints cache by key, so that requests with the same key should go to the same endpoint.
    pub key_affinity: bool,
    /// The cost of an attempt to another zone, as a fraction of the value of a request.
    pub cross_zone_price: f64,
    /// Whether to subscribe to the endpoint list; otherwise changes are pushed without a subscription.
    pub watch_endpoints: bool,
    /// The time within which a subscribed proxy is notified of a change.
    pub poll_within_ms: f64,
    /// The time within which a draining endpoint must stop receiving requests.
    pub drain_grace_ms: f64,
    /// The error in a request's remaining time due to clock skew.
    pub deadline_margin_ms: f64,
    /// The error in a listed start time due to clock skew.
    pub start_time_error_ms: f64,
    /// Slow start of endpoints.
    pub slow_start: SlowStartSettings,
}

/// Slow start: the reduced load of an endpoint after it starts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartSettings {
    /// How long slow start takes.
    pub duration_ms: f64,
    /// The endpoint's capacity at its start, as a fraction of full capacity; it rises linearly to 1.
    pub initial_share: f64,
    /// The endpoint fails if a window's load exceeds its capacity by this factor.
    pub overload_multiple: f64,
    /// The length of the window.
    pub window_ms: f64,
}

/// A request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Whether its requests may be executed more than once.
    pub idempotency: Idempotency,
    /// The endpoints within which duplicates are dropped.
    pub deduplication_scope: DeduplicationScope,
    /// How long endpoints remember an idempotency key.
    pub deduplication_window_ms: f64,
    /// The target latency.
    pub latency_objective_ms: f64,
    /// The weight of a response within the latency objective.
    pub priority_weight: f64,
    /// The fraction of that weight that a late response has.
    pub late_weight: f64,
    /// The zones that may receive its requests; `None` allows all.
    pub zones: Option<PlacementSet>,
    /// The machine classes that may receive its requests; `None` allows all.
    pub machine_classes: Option<PlacementSet>,
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests per second, over all proxies, at full priority; `f64::MAX` without a quota.
    pub quota_per_s: f64,
}

impl Settings {
    /// The mean latency objective over all request classes.
    pub(crate) fn mean_objective_ms(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.latency_objective_ms);
        objectives.sum::<f64>() / self.classes.len() as f64
    }

    /// The time within which the proxy is notified of a change of the endpoint list.
    pub(crate) fn notified_within_ms(&self) -> f64 {
        if self.watch_endpoints {
            self.poll_within_ms
        } else {
            self.drain_grace_ms
        }
    }

    pub(super) fn from_wire(
        wire: &WireSettings,
        local_zone: usize,
        placement: Vec<ClassPlacement>,
    ) -> Result<Self, SettingsError> {
        if wire.classes == List::Absent {
            return Err(SettingsError::Missing { setting: "categories".into(), key: "Categories" });
        }
        let entries = wire.classes.entries().iter().map(|class| &class.entry);
        let classes = entries.zip(placement).enumerate();
        let classes = classes.map(|(index, (class, placement))| read_class(index, class, placement));
        let classes = classes.collect::<Result<Vec<_>, _>>()?;
        let (limits, obligations) = (&wire.limits, &wire.obligations);
        let max_attempts = required(&limits.max_attempts, "most-pushes", "Limits/MostPushes")?;
        let drain_grace_ms =
            required(&obligations.drain_grace_ms, "drain-grace", "Obligations/StopSendingWithinMs")?;
        let slow_start = read_slow_start(wire)?;
        let proxy_count = required(&wire.proxy_count, "balancers", "GroupSize")?;
        let retry_after = limits.retry_after.number_or_flag().unwrap_or(0.0).min(1.0);
        let polled = wire.reporting.via.text() == Some("pull");
        Ok(Settings {
            proxy_count: proxy_count.max(1.0),
            proxy_number: wire.proxy_number.number_or_flag(),
            local_zone,
            classes,
            tenants: wire.tenants.entries().iter().map(|tenant| read_tenant(&tenant.entry)).collect(),
            over_quota_weight: wire.over_quota_weight.number_or_flag().unwrap_or(1.0),
            max_attempts,
            hedging: is_enabled(&limits.hedging),
            cancellation: is_enabled(&limits.cancellation),
            max_retry_after_ms: retry_after * limits.max_retry_after_ms.number_or_flag().unwrap_or(0.0),
            load_by_probes: polled && is_enabled(&limits.probes),
            limited_response_buffers: is_enabled(&limits.buffered_responses),
            key_affinity: is_enabled(&wire.specifics.key_affinity),
            cross_zone_price: wire.fees.cross_zone.number_or_flag().unwrap_or(0.0),
            watch_endpoints: wire.discovery.text() == Some("subscribe"),
            poll_within_ms: obligations.poll_within_ms.number_or_flag().unwrap_or(DEFAULT_POLL_WITHIN_MS),
            drain_grace_ms,
            deadline_margin_ms: obligations.deadline_margin_ms.number_or_flag().unwrap_or(0.0),
            start_time_error_ms: obligations.start_time_error_ms.number_or_flag().unwrap_or(0.0),
            slow_start,
        })
    }
}

/// The placement constraints of a request class; `None` allows all.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassPlacement {
    pub(super) zones: Option<PlacementSet>,
    pub(super) machine_classes: Option<PlacementSet>,
}

fn read_class(
    index: usize,
    class: &WireClass,
    placement: ClassPlacement,
) -> Result<ClassSettings, SettingsError> {
    let setting = |name: &str| format!("category.{index}.{name}");
    let latency_objective_ms =
        required(&class.latency_objective_ms, &setting("target-latency"), "TargetLatencyMs")?;
    let idempotency = match class.idempotency.text() {
        Some("read_like" | "redeliverable") => Idempotency::Idempotent,
        Some("idempotency_key" | "deduplicated") => Idempotency::IdempotentWithKey,
        Some("non_idempotent" | "at-most-once") => Idempotency::NotIdempotent,
        _ => return Err(SettingsError::UnknownIdempotency { setting: setting("effect"), key: "Effect" }),
    };
    let deduplication_scope = match class.scope.text() {
        Some("all" | "fleet") => DeduplicationScope::Global,
        Some("zone") => DeduplicationScope::Zone,
        // The narrowest scope is safe for every other one.
        _ => DeduplicationScope::Pod,
    };
    Ok(ClassSettings {
        idempotency,
        deduplication_scope,
        deduplication_window_ms: class.window_ms.number_or_flag().unwrap_or(0.0),
        latency_objective_ms,
        priority_weight: class.priority_weight.number_or_flag().unwrap_or(1.0),
        late_weight: class.late_weight.number_or_flag().unwrap_or(1.0),
        zones: placement.zones,
        machine_classes: placement.machine_classes,
    })
}

fn read_tenant(tenant: &WireTenant) -> TenantSettings {
    TenantSettings { quota_per_s: tenant.quota_per_s.number_or_flag().unwrap_or(f64::MAX) }
}

fn read_slow_start(wire: &WireSettings) -> Result<SlowStartSettings, SettingsError> {
    let obligations = &wire.obligations;
    let initial_share =
        required(&obligations.slow_start_initial_share, "cold-share", "Obligations/ColdShare")?;
    let duration_ms = required(&obligations.slow_start_ms, "cold-time", "Obligations/ColdMs")?;
    let overload_multiple =
        required(&obligations.slow_start_multiple, "fall-multiple", "Obligations/FallMultiple")?;
    let window_ms = required(&obligations.slow_start_window_ms, "fall-time", "Obligations/FallMs")?;
    Ok(SlowStartSettings { duration_ms, initial_share, overload_multiple, window_ms })
}

fn is_enabled(field: &Field<Number>) -> bool {
    field.number_or_flag().is_some_and(|number| number > 0.0)
}

fn required(field: &Field<Number>, setting: &str, key: &'static str) -> Result<f64, SettingsError> {
    if *field == Field::Absent {
        return Err(SettingsError::Missing { setting: setting.into(), key });
    }
    field.number_or_flag().ok_or(SettingsError::NotANumber { setting: setting.into(), key })
}
