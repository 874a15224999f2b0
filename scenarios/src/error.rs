//! Errors of the commands.

use crate::cluster::ClusterError;
use crate::soak::SoakCommandError;
use crankmux_simulator::policies::PolicyError;
use crankmux_simulator::script::ScriptError;
use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Exit code for an invalid script or argument.
const INVALID_INPUT: u8 = 2;
/// Exit code for any other error.
const OTHER_FAILURE: u8 = 1;

/// Errors of the commands.
#[derive(Debug, Error)]
pub enum CommandError {
    /// No built-in script has this name.
    #[error("{name}: unknown script; use --list to show the built-in scripts")]
    UnknownScript {
        /// Name as given.
        name: String,
    },
    /// The file of a script cannot be read.
    #[error("{path}: {source}")]
    UnreadableScript {
        /// Path of the file.
        path: String,
        /// Cause of the failure.
        source: io::Error,
    },
    /// The script is invalid.
    #[error("{name}: {source}")]
    InvalidScript {
        /// Name or path of the script.
        name: String,
        /// Line and reason.
        source: ScriptError,
    },
    /// No policy has this name.
    #[error("--by {name}: unknown policy")]
    UnknownPolicy {
        /// Name as given.
        name: String,
    },
    /// The settings derived from the script are invalid.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The results cannot be serialized to JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The report cannot be written.
    #[error("{}: {source}", directory.display())]
    UnwritableReport {
        /// Directory of the report.
        directory: PathBuf,
        /// Cause of the failure.
        source: ReportError,
    },
    /// Error of the `cluster` command.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// Error of the `soak` command.
    #[error(transparent)]
    Soak(#[from] SoakCommandError),
}

impl CommandError {
    /// Exit code of the program for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CommandError::UnknownScript { .. }
            | CommandError::UnreadableScript { .. }
            | CommandError::InvalidScript { .. }
            | CommandError::UnknownPolicy { .. }
            | CommandError::Policy(_) => INVALID_INPUT,
            CommandError::Json(_) | CommandError::UnwritableReport { .. } => OTHER_FAILURE,
            CommandError::Cluster(error) => error.exit_code(),
            CommandError::Soak(error) => error.exit_code(),
        }
    }
}

/// Errors of writing a report.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file or folder cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] DrawingAreaErrorKind<io::Error>),
}
