//! File descriptors, where connections of clients have taken the last ones.
//!
//! - `reserve` holds descriptors back for what must go on whatever clients do, for each purpose apart.
//! - `limit` tells how many the system allows.
//! - `proxy_reserve` keeps the reserve of a running proxy in step with what is open.
//! - `shortage` counts and reports what wanted a descriptor and found none.

mod limit;
mod proxy_reserve;
mod reserve;
mod shortage;

pub use limit::attempt_reserve;
pub use reserve::ReservedDescriptors;
pub use shortage::{DescriptorShortages, DescriptorUsage};

use rustix::io::Errno;
use std::fmt;
use std::io;

/// A file that every process may open.
const PLACEHOLDER_PATH: &str = "/dev/null";

/// What a file descriptor is wanted for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorPurpose {
    /// A client's connection.
    Client,
    /// A connection to an endpoint, for an attempt or a load probe.
    Attempt,
    /// The connection to discovery.
    Discovery,
    /// A connection of an operator to the admin API.
    AdminCaller,
    /// A file that is opened, read or written, and closed at once.
    File,
    /// The connection to a newer process.
    Handover,
    /// The port of the cluster.
    Cluster,
}

impl DescriptorPurpose {
    /// All purposes, in the order of their metrics.
    pub const ALL: [DescriptorPurpose; 7] = [
        DescriptorPurpose::Client,
        DescriptorPurpose::Attempt,
        DescriptorPurpose::Discovery,
        DescriptorPurpose::AdminCaller,
        DescriptorPurpose::File,
        DescriptorPurpose::Handover,
        DescriptorPurpose::Cluster,
    ];

    /// Its name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            DescriptorPurpose::Client => "client",
            DescriptorPurpose::Attempt => "attempt",
            DescriptorPurpose::Discovery => "discovery",
            DescriptorPurpose::AdminCaller => "admin_caller",
            DescriptorPurpose::File => "file",
            DescriptorPurpose::Handover => "handover",
            DescriptorPurpose::Cluster => "cluster",
        }
    }

    fn index(self) -> usize {
        self as usize
    }
}

impl fmt::Display for DescriptorPurpose {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

/// Whether something failed for want of a file descriptor. Closing connections helps against no other failure.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE)
    )
}
