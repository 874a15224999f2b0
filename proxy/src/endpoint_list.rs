//! The endpoint list format of service discovery and of the `known` key of the configuration.
//!
//! Parsing is lenient: an optional field of the wrong type counts as absent, and an entry that lacks a required field
//! is logged and skipped. Only an invalid `seq`, `whole` or `hosts` is an error.

use crankmux::settings::NameIndex;
use crankmux::types::{EndpointState, EndpointUpdate};
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;

/// Why a JSON value is not an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// `seq` is missing or not an unsigned integer.
    #[error("seq is missing or no whole number")]
    InvalidSequenceNumber,
    /// `whole` is missing or not a boolean.
    #[error("whole is missing or neither true nor false")]
    InvalidCompleteFlag,
    /// `hosts` is missing or not an array.
    #[error("hosts is missing or no list")]
    InvalidEndpoints,
}

/// One version of the endpoint list: all endpoints, or only those that changed.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list.
    pub sequence_number: u64,
    /// Whether the list contains all endpoints. If so, endpoints that are not listed are removed; otherwise they are
    /// unchanged.
    pub complete: bool,
    /// The valid entries, in list order.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One entry of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// The update for the load balancer.
    pub update: EndpointUpdate,
    /// The address and the process start time in Unix milliseconds; `None` unless the endpoint is ready.
    pub dial: Option<(SocketAddr, f64)>,
}

impl EndpointList {
    /// Parses a list. Names are resolved by `names`; invalid entries are logged and skipped.
    ///
    /// # Errors
    ///
    /// Fails if `seq`, `whole` or `hosts` is missing or of the wrong type.
    pub fn from_json(names: &mut NameIndex, list: &Value) -> Result<Self, EndpointListError> {
        let sequence_number = list
            .get("seq")
            .and_then(Value::as_u64)
            .ok_or(EndpointListError::InvalidSequenceNumber)?;
        let complete = list
            .get("whole")
            .and_then(Value::as_bool)
            .ok_or(EndpointListError::InvalidCompleteFlag)?;
        let entries = list
            .get("hosts")
            .and_then(Value::as_array)
            .ok_or(EndpointListError::InvalidEndpoints)?;
        let mut endpoints = Vec::with_capacity(entries.len());
        for entry in entries {
            match EndpointEntry::from_json(entry) {
                Some(endpoint) => endpoints.push(endpoint.to_listed(names)),
                None => {
                    log::warn!("skipping an endpoint list entry without host or health: {entry}");
                }
            }
        }
        Ok(EndpointList {
            sequence_number,
            complete,
            endpoints,
        })
    }
}

/// 64-bit FNV-1a hash of a name, which is the same in every proxy.
pub fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// The wire format of an entry, borrowed from its JSON.
#[derive(Deserialize)]
struct EndpointEntry<'a> {
    #[serde(rename = "host")]
    id: &'a str,
    health: &'a str,
    #[serde(rename = "dial", default, deserialize_with = "none_if_mistyped")]
    address: Option<SocketAddr>,
    #[serde(rename = "site", default, deserialize_with = "none_if_mistyped")]
    zone: Option<&'a str>,
    #[serde(rename = "class", default, deserialize_with = "none_if_mistyped")]
    machine_class: Option<&'a str>,
    #[serde(rename = "block", default, deserialize_with = "none_if_mistyped")]
    pod: Option<u64>,
    #[serde(rename = "born_ms", default, deserialize_with = "none_if_mistyped")]
    started_at_ms: Option<f64>,
}

impl<'a> EndpointEntry<'a> {
    /// Parses an entry. Returns `None` if a required field is missing.
    fn from_json(entry: &'a Value) -> Option<Self> {
        // Serde would also deserialize the fields from an array, by position.
        let fields = entry.as_object()?;
        Self::deserialize(fields).ok()
    }

    fn state(&self) -> EndpointState {
        match (self.health, self.address) {
            ("Ready", Some(_)) => EndpointState::Ready,
            ("Gone", _) => EndpointState::Removed,
            // An unknown health or a ready endpoint without a valid address must get no new requests.
            _ => EndpointState::Draining,
        }
    }

    fn to_listed(&self, names: &mut NameIndex) -> ListedEndpoint {
        let state = self.state();
        let started_at_ms = self.started_at_ms.unwrap_or(0.0);
        let zone = self.zone.unwrap_or_default();
        let machine_class = self.machine_class.unwrap_or_default();
        let update = names.endpoint_update(
            stable_hash(self.id),
            state,
            (zone, machine_class),
            self.pod,
            started_at_ms,
        );
        let dial = self
            .address
            .filter(|_| state == EndpointState::Ready)
            .map(|address| (address, started_at_ms));
        ListedEndpoint { update, dial }
    }
}

/// A value of the expected type, or of any other.
#[derive(Deserialize)]
#[serde(untagged)]
enum Lenient<T> {
    Typed(T),
    Mistyped(IgnoredAny),
}

/// Deserializes an optional field. A value of the wrong type counts as absent.
fn none_if_mistyped<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    match Lenient::deserialize(deserializer)? {
        Lenient::Typed(value) => Ok(Some(value)),
        Lenient::Mistyped(_) => Ok(None),
    }
}
