//! The built-in simulator scripts, and loading a script from a file.

use crate::error::CommandError;
use crankmux_simulator::script::Script;
use std::path::Path;

macro_rules! include_scripts {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../scripts/", $name, ".toml")))),*]
    };
}

/// Name and text of each built-in script; the first is the default.
pub const BUILT_IN: &[(&str, &str)] = include_scripts![
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

/// Loads a script by path or built-in name, or the default script. A file takes precedence over a built-in script of
/// the same name.
///
/// # Errors
///
/// The file cannot be read, or the script is invalid.
pub fn load(path_or_name: Option<&Path>) -> Result<Script, CommandError> {
    let Some(path) = path_or_name else {
        return built_in(BUILT_IN[0].0);
    };
    let name = path.to_string_lossy();
    let is_built_in = BUILT_IN.iter().any(|(built_in, _)| *built_in == name);
    if is_built_in && !path.exists() {
        return built_in(&name);
    }
    let text = std::fs::read_to_string(path).map_err(|source| CommandError::UnreadableScript {
        path: name.to_string(),
        source,
    })?;
    parse(&name, &text)
}

/// Loads a built-in script by name.
///
/// # Errors
///
/// No built-in script has this name.
pub fn built_in(name: &str) -> Result<Script, CommandError> {
    let found = BUILT_IN.iter().find(|(built_in, _)| *built_in == name);
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
