//! The scripts that ship, and reading one from a file.

use crankmux_simulator::script::Script;
use std::path::Path;

macro_rules! ship {
    ($($name:literal),* $(,)?) => { &[$(($name, include_str!(concat!("../scripts/", $name, ".toml")))),*] };
}

/// Name and text of each; the first is played where none is named.
pub const SHIPPED: &[(&str, &str)] = ship![
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

pub type Failed = (u8, String);

/// A script by its file, or by the name of one that ships.
pub fn read(named: Option<&Path>) -> Result<Script, Failed> {
    let Some(path) = named else {
        return shipped(SHIPPED[0].0);
    };
    let name = path.to_string_lossy();
    if let (true, true) = (
        !path.exists(),
        SHIPPED.iter().any(|(shipped, _)| *shipped == name),
    ) {
        return shipped(&name);
    }
    let text = std::fs::read_to_string(path).map_err(|e| (2, format!("{name}: {e}")))?;
    Script::read(&text).map_err(|faulty| (2, format!("{name}: {faulty}")))
}

pub fn shipped(name: &str) -> Result<Script, Failed> {
    let found = SHIPPED.iter().find(|(shipped, _)| *shipped == name);
    let (_, text) =
        found.ok_or_else(|| (2, format!("{name}: no such script; --list names them")))?;
    Script::read(text).map_err(|faulty| (2, format!("{name}: {faulty}")))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn every_script_that_ships_is_whole_and_says_what_it_plays() {
        for (name, _) in SHIPPED {
            let script = shipped(name).unwrap_or_else(|(_, message)| panic!("{message}"));
            assert_eq!(script.name, *name);
            assert!(
                !script.about.is_empty() && !script.faults.is_empty(),
                "{name}"
            );
        }
        assert!(shipped("unheard-of").is_err_and(|(code, _)| code == 2));
    }
}
