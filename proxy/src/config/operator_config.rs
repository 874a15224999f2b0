//! The operator's TOML file, with the key files that it names.

use crankmux_membership::authentication::MIN_KEY_LENGTH;
use crankmux_operator_config::{ClusterOptions, ConfigurationError, OperatorConfig};
use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::{Path, PathBuf};

/// A valid operator configuration, and what was read from the files that it names.
#[derive(Default)]
pub struct LoadedOperatorConfig {
    /// The cluster's options and keys, where the file has that section.
    pub cluster: Option<LoadedClusterOptions>,
}

/// The cluster's options, and its keys in the order of their files.
pub struct LoadedClusterOptions {
    /// The section as read.
    pub options: ClusterOptions,
    /// The keys that authenticate datagrams.
    pub keys: Vec<String>,
}

/// Why an operator configuration was rejected. Its message has one line for each fault, which starts with the
/// file's name.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The operator's file.
        path: PathBuf,
        /// Why it could not be read.
        source: io::Error,
    },
    /// The file's text is faulty.
    #[error("{}", OneLineEach { path, faults })]
    Invalid {
        /// The operator's file.
        path: PathBuf,
        /// All that is wrong with it, by line.
        faults: Vec<ConfigurationError>,
    },
    /// Files of keys that it names are faulty.
    #[error("{}", OneLineEach { path, faults })]
    KeyFiles {
        /// The operator's file.
        path: PathBuf,
        /// One for each faulty file.
        faults: Vec<KeyFileError>,
    },
}

/// Why a key cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("fleet.key-files: {file}: {source}")]
    Unreadable {
        /// The key's file as the operator's file names it.
        file: String,
        /// Why it could not be read.
        source: io::Error,
    },
    /// The key is too short to be safe.
    #[error("fleet.key-files: {file}: a key has {MIN_KEY_LENGTH} characters at least")]
    TooShort {
        /// The key's file as the operator's file names it.
        file: String,
    },
}

/// Shows faults of a file, each on a line of its own.
struct OneLineEach<'a, T> {
    path: &'a Path,
    faults: &'a [T],
}

impl<T: Display> Display for OneLineEach<'_, T> {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{}: {fault}", self.path.display())?;
        }
        Ok(())
    }
}

/// Loads the file that `CRANKMUX_CHARTER` names; without it every option is off.
///
/// # Errors
///
/// All that is wrong with it.
pub fn load() -> Result<LoadedOperatorConfig, OperatorConfigError> {
    match std::env::var_os("CRANKMUX_CHARTER") {
        Some(path) => load_file(Path::new(&path)),
        None => Ok(LoadedOperatorConfig::default()),
    }
}

/// Loads an operator configuration from its file.
///
/// # Errors
///
/// All that is wrong with it.
pub fn load_file(path: &Path) -> Result<LoadedOperatorConfig, OperatorConfigError> {
    let text = std::fs::read_to_string(path).map_err(|source| OperatorConfigError::Unreadable {
        path: path.into(),
        source,
    })?;
    let config = OperatorConfig::read(&text).map_err(|faults| OperatorConfigError::Invalid {
        path: path.into(),
        faults,
    })?;
    let Some(options) = config.fleet else {
        return Ok(LoadedOperatorConfig::default());
    };
    let keys = read_keys(path, &options)?;
    Ok(LoadedOperatorConfig {
        cluster: Some(LoadedClusterOptions { options, keys }),
    })
}

/// Reads the keys from their files, which stand beside the operator's file unless a path leads elsewhere.
fn read_keys(path: &Path, options: &ClusterOptions) -> Result<Vec<String>, OperatorConfigError> {
    let folder = path.parent().unwrap_or(Path::new("."));
    let mut keys = Vec::new();
    let mut faults = Vec::new();
    for file in &options.key_files {
        match read_key(folder, file) {
            Ok(key) => keys.push(key),
            Err(fault) => faults.push(fault),
        }
    }
    if faults.is_empty() {
        return Ok(keys);
    }
    Err(OperatorConfigError::KeyFiles {
        path: path.into(),
        faults,
    })
}

fn read_key(folder: &Path, file: &str) -> Result<String, KeyFileError> {
    let file = file.to_string();
    let text = match std::fs::read_to_string(folder.join(&file)) {
        Ok(text) => text,
        Err(source) => return Err(KeyFileError::Unreadable { file, source }),
    };
    let key = text.trim();
    if key.len() < MIN_KEY_LENGTH {
        return Err(KeyFileError::TooShort { file });
    }
    Ok(key.to_string())
}
