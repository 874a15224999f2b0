//! Start, reload, shutdown and upgrade of the process, and what it keeps on disk.

pub mod file_descriptors;
pub mod reload;
pub mod shutdown;
pub mod start;
pub mod state_directory;
pub mod upgrade;
