//! Deserializes and validates TOML; errors name the line and, for invalid values, the key.

use serde::de::DeserializeOwned;
use thiserror::Error;
use toml::de::{DeTable, DeValue};

/// Errors of reading a script. Line numbers start at 1.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum ScriptError {
    /// Invalid TOML, or a key that is unknown, missing or of the wrong type.
    #[error("line {line}: {message}")]
    Malformed {
        /// Line of the error.
        line: usize,
        /// Message of the parser.
        message: String,
    },
    /// A value fails validation.
    #[error("line {line}: {invalid}")]
    Invalid {
        /// Line of the error.
        line: usize,
        /// The key and the reason.
        invalid: InvalidKey,
    },
}

impl ScriptError {
    /// Line of the error, from 1.
    pub fn line(&self) -> usize {
        match self {
            ScriptError::Malformed { line, .. } | ScriptError::Invalid { line, .. } => *line,
        }
    }

    /// Path of the key with the invalid value, such as `faults.2.strength`.
    pub fn key(&self) -> Option<&str> {
        match self {
            ScriptError::Malformed { .. } => None,
            ScriptError::Invalid { invalid, .. } => Some(&invalid.key),
        }
    }
}

/// A key with an invalid value.
#[derive(Clone, Debug, PartialEq, Error)]
#[error("{key} {reason}")]
pub struct InvalidKey {
    /// Path of the key, such as `faults.2.strength`.
    pub key: String,
    /// Why the value is invalid.
    pub reason: InvalidValue,
}

impl InvalidKey {
    /// A value that breaks a rule. The rule is phrased to follow the key in a sentence.
    pub fn rule(key: impl Into<String>, rule: &'static str) -> Self {
        InvalidKey {
            key: key.into(),
            reason: InvalidValue::BreaksRule(rule),
        }
    }
}

/// Why a value is invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum InvalidValue {
    /// The number is outside its range.
    #[error("is {value}; it must be between {min} and {max}")]
    OutOfRange {
        /// The number.
        value: f64,
        /// Lower bound, inclusive.
        min: f64,
        /// Upper bound, inclusive.
        max: f64,
    },
    /// The value breaks another rule, phrased to follow the key in a sentence.
    #[error("{0}")]
    BreaksRule(&'static str),
}

/// Deserializes a text and validates the result.
///
/// # Errors
///
/// The first error of the parser or of `validate`, with its line.
pub fn read_validated<T: DeserializeOwned>(
    text: &str,
    validate: impl FnOnce(&T) -> Result<(), InvalidKey>,
) -> Result<T, ScriptError> {
    let value: T = toml::from_str(text).map_err(|error| ScriptError::Malformed {
        line: error
            .span()
            .map_or(1, |span| line_at_offset(text, span.start)),
        message: error.message().to_string(),
    })?;
    validate(&value).map_err(|invalid| ScriptError::Invalid {
        line: line_of_key(text, &invalid.key),
        invalid,
    })?;
    Ok(value)
}

fn line_at_offset(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}

/// The line of a key, or of its closest ancestor in the text if the key itself is missing.
fn line_of_key(text: &str, key: &str) -> usize {
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
        line = line_at_offset(text, found.span().start);
        value = found.into_inner();
    }
    line
}
