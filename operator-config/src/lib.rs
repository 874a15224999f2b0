//! Parser of the operator configuration, a TOML file that enables optional features of a proxy. A file with errors
//! is rejected, and all its errors are reported with their line and key. Does no I/O.
//!
//! `deploy/operator-config.toml` is an example.

mod cluster;
mod error;
mod section_reader;
mod units;

pub use cluster::ClusterOptions;
pub use error::{ConfigurationError, ErrorKind};
pub use units::{DurationSetting, SizeSetting};

/// An operator configuration. Features without a section are off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    /// Membership of the proxy cluster.
    pub cluster: Option<ClusterOptions>,
}

impl OperatorConfig {
    /// Parses the text of a configuration file.
    ///
    /// # Errors
    ///
    /// All errors in the file, sorted by line.
    pub fn parse(text: &str) -> Result<Self, Vec<ConfigurationError>> {
        section_reader::parse(text, |document| {
            let section = document.renamed_section(
                ClusterOptions::SECTION_NAME,
                ClusterOptions::DEPRECATED_SECTION_NAME,
            );
            let cluster = section.and_then(|section| {
                let name = section.name();
                section.read_all_keys(|section| ClusterOptions::read(section, name))
            });
            Some(OperatorConfig { cluster })
        })
    }
}
