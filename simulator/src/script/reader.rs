//! Reads a TOML text into a type and validates it; errors name line and key.

use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// Why a script is refused. Lines count from 1.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScriptError {
    /// The text is no TOML, or a key is unknown, missing or of the wrong type.
    #[error("line {line}: {message}")]
    Malformed {
        /// Where.
        line: usize,
        /// What the parser says.
        message: String,
    },
    /// A value breaks a rule of the script.
    #[error("line {line}: {invalid}")]
    Invalid {
        /// Where.
        line: usize,
        /// Which key, and why.
        invalid: InvalidKey,
    },
}

impl ScriptError {
    /// The line of the script, from 1.
    pub fn line(&self) -> usize {
        match self {
            ScriptError::Malformed { line, .. } | ScriptError::Invalid { line, .. } => *line,
        }
    }

    /// The key whose value is invalid, as `faults.2.strength`.
    pub fn key(&self) -> Option<&str> {
        match self {
            ScriptError::Malformed { .. } => None,
            ScriptError::Invalid { invalid, .. } => Some(&invalid.key),
        }
    }
}

/// A key whose value is invalid, as `faults.2.strength`.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{key} {reason}")]
pub struct InvalidKey {
    /// The key with its path.
    pub key: String,
    /// What is wrong with its value.
    pub reason: InvalidValue,
}

impl InvalidKey {
    /// A key whose value breaks a rule, worded to follow the key in a sentence.
    pub fn rule(key: impl Into<String>, rule: &'static str) -> Self {
        InvalidKey {
            key: key.into(),
            reason: InvalidValue::BreaksRule(rule),
        }
    }
}

/// What is wrong with a value.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidValue {
    /// A number is too small or too large.
    #[error("is {value}; it must lie between {least} and {most}")]
    OutOfRange {
        /// The number.
        value: f64,
        /// The least that is allowed.
        least: f64,
        /// The most that is allowed.
        most: f64,
    },
    /// Another rule is broken, worded to follow the key in a sentence.
    #[error("{0}")]
    BreaksRule(&'static str),
}

/// Reads a text and validates what it says.
///
/// # Errors
///
/// What the parser or `validate` finds first, with its line.
pub fn read_validated<T: DeserializeOwned>(
    text: &str,
    validate: impl FnOnce(&T) -> Result<(), InvalidKey>,
) -> Result<T, ScriptError> {
    let read: T = toml::from_str(text).map_err(|error| ScriptError::Malformed {
        line: error.span().map_or(1, |span| line_at(text, span.start)),
        message: error.message().to_string(),
    })?;
    validate(&read).map_err(|invalid| ScriptError::Invalid {
        line: line_of(text, &invalid.key),
        invalid,
    })?;
    Ok(read)
}

fn line_at(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// The line of a key; of the deepest part of its path that is there, where the key itself is missing.
fn line_of(text: &str, key: &str) -> usize {
    let Ok(root) = DeTable::parse(text) else {
        return 1;
    };
    let mut line = 1;
    let mut value = DeValue::Table(root.into_inner());
    for part in key.split('.') {
        let found = match value {
            DeValue::Table(mut table) => {
                let name = table.keys().find(|name| name.get_ref() == part).cloned();
                name.and_then(|name| table.remove(&name))
            }
            DeValue::Array(array) => {
                let index = part.parse::<usize>().ok();
                index.and_then(|index| array.into_iter().nth(index))
            }
            _ => None,
        };
        let Some(found) = found else { break };
        line = line_at(text, found.span().start);
        value = found.into_inner();
    }
    line
}
