//! Descriptors, where connections of clients have taken the last ones.

use rustix::io::Errno;
use std::fs::File;
use std::io;

/// An upgrade needs two at once: a connection that stays, and a file beside it.
const KEPT: usize = 2;

/// Whether it is for want of a descriptor that something failed. Danger: any other reason stays, however many
/// connections are closed for it.
pub fn lacks(e: &io::Error) -> bool {
    matches!(Errno::from_io_error(e), Some(Errno::MFILE | Errno::NFILE))
}

/// Descriptors kept back, to be given up for what must go on whatever clients do.
pub struct ReservedDescriptors(Vec<File>);

impl Default for ReservedDescriptors {
    fn default() -> Self {
        ReservedDescriptors::new()
    }
}

impl ReservedDescriptors {
    pub fn new() -> Self {
        let mut spare = ReservedDescriptors(Vec::new());
        spare.kept();
        spare
    }

    /// Gives one up; whether there was one.
    pub fn give_up(&mut self) -> bool {
        self.0.pop().is_some()
    }

    /// Whether all are there, taken again where they were given up. Danger: were clients accepted first, they
    /// would never be.
    pub fn kept(&mut self) -> bool {
        while self.0.len() < KEPT {
            match File::open("/dev/null") {
                Ok(file) => self.0.push(file),
                Err(e) => return !lacks(&e),
            }
        }
        true
    }
}

/// Whether a descriptor can be opened.
pub fn is_descriptor_available() -> bool {
    !File::open("/dev/null").is_err_and(|e| lacks(&e))
}
