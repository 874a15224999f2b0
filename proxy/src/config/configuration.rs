//! The one place where configuration is read, checked and given defaults.

use crate::endpoint_list::read_list;
use crate::tokens::MAX_ADMIN_CALLERS;
use crankmux::dispatcher::Dispatcher;
use crankmux::settings::{self, NameIndex};
use serde_json::Value;
use std::net::SocketAddr;

/// Descriptors for other than clients and servers: ten for the standard streams, polling, signals, the
/// listener and discovery, the door and its callers, and some to spare.
const OTHER_SOCKETS: u64 = 20 + MAX_ADMIN_CALLERS as u64;

const ADMIN: (&str, &str) = ("admin_addr", "BALANCER_ADMIN_ADDR");

/// Connections to clients at most, and as many to servers, of so many descriptors: an op under way holds
/// one of each.
pub fn connections(sockets: f64) -> usize {
    // Danger: a share so small that nothing is left would serve nobody.
    ((sockets - OTHER_SOCKETS as f64) / 2.0).max(4.0) as usize
}

/// What a header's name may hold.
fn token(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || b"-_.".contains(&byte)
}

/// The first key that a running configuration has and a new one lacks: at the top, in `settings`, `limits`
/// and in each category. One that is new must have what all others had. Danger: a file cut short that still
/// reads as one.
fn lacks(running: &Value, new: &Value) -> Option<String> {
    // The one key that may come and go.
    let stays = |key: &&String| *key != "AimStretch";
    let keys = |of: &Value| -> Vec<String> {
        of.as_object()
            .map(|o| o.keys().filter(stays).cloned().collect())
            .unwrap_or_default()
    };
    for path in ["", "/settings", "/limits"] {
        let (had, has) = (running.pointer(path)?, new.pointer(path));
        if let Some(key) = keys(had)
            .into_iter()
            .find(|key| has.is_none_or(|has| has.get(key).is_none()))
        {
            return Some(
                format!("{path}/{key}")
                    .trim_start_matches('/')
                    .replace('/', "."),
            );
        }
    }
    let categories = |of: &Value| {
        of.pointer("/settings/Categories")
            .and_then(Value::as_array)
            .cloned()
            .unwrap_or_default()
    };
    let had = categories(running);
    let common = keys(had.first()?)
        .into_iter()
        .filter(|key| had.iter().all(|c| c.get(key).is_some()));
    let common: Vec<String> = common.collect();
    categories(new)
        .iter()
        .enumerate()
        .find_map(|(index, category)| {
            let same = had.iter().find(|c| c.get("Name") == category.get("Name"));
            let needed = same.map_or_else(|| common.clone(), &keys);
            let key = needed.into_iter().find(|key| category.get(key).is_none())?;
            Some(format!("settings.Categories.{index}.{key}"))
        })
}

pub struct Configuration {
    /// All of it as it was read, but for the servers of the list.
    pub whole: Value,
    pub name: String,
    /// Of all categories, in milliseconds.
    pub longest_ttl: f64,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call; no door where none is named.
    pub admin: Option<SocketAddr>,
    /// Descriptors that all processes of the node may hold together.
    pub sockets: usize,
    pub buffer_bytes: usize,
    pub connect_within: f64,
    pub keepalive: f64,
    /// The list of servers as it was last known.
    pub known: Value,
    pub names: NameIndex,
    /// The header in which a request says what it is about; none by default.
    pub key_header: Option<String>,
    pub dispatcher: Dispatcher,
}

impl Configuration {
    /// Reads the file that `BALANCER_CONFIG` names; single variables stand over it.
    pub fn at_start() -> Result<Self, String> {
        let over = [
            ("listen", "BALANCER_LISTEN"),
            ("discovery", "BALANCER_DISCOVERY"),
            ADMIN,
        ];
        Self::from_file(&over)
    }

    /// Reads that file again. Danger: variables are those of the start; were `BALANCER_DISCOVERY` to stand
    /// over the file for good, no new file could ever name another address.
    pub fn again(running: &Value) -> Result<Self, String> {
        let new = Self::from_file(&[("listen", "BALANCER_LISTEN"), ADMIN])?;
        match lacks(running, &new.whole) {
            Some(key) => Err(format!("{key} is missing")),
            None => Ok(new),
        }
    }

