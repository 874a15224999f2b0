//! The endpoint list, as service discovery and the `known` key of the configuration give it.
//!
//! The JSON is read leniently: an optional field of the wrong type counts as absent, and an entry that lacks a
//! required field is logged and skipped. Only an unusable frame of the list is an error.

use crankmux::settings::NameIndex;
use crankmux::types::{EndpointState, EndpointUpdate};
use serde::de::IgnoredAny;
use serde::{Deserialize, Deserializer};
use serde_json::Value;
use std::net::SocketAddr;

/// Why a JSON value is not an endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EndpointListError {
    /// `seq` cannot be read.
    #[error("seq is missing or no whole number")]
    InvalidSequenceNumber,
    /// `whole` cannot be read.
    #[error("whole is missing or neither true nor false")]
    InvalidCompleteFlag,
    /// `hosts` cannot be read.
    #[error("hosts is missing or no list")]
    InvalidEndpoints,
}

/// One version of the endpoint list: all endpoints, or those that changed.
#[derive(Clone, Debug)]
pub struct EndpointList {
    /// The version of the list, in discovery's numbering.
    pub sequence_number: u64,
    /// Whether endpoints that are not listed are removed, rather than unchanged.
    pub complete: bool,
    /// The usable entries, in the order of the list.
    pub endpoints: Vec<ListedEndpoint>,
}

/// One entry of an endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct ListedEndpoint {
    /// What the entry says of the endpoint, for the load balancer.
    pub update: EndpointUpdate,
    /// The address, and the start of the process there in Unix milliseconds; none unless the endpoint is ready.
    pub dial: Option<(SocketAddr, f64)>,
}

impl EndpointList {
    /// Reads a list. Names get indices from `names`; an unusable entry is logged and skipped.
    ///
    /// # Errors
    ///
    /// `seq`, `whole` or `hosts` is missing or of the wrong type.
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
            match EndpointMessage::from_json(entry) {
                Some(endpoint) => endpoints.push(endpoint.to_listed(names)),
                None => {
                    log::warn!("an entry of the endpoint list lacks host or health: {entry}");
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

/// Hashes a name to the same number in every proxy (64-bit FNV-1a).
pub fn stable_hash(name: &str) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    name.bytes().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    })
}

/// One entry of a list on the wire, borrowed from its JSON.
#[derive(Deserialize)]
struct EndpointMessage<'a> {
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

impl<'a> EndpointMessage<'a> {
    /// Reads an entry; none where it lacks a required field.
    fn from_json(entry: &'a Value) -> Option<Self> {
        // From an array serde would take the fields' values by position.
        let fields = entry.as_object()?;
        Self::deserialize(fields).ok()
    }

    fn state(&self) -> EndpointState {
        match (self.health, self.address) {
            ("Ready", Some(_)) => EndpointState::Ready,
            ("Gone", _) => EndpointState::Removed,
            // An unknown health, or a ready endpoint whose address cannot be dialed, must get nothing new.
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

/// A value that may be of another type than is expected.
#[derive(Deserialize)]
#[serde(untagged)]
enum Lenient<T> {
    Typed(T),
    Mistyped(IgnoredAny),
}

/// Reads a field that counts as absent where its type is another.
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
