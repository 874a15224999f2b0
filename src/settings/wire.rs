//! The wire format of the settings. Decoding never fails: a value of the wrong type becomes
//! [`Field::Invalid`], and each reader decides how to treat it.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

/// A value of the settings; `null` counts as absent.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum Field<T> {
    #[default]
    Absent,
    Valid(T),
    /// The value has the wrong type.
    Invalid,
}

impl<T> Field<T> {
    pub(super) fn valid(&self) -> Option<&T> {
        match self {
            Field::Valid(value) => Some(value),
            Field::Absent | Field::Invalid => None,
        }
    }
}

impl Field<Number> {
    /// The value as a number; a boolean counts as 1 or 0.
    pub(super) fn number_or_flag(&self) -> Option<f64> {
        match self.valid()? {
            Number::Flag(flag) => Some(f64::from(u8::from(*flag))),
            Number::Number(number) => number.as_f64(),
        }
    }

    /// The value if it is a number, not a boolean.
    pub(super) fn number(&self) -> Option<f64> {
        match self.valid()? {
            Number::Flag(_) => None,
            Number::Number(number) => number.as_f64(),
        }
    }

    /// Whether the value is present and neither `false` nor zero, integer or floating-point.
    pub(super) fn is_set(&self) -> bool {
        match self {
            Field::Absent => false,
            Field::Valid(Number::Flag(flag)) => *flag,
            Field::Valid(Number::Number(number)) => number.as_f64() != Some(0.0),
            Field::Invalid => true,
        }
    }
}

impl Field<String> {
    pub(super) fn text(&self) -> Option<&str> {
        self.valid().map(String::as_str)
    }

    /// Whether the value is absent or one of these words.
    pub(super) fn is_absent_or(&self, words: &[&str]) -> bool {
        match self {
            Field::Absent => true,
            Field::Valid(word) => words.contains(&word.as_str()),
            Field::Invalid => false,
        }
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Field::Absent);
        }
        Ok(serde_json::from_value(value).map_or(Field::Invalid, Field::Valid))
    }
}

/// A number or a boolean.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(untagged)]
pub(super) enum Number {
    Flag(bool),
    Number(serde_json::Number),
}

/// A non-empty name.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(try_from = "String")]
pub(super) struct NonEmptyName(pub(super) String);

impl TryFrom<String> for NonEmptyName {
    type Error = &'static str;

    fn try_from(name: String) -> Result<Self, Self::Error> {
        if name.is_empty() {
            return Err("name is empty");
        }
        Ok(NonEmptyName(name))
    }
}

/// A list of named entries. Unlike in [`Field`], `null` is invalid.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) enum List<T> {
    #[default]
    Absent,
    Valid(Vec<Named<T>>),
    Invalid,
}

impl<T> List<T> {
    pub(super) fn entries(&self) -> &[Named<T>] {
        match self {
            List::Valid(entries) => entries,
            List::Absent | List::Invalid => &[],
        }
    }
}

impl<'de, T: DeserializeOwned + Default> Deserialize<'de> for List<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let Value::Array(entries) = Value::deserialize(deserializer)? else {
            return Ok(List::Invalid);
        };
        Ok(List::Valid(entries.into_iter().map(Named::from_value).collect()))
    }
}

/// A list entry with its name.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Named<T> {
    pub(super) name: String,
    pub(super) entry: T,
}

impl<T: DeserializeOwned + Default> Named<T> {
    /// An entry may be a bare name. An entry without a name has an empty name.
    fn from_value(entry: Value) -> Self {
        let name = entry.as_str().or_else(|| entry.get("Name")?.as_str()).unwrap_or_default().to_string();
        Named { name, entry: from_object(entry) }
    }
}

/// The settings.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
pub(super) struct WireSettings {
    #[serde(rename = "GroupSize")]
    pub(super) proxy_count: Field<Number>,
    #[serde(rename = "MyNumber")]
    pub(super) proxy_number: Field<Number>,
    #[serde(rename = "MyZone")]
    pub(super) local_zone: Field<String>,
    pub(super) zones: List<NameOnly>,
    pub(super) discovery: Field<String>,
    #[serde(rename = "ExcessBenefit")]
    pub(super) over_quota_weight: Field<Number>,
    #[serde(rename = "Categories")]
    pub(super) classes: List<WireClass>,
    #[serde(rename = "Customers")]
    pub(super) tenants: List<WireTenant>,
    #[serde(deserialize_with = "deserialize_section")]
    pub(super) limits: WireLimits,
    #[serde(deserialize_with = "deserialize_section")]
    pub(super) obligations: WireObligations,
    #[serde(deserialize_with = "deserialize_section")]
    pub(super) fees: WireFees,
    #[serde(deserialize_with = "deserialize_section")]
    pub(super) specifics: WireSpecifics,
    #[serde(deserialize_with = "deserialize_section")]
    pub(super) reporting: WireReporting,
}

