//! Descriptors held in reserve.

use super::{is_out_of_descriptors, DescriptorPurpose, PLACEHOLDER};
use std::fmt;
use std::fs::File;

/// An upgrade needs two at once: a connection that stays open, and a file beside it.
const RESERVED: usize = 2;

/// File descriptors held in reserve, to be released for what must go on whatever clients do.
pub struct ReservedDescriptors {
    held: Vec<File>,
    /// What the others were released for, since the reserve was last full.
    released_for: Vec<DescriptorPurpose>,
}

impl Default for ReservedDescriptors {
    fn default() -> Self {
        ReservedDescriptors::new()
    }
}

impl ReservedDescriptors {
    /// Reserves as many as there are to have.
    pub fn new() -> Self {
        let mut reserved = ReservedDescriptors {
            held: Vec::new(),
            released_for: Vec::new(),
        };
        reserved.replenish();
        reserved
    }

    /// Releases one for a purpose; whether there was one.
    pub fn release_one(&mut self, purpose: DescriptorPurpose) -> bool {
        let is_released = self.held.pop().is_some();
        if is_released {
            self.released_for.push(purpose);
        }
        is_released
    }

    /// Takes back what was released; whether the reserve is full. To be called before clients are accepted:
    /// they would take each descriptor that becomes free, and the reserve would stay empty.
    pub fn replenish(&mut self) -> bool {
        while self.held.len() < RESERVED {
            match File::open(PLACEHOLDER) {
                Ok(file) => self.held.push(file),
                Err(error) => return !is_out_of_descriptors(&error),
            }
        }
        self.released_for.clear();
        true
    }
}

impl fmt::Display for ReservedDescriptors {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} of {RESERVED}", self.held.len())?;
        for purpose in &self.released_for {
            write!(formatter, ", one released for {purpose}")?;
        }
        Ok(())
    }
}
