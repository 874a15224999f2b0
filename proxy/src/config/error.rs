//! Errors in the platform's configuration.

use crate::endpoint_list::EndpointListError;
use crankmux::settings::SettingsError;
use std::io;
use std::net::AddrParseError;
use std::num::ParseIntError;
use std::path::PathBuf;

/// Why a configuration was rejected. Messages name a key by its path, joined by dots.
#[derive(Debug, thiserror::Error)]
pub enum ConfigurationError {
    /// The environment variable that names the configuration file is not set or not valid Unicode.
    #[error("{variable} is not set")]
    VariableNotSet {
        /// The name of the variable.
        variable: &'static str,
        /// The reason.
        source: std::env::VarError,
    },
    /// The configuration file cannot be read.
    #[error("BALANCER_CONFIG: {}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The configuration file is not valid JSON.
    #[error("BALANCER_CONFIG: {}: {source}", path.display())]
    InvalidJson {
        /// The path of the file.
        path: PathBuf,
        /// The syntax error.
        source: serde_json::Error,
    },
    /// The configuration file is not a JSON object.
    #[error("BALANCER_CONFIG: not a JSON object")]
    NotAnObject,
    /// A required key is absent or has the wrong type.
    #[error("{key} is missing")]
    MissingKey {
        /// The path of the key.
        key: String,
    },
    /// A value is not a socket address.
    #[error("{key} is no address with a port: {text}")]
    InvalidAddress {
        /// The path of the key.
        key: &'static str,
        /// The value in the file.
        text: String,
        /// The parse error.
        source: AddrParseError,
    },
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed is no hexadecimal number: {text}")]
    InvalidSeed {
        /// The value in the file.
        text: String,
        /// The parse error.
        source: ParseIntError,
    },
    /// A value is not a number above 0.
    #[error("{key} is no number above 0")]
    NotPositive {
        /// The path of the key.
        key: &'static str,
    },
    /// The descriptor limit is below the minimum.
    #[error("limits.sockets is under {minimum}")]
    TooFewDescriptors {
        /// The minimum.
        minimum: u64,
    },
    /// `key_header` is not a valid header name.
    #[error("key_header is no header's name")]
    InvalidHeaderName,
    /// The load balancer rejected `settings`.
    #[error("settings: {0}")]
    Settings(#[from] SettingsError),
    /// The endpoint list under `known` is invalid.
    #[error("known: {0}")]
    KnownEndpoints(#[from] EndpointListError),
}
