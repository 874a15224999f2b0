//! The settings as the decisions are handed them, and how they are read from the wire's form.

use super::error::SettingsError;
use super::wire::{Field, List, Number, WireClass, WireSettings, WireTenant};
use crate::types::{DeduplicationScope, Idempotency};
use std::sync::Arc;

/// Poll the endpoint list so often where the settings do not say.
const DEFAULT_POLL_WITHIN_MS: f64 = 8000.0;

/// A set of zones, or of machine classes, by their indices.
pub type PlacementSet = Arc<[usize]>;

/// What the operators demand of a proxy and allow it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many proxies share the endpoints; at least 1.
    pub proxy_count: f64,
    /// Which of them this one is, from 0.
    pub proxy_number: Option<f64>,
    /// The index of the zone that this proxy stands in.
    pub my_zone: usize,
    /// The request classes.
    pub classes: Vec<ClassSettings>,
    /// The tenants.
    pub tenants: Vec<TenantSettings>,
    /// The weight left to the requests of a tenant that are over its quota.
    pub over_quota_weight: f64,
    /// How many attempts a request may have.
    pub max_attempts: f64,
    /// Whether a second attempt may start while the first is in flight.
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// The longest Retry-After that a rejection may carry; 0 where it may carry none.
    pub max_retry_after_ms: f64,
    /// Endpoints report their load only when they are probed, and they may be probed.
    pub load_by_probes: bool,
    /// Only a few responses can be buffered for clients that read slowly.
    pub few_buffered_responses: bool,
    /// Endpoints keep work by key, so that requests of one key should meet.
    pub key_affinity: bool,
    /// The price of an attempt to another zone, as a part of what a request is worth.
    pub cross_zone_price: f64,
    /// The endpoint list must be watched; otherwise its changes come unasked.
    pub watch_endpoints: bool,
    /// How soon the proxy counts as notified where the list is watched.
    pub poll_within_ms: f64,
    /// How soon a draining endpoint must get nothing more.
    pub drain_grace_ms: f64,
    /// By how much the time left to a request may be misjudged, as clocks differ.
    pub deadline_margin_ms: f64,
    /// By how much a listed start time may be wrong, as clocks differ.
    pub start_time_error_ms: f64,
    /// How an endpoint is treated after its start.
    pub slow_start: SlowStartSettings,
}

/// How an endpoint is treated after its start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SlowStartSettings {
    /// How long it is warming up.
    pub duration_ms: f64,
    /// What part of a warm endpoint's load it bears right after its start; this rises evenly to all of it.
    pub initial_share: f64,
    /// It fails where it gets more than this multiple of what it bears within a window.
    pub overload_multiple: f64,
    /// The length of that window.
    pub window_ms: f64,
}

/// A request class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ClassSettings {
    /// Whether its requests may be executed more than once.
    pub idempotency: Idempotency,
    /// Which endpoints drop each other's repeats.
    pub deduplication_scope: DeduplicationScope,
    /// For how long they do.
    pub deduplication_window_ms: f64,
    /// The time within which requests should be answered.
    pub latency_objective_ms: f64,
    /// What an answer in time is worth.
    pub priority_weight: f64,
    /// What part of that is left of an answer that is late.
    pub late_weight: f64,
    /// The only zones that may get its requests; all, where none are named.
    pub zones: Option<PlacementSet>,
    /// The only machine classes that may get its requests; all, where none are named.
    pub machine_classes: Option<PlacementSet>,
}

/// A tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantSettings {
    /// Requests a second that all proxies take from it at full weight; `f64::MAX` where it has no quota.
    pub quota_per_s: f64,
}

impl Settings {
    /// The mean latency objective of all request classes.
    pub(crate) fn mean_objective_ms(&self) -> f64 {
        let objectives = self.classes.iter().map(|class| class.latency_objective_ms);
        objectives.sum::<f64>() / self.classes.len() as f64
    }

    /// How soon the proxy must be notified of a change of the endpoint list.
    pub(crate) fn notified_within_ms(&self) -> f64 {
        if self.watch_endpoints {
            self.poll_within_ms
        } else {
            self.drain_grace_ms
        }
    }

    pub(super) fn read(
        wire: &WireSettings,
        my_zone: usize,
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
            my_zone,
            classes,
            tenants: wire.tenants.entries().iter().map(|tenant| read_tenant(&tenant.entry)).collect(),
            over_quota_weight: wire.over_quota_weight.number_or_flag().unwrap_or(1.0),
            max_attempts,
            hedging: allowed(&limits.hedging),
            cancellation: allowed(&limits.cancellation),
            max_retry_after_ms: retry_after * limits.max_retry_after_ms.number_or_flag().unwrap_or(0.0),
            load_by_probes: polled && allowed(&limits.probes),
            few_buffered_responses: allowed(&limits.buffered_responses),
            key_affinity: allowed(&wire.specifics.key_affinity),
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

/// Where a request class may run; `None` where the settings name no place.
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
        // The narrowest is the one that holds whatever was meant.
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

fn allowed(field: &Field<Number>) -> bool {
    field.number_or_flag().is_some_and(|number| number > 0.0)
}

fn required(field: &Field<Number>, setting: &str, key: &'static str) -> Result<f64, SettingsError> {
    if *field == Field::Absent {
        return Err(SettingsError::Missing { setting: setting.into(), key });
    }
    field.number_or_flag().ok_or(SettingsError::NotANumber { setting: setting.into(), key })
}
