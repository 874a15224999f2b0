//! A rig's script: which world, how many processes, and what goes wrong between them, as a TOML file tells it.
//! docs/rig.md lists every key. A faulty script is refused whole, with the line and the key.

use crankmux_simulator::script::{read_validated, InvalidKey, ScriptError};
use serde::Deserialize;

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Play {
    pub name: String,
    #[serde(default)]
    pub about: String,
    /// The emulator's script whose servers, categories, duties and load this one has. Its faults are not played.
    pub world: String,
    pub processes: usize,
    /// From the moment at which all know each other.
    pub seconds: f64,
    /// What the settings tell of the number of nodes; the processes' number else.
    pub told: Option<usize>,
    /// Ops a second from all clients, over the world's.
    pub rate: Option<f64>,
    #[serde(default)]
    pub faults: Vec<Fault>,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// SIGKILL; started again when it is over, with what it had kept.
    Kill,
    /// The same, and what it had kept is gone.
    KillEmpty,
    /// SIGSTOP, SIGCONT when it is over.
    Stop,
    /// SIGTERM; started again when it is over.
    Terminate,
    /// They are started only now.
    Join,
    /// Datagrams: lost, sent twice, changed by a bit, late by milliseconds; by strength.
    Loss,
    Twice,
    Garble,
    Delay,
    /// No datagram passes to or from them.
    Cut,
    /// All nodes fall into so many groups, by strength, that do not reach each other.
    Split,
    /// Datagrams of so many seconds ago come again, by strength.
    Repeat,
    /// Garbage at their ports, so many datagrams a second.
    Flood,
    /// Their discovery says nothing.
    Blind,
    /// Servers drain, or are replaced by cold ones.
    Drain,
    Renew,
}

#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "kebab-case")]
pub enum Way {
    #[default]
    Both,
    /// What they send.
    Out,
    /// What they are sent.
    In,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    /// Seconds from the start; and how long, for good where it is not told.
    pub at: f64,
    #[serde(rename = "for")]
    pub lasts: Option<f64>,
    /// Which: their numbers, or a part of all by chance.
    #[serde(default)]
    pub which: Vec<usize>,
    #[serde(default)]
    pub part: f64,
    #[serde(default)]
    pub strength: f64,
    #[serde(default)]
    pub way: Way,
}

impl Play {
    /// Reads a script whole, or names what is wrong with it.
    pub fn read(text: &str) -> Result<Self, ScriptError> {
        read_validated(text, Play::check)
    }

    fn check(&self) -> Result<(), InvalidKey> {
        let wrong = |key: &str, rule| Err(InvalidKey::rule(key, rule));
        if self.processes < 1 || self.processes > 200 {
            return wrong("processes", "must be 1 to 200");
        }
        if !(self.seconds > 0.0 && self.seconds.is_finite()) {
            return wrong("seconds", "must be above 0");
        }
        for (index, fault) in self.faults.iter().enumerate() {
            let key = |name: &str| format!("faults.{index}.{name}");
            if !(fault.at >= 0.0 && fault.lasts.is_none_or(|lasts| lasts > 0.0)) {
                return wrong(&key("at"), "must be 0 or more, and for above 0");
            }
            if !(0.0..=1.0).contains(&fault.part) {
                return wrong(&key("part"), "must be 0 to 1");
            }
            let servers = matches!(fault.kind, Kind::Drain | Kind::Renew);
            if !servers && fault.which.iter().any(|node| *node >= self.processes) {
                return wrong(
                    &key("which"),
                    "names a process that is none of this script's",
                );
            }
            let share = matches!(fault.kind, Kind::Loss | Kind::Twice | Kind::Garble);
            if share && !(0.0..=1.0).contains(&fault.strength) {
                return wrong(&key("strength"), "is a part, 0 to 1");
            }
            if fault.kind == Kind::Split && !(2.0..=20.0).contains(&fault.strength) {
                return wrong(&key("strength"), "must be 2 to 20 groups");
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_faulty_script_is_refused_with_its_key() {
        let good = "name = 'x'\nworld = 'fleet'\nprocesses = 3\nseconds = 5\n";
        let fault = |text: &str| {
            Play::read(&format!("{good}[[faults]]\n{text}"))
                .unwrap_err()
                .to_string()
        };
        assert!(Play::read(good).is_ok());
        assert!(Play::read("name = 'x'\nprocesses = 3\n")
            .unwrap_err()
            .to_string()
            .contains("world"));
        assert!(fault("kind = 'kil'\nat = 1").contains("kil"));
        assert!(fault("kind = 'kill'\nat = 1\nwhich = [3]").contains("faults.0.which"));
        assert!(fault("kind = 'loss'\nat = 1\nstrength = 20").contains("faults.0.strength"));
        assert!(fault("kind = 'split'\nat = 1").contains("faults.0.strength"));
        assert!(fault("kind = 'stop'\nat = -1").contains("faults.0.at"));
    }
}
