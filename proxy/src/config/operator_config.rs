//! The operator's charter, with the files that it names.

use crankmux_membership::authentication::MIN_KEY_LENGTH;
use crankmux_operator_config::{ClusterOptions, OperatorConfig};
use std::path::Path;

/// A charter that is in order, and the keys of the fleet, read from their files.
#[derive(Default)]
pub struct LoadedOperatorConfig {
    pub fleet: Option<(ClusterOptions, Vec<String>)>,
}

/// Reads the charter that `CRANKMUX_CHARTER` names; without it nothing is on. Errors: all that is wrong.
pub fn named() -> Result<LoadedOperatorConfig, String> {
    match std::env::var_os("CRANKMUX_CHARTER") {
        None => Ok(LoadedOperatorConfig::default()),
        Some(path) => at(Path::new(&path)).map_err(|faults| faults.join("\n")),
    }
}

/// Reads a charter's file. Errors: all that is wrong, each with the file's name.
pub fn at(path: &Path) -> Result<LoadedOperatorConfig, Vec<String>> {
    let named = |what: String| format!("{}: {what}", path.display());
    let text = std::fs::read_to_string(path).map_err(|e| vec![named(e.to_string())])?;
    let charter = OperatorConfig::read(&text).map_err(|faults| {
        faults
            .iter()
            .map(|fault| named(fault.to_string()))
            .collect::<Vec<_>>()
    })?;
    let Some(fleet) = charter.fleet else {
        return Ok(LoadedOperatorConfig::default());
    };
    let folder = path.parent().unwrap_or(Path::new("."));
    let (mut keys, mut faults) = (Vec::new(), Vec::new());
    for file in &fleet.key_files {
        match std::fs::read_to_string(folder.join(file)) {
            Ok(key) if key.trim().len() >= MIN_KEY_LENGTH => keys.push(key.trim().to_string()),
            Ok(_) => faults.push(named(format!(
                "fleet.key-files: {file}: a key has {MIN_KEY_LENGTH} characters at least"
            ))),
            Err(e) => faults.push(named(format!("fleet.key-files: {file}: {e}"))),
        }
    }
    match faults.is_empty() {
        true => Ok(LoadedOperatorConfig {
            fleet: Some((fleet, keys)),
        }),
        false => Err(faults),
    }
}
