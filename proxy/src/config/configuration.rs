//! The platform's configuration: read, validated and given defaults in one place.

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

/// Descriptors for other than clients and endpoints: ten for the standard streams, polling, signals, the
/// listener and discovery, the admin API and its callers, and some to spare.
const OTHER_DESCRIPTORS: u64 = 20 + MAX_ADMIN_CALLERS as u64;
/// The fewest descriptors with which a proxy starts: four connections of clients and four to endpoints.
const MIN_DESCRIPTORS: u64 = OTHER_DESCRIPTORS + 8;
/// The fewest connections of either side, however small the share of a process.
const MIN_CONNECTIONS: f64 = 4.0;

const DEFAULT_DESCRIPTORS: f64 = 1024.0;
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// As long as TCP takes to send a lost first packet again.
const DEFAULT_CONNECT_TIMEOUT_MS: f64 = 1000.0;
/// As long as common servers keep an idle connection at least.
const DEFAULT_KEEPALIVE_MS: f64 = 5000.0;

/// An environment variable that takes precedence over a key of the file.
struct Override {
    key: &'static str,
    variable: &'static str,
}

const LISTEN_OVERRIDE: Override = Override {
    key: "listen",
    variable: "BALANCER_LISTEN",
};
const DISCOVERY_OVERRIDE: Override = Override {
    key: "discovery",
    variable: "BALANCER_DISCOVERY",
};
const ADMIN_OVERRIDE: Override = Override {
    key: "admin_addr",
    variable: "BALANCER_ADMIN_ADDR",
};

/// The most connections of clients, and the most to endpoints, within a number of descriptors: a request in
/// flight holds one of each.
pub fn connection_limit(descriptors: f64) -> usize {
    // A process whose share leaves nothing would serve nobody.
    let connections = (descriptors - OTHER_DESCRIPTORS as f64) / 2.0;
    connections.max(MIN_CONNECTIONS) as usize
}

/// A validated configuration, with the load balancer that it sets up.
pub struct Configuration {
    /// The document as read, without its endpoint list.
    pub document: Value,
    /// The proxy's name; empty where none is given.
    pub name: String,
    /// The longest deadline of all request classes.
    pub longest_ttl_ms: f64,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where the discovery agent answers.
    pub discovery: SocketAddr,
    /// Where the admin API listens; there is none without it.
    pub admin_address: Option<SocketAddr>,
    /// File descriptors that all processes of the proxy may hold together.
    pub descriptor_limit: usize,
    /// Memory for buffers of all processes of the proxy together.
    pub buffer_bytes: usize,
    /// How long connecting to an endpoint may take.
    pub connect_timeout_ms: f64,
    /// How long an idle connection to an endpoint is kept.
    pub keepalive_ms: f64,
    /// The endpoint list as last known to the platform, in discovery's form; null where none is given.
    pub known_endpoints: Value,
    /// Indices of the names in the settings.
    pub name_index: NameIndex,
    /// The header that carries a request's routing key, if there is one.
    pub key_header: Option<String>,
    /// The load balancer.
    pub dispatcher: Dispatcher,
}

impl Configuration {
    /// Loads the file that `BALANCER_CONFIG` names, at the start of a process; single variables take precedence.
    ///
    /// # Errors
    ///
    /// What is wrong first, with its key.
    pub fn load() -> Result<Self, ConfigurationError> {
        let document = load_document(&[LISTEN_OVERRIDE, DISCOVERY_OVERRIDE, ADMIN_OVERRIDE])?;
        Self::from_document(&document)
    }

    /// Loads the file again beside the running configuration. The environment is that of the start, so
    /// `BALANCER_DISCOVERY` no longer takes precedence: no new file could ever name another address.
    ///
    /// # Errors
    ///
    /// What is wrong first, or the first key that the running configuration has and the file lacks.
    pub fn reload(running: &Value) -> Result<Self, ConfigurationError> {
        let document = load_document(&[LISTEN_OVERRIDE, ADMIN_OVERRIDE])?;
        let new = Self::from_document(&document)?;
        match first_missing_key(running, &new.document) {
            Some(key) => Err(ConfigurationError::Missing { key }),
            None => Ok(new),
        }
    }

