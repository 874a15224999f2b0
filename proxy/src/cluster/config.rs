//! Cluster configuration: the operator's options, completed from the proxy's configuration.

use crate::config::configuration::Configuration;
use crate::endpoint_list::stable_hash;
use crankmux_membership::NodeId;
use crankmux_operator_config::ClusterOptions;
use serde_json::Value;

/// Settings that differ between the proxies of a cluster.
const PER_PROXY_SETTINGS: [&str; 2] = ["MyNumber", "MyZone"];

/// The cluster configuration of a proxy.
#[derive(Clone)]
pub struct ClusterConfig {
    /// The operator's options.
    pub options: ClusterOptions,
    /// The cluster's keys. The first signs sent datagrams; received ones are verified with any of them.
    pub keys: Vec<String>,
    /// The proxy's name.
    pub name: String,
    /// The proxy's zone.
    pub zone: String,
    settings_version: u64,
    seed: u64,
}

impl ClusterConfig {
    /// Combines the operator's options with defaults from the configuration.
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
            // The address makes seeds differ between proxies; `random_seed` adds the start time.
            seed: stable_hash(&options.advertise.to_string()),
            options,
            keys,
        }
    }

    /// The keys as string slices.
    pub(super) fn key_strs(&self) -> Vec<&str> {
        self.keys.iter().map(String::as_str).collect()
    }

    /// Returns the identity of an incarnation that starts now.
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

    /// Returns the random seed of an incarnation that starts now.
    pub(super) fn random_seed(&self, now_ms: f64) -> u64 {
        self.seed ^ now_ms as u64
    }
}

/// Hash of the settings shared by the proxies of a cluster; [`PER_PROXY_SETTINGS`] are excluded.
fn settings_version(settings: &Value) -> u64 {
    let mut shared = settings.clone();
    if let Some(keys) = shared.as_object_mut() {
        for key in PER_PROXY_SETTINGS {
            keys.remove(key);
        }
    }
    stable_hash(&shared.to_string())
}

/// The program version as a number that increases with each release.
fn program_version() -> u32 {
    let component = |text: &str| text.parse::<u32>().unwrap_or(0);
    component(env!("CARGO_PKG_VERSION_MAJOR")) * 1_000_000
        + component(env!("CARGO_PKG_VERSION_MINOR")) * 1000
        + component(env!("CARGO_PKG_VERSION_PATCH"))
}
