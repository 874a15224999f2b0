//! Lists of servers as they are written, and the numbers that stand for names.

use crankmux::settings::NameIndex;
use crankmux::types::{EndpointState, EndpointUpdate};
use serde_json::Value;
use std::net::SocketAddr;

/// A list as discovery, or the configuration, gives it.
pub struct List {
    pub seq: u64,
    pub whole: bool,
    /// Each with where to dial it, if it may get anything new.
    pub lines: Vec<(EndpointUpdate, Option<(SocketAddr, f64)>)>,
}

/// A name's number, the same at every node (FNV-1a).
pub fn hashed(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, b| {
        (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Reads a list; a line that lacks what it needs is named in the log and passed over.
pub fn read_list(names: &mut NameIndex, list: &Value) -> Result<List, String> {
    let seq = list
        .get("seq")
        .and_then(Value::as_u64)
        .ok_or("seq is missing or no whole number")?;
    let whole = list
        .get("whole")
        .and_then(Value::as_bool)
        .ok_or("whole is missing or neither true nor false")?;
    let hosts = list
        .get("hosts")
        .and_then(Value::as_array)
        .ok_or("hosts is missing or no list")?;
    let mut lines = Vec::new();
    for host in hosts {
        let text = |name: &str| host.get(name).and_then(Value::as_str);
        let (Some(name), Some(health)) = (text("host"), text("health")) else {
            log::warn!("a line of the list lacks host or health: {host}");
            continue;
        };
        let dial = text("dial").and_then(|d| d.parse().ok());
        let standing = match health {
            "Ready" if dial.is_some() => EndpointState::Ready,
            "Gone" => EndpointState::Removed,
            // Danger: a word not known here, or an address that cannot be dialled: nothing new goes there.
            _ => EndpointState::Draining,
        };
        let started = host.get("born_ms").and_then(Value::as_f64).unwrap_or(0.0);
        let pod = host.get("block").and_then(Value::as_u64);
        let place = (
            text("site").unwrap_or_default(),
            text("class").unwrap_or_default(),
        );
        let line = names.endpoint_update(hashed(name), standing, place, pod, started);
        let dial = dial
            .filter(|_| standing == EndpointState::Ready)
            .map(|address| (address, started));
        lines.push((line, dial));
    }
    Ok(List { seq, whole, lines })
}
