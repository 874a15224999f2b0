//! The built-in cluster scripts and their environments, and loading a script from a file.

use crankmux_fault_injection::RunScript;
use crankmux_simulator::script::ScriptError;
use std::path::Path;

macro_rules! include_scripts {
    ($($name:literal),* $(,)?) => {
        &[$(($name, include_str!(concat!("../../scripts/fleet/", $name, ".toml")))),*]
    };
}

/// Name and text of each built-in script; the first is the default.
pub const BUILT_IN: &[(&str, &str)] =
    include_scripts!["kills", "lossy", "gone", "doubled", "storm", "five", "leavers"];

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

/// Errors of loading a script.
#[derive(Debug, thiserror::Error)]
pub enum LoadError {
    /// The file cannot be read.
    #[error("{name}: {source}")]
    File {
        /// Path of the file.
        name: String,
        /// Cause of the failure.
        source: std::io::Error,
    },
    /// The script is invalid.
    #[error("{name}: {source}")]
    Script {
        /// Name or path of the script.
        name: String,
        /// Line and reason.
        source: ScriptError,
    },
}

/// Loads a script by built-in name or path, or the default script.
///
/// # Errors
///
/// The file cannot be read, or the script is invalid.
pub fn load(name_or_path: Option<&Path>) -> Result<RunScript, LoadError> {
    let name = name_or_path.map_or(BUILT_IN[0].0.into(), Path::to_string_lossy);
    let text = match find_text(BUILT_IN, &name) {
        Some(text) => text.to_string(),
        None => std::fs::read_to_string(&*name).map_err(|source| LoadError::File {
            name: name.to_string(),
            source,
        })?,
    };
    RunScript::read(&text).map_err(|source| LoadError::Script {
        name: name.into_owned(),
        source,
    })
}

/// The text of a built-in environment.
pub fn built_in_environment(name: &str) -> Option<&'static str> {
    find_text(&ENVIRONMENTS, name)
}

fn find_text(texts: &[(&str, &'static str)], name: &str) -> Option<&'static str> {
    texts
        .iter()
        .find(|(text_name, _)| *text_name == name)
        .map(|(_, text)| *text)
}
