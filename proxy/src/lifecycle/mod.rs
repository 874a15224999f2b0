//! Start, reload, shutdown and upgrade of the process, and what it keeps on disk.

/// Configuration reload while requests are in flight.
pub mod reload;
/// Graceful shutdown.
pub mod shutdown;
/// Process start, and the event loop until the process stops.
pub mod start;
/// The state directory, which outlives crashes and upgrades.
pub mod state_directory;
/// Upgrades: the handover of the listener and state to a newer process.
pub mod upgrade;
