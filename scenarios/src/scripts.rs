//! The scripts that ship, and reading one from a file.

use crate::error::CommandError;
use crankmux_simulator::script::Script;
use std::path::Path;

macro_rules! shipped_scripts {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../scripts/", $name, ".toml")))),*]
    };
}

/// Name and text of each script that ships; the first is the default.
pub const SHIPPED: &[(&str, &str)] = shipped_scripts![
    "saturday",
    "release",
    "metastable",
    "one-way-cut",
    "blind-release",
    "three-troubles",
    "mass-restart",
    "hot-key",
    "late-reports",
    "quiet-nodes",
];

/// Reads a script by its file or by the name of one that ships; the default where none is given. A file comes before
/// a shipped script of the same name.
///
/// # Errors
///
/// A file that cannot be read, or an invalid script.
pub fn read(file_or_name: Option<&Path>) -> Result<Script, CommandError> {
    let Some(path) = file_or_name else {
        return shipped(SHIPPED[0].0);
    };
    let name = path.to_string_lossy();
    let ships = SHIPPED.iter().any(|(shipped, _)| *shipped == name);
    if ships && !path.exists() {
        return shipped(&name);
    }
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::UnreadableScript {
        path: name.to_string(),
        source,
    })?;
    parse(&name, &text)
}

/// The script of this name that ships.
///
/// # Errors
///
/// No script has this name.
pub fn shipped(name: &str) -> Result<Script, CommandError> {
    let found = SHIPPED.iter().find(|(shipped, _)| *shipped == name);
    let Some((_, text)) = found else {
        return Err(CommandError::UnknownScript {
            name: name.to_string(),
        });
    };
    parse(name, text)
}

fn parse(name: &str, text: &str) -> Result<Script, CommandError> {
    Script::read(text).map_err(|source| CommandError::InvalidScript {
        name: name.to_string(),
        source,
    })
}
