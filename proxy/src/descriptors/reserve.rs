//! Descriptors held in reserve for each purpose.

use super::{is_out_of_descriptors, DescriptorPurpose, PLACEHOLDER_PATH};
use std::fmt;
use std::fs::File;

/// File descriptors held open on a placeholder file, separately for each purpose. Code that opens a descriptor first
/// releases one of its purpose, and has the reserve replenished when the descriptor is closed again.
///
/// A pool shared by all purposes would guarantee nothing: frequent uses, such as connecting to endpoints, could exhaust
/// it.
#[derive(Default)]
pub struct ReservedDescriptors {
    held: [Vec<File>; DescriptorPurpose::ALL.len()],
}

impl ReservedDescriptors {
    /// Releases one descriptor held for a purpose, if there is one.
    pub fn release(&mut self, purpose: DescriptorPurpose) {
        self.held[purpose.index()].pop();
    }

    /// Holds `count` descriptors for a purpose, or as many as can be opened. Returns false on a shortage.
    pub fn hold(&mut self, purpose: DescriptorPurpose, count: usize) -> bool {
        let held = &mut self.held[purpose.index()];
        held.truncate(count);
        while held.len() < count {
            match File::open(PLACEHOLDER_PATH) {
                Ok(file) => held.push(file),
                Err(error) => return !is_out_of_descriptors(&error),
            }
        }
        true
    }

    /// How many descriptors are held for a purpose.
    pub fn held(&self, purpose: DescriptorPurpose) -> usize {
        self.held[purpose.index()].len()
    }
}

impl fmt::Display for ReservedDescriptors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("reserved")?;
        let reserving = DescriptorPurpose::ALL
            .into_iter()
            .filter(|purpose| *purpose != DescriptorPurpose::Client);
        for purpose in reserving {
            write!(formatter, " {purpose}={}", self.held(purpose))?;
        }
        Ok(())
    }
}
