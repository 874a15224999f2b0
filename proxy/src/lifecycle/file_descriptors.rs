//! File descriptors, where connections of clients have taken the last ones.

use rustix::io::Errno;
use std::fs::File;
use std::io;

/// An upgrade needs two at once: a connection that stays open, and a file beside it.
const RESERVED: usize = 2;
/// A file that every process may open.
const PLACEHOLDER: &str = "/dev/null";

/// Whether something failed for want of a file descriptor. Closing connections helps against no other failure.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE)
    )
}

/// File descriptors held in reserve, to be released for what must go on whatever clients do.
pub struct ReservedDescriptors(Vec<File>);

impl Default for ReservedDescriptors {
    fn default() -> Self {
        ReservedDescriptors::new()
    }
}

impl ReservedDescriptors {
    /// Reserves as many as there are to have.
    pub fn new() -> Self {
        let mut reserved = ReservedDescriptors(Vec::new());
        reserved.replenish();
        reserved
    }

    /// Releases one; whether there was one.
    pub fn release_one(&mut self) -> bool {
        self.0.pop().is_some()
    }

    /// Takes back what was released; whether the reserve is full. To be called before clients are accepted:
    /// they would take each descriptor that becomes free, and the reserve would stay empty.
    pub fn replenish(&mut self) -> bool {
        while self.0.len() < RESERVED {
            match File::open(PLACEHOLDER) {
                Ok(file) => self.0.push(file),
                Err(error) => return !is_out_of_descriptors(&error),
            }
        }
        true
    }
}

/// Whether a descriptor can be opened.
pub fn is_descriptor_available() -> bool {
    !File::open(PLACEHOLDER).is_err_and(|error| is_out_of_descriptors(&error))
}
