//! Request ids claimed among the processes of a proxy: one symbolic link each in a directory that all of them share. To
//! create a link is atomic, takes no file descriptor and waits for no other process.

use super::RequestIdHash;
use std::collections::HashMap;
use std::fs;
use std::io::{self, ErrorKind};
use std::os::unix::fs::symlink;
use std::path::PathBuf;

/// The target of each link, which does not exist.
const LINK_TARGET: &str = "claimed";

/// The result of a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClaimOutcome {
    /// This process has the id, or no claim could be made at all.
    Granted,
    /// Another process has the id.
    Taken,
}

/// The ids that this process has claimed.
pub(super) struct Claims {
    directory: PathBuf,
    /// How many requests of this process have each id: one that is abandoned may still have an attempt in flight when the
    /// next one comes.
    held: HashMap<RequestIdHash, usize>,
    has_failed: bool,
}

impl Claims {
    /// Opens the directory, creating it if it does not exist.
    pub(super) fn open(directory: PathBuf) -> Self {
        let created = fs::create_dir(&directory);
        let mut claims = Claims {
            directory,
            held: HashMap::new(),
            has_failed: false,
        };
        if let Err(error) = created {
            if error.kind() != ErrorKind::AlreadyExists {
                claims.report(&error);
            }
        }
        claims
    }

    /// Claims an id for a request. Where no claim can be made, the request is served all the same.
    pub(super) fn claim(&mut self, id: RequestIdHash) -> ClaimOutcome {
        if !self.held.contains_key(&id) {
            match symlink(LINK_TARGET, self.path(id)) {
                Ok(()) => {}
                Err(error) if error.kind() == ErrorKind::AlreadyExists => {
                    return ClaimOutcome::Taken;
                }
                Err(error) => self.report(&error),
            }
        }
        *self.held.entry(id).or_insert(0) += 1;
        ClaimOutcome::Granted
    }

    /// Releases the claim of one request. The link stays if the id is refused from now on.
    pub(super) fn release(&mut self, id: RequestIdHash, is_refused: bool) {
        let Some(count) = self.held.get_mut(&id) else {
            return;
        };
        *count -= 1;
        if *count > 0 {
            return;
        }
        self.held.remove(&id);
        if !is_refused {
            if let Err(error) = fs::remove_file(self.path(id)) {
                self.report(&error);
            }
        }
    }

    /// The ids that other processes have claimed. Removes the directory.
    pub(super) fn take_foreign(mut self) -> Vec<RequestIdHash> {
        let foreign = self.read_foreign().unwrap_or_else(|error| {
            self.report(&error);
            Vec::new()
        });
        if let Err(error) = fs::remove_dir_all(&self.directory) {
            self.report(&error);
        }
        foreign
    }

    fn read_foreign(&self) -> io::Result<Vec<RequestIdHash>> {
        let mut foreign = Vec::new();
        for link in fs::read_dir(&self.directory)? {
            let name = link?.file_name();
            let id = name.to_str().and_then(RequestIdHash::from_hex);
            foreign.extend(id.filter(|id| !self.held.contains_key(id)));
        }
        Ok(foreign)
    }

    fn path(&self, id: RequestIdHash) -> PathBuf {
        self.directory.join(id.to_hex())
    }

    /// Logs the first error: without a directory every request would have one.
    fn report(&mut self, error: &io::Error) {
        if !std::mem::replace(&mut self.has_failed, true) {
            log::warn!(
                "request ids are not shared with the other process: {}: {error}",
                self.directory.display()
            );
        }
    }
}
