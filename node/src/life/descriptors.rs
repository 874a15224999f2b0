//! Descriptors, where connections of clients have taken the last ones.

use crate::proxy::Proxy;
use std::fs::File;

/// An upgrade needs two at once: a connection that stays, and a file beside it.
const KEPT: usize = 2;

/// Descriptors kept back, to be given up for what must go on whatever clients do.
pub struct Spare(Vec<File>);

impl Spare {
    pub fn new() -> Self {
        let mut spare = Spare(Vec::new());
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
            let Ok(file) = File::open("/dev/null") else { return false };
            self.0.push(file);
        }
        true
    }
}

impl Proxy {
    /// Makes room for one more descriptor; whether there is. Danger: clients hold the last one, and the list is
    /// not asked for, a suspension not read, a new configuration turned down, an upgrade not handed over.
    pub fn free_descriptor(&mut self) -> bool {
        let free = File::open("/dev/null").is_ok();
        let freed = free || self.spare.give_up() || self.drop_longest_idle() || self.drop_idle_client();
        if !freed {
            log::warn!("no descriptor is left, and nobody stands idle");
        }
        freed
    }
}
