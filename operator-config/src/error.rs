//! Errors in an operator configuration file.

/// An error in the file, with its location.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line}: {}{kind}", key_prefix(key))]
pub struct ConfigurationError {
    /// The line number, from 1.
    pub line: usize,
    /// The key with its section, such as `cluster.seeds`; empty for a syntax error.
    pub key: String,
    /// The kind of error.
    #[source]
    pub kind: ErrorKind,
}

fn key_prefix(key: &str) -> String {
    if key.is_empty() {
        String::new()
    } else {
        format!("{key}: ")
    }
}

/// A kind of error.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ErrorKind {
    /// The text is not valid TOML.
    #[error("{message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// The key is unknown but similar to a known one.
    #[error("is not known; did you mean {nearest}?")]
    MisspelledKey {
        /// The most similar known key.
        nearest: &'static str,
    },
    /// The key is unknown.
    #[error("is not known; known keys are {}", known.join(", "))]
    UnknownKey {
        /// All keys of the section.
        known: Vec<&'static str>,
    },
    /// A required key is missing.
    #[error("is missing")]
    Missing,
    /// The value is invalid for the key.
    #[error("{message}")]
    InvalidValue {
        /// The deserializer's message.
        message: String,
    },
    /// The key of a section has a value of another type.
    #[error("must be a section, not {found}")]
    NotASection {
        /// The value's type.
        found: &'static str,
    },
    /// A section is present under both its name and its deprecated name.
    #[error("is the deprecated name of {name}, which is present too")]
    BothNames {
        /// The section's name.
        name: &'static str,
    },
    /// A name is empty or too long.
    #[error("must have 1 to {max} bytes")]
    NameLength {
        /// The maximum length.
        max: usize,
    },
    /// The advertised address is unspecified or has port 0.
    #[error("is not an address at which other proxies can reach this one")]
    UnreachableAdvertise,
    /// There is no advertised address, and the listening address is unspecified or has port 0.
    #[error("is not an address at which other proxies can reach this one; set advertise")]
    UnreachableListen,
    /// A seed's address is unspecified or has port 0.
    #[error("contains an unspecified address or port 0")]
    UnreachableSeed,
    /// The number of key files is neither one nor two.
    #[error("must name one file, or two during a key rotation")]
    KeyFileCount,
    /// Failed members would be forgotten while they may only be partitioned.
    #[error("must be at least 1min")]
    ForgetFailedTooShort,
    /// The receive buffer is too small or too large.
    #[error("must be 16KiB to 64MiB")]
    ReceiveBufferSize,
}
