//! The state directory: state of a proxy that persists across crashes and upgrades. It is located in `TMPDIR`, is
//! named after the proxy, and holds one file per disabled endpoint, named after the endpoint's hash.

use rustix::process::geteuid;
use std::fs::{self, DirBuilder};
use std::io;
use std::os::unix::fs::{DirBuilderExt, MetadataExt};
use std::path::{Path, PathBuf};

/// File name prefix of a disabled endpoint, followed by the endpoint's hash in hexadecimal.
const DISABLED_PREFIX: &str = "suspended-";
/// Longer endpoint ids are truncated in the file.
const MAX_ID_LENGTH: usize = 300;
/// Longer proxy names are replaced by their hash.
const MAX_NAME_LENGTH: usize = 40;

/// An error of the state directory or a file in it.
#[derive(Debug, thiserror::Error)]
pub enum StateDirectoryError {
    /// A directory or file cannot be created, read or removed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The path is not a directory, or belongs to another user.
    #[error("it is not a directory owned by this user")]
    NotOwned,
    /// The process runs without a state directory.
    #[error("there is no state directory")]
    Unavailable,
}

/// The state directory of a proxy, shared by all its processes.
pub struct StateDirectory {
    /// `None` if the directory is not available.
    directory: Option<PathBuf>,
}

impl StateDirectory {
    /// Opens the directory of a proxy, creating it if it does not exist. Without a directory the proxy runs, but can
    /// neither disable endpoints nor hand over to a newer process.
    pub fn open(proxy_name: &str) -> Self {
        let directory =
            std::env::temp_dir().join(format!("crankmux-{}", directory_name(proxy_name)));
        match create_directory(&directory) {
            Ok(()) => StateDirectory {
                directory: Some(directory),
            },
            Err(error) => {
                log::warn!(
                    "no state directory {}: {error}; cannot disable endpoints or hand over to a newer process",
                    directory.display()
                );
                StateDirectory { directory: None }
            }
        }
    }

    /// The path of a file in the directory; `None` without a directory.
    pub fn path(&self, file: &str) -> Option<PathBuf> {
        Some(self.directory.as_ref()?.join(file))
    }

    /// Stores that an endpoint is disabled. Only the file's name matters, not its content.
    ///
    /// # Errors
    ///
    /// Fails without a directory, or if the file cannot be created.
    pub fn store_disabled(&self, stable_hash: u64, id: &str) -> Result<(), StateDirectoryError> {
        let path = self.disabled_path(stable_hash)?;
        fs::File::create(&path)?;
        // The content is informational and may be lost on a full disk.
        let text = id.chars().take(MAX_ID_LENGTH).collect::<String>() + "\n";
        let _ = fs::write(&path, text);
        Ok(())
    }

    /// Stores that an endpoint is enabled again.
    ///
    /// # Errors
    ///
    /// Fails without a directory, or if the file cannot be removed.
    pub fn store_enabled(&self, stable_hash: u64) -> Result<(), StateDirectoryError> {
        match fs::remove_file(self.disabled_path(stable_hash)?) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error.into()),
            _ => Ok(()),
        }
    }

    /// Reads the sorted hashes of the disabled endpoints; empty without a directory.
    ///
    /// # Errors
    ///
    /// Fails if the directory cannot be read completely: an endpoint whose file was not seen may be disabled.
    pub fn disabled_endpoints(&self) -> Result<Vec<u64>, StateDirectoryError> {
        let Some(directory) = &self.directory else {
            return Ok(Vec::new());
        };
        let mut hashes = Vec::new();
        for file in fs::read_dir(directory)? {
            let name = file?.file_name();
            hashes.extend(name.to_str().and_then(parse_disabled_hash));
        }
        hashes.sort_unstable();
        Ok(hashes)
    }

    fn disabled_path(&self, stable_hash: u64) -> Result<PathBuf, StateDirectoryError> {
        self.path(&format!("{DISABLED_PREFIX}{stable_hash:016x}"))
            .ok_or(StateDirectoryError::Unavailable)
    }
}

/// Parses the endpoint hash from the name of its file; `None` for any other file.
fn parse_disabled_hash(file_name: &str) -> Option<u64> {
    let digits = file_name.strip_prefix(DISABLED_PREFIX)?;
    u64::from_str_radix(digits, 16).ok()
}

/// A file name for a proxy: its name, or the hash of a name that is long or has other characters.
fn directory_name(proxy_name: &str) -> String {
    let is_allowed = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    let has_valid_length = !proxy_name.is_empty() && proxy_name.len() <= MAX_NAME_LENGTH;
    if has_valid_length && proxy_name.chars().all(is_allowed) {
        proxy_name.to_string()
    } else {
        format!("{:016x}", crate::endpoint_list::stable_hash(proxy_name))
    }
}

fn create_directory(directory: &Path) -> Result<(), StateDirectoryError> {
    if let Err(error) = DirBuilder::new().mode(0o700).create(directory) {
        if error.kind() != io::ErrorKind::AlreadyExists {
            return Err(error.into());
        }
    }
    // Any user can write to the temporary directory. A symlink or another user's directory must not be trusted.
    let metadata = fs::symlink_metadata(directory)?;
    if !metadata.is_dir() || metadata.uid() != geteuid().as_raw() {
        return Err(StateDirectoryError::NotOwned);
    }
    Ok(())
}
