//! Configuration: the platform's JSON file and the operator's TOML file.

/// The platform's JSON configuration: parsing, validation and defaults.
pub mod configuration;
mod document;
mod error;
/// The operator's TOML file and its key files.
pub mod operator_config;
mod reload_check;

pub use error::ConfigurationError;
