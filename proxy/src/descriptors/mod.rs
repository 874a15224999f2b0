//! Reservation of file descriptors, so that client connections cannot exhaust those needed for other purposes.
//!
//! - `reserve` holds descriptors in reserve, separately for each purpose.
//! - `limit` determines how many descriptors the system allows.
//! - `proxy_reserve` matches the reserve of a running proxy to its open descriptors.
//! - `shortage` counts and reports failures to obtain a descriptor.

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

/// File that is opened to hold a descriptor in reserve.
const PLACEHOLDER_PATH: &str = "/dev/null";

/// What a file descriptor is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DescriptorPurpose {
    /// A client connection.
    Client,
    /// A connection to an endpoint, for an attempt or a load probe.
    Attempt,
    /// The connection to discovery.
    Discovery,
    /// A connection to the admin API.
    AdminConnection,
    /// A file that is open only while it is read or written.
    File,
    /// The connection to the newer process of an upgrade.
    Handover,
    /// The UDP socket of the cluster.
    Cluster,
}

impl DescriptorPurpose {
    /// All purposes, in the order of declaration and of their metrics.
    pub const ALL: [DescriptorPurpose; 7] = [
        DescriptorPurpose::Client,
        DescriptorPurpose::Attempt,
        DescriptorPurpose::Discovery,
        DescriptorPurpose::AdminConnection,
        DescriptorPurpose::File,
        DescriptorPurpose::Handover,
        DescriptorPurpose::Cluster,
    ];

    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            DescriptorPurpose::Client => "client",
            DescriptorPurpose::Attempt => "attempt",
            DescriptorPurpose::Discovery => "discovery",
            DescriptorPurpose::AdminConnection => "admin_caller",
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

/// Whether an error is a shortage of file descriptors, which closing connections can resolve.
pub fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE)
    )
}
