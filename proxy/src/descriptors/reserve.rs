//! Descriptors held in reserve, by purpose.

use super::{is_out_of_descriptors, DescriptorPurpose, PLACEHOLDER_PATH};
use std::fmt;
use std::fs::File;

/// File descriptors that are held open for one purpose each, so that no other takes them. Whoever opens something
/// releases one of its own purpose first, and has it replenished once the descriptor is closed again.
///
/// A pool that all purposes share guarantees none of them anything: what is never done, such as connecting to
/// endpoints or polling discovery, takes from it what an operator's call needs.
#[derive(Default)]
pub struct ReservedDescriptors {
    held: [Vec<File>; DescriptorPurpose::ALL.len()],
}

impl ReservedDescriptors {
    /// Releases one that is held for a purpose, if there is one.
    pub fn release(&mut self, purpose: DescriptorPurpose) {
        self.held[purpose.index()].pop();
    }

    /// Holds so many for a purpose, or as many as there are to have; whether all are held.
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

    /// How many are held for a purpose.
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
