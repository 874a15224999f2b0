//! Why a command fails.

use crate::cluster::ClusterError;
use crate::soak::SoakCommandError;
use crankmux_simulator::policies::PolicyError;
use crankmux_simulator::script::ScriptError;
use plotters::drawing::DrawingAreaErrorKind;
use std::io;
use std::path::PathBuf;
use thiserror::Error;

/// Exit code of an invalid script or argument.
const INVALID_INPUT: u8 = 2;
/// Exit code of any other failure.
const OTHER_FAILURE: u8 = 1;

/// Why a command fails.
#[derive(Debug, Error)]
pub enum CommandError {
    /// No script that ships has this name.
    #[error("{name}: no such script; --list names them")]
    UnknownScript {
        /// The name.
        name: String,
    },
    /// A script's file cannot be read.
    #[error("{path}: {source}")]
    UnreadableScript {
        /// The file.
        path: String,
        /// Why.
        source: io::Error,
    },
    /// A script is invalid.
    #[error("{name}: {source}")]
    InvalidScript {
        /// Its name or file.
        name: String,
        /// Where and why.
        source: ScriptError,
    },
    /// No policy has this name.
    #[error("--by {name}: no such chooser")]
    UnknownPolicy {
        /// The name.
        name: String,
    },
    /// A policy cannot be made from the script's settings.
    #[error(transparent)]
    Policy(#[from] PolicyError),
    /// The results cannot be written as JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The report cannot be written.
    #[error("{}: {source}", folder.display())]
    UnwritableReport {
        /// Its folder.
        folder: PathBuf,
        /// Why.
        source: ReportError,
    },
    /// The command `cluster` failed.
    #[error(transparent)]
    Cluster(#[from] ClusterError),
    /// The command `soak` failed.
    #[error(transparent)]
    Soak(#[from] SoakCommandError),
}

impl CommandError {
    /// The exit code of the program.
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

/// Why a report cannot be written.
#[derive(Debug, Error)]
pub enum ReportError {
    /// A file or folder cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A chart cannot be drawn.
    #[error(transparent)]
    Chart(#[from] DrawingAreaErrorKind<io::Error>),
}
