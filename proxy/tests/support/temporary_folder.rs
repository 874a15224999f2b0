//! A folder for the files of one test.

use std::path::{Path, PathBuf};

/// It is removed at the end, with all that is in it.
pub(crate) struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Makes an empty folder; the name tells it from those of other tests.
    pub(crate) fn new(name: &str) -> Self {
        let name = format!("crankmux-test-{}-{name}", std::process::id());
        let folder = TemporaryFolder(std::env::temp_dir().join(name));
        let _ = std::fs::remove_dir_all(&folder.0);
        std::fs::create_dir_all(&folder.0).expect("a writable folder");
        folder
    }

    pub(crate) fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file in it, and returns the file's path.
    pub(crate) fn write(&self, file: &str, text: impl AsRef<[u8]>) -> PathBuf {
        let path = self.0.join(file);
        std::fs::write(&path, text).expect("written");
        path
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}
