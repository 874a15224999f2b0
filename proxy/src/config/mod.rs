//! Configuration: the platform's JSON file and the operator's own TOML file.

pub mod configuration;
pub mod operator_config;
