//! The state directory: what a proxy keeps over a crash and an upgrade. It stands under `TMPDIR` and carries the
//! proxy's name; in it is one file for each endpoint that an operator disabled, named by the endpoint's hash.

use rustix::process::geteuid;
use std::fs::{self, DirBuilder};
use std::io;
use std::os::unix::fs::{DirBuilderExt, MetadataExt};
use std::path::{Path, PathBuf};

/// How the name of a disabled endpoint's file begins; its hash follows in hexadecimal digits.
const DISABLED_PREFIX: &str = "suspended-";
/// The most characters of an endpoint's id that its file holds.
const MAX_ID_LENGTH: usize = 300;
/// The longest name of a proxy that is used as it is.
const MAX_NAME_LENGTH: usize = 40;

/// Why there is no state directory, or a file in it could not be changed.
#[derive(Debug, thiserror::Error)]
pub enum StateDirectoryError {
    /// A directory or file cannot be made, read or removed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// There is a directory of that name, but it belongs to another user, or it is no directory.
    #[error("it is not a directory of this user")]
    NotOwned,
    /// The process runs without a state directory.
    #[error("there is no state directory")]
    Unavailable,
}

/// The directory of one proxy; all its processes share it.
pub struct StateDirectory {
    /// None where there can be no such directory.
    folder: Option<PathBuf>,
}

impl StateDirectory {
    /// Opens the directory of a proxy, which is made if need be. Without one the proxy goes on, but can neither
    /// disable endpoints nor hand over to a newer process.
    pub fn open(proxy_name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("crankmux-{}", file_name(proxy_name)));
        match create(&folder) {
            Ok(()) => StateDirectory {
                folder: Some(folder),
            },
            Err(error) => {
                log::warn!(
                    "no state directory {}: {error}; no server can be suspended",
                    folder.display()
                );
                StateDirectory { folder: None }
            }
        }
    }

    /// Where a file of the directory stands; none without a directory.
    pub fn path(&self, file: &str) -> Option<PathBuf> {
        Some(self.folder.as_ref()?.join(file))
    }

    /// Stores that an endpoint is disabled. The file's name alone says so: one that is torn or empty counts like
    /// any.
    ///
    /// # Errors
    ///
    /// There is no directory, or the file cannot be made.
    pub fn store_disabled(&self, stable_hash: u64, id: &str) -> Result<(), StateDirectoryError> {
        let path = self.disabled_path(stable_hash)?;
        fs::File::create(&path)?;
        // The text is for whoever looks at the directory; the disk may have no room for it.
        let text = id.chars().take(MAX_ID_LENGTH).collect::<String>() + "\n";
        let _ = fs::write(&path, text);
        Ok(())
    }

    /// Stores that an endpoint is enabled again.
    ///
    /// # Errors
    ///
    /// There is no directory, or the file cannot be removed.
    pub fn store_enabled(&self, stable_hash: u64) -> Result<(), StateDirectoryError> {
        match fs::remove_file(self.disabled_path(stable_hash)?) {
            Err(error) if error.kind() != io::ErrorKind::NotFound => Err(error.into()),
            _ => Ok(()),
        }
    }

    /// Hashes of the disabled endpoints, sorted, as the files say now. Without a directory there is none.
    ///
    /// # Errors
    ///
    /// The directory cannot be read, or not to its end: an endpoint of which the file was not seen may be disabled.
    pub fn disabled_endpoints(&self) -> Result<Vec<u64>, StateDirectoryError> {
        let Some(folder) = &self.folder else {
            return Ok(Vec::new());
        };
        let mut hashes = Vec::new();
        for file in fs::read_dir(folder)? {
            let name = file?.file_name();
            hashes.extend(name.to_str().and_then(disabled_hash));
        }
        hashes.sort_unstable();
        Ok(hashes)
    }

    fn disabled_path(&self, stable_hash: u64) -> Result<PathBuf, StateDirectoryError> {
        self.path(&format!("{DISABLED_PREFIX}{stable_hash:016x}"))
            .ok_or(StateDirectoryError::Unavailable)
    }
}

/// The endpoint that a file of this name keeps disabled; none where it is another file.
fn disabled_hash(file_name: &str) -> Option<u64> {
    let digits = file_name.strip_prefix(DISABLED_PREFIX)?;
    u64::from_str_radix(digits, 16).ok()
}

/// A proxy's name as a file's: short, and without what a path would read otherwise.
fn file_name(proxy_name: &str) -> String {
    let fits = |letter: char| letter.is_ascii_alphanumeric() || "-_".contains(letter);
    let is_short = !proxy_name.is_empty() && proxy_name.len() <= MAX_NAME_LENGTH;
    if is_short && proxy_name.chars().all(fits) {
        proxy_name.to_string()
    } else {
        format!("{:016x}", crate::endpoint_list::stable_hash(proxy_name))
    }
}

fn create(folder: &Path) -> Result<(), StateDirectoryError> {
    if let Err(error) = DirBuilder::new().mode(0o700).create(folder) {
        if error.kind() != io::ErrorKind::AlreadyExists {
            return Err(error.into());
        }
    }
    // All users may write to the folder of temporary files: another one's directory of that name, or a link,
    // would decide what this proxy does.
    let found = fs::symlink_metadata(folder)?;
    if !found.is_dir() || found.uid() != geteuid().as_raw() {
        return Err(StateDirectoryError::NotOwned);
    }
    Ok(())
}
