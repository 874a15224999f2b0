//! Errors in the settings.

/// An error in the settings. The message names the key as it is written in the settings.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A required setting is missing.
    #[error("setting {setting} is missing (on the wire: {key})")]
    Missing {
        /// The name of the setting.
        setting: String,
        /// Its key on the wire.
        key: &'static str,
    },
    /// A required setting is not a number.
    #[error("setting {setting} is not a number (on the wire: {key})")]
    NotANumber {
        /// The name of the setting.
        setting: String,
        /// Its key on the wire.
        key: &'static str,
    },
    /// The idempotency of a request class is missing or unknown.
    #[error("setting {setting} is missing or unknown (on the wire: {key})")]
    UnknownIdempotency {
        /// The name of the setting.
        setting: String,
        /// Its key on the wire.
        key: &'static str,
    },
    /// A value is neither a non-negative number nor a boolean.
    #[error("{0} must be a non-negative number or a boolean")]
    NotANumberOrFlag(String),
    /// A value is missing or not a positive number.
    #[error("{0} must be a positive number")]
    NotPositive(String),
    /// A value is not a non-negative number.
    #[error("{0} must be a non-negative number")]
    Negative(String),
    /// The list of request classes is missing or not a list.
    #[error("{0} is missing or not a list")]
    NotAList(&'static str),
    /// The deduplication scope of a request class is unknown.
    #[error("{0} must be all, zone or cell")]
    UnknownScope(String),
    /// A list of zones or machine classes is not a list of names.
    #[error("{0} must be a list of names")]
    NotAListOfNames(String),
    /// The name of a request class is missing or empty.
    #[error("{0} is missing or empty")]
    MissingName(String),
    /// The load reporting method is unknown.
    #[error("{0} must be piggyback, pull or silent")]
    UnknownReporting(&'static str),
    /// Load is to be reported to probes, but probes are disabled.
    #[error("{0} is pull, but Limits.Probes does not allow probes")]
    ProbesNotAllowed(&'static str),
    /// The number of this proxy is not less than the number of proxies.
    #[error("{0} must be less than GroupSize")]
    ProxyNumberTooHigh(&'static str),
}
