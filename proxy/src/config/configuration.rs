//! The platform's configuration: loading, validation and defaults.

use super::document::ConfigurationDocument;
use super::reload_check::first_missing_key;
use super::ConfigurationError;
use crate::endpoint_list::EndpointList;
use crate::tokens::MAX_ADMIN_CALLERS;
use crankmux::dispatcher::Dispatcher;
use crankmux::settings::{self, NameIndex};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Descriptors not used for client or endpoint connections: the standard streams, the poll, signals, the listener and
/// discovery (ten together), the admin API and its connections, and a margin.
const INTERNAL_DESCRIPTORS: u64 = 20 + MAX_ADMIN_CALLERS as u64;
/// The minimum descriptor limit, which leaves four client connections and four endpoint connections.
const MIN_DESCRIPTORS: u64 = INTERNAL_DESCRIPTORS + 8;
/// The minimum number of connections per side in one process.
const MIN_CONNECTIONS: f64 = 4.0;

const DEFAULT_DESCRIPTORS: f64 = 1024.0;
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Equal to the initial TCP retransmission timeout (RFC 6298).
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// Common HTTP servers keep idle connections at least this long.
const DEFAULT_KEEPALIVE_MS: f64 = 5000.0;

/// An environment variable that overrides a key of the file.
struct EnvironmentOverride {
    key: &'static str,
    variable: &'static str,
}

const LISTEN_OVERRIDE: EnvironmentOverride = EnvironmentOverride {
    key: "listen",
    variable: "BALANCER_LISTEN",
};
const DISCOVERY_OVERRIDE: EnvironmentOverride = EnvironmentOverride {
    key: "discovery",
    variable: "BALANCER_DISCOVERY",
};
const ADMIN_OVERRIDE: EnvironmentOverride = EnvironmentOverride {
    key: "admin_addr",
    variable: "BALANCER_ADMIN_ADDR",
};

/// The maximum number of client connections, and of endpoint connections, for a number of descriptors. They are
/// equal because a request in flight uses one of each.
pub fn connection_limit(descriptors: f64) -> usize {
    // During an upgrade a process's share of the descriptors may be too small for any connection.
    let connections = (descriptors - INTERNAL_DESCRIPTORS as f64) / 2.0;
    connections.max(MIN_CONNECTIONS) as usize
}

/// A validated configuration and the load balancer built from it.
pub struct Configuration {
    /// The JSON document without its endpoint list.
    pub document: Value,
    /// The proxy's name; empty if none is configured.
    pub name: String,
    /// The longest deadline of all request classes.
    pub longest_ttl_ms: f64,
    /// The address for client connections.
    pub listen: SocketAddr,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the admin API; `None` disables it.
    pub admin_address: Option<SocketAddr>,
    /// The descriptor limit of all processes of the proxy together.
    pub descriptor_limit: usize,
    /// Buffer memory of all processes of the proxy together, in bytes.
    pub buffer_bytes: usize,
    /// The timeout for connecting to an endpoint.
    pub connect_timeout_ms: f64,
    /// The idle timeout of connections to endpoints.
    pub keepalive_ms: f64,
    /// The endpoint list last known to the platform, in the discovery format; null if there is none.
    pub known_endpoints: Value,
    /// The index of names in the settings.
    pub name_index: NameIndex,
    /// The request header that carries the routing key, if configured.
    pub key_header: Option<String>,
    /// The load balancer.
    pub dispatcher: Dispatcher,
}

impl Configuration {
    /// Loads the file named by `BALANCER_CONFIG` at startup, with overrides from the environment.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn load() -> Result<Self, ConfigurationError> {
        let document = load_document(&[LISTEN_OVERRIDE, DISCOVERY_OVERRIDE, ADMIN_OVERRIDE])?;
        Self::from_document(&document)
    }

    /// Loads the file for a reload of the running configuration. `BALANCER_DISCOVERY` is ignored: the environment
    /// cannot change after startup, so the override would prevent any change of the address.
    ///
    /// # Errors
    ///
    /// Returns the first error found, or the first key of the running configuration that is missing in the file.
    pub fn reload(running: &Value) -> Result<Self, ConfigurationError> {
        let document = load_document(&[LISTEN_OVERRIDE, ADMIN_OVERRIDE])?;
        let new = Self::from_document(&document)?;
        match first_missing_key(running, &new.document) {
            Some(key) => Err(ConfigurationError::MissingKey { key }),
            None => Ok(new),
        }
    }

    /// Validates a JSON document.
    ///
    /// # Errors
    ///
    /// Returns the first error found.
    pub fn from_document(document: &Value) -> Result<Self, ConfigurationError> {
        let file: ConfigurationDocument = deserialize_document(document);
        if !file.settings.is_object() {
            return Err(missing_key("settings"));
        }
        let seed = parse_seed(file.seed.as_deref())?;
        let descriptors = parse_descriptor_limit(file.limits.sockets.as_ref())?;
        let memory_mb = parse_positive(
            "limits.memory_mb",
            file.limits.memory_mb.as_ref(),
            DEFAULT_MEMORY_MB,
        )?;
        let key_header = parse_key_header(file.key_header.as_ref())?;
        settings::validate(&file.settings)?;
        let (name_index, balancer_settings) = NameIndex::from_settings(&file.settings);
        validate_known_endpoints(&file.known)?;
        let dispatcher = Dispatcher::new(balancer_settings?, seed);
        let connection_limits = file.connection_limits();
        Ok(Configuration {
            document: without_known_endpoints(document),
            longest_ttl_ms: file.longest_ttl_ms(),
            listen: parse_address("listen", file.listen.as_deref())?,
            discovery: parse_address("discovery", file.discovery.as_deref())?,
            admin_address: parse_admin_address(file.admin_addr.as_ref())?,
            descriptor_limit: descriptors as usize,
            // The other half is left for tables, code and the kernel's socket memory.
            buffer_bytes: (memory_mb * 1024.0 * 1024.0 / 2.0) as usize,
            connect_timeout_ms: parse_positive(
                "settings.Limits.ConnectTimeoutMs",
                connection_limits.connect_timeout_ms.as_ref(),
                DEFAULT_CONNECT_TIMEOUT_MS,
            )?,
            keepalive_ms: parse_positive(
                "settings.Limits.KeepaliveMs",
                connection_limits.keepalive_ms.as_ref(),
                DEFAULT_KEEPALIVE_MS,
            )?,
            name: file.name.unwrap_or_default(),
            known_endpoints: file.known,
            name_index,
            key_header,
            dispatcher,
        })
    }
}

