//! Errors in the input of the adapter.

use crankmux::settings::SettingsError;
use std::io;

/// An error that terminates the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    #[error("cannot read a batch")]
    Read(#[source] io::Error),
    #[error("cannot write a reply")]
    Write(#[source] io::Error),
    #[error("batch is not valid JSON")]
    InvalidJson(#[source] serde_json::Error),
    #[error("batch: NowMs is missing or not a number")]
    MissingClock,
    #[error("batch: news is not an array")]
    EventsNotAnArray,
    #[error("event is not an array")]
    EventNotAnArray,
    #[error("event has no name")]
    MissingEventName,
    #[error("Announce: entry is not an array")]
    EntryNotAnArray,
    #[error("{message}: {field} is missing or invalid")]
    InvalidField {
        message: String,
        field: &'static str,
    },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
