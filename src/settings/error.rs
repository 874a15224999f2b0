//! What can be wrong with the settings.

/// A fault in the settings; its text names the key as the operators write it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// A setting that the decisions cannot do without is absent.
    #[error("setting {setting} is missing (on the wire: {key})")]
    Missing {
        /// The name of the setting.
        setting: String,
        /// Its key on the wire.
        key: &'static str,
    },
    /// A setting that the decisions cannot do without is of another type.
    #[error("setting {setting} is not a number (on the wire: {key})")]
    NotANumber {
        /// The name of the setting.
        setting: String,
        /// Its key on the wire.
        key: &'static str,
    },
    /// A request class does not say whether its requests may be repeated.
    #[error("setting {setting} is missing or unknown (on the wire: {key})")]
    UnknownIdempotency {
        /// The name of the setting.
        setting: String,
        /// Its key on the wire.
        key: &'static str,
    },
    /// A number or flag is negative, or neither.
    #[error("{0} is no number from 0 and neither true nor false")]
    NotANumberOrFlag(String),
    /// A number is zero, negative, absent or something else.
    #[error("{0} is no number above 0")]
    NotPositive(String),
    /// A number is negative, or something else.
    #[error("{0} is no number from 0")]
    Negative(String),
    /// There is no list of request classes.
    #[error("{0} is missing or no list")]
    NoList(&'static str),
    /// The scope of deduplication is none of those known.
    #[error("{0} is none of all, zone and cell")]
    UnknownScope(String),
    /// A list of places holds something that is no name, or is no list.
    #[error("{0} is no list of names")]
    NotNames(String),
    /// A request class has no name.
    #[error("{0} is missing or no name")]
    NoName(String),
    /// The way in which endpoints report their load is none of those known.
    #[error("{0} is none of piggyback, pull and silent")]
    UnknownReporting(&'static str),
    /// Load is to be asked for, but may not be.
    #[error("{0} is pull, but Limits.Probes allows no probe")]
    ProbesNotAllowed(&'static str),
    /// The number of this proxy is not under the number of proxies.
    #[error("{0} is not under GroupSize")]
    ProxyNumberTooHigh(&'static str),
}