    fn from_file(over: &[(&str, &str)]) -> Result<Self, String> {
        let path = std::env::var("BALANCER_CONFIG")
            .map_err(|_| "BALANCER_CONFIG is not set".to_string())?;
        let text =
            std::fs::read_to_string(&path).map_err(|e| format!("BALANCER_CONFIG: {path}: {e}"))?;
        let mut whole: Value =
            serde_json::from_str(&text).map_err(|e| format!("BALANCER_CONFIG: {path}: {e}"))?;
        let object = whole
            .as_object_mut()
            .ok_or("BALANCER_CONFIG: not a JSON object")?;
        for (name, variable) in over {
            if let Ok(value) = std::env::var(variable) {
                object.insert((*name).into(), value.into());
            }
        }
        Self::read(&whole)
    }

    pub fn read(whole: &Value) -> Result<Self, String> {
        let address = |name: &str| -> Result<SocketAddr, String> {
            let text = whole
                .get(name)
                .and_then(Value::as_str)
                .ok_or(format!("{name} is missing"))?;
            text.parse()
                .map_err(|_| format!("{name} is no address with a port: {text}"))
        };
        let settings = whole
            .get("settings")
            .filter(|s| s.is_object())
            .ok_or("settings is missing")?;
        let number = |path: &str, otherwise: f64| match whole.pointer(path) {
            None | Some(Value::Null) => Ok(otherwise),
            Some(value) => match value.as_f64() {
                Some(number) if number.is_finite() && number > 0.0 => Ok(number),
                _ => Err(format!(
                    "{} is no number above 0",
                    path.trim_start_matches('/').replace('/', ".")
                )),
            },
        };
        let seed = whole
            .get("seed")
            .and_then(Value::as_str)
            .ok_or("seed is missing")?;
        let seed = u64::from_str_radix(seed, 16)
            .map_err(|_| format!("seed is no hexadecimal number: {seed}"))?;
        let sockets = number("/limits/sockets", 1024.0)? as u64;
        if sockets < OTHER_SOCKETS + 8 {
            return Err(format!("limits.sockets is under {}", OTHER_SOCKETS + 8));
        }
        let memory = number("/limits/memory_mb", 192.0)?;
        let key_header = match whole.get("key_header") {
            None | Some(Value::Null) => None,
            Some(Value::String(name)) if name.bytes().all(token) && !name.is_empty() => {
                Some(name.clone())
            }
            Some(_) => return Err("key_header is no header's name".into()),
        };
        settings::validate(settings).map_err(|m| format!("settings: {m}"))?;
        let (names, given) = NameIndex::from_settings(settings);
        let known = whole.get("known").cloned().unwrap_or_default();
        if !known.is_null() {
            // Read for its faults, under names that are thrown away.
            read_list(&mut NameIndex::default(), &known).map_err(|e| format!("known: {e}"))?;
        }
        let dispatcher = Dispatcher::new(given, seed)
            .map_err(|m| format!("settings: {}", settings::explain_error(&m)))?;
        let ttls = settings
            .get("Categories")
            .and_then(Value::as_array)
            .into_iter()
            .flatten();
        let longest = ttls
            .filter_map(|c| c.get("TtlMs")?.as_f64())
            .fold(0.0, f64::max);
        let mut kept = whole.clone();
        if let Some(known) = kept.get_mut("known") {
            *known = Value::Null;
        }
        Ok(Configuration {
            whole: kept,
            name: whole
                .get("name")
                .and_then(Value::as_str)
                .unwrap_or_default()
                .to_string(),
            longest_ttl: longest,
            listen: address("listen")?,
            discovery: address("discovery")?,
            admin: match whole.get("admin_addr") {
                None | Some(Value::Null) => None,
                Some(_) => Some(address("admin_addr")?),
            },
            sockets: sockets as usize,
            // Half of it: the rest is for tables, the program and what the system keeps for sockets.
            buffer_bytes: (memory * 1024.0 * 1024.0 / 2.0) as usize,
            // Where none is set: as long as a lost first packet takes to be sent again.
            connect_within: number("/settings/Limits/ConnectTimeoutMs", 1000.0)?,
            // Where none is set: what common servers keep at least.
            keepalive: number("/settings/Limits/KeepaliveMs", 5000.0)?,
            known,
            names,
            key_header,
            dispatcher,
        })
    }
}
