//! The state directory: what a node keeps over a crash and an upgrade, under `TMPDIR`. It carries the node's
//! name; in it stands one file for each suspended server, named by the server's number.

use rustix::process::geteuid;
use std::fs::{self, DirBuilder};
use std::io;
use std::os::unix::fs::{DirBuilderExt, MetadataExt};
use std::path::{Path, PathBuf};

const BAN: &str = "suspended-";

pub struct StateDirectory {
    /// None where it can't be kept.
    folder: Option<PathBuf>,
}

/// A node's name as a file's: short, and without what a path would read otherwise.
fn plain(name: &str) -> String {
    let fine = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
    if !name.is_empty() && name.len() <= 40 && name.chars().all(fine) {
        name.to_string()
    } else {
        format!("{:016x}", crate::endpoint_list::stable_hash(name))
    }
}

fn made(folder: &Path) -> io::Result<()> {
    match DirBuilder::new().mode(0o700).create(folder) {
        Err(e) if e.kind() != io::ErrorKind::AlreadyExists => return Err(e),
        _ => {}
    }
    // Danger: in a folder that all may write to, another user's directory of that name would decide what we
    // use.
    let found = fs::symlink_metadata(folder)?;
    if !found.is_dir() || found.uid() != geteuid().as_raw() {
        return Err(io::Error::other("it is another's"));
    }
    Ok(())
}

impl StateDirectory {
    pub fn of(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("crankmux-{}", plain(name)));
        match made(&folder) {
            Ok(()) => StateDirectory {
                folder: Some(folder),
            },
            Err(e) => {
                log::warn!(
                    "no state directory {}: {e}; no server can be suspended",
                    folder.display()
                );
                StateDirectory { folder: None }
            }
        }
    }

    pub fn path(&self, file: &str) -> Option<PathBuf> {
        Some(self.folder.as_ref()?.join(file))
    }

    /// Notes that a server is suspended. The name alone says so: a file torn or empty counts like any.
    pub fn ban(&self, mark: u64, id: &str) -> io::Result<()> {
        let path = self
            .path(&format!("{BAN}{mark:016x}"))
            .ok_or(io::ErrorKind::NotFound)?;
        // Made first: the text is for whoever looks in, and may not fit.
        fs::File::create(&path)?;
        let _ = fs::write(&path, id.chars().take(300).collect::<String>() + "\n");
        Ok(())
    }

    pub fn lift(&self, mark: u64) -> io::Result<()> {
        let path = self
            .path(&format!("{BAN}{mark:016x}"))
            .ok_or(io::ErrorKind::NotFound)?;
        match fs::remove_file(path) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Numbers of the suspended servers, as the files say now; none where they can't be read.
    pub fn bans(&self) -> Option<Vec<u64>> {
        let files = fs::read_dir(self.folder.as_ref()?).ok()?;
        let names = files.filter_map(|file| file.ok()?.file_name().into_string().ok());
        let mut marks: Vec<u64> = names
            .filter_map(|name| u64::from_str_radix(name.strip_prefix(BAN)?, 16).ok())
            .collect();
        marks.sort_unstable();
        Some(marks)
    }
}