impl WireSettings {
    pub(super) fn parse(settings: &Value) -> Self {
        from_object(settings.clone())
    }
}

/// An entry that has only a name.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub(super) struct NameOnly {}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct WireLimits {
    #[serde(rename = "MostPushes")]
    pub(super) max_attempts: Field<Number>,
    #[serde(rename = "SecondCopies")]
    pub(super) hedging: Field<Number>,
    #[serde(rename = "MayCancel")]
    pub(super) cancellation: Field<Number>,
    #[serde(rename = "Probes")]
    pub(super) probes: Field<Number>,
    #[serde(rename = "RetryAfter")]
    pub(super) retry_after: Field<Number>,
    #[serde(rename = "MaxRetryAfterMs")]
    pub(super) max_retry_after_ms: Field<Number>,
    #[serde(rename = "HeldReplies")]
    pub(super) buffered_responses: Field<Number>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct WireObligations {
    #[serde(rename = "ColdShare")]
    pub(super) slow_start_initial_share: Field<Number>,
    #[serde(rename = "ColdMs")]
    pub(super) slow_start_ms: Field<Number>,
    #[serde(rename = "FallMultiple")]
    pub(super) slow_start_multiple: Field<Number>,
    #[serde(rename = "FallMs")]
    pub(super) slow_start_window_ms: Field<Number>,
    #[serde(rename = "StopSendingWithinMs")]
    pub(super) drain_grace_ms: Field<Number>,
    #[serde(rename = "AskWithinMs")]
    pub(super) poll_within_ms: Field<Number>,
    #[serde(rename = "LeftMarginMs")]
    pub(super) deadline_margin_ms: Field<Number>,
    #[serde(rename = "BootStampErrorMs")]
    pub(super) start_time_error_ms: Field<Number>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct WireFees {
    #[serde(rename = "CrossZone")]
    pub(super) cross_zone: Field<Number>,
    #[serde(rename = "Waste")]
    pub(super) waste: Field<Number>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct WireSpecifics {
    #[serde(rename = "WarmKeys")]
    pub(super) key_affinity: Field<Number>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct WireReporting {
    #[serde(rename = "Via")]
    pub(super) via: Field<String>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct WireClass {
    #[serde(rename = "Name")]
    pub(super) name: Field<String>,
    #[serde(rename = "Effect")]
    pub(super) idempotency: Field<String>,
    #[serde(rename = "Group")]
    pub(super) scope: Field<String>,
    #[serde(rename = "WindowMs")]
    pub(super) window_ms: Field<Number>,
    #[serde(rename = "TargetLatencyMs")]
    pub(super) latency_objective_ms: Field<Number>,
    #[serde(rename = "TtlMs")]
    pub(super) ttl_ms: Field<Number>,
    #[serde(rename = "Benefit")]
    pub(super) priority_weight: Field<Number>,
    #[serde(rename = "LateBenefit")]
    pub(super) late_weight: Field<Number>,
    #[serde(rename = "ZonesAllowed")]
    pub(super) zones: Field<Vec<NonEmptyName>>,
    #[serde(rename = "AllowedOn")]
    pub(super) machine_classes: Field<Vec<NonEmptyName>>,
}

#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
#[serde(default)]
pub(super) struct WireTenant {
    #[serde(rename = "QuotaPerS")]
    pub(super) quota_per_s: Field<Number>,
    #[serde(rename = "Fraction")]
    pub(super) share: Field<Number>,
}

/// Deserializes an object; any other value counts as an empty object.
fn from_object<T: DeserializeOwned + Default>(value: Value) -> T {
    if !value.is_object() {
        return T::default();
    }
    serde_json::from_value(value).unwrap_or_default()
}

fn deserialize_section<'de, D: Deserializer<'de>, T: DeserializeOwned + Default>(
    deserializer: D,
) -> Result<T, D::Error> {
    Value::deserialize(deserializer).map(from_object)
}