    /// Validates a document.
    ///
    /// # Errors
    ///
    /// What is wrong first, with its key.
    pub fn from_document(document: &Value) -> Result<Self, ConfigurationError> {
        let file: ConfigurationDocument = read_document(document);
        if !file.settings.is_object() {
            return Err(missing("settings"));
        }
        let seed = parse_seed(file.seed.as_deref())?;
        let descriptors = parse_descriptor_limit(file.limits.sockets.as_ref())?;
        let memory_mb = positive_or(
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
            // The other half is for tables, the program and what the system keeps for sockets.
            buffer_bytes: (memory_mb * 1024.0 * 1024.0 / 2.0) as usize,
            connect_timeout_ms: positive_or(
                "settings.Limits.ConnectTimeoutMs",
                connection_limits.connect_timeout_ms.as_ref(),
                DEFAULT_CONNECT_TIMEOUT_MS,
            )?,
            keepalive_ms: positive_or(
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

/// Reads the file that `BALANCER_CONFIG` names, and puts the overrides in.
fn load_document(overrides: &[Override]) -> Result<Value, ConfigurationError> {
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
        Err(source) => return Err(ConfigurationError::NotJson { path, source }),
    };
    let object = document
        .as_object_mut()
        .ok_or(ConfigurationError::NotAnObject)?;
    for Override { key, variable } in overrides {
        if let Ok(value) = std::env::var(variable) {
            object.insert((*key).into(), value.into());
        }
    }
    Ok(document)
}

fn read_document(document: &Value) -> ConfigurationDocument {
    if !document.is_object() {
        return ConfigurationDocument::default();
    }
    // No field of it rejects a value, whatever its type.
    ConfigurationDocument::deserialize(document).unwrap_or_default()
}

fn without_known_endpoints(document: &Value) -> Value {
    let mut document = document.clone();
    if let Some(known) = document.get_mut("known") {
        *known = Value::Null;
    }
    document
}

fn missing(key: &str) -> ConfigurationError {
    ConfigurationError::Missing { key: key.into() }
}

fn parse_address(key: &'static str, text: Option<&str>) -> Result<SocketAddr, ConfigurationError> {
    let text = text.ok_or_else(|| missing(key))?;
    text.parse()
        .map_err(|source| ConfigurationError::NotAnAddress {
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
    let text = text.ok_or_else(|| missing("seed"))?;
    u64::from_str_radix(text, 16).map_err(|source| ConfigurationError::SeedNotHexadecimal {
        text: text.into(),
        source,
    })
}

/// A number above 0, or the default where the key is absent or null.
fn positive_or(
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
    let descriptors = positive_or("limits.sockets", value, DEFAULT_DESCRIPTORS)? as u64;
    if descriptors < MIN_DESCRIPTORS {
        return Err(ConfigurationError::TooFewDescriptors {
            least: MIN_DESCRIPTORS,
        });
    }
    Ok(descriptors)
}

fn parse_key_header(value: Option<&Value>) -> Result<Option<String>, ConfigurationError> {
    match value {
        None => Ok(None),
        Some(Value::String(name)) if is_header_name(name) => Ok(Some(name.clone())),
        Some(_) => Err(ConfigurationError::NotAHeaderName),
    }
}

fn is_header_name(name: &str) -> bool {
    let fits = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    !name.is_empty() && name.bytes().all(fits)
}

/// Reads the list to reject a faulty one, into an index that is thrown away.
fn validate_known_endpoints(known: &Value) -> Result<(), ConfigurationError> {
    if known.is_null() {
        return Ok(());
    }
    // Read for its errors, into names that are thrown away.
    EndpointList::from_json(&mut NameIndex::default(), known)?;
    Ok(())
}
