//! The file that passes state from an older process to a newer one.

use super::LearnedStateSnapshot;
use crate::lenient_json;
use crate::lifecycle::state_directory::StateDirectory;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::io;
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "handed.json";

/// The state that a newer process starts with. Fields are sorted by their stored names, which is their order in the
/// file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default)]
pub struct HandoverSnapshot {
    /// The learned state of the dispatcher.
    #[serde(rename = "learnt", deserialize_with = "lenient_json::object")]
    pub learned_state: LearnedStateSnapshot,
    /// The latest endpoint list in the format of discovery, or null.
    #[serde(rename = "list")]
    pub endpoint_list: Value,
    /// Hashes of all endpoints that were ever listed.
    #[serde(rename = "once", deserialize_with = "lenient_json::unsigned_list")]
    pub ever_listed: Vec<u64>,
    /// Hashes of request ids that must not be executed again, in hexadecimal.
    #[serde(
        rename = "refused",
        skip_serializing_if = "Vec::is_empty",
        deserialize_with = "lenient_json::string_list"
    )]
    pub refused_request_ids: Vec<String>,
}

impl HandoverSnapshot {
    /// Parses the file. Truncated or invalid parts count as absent, so that the configured endpoint list and a fresh
    /// state are used instead.
    pub fn parse(text: &[u8]) -> Self {
        lenient_json::read_object(serde_json::from_slice(text).unwrap_or_default())
    }

    pub(super) fn store(&self, path: &Path) -> io::Result<()> {
        let text = serde_json::to_vec(self)?;
        std::fs::write(path, text)
    }

    pub(super) fn load_and_remove(path: &Path) -> Self {
        let snapshot = Self::parse(&std::fs::read(path).unwrap_or_default());
        let _ = std::fs::remove_file(path);
        snapshot
    }

    /// The path of the file; `None` without a state directory.
    pub(super) fn path(state_directory: &StateDirectory) -> Option<PathBuf> {
        state_directory.path(FILE_NAME)
    }
}
