//! The platform's configuration file before validation.

use crate::lenient_json;
use serde::Deserialize;
use serde_json::Value;

/// The top level of the file. Unknown keys are ignored.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ConfigurationDocument {
    #[serde(deserialize_with = "lenient_json::string")]
    pub(super) name: Option<String>,
    #[serde(deserialize_with = "lenient_json::string")]
    pub(super) listen: Option<String>,
    #[serde(deserialize_with = "lenient_json::string")]
    pub(super) discovery: Option<String>,
    /// Kept as JSON to distinguish a value of the wrong type from an absent key.
    pub(super) admin_addr: Option<Value>,
    #[serde(deserialize_with = "lenient_json::string")]
    pub(super) seed: Option<String>,
    /// Kept as JSON to distinguish a value of the wrong type from an absent key.
    pub(super) key_header: Option<Value>,
    #[serde(deserialize_with = "lenient_json::object")]
    pub(super) limits: ProcessLimits,
    /// The load balancer's settings, which it parses itself.
    pub(super) settings: Value,
    /// The endpoint list last known to the platform, in the discovery format.
    pub(super) known: Value,
}

impl ConfigurationDocument {
    /// The connection limits, which are part of the load balancer's settings.
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        let limits = self.settings.get("Limits").cloned();
        lenient_json::read_object(limits.unwrap_or_default())
    }

    /// The longest deadline of all request classes, in milliseconds; 0 if there are no classes.
    pub(super) fn longest_ttl_ms(&self) -> f64 {
        let classes = self.settings.get("Categories").and_then(Value::as_array);
        let ttls = classes.into_iter().flatten();
        ttls.filter_map(|class| class.get("TtlMs")?.as_f64())
            .fold(0.0, f64::max)
    }
}

/// Resource limits of all processes of one proxy together.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ProcessLimits {
    pub(super) sockets: Option<Value>,
    pub(super) memory_mb: Option<Value>,
}

/// Timeouts of connections to endpoints.
#[derive(Debug, Default, Deserialize)]
#[serde(default, rename_all = "PascalCase")]
pub(super) struct ConnectionLimits {
    pub(super) connect_timeout_ms: Option<Value>,
    pub(super) keepalive_ms: Option<Value>,
}
