//! The scripts of clusters that ship, their environments, and reading a script from a file.

use crankmux_fault_injection::RunScript;
use crankmux_simulator::script::ScriptError;
use std::path::Path;

macro_rules! ship {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../../scripts/fleet/", $name, ".toml")))),*]
    };
}

/// Name and text of each script that ships; the first is run where none is named.
pub const SHIPPED: &[(&str, &str)] =
    ship!["kills", "lossy", "gone", "doubled", "storm", "five", "leavers"];

const ENVIRONMENTS: [(&str, &str); 2] = [
    (
        "fleet-world",
        include_str!("../../scripts/fleet-world.toml"),
    ),
    (
        "fleet-leavers",
        include_str!("../../scripts/fleet-leavers.toml"),
    ),
];

/// Why a script could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// The file cannot be read.
    #[error("{name}: {source}")]
    File {
        /// The file.
        name: String,
        /// Why.
        source: std::io::Error,
    },
    /// The script is invalid.
    #[error("{name}: {source}")]
    Script {
        /// Its name or file.
        name: String,
        /// Where and why.
        source: ScriptError,
    },
}

/// Reads the script of this name, or from this file; the first that ships where none is named.
///
/// # Errors
///
/// The file cannot be read, or the script is invalid.
pub fn read(named: Option<&Path>) -> Result<RunScript, ReadError> {
    let name = named.map_or(SHIPPED[0].0.into(), Path::to_string_lossy);
    let text = match text_of(SHIPPED, &name) {
        Some(text) => text.to_string(),
        None => std::fs::read_to_string(&*name).map_err(|source| ReadError::File {
            name: name.to_string(),
            source,
        })?,
    };
    RunScript::read(&text).map_err(|source| ReadError::Script {
        name: name.into_owned(),
        source,
    })
}

/// The text of the environment of this name, if it ships.
pub fn shipped_environment(name: &str) -> Option<&'static str> {
    text_of(&ENVIRONMENTS, name)
}

fn text_of(shipped: &[(&str, &'static str)], name: &str) -> Option<&'static str> {
    shipped
        .iter()
        .find(|(shipped_name, _)| *shipped_name == name)
        .map(|(_, text)| *text)
}
