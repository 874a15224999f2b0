//! The operator's own file: what a node does beyond what its platform tells it. TOML, read whole or not at
//! all: every fault is told at once, each with its line and key, an unknown key with the nearest known one.
//! Free of I/O; without a charter a node does none of this. docs/charter.md is the operators' page.

mod cluster;
mod section_reader;
mod units;

pub use cluster::ClusterOptions;
pub use units::{DurationSetting, SizeSetting};

use section_reader::Section;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigurationError {
    /// From 1.
    pub line: usize,
    /// With its section, as `fleet.seeds`; empty where the fault is no key's.
    pub key: String,
    pub what: String,
}

impl std::fmt::Display for ConfigurationError {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.key.is_empty() {
            true => write!(f, "line {}: {}", self.line, self.what),
            false => write!(f, "line {}: {}: {}", self.line, self.key, self.what),
        }
    }
}

/// What a charter says; a part that is not named is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OperatorConfig {
    pub fleet: Option<ClusterOptions>,
}

impl OperatorConfig {
    /// Reads a charter's text. Errors: all that is wrong with it, by line.
    pub fn read(text: &str) -> Result<Self, Vec<ConfigurationError>> {
        section_reader::read(text, |whole: &mut Section| {
            let fleet = whole
                .section("fleet")
                .and_then(|part| part.all(ClusterOptions::read));
            Some(OperatorConfig { fleet })
        })
    }
}
