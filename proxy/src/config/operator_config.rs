//! The operator's TOML file and its key files.

use crankmux_membership::authentication::MIN_KEY_LENGTH;
use crankmux_operator_config::{ClusterOptions, ConfigurationError, OperatorConfig};
use std::ffi::OsString;
use std::fmt::{self, Display, Formatter};
use std::io;
use std::path::{Path, PathBuf};

/// The environment variable that names the file.
const PATH_VARIABLE: &str = "CRANKMUX_OPERATOR_CONFIG";
/// The deprecated name of [`PATH_VARIABLE`], read only if the latter is not set.
const DEPRECATED_PATH_VARIABLE: &str = "CRANKMUX_CHARTER";

/// A valid operator configuration with the contents of its key files.
#[derive(Default)]
pub struct LoadedOperatorConfig {
    /// The cluster options and keys, if the file has a cluster section.
    pub cluster: Option<LoadedClusterOptions>,
}

/// The cluster options and keys.
pub struct LoadedClusterOptions {
    /// The options of the cluster section.
    pub options: ClusterOptions,
    /// The datagram authentication keys, in the order of `key-files`.
    pub keys: Vec<String>,
}

/// Why an operator configuration was rejected. The message has one line per error, prefixed by the file's path.
#[derive(Debug, thiserror::Error)]
pub enum OperatorConfigError {
    /// The file cannot be read.
    #[error("{}: {source}", path.display())]
    Unreadable {
        /// The path of the file.
        path: PathBuf,
        /// The I/O error.
        source: io::Error,
    },
    /// The file is invalid.
    #[error("{}", ErrorLines { path, errors })]
    Invalid {
        /// The path of the file.
        path: PathBuf,
        /// All errors in the file, in line order.
        errors: Vec<ConfigurationError>,
    },
    /// Key files cannot be used.
    #[error("{}", ErrorLines { path, errors })]
    KeyFiles {
        /// The path of the file.
        path: PathBuf,
        /// One error per key file.
        errors: Vec<KeyFileError>,
    },
}

/// Why a key file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyFileError {
    /// The file cannot be read.
    #[error("{section}.key-files: {file}: {source}")]
    Unreadable {
        /// The name of the section that lists the key file.
        section: &'static str,
        /// The key file's path as written in the section.
        file: String,
        /// The I/O error.
        source: io::Error,
    },
    /// The key is shorter than [`MIN_KEY_LENGTH`].
    #[error("{section}.key-files: {file}: a key has {MIN_KEY_LENGTH} characters at least")]
    TooShort {
        /// The name of the section that lists the key file.
        section: &'static str,
        /// The key file's path as written in the section.
        file: String,
    },
}

/// Formats errors one per line, each prefixed by the file's path.
struct ErrorLines<'a, T> {
    path: &'a Path,
    errors: &'a [T],
}

impl<T: Display> Display for ErrorLines<'_, T> {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                formatter.write_str("\n")?;
            }
            write!(formatter, "{}: {error}", self.path.display())?;
        }
        Ok(())
    }
}

/// Loads the file named by `CRANKMUX_OPERATOR_CONFIG`. Without the variable all options are off. Logs a warning for
/// each deprecated name.
///
/// # Errors
///
/// Fails if the file cannot be read or is invalid, or if a key file cannot be used.
pub fn load() -> Result<LoadedOperatorConfig, OperatorConfigError> {
    let Some(path) = path_from_environment() else {
        return Ok(LoadedOperatorConfig::default());
    };
    let path = Path::new(&path);
    let config = load_file(path)?;
    let cluster = config.cluster.as_ref();
    if cluster.is_some_and(|cluster| cluster.options.has_deprecated_name()) {
        log::warn!(
            "{}: section [{}] is deprecated; use [{}]",
            path.display(),
            ClusterOptions::DEPRECATED_SECTION_NAME,
            ClusterOptions::SECTION_NAME
        );
    }
    Ok(config)
}

fn path_from_environment() -> Option<OsString> {
    if let Some(path) = std::env::var_os(PATH_VARIABLE) {
        return Some(path);
    }
    let path = std::env::var_os(DEPRECATED_PATH_VARIABLE)?;
    log::warn!("{DEPRECATED_PATH_VARIABLE} is deprecated; use {PATH_VARIABLE}");
    Some(path)
}

/// Loads an operator configuration from a file.
///
/// # Errors
///
/// Fails if the file cannot be read or is invalid, or if a key file cannot be used.
pub fn load_file(path: &Path) -> Result<LoadedOperatorConfig, OperatorConfigError> {
    let text = std::fs::read_to_string(path).map_err(|source| OperatorConfigError::Unreadable {
        path: path.into(),
        source,
    })?;
    let config = OperatorConfig::parse(&text).map_err(|errors| OperatorConfigError::Invalid {
        path: path.into(),
        errors,
    })?;
    let Some(options) = config.cluster else {
        return Ok(LoadedOperatorConfig::default());
    };
    let keys = read_keys(path, &options)?;
    Ok(LoadedOperatorConfig {
        cluster: Some(LoadedClusterOptions { options, keys }),
    })
}

/// Reads the key files. Relative paths are resolved against the directory of the operator's file.
fn read_keys(path: &Path, options: &ClusterOptions) -> Result<Vec<String>, OperatorConfigError> {
    let directory = path.parent().unwrap_or(Path::new("."));
    let mut keys = Vec::new();
    let mut errors = Vec::new();
    for file in &options.key_files {
        match read_key(directory, file, options.section_name) {
            Ok(key) => keys.push(key),
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        return Ok(keys);
    }
    Err(OperatorConfigError::KeyFiles {
        path: path.into(),
        errors,
    })
}

fn read_key(directory: &Path, file: &str, section: &'static str) -> Result<String, KeyFileError> {
    let file = file.to_string();
    let text = match std::fs::read_to_string(directory.join(&file)) {
        Ok(text) => text,
        Err(source) => {
            return Err(KeyFileError::Unreadable {
                section,
                file,
                source,
            })
        }
    };
    let key = text.trim();
    if key.len() < MIN_KEY_LENGTH {
        return Err(KeyFileError::TooShort { section, file });
    }
    Ok(key.to_string())
}
