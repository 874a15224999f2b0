//! Validation of the settings before a proxy uses them.

use super::error::SettingsError;
use super::wire::{Field, List, Named, Number, WireClass, WireSettings};
use serde_json::Value;

const DEDUPLICATION_SCOPES: [&str; 3] = ["all", "zone", "cell"];
const REPORTING_METHODS: [&str; 3] = ["piggyback", "pull", "silent"];

/// Rejects invalid settings, which the lenient parser would treat as absent: the proxy would run with
/// unintended defaults.
///
/// # Errors
///
/// The first error found.
pub fn validate(settings: &Value) -> Result<(), SettingsError> {
    let settings = WireSettings::parse(settings);
    validate_numbers(&settings)?;
    // Without a positive limit no request would be attempted.
    require_positive(&settings.limits.max_attempts, || "Limits.MostPushes".into())?;
    for (index, Named { entry: tenant, .. }) in settings.tenants.entries().iter().enumerate() {
        for (name, field) in [("QuotaPerS", &tenant.quota_per_s), ("Fraction", &tenant.share)] {
            require_non_negative(field, || format!("Customers.{index}.{name}"))?;
        }
    }
    let List::Valid(classes) = &settings.classes else { return Err(SettingsError::NotAList("Categories")) };
    for (index, class) in classes.iter().enumerate() {
        validate_class(index, &class.entry)?;
    }
    validate_reporting(&settings)?;
    validate_proxy_number(&settings)
}

fn validate_numbers(settings: &WireSettings) -> Result<(), SettingsError> {
    let (limits, obligations) = (&settings.limits, &settings.obligations);
    let fields = [
        ("GroupSize", &settings.proxy_count),
        ("Limits.RetryAfter", &limits.retry_after),
        ("Limits.MaxRetryAfterMs", &limits.max_retry_after_ms),
        ("MyNumber", &settings.proxy_number),
        ("Limits.MayCancel", &limits.cancellation),
        ("Limits.Probes", &limits.probes),
        ("Limits.MostPushes", &limits.max_attempts),
        ("Limits.SecondCopies", &limits.hedging),
        ("Obligations.ColdShare", &obligations.slow_start_initial_share),
        ("Obligations.ColdMs", &obligations.slow_start_ms),
        ("Obligations.FallMultiple", &obligations.slow_start_multiple),
        ("Obligations.FallMs", &obligations.slow_start_window_ms),
        ("Obligations.StopSendingWithinMs", &obligations.drain_grace_ms),
        ("Obligations.AskWithinMs", &obligations.poll_within_ms),
        ("Obligations.LeftMarginMs", &obligations.deadline_margin_ms),
        ("Obligations.BootStampErrorMs", &obligations.start_time_error_ms),
        ("Limits.HeldReplies", &limits.buffered_responses),
        ("ExcessBenefit", &settings.over_quota_weight),
        ("Fees.CrossZone", &settings.fees.cross_zone),
        ("Fees.Waste", &settings.fees.waste),
        ("Specifics.WarmKeys", &settings.specifics.key_affinity),
    ];
    for (key, field) in fields {
        let valid = *field == Field::Absent || field.number_or_flag().is_some_and(|number| number >= 0.0);
        if !valid {
            return Err(SettingsError::NotANumberOrFlag(key.into()));
        }
    }
    Ok(())
}

fn validate_class(index: usize, class: &WireClass) -> Result<(), SettingsError> {
    let key = |name: &str| format!("Categories.{index}.{name}");
    // A zero deadline would fail every request; a missing one would never expire.
    for (name, field) in [("TargetLatencyMs", &class.latency_objective_ms), ("TtlMs", &class.ttl_ms)] {
        require_positive(field, || key(name))?;
    }
    let weights = [
        ("WindowMs", &class.window_ms),
        ("Benefit", &class.priority_weight),
        ("LateBenefit", &class.late_weight),
    ];
    for (name, field) in weights {
        require_non_negative(field, || key(name))?;
    }
    let has_idempotency_key = class.idempotency.text() == Some("idempotency_key");
    if has_idempotency_key && !class.scope.is_absent_or(&DEDUPLICATION_SCOPES) {
        return Err(SettingsError::UnknownScope(key("Group")));
    }
    // A bare name or a non-string entry would leave the class without any allowed endpoint.
    for (name, allowed) in [("ZonesAllowed", &class.zones), ("AllowedOn", &class.machine_classes)] {
        if *allowed == Field::Invalid {
            return Err(SettingsError::NotAListOfNames(key(name)));
        }
    }
    if class.name.text().is_none_or(str::is_empty) {
        return Err(SettingsError::MissingName(key("Name")));
    }
    Ok(())
}

fn validate_reporting(settings: &WireSettings) -> Result<(), SettingsError> {
    const KEY: &str = "Reporting.Via";
    let via = &settings.reporting.via;
    if !via.is_absent_or(&REPORTING_METHODS) {
        return Err(SettingsError::UnknownReporting(KEY));
    }
    if via.text() == Some("pull") && !settings.limits.probes.is_set() {
        return Err(SettingsError::ProbesNotAllowed(KEY));
    }
    Ok(())
}

fn validate_proxy_number(settings: &WireSettings) -> Result<(), SettingsError> {
    let number_and_count = settings.proxy_number.number().zip(settings.proxy_count.number());
    if number_and_count.is_some_and(|(number, count)| number >= count.max(1.0)) {
        return Err(SettingsError::ProxyNumberTooHigh("MyNumber"));
    }
    Ok(())
}

fn require_positive(field: &Field<Number>, key: impl Fn() -> String) -> Result<(), SettingsError> {
    if field.number().is_some_and(|number| number > 0.0) {
        return Ok(());
    }
    Err(SettingsError::NotPositive(key()))
}

fn require_non_negative(field: &Field<Number>, key: impl Fn() -> String) -> Result<(), SettingsError> {
    if *field == Field::Absent || field.number().is_some_and(|number| number >= 0.0) {
        return Ok(());
    }
    Err(SettingsError::Negative(key()))
}
