//! How a proxy takes part in its cluster: the operator's options, and what the configuration adds.

use crate::config::configuration::Configuration;
use crate::endpoint_list::stable_hash;
use crankmux_membership::NodeId;
use crankmux_operator_config::ClusterOptions;
use serde_json::Value;

/// Settings that differ between the proxies of one cluster.
const OWN_SETTINGS: [&str; 2] = ["MyNumber", "MyZone"];

/// How a proxy takes part in its cluster.
#[derive(Clone)]
pub struct ClusterConfig {
    /// The operator's options.
    pub options: ClusterOptions,
    /// The cluster's keys: the first authenticates what is sent, all of them what is received.
    pub keys: Vec<String>,
    /// The proxy's name.
    pub name: String,
    /// The zone it runs in.
    pub zone: String,
    settings_version: u64,
    seed: u64,
}

impl ClusterConfig {
    /// Completes the operator's options by the configuration.
    pub fn new(options: ClusterOptions, keys: Vec<String>, configuration: &Configuration) -> Self {
        let settings = configuration
            .document
            .get("settings")
            .unwrap_or(&Value::Null);
        let configured_zone = settings.get("MyZone").and_then(Value::as_str);
        let name = options.name.clone();
        let zone = options.zone.clone();
        ClusterConfig {
            name: name.unwrap_or_else(|| configuration.name.clone()),
            zone: zone.unwrap_or_else(|| configured_zone.unwrap_or_default().to_string()),
            settings_version: settings_version(settings),
            // Neither two proxies nor two incarnations draw alike.
            seed: stable_hash(&options.advertise.to_string()),
            options,
            keys,
        }
    }

    /// The keys as membership takes them.
    pub(super) fn key_texts(&self) -> Vec<&str> {
        self.keys.iter().map(String::as_str).collect()
    }

    /// The identity of a proxy that starts now.
    pub(super) fn node_id(&self, now_ms: f64) -> NodeId {
        NodeId {
            name: self.name.clone(),
            zone: self.zone.clone(),
            address: self.options.advertise,
            incarnation: now_ms as u64,
            program_version: program_version(),
            settings_version: self.settings_version,
        }
    }

    /// The seed of random draws of a proxy that starts now.
    pub(super) fn random_seed(&self, now_ms: f64) -> u64 {
        self.seed ^ now_ms as u64
    }
}

/// The version of settings, the same at all proxies that have the same settings but for what is each one's own.
fn settings_version(settings: &Value) -> u64 {
    let mut common = settings.clone();
    if let Some(keys) = common.as_object_mut() {
        for own in OWN_SETTINGS {
            keys.remove(own);
        }
    }
    stable_hash(&common.to_string())
}

/// The program's version as one number, in which a later one is higher.
fn program_version() -> u32 {
    let part = |text: &str| text.parse::<u32>().unwrap_or(0);
    part(env!("CARGO_PKG_VERSION_MAJOR")) * 1_000_000
        + part(env!("CARGO_PKG_VERSION_MINOR")) * 1000
        + part(env!("CARGO_PKG_VERSION_PATCH"))
}
