//! The operator's own file: what a node does beyond what its platform tells it. TOML, read whole or not at
//! all: every fault is told at once, each with its line and key, an unknown key with the nearest known one.
//! Free of I/O; without a charter a node does none of this. docs/charter.md is the operators' page.

mod fleet;
mod section;
mod units;

pub use fleet::FleetCharter;
pub use units::{Lasting, Size};

use section::Section;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// From 1.
    pub line: usize,
    /// With its section, as `fleet.seeds`; empty where the fault is no key's.
    pub key: String,
    pub what: String,
}

impl std::fmt::Display for Fault {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        match self.key.is_empty() {
            true => write!(f, "line {}: {}", self.line, self.what),
            false => write!(f, "line {}: {}: {}", self.line, self.key, self.what),
        }
    }
}

/// What a charter says; a part that is not named is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Charter {
    pub fleet: Option<FleetCharter>,
}

impl Charter {
    /// Reads a charter's text. Errors: all that is wrong with it, by line.
    pub fn read(text: &str) -> Result<Self, Vec<Fault>> {
        section::read(text, |whole: &mut Section| {
            let fleet = whole.section("fleet").and_then(|part| part.all(FleetCharter::read));
            Some(Charter { fleet })
        })
    }
}
