//! Configuration: the platform's JSON file and the operator's own TOML file.

/// The platform's JSON configuration: parsing, validation and defaults.
pub mod configuration;
mod document;
mod error;
/// The operator's TOML file and the key files that it names.
pub mod operator_config;
mod reload_check;

pub use error::ConfigurationError;