/// Reads the file named by `BALANCER_CONFIG` and applies the overrides.
fn load_document(overrides: &[EnvironmentOverride]) -> Result<Value, ConfigurationError> {
    const VARIABLE: &str = "BALANCER_CONFIG";
    let path = std::env::var(VARIABLE).map_err(|source| ConfigurationError::VariableNotSet {
        variable: VARIABLE,
        source,
    })?;
    let path = PathBuf::from(path);
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(source) => return Err(ConfigurationError::Unreadable { path, source }),
    };
    let mut document: Value = match serde_json::from_str(&text) {
        Ok(document) => document,
        Err(source) => return Err(ConfigurationError::InvalidJson { path, source }),
    };
    let object = document
        .as_object_mut()
        .ok_or(ConfigurationError::NotAnObject)?;
    for EnvironmentOverride { key, variable } in overrides {
        if let Ok(value) = std::env::var(variable) {
            object.insert((*key).into(), value.into());
        }
    }
    Ok(document)
}

fn deserialize_document(document: &Value) -> ConfigurationDocument {
    if !document.is_object() {
        return ConfigurationDocument::default();
    }
    // Every field accepts any JSON type, so this cannot fail.
    ConfigurationDocument::deserialize(document).unwrap_or_default()
}

fn without_known_endpoints(document: &Value) -> Value {
    let mut document = document.clone();
    if let Some(known) = document.get_mut("known") {
        *known = Value::Null;
    }
    document
}

fn missing_key(key: &str) -> ConfigurationError {
    ConfigurationError::MissingKey { key: key.into() }
}

fn parse_address(key: &'static str, text: Option<&str>) -> Result<SocketAddr, ConfigurationError> {
    let text = text.ok_or_else(|| missing_key(key))?;
    text.parse()
        .map_err(|source| ConfigurationError::InvalidAddress {
            key,
            text: text.into(),
            source,
        })
}

fn parse_admin_address(value: Option<&Value>) -> Result<Option<SocketAddr>, ConfigurationError> {
    let Some(value) = value else {
        return Ok(None);
    };
    parse_address("admin_addr", value.as_str()).map(Some)
}

fn parse_seed(text: Option<&str>) -> Result<u64, ConfigurationError> {
    let text = text.ok_or_else(|| missing_key("seed"))?;
    u64::from_str_radix(text, 16).map_err(|source| ConfigurationError::InvalidSeed {
        text: text.into(),
        source,
    })
}

/// Parses a number above 0. Returns the default if the key is absent or null.
fn parse_positive(
    key: &'static str,
    value: Option<&Value>,
    default: f64,
) -> Result<f64, ConfigurationError> {
    let Some(value) = value else {
        return Ok(default);
    };
    match value.as_f64() {
        Some(number) if number.is_finite() && number > 0.0 => Ok(number),
        _ => Err(ConfigurationError::NotPositive { key }),
    }
}

fn parse_descriptor_limit(value: Option<&Value>) -> Result<u64, ConfigurationError> {
    let descriptors = parse_positive("limits.sockets", value, DEFAULT_DESCRIPTORS)? as u64;
    if descriptors < MIN_DESCRIPTORS {
        return Err(ConfigurationError::TooFewDescriptors {
            minimum: MIN_DESCRIPTORS,
        });
    }
    Ok(descriptors)
}

fn parse_key_header(value: Option<&Value>) -> Result<Option<String>, ConfigurationError> {
    match value {
        None => Ok(None),
        Some(Value::String(name)) if is_header_name(name) => Ok(Some(name.clone())),
        Some(_) => Err(ConfigurationError::InvalidHeaderName),
    }
}

fn is_header_name(name: &str) -> bool {
    let is_allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.bytes().all(is_allowed)
}

fn validate_known_endpoints(known: &Value) -> Result<(), ConfigurationError> {
    if known.is_null() {
        return Ok(());
    }
    // Parsed only to report errors, so the name index is discarded.
    EndpointList::from_json(&mut NameIndex::default(), known)?;
    Ok(())
}
