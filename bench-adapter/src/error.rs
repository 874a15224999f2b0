//! What can be wrong with the bench's input.

use crankmux::settings::SettingsError;
use std::io;

/// A fault that ends the adapter.
#[derive(Debug, thiserror::Error)]
pub(crate) enum AdapterError {
    #[error("batch cannot be read")]
    Read(#[source] io::Error),
    #[error("reply not written")]
    Write(#[source] io::Error),
    #[error("batch is not valid JSON")]
    InvalidJson(#[source] serde_json::Error),
    #[error("batch lacks its clock NowMs")]
    MissingClock,
    #[error("news of the batch is not an array")]
    EventsNotAnArray,
    #[error("an event is not an array")]
    EventNotAnArray,
    #[error("an event lacks its name")]
    MissingEventName,
    #[error("Announce: an entry is not an array")]
    EntryNotAnArray,
    #[error("{message}: {field} is missing or of the wrong form")]
    InvalidField {
        message: String,
        field: &'static str,
    },
    #[error(transparent)]
    Settings(#[from] SettingsError),
}
